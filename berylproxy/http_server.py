"""A small HTTP/1.1 server for ASGI applications, on httptools and asyncio.

It bounds what all connections hold together, which the servers of libraries don't. It is imported
in a tenth of the processor time that one with HTTP/2 and WebSockets takes; it has neither.
"""

import asyncio
import socket
import ssl
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus
from math import inf
from time import monotonic
from typing import Any
from urllib.parse import unquote

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from logbook import Logger

from berylproxy.http_limits import (
    HttpLimits,
    find_connection_to_close,
    find_input_to_drop,
)
from berylproxy.http_request import STATUS_LINES, ServedRequest
from berylproxy.listeners import BACKLOG_CONNECTIONS

MAX_HEAD_BYTES = 64 * 1024  # also of the trailers and of a chunk's extension
PARSED_BYTES = 8 * 1024  # parsed at a time, so that few requests are queued beyond the limit
MAX_BUFFERED_BYTES = 64 * 1024  # of a request body or of pipelined requests; then reading pauses
MAX_PIPELINED_REQUESTS = 16
SWEEP_INTERVAL_S = 1.0
# After a response that came before the end of the request's body: a connection that is closed with
# unread data is reset, and the response may be lost.
LINGER_S = 2.0
QUEUED_REQUESTS_S = 0.02  # for reading what the system has already queued when the server stops
TLS_HANDSHAKE_TIMEOUT_S = 5.0
EXPECT_HEADER = b"expect"
RETRY_HEAD = b"retry-after: 1\r\n"

Application = Callable[..., Awaitable[None]]

logger = Logger(__name__)


class HttpServer:
    """Serves an ASGI application on listening sockets.

    :param keep_alive_s: how long a connection may wait for its next request.
    :param header_names: the headers, in lower case, that the application reads. All others are
        dropped, as each line costs memory in multiples of its size. Of a header that comes
        several times the last one is kept.
    :param limits: limits over all connections; those that have waited for longest yield.
    """

    def __init__(
        self,
        application: Application,
        keep_alive_s: float,
        header_names: Iterable[bytes] = (),
        limits: HttpLimits | None = None,
    ) -> None:
        self.application = application
        self.header_names = frozenset((EXPECT_HEADER, *header_names))
        self.connections: set[_Connection] = set()
        self.is_stopping = False
        self._keep_alive_s = keep_alive_s
        self._limits = limits or HttpLimits()
        self._input_bytes = 0
        self._changed = asyncio.Event()

    async def serve(
        self,
        listeners: Iterable[socket.socket],
        wait_for_stop: Callable[[], Awaitable[Any]],
        graceful_timeout_s: float,
        tls: ssl.SSLContext | None = None,
    ) -> bool:
        """Serves until ``wait_for_stop`` returns, then lets requests in progress finish.

        :param graceful_timeout_s: time after which requests still in progress are cut off.
        :param tls: certificate and settings of TLS, if callers must use it.
        :returns: whether all requests were answered.
        """
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(
                lambda: _Connection(self, tls), sock=listener, backlog=BACKLOG_CONNECTIONS
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

    def admit(self, connection: "_Connection") -> None:
        """Adds a connection; beyond the limit, one that waits is cut off."""
        self.connections.add(connection)
        if len(self.connections) > self._limits.max_connections:
            dropped = find_connection_to_close(self.connections) or connection
            dropped.abort()
            self.forget(dropped)

    def forget(self, connection: "_Connection") -> None:
        """Removes a connection that has ended."""
        self.account(connection, 0)
        self.connections.discard(connection)
        self._changed.set()

    def account(self, connection: "_Connection", held_bytes: int) -> None:
        """Notes the memory of a connection's requests; beyond the limit, unfinished ones yield."""
        self._input_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
        while self._input_bytes > self._limits.max_input_bytes:
            dropped = find_input_to_drop(self.connections) or connection
            dropped.refuse()
            self._input_bytes -= dropped.held_bytes
            dropped.held_bytes = 0
            if dropped is connection:
                return

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
                connection.note_reading()
                if connection.idle_since_s is not None and connection.idle_since_s < oldest_s:
                    connection.close_if_idle()
                elif connection.lingers_until_s < monotonic() or connection.is_blocked(oldest_s):
                    connection.abort()


class _Connection(asyncio.Protocol):
    """A caller's connection; its requests are answered in their order, one at a time.

    Implements :class:`berylproxy.http_limits.LimitedConnection`.

    :ivar idle_since_s: monotonic time since which no request is in progress.
    :ivar lingers_until_s: monotonic time until which the rest of a request that is already
        answered may arrive.
    """

    def __init__(self, server: HttpServer, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls
        self.idle_since_s: float | None = monotonic()
        self.lingers_until_s = inf
        self._server = server
        self._parser = HttpRequestParser(self)
        self._requests: deque[ServedRequest] = deque()
        self._received: ServedRequest | None = None  # the request that is being received
        self.waits_since_s: float | None = self.idle_since_s
        self.blocked_since_s: float | None = None
        self._unsent_bytes = 0
        self.held_bytes = 0
        self.has_been_served = False
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._framing_bytes = 0  # received since the last part of a body or the end of a head
        self._unparsed = b""
        self._local_address: tuple[str, int] = ("", 0)
        self._scheme = "http"
        self._task: asyncio.Task[None] | None = None
        self._is_reading = True
        self._ignores_input = False
        self._can_write = asyncio.Event()
        self._can_write.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._local_address = tuple(transport.get_extra_info("sockname")[:2])
        self._server.admit(self)
        if self._server.is_stopping:
            self._transport.close()
        elif self._tls is not None and not self._transport.is_closing():
            self._task = asyncio.get_running_loop().create_task(self._start_tls(self._tls))

    async def _start_tls(self, tls: ssl.SSLContext) -> None:
        """Runs the handshake, during which the connection counts as one that waits."""
        loop, timeout_s = asyncio.get_running_loop(), TLS_HANDSHAKE_TIMEOUT_S
        try:
            self._transport = await loop.start_tls(
                self._transport, self, tls, server_side=True, ssl_handshake_timeout=timeout_s
            )
        except OSError as error:
            logger.debug("TLS handshake failed: {!r}", error)
            self._server.forget(self)
            return
        finally:
            self._task = None  # with its error it would keep this connection and its TLS buffers
        self._scheme = "https"

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

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request has arrived, and not its end."""
        return self._received is not None or bool(self._framing_bytes or self._unparsed)

    def data_received(self, data: bytes) -> None:
        """Passes data to the parser; malformed data is answered with 400."""
        if self._ignores_input:
            return
        self._parse(self._unparsed + data)
        self.adjust_reading()

    def _parse(self, data: bytes) -> None:
        """Parses data until enough requests are queued; keeps the rest for later."""
        self._unparsed = b""
        for start in range(0, len(data), PARSED_BYTES):
            if self._ignores_input:
                break
            if self._has_enough():
                self._unparsed = data[start:]
                break
            self._parse_part(data[start : start + PARSED_BYTES])
        self._account()

    def _parse_part(self, data: bytes) -> None:
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            # A request to upgrade is served, and what follows it isn't HTTP/1.1.
            self._end_input(HTTPStatus.BAD_REQUEST)
        if self._framing_bytes > MAX_HEAD_BYTES:
            self._end_input(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _account(self) -> None:
        """Tells the server what this connection's requests hold."""
        if self._transport.is_closing():
            self._server.account(self, 0)
            return
        requests = sum(request.held_bytes for request in self._requests)
        self._server.account(self, self._framing_bytes + len(self._unparsed) + requests)

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._url, self._headers = b"", {}
        self.waits_since_s = monotonic()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request's target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header that the application reads; trailers are dropped."""
        name = name.lower()
        if self._received is None and name in self._server.header_names:
            self._headers[name] = value

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
            "scheme": self._scheme,
            "path": unquote(path.decode("latin-1")),
            "raw_path": path,
            "query_string": query,
            "headers": list(self._headers.items()),
            "server": self._local_address,
        }
        self._received = ServedRequest(self, scope, self._parser.should_keep_alive())
        self._url, self._headers = b"", {}
        self._framing_bytes = 0
        self.idle_since_s = None
        self._requests.append(self._received)
        if len(self._requests) == 1:
            self._start_first()

    def on_body(self, body: bytes) -> None:
        """Appends a part of the request's body."""
        self._framing_bytes = 0
        if self._received is not None:
            self._received.feed(body)

    def on_message_complete(self) -> None:
        """Ends the request's body."""
        if self._received is not None:
            self._received.complete()
        self._received = None
        self._framing_bytes = 0
        self.waits_since_s = None
        if self.lingers_until_s < inf:
            self._transport.close()

    def _has_enough(self) -> bool:
        """Returns whether enough is buffered for now."""
        buffered = sum(request.buffered_bytes for request in self._requests)
        return buffered > MAX_BUFFERED_BYTES or len(self._requests) > MAX_PIPELINED_REQUESTS

    def adjust_reading(self) -> None:
        """Reads no further while enough is buffered, and resumes when there is room again."""
        if self._transport.is_closing():
            return
        if self._unparsed and not self._has_enough():
            self._parse(self._unparsed)
        if self._unparsed or self._has_enough():
            if self._is_reading:
                self._is_reading = False
                self._transport.pause_reading()
        elif not self._is_reading:
            self._is_reading = True
            self._transport.resume_reading()

    async def write(self, data: bytes) -> None:
        """Writes a part of a response; waits while the caller doesn't read."""
        if self._transport.is_closing():
            return
        self._transport.write(data)
        if not self._can_write.is_set():
            self.blocked_since_s = monotonic()
            await self._can_write.wait()
            self.blocked_since_s = None

    def note_reading(self) -> None:
        """Notes whether the caller has read a part of its response since the last call."""
        unsent_bytes = self._transport.get_write_buffer_size()
        if self.blocked_since_s is not None and unsent_bytes < self._unsent_bytes:
            self.blocked_since_s = monotonic()
        self._unsent_bytes = unsent_bytes

    def is_blocked(self, since_s: float) -> bool:
        """Returns whether the caller has read nothing since a monotonic time."""
        return self.blocked_since_s is not None and self.blocked_since_s < since_s

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if not self._requests:
            self._transport.close()

    def refuse(self) -> None:
        """Drops what has been received, and ends the connection.

        A caller is told so unless the application has read a whole request of it.
        """
        self._unparsed = b""
        self._ignores_input = True
        if any(request.is_taken for request in self._requests):
            self.abort()
            return
        for request in self._requests:
            request.disconnect()
        if self._task is not None:
            self._task.cancel()
        self.waits_since_s = None
        self._send_final(HTTPStatus.SERVICE_UNAVAILABLE, RETRY_HEAD)

    def abort(self) -> None:
        """Cuts the connection off and cancels its request."""
        self.waits_since_s = None
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
        self.has_been_served = True
        self._account()
        if self._transport.is_closing():
            return
        if request is self._received:
            self.lingers_until_s = monotonic() + LINGER_S
            if self._transport.can_write_eof():  # TLS can't
                self._transport.write_eof()
            self.adjust_reading()
        elif not request.keeps_alive or self._server.is_stopping:
            self._transport.close()
        elif self._requests:
            self._start_first()
            self.adjust_reading()
        else:
            self.idle_since_s = self.waits_since_s = monotonic()
            self.adjust_reading()

    def _end_input(self, status: HTTPStatus) -> None:
        """Ignores what comes from now on, and closes the connection after the last response.

        :param status: of the response if no request is in progress.
        """
        self._ignores_input = True
        self._framing_bytes = 0
        self.waits_since_s = None
        if self._received is not None:  # the rest of its body can't be read
            self._received.disconnect()
            self._received = None
        if self._requests:
            self._requests[-1].keeps_alive = False
        else:
            self._send_final(status)

    def _send_final(self, status: HTTPStatus, headers: bytes = b"") -> None:
        """Sends a response without a body and closes the connection.

        :param headers: further header lines.
        """
        if not self._transport.is_closing():
            head = b"content-length: 0\r\nconnection: close\r\n\r\n"
            self._transport.write(STATUS_LINES[status] + headers + head)
            self._transport.close()
