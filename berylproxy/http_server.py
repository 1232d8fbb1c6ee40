"""A small HTTP/1.1 server for ASGI applications, on httptools and asyncio.

Made for daemons that must serve soon after their VM is back: it is imported in a tenth of the
processor time that a server with HTTP/2, WebSockets and TLS takes. It has none of these.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus
from math import inf
from time import monotonic
from typing import Any
from urllib.parse import unquote

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from logbook import Logger

from berylproxy.http_request import STATUS_LINES, ServedRequest
from berylproxy.listeners import BACKLOG_CONNECTIONS

MAX_HEAD_BYTES = 64 * 1024
MAX_BUFFERED_BYTES = 64 * 1024  # of a request body or of pipelined requests; then reading pauses
MAX_PIPELINED_REQUESTS = 16
SWEEP_INTERVAL_S = 1.0
# After a response that came before the end of the request's body: a connection that is closed with
# unread data is reset, and the response may be lost.
LINGER_S = 2.0
QUEUED_REQUESTS_S = 0.02  # for reading what the system has already queued when the server stops

Application = Callable[..., Awaitable[None]]

logger = Logger(__name__)


class HttpServer:
    """Serves an ASGI application on listening sockets.

    :param keep_alive_s: how long a connection may wait for its next request.
    """

    def __init__(self, application: Application, keep_alive_s: float) -> None:
        self.application = application
        self.connections: set[_Connection] = set()
        self.is_stopping = False
        self._keep_alive_s = keep_alive_s
        self._changed = asyncio.Event()

    async def serve(
        self,
        listeners: Iterable[socket.socket],
        wait_for_stop: Callable[[], Awaitable[Any]],
        graceful_timeout_s: float,
    ) -> bool:
        """Serves until ``wait_for_stop`` returns, then lets requests in progress finish.

        :param graceful_timeout_s: time after which requests still in progress are cut off.
        :returns: whether all requests were answered.
        """
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(
                lambda: _Connection(self), sock=listener, backlog=BACKLOG_CONNECTIONS
            )
            for listener in listeners
        ]
        sweeper = loop.create_task(self._close_idle_connections())
        try:
            await wait_for_stop()
            await asyncio.sleep(QUEUED_REQUESTS_S)
            self.is_stopping = True
            for server in servers:
                server.close()
            for connection in list(self.connections):
                connection.close_if_idle()
            return await self._wait_until_closed(graceful_timeout_s)
        finally:
            sweeper.cancel()
            for server in servers:
                server.close()
            for connection in list(self.connections):
                connection.abort()

    def forget(self, connection: "_Connection") -> None:
        """Removes a connection that has ended."""
        self.connections.discard(connection)
        self._changed.set()

    async def _wait_until_closed(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                while self.connections:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            oldest_s = monotonic() - self._keep_alive_s
            for connection in list(self.connections):
                if connection.idle_since_s is not None and connection.idle_since_s < oldest_s:
                    connection.close_if_idle()
                elif connection.lingers_until_s < monotonic():
                    connection.abort()


class _Connection(asyncio.Protocol):
    """A caller's connection; its requests are answered in their order, one at a time.

    :ivar idle_since_s: monotonic time since which no request is in progress.
    :ivar lingers_until_s: monotonic time until which the rest of a request that is already
        answered may arrive.
    """

    def __init__(self, server: HttpServer) -> None:
        self.idle_since_s: float | None = monotonic()
        self.lingers_until_s = inf
        self._server = server
        self._parser = HttpRequestParser(self)
        self._requests: deque[ServedRequest] = deque()
        self._received: ServedRequest | None = None  # the request that is being received
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._local_address: tuple[str, int] = ("", 0)
        self._task: asyncio.Task[None] | None = None
        self._is_reading = True
        self._ignores_input = False
        self._can_write = asyncio.Event()
        self._can_write.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._local_address = tuple(transport.get_extra_info("sockname")[:2])
        self._server.connections.add(self)
        if self._server.is_stopping:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the requests in progress that their caller has disconnected."""
        self._server.forget(self)
        self._can_write.set()
        for request in self._requests:
            request.disconnect()

    def pause_writing(self) -> None:
        """Makes responses wait until the caller has read what was sent."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Lets responses go on."""
        self._can_write.set()

    def data_received(self, data: bytes) -> None:
        """Passes data to the parser; malformed data is answered with 400."""
        if self._ignores_input:
            return
        if self._received is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            # A request to upgrade is served, and what follows it isn't HTTP/1.1.
            self._end_input(HTTPStatus.BAD_REQUEST)
        if self._received is None and self._head_bytes > MAX_HEAD_BYTES:
            self._end_input(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        self.adjust_reading()

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._url, self._headers = b"", []

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request's target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Starts to serve the request, or queues it behind an earlier one."""
        path, _, query = self._url.partition(b"?")
        if not path.startswith(b"/"):  # absolute form, as through a forward proxy
            path = b"/" + path.partition(b"://")[2].partition(b"/")[2]
        scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": self._parser.get_http_version(),
            "method": self._parser.get_method().decode("ascii"),
            "scheme": "http",
            "path": unquote(path.decode("latin-1")),
            "raw_path": path,
            "query_string": query,
            "headers": self._headers,
            "server": self._local_address,
        }
        self._received = ServedRequest(self, scope, self._parser.should_keep_alive())
        self._head_bytes = 0
        self.idle_since_s = None
        self._requests.append(self._received)
        if len(self._requests) == 1:
            self._start_first()

    def on_body(self, body: bytes) -> None:
        """Appends a part of the request's body."""
        if self._received is not None:
            self._received.feed(body)

    def on_message_complete(self) -> None:
        """Ends the request's body."""
        if self._received is not None:
            self._received.complete()
        self._received = None
        if self.lingers_until_s < inf:
            self._transport.close()

    def adjust_reading(self) -> None:
        """Reads no further while enough is buffered, and resumes when there is room again."""
        buffered = sum(request.buffered_bytes for request in self._requests)
        if buffered > MAX_BUFFERED_BYTES or len(self._requests) > MAX_PIPELINED_REQUESTS:
            if self._is_reading:
                self._is_reading = False
                self._transport.pause_reading()
        elif not self._is_reading and not self._transport.is_closing():
            self._is_reading = True
            self._transport.resume_reading()

    async def write(self, data: bytes) -> None:
        """Writes a part of a response; waits while the caller doesn't read."""
        if not self._transport.is_closing():
            self._transport.write(data)
            await self._can_write.wait()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if not self._requests:
            self._transport.close()

    def abort(self) -> None:
        """Cuts the connection off and cancels its request."""
        if self._task is not None:
            self._task.cancel()
        self._transport.abort()

    def _start_first(self) -> None:
        request = self._requests[0]
        self._task = asyncio.get_running_loop().create_task(self._serve(request))

    async def _serve(self, request: ServedRequest) -> None:
        try:
            await self._server.application(request.scope, request.receive, request.send)
        except Exception:
            logger.exception("a request failed in the application")
        finally:
            await request.finish()
            self._task = None
            self._requests.popleft()
            self._go_on(request)

    def _go_on(self, request: ServedRequest) -> None:
        """Serves the next request, or waits for one, or closes the connection."""
        if self._transport.is_closing():
            return
        if request is self._received:
            self.lingers_until_s = monotonic() + LINGER_S
            self._transport.write_eof()
            self.adjust_reading()
        elif not request.keeps_alive or self._server.is_stopping:
            self._transport.close()
        elif self._requests:
            self._start_first()
            self.adjust_reading()
        else:
            self.idle_since_s = monotonic()
            self.adjust_reading()

    def _end_input(self, status: HTTPStatus) -> None:
        """Ignores what comes from now on, and closes the connection after the last response.

        :param status: of the response if no request is in progress.
        """
        self._ignores_input = True
        if self._received is not None:  # the rest of its body can't be read
            self._received.disconnect()
            self._received = None
        if self._requests:
            self._requests[-1].keeps_alive = False
        elif not self._transport.is_closing():
            head = b"content-length: 0\r\nconnection: close\r\n\r\n"
            self._transport.write(STATUS_LINES[status] + head)
            self._transport.close()
