"""Steps for the TCP streams between daemons."""

import asyncio
import socket
import struct

import anyio
import uvloop
from behave import given, then, when

from berylproxy.peers.transport import StreamListener

TIMEOUT_S = 20.0
POLL_S = 0.005
LOOP_FACTORIES = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
RESET = struct.pack("ii", 1, 0)  # l_onoff, l_linger: closing then resets the connection


class TransportPair:
    """A stream under test and the plain socket at its other side, in an event loop of its own."""

    def __init__(self, loop: str) -> None:
        self.runner = asyncio.Runner(loop_factory=LOOP_FACTORIES[loop])
        self.received = bytearray()
        self.ends = 0
        self.drained = 0
        self.stream, self.other = self.run(self._open)

    def run(self, function, *arguments):
        """Runs a coroutine function in the event loop."""

        async def run_in_time():
            with anyio.fail_after(TIMEOUT_S):
                return await function(*arguments)

        return self.runner.run(run_in_time())

    async def _open(self):
        listener = StreamListener("127.0.0.1", 0)
        other = socket.create_connection(("127.0.0.1", listener.port))
        other.setblocking(False)
        stream = await listener.accept()
        listener.close()
        return stream, other

    async def send(self, pieces):
        """Sends pieces from the other side."""
        for piece in pieces:
            await asyncio.get_running_loop().sock_sendall(self.other, piece)

    def deliver(self):
        """Starts the delivery by callbacks."""
        self.stream.deliver(self.received.extend, self._note_end, self._note_drained)

    def _note_end(self):
        self.ends += 1

    def _note_drained(self):
        self.drained += 1

    async def wait_for_bytes(self, count):
        """Waits until so many bytes were delivered."""
        while len(self.received) < count:  # noqa: ASYNC110 - set by a callback
            await anyio.sleep(POLL_S)

    def close(self):
        """Closes both sides and the event loop."""
        self.stream.close()
        self.other.close()
        self.run(anyio.sleep, 0)
        self.runner.close()


def make_pair(context, loop):
    """Opens a pair that is closed at the end of the scenario."""
    context.transport_pair = TransportPair(loop)
    context.add_cleanup(context.transport_pair.close)
    return context.transport_pair


@given("a transport stream on {loop} whose other side sends {count:d} pieces of {size:d} bytes")
def step_sending_pair(context, loop, count, size):
    make_pair(context, loop)
    context.transport_pieces = [bytes([number % 251]) * size for number in range(count)]


@when("the transport stream receives {times:d} times and then delivers by callback")
def step_receive_then_deliver(context, times):
    pair, pieces = context.transport_pair, context.transport_pieces

    async def receive():
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(pair.send, pieces)
            for _ in range(times):
                pair.received += await pair.stream.receive()
            await anyio.sleep(10 * POLL_S)
            pair.deliver()
            await pair.wait_for_bytes(sum(map(len, pieces)))

    pair.run(receive)


@when("the transport stream is not read for {wait_s:g} s")
def step_unread(context, wait_s):
    pair, pieces = context.transport_pair, context.transport_pieces

    async def hold_then_deliver():
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(pair.send, pieces)
            await anyio.sleep(wait_s)
            context.transport_held_bytes = len(pair.stream._unread)
            pair.deliver()
            await pair.wait_for_bytes(sum(map(len, pieces)))

    pair.run(hold_then_deliver)


@then("the transport stream holds less than {limit_bytes:d} bytes")
def step_held(context, limit_bytes):
    assert 0 < context.transport_held_bytes < limit_bytes, context.transport_held_bytes


@then("the transport stream has passed on all pieces in order")
def step_all_in_order(context):
    assert context.transport_pair.received == b"".join(context.transport_pieces)


@when("the transport stream delivers by callback and the other side {end}")
def step_end(context, end):
    pair = context.transport_pair

    async def end_other_side():
        pair.deliver()
        await pair.send(context.transport_pieces)
        await pair.wait_for_bytes(1)
        if end == "ends its sending":
            pair.other.shutdown(socket.SHUT_WR)
        else:
            if end == "resets the stream":
                pair.other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            pair.other.close()
        while not pair.ends:  # noqa: ASYNC110 - set by a callback
            await anyio.sleep(POLL_S)
        pair.stream.close()
        await anyio.sleep(10 * POLL_S)

    pair.run(end_other_side)


@then("the transport stream has reported its end once")
def step_one_end(context):
    assert context.transport_pair.ends == 1, context.transport_pair.ends


@then("nothing can be written to the transport stream after it is closed")
def step_no_write(context):
    try:
        context.transport_pair.stream.write(b"late")
    except anyio.ClosedResourceError:
        return
    raise AssertionError("a write was accepted")


@given("a transport stream on {loop} whose other side does not read")
def step_silent_pair(context, loop):
    make_pair(context, loop)


@when("{count:d} bytes are written to the transport stream")
def step_write(context, count):
    pair = context.transport_pair
    context.transport_written_bytes = count

    async def write():
        pair.deliver()
        pair.stream.write(bytes(count))
        await anyio.sleep(10 * POLL_S)

    pair.run(write)


@then("the transport stream is congested until the other side has read them")
def step_congested(context):
    pair = context.transport_pair
    assert pair.stream.is_congested and not pair.drained

    async def read():
        read_bytes = 0
        while read_bytes < context.transport_written_bytes:
            data = await asyncio.get_running_loop().sock_recv(pair.other, 1024 * 1024)
            read_bytes += len(data)
        while not pair.drained:  # noqa: ASYNC110 - set by a callback
            await anyio.sleep(POLL_S)

    pair.run(read)
    assert not pair.stream.is_congested


@then('"{name}" has made at most {count:d} peer writes')
def step_writes(context, name, count):
    writes = context.peers[name].network.counters.writes
    assert writes <= count, writes
