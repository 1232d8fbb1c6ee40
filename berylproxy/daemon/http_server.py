"""Serves the daemon's HTTP interfaces."""

import socket
import ssl
from collections.abc import Awaitable, Callable

from starlette.applications import Starlette

from berylproxy.constants import (
    IDEMPOTENCY_KEY_HEADER,
    REPEATABLE_HEADER,
    REQUEST_ID_HEADER,
    TEAM_HEADER,
    TIMEOUT_HEADER,
    TRACEPARENT_HEADER,
)
from berylproxy.daemon.request_bodies import RequestBodies
from berylproxy.http_limits import HttpLimits
from berylproxy.http_server import HttpServer
from berylproxy.settings import Settings

KEEP_ALIVE_TIMEOUT_S = 15.0
READ_HEADERS = tuple(
    name.lower().encode()
    for name in (
        "Accept",
        "Authorization",
        "Content-Length",
        "Content-Type",
        "Host",
        "If-Match",
        "If-None-Match",
        "Transfer-Encoding",
        IDEMPOTENCY_KEY_HEADER,
        REPEATABLE_HEADER,
        REQUEST_ID_HEADER,
        TEAM_HEADER,
        TIMEOUT_HEADER,
        TRACEPARENT_HEADER,
    )
)


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
    tls = _make_tls_context(settings) if settings.tls_certificate else None
    limits = HttpLimits.for_process(
        settings.memory_mb, settings.max_descriptors, uses_tls=tls is not None
    )
    server = HttpServer(RequestBodies(application), KEEP_ALIVE_TIMEOUT_S, READ_HEADERS, limits)
    await server.serve([listener], wait_for_stop, settings.drain_timeout_s, tls)


def _make_tls_context(settings: Settings) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context
