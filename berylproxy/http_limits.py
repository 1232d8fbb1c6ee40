"""What the connections of an HTTP server may hold together, and who has to yield.

A limit for each connection bounds nothing while the number of connections isn't bounded.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter
from typing import Protocol

DEFAULT_MAX_INPUT_BYTES = 64 * 1024 * 1024
DEFAULT_MAX_CONNECTIONS = 512
INPUT_SHARE = 4  # a quarter of a VM's memory is for requests that are being received or served
TLS_CONNECTION_BYTES = 1024 * 1024  # of the buffers and the state of a TLS connection
CONNECTION_SHARE = 2  # half of a process's descriptors is for callers' connections


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits over all connections of a server.

    :param max_input_bytes: memory of the requests that are being received or served.
    :param max_connections: number of open connections.
    """

    max_input_bytes: int = DEFAULT_MAX_INPUT_BYTES
    max_connections: int = DEFAULT_MAX_CONNECTIONS

    @classmethod
    def for_process(
        cls, memory_mb: int, max_descriptors: int, *, uses_tls: bool = False
    ) -> "HttpLimits":
        """Derives the limits from the memory and the descriptors that a process may use."""
        input_bytes = memory_mb * 1024 * 1024 // INPUT_SHARE
        connections = max_descriptors // CONNECTION_SHARE
        if uses_tls:
            connections = min(connections, input_bytes // TLS_CONNECTION_BYTES)
        return cls(input_bytes, max(connections, 1))


class LimitedConnection(Protocol):
    """A connection as the limits see it.

    :ivar held_bytes: memory of its requests.
    :ivar waits_since_s: monotonic time since which it has owed the rest of a request, or its next
        one; ``None`` if all that it has sent is being served.
    :ivar blocked_since_s: monotonic time since which it has not read its response; ``None`` if it
        has.
    :ivar is_receiving: whether a part of a request has arrived, and not its end.
    :ivar has_been_served: whether a request on it was answered.
    """

    held_bytes: int
    waits_since_s: float | None
    blocked_since_s: float | None
    has_been_served: bool

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request has arrived, and not its end."""


def find_input_to_drop(
    connections: Iterable[LimitedConnection],
) -> LimitedConnection | None:
    """Returns the connection whose unfinished request has been on its way for longest.

    A caller that behaves sends its request in a moment, so it keeps its turn.
    """
    receiving = [c for c in connections if c.is_receiving and c.waits_since_s is not None]
    return min(receiving, key=attrgetter("waits_since_s"), default=None)


def find_connection_to_close(
    connections: Iterable[LimitedConnection],
) -> LimitedConnection | None:
    """Returns the connection that has kept the server waiting for longest.

    One without any answer so far goes first.
    """
    keeping: list[tuple[bool, float, LimitedConnection]] = []
    for connection in connections:
        times = (connection.waits_since_s, connection.blocked_since_s)
        since_s = min((time_s for time_s in times if time_s is not None), default=None)
        if since_s is not None:
            keeping.append((connection.has_been_served, since_s, connection))
    return min(keeping, key=lambda row: row[:2])[2] if keeping else None
