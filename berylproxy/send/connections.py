"""Pools of connections to endpoints.

The daemon manages connections itself: it must know when each was last used, since an old one may be
dead without notice, and must respect the endpoint's limit together with the other daemons. A
connection carries one request at a time and is closed unless the response is complete, so that a
late response can't be mistaken for that of another request.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from httpcore import URL, AnyIOBackend, AsyncHTTPConnection, Origin

from berylproxy.clock import Clock
from berylproxy.send.streams import ExchangeBackend

MAX_IDLE_S = 4.0  # below 5 s, the keep-alive time of common HTTP servers


@dataclass(slots=True)
class IdleConnection:
    """A connection that carries no request."""

    connection: AsyncHTTPConnection
    idle_since_s: float


class EndpointConnections:
    """This daemon's connections to one endpoint.

    :param url: base URL of the endpoint.
    :param max_idle: returns how many idle connections may be kept open.
    """

    def __init__(self, url: str, clock: Clock, max_idle: Callable[[], int]) -> None:
        parsed = URL(url)
        self.origin = Origin(parsed.scheme, parsed.host, parsed.port or _default_port(parsed))
        self._clock = clock
        self._max_idle = max_idle
        self._idle: deque[IdleConnection] = deque()
        self._backend = AnyIOBackend() if parsed.scheme == b"https" else ExchangeBackend()

    async def acquire(self) -> AsyncHTTPConnection:
        """Returns the most recently used idle connection that is still usable, or a new one."""
        while self._idle:
            idle = self._idle.pop()
            is_expired = self._clock.now_s() - idle.idle_since_s > MAX_IDLE_S
            if not is_expired and idle.connection.is_idle() and not idle.connection.has_expired():
                return idle.connection
            await idle.connection.aclose()
        return AsyncHTTPConnection(self.origin, network_backend=self._backend)

    async def release(self, connection: AsyncHTTPConnection) -> None:
        """Returns a connection to the pool, or closes it if it is unusable or the pool is full."""
        if connection.is_idle() and len(self._idle) < self._max_idle():
            self._idle.append(IdleConnection(connection, self._clock.now_s()))
        else:
            await connection.aclose()

    async def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        oldest_allowed_s = self._clock.now_s() - MAX_IDLE_S
        while self._idle and self._idle[0].idle_since_s < oldest_allowed_s:
            await self._idle.popleft().connection.aclose()

    async def close(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            await self._idle.popleft().connection.aclose()


def _default_port(url: URL) -> int:
    return 443 if url.scheme == b"https" else 80
