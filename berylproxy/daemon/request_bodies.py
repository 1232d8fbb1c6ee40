"""Reads the rest of a request's body before the response begins.

A refused call is often answered without its body. The server closes such a connection, and a caller
that keeps it would lose its next call.
"""

from anyio import move_on_after
from starlette.types import ASGIApp, Message, Receive, Scope, Send

MAX_UNREAD_BYTES = 1_000_000
READ_TIMEOUT_S = 1.0
CLOSE_HEADER = (b"connection", b"close")


class RequestBodies:
    """Implements the HTTP application; passes each request on to another one.

    :param application: what answers the requests.
    """

    def __init__(self, application: ASGIApp) -> None:
        self._application = application

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one request."""
        if scope["type"] == "http" and _has_body(scope):
            exchange = _Exchange(receive, send)
            await self._application(scope, exchange.receive, exchange.send)
        else:
            await self._application(scope, receive, send)


class _Exchange:
    """One request with a body, and its response."""

    def __init__(self, receive: Receive, send: Send) -> None:
        self._receive, self._send = receive, send
        self._is_body_read = False

    async def receive(self) -> Message:
        message = await self._receive()
        self._is_body_read = not message.get("more_body", False)
        return message

    async def send(self, message: Message) -> None:
        if message["type"] == "http.response.start" and not await self._read_rest():
            message = {**message, "headers": [*message.get("headers", ()), CLOSE_HEADER]}
        await self._send(message)

    async def _read_rest(self) -> bool:
        """Returns whether the whole body has arrived."""
        unread_bytes = 0
        with move_on_after(READ_TIMEOUT_S):
            while not self._is_body_read and unread_bytes <= MAX_UNREAD_BYTES:
                unread_bytes += len((await self.receive()).get("body", b""))
        return self._is_body_read


def _has_body(scope: Scope) -> bool:
    headers = dict(scope["headers"])
    return b"transfer-encoding" in headers or headers.get(b"content-length", b"0") != b"0"
