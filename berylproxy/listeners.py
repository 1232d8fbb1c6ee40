"""Listening sockets, opened without an event loop."""

import socket

from berylproxy.errors import BerylproxyError

BACKLOG_CONNECTIONS = 1_024


class ListenError(BerylproxyError):
    """The daemon can't listen on the address."""

    code = "address_unavailable"


def open_listener(address: str) -> socket.socket:
    """Binds to an IPv4 ``host:port`` and listens; connections are queued until they are served.

    :raises ListenError: if the address is in use or isn't an address of this VM.
    """
    host, _, port = address.rpartition(":")
    try:
        listener = socket.create_server((host, int(port)), backlog=BACKLOG_CONNECTIONS)
    except (OSError, ValueError, OverflowError) as error:
        raise ListenError(f"can't listen on {address}: {error}") from error
    listener.setblocking(False)
    return listener
