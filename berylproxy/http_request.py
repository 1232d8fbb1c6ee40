"""One request of a caller, as an ASGI application receives and answers it."""

import asyncio
from http import HTTPStatus
from typing import Any, Protocol

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}

REQUEST_BYTES = 2_048  # of a request's objects, without its head and its body

Message = dict[str, Any]


class RequestConnection(Protocol):
    """The connection that a request came on."""

    async def write(self, data: bytes) -> None:
        """Writes a part of a response; waits while the caller doesn't read."""

    def adjust_reading(self) -> None:
        """Reads on if there is room again for what the application has not read."""


class ServedRequest:
    """One request and its response.

    :ivar keeps_alive: whether the connection stays open after the response.
    """

    def __init__(self, connection: RequestConnection, scope: Message, keeps_alive: bool) -> None:
        self.scope = scope
        self.keeps_alive = keeps_alive
        self._connection = connection
        self._body = bytearray()
        self._is_complete = self._is_disconnected = False
        self._is_body_read = False
        target_bytes = 2 * len(scope["raw_path"]) + len(scope["query_string"])
        header_bytes = sum(len(name) + len(value) for name, value in scope["headers"])
        self._held_bytes = REQUEST_BYTES + target_bytes + header_bytes
        self._expects_continue = (b"expect", b"100-continue") in scope["headers"]
        self._changed = asyncio.Event()
        self._head: Message | None = None
        self._is_head_sent = self._is_chunked = self._is_answered = False

    @property
    def buffered_bytes(self) -> int:
        """Size of the part of the body that the application has not read."""
        return len(self._body)

    @property
    def is_taken(self) -> bool:
        """Whether the application has read all of the request, or has begun to answer it."""
        return self._is_body_read or self._head is not None or self._is_head_sent

    @property
    def held_bytes(self) -> int:
        """Memory of the request, with the part of its body that the application has read."""
        return self._held_bytes

    def feed(self, body: bytes) -> None:
        """Buffers a part of the body."""
        self._held_bytes += len(body)
        if not self._is_answered:
            self._body += body
            self._changed.set()

    def complete(self) -> None:
        """Marks the body as complete."""
        self._is_complete = True
        self._changed.set()

    def disconnect(self) -> None:
        """Tells the application that the caller has disconnected."""
        self._is_disconnected = True
        self._changed.set()

    async def receive(self) -> Message:
        """Returns the next part of the body, after the last one the disconnection."""
        if self._expects_continue and not self._is_complete:
            self._expects_continue = False
            await self._connection.write(CONTINUE)
        while True:
            if self._is_disconnected or self._is_answered:
                return {"type": "http.disconnect"}
            if not self._is_body_read and (self._body or self._is_complete):
                body, self._body = bytes(self._body), bytearray()
                self._is_body_read = is_last = self._is_complete
                self._connection.adjust_reading()  # may feed the next part, and complete the body
                return {"type": "http.request", "body": body, "more_body": not is_last}
            self._changed.clear()
            await self._changed.wait()

    async def send(self, message: Message) -> None:
        """Sends the head of the response together with the first part of its body."""
        if message["type"] == "http.response.start":
            self._head = message
            return
        body, has_more = message.get("body", b""), message.get("more_body", False)
        data = b"" if self._is_head_sent else self._encode_head(len(body), has_more)
        self._is_head_sent = True
        if self.scope["method"] != "HEAD":
            data += _encode_chunk(body, has_more) if self._is_chunked else body
        if not has_more:
            self._is_answered = True
            self._changed.set()
        await self._connection.write(data)

    async def finish(self) -> None:
        """Answers with 500 if the application sent no whole response and none has begun."""
        if self._is_answered or self._is_disconnected:
            return
        self.keeps_alive = False
        if not self._is_head_sent:
            self._head = {"status": 500, "headers": []}
            await self.send({"type": "http.response.body"})

    def _encode_head(self, body_bytes: int, has_more: bool) -> bytes:
        head = self._head or {"status": 500, "headers": []}
        if not self._is_complete:
            self.keeps_alive = False
        lines = [STATUS_LINES.get(head["status"]) or f"HTTP/1.1 {head['status']} \r\n".encode()]
        names = set()
        for name, value in head.get("headers", ()):
            names.add(name)
            if name == b"connection" and value == b"close":
                self.keeps_alive = False
            lines.append(name + b": " + value + b"\r\n")
        if b"content-length" not in names:
            if has_more and self.scope["http_version"] == "1.1":
                self._is_chunked = True
                lines.append(b"transfer-encoding: chunked\r\n")
            elif has_more:
                self.keeps_alive = False  # the end of the connection ends the body
            else:
                lines.append(b"content-length: %d\r\n" % body_bytes)
        if not self.keeps_alive and b"connection" not in names:
            lines.append(b"connection: close\r\n")
        elif self.keeps_alive and self.scope["http_version"] == "1.0":
            lines.append(b"connection: keep-alive\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)


def _encode_chunk(body: bytes, has_more: bool) -> bytes:
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    return chunk if has_more else chunk + b"0\r\n\r\n"
