"""Listening sockets, opened without an event loop."""

import socket

from berylproxy.errors import BerylproxyError

BACKLOG_CONNECTIONS = 1_024


class AddressUnavailableError(BerylproxyError):
    """The daemon can't listen on the address."""

    code = "address_unavailable"


def open_listener(address: str, hint: str = "") -> socket.socket:
    """Binds to ``host:port`` and listens; the system queues connections from then on.

    :param hint: what to do if that fails.
    :raises AddressUnavailableError: if the address is in use or isn't an address of this VM.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        listener = socket.create_server(
            (host, int(port)), family=family, backlog=BACKLOG_CONNECTIONS
        )
    except (OSError, ValueError, OverflowError) as error:
        reason = getattr(error, "strerror", None) or error
        raise AddressUnavailableError(f"can't listen on {address}: {reason}", hint=hint) from error
    listener.setblocking(False)
    return listener
