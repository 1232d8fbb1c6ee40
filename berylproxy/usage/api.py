"""HTTP interface through which operators read the usage counts."""

from collections.abc import Callable

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from berylproxy.admit.answers import make_error_response
from berylproxy.errors import BerylproxyError
from berylproxy.http_responses import make_json_response
from berylproxy.store.port import Store
from berylproxy.usage.report import KEY_PREFIX, sum_reports


class UsageApi:
    """Serves ``GET /v1/usage``: the sums over all daemons, including those that have ended.

    :param authorize: raises a :class:`BerylproxyError` unless the request is an operator's.
    """

    def __init__(self, store: Store, authorize: Callable[[Request], None]) -> None:
        self._store = store
        self._authorize = authorize

    def routes(self) -> list[Route]:
        """Returns the route."""
        return [Route("/v1/usage", self.answer_usage, methods=["GET"])]

    async def answer_usage(self, request: Request) -> Response:
        """Answers with the sums; counts of the last seconds may not have been written yet."""
        try:
            self._authorize(request)
            listing = await self._store.list_prefix(KEY_PREFIX)
            sums = sum_reports(listing.entries)
        except BerylproxyError as error:
            return make_error_response(error)
        rows = [
            {
                "cost_bearer": key.cost_bearer,
                "owner": key.owner,
                "team": key.team,
                "service": key.service,
                "tasks": usage.tasks,
                "failed_tasks": usage.failed_tasks,
                "run_time_s": round(usage.run_time_s, 6),
            }
            for key, usage in sums
        ]
        return make_json_response({"revision": listing.revision, "usage": rows})
