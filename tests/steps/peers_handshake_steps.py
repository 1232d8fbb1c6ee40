"""Steps for the handshake of the streams between daemons."""

import socket
import struct
import time

import anyio
from anyio import connect_tcp, create_task_group
from behave import given, then, when

from berylproxy.peers.codec import MessageCodec, NoticeFrame
from berylproxy.peers.errors import PeerSettingsError
from berylproxy.peers.handshake import (
    HANDSHAKE_CODEC,
    Handshake,
    HandshakeRefusal,
    Hello,
)
from berylproxy.peers.membership import PeerError
from berylproxy.peers.messages import CONTROL_MESSAGES, LeaveNotice
from berylproxy.peers.settings import PeerSettings, split_address
from tests.support.peer_networks import (
    KEY,
    dial_raw,
    make_identity,
    read_to_end,
)
from tests.support.peer_scenario import (
    call,
    get_portal,
    start,
    start_node,
    wait,
)

PAUSE_S = 0.3
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends RST
OTHER_KEY = b"a second key of the cluster"


@given('a listening peer "{name}"')
def step_listening(context, name):
    start_node(context, name)


@given('a listening peer "{name}" that allows {seconds:g} s for a handshake')
def step_listening_briefly(context, name, seconds):
    start_node(context, name, handshake_timeout_s=seconds)


def try_to_dial(context, address, **values):
    context.peer_error = None

    async def dial():
        stream = await dial_raw(address, make_identity("stranger"), **values)
        await stream.aclose()

    try:
        call(context, dial)
    except PeerError as error:
        context.peer_error = error


@when('a peer dials "{name}" with the key "{key}"')
def step_dial_with_key(context, name, key):
    try_to_dial(context, context.peers[name].address, keys=(key.encode(),))


@when('a peer dials "{name}" with the old key and a new one')
def step_dial_with_two_keys(context, name):
    try_to_dial(context, context.peers[name].address, keys=(OTHER_KEY, KEY))


@when('a peer dials "{name}" without a key')
def step_dial_without_key(context, name):
    try_to_dial(context, context.peers[name].address, keys=())


@when('a peer dials "{name}" as a member of cluster "{cluster}"')
def step_dial_from_cluster(context, name, cluster):
    try_to_dial(context, context.peers[name].address, cluster=cluster)


def start_listener(context, serve):
    """Listens on the loopback, serves each connection, and returns the address."""

    async def run(*, task_status):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started(f"127.0.0.1:{port}")
        async with listener:
            await listener.serve(serve)

    return start(context, run)


@when("a peer dials a listener that reflects its proof")
def step_dial_reflector(context):
    async def reflect(stream):
        async with stream:
            await stream.receive()
            hello = Hello(1, 1, "berylproxy", make_identity("reflector"), bytes(32))
            await stream.send(HANDSHAKE_CODEC.encode(NoticeFrame(hello)))
            await stream.send(await stream.receive())
            await read_to_end(stream)

    try_to_dial(context, start_listener(context, reflect))


class CoalescingStream:
    """Sends its second message, the proof, together with further bytes.

    Stands for a network that delivers them late and so in one piece.
    """

    def __init__(self, stream, following):
        self._stream = stream
        self._following = following
        self._sent = 0
        self.receive = stream.receive

    async def send(self, data):
        self._sent += 1
        await self._stream.send(data + self._following if self._sent == 2 else data)


@when("a peer dials a listener whose proof arrives together with a notice")
def step_dial_coalescing(context):
    settings = PeerSettings(listen_address="127.0.0.1:0", keys=(KEY,))
    codec = MessageCodec(CONTROL_MESSAGES)
    context.sent_frame = NoticeFrame(LeaveNotice())
    following = codec.encode(context.sent_frame)
    context.peer_error, context.received_frames = None, []

    async def accept(stream):
        async with stream:
            coalescing = CoalescingStream(stream, following)
            identity = make_identity("acceptor")
            await Handshake(coalescing, identity, settings, lambda _: None).accept()
            await read_to_end(stream)

    async def dial(address):
        async with await connect_tcp(*split_address(address)) as stream:
            handshake = Handshake(stream, make_identity("dialler"), settings, lambda _: None)
            await handshake.dial()
            with anyio.fail_after(5):
                data = await handshake.stream.receive()
            context.received_frames = list(codec.make_decoder(2048).feed(data))

    try:
        call(context, dial, start_listener(context, accept))
    except PeerError as error:
        context.peer_error = error


@then("the notice is the first message of the dialled stream")
def step_first_message(context):
    assert context.received_frames == [context.sent_frame], context.received_frames


@then('the peer handshake fails with "{code}" saying "{words}"')
def step_handshake_fails(context, code, words):
    assert context.peer_error is not None, "the handshake succeeded"
    assert context.peer_error.code == code, context.peer_error.code
    assert words in context.peer_error.message, context.peer_error.message


@then("the peer handshake succeeds")
def step_handshake_succeeds(context):
    assert context.peer_error is None, context.peer_error


@then('peer "{name}" has no members')
def step_no_members(context, name):
    assert context.peers[name].network.members() == []


FOREIGN_BYTES = {
    "an HTTP request": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "random bytes": bytes(range(255, 0, -7)),
    "a long frame": b"\xc6\x7f\xff\xff\xff" + bytes(8192),
    "a long list": b"\xdc\x0f\xff" * 1000,
    "nothing and waits": b"",
    "nothing and closes": None,
}


def send_as_foreign_program(context, name, data):
    async def send():
        stream = await connect_tcp(*split_address(context.peers[name].address))
        if data is None:
            await stream.send_eof()
        elif data:
            await stream.send(data)
        async with stream:
            return await read_to_end(stream)

    context.peer_received = call(context, send)


@when('a foreign program sends "{name}" a hello of versions {oldest:d} to {newest:d}')
def step_send_version(context, name, oldest, newest):
    hello = Hello(newest, oldest, "berylproxy", make_identity("older"), bytes(32))
    send_as_foreign_program(context, name, HANDSHAKE_CODEC.encode(NoticeFrame(hello)))


@when('a foreign program sends "{name}" {what}')
def step_send_foreign(context, name, what):
    send_as_foreign_program(context, name, FOREIGN_BYTES[what])


@then("the foreign program is disconnected")
def step_foreign_closed(context):
    assert context.peer_received == b"", context.peer_received


@then('the foreign program is refused with "{code}" and the versions {oldest:d} to {newest:d}')
def step_foreign_refused(context, code, oldest, newest):
    decoder = HANDSHAKE_CODEC.make_decoder(4096)
    frames = list(decoder.feed(context.peer_received))
    refusal = frames[-1].message
    assert isinstance(refusal, HandshakeRefusal), frames
    assert refusal.code == code, refusal
    assert (refusal.oldest_protocol_version, refusal.protocol_version) == (oldest, newest), refusal


@then('peer "{name}" has logged one refusal saying "{words}"')
def step_logged_once(context, name, words):
    records = [r for r in context.peer_log.records if r.channel == f"peers-{name}"]
    matching = [r.message for r in records if words in r.message]
    assert len(matching) == 1, [r.message for r in records]


@then('a genuine peer gets its stream to "{name}"')
def step_genuine(context, name):
    listening = context.peers[name]
    genuine = start_node(context, "genuine", addresses=(listening.address,))
    wait(context, genuine, lambda: genuine.has_live_stream_to(listening))


@when(
    '{count:d} foreign programs that send nothing connect to "{name}", '
    "which allows {limit:d} handshakes"
)
def step_flood(context, count, name, limit):
    node = start_node(context, name, max_handshakes=limit)

    async def connect():
        address = split_address(node.address)
        return [await connect_tcp(*address) for _ in range(count)]

    context.foreign_streams = call(context, connect)


@then("{count:d} foreign programs are disconnected at once")
def step_flood_closed(context, count):
    closed = []

    async def watch(stream, scope):
        await read_to_end(stream)
        closed.append(stream)
        if len(closed) == count:
            scope.cancel()

    async def watch_all():
        async with create_task_group() as task_group:
            for stream in context.foreign_streams:
                task_group.start_soon(watch, stream, task_group.cancel_scope)

    call(context, watch_all)
    assert len(closed) == count, len(closed)


@then('a genuine peer gets its stream to "{name}" when the foreign programs are gone')
def step_genuine_later(context, name):
    async def close():
        for stream in context.foreign_streams:
            await stream.aclose()

    call(context, close)
    step_genuine(context, name)


@then('peer settings without keys for "{address}" fail with "{code}"')
def step_settings_fail(context, address, code):
    try:
        PeerSettings(address)
    except PeerSettingsError as error:
        assert error.code == code, error.code
        return
    raise AssertionError("the settings were accepted")


@then('peer settings without keys for "{address}" are accepted')
def step_settings_accepted(context, address):
    PeerSettings(address)


@then('peer settings with an IP name "{address}" fail with "{code}"')
def step_settings_name_fails(context, address, code):
    try:
        PeerSettings(address, keys=(KEY,))
    except PeerSettingsError as error:
        assert error.code == code, error.code
        return
    raise AssertionError("the settings were accepted")


@when('a foreign program connects to "{name}" and resets the connection while "{paused}" is paused')
def step_reset_unseen(context, name, paused):
    host, port = split_address(context.peers[paused].address)
    pause = get_portal(context).start_task_soon(time.sleep, PAUSE_S)
    time.sleep(PAUSE_S / 2)
    foreign_program = socket.create_connection((host, port))
    foreign_program.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    foreign_program.close()
    pause.result()
