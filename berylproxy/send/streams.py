"""Network backend of httpcore for connections to endpoints.

The sender limits the time of the whole exchange, so that reads and writes ignore their own
timeouts. Written bytes are buffered until the next read, so that the head and the body of a request
go out in one send.
"""

from collections.abc import Iterable
from select import POLLIN, poll
from typing import Any

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    connect_tcp,
    fail_after,
)
from anyio.abc import ByteStream, SocketAttribute
from httpcore import (
    SOCKET_OPTION,
    AsyncNetworkBackend,
    AsyncNetworkStream,
    ConnectError,
    ConnectTimeout,
    ReadError,
    WriteError,
)

MAX_PENDING_BYTES = 64 * 1024


class ExchangeStream(AsyncNetworkStream):
    """A stream that buffers written bytes and sends them before the next read."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._pending = bytearray()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Sends the buffered bytes, then reads; returns no bytes at the end of the stream."""
        await self._flush()
        try:
            return await self._stream.receive(max_bytes)
        except EndOfStream:
            return b""
        except (BrokenResourceError, ClosedResourceError) as error:
            raise ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffers bytes; sends the buffer once it is large."""
        self._pending += buffer
        if len(self._pending) >= MAX_PENDING_BYTES:
            await self._flush()

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Returns whether the stream is readable for "is_readable", and ``None`` for other names.

        An idle connection becomes readable when the endpoint closes it.
        """
        if info == "is_readable":
            poller = poll()
            poller.register(self._stream.extra(SocketAttribute.raw_socket), POLLIN)
            return bool(poller.poll(0))
        return None

    async def _flush(self) -> None:
        if not self._pending:
            return
        pending, self._pending = bytes(self._pending), bytearray()
        try:
            await self._stream.send(pending)
        except (BrokenResourceError, ClosedResourceError) as error:
            raise WriteError(str(error)) from error


class ExchangeBackend(AsyncNetworkBackend):
    """Opens exchange streams over TCP."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[SOCKET_OPTION] | None = None,
    ) -> AsyncNetworkStream:
        """Opens a TCP connection; socket options are ignored."""
        try:
            with fail_after(timeout):
                return ExchangeStream(await connect_tcp(host, port, local_host=local_address))
        except TimeoutError as error:
            raise ConnectTimeout(str(error)) from error
        except OSError as error:
            raise ConnectError(str(error)) from error
