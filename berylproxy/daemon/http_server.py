"""Serves the daemon's HTTP interfaces with hypercorn."""

import socket
from collections.abc import Awaitable, Callable

from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette

from berylproxy.daemon.request_bodies import RequestBodies
from berylproxy.settings import Settings

KEEP_ALIVE_TIMEOUT_S = 15.0  # also how long a socket stays open after its client closed it
MAX_REQUESTS_PER_CONNECTION = 1_000_000


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
    await serve(RequestBodies(application), config, shutdown_trigger=wait_for_stop)
