"""Accepts connections and runs their handshakes, a bounded number at a time."""

from collections.abc import Awaitable, Callable

from anyio import sleep
from anyio.abc import ByteStream, SocketAttribute, TaskGroup
from logbook import Logger

from berylproxy.models import DaemonIdentity
from berylproxy.peers.errors import PeerHandshakeError
from berylproxy.peers.handshake import Handshake
from berylproxy.peers.settings import PeerSettings, is_loopback
from berylproxy.peers.transport import StreamListener, TransportStream

ACCEPT_RETRY_S = 0.1

MakeHandshake = Callable[[ByteStream], Handshake]
ServeStream = Callable[[DaemonIdentity, TransportStream], Awaitable[None]]


class Acceptor:
    """Serves the accepted connections whose handshake proves a daemon of this cluster.

    :param make_handshake: creates the handshake for a connection.
    :param serve: runs the stream after the handshake.
    """

    def __init__(
        self,
        settings: PeerSettings,
        make_handshake: MakeHandshake,
        serve: ServeStream,
        logger: Logger,
    ) -> None:
        self._settings = settings
        self._make_handshake = make_handshake
        self._serve = serve
        self._logger = logger
        self._running_handshakes = 0
        self._is_full = False

    async def run(self, listener: StreamListener, task_group: TaskGroup) -> None:
        """Accepts connections until cancelled."""
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                self._logger.warning("cannot accept a connection: {}", error)
                await sleep(ACCEPT_RETRY_S)
                continue
            task_group.start_soon(self._serve_connection, stream)

    async def _serve_connection(self, stream: TransportStream) -> None:
        identity = None
        try:
            if self._has_capacity():
                identity = await self._run_handshake(stream)
        except PeerHandshakeError as error:
            self._logger.warning("refused a connection: {}", error, extra={"code": error.code})
        except OSError as error:
            self._logger.warning("a connection broke during its handshake: {}", error)
        finally:
            if identity is None:
                stream.close()
        if identity is not None:
            await self._serve(identity, stream)

    def _has_capacity(self) -> bool:
        was_full = self._is_full
        self._is_full = self._running_handshakes >= self._settings.max_handshakes
        if self._is_full and not was_full:
            self._logger.warning(
                "too many connections are in their handshake; refusing further ones"
            )
        return not self._is_full

    async def _run_handshake(self, stream: TransportStream) -> DaemonIdentity:
        self._running_handshakes += 1
        remote_host = "unknown host"
        try:
            address = stream.extra(SocketAttribute.remote_address, None)
            if address is None:
                raise ConnectionResetError("the remote side reset the connection")
            remote_host = address[0]
            if not self._settings.keys and not is_loopback(remote_host):
                raise PeerHandshakeError("connections from other hosts need a shared key")
            return await self._make_handshake(stream).accept()
        except PeerHandshakeError as error:
            raise type(error)(f"{remote_host}: {error.message}") from error
        finally:
            self._running_handshakes -= 1
