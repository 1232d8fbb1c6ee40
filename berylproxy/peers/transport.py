"""TCP streams between daemons, without a task that waits for data or writes it.

The handshake awaits what it receives. After it, the stream passes received data to a callback as it
arrives, and writes data at once: a message then costs one callback of the event loop on either side
instead of switches between tasks.
"""

import asyncio
import socket
from collections.abc import Callable, Mapping
from typing import Any

from anyio import BrokenResourceError, ClosedResourceError, EndOfStream
from anyio.abc import ByteStream, SocketAttribute

MAX_UNREAD_BYTES = 64 * 1024  # before the handshake is over; then reading pauses
BACKLOG = 512

OnData = Callable[[bytes], None]
OnEnd = Callable[[], None]


class TransportStream(asyncio.Protocol, ByteStream):
    """A connection that is read with :meth:`receive`, or by callbacks from :meth:`deliver` on.

    :ivar is_congested: whether written data has not been passed to the kernel yet.
    """

    def __init__(self) -> None:
        self.is_congested = False
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()
        self._has_ended = False
        self._is_closed = False
        self._changed = asyncio.Event()
        self._on_data: OnData | None = None
        self._on_end: OnEnd = _ignore
        self._on_drained: OnEnd = _ignore

    @classmethod
    async def connect(cls, host: str, port: int) -> "TransportStream":
        """Opens a connection.

        :raises OSError: if nothing listens at the address or it cannot be reached.
        """
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(cls, host, port)
        return stream

    def deliver(self, on_data: OnData, on_end: OnEnd, on_drained: OnEnd) -> None:
        """Passes what is received from now on to callbacks, at first what is unread.

        :param on_end: called once when the other side has ended the stream or it broke.
        :param on_drained: called when the stream is no longer congested.
        """
        self._on_data, self._on_end, self._on_drained = on_data, on_end, on_drained
        unread, self._unread = bytes(self._unread), bytearray()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        if unread:
            on_data(unread)
        if self._has_ended:
            on_end()

    def write(self, data: bytes) -> None:
        """Writes data without waiting.

        :raises ClosedResourceError: if the stream has ended.
        """
        if self._transport is None or self._is_closed or self._transport.is_closing():
            raise ClosedResourceError
        self._transport.write(data)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Waits for data and returns it."""
        while not self._unread:
            if self._is_closed:
                raise ClosedResourceError
            if self._has_ended:
                raise EndOfStream
            self._changed.clear()
            await self._changed.wait()
        data = bytes(self._unread[:max_bytes])
        del self._unread[:max_bytes]
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    async def send(self, item: bytes) -> None:
        """Writes data and waits until the kernel has taken it."""
        self.write(item)
        while self.is_congested:
            self._changed.clear()
            await self._changed.wait()
            if self._has_ended:
                raise BrokenResourceError

    async def send_eof(self) -> None:
        """Ends this side's sending."""
        if self._transport is None or self._transport.is_closing():
            raise ClosedResourceError
        self._transport.write_eof()

    async def aclose(self) -> None:
        """Closes the connection once written data has been sent."""
        self.close()

    def close(self) -> None:
        """Closes the connection once written data has been sent, without waiting for it."""
        self._is_closed = True
        self._changed.set()
        if self._transport is not None:
            self._transport.close()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """The address of the other side, unless that had reset the connection from the start."""
        address = self._transport.get_extra_info("peername") if self._transport else None
        return {SocketAttribute.remote_address: lambda: address} if address else {}

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, to report each write that the kernel does not take at once."""
        self._transport = transport  # type: ignore[assignment]
        self._transport.set_write_buffer_limits(0)
        raw_socket = transport.get_extra_info("socket")
        if raw_socket is not None:
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Delivers data, or keeps it until it is read."""
        if self._on_data is not None:
            self._on_data(data)
            return
        self._unread += data
        if len(self._unread) >= MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._changed.set()

    def eof_received(self) -> bool:
        """Reports the end, and keeps the connection open for writing."""
        self._end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end."""
        self._end()

    def pause_writing(self) -> None:
        """Notes that the kernel has not taken all written data."""
        self.is_congested = True

    def resume_writing(self) -> None:
        """Notes that the kernel has taken all written data."""
        self.is_congested = False
        self._changed.set()
        self._on_drained()

    def _end(self) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        self._changed.set()
        self._on_end()


class StreamListener:
    """Accepts connections at one address.

    :ivar port: the bound port.
    """

    def __init__(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]

    async def accept(self) -> TransportStream:
        """Waits for a connection.

        :raises OSError: if a connection cannot be accepted.
        """
        loop = asyncio.get_running_loop()
        accepted, _ = await loop.sock_accept(self._socket)
        _, stream = await loop.connect_accepted_socket(TransportStream, accepted)
        return stream

    def close(self) -> None:
        """Stops listening."""
        self._socket.close()


def _ignore() -> None:
    pass
