"""HTTP/1.1 exchanges over kept connections, for the calls that a holder makes by the hundred.

httptools parses the answers. httpx and httpcore spend several times the processor time of such a
call on pools and per-step time-outs; here each exchange is bounded as a whole.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from time import monotonic

from httptools import HttpParserError, HttpResponseParser

from berylproxy.errors import BerylproxyError

IDLE_LIMIT_S = 10.0  # connections unused for longer may have gone silent
UNACKNOWLEDGED_LIMIT_MS = 2_000  # TCP_USER_TIMEOUT: a peer without power never resets
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 8


class ExchangeError(BerylproxyError):
    """Base of the errors of an exchange."""

    code = "exchange_error"


class NotSentError(ExchangeError):
    """No connection could be made: the other side has certainly not seen the request."""

    code = "not_sent"


class AnswerLostError(ExchangeError):
    """The request may have been sent and no whole answer came."""

    code = "answer_lost"


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer.

    :param sent_s: monotonic time at which the request was written.
    :param received_s: monotonic time at which the answer was complete.
    """

    status: int
    body: bytes
    sent_s: float
    received_s: float


class _Connection(asyncio.Protocol):
    """One connection that carries one exchange at a time."""

    def __init__(self) -> None:
        self.idle_since_s = 0.0
        self.is_open = False
        self._transport: asyncio.Transport | None = None
        self._parser: HttpResponseParser | None = None
        self._answer: asyncio.Future[tuple[int, bytes]] | None = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open transport."""
        self._transport = transport  # type: ignore[assignment]
        self.is_open = True
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange that is under way."""
        self.is_open = False
        self._fail(f"the connection ended: {exc}" if exc else "the connection ended")

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self._parser is None:
            self.close()  # nothing was asked, so nothing may come
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            self._fail(f"not an HTTP answer: {error}")
            self.close()

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        self._body += body
        if len(self._body) > MAX_ANSWER_BYTES:
            self._fail("the answer is too large")
            self.close()

    def on_message_complete(self) -> None:
        """Hands the whole answer over."""
        parser, self._parser = self._parser, None
        if parser is None or self._answer is None or self._answer.done():
            return
        if not parser.should_keep_alive():
            self.close()
        self._answer.set_result((parser.get_status_code(), bytes(self._body)))

    async def exchange(self, request: bytes, timeout_s: float) -> tuple[int, bytes]:
        """Writes a request and waits for its answer; closes unless a whole one came.

        :raises AnswerLostError: if none came in time.
        """
        if self._transport is None:
            raise AnswerLostError("the connection is not open")
        self._parser = HttpResponseParser(self)
        self._body = bytearray()
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        try:
            return await asyncio.wait_for(self._answer, timeout_s)
        except TimeoutError as error:
            raise AnswerLostError(f"no answer in {timeout_s:.2f} s") from error
        finally:
            if not self._answer.done() or self._answer.cancelled():
                self.close()
            self._answer = None

    def close(self) -> None:
        """Closes the connection at once."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: str) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(AnswerLostError(reason))


class HttpExchange:
    """Calls one HTTP server.

    :param address: ``host:port`` by IP number.
    :param connect_timeout_s: bound of opening a connection, within the time of a call.
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
    ) -> HttpAnswer:
        """Sends a request and waits for the whole answer.

        :raises NotSentError: if no connection could be made.
        :raises AnswerLostError: if the request may have been sent and no answer came.
        """
        request = self._encode(method, target, body, headers)
        started_s = monotonic()
        connection = self._take_idle() or await self._open(min(timeout_s, self._connect_timeout_s))
        sent_s = monotonic()
        left_s = max(timeout_s - (sent_s - started_s), 0.001)
        try:
            status, content = await connection.exchange(request, left_s)
        except AnswerLostError:
            self.close_idle()  # others to the same place may have gone silent too
            raise
        received_s = monotonic()
        if connection.is_open and len(self._idle) < MAX_IDLE_CONNECTIONS:
            connection.idle_since_s = received_s
            self._idle.append(connection)
        else:
            connection.close()
        return HttpAnswer(status, content, sent_s, received_s)

    def close_idle(self) -> None:
        """Closes the connections that wait for a request."""
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self) -> _Connection | None:
        oldest_s = monotonic() - IDLE_LIMIT_S
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and connection.idle_since_s >= oldest_s:
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
