"""An HTTP client with persistent connections, each with one request at a time."""

from dataclasses import dataclass
from time import monotonic

from anyio import CancelScope
from httpcore import URL, AsyncHTTPConnection, Origin, Request

MAX_IDLE_S = 3.0


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """Sends requests to one address and reuses its idle connections.

    :param url: base URL.
    """

    def __init__(self, url: str) -> None:
        parsed = URL(url)
        self._origin = Origin(parsed.scheme, parsed.host, parsed.port)
        self._host = (b"Host", b"%b:%d" % (parsed.host, parsed.port))
        self._idle: list[tuple[float, AsyncHTTPConnection]] = []

    async def send(
        self, method: str, path: str, body: bytes, headers: dict[str, str] | None = None
    ) -> Answer:
        """Sends a request and returns the response; errors of httpcore propagate."""
        connection = self._acquire_connection()
        try:
            response = await connection.handle_async_request(
                self._make_request(method, path, body, headers or {})
            )
            content = await response.aread()
            await response.aclose()
        except BaseException:
            with CancelScope(shield=True):
                await connection.aclose()
            raise
        if connection.is_idle():
            self._idle.append((monotonic(), connection))
        pairs = {name.decode().lower(): value.decode() for name, value in response.headers}
        return Answer(response.status, pairs, content)

    def _make_request(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Request:
        origin = self._origin
        url = URL(scheme=origin.scheme, host=origin.host, port=origin.port, target=path.encode())
        pairs = [
            self._host,
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        pairs += [(name.encode(), value.encode()) for name, value in headers.items()]
        return Request(method, url, headers=pairs, content=body)

    def _acquire_connection(self) -> AsyncHTTPConnection:
        while self._idle:
            since_s, connection = self._idle.pop()
            is_fresh = monotonic() - since_s < MAX_IDLE_S
            if is_fresh and connection.is_idle() and not connection.has_expired():
                return connection
        return AsyncHTTPConnection(self._origin)
