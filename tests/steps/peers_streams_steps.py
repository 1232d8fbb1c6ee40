"""Steps for requests and notices between daemons."""

import asyncio
from unittest.mock import patch

import anyio
from anyio import create_task_group, fail_after
from behave import given, then, when

from berylproxy.peers.codec import NoticeFrame, ReplyFrame
from tests.support.peer_networks import (
    FULL_CODEC,
    STEP_TIMEOUT_S,
    UNLIMITED_S,
    Answer,
    News,
    Question,
    RawDaemon,
    dial_raw,
    make_identity,
    read_to_end,
)
from tests.support.peer_scenario import (
    call,
    raw_as_node,
    send_question,
    start,
    start_pair,
    start_raw_member,
    wait,
)

SLOW_READ_S = 0.02  # before each 256 KB
DRAIN_TIMEOUT_S = 5.0


@given('two peers "{first}" and "{second}" that know each other')
def step_two_peers(context, first, second):
    start_pair(context, first, second)


@given('two peers "{first}" and "{second}" that know each other and never time out')
def step_two_patient_peers(context, first, second):
    start_pair(context, first, second, heartbeat_timeout_s=UNLIMITED_S, dead_after_s=UNLIMITED_S)


@when('"{first}" asks "{second}" for "{text}" over the stream')
def step_ask(context, first, second, text):
    timeout_s = 0.05 if text == "never" else UNLIMITED_S
    send_question(context, first, context.peers[second].incarnation, text, timeout_s)


@when('"{first}" asks "{second}" for {count:d} letters over the stream')
def step_ask_long(context, first, second, count):
    send_question(context, first, context.peers[second].incarnation, "x" * count)


@when('"{name}" asks an unknown incarnation over the stream')
def step_ask_unknown(context, name):
    send_question(context, name, "0" * 12, "hello")


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
    send_question(context, first, receiver.incarnation, "last")


@then('"{name}" has received the {count:d} notices in order')
def step_got_notices(context, name, count):
    assert context.peers[name].received_notices == [str(number) for number in range(count)]


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
        incarnation = context.raw_member.identity.incarnation
        answers[text] = await network.request(incarnation, Question(text), STEP_TIMEOUT_S)

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
    wait(context, node, lambda: node.received_notices == ["done"])
    assert node.network.counters.late_replies == count, node.network.counters


@given('a peer "{name}" with a raw member that closes the stream in the middle of a reply')
def step_raw_broken(context, name):
    async def answer(_, stream, questions):
        frame = questions[-1]
        data = FULL_CODEC.encode(ReplyFrame(frame.request_id, Answer("never whole")))
        await stream.send(data[:-3])
        await stream.aclose()

    start_raw_member(context, name, answer)


@when('"{name}" asks the raw member a question')
def step_ask_raw(context, name):
    send_question(context, name, context.raw_member.identity.incarnation, "hello")


@then('"{name}" dials the raw member a second time')
def step_second_stream(context, name):
    raw = context.raw_member
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
                return  # the peer closed the stream before it received all data
            await read_to_end(stream)

    context.peer_error = None
    call(context, send)


@then('the member\'s stream is closed by "{name}"')
def step_member_closed(context, name):
    records = [r.message for r in context.peer_log.records if r.channel == f"peers-{name}"]
    assert any("closed the stream of broken" in message for message in records), records


@given('a raw member of "{name}" that does not read')
def step_raw_not_reading(context, name):
    async def stall(*_):
        await anyio.sleep_forever()

    async def make():
        return RawDaemon("raw", stall)

    context.raw_member = call(context, make)
    node = context.peers[name]
    call(context, node.network.add_address, start(context, context.raw_member.run))
    wait(context, node, lambda: node.has_live_stream_to(raw_as_node(context.raw_member)))


@when('"{name}" fills the queue of the raw member')
def step_fill_queue(context, name):
    network = context.peers[name].network
    incarnation = context.raw_member.identity.incarnation

    def fill():
        for _ in range(8):
            network.notify(incarnation, News("x" * 4_000_000))

    async def send():
        with anyio.move_on_after(0.05):
            await network.request(incarnation, Question("stall"), STEP_TIMEOUT_S)

    call(context, send)
    call(context, fill)
    send_question(context, name, incarnation, "x" * 4_000_000)


@then('"{name}" counts a dropped peer notice')
def step_dropped_notices(context, name):
    assert context.peers[name].network.counters.dropped_notices >= 1


@when('"{first}" has asked "{second}" for "later" and "{draining}" drains its streams')
def step_drain(context, first, second, draining):
    asking, asked = context.peers[first], context.peers[second]
    context.drain_events = []

    async def request():
        await asking.network.request(asked.incarnation, Question("later"), UNLIMITED_S)
        context.drain_events.append("answered")

    async def drain():
        context.drain_events.append(await asked.network.drain(0))
        asked.answer_allowed.set()
        context.drain_events.append(await asked.network.drain(UNLIMITED_S))

    async def do_both():
        with fail_after(STEP_TIMEOUT_S):
            async with create_task_group() as task_group:
                task_group.start_soon(request)
                await asked.question_received.wait()
                task_group.start_soon(drain)

    call(context, do_both)


@then('"{name}" is drained only when "{other}" has received its peer answer')
def step_drained(context, name, other):
    assert context.drain_events[0] is False, context.drain_events
    assert sorted(map(str, context.drain_events[1:])) == ["True", "answered"], context.drain_events


@when(
    '"{first}" reads slowly, asks "{second}" for {count:d} letters in reply, sends on, and '
    '"{draining}" drains and stops'
)
def step_drain_large(context, first, second, count, draining):
    asking, asked = context.peers[first], context.peers[second]
    stream = asking.network._dialled[asked.incarnation]._stream
    transport, receive = stream._transport, stream._on_data

    def receive_slowly(data):
        receive(data)
        transport.pause_reading()
        asyncio.get_running_loop().call_later(SLOW_READ_S, transport.resume_reading)

    async def request():
        reply = await asking.network.request(
            asked.incarnation, Question(str(count)), STEP_TIMEOUT_S
        )
        context.reply_letters = len(reply.text)
        task_group.cancel_scope.cancel()

    async def send_on():
        while True:
            asking.network.notify(asked.incarnation, News("still here"))
            await anyio.sleep(0.001)

    async def stop():
        await asked.question_received.wait()
        await asked.network.drain(DRAIN_TIMEOUT_S)
        await asked.stop()

    async def do_all():
        nonlocal task_group
        with fail_after(STEP_TIMEOUT_S), patch.object(stream, "_on_data", receive_slowly):
            async with create_task_group() as task_group:
                task_group.start_soon(request)
                task_group.start_soon(send_on)
                task_group.start_soon(stop)

    task_group = None
    context.reply_letters, context.asked_letters = 0, count
    call(context, do_all)


@then('"{name}" has received the whole reply')
def step_whole_reply(context, name):
    assert context.reply_letters == context.asked_letters, context.reply_letters


@when('"{first}" sends "{second}" the largest notice among {count:d} small ones and a request')
def step_send_greatest(context, first, second, count):
    sender, receiver = context.peers[first], context.peers[second]
    overhead_bytes = len(FULL_CODEC.encode(NoticeFrame(News("x" * 100_000)))) - 100_000
    greatest = "x" * (sender.settings.max_message_bytes - overhead_bytes)

    def notify():
        for text in [*["small"] * (count // 2), greatest, *["small" * 1000] * (count // 2)]:
            sender.network.notify(receiver.incarnation, News(text))

    call(context, notify)
    send_question(context, first, receiver.incarnation, "last")


@then('"{name}" has received all {count:d} notices')
def step_got_all(context, name, count):
    assert len(context.peers[name].received_notices) == count, len(
        context.peers[name].received_notices
    )
