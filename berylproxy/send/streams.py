"""Byte streams below httpcore for connections to endpoints.

The whole exchange is bounded by the sender, so that reads and writes need no time-outs of their
own. What is written is held back until the next read: head and body of a request go out as one.
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

MAX_HELD_BYTES = 64 * 1024


class ExchangeStream(AsyncNetworkStream):
    """A stream that sends what was written once an answer is to be read."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._held = bytearray()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Sends what is held back and reads; empty at the end of the stream."""
        await self._flush()
        try:
            return await self._stream.receive(max_bytes)
        except EndOfStream:
            return b""
        except (BrokenResourceError, ClosedResourceError) as error:
            raise ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Holds bytes back, or sends them if they are many."""
        self._held += buffer
        if len(self._held) >= MAX_HELD_BYTES:
            await self._flush()

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Tells whether there is something to read: on an idle connection, its end."""
        if info == "is_readable":
            poller = poll()
            poller.register(self._stream.extra(SocketAttribute.raw_socket), POLLIN)
            return bool(poller.poll(0))
        return None

    async def _flush(self) -> None:
        if not self._held:
            return
        held, self._held = bytes(self._held), bytearray()
        try:
            await self._stream.send(held)
        except (BrokenResourceError, ClosedResourceError) as error:
            raise WriteError(str(error)) from error


class ExchangeBackend(AsyncNetworkBackend):
    """Opens such streams over TCP."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[SOCKET_OPTION] | None = None,
    ) -> AsyncNetworkStream:
        """Connects; the socket options stay unused."""
        try:
            with fail_after(timeout):
                return ExchangeStream(await connect_tcp(host, port, local_host=local_address))
        except TimeoutError as error:
            raise ConnectTimeout(str(error)) from error
        except OSError as error:
            raise ConnectError(str(error)) from error
