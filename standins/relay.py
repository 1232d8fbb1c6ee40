"""A TCP relay that injects network faults: resets, delays, silent connections and loss."""

import socket
import struct
from argparse import ArgumentParser
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import anyio
from anyio import BrokenResourceError, ClosedResourceError
from anyio.abc import SocketAttribute, SocketListener, SocketStream
from pydantic import BaseModel
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from standins.serving import announce, open_listener, port_of, serve_app

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends RST
LOSS_SEED = 1
# Time from the close by one side to the close of the relayed connection, which is needed because
# hypercorn keeps a connection open that its client has closed.
HALF_CLOSE_TIMEOUT_S = 0.5


class RelaySwitches(BaseModel):
    """Fault switches of the relayed link; ``None`` leaves a switch unchanged.

    :param cut: resets all connections and refuses new ones.
    :param silent: permanently drops all bytes of the connections that are open when it is set.
    :param delay_s: delay of each chunk, in both directions.
    :param bytes_per_s: what the link carries in each direction; 0 for no limit.
    :param lose_share: share of chunks that are lost; the connection of a lost chunk permanently
        drops all further bytes.
    :param target: ``host:port`` to which new connections are relayed.
    """

    cut: bool | None = None
    silent: bool | None = None
    delay_s: float | None = None
    bytes_per_s: int | None = None
    lose_share: float | None = None
    target: str | None = None


@dataclass(slots=True, eq=False)
class RelayedConnection:
    """A client's connection and the corresponding connection to the target."""

    client: SocketStream
    target: SocketStream
    silent: bool = False
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def reset(self) -> None:
        """Closes both sides immediately with a TCP reset."""
        for stream in (self.client, self.target):
            raw_socket = stream.extra(SocketAttribute.raw_socket)
            # The socket may be closed already if the peer has reset the connection.
            with suppress(OSError):
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.scope.cancel()


class Relay:
    """Relays TCP connections to a target; the socket listens from construction on.

    :param port: port to listen on; 0 lets the kernel choose.
    :param max_connections: limit of open connections, not counting silent ones; connections beyond
        it are closed immediately.
    """

    def __init__(
        self,
        host: str,
        port: int,
        target_host: str,
        target_port: int,
        max_connections: int | None = None,
    ) -> None:
        self.host = host
        # A bound socket that never listens reserves the port while connections are refused.
        self.reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind((host, port))
        self.port = port_of(self.reservation)
        self.listener = open_listener(host, self.port)
        self.target_host = target_host
        self.target_port = target_port
        self.max_connections = max_connections
        self.delay_s = 0.0
        self.bytes_per_s = 0
        self.bytes_to_clients = 0
        # The connections share the link in each direction; keyed by whether it is towards clients.
        self.link_turns = {True: anyio.Lock(), False: anyio.Lock()}
        self.lose_share = 0.0
        self.random = Random(LOSS_SEED)
        # Keyed by the local port of the connection to the target, the port that the target sees.
        self.connections: dict[int, RelayedConnection] = {}
        self.connecting = 0
        self.is_cut = False
        self.serving_scope = anyio.CancelScope()
        self.stopped = anyio.Event()
        self.restored = anyio.Event()

    async def run(self) -> None:
        """Serves until cancelled."""
        try:
            while True:
                with anyio.CancelScope() as self.serving_scope:
                    async with await SocketListener.from_socket(self.listener) as listener:
                        await listener.serve(self.relay_connection)
                self.stopped.set()
                await self.restored.wait()
        finally:
            self.reservation.close()

    async def apply(self, switches: RelaySwitches) -> None:
        """Applies the given switches; they are in effect on return."""
        if switches.delay_s is not None:
            self.delay_s = switches.delay_s
        if switches.bytes_per_s is not None:
            self.bytes_per_s = switches.bytes_per_s
        if switches.lose_share is not None:
            self.lose_share = switches.lose_share
        if switches.target is not None:
            self.target_host, self.target_port = parse_target(switches.target)
        if switches.silent:
            self.silence_open_connections()
        if switches.cut is not None and switches.cut != self.is_cut:
            await self.set_cut(switches.cut)

    async def set_cut(self, cut: bool) -> None:
        """Cuts or restores the link: a cut resets all connections and stops listening."""
        self.is_cut = cut
        if not cut:
            self.listener = open_listener(self.host, self.port)
            self.restored.set()
            return
        self.stopped = anyio.Event()
        self.restored = anyio.Event()
        for connection in list(self.connections.values()):
            connection.reset()
        self.serving_scope.cancel()
        await self.stopped.wait()

    def silence_open_connections(self) -> None:
        """Makes the open connections drop all bytes permanently; both ends stay open."""
        for connection in self.connections.values():
            connection.silent = True

    def is_full(self) -> bool:
        """Returns whether the limit of open connections is reached."""
        if self.max_connections is None:
            return False
        active = sum(not connection.silent for connection in self.connections.values())
        return active + self.connecting >= self.max_connections

    async def relay_connection(self, client: SocketStream) -> None:
        """Relays one connection until it is closed.

        Closes it immediately if the limit is reached or the target can't be reached.
        """
        async with client:
            if self.is_full():
                return
            target = await self.connect_target()
            if target is None:
                return
            async with target:
                await self.relay_both_directions(RelayedConnection(client, target))

    async def connect_target(self) -> SocketStream | None:
        """Connects to the target; returns ``None`` if that fails."""
        self.connecting += 1
        try:
            return await anyio.connect_tcp(self.target_host, self.target_port)
        except OSError:
            return None
        finally:
            self.connecting -= 1

    async def relay_both_directions(self, connection: RelayedConnection) -> None:
        """Relays both directions until the connection is closed or reset."""
        client, target = connection.client, connection.target
        port = target.extra(SocketAttribute.local_port)
        self.connections[port] = connection
        try:
            with connection.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.relay_direction, connection, client, target)
                    group.start_soon(self.relay_direction, connection, target, client)
        finally:
            del self.connections[port]

    async def relay_direction(
        self, connection: RelayedConnection, source: SocketStream, sink: SocketStream
    ) -> None:
        """Relays one direction until its source is closed."""
        try:
            async for chunk in source:
                await self.forward_chunk(connection, chunk, sink)
            if not connection.silent:
                await sink.send_eof()
                await anyio.sleep(HALF_CLOSE_TIMEOUT_S)
                connection.scope.cancel()
        except (BrokenResourceError, ClosedResourceError, OSError):
            if not connection.silent:
                connection.reset()

    async def forward_chunk(
        self, connection: RelayedConnection, chunk: bytes, sink: SocketStream
    ) -> None:
        """Forwards one chunk, after the delay, unless it is lost or its connection is silent."""
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        if self.bytes_per_s:
            async with self.link_turns[sink is connection.client]:
                await anyio.sleep(len(chunk) / self.bytes_per_s)
        if self.lose_share and self.random.random() < self.lose_share:
            connection.silent = True
        if not connection.silent:
            await sink.send(chunk)
            if sink is connection.client:
                self.bytes_to_clients += len(chunk)


def parse_target(target: str) -> tuple[str, int]:
    """Parses ``host:port``."""
    host, _, port = target.rpartition(":")
    return host, int(port)


def build_control_app(relay: Relay) -> Starlette:
    """Returns the application through which tests set the switches and read the traffic."""

    async def control(request: Request) -> JSONResponse:
        if request.method == "PUT":
            await relay.apply(RelaySwitches.model_validate_json(await request.body()))
        return JSONResponse({"bytes_to_clients": relay.bytes_to_clients})

    return Starlette(routes=[Route("/control", control, methods=["GET", "PUT"])])


async def main(host: str, port: int, target_host: str, target_port: int) -> None:
    """Runs the relay and its control listener."""
    relay = Relay(host, port, target_host, target_port)
    control = open_listener(host, 0)
    announce(port=relay.port, control_port=port_of(control))
    async with anyio.create_task_group() as group:
        group.start_soon(relay.run)
        group.start_soon(serve_app, build_control_app(relay), control)


def run() -> None:
    """Parses the command line and runs the relay."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--target", required=True, help="host:port")
    arguments = parser.parse_args()
    anyio.run(main, arguments.host, arguments.port, *parse_target(arguments.target))


if __name__ == "__main__":
    run()
