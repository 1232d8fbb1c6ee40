"""A TCP relay whose connections can be cut, silenced, delayed or lost."""

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


class RelaySwitches(BaseModel):
    """What goes wrong on the relay's link; ``None`` leaves a switch as it is.

    :param cut: resets all connections and refuses new ones.
    :param silent: silences the connections open at the time of the switch, for good.
    :param delay_s: time by which each chunk is late, in both directions.
    :param lose_share: share of chunks at which their connection goes silent for good.
    """

    cut: bool | None = None
    silent: bool | None = None
    delay_s: float | None = None
    lose_share: float | None = None


@dataclass(slots=True, eq=False)
class RelayedConnection:
    """A client's connection and the one to the target that belongs to it."""

    client: SocketStream
    target: SocketStream
    silent: bool = False
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def reset(self) -> None:
        """Ends both sides at once, with a reset."""
        for stream in (self.client, self.target):
            raw_socket = stream.extra(SocketAttribute.raw_socket)
            # A connection that its other end has reset may be closed already.
            with suppress(OSError):
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.scope.cancel()


class Relay:
    """Listens from construction on and relays connections to a target.

    :param port: port to listen on; 0 lets the kernel pick.
    :param max_connections: number of open connections beyond which new ones are closed at once;
        silent ones do not count.
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
        # A bound socket that never listens keeps the port while connections are refused.
        self.reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind((host, port))
        self.port = port_of(self.reservation)
        self.listener = open_listener(host, self.port)
        self.target_host = target_host
        self.target_port = target_port
        self.max_connections = max_connections
        self.delay_s = 0.0
        self.lose_share = 0.0
        self.random = Random(LOSS_SEED)
        # By the local port of the side to the target, under which the target knows a connection.
        self.connections: dict[int, RelayedConnection] = {}
        self.opening = 0
        self.is_cut = False
        self.serving = anyio.CancelScope()
        self.stopped = anyio.Event()
        self.restored = anyio.Event()

    async def run(self) -> None:
        """Serves until cancelled."""
        try:
            while True:
                with anyio.CancelScope() as self.serving:
                    async with await SocketListener.from_socket(self.listener) as listener:
                        await listener.serve(self.relay_connection)
                self.stopped.set()
                await self.restored.wait()
        finally:
            self.reservation.close()

    async def apply(self, switches: RelaySwitches) -> None:
        """Sets the switches that are given; they are in force on return."""
        if switches.delay_s is not None:
            self.delay_s = switches.delay_s
        if switches.lose_share is not None:
            self.lose_share = switches.lose_share
        if switches.silent:
            self.silence_open_connections()
        if switches.cut is not None and switches.cut != self.is_cut:
            await self.set_cut(switches.cut)

    async def set_cut(self, cut: bool) -> None:
        """Resets all connections and stops listening, or listens again."""
        self.is_cut = cut
        if not cut:
            self.listener = open_listener(self.host, self.port)
            self.restored.set()
            return
        self.stopped = anyio.Event()
        self.restored = anyio.Event()
        for connection in list(self.connections.values()):
            connection.reset()
        self.serving.cancel()
        await self.stopped.wait()

    def silence_open_connections(self) -> None:
        """Makes the open connections drop all bytes for good; both ends stay open."""
        for connection in self.connections.values():
            connection.silent = True

    def is_full(self) -> bool:
        """Tells whether a new connection is to be closed."""
        if self.max_connections is None:
            return False
        carrying = sum(not connection.silent for connection in self.connections.values())
        return carrying + self.opening >= self.max_connections

    async def relay_connection(self, client: SocketStream) -> None:
        """Relays one connection until both sides have ended."""
        async with client:
            if self.is_full():
                return
            target = await self.connect_target()
            if target is None:
                return
            async with target:
                await self.pump_both_ways(RelayedConnection(client, target))

    async def connect_target(self) -> SocketStream | None:
        """Connects to the target; ``None`` if it refuses."""
        self.opening += 1
        try:
            return await anyio.connect_tcp(self.target_host, self.target_port)
        except OSError:
            return None
        finally:
            self.opening -= 1

    async def pump_both_ways(self, connection: RelayedConnection) -> None:
        """Relays both directions."""
        client, target = connection.client, connection.target
        port = target.extra(SocketAttribute.local_port)
        self.connections[port] = connection
        try:
            with connection.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.pump, connection, client, target)
                    group.start_soon(self.pump, connection, target, client)
        finally:
            del self.connections[port]

    async def pump(
        self, connection: RelayedConnection, source: SocketStream, sink: SocketStream
    ) -> None:
        """Relays one direction until its source ends."""
        try:
            async for chunk in source:
                await self.pass_chunk(connection, chunk, sink)
            if connection.silent:
                return
            await sink.send_eof()
            if source is connection.client:
                # hypercorn keeps a connection whose client has gone until its keep-alive time ends.
                connection.scope.cancel()
        except (BrokenResourceError, ClosedResourceError, OSError):
            if not connection.silent:
                connection.reset()

    async def pass_chunk(
        self, connection: RelayedConnection, chunk: bytes, sink: SocketStream
    ) -> None:
        """Passes one chunk on unless its connection is silent."""
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        if self.lose_share and self.random.random() < self.lose_share:
            connection.silent = True
        if not connection.silent:
            await sink.send(chunk)


def build_control_app(relay: Relay) -> Starlette:
    """Builds the application that sets the relay's switches."""

    async def control(request: Request) -> JSONResponse:
        await relay.apply(RelaySwitches.model_validate_json(await request.body()))
        return JSONResponse({})

    return Starlette(routes=[Route("/control", control, methods=["PUT"])])


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
    target_host, _, target_port = arguments.target.rpartition(":")
    anyio.run(main, arguments.host, arguments.port, target_host, int(target_port))


if __name__ == "__main__":
    run()
