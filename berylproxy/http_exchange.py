"""HTTP/1.1 client over persistent connections, for the hundreds of calls that a holder makes.

httptools parses the responses. httpx and httpcore spend several times the processor time of such a
call on connection pools and a timeout per step. Here one timeout covers the exchange until the
response begins; from then on it is given up on when it stops arriving, whatever its size.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass
from math import inf
from time import monotonic
from typing import NamedTuple

from httptools import HttpParserError, HttpResponseParser

from berylproxy.errors import BerylproxyError

MAX_IDLE_S = 10.0  # connections idle for longer may be dead without notice
TCP_USER_TIMEOUT_MS = 2_000  # a peer that lost power never resets the connection
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_RESPONSE_S = 30.0  # for a response that arrives ever so slowly, after the call's timeout
MAX_IDLE_CONNECTIONS = 8
MAX_COPIES = 3  # of a request that stays unanswered, besides the request itself


class ExchangeError(BerylproxyError):
    """Base class of the errors of an exchange."""

    code = "exchange_error"


class NotSentError(ExchangeError):
    """No connection could be opened: the server has certainly not received the request."""

    code = "not_sent"


class RefusedError(NotSentError):
    """The server's host refused the connection: no process listens at the address."""

    code = "connection_refused"


class AnswerLostError(ExchangeError):
    """The request may have been sent, but no complete response was received."""

    code = "answer_lost"


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    :param sent_s: monotonic time at which the request was written.
    :param received_s: monotonic time at which the response was complete.
    :param was_hedged: whether copies of the request were sent too. Those that are unanswered
        may have been received as well, or may be received later.
    """

    status: int
    body: bytes
    sent_s: float
    received_s: float
    was_hedged: bool = False


@dataclass(frozen=True, slots=True)
class Hedge:
    """Copies of a request, which are sent on other connections while there is no answer.

    The first copy is sent at once if the connection of the request breaks.

    :param after_s: time from the request to the first copy.
    :param interval_s: time from the first copy to the second one; it doubles with each copy.
    :param body: body of the copies; the server must allow for the request and copies of it being
        received, in any order.
    """

    after_s: float
    interval_s: float
    body: bytes


class _Connection(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    :ivar received_s: monotonic time at which the last part of the response arrived; ``-inf`` until
        it begins.
    """

    def __init__(self) -> None:
        self.idle_since_s = 0.0
        self.received_s = -inf
        self.is_open = False
        self._transport: asyncio.Transport | None = None
        self._parser: HttpResponseParser | None = None
        self._pending_response: asyncio.Future[tuple[int, bytes]] | None = None
        self._body = bytearray()

    @property
    def body_bytes(self) -> int:
        """Size of the part of the response body that has arrived."""
        return len(self._body)

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
        self.received_s = monotonic()
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

    def send(self, request: bytes) -> "asyncio.Future[tuple[int, bytes]]":
        """Writes a request and returns its response, to be awaited.

        The connection must be closed unless a complete response arrives.

        :raises AnswerLostError: if the connection has ended.
        """
        if self._transport is None:
            raise AnswerLostError("the connection is not open")
        self._parser = HttpResponseParser(self)
        self._body = bytearray()
        self.received_s = -inf
        self._pending_response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._pending_response

    def close(self) -> None:
        """Closes the connection at once."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: str) -> None:
        if self._pending_response is not None and not self._pending_response.done():
            self._pending_response.set_exception(AnswerLostError(reason))


class _Exchange(NamedTuple):
    """A request that was written to a connection, and its pending response."""

    connection: _Connection
    response: "asyncio.Future[tuple[int, bytes]]"
    sent_s: float

    def discard(self) -> None:
        """Closes the connection, which may yet receive the response, and ignores any error."""
        self.connection.close()
        if self.response.done() and not self.response.cancelled():
            self.response.exception()
        else:
            self.response.cancel()


@dataclass(frozen=True, slots=True)
class _Deadline:
    """When a call ends without a response.

    :param end_s: monotonic time by which a response must have begun.
    :param stall_timeout_s: time without any part of a response that has begun, after which it no
        longer counts.
    """

    end_s: float
    stall_timeout_s: float

    def put_off(self, exchanges: list[_Exchange], wait_end_s: float, gap_s: float) -> float:
        """Returns when to stop waiting; each part of a response that arrives puts it off.

        :param wait_end_s: when to stop waiting if no response has begun.
        :param gap_s: longest time without any part of a response that has begun.
        """
        received_s = max((e.connection.received_s for e in exchanges), default=-inf)
        arriving_until_s = received_s + min(gap_s, self.stall_timeout_s)
        return min(max(wait_end_s, arriving_until_s), self.end_s + MAX_RESPONSE_S)


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
        stall_timeout_s: float | None = None,
        headers: Mapping[str, str] | None = None,
        hedge: Hedge | None = None,
    ) -> HttpResponse:
        """Sends a request and waits for the complete response.

        :param timeout_s: time until the response begins.
        :param stall_timeout_s: time until each further part of it; ``timeout_s`` by default.
        :param hedge: copies to send while there is no answer; the first answer counts.
        :raises NotSentError: if no connection could be opened; :class:`RefusedError` if the host
            refused it.
        :raises AnswerLostError: if the request may have been sent, but the response was lost.
        """
        end_s = monotonic() + timeout_s
        deadline = _Deadline(end_s, timeout_s if stall_timeout_s is None else stall_timeout_s)
        exchanges: list[_Exchange] = []
        answered = None
        try:
            exchanges.append(await self._send(self._encode(method, target, body, headers), end_s))
            if hedge is None:
                answered = await _wait_for_any(exchanges, inf, inf, deadline)
            else:
                copy = self._encode(method, target, hedge.body, headers)
                answered = await self._send_hedged(exchanges, copy, hedge, deadline)
            if answered is None:
                raise AnswerLostError(_describe_loss(exchanges, timeout_s))
            received_s = monotonic()
        except AnswerLostError:
            self.close_idle()  # other connections to this server may be dead too
            raise
        finally:
            for exchange in exchanges:
                if exchange is not answered:
                    exchange.discard()
        self._keep_idle(answered.connection, received_s)
        status, content = answered.response.result()
        return HttpResponse(status, content, answered.sent_s, received_s, len(exchanges) > 1)

    async def _send_hedged(
        self, exchanges: list[_Exchange], request: bytes, hedge: Hedge, deadline: _Deadline
    ) -> _Exchange | None:
        """Sends copies of a request until an exchange has a complete response.

        :param exchanges: the exchange of the request itself; those of the copies are added.
        :param request: a copy of the request.
        """
        interval_s = hedge.interval_s
        answered = await _wait_for_any(exchanges, hedge.after_s, interval_s, deadline)
        for _ in range(MAX_COPIES):
            if answered is not None or monotonic() >= deadline.end_s:
                break
            with suppress(NotSentError, AnswerLostError):  # an earlier exchange may yet succeed
                exchanges.append(await self._send(request, deadline.end_s))
            answered = await _wait_for_any(exchanges, interval_s, interval_s, deadline)
            interval_s *= 2
        return answered or await _wait_for_any(exchanges, inf, inf, deadline)

    async def _send(self, request: bytes, end_s: float) -> _Exchange:
        """Writes a request to an idle or a new connection."""
        connect_timeout_s = min(max(end_s - monotonic(), 0.001), self._connect_timeout_s)
        connection = self._acquire_idle() or await self._open(connect_timeout_s)
        sent_s = monotonic()
        return _Exchange(connection, connection.send(request), sent_s)

    def _keep_idle(self, connection: _Connection, now_s: float) -> None:
        if connection.is_open and len(self._idle) < MAX_IDLE_CONNECTIONS:
            connection.idle_since_s = now_s
            self._idle.append(connection)
        else:
            connection.close()

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
        except ConnectionRefusedError as error:
            raise RefusedError(f"no connection to {self.address}: {error!r}") from error
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


async def _wait_for_any(
    exchanges: list[_Exchange], wait_s: float, gap_s: float, deadline: _Deadline
) -> _Exchange | None:
    """Returns the first exchange that has a complete response.

    :param gap_s: time without any part of a response that has begun, after which the wait may end.
    :return: ``None`` if there is none within the wait, or all exchanges have failed.
    """
    wait_end_s = min(monotonic() + wait_s, deadline.end_s)
    if len(exchanges) == 1:
        return await _wait_for(exchanges[0], wait_end_s, gap_s, deadline)
    pending = {exchange.response: exchange for exchange in exchanges}
    while pending:
        end_s = deadline.put_off(list(pending.values()), wait_end_s, gap_s)
        done, _ = await asyncio.wait(
            pending,
            timeout=max(end_s - monotonic(), 0.0),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done and deadline.put_off(list(pending.values()), wait_end_s, gap_s) <= monotonic():
            return None
        for response in done:
            exchange = pending.pop(response)
            if response.exception() is None:
                return exchange
    return None


async def _wait_for(
    exchange: _Exchange, wait_end_s: float, gap_s: float, deadline: _Deadline
) -> _Exchange | None:
    """Returns the exchange once it has a complete response; the common case of one request.

    :return: ``None`` if it has none within the wait, or has failed.
    """
    response = exchange.response
    while not response.done():
        end_s = deadline.put_off([exchange], wait_end_s, gap_s)
        if end_s <= monotonic():
            return None
        await _wait_until(response, end_s)
    return exchange if response.exception() is None else None


async def _wait_until(response: "asyncio.Future[tuple[int, bytes]]", end_s: float) -> None:
    """Waits until a response is complete or has failed, or until a monotonic time."""
    loop = asyncio.get_running_loop()
    waiter = loop.create_future()

    def wake(_: object = None) -> None:
        if not waiter.done():
            waiter.set_result(None)

    response.add_done_callback(wake)
    timer = loop.call_later(max(end_s - monotonic(), 0.0), wake)
    try:
        await waiter
    finally:
        timer.cancel()
        response.remove_done_callback(wake)


def _describe_loss(exchanges: list[_Exchange], timeout_s: float) -> str:
    """Returns why none of the exchanges has a complete response."""
    errors = [e.response.exception() for e in exchanges if e.response.done()]
    if errors:
        return str(errors[-1])
    body_bytes = max(exchange.connection.body_bytes for exchange in exchanges)
    if body_bytes:
        return f"the response stopped arriving after {body_bytes} bytes"
    return f"no response in {timeout_s:.2f} s"
