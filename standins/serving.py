"""Listening, announcing ports and serving an application, shared by all stand-ins."""

import json
import socket
from typing import Any

from anyio import sleep_forever
from hypercorn.asyncio import serve
from hypercorn.config import Config

BACKLOG = 4096
KEEP_ALIVE_TIMEOUT_S = 3600.0
MAX_REQUESTS_PER_CONNECTION = 1_000_000_000


def open_listener(host: str, port: int) -> socket.socket:
    """Returns a socket that listens and queues connections from then on."""
    listener = socket.create_server((host, port), backlog=BACKLOG)
    listener.setblocking(False)
    return listener


def port_of(listener: socket.socket) -> int:
    """Returns the port that a socket is bound to."""
    return listener.getsockname()[1]


def announce(**ports: int) -> None:
    """Prints the ports as one JSON line, which signals the parent that they are listening."""
    print(json.dumps(ports), flush=True)


async def serve_app(app: Any, listener: socket.socket) -> None:
    """Serves an ASGI application on a listening socket until cancelled."""
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.accesslog = None
    config.errorlog = None
    await serve(app, config, shutdown_trigger=sleep_forever)
