"""HTTP routes for the load balancer, operators and the monitoring system."""

from collections.abc import Callable, Iterable

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from berylproxy import __version__
from berylproxy.admit.answers import make_error_response
from berylproxy.errors import BerylproxyError
from berylproxy.http_responses import make_json_response
from berylproxy.metrics import Metrics, Sample
from berylproxy.models import DaemonIdentity
from berylproxy.peers.membership import describe_member
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.pipeline import Pipeline
from berylproxy.place.endpoint_state import EndpointState
from berylproxy.records.spread import RecordReplicator
from berylproxy.records.view import RecordView
from berylproxy.records.watcher import RecordWatcher

STATUS_OK = 200
STATUS_UNAVAILABLE = 503


def make_metrics_route(metrics: Metrics) -> Route:
    """Returns the route of ``/metrics``."""

    async def answer(request: Request) -> Response:
        content, media_type = metrics.scrape(request.headers.getlist("accept"))
        return Response(content, media_type=media_type)

    return Route("/metrics", answer, methods=["GET"])


class MonitoringApi:
    """Serves ``/healthz``, ``/readyz`` and ``/v1/status``, and collects the samples of a scrape.

    :param authorize: raises a :class:`BerylproxyError` unless the request is an operator's.
    """

    def __init__(
        self,
        identity: Callable[[], DaemonIdentity],
        network: TcpPeerNetwork,
        view: RecordView,
        watcher: RecordWatcher,
        replicator: RecordReplicator,
        pipeline: Pipeline,
        authorize: Callable[[Request], None],
    ) -> None:
        self._identity = identity
        self._network = network
        self._view = view
        self._watcher = watcher
        self._replicator = replicator
        self._pipeline = pipeline
        self._authorize = authorize

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new work to this daemon."""
        return self._view.is_loaded and not self._pipeline.is_stopping

    def routes(self) -> list[Route]:
        """Returns the routes."""
        return [
            Route("/healthz", self.answer_health, methods=["GET"]),
            Route("/readyz", self.answer_readiness, methods=["GET"]),
            Route("/v1/status", self.answer_status, methods=["GET"]),
        ]

    async def answer_health(self, request: Request) -> Response:
        """Answers 200 as long as the process runs."""
        return make_json_response({"healthy": True})

    async def answer_readiness(self, request: Request) -> Response:
        """Answers 200 if the daemon accepts new work, else 503 with the reason."""
        reason = "stopping" if self._pipeline.is_stopping else self._replicator.state.value
        status = STATUS_OK if self.is_ready else STATUS_UNAVAILABLE
        return make_json_response({"ready": self.is_ready, "reason": reason}, status)

    async def answer_status(self, request: Request) -> Response:
        """Answers an operator with the state of the daemon, its peers and its endpoints."""
        try:
            self._authorize(request)
        except BerylproxyError as error:
            return make_error_response(error)
        content = {
            "daemon": self._describe_daemon(),
            "peers": [describe_member(member) for member in self._network.members()],
            "endpoints": list(self._describe_endpoints()),
        }
        return make_json_response(content)

    def collect_samples(self) -> Iterable[Sample]:
        """Yields the gauges and counters of a scrape."""
        yield Sample(
            "berylproxy_ready", "1 if the daemon accepts new work", float(self.is_ready), {}
        )
        yield Sample(
            "berylproxy_waiting_tasks", "Tasks waiting here", self._pipeline.waiting_tasks, {}
        )
        yield Sample(
            "berylproxy_running_tasks", "Tasks at endpoints", self._pipeline.running_tasks, {}
        )
        yield Sample("berylproxy_jobs_kept", "Jobs in memory", self._pipeline.retained_jobs, {})
        for kind, number in self._pipeline.count_wasted_messages().items():
            yield Sample(
                "berylproxy_wasted_messages_total",
                "Messages without useful work, by kind",
                number,
                {"kind": kind},
            )
        for outcome, number in self._pipeline.count_finished_jobs().items():
            yield Sample(
                "berylproxy_jobs_total",
                "Jobs whose home is here and that have finished, by outcome",
                number,
                {"outcome": outcome},
            )
        for result, number in self._pipeline.count_task_sends().items():
            yield Sample(
                "berylproxy_task_sends_total",
                "Tasks sent to endpoints, by result",
                number,
                {"result": result},
            )
        for message, number in self._pipeline.count_sent_messages().items():
            yield Sample(
                "berylproxy_slot_messages_total",
                "Messages about slots sent to other daemons, by type",
                number,
                {"message": message},
            )
        yield Sample(
            "berylproxy_peer_messages_total",
            "All messages sent to other daemons, heartbeats included",
            self._network.counters.sent_frames,
            {},
        )
        yield Sample(
            "berylproxy_config_revision", "Highest revision in force", self._view.revision, {}
        )
        yield Sample(
            "berylproxy_config_problems",
            "Records that are not in force as written",
            len(self._view.list_problems()),
            {},
        )
        yield Sample(
            "berylproxy_store_ok",
            "1 if the daemon follows changes in the store",
            float(self._watcher.state.value == "following"),
            {},
        )
        for status in ("alive", "suspect", "dead"):
            members = [m for m in self._network.members() if m.status.value == status]
            yield Sample(
                "berylproxy_peers", "Other daemons by status", len(members), {"status": status}
            )

    def _describe_daemon(self) -> dict[str, object]:
        identity = self._identity()
        return {
            "daemon_id": identity.daemon_id,
            "incarnation": identity.incarnation,
            "failure_domain": identity.failure_domain,
            "peer_address": identity.peer_address,
            "version": __version__,
            "ready": self.is_ready,
            "stopping": self._pipeline.is_stopping,
            "config_revision": self._view.revision,
            "config_source": self._view.source,
            "config_problems": [problem.message for problem in self._view.list_problems()],
            "store": self._watcher.state.value,
            "store_problem": self._watcher.problem,
            "waiting_tasks": self._pipeline.waiting_tasks,
            "running_tasks": self._pipeline.running_tasks,
            "kept_jobs": self._pipeline.retained_jobs,
        }

    def _describe_endpoints(self) -> Iterable[dict[str, object]]:
        held_states = {
            state.endpoint.name: state
            for ledger in self._pipeline.holder.list_ledgers()
            for state in ledger.list_states()
        }
        for name, endpoint in sorted(self._pipeline.configuration.endpoints.items()):
            yield {
                "name": name,
                "pool": endpoint.pool,
                "failure_domain": endpoint.failure_domain,
                "owner": endpoint.owner,
                "slots": endpoint.slots,
                "leaving": endpoint.leaving,
                "evacuated": endpoint.evacuated,
                "held_here": name in held_states,
                **_describe_state(held_states.get(name)),
            }


def _describe_state(state: EndpointState | None) -> dict[str, object]:
    if state is None:
        return {"in_use": None, "ejected": None}
    return {"in_use": len(state.uses), "ejected": state.health.on_probation}
