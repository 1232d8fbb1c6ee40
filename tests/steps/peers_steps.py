"""Steps for the streams between daemons and for the membership."""

import json
import signal
import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path

import anyio
from anyio import connect_tcp, create_task_group, fail_after
from anyio.from_thread import start_blocking_portal
from behave import given, then, use_step_matcher, when
from logbook import TestHandler

from berylproxy.peers.codec import NoticeFrame, ReplyFrame
from berylproxy.peers.errors import PeerSettingsError
from berylproxy.peers.handshake import (
    HANDSHAKE_CODEC,
    HandshakeRefusal,
    Hello,
)
from berylproxy.peers.membership import MemberStatus, PeerError
from berylproxy.peers.settings import PeerSettings, split_address
from tests.support.peer_networks import (
    FULL_CODEC,
    GUARD_S,
    KEY,
    NEVER_S,
    Answer,
    News,
    Node,
    Question,
    RawDaemon,
    Relay,
    dial_raw,
    make_identity,
    read_to_end,
)

ROOT = Path(__file__).resolve().parents[2]
NOTICES = 500
OTHER_KEY = b"a second key of the cluster"

use_step_matcher("parse")


def portal_of(context):
    """Starts the event loop of a scenario, and the log that it writes."""
    if "peer_portal" not in context:
        stack = ExitStack()
        context.add_cleanup(stack.close)
        context.peer_log = stack.enter_context(TestHandler().applicationbound())
        context.peer_portal = stack.enter_context(start_blocking_portal())
        context.peer_stack = stack
        context.peers = {}
    return context.peer_portal


def call(context, function, *arguments):
    return portal_of(context).call(function, *arguments)


def start(context, run):
    """Runs a service until the scenario ends and returns what it reports at its start."""
    future, value = portal_of(context).start_task(run)
    context.peer_stack.callback(future.cancel)
    return value


def start_node(context, name, **settings):
    portal_of(context)
    values = {"heartbeat_interval_s": 0.1, "handshake_timeout_s": GUARD_S} | settings

    async def make():
        return Node(name, **values)

    node = call(context, make)
    start(context, node.run)
    context.peers[name] = node
    return node


def start_pair(context, first, second, **settings):
    one = start_node(context, first, **settings)
    other = start_node(context, second, addresses=(one.address,), **settings)
    wait(context, one, lambda: one.knows(other))
    wait(context, other, lambda: other.knows(one))
    return one, other


def wait(context, node, condition):
    call(context, node.wait_until, condition)


def ask(context, name, incarnation, text, timeout_s=NEVER_S):
    context.peer_answer = context.peer_error = None
    network = context.peers[name].network

    async def request():
        with fail_after(GUARD_S):
            return await network.request(incarnation, Question(text), timeout_s)

    try:
        context.peer_answer = call(context, request)
    except PeerError as error:
        context.peer_error = error


# --- the handshake


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


@when("a peer dials a listener that reflects its proof")
def step_dial_reflector(context):
    async def reflect(stream):
        async with stream:
            await stream.receive()
            hello = Hello(1, 1, "berylproxy", make_identity("reflector"), bytes(32))
            await stream.send(HANDSHAKE_CODEC.encode(NoticeFrame(hello)))
            await stream.send(await stream.receive())
            await read_to_end(stream)

    async def run(*, task_status):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started(f"127.0.0.1:{port}")
        async with listener:
            await listener.serve(reflect)

    try_to_dial(context, start(context, run))


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


ALIEN_BYTES = {
    "an HTTP request": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "random bytes": bytes(range(255, 0, -7)),
    "a long frame": b"\xc6\x7f\xff\xff\xff" + bytes(8192),
    "a long list": b"\xdc\x0f\xff" * 1000,
    "nothing and waits": b"",
    "nothing and closes": None,
}


def send_as_alien(context, name, data):
    async def send():
        stream = await connect_tcp(*split_address(context.peers[name].address))
        if data is None:
            await stream.send_eof()
        elif data:
            await stream.send(data)
        async with stream:
            return await read_to_end(stream)

    context.peer_received = call(context, send)


@when('an alien sends "{name}" a hello of versions {oldest:d} to {newest:d}')
def step_send_version(context, name, oldest, newest):
    hello = Hello(newest, oldest, "berylproxy", make_identity("older"), bytes(32))
    send_as_alien(context, name, HANDSHAKE_CODEC.encode(NoticeFrame(hello)))


@when('an alien sends "{name}" {what}')
def step_send_alien(context, name, what):
    send_as_alien(context, name, ALIEN_BYTES[what])


@then("the alien is closed")
def step_alien_closed(context):
    assert context.peer_received == b"", context.peer_received


@then('the alien is told "{code}" with the versions {oldest:d} to {newest:d}')
def step_alien_told(context, code, oldest, newest):
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
    wait(context, genuine, lambda: genuine.knows(listening))


@when('{count:d} silent aliens connect to "{name}", which allows {limit:d} handshakes')
def step_flood(context, count, name, limit):
    node = start_node(context, name, max_handshakes=limit)

    async def connect():
        address = split_address(node.address)
        return [await connect_tcp(*address) for _ in range(count)]

    context.peer_aliens = call(context, connect)


@then("{count:d} aliens are closed at once")
def step_flood_closed(context, count):
    closed = []

    async def watch(stream, scope):
        await read_to_end(stream)
        closed.append(stream)
        if len(closed) == count:
            scope.cancel()

    async def watch_all():
        async with create_task_group() as task_group:
            for stream in context.peer_aliens:
                task_group.start_soon(watch, stream, task_group.cancel_scope)

    call(context, watch_all)
    assert len(closed) == count, len(closed)


@then('a genuine peer gets its stream to "{name}" when the silent aliens are gone')
def step_genuine_later(context, name):
    async def close():
        for stream in context.peer_aliens:
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


# --- the streams


@given('two peers "{first}" and "{second}" that know each other')
def step_two_peers(context, first, second):
    start_pair(context, first, second)


@given('two peers "{first}" and "{second}" that know each other and never give up on time')
def step_two_patient_peers(context, first, second):
    start_pair(context, first, second, heartbeat_timeout_s=NEVER_S, dead_after_s=NEVER_S)


@when('"{first}" asks "{second}" for "{text}" over the stream')
def step_ask(context, first, second, text):
    timeout_s = 0.05 if text == "never" else NEVER_S
    ask(context, first, context.peers[second].incarnation, text, timeout_s)


@when('"{first}" asks "{second}" for {count:d} letters over the stream')
def step_ask_long(context, first, second, count):
    ask(context, first, context.peers[second].incarnation, "x" * count)


@when('"{name}" asks an unknown incarnation over the stream')
def step_ask_unknown(context, name):
    ask(context, name, "0" * 12, "hello")


@then('the peer answer is "{text}"')
def step_answer(context, text):
    assert context.peer_answer == Answer(text), context.peer_error or context.peer_answer


@then('the peer request fails with "{code}"')
def step_request_fails(context, code):
    assert context.peer_error is not None, context.peer_answer
    assert context.peer_error.code == code, context.peer_error.code


@then('the peer request fails with "{code}" to be retried after {seconds:g} s')
def step_request_fails_for(context, code, seconds):
    step_request_fails(context, code)
    assert context.peer_error.retry_after_s == seconds, context.peer_error.retry_after_s


@when('"{first}" sends "{second}" {count:d} notices and a request')
def step_send_notices(context, first, second, count):
    sender, receiver = context.peers[first], context.peers[second]

    def notify():
        for number in range(count):
            sender.network.notify(receiver.incarnation, News(str(number)))

    call(context, notify)
    ask(context, first, receiver.incarnation, "last")


@then('"{name}" has got the {count:d} notices in order')
def step_got_notices(context, name, count):
    assert context.peers[name].news == [str(number) for number in range(count)]


def start_raw_member(context, name, on_questions, **settings):
    node = start_node(context, name, **settings)

    async def make():
        return RawDaemon("raw", on_questions)

    raw = call(context, make)
    address = start(context, raw.run)
    call(context, node.network.add_address, address)
    wait(context, node, lambda: node.knows(raw_as_node(raw)))
    context.peer_raw = raw
    return raw


def raw_as_node(raw):
    return type("Known", (), {"incarnation": raw.identity.incarnation})


@given('a peer "{name}" with a raw member that answers three questions in reverse, twice')
def step_raw_reversed(context, name):
    async def answer(_, stream, questions):
        if len(questions) < 3:
            return
        for frame in [*reversed(questions)] * 2:
            reply = ReplyFrame(frame.request_id, Answer(frame.message.text))
            await stream.send(FULL_CODEC.encode(reply))
        await stream.send(FULL_CODEC.encode(NoticeFrame(News("done"))))

    start_raw_member(context, name, answer)


@when('"{name}" asks the raw member three questions at once')
def step_ask_three(context, name):
    network = context.peers[name].network
    answers = {}

    async def one(text):
        incarnation = context.peer_raw.identity.incarnation
        answers[text] = await network.request(incarnation, Question(text), GUARD_S)

    async def ask_all():
        async with create_task_group() as task_group:
            for text in ("one", "two", "three"):
                task_group.start_soon(one, text)

    call(context, ask_all)
    context.peer_answers = answers


@then("each peer question has its own answer")
def step_own_answers(context):
    expected = {text: Answer(text) for text in ("one", "two", "three")}
    assert context.peer_answers == expected, context.peer_answers


@then('"{name}" has dropped {count:d} late peer replies')
def step_late_replies(context, name, count):
    node = context.peers[name]
    wait(context, node, lambda: node.news == ["done"])
    assert node.network.counters.late_replies == count, node.network.counters


@given('a peer "{name}" with a raw member that breaks off in mid-reply')
def step_raw_broken(context, name):
    async def answer(_, stream, questions):
        frame = questions[-1]
        data = FULL_CODEC.encode(ReplyFrame(frame.request_id, Answer("never whole")))
        await stream.send(data[:-3])
        await stream.aclose()

    start_raw_member(context, name, answer)


@when('"{name}" asks the raw member a question')
def step_ask_raw(context, name):
    ask(context, name, context.peer_raw.identity.incarnation, "hello")


@then('"{name}" dials the raw member a second time')
def step_second_stream(context, name):
    raw = context.peer_raw
    wait(context, context.peers[name], lambda: raw.streams == 2)


VALID = FULL_CODEC.encode(NoticeFrame(News("x")))
BROKEN_FRAMES = {
    "an oversized frame": b"\xc6\x7f\xff\xff\xff" + bytes(9_000_000),
    "an unknown message type": VALID.replace(b"News", b"Nows"),
    "a message with a wrong field": VALID.replace(b"text", b"test"),
    "bytes in place of text": VALID.replace(b"\xa1x", b"\xc4\x01x"),
    "a broken frame": b"\xc1",
}


@when('a member with the key sends "{name}" {what}')
def step_member_sends(context, name, what):
    async def send():
        stream = await dial_raw(context.peers[name].address, make_identity("broken"))
        async with stream:
            try:
                await stream.send(BROKEN_FRAMES[what])
            except anyio.BrokenResourceError:
                return  # closed before the whole of it was taken
            await read_to_end(stream)

    context.peer_error = None
    call(context, send)


@then('the member\'s stream is closed by "{name}"')
def step_member_closed(context, name):
    records = [r.message for r in context.peer_log.records if r.channel == f"peers-{name}"]
    assert any("closed the stream of broken" in message for message in records), records


@given('a raw member of "{name}" that does not read')
def step_raw_deaf(context, name):
    async def stall(*_):
        await anyio.sleep_forever()

    async def make():
        return RawDaemon("raw", stall)

    context.peer_raw = call(context, make)
    node = context.peers[name]
    call(context, node.network.add_address, start(context, context.peer_raw.run))
    wait(context, node, lambda: node.knows(raw_as_node(context.peer_raw)))


@when('"{name}" fills the queue of the raw member')
def step_fill_queue(context, name):
    network = context.peers[name].network
    incarnation = context.peer_raw.identity.incarnation

    def fill():
        for _ in range(8):
            network.notify(incarnation, News("x" * 4_000_000))

    async def send():
        with anyio.move_on_after(0.05):
            await network.request(incarnation, Question("stall"), GUARD_S)

    call(context, send)
    call(context, fill)
    ask(context, name, incarnation, "x" * 4_000_000)


@then('"{name}" counts a dropped peer notice')
def step_dropped_notices(context, name):
    assert context.peers[name].network.counters.dropped_notices >= 1


# --- the membership


@given('peers "{first}" and "{second}" that know only "{known}"')
def step_known_through(context, first, second, known):
    address = start_node(context, known).address
    for name in (first, second):
        start_node(context, name, addresses=(address,))


@then('"{first}" and "{second}" get streams to each other')
def step_streams_to_each_other(context, first, second):
    one, other = context.peers[first], context.peers[second]
    wait(context, one, lambda: one.knows(other))
    wait(context, other, lambda: other.knows(one))


@when('"{name}" provides the state {value:d} under "{concern}"')
def step_provide(context, name, value, concern):
    network = context.peers[name].network
    call(context, network.provide_heartbeat, concern, lambda: {"value": value})


@then('"{name}" sees the state {value:d} of "{other}" under "{concern}"')
def step_sees_state(context, name, value, other, concern):
    node = context.peers[name]
    expected = {concern: {"value": value}}
    wait(context, node, lambda: any(m.heartbeat == expected for m in node.network.members()))


@given('peers "{first}" and "{second}" whose streams run through relays')
def step_relayed(context, first, second):
    context.peer_relays = [Relay(), Relay()]
    addresses = [start(context, relay.run) for relay in context.peer_relays]
    nodes = []
    for index, name in enumerate((first, second)):
        nodes.append(
            start_node(
                context,
                name,
                advertised=addresses[index],
                addresses=(addresses[1 - index],),
                heartbeat_timeout_s=0.3,
                indirect_timeout_s=0.3,
                dead_after_s=30.0,
            )
        )
        context.peer_relays[index].target = nodes[index].address
    for one, other in (nodes, reversed(nodes)):
        wait(context, one, lambda one=one, other=other: one.knows(other))


@when("the relays silence the open connections")
def step_silence(context):
    context.peer_links = {name: dict(node.network._dialled) for name, node in context.peers.items()}
    for relay in context.peer_relays:
        call(context, relay.silence_open_connections)


@then("both peers get new streams and a request passes")
def step_new_streams(context):
    nodes = list(context.peers.values())
    for one, other in (nodes, nodes[::-1]):
        old = context.peer_links[one.name][other.incarnation]

        def has_new(one=one, other=other, old=old):
            return one.knows(other) and one.network._dialled[other.incarnation] is not old

        wait(context, one, has_new)
        ask(context, one.name, other.incarnation, "hello")
        step_answer(context, "hello")


@then("neither peer has ever been held for dead")
def step_never_dead(context):
    for node in context.peers.values():
        assert MemberStatus.DEAD not in [status for _, status in node.statuses], node.statuses


@when('"{name}" is stopped and started again under its name')
def step_restart(context, name):
    context.peer_old = context.peers[name]
    call(context, context.peer_old.stop)
    others = tuple(n.address for n in context.peers.values() if n is not context.peer_old)
    start_node(context, name, addresses=others, dead_after_s=NEVER_S)


@then('"{name}" holds the old incarnation of "{other}" for dead and the new one for alive')
def step_restarted(context, name, other):
    node, new, old = context.peers[name], context.peers[other], context.peer_old
    wait(context, node, lambda: node.status_of(old.incarnation) is MemberStatus.DEAD)
    wait(context, node, lambda: node.knows(new))
    current = [member.identity.incarnation for member in node.network.members()]
    assert current == [new.incarnation], current


@when('"{name}" is stopped without a word')
def step_stop(context, name):
    call(context, context.peers[name].stop)


@then('"{name}" holds "{other}" for {status:w}')
def step_holds_for(context, name, other, status):
    node, incarnation = context.peers[name], context.peers[other].incarnation
    wait(context, node, lambda: node.status_of(incarnation) == status)
    seen = [s for i, s in node.statuses if i == incarnation]
    assert status == "dead" or "dead" not in seen, seen


@when('"{name}" announces that it leaves')
def step_leave(context, name):
    call(context, context.peers[name].network.announce_leaving)


@then('"{name}" holds "{other}" for alive but not ready')
def step_not_ready(context, name, other):
    node, incarnation = context.peers[name], context.peers[other].incarnation
    entry = node.network.table.get(incarnation)
    wait(context, node, lambda: entry.leaving and not entry.member.ready)
    assert entry.member.status is MemberStatus.ALIVE, entry


@given('a peer "{name}" and a peer process "{process}" that know each other')
def step_peer_process(context, name, process):
    node = start_node(
        context, name, heartbeat_timeout_s=0.5, indirect_timeout_s=0.5, dead_after_s=2.0
    )
    command = [sys.executable, "-m", "tests.support.peer_process", process, node.address]
    child = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    context.peer_stack.callback(child.stdout.close)
    context.peer_stack.callback(child.wait)
    context.peer_stack.callback(child.kill)
    context.peer_process = child
    context.peer_frozen = json.loads(child.stdout.readline())["own"]
    wait(context, node, lambda: node.status_of(context.peer_frozen) is MemberStatus.ALIVE)
    wait(context, node, lambda: rounds_of(node, context.peer_frozen) > 2)


def rounds_of(node, incarnation):
    heartbeat = node.network.table.get(incarnation).member.heartbeat
    return heartbeat.get("rounds", {}).get("count", 0)


@when('the process is frozen until "{name}" holds it for dead')
def step_freeze(context, name):
    node = context.peers[name]
    context.peer_process.send_signal(signal.SIGSTOP)
    wait(context, node, lambda: node.status_of(context.peer_frozen) is MemberStatus.DEAD)


@when("the process is resumed")
def step_resume(context):
    context.peer_process.send_signal(signal.SIGCONT)


@then('"{name}" holds the process for alive again')
def step_alive_again(context, name):
    node, frozen = context.peers[name], context.peer_frozen
    wait(context, node, lambda: node.status_of(frozen) is MemberStatus.ALIVE)
    rounds = rounds_of(node, frozen)
    wait(context, node, lambda: rounds_of(node, frozen) > rounds + 3)


@then('the process has never held "{name}" for suspect or dead')
def step_never_suspected(context, name):
    context.peer_process.kill()
    lines = [json.loads(line) for line in context.peer_process.stdout]
    seen = [line["status"] for line in lines if line["incarnation"]]
    assert seen and set(seen) == {"alive"}, seen
