"""Serves the daemon's HTTP interfaces with hypercorn."""

import socket
from collections.abc import Awaitable, Callable

from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette

from berylproxy.errors import BerylproxyError
from berylproxy.settings import Settings

BACKLOG_CONNECTIONS = 1_024
KEEP_ALIVE_TIMEOUT_S = 15.0  # also how long a socket stays open after its client closed it
MAX_REQUESTS_PER_CONNECTION = 1_000_000


class AddressUnavailableError(BerylproxyError):
    """The daemon can't listen on the address."""

    code = "address_unavailable"


def open_listener(address: str) -> socket.socket:
    """Binds to ``host:port`` and listens; the system queues connections from then on.

    :raises AddressUnavailableError: if the address is in use or isn't an address of this VM.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        listener = socket.create_server(
            (host, int(port)), family=family, backlog=BACKLOG_CONNECTIONS
        )
    except OSError as error:
        raise AddressUnavailableError(
            f"can't listen on {address}: {error.strerror}", hint="choose another --http-address"
        ) from error
    listener.setblocking(False)
    return listener


def format_bound_address(listener: socket.socket) -> str:
    """Returns the address of a listener as ``host:port``."""
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


async def serve_http(
    application: Starlette,
    listener: socket.socket,
    settings: Settings,
    wait_for_stop: Callable[[], Awaitable[None]],
) -> None:
    """Serves until ``wait_for_stop`` returns, then lets open requests finish.

    Requests that are still open after the drain timeout are cut off.
    """
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.graceful_timeout = settings.drain_timeout_s
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    if settings.tls_certificate:
        config.certfile = settings.tls_certificate
        config.keyfile = settings.tls_key
    await serve(application, config, shutdown_trigger=wait_for_stop)
