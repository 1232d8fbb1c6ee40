"""Connections to endpoints, kept by the daemon itself.

The daemon must know each connection's age and last use, since an old one may have gone silent, and
must keep to the endpoint's limit together with the other daemons. A connection carries one request
at a time and is closed after anything but a whole answer, so that a late answer meets nobody.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from httpcore import URL, AnyIOBackend, AsyncHTTPConnection, Origin

from berylproxy.clock import Clock
from berylproxy.send.streams import ExchangeBackend

IDLE_LIMIT_S = 4.0  # below the keep-alive time of common HTTP servers, 5 s


@dataclass(slots=True)
class IdleConnection:
    """A connection that waits for its next request."""

    connection: AsyncHTTPConnection
    idle_since_s: float


class EndpointConnections:
    """The connections of this daemon to one endpoint.

    :param url: base URL of the endpoint.
    :param max_idle: how many connections may be kept open without a request.
    """

    def __init__(self, url: str, clock: Clock, max_idle: Callable[[], int]) -> None:
        parsed = URL(url)
        self.origin = Origin(parsed.scheme, parsed.host, parsed.port or _default_port(parsed))
        self._clock = clock
        self._max_idle = max_idle
        self._idle: deque[IdleConnection] = deque()
        self._backend = AnyIOBackend() if parsed.scheme == b"https" else ExchangeBackend()

    async def take(self) -> AsyncHTTPConnection:
        """Takes the connection used last if it is good, or makes a new one."""
        while self._idle:
            idle = self._idle.pop()
            expired = self._clock.now_s() - idle.idle_since_s > IDLE_LIMIT_S
            if not expired and idle.connection.is_idle() and not idle.connection.has_expired():
                return idle.connection
            await idle.connection.aclose()
        return AsyncHTTPConnection(self.origin, network_backend=self._backend)

    async def give_back(self, connection: AsyncHTTPConnection) -> None:
        """Keeps a connection for the next request, or closes it."""
        if connection.is_idle() and len(self._idle) < self._max_idle():
            self._idle.append(IdleConnection(connection, self._clock.now_s()))
        else:
            await connection.aclose()

    async def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        oldest_kept_s = self._clock.now_s() - IDLE_LIMIT_S
        while self._idle and self._idle[0].idle_since_s < oldest_kept_s:
            await self._idle.popleft().connection.aclose()

    async def close(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            await self._idle.popleft().connection.aclose()


def _default_port(url: URL) -> int:
    return 443 if url.scheme == b"https" else 80
