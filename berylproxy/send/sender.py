"""Sends a task to an endpoint and returns the complete response."""

from collections.abc import Callable

from anyio import CancelScope, move_on_after
from httpcore import (
    URL,
    AsyncHTTPConnection,
    ConnectError,
    ConnectTimeout,
    Request,
    Response,
    TimeoutException,
)

from berylproxy.clock import Clock
from berylproxy.collect.job import TaskRun
from berylproxy.constants import (
    CODE_HEADER,
    JSON_CONTENT_TYPE,
    MAX_ANSWER_BYTES,
    OUTCOME_HEADER,
    SERVICE_HEADER,
    TASK_ID_HEADER,
    TRACEPARENT_HEADER,
)
from berylproxy.models import Outcome, TaskResult
from berylproxy.records.models import Endpoint
from berylproxy.send.connections import EndpointConnections
from berylproxy.send.errors import (
    AnswerLostError,
    AnswerTimeoutError,
    AnswerTooLargeError,
    EndpointFullError,
    EndpointLeavingError,
    EndpointUnreachableError,
    TaskFailedError,
)

CONNECT_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 1.0
TASKS_PATH = b"/v1/tasks"
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
LEAVING_CODE = "leaving"


class TaskSender:
    """Sends tasks over the daemon's own connections.

    :param count_daemons: returns how many daemons share each endpoint's connection limit.
    """

    def __init__(self, clock: Clock, count_daemons: Callable[[], int]) -> None:
        self._clock = clock
        self._count_daemons = count_daemons
        self._connections: dict[str, EndpointConnections] = {}

    async def send(
        self, run: TaskRun, endpoint: Endpoint, timeout_s: float, traceparent: str = ""
    ) -> TaskResult:
        """Sends a task and returns its result, always :attr:`Outcome.DONE`.

        :param timeout_s: time after which the task is abandoned.
        :raises SendError: for any other outcome; its attributes say what is known of the task.
        """
        connections = self._get_or_create_connections(endpoint)
        with move_on_after(timeout_s) as scope:
            connection = await connections.acquire()
            try:
                response, body = await _exchange(
                    connection, _make_request(run, connections, traceparent)
                )
            except BaseException:
                await _close(connection)
                raise
            await connections.release(connection)
            return _decode_response(run, response, body)
        assert scope.cancelled_caught
        raise AnswerTimeoutError(f"no answer from {endpoint.name} within {timeout_s:.3f} s")

    async def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        for connections in list(self._connections.values()):
            await connections.close_expired()

    async def close(self) -> None:
        """Closes all idle connections."""
        for connections in list(self._connections.values()):
            await connections.close()

    def _get_or_create_connections(self, endpoint: Endpoint) -> EndpointConnections:
        connections = self._connections.get(endpoint.url)
        if connections is None:

            def max_idle() -> int:
                spare = endpoint.connections - endpoint.slots
                return max(1, min(endpoint.slots, spare // max(1, self._count_daemons())))

            connections = EndpointConnections(endpoint.url, self._clock, max_idle)
            self._connections[endpoint.url] = connections
        return connections


async def _exchange(connection: AsyncHTTPConnection, request: Request) -> tuple[Response, bytes]:
    try:
        response = await connection.handle_async_request(request)
    except (ConnectError, ConnectTimeout) as error:
        raise EndpointUnreachableError(f"no connection: {error!r}") from error
    except TimeoutException as error:
        raise AnswerTimeoutError(f"no answer: {error!r}") from error
    except Exception as error:
        raise AnswerLostError(f"no answer: {error!r}") from error
    try:
        body = await _read_body(response)
    except AnswerTooLargeError:
        raise
    except Exception as error:
        raise AnswerLostError(f"the answer was truncated: {error!r}") from error
    await response.aclose()
    return response, body


async def _read_body(response: Response) -> bytes:
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in response.aiter_stream():
        size_bytes += len(chunk)
        if size_bytes > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


async def _close(connection: AsyncHTTPConnection) -> None:
    with CancelScope(shield=True), move_on_after(CLOSE_TIMEOUT_S):
        await connection.aclose()


def _make_request(run: TaskRun, connections: EndpointConnections, traceparent: str) -> Request:
    origin = connections.origin
    headers = [
        (b"Host", b"%b:%d" % (origin.host, origin.port)),
        (b"Content-Type", run.task.content_type.encode()),
        (b"Content-Length", b"%d" % len(run.task.body)),
        (TASK_ID_HEADER.encode(), f"{run.job.job_id}/{run.task.task_id}".encode()),
        (SERVICE_HEADER.encode(), run.key.service.encode()),
    ]
    if traceparent:
        headers.append((TRACEPARENT_HEADER.encode(), traceparent.encode()))
    url = URL(scheme=origin.scheme, host=origin.host, port=origin.port, target=TASKS_PATH)
    extensions = {"timeout": {"connect": CONNECT_TIMEOUT_S}}
    return Request("POST", url, headers=headers, content=run.task.body, extensions=extensions)


def _decode_response(run: TaskRun, response: Response, body: bytes) -> TaskResult:
    headers = {name.lower(): value for name, value in response.headers}
    if response.status == STATUS_OK:
        content_type = headers.get(b"content-type", JSON_CONTENT_TYPE.encode()).decode("latin-1")
        return TaskResult(run.task.task_id, Outcome.DONE, body=body, content_type=content_type)
    outcome = headers.get(OUTCOME_HEADER.lower().encode(), b"").decode("latin-1")
    if response.status == STATUS_UNAVAILABLE and outcome == Outcome.NOT_RUN:
        code = headers.get(CODE_HEADER.lower().encode(), b"").decode("latin-1")
        if code == LEAVING_CODE:
            raise EndpointLeavingError("the endpoint is leaving")
        raise EndpointFullError("the endpoint has no room")
    raise TaskFailedError(f"the endpoint answered with status {response.status}")
