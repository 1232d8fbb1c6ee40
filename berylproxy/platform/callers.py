"""ASGI application for callers, the load balancer and operators of the users' platform."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from time import monotonic
from typing import Any
from urllib.parse import unquote

import orjson
from anyio import CancelScope, Event, create_task_group, move_on_after
from logbook import Logger

from berylproxy.durable.entry.frontend import (
    JobFrontend,
    NotAcceptedError,
    OverloadedError,
    ResultUnknownError,
)
from berylproxy.durable.jobs.models import JobSpec, JobState, StepSpec
from berylproxy.durable.orders.telemetry import Telemetry
from berylproxy.errors import BerylproxyError
from berylproxy.platform.configuration import JobRoute, PlatformConfiguration
from berylproxy.platform.endpoints import decode_resources
from berylproxy.platform.settings import METRICS_PORT

READY_PATH = "/-/ready"
METRICS_PATH = "/metrics"
# The same path as on the product's own daemons, so that berylctl can query both.
STATUS_PATH = "/v1/status"
# Despite its name, the header holds a duration in milliseconds and not a point in time.
WAIT_TIME_HEADER = b"berylproxy-deadline-ms"
READ_HEADERS = (b"host", b"accept", WAIT_TIME_HEADER)
MAX_WAIT_S = 30.0
# A starting daemon is ready, and then has the configuration, within some round trips to the store.
START_WAIT_S = 0.5
FIRST_CONFIGURATION_WAIT_S = 0.5
BODY_TIMEOUT_S = 5.0  # 256 KB at 0.4 Mbit/s, which is slower than the slowest known links
RESPONSE_MARGIN_S = 0.05  # reserved for sending the response to the caller
JOB_ID_CHARACTERS = 16
MAX_PAYLOAD_BYTES = 4_000  # runners reject longer payloads
MAX_STEPS = 64
MAX_TASKS_PER_STEP = 10_000
# "speculative" permits duplicate runs and "image" groups tasks: neither requires anything, so both
# are ignored. "may-miss" only limits what is done to persistent tasks, which are rejected anyway.
UNSUPPORTED_STEP_FIELDS = ("persistent", "target-ms", "fills")
MAX_IMAGE_CHARACTERS = 200  # names are kept, logged and stored
UNSUPPORTED_JOB_FIELDS = ("repeats",)

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

logger = Logger(__name__)


class RequestInvalidError(BerylproxyError):
    """The request body is not a valid job."""

    code = "request_invalid"


class BodyTooSlowError(BerylproxyError):
    """The caller did not send the whole request body in time."""

    code = "body_too_slow"


class JobUnsupportedError(BerylproxyError):
    """The job requires a feature that this version does not support."""

    code = "job_unsupported"


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A response to a caller.

    :param content: the value of the JSON body; ``None`` for an empty body.
    :param retry_after_s: time after which the caller may send the request again.
    :param closes: whether the connection is closed after the response.
    """

    status: int
    content: Any = None
    retry_after_s: float | None = None
    closes: bool = False


STARTING_RESPONSE = CallerResponse(503, {"error": "the daemon is starting"}, 1.0)
STOPPING_RESPONSE = CallerResponse(503, {"error": "the daemon is stopping"}, 1.0)


class CallerApplication:
    """Serves the platform's HTTP API, the readiness probe and the operators' pages.

    :param configuration: returns the current configuration; its version is 0 until one is loaded.
    :param wait_for_configuration: returns once the first configuration is loaded.
    :param is_ready: returns whether the daemon accepts new connections.
    :param is_stopping: returns whether connections are closed after their response.
    :param describe: returns the daemon's status for operators.
    """

    def __init__(
        self,
        frontend: JobFrontend,
        configuration: Callable[[], PlatformConfiguration],
        wait_for_configuration: Callable[[], Awaitable[None]],
        is_ready: Callable[[], bool],
        is_stopping: Callable[[], bool],
        telemetry: Telemetry,
        describe: Callable[[], dict[str, Any]],
    ) -> None:
        self._frontend = frontend
        self._configuration = configuration
        self._wait_for_configuration = wait_for_configuration
        self._is_ready = is_ready
        self._is_stopping = is_stopping
        self._telemetry = telemetry
        self._describe = describe
        self._open_requests = 0
        self._idle = Event()
        self._unanswered: set[CancelScope] = set()
        self._is_abandoned = False

    async def wait_until_idle(self) -> None:
        """Waits until no request is being served."""
        while self._open_requests:
            await self._idle.wait()

    def abandon_waiting_requests(self) -> None:
        """Answers all requests that still wait, at once and with an unknown outcome."""
        self._is_abandoned = True
        for cancel_scope in self._unanswered:
            cancel_scope.cancel()

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Handles one ASGI scope: a request or the lifespan protocol."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        if scope["path"] == READY_PATH:
            await self._send_response(send, CallerResponse(200 if self._is_ready() else 503))
            return
        if scope["server"][1] == METRICS_PORT:
            await self._serve_operators(scope, send)
            return
        self._open_requests += 1
        started_s = monotonic()
        try:
            response = await self._respond_until_abandoned(scope, receive)
            if response is not None:
                await self._send_response(send, response)
        finally:
            self._telemetry.observe_request(scope["method"], monotonic() - started_s)
            self._open_requests -= 1
            if not self._open_requests:
                self._idle.set()
                self._idle = Event()

    async def _serve_operators(self, scope: dict[str, Any], send: Send) -> None:
        if scope["path"] == METRICS_PATH:
            await self._send_metrics(scope, send)
        elif scope["path"] == STATUS_PATH:
            await self._send_response(send, CallerResponse(200, self._describe()))
        else:
            error = f"nothing at {scope['path'][:64]}; see {METRICS_PATH} and {STATUS_PATH}"
            await self._send_response(send, CallerResponse(404, {"error": error}))

    async def _send_metrics(self, scope: dict[str, Any], send: Send) -> None:
        accepted = [value.decode() for name, value in scope["headers"] if name == b"accept"]
        body, media_type = self._telemetry.metrics.scrape(accepted)
        headers = [(b"content-type", media_type.encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    async def _respond_until_abandoned(
        self, scope: dict[str, Any], receive: Receive
    ) -> CallerResponse | None:
        """Returns the response to a request, at once when waiting requests are abandoned.

        :return: ``None`` if the caller has disconnected.
        """
        if self._is_abandoned:
            return STOPPING_RESPONSE
        with CancelScope() as cancel_scope:
            self._unanswered.add(cancel_scope)
            try:
                return await self._respond(scope, receive)
            finally:
                self._unanswered.discard(cancel_scope)
        return _describe_unknown_result(scope, "the daemon stopped before the request was served")

    async def _respond(self, scope: dict[str, Any], receive: Receive) -> CallerResponse | None:
        """Serves a request; errors become the responses that the platform defines for them."""
        try:
            return await self._serve(scope, receive)
        except RequestInvalidError as error:
            return CallerResponse(400, {"error": error.message})
        except BodyTooSlowError as error:
            logger.info("request aborted: {}", error.message, extra={"path": scope["path"]})
            return CallerResponse(408, {"error": error.message}, closes=True)
        except JobUnsupportedError as error:
            logger.warning("job rejected: {}", error.message, extra={"path": scope["path"]})
            return CallerResponse(503, {"error": error.message})
        except NotAcceptedError as error:
            status = 429 if isinstance(error, OverloadedError) else 503
            return CallerResponse(status, {"error": error.message}, error.retry_after_s)
        except ResultUnknownError as error:
            return _describe_unknown_result(scope, error.message)
        except BerylproxyError as error:
            logger.error("request failed: {}: {}", error.code, error.message)
            return CallerResponse(504, {"error": error.message})

    async def _serve(self, scope: dict[str, Any], receive: Receive) -> CallerResponse | None:
        configuration = self._configuration()
        if not configuration.version:
            with move_on_after(FIRST_CONFIGURATION_WAIT_S):
                await self._wait_for_configuration()
            configuration = self._configuration()
        if not configuration.version:
            return CallerResponse(503, {"error": "no configuration yet"}, 1.0)
        headers = dict(scope["headers"])
        host = headers.get(b"host", b"").decode("latin-1").lower()
        path = unquote(scope["path"])
        route = configuration.find_route(host, path)
        if route is None and ":" in host:
            route = configuration.find_route(host.rpartition(":")[0], path)
        if route is None:
            return CallerResponse(404, {"error": "no such queue"})
        job_id = path[len(route.prefix) :]
        wait_s = _parse_wait_s(headers, route) - RESPONSE_MARGIN_S
        method = scope["method"]
        services = _list_services(configuration, route)
        if method == "GET" and not job_id:
            count = await self._frontend.count_pending(services, route.terms.queue, wait_s)
            return CallerResponse(200, {"pending": count})
        if len(job_id) != JOB_ID_CHARACTERS:
            return CallerResponse(404, {"error": "no such job"})
        if method == "POST":
            if route.needs_advice:
                message = f"queue {route.terms.queue}: advice is not supported"
                raise JobUnsupportedError(message)
            body = await _read_body(receive, configuration.max_body_bytes)
            return await self._submit(decode_job(job_id, route, body), wait_s, receive)
        if method == "GET":
            state = await self._frontend.find_state(services, job_id, wait_s)
            if state is None:
                return CallerResponse(410, {"error": "no such job"})
            return CallerResponse(200, {"state": state.value})
        if method == "DELETE":
            state = await self._frontend.cancel(services, job_id, wait_s)
            return CallerResponse(410 if state is None else 200, {})
        return CallerResponse(405, {"error": "POST, GET and DELETE are served"})

    async def _submit(self, job: JobSpec, wait_s: float, receive: Receive) -> CallerResponse | None:
        if job.is_durable:
            await self._frontend.submit_durable(job, wait_s)
            return CallerResponse(200, {})
        state = await self._run_best_effort(job, wait_s, receive)
        return CallerResponse(200, {"state": state.value}) if state is not None else None

    async def _run_best_effort(
        self, job: JobSpec, wait_s: float, receive: Receive
    ) -> JobState | None:
        """Runs a best-effort job; returns ``None`` if the caller disconnects before its end."""
        states, errors = [], []

        async def run_best_effort() -> None:
            try:
                states.append(await self._frontend.run_best_effort(job, wait_s))
            except BerylproxyError as error:
                errors.append(error)
            task_group.cancel_scope.cancel()

        async with create_task_group() as task_group:
            task_group.start_soon(run_best_effort)
            while (await receive())["type"] != "http.disconnect":
                pass
            task_group.cancel_scope.cancel()
        if states:
            return states[0]
        if errors:
            raise errors[0]
        return None

    async def _send_response(self, send: Send, response: CallerResponse) -> None:
        await _send(send, response, closes=response.closes or self._is_stopping())


class StartingApplication:
    """Takes requests until the daemon's application is ready, for which they wait a while.

    A daemon that starts while the store is away is not ready for long. Its callers are told so, as
    other daemons may serve them.
    """

    def __init__(self) -> None:
        self._application: CallerApplication | None = None
        self._started = Event()

    def start(self, application: CallerApplication) -> None:
        """Passes the requests that wait, and all later ones, to the application."""
        self._application = application
        self._started.set()

    def give_up(self) -> None:
        """Answers the requests that wait, and all later ones, that the daemon isn't ready."""
        self._started.set()

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Handles one request."""
        if self._application is None and scope["path"] != READY_PATH:
            with move_on_after(START_WAIT_S):
                await self._started.wait()
        if self._application is None:
            await _send(send, STARTING_RESPONSE, closes=True)
        else:
            await self._application(scope, receive, send)


async def _send(send: Send, response: CallerResponse, *, closes: bool) -> None:
    body = orjson.dumps(response.content) if response.content is not None else b""
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    if response.retry_after_s:
        retry_after_s = max(round(response.retry_after_s), 1)
        headers.append((b"retry-after", str(retry_after_s).encode()))
    if closes:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def _describe_unknown_result(scope: dict[str, Any], reason: str) -> CallerResponse:
    """Returns the response to a request whose result is unknown; reads have no effect."""
    status = 504 if scope["method"] in ("POST", "DELETE") else 503
    return CallerResponse(status, {"error": reason}, 1.0)


def decode_job(job_id: str, route: JobRoute, body: bytes) -> JobSpec:
    """Decodes a job from a request body.

    :raises RequestInvalidError: if the body is not a valid job.
    :raises JobUnsupportedError: if the job requires an unsupported feature.
    """
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise RequestInvalidError(f"the body is not JSON: {error}") from error
    if not isinstance(content, dict):
        raise RequestInvalidError("the body is not a JSON object")
    for name in UNSUPPORTED_JOB_FIELDS:
        if content.get(name):
            raise JobUnsupportedError(f"{name} is not supported")
    payload, rows = content.get("spec", ""), content.get("steps")
    if not isinstance(payload, str) or _count_bytes(payload) > MAX_PAYLOAD_BYTES:
        raise RequestInvalidError(f"spec must be text of up to {MAX_PAYLOAD_BYTES} bytes")
    if not isinstance(rows, list) or not 0 < len(rows) <= MAX_STEPS:
        raise RequestInvalidError(f"steps must be a list of 1 to {MAX_STEPS}")
    steps = tuple(_decode_step(number, row) for number, row in enumerate(rows))
    # A "best-effort" job is answered when it ends and is never stored.
    return JobSpec(job_id, route.terms, payload, steps, is_kept=not content.get("best-effort"))


def _count_bytes(text: str) -> int:
    """Returns the size of a text in UTF-8; a lone surrogate from JSON counts three bytes."""
    return len(text.encode("utf-8", "surrogatepass"))


def _decode_step(number: int, row: Any) -> StepSpec:
    if not isinstance(row, dict):
        raise RequestInvalidError(f"steps.{number} is not an object")
    for name in UNSUPPORTED_STEP_FIELDS:
        if row.get(name):
            raise JobUnsupportedError(f"steps.{number}: {name} is not supported")
    count, after = row.get("count", 0), row.get("after", [])
    if type(count) is not int or not 0 < count <= MAX_TASKS_PER_STEP:
        raise RequestInvalidError(f"steps.{number}.count must be 1 to {MAX_TASKS_PER_STEP}")
    if row.get("gang") and count > 1:
        raise JobUnsupportedError(f"steps.{number}: gang of {count} tasks is not supported")
    if not isinstance(after, list) or not all(
        type(step) is int and 0 <= step < number for step in after
    ):
        raise RequestInvalidError(f"steps.{number}.after must name earlier steps")
    estimate_ms = row.get("estimate-ms", 0)
    if type(estimate_ms) not in (int, float) or estimate_ms < 0:
        raise RequestInvalidError(f"steps.{number}.estimate-ms must be a number of 0 or more")
    max_per_server = row.get("max-per-server", 0)
    if type(max_per_server) is not int or max_per_server < 0:
        raise RequestInvalidError(f"steps.{number}.max-per-server must be 0 or more")
    for name in ("requires", "affinity"):
        if not isinstance(row.get(name, ""), str):
            raise RequestInvalidError(f"steps.{number}.{name} must be text")
    try:
        needs = decode_resources(row)
    except ValueError as error:
        raise RequestInvalidError(f"steps.{number}: {error}") from error
    return StepSpec(
        count,
        needs,
        estimate_s=estimate_ms / 1000,
        after=tuple(after),
        required_label=row.get("requires", ""),
        preferred_rack=row.get("affinity", ""),
        stays_in_rack=bool(row.get("rack-local")),
        # The platform's "max-per-server" limits the tasks of this step on one runner (endpoint).
        max_per_endpoint=max_per_server,
        saves_progress=bool(row.get("checkpoint")),
        image=_decode_image(row.get("image")),
    )


def _decode_image(value: Any) -> str:
    """Returns the image that a step names, which only helps placement; empty if it is no text."""
    return value if isinstance(value, str) and len(value) <= MAX_IMAGE_CHARACTERS else ""


def _parse_wait_s(headers: dict[bytes, bytes], route: JobRoute) -> float:
    text = headers.get(WAIT_TIME_HEADER, b"")
    if not text.isdigit():
        return route.timeout_s
    return min(int(text) / 1000, MAX_WAIT_S)


def _list_services(configuration: PlatformConfiguration, route: JobRoute) -> list[str]:
    """Lists the route's service first, then all others: the route may have changed its service."""
    own = route.terms.service
    return [own, *(service for service in configuration.services if service != own)]


async def _read_body(receive: Receive, max_bytes: int) -> bytes:
    # One buffer that grows would be moved about the heap, which keeps the room that it leaves.
    chunks, size_bytes, has_more = [], 0, True
    with move_on_after(BODY_TIMEOUT_S):
        while has_more:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise RequestInvalidError("the caller disconnected before the end of the body")
            chunks.append(message.get("body", b""))
            size_bytes += len(chunks[-1])
            if size_bytes > max_bytes:
                raise RequestInvalidError(f"the body is larger than {max_bytes} bytes")
            has_more = message.get("more_body", False)
    if has_more:
        raise BodyTooSlowError(f"the body was not received within {BODY_TIMEOUT_S:g} s")
    return b"".join(chunks)


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
