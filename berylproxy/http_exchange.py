"""HTTP/1.1 client over persistent connections, for the hundreds of calls that a holder makes.

httptools parses the responses. httpx and httpcore spend several times the processor time of such a
call on connection pools and a timeout per step; here one timeout covers the whole exchange.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from time import monotonic

from httptools import HttpParserError, HttpResponseParser

from berylproxy.errors import BerylproxyError

MAX_IDLE_S = 10.0  # connections idle for longer may be dead without notice
TCP_USER_TIMEOUT_MS = 2_000  # a peer that lost power never resets the connection
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 8


class ExchangeError(BerylproxyError):
    """Base class of the errors of an exchange."""

    code = "exchange_error"


class NotSentError(ExchangeError):
    """No connection could be opened: the server has certainly not received the request."""

    code = "not_sent"


class AnswerLostError(ExchangeError):
    """The request may have been sent, but no complete response was received."""

    code = "answer_lost"


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    :param sent_s: monotonic time at which the request was written.
    :param received_s: monotonic time at which the response was complete.
    """

    status: int
    body: bytes
    sent_s: float
    received_s: float


class _Connection(asyncio.Protocol):
    """A connection that carries one exchange at a time."""

    def __init__(self) -> None:
        self.idle_since_s = 0.0
        self.is_open = False
        self._transport: asyncio.Transport | None = None
        self._parser: HttpResponseParser | None = None
        self._pending_response: asyncio.Future[tuple[int, bytes]] | None = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the open transport and sets its TCP options."""
        self._transport = transport  # type: ignore[assignment]
        self.is_open = True
        raw_socket = transport.get_extra_info("socket")
        if raw_socket is not None:
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange in progress."""
        self.is_open = False
        self._fail(f"the connection ended: {exc}" if exc else "the connection ended")

    def data_received(self, data: bytes) -> None:
        """Passes received data to the parser; unsolicited data closes the connection."""
        if self._parser is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            self._fail(f"not an HTTP response: {error}")
            self.close()

    def on_body(self, body: bytes) -> None:
        """Appends a part of the response body."""
        self._body += body
        if len(self._body) > MAX_RESPONSE_BYTES:
            self._fail("the response is too large")
            self.close()

    def on_message_complete(self) -> None:
        """Completes the exchange."""
        parser, self._parser = self._parser, None
        if parser is None or self._pending_response is None or self._pending_response.done():
            return
        if not parser.should_keep_alive():
            self.close()
        self._pending_response.set_result((parser.get_status_code(), bytes(self._body)))

    async def exchange(self, request: bytes, timeout_s: float) -> tuple[int, bytes]:
        """Writes a request and waits for its response.

        The connection is closed unless a complete response arrives.

        :raises AnswerLostError: if no complete response was received in time.
        """
        if self._transport is None:
            raise AnswerLostError("the connection is not open")
        self._parser = HttpResponseParser(self)
        self._body = bytearray()
        self._pending_response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        try:
            return await asyncio.wait_for(self._pending_response, timeout_s)
        except TimeoutError as error:
            raise AnswerLostError(f"no response in {timeout_s:.2f} s") from error
        finally:
            if not self._pending_response.done() or self._pending_response.cancelled():
                self.close()
            self._pending_response = None

    def close(self) -> None:
        """Closes the connection at once."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: str) -> None:
        if self._pending_response is not None and not self._pending_response.done():
            self._pending_response.set_exception(AnswerLostError(reason))


class HttpClient:
    """Client of one HTTP server.

    :param address: ``host:port`` with a numeric IP address.
    :param connect_timeout_s: limit for opening a connection, as part of a call's timeout.
    """

    def __init__(self, address: str, connect_timeout_s: float) -> None:
        self.address = address
        host, _, port = address.rpartition(":")
        self._host, self._port = host.strip("[]"), int(port)
        self._connect_timeout_s = connect_timeout_s
        self._idle: deque[_Connection] = deque()
        self.opened_connections = 0

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        """Sends a request and waits for the complete response.

        :raises NotSentError: if no connection could be opened.
        :raises AnswerLostError: if the request may have been sent, but the response was lost.
        """
        request = self._encode(method, target, body, headers)
        started_s = monotonic()
        connection = self._acquire_idle() or await self._open(
            min(timeout_s, self._connect_timeout_s)
        )
        sent_s = monotonic()
        remaining_s = max(timeout_s - (sent_s - started_s), 0.001)
        try:
            status, content = await connection.exchange(request, remaining_s)
        except AnswerLostError:
            self.close_idle()  # other connections to this server may be dead too
            raise
        received_s = monotonic()
        if connection.is_open and len(self._idle) < MAX_IDLE_CONNECTIONS:
            connection.idle_since_s = received_s
            self._idle.append(connection)
        else:
            connection.close()
        return HttpResponse(status, content, sent_s, received_s)

    def close_idle(self) -> None:
        """Closes the connections that carry no exchange."""
        while self._idle:
            self._idle.pop().close()

    def _acquire_idle(self) -> _Connection | None:
        oldest_allowed_s = monotonic() - MAX_IDLE_S
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and connection.idle_since_s >= oldest_allowed_s:
                return connection
            connection.close()
        return None

    async def _open(self, timeout_s: float) -> _Connection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(_Connection, self._host, self._port)
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"no connection to {self.address}: {error!r}") from error
        self.opened_connections += 1
        return connection

    def _encode(
        self, method: str, target: str, body: bytes, headers: Mapping[str, str] | None
    ) -> bytes:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address}"]
        if body or method == "POST":
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(body)}")
        for name, value in (headers or {}).items():
            lines.append(f"{name}: {value}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
