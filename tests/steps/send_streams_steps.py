"""Steps for the byte streams to endpoints."""

import socket

from anyio import BrokenResourceError, EndOfStream, fail_after, run
from anyio.lowlevel import checkpoint
from behave import given, then, when
from httpcore import ReadError, WriteError

from berylproxy.send.streams import ExchangeBackend, ExchangeStream

READ_BYTES = 100
CLOSE_TIMEOUT_S = 10.0


class ScriptedPeerStream:
    """A byte stream with a scripted peer.

    :param send_error: exception that each send raises.
    :param answer: bytes that each read returns, or an exception that it raises.
    """

    def __init__(self, send_error, answer):
        self.sent = []
        self._send_error = send_error
        self._answer = answer

    async def send(self, item):
        """Records the sent bytes."""
        if self._send_error is not None:
            raise self._send_error
        self.sent.append(item)

    async def receive(self, max_bytes):
        """Returns or raises the scripted answer."""
        if isinstance(self._answer, Exception):
            raise self._answer
        return self._answer


PEER_STREAMS = {
    "has reset": (BrokenResourceError(), b""),
    "resets before it ends": (None, BrokenResourceError()),
    "ends without answer": (None, EndOfStream()),
}


@given('an exchange stream whose peer answers "{answer}"')
def step_answering(context, answer):
    context.peer = ScriptedPeerStream(None, answer.encode())


@given("an exchange stream with a peer that {behaviour}")
def step_misbehaving(context, behaviour):
    context.peer = ScriptedPeerStream(*PEER_STREAMS[behaviour])


@when('"{head}" and "{body}" are written and an answer is read')
def step_exchange(context, head, body):
    async def exchange():
        stream = ExchangeStream(context.peer)
        await stream.write(head.encode())
        await stream.write(body.encode())
        return await stream.read(READ_BYTES)

    try:
        context.stream_result = run(exchange).decode()
    except (ReadError, WriteError) as error:
        context.stream_result = type(error).__name__


@when("{count:d} bytes are written")
def step_write(context, count):
    run(ExchangeStream(context.peer).write, b"x" * count)


@then('the stream sent "{sent}" at once and read "{answer}"')
def step_sent(context, sent, answer):
    assert context.peer.sent == [sent.encode()], context.peer.sent
    assert context.stream_result == answer


@then("the stream sent {count:d} bytes")
def step_sent_many(context, count):
    assert [len(item) for item in context.peer.sent] == [count]


@then('the stream\'s caller got "{result}"')
@then('the stream\'s caller got ""')
def step_result(context, result=""):
    assert context.stream_result == result, context.stream_result


@when("an exchange stream is connected to a listener on loopback")
def step_connect(context):
    async def check_readable():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            stream = await ExchangeBackend().connect_tcp(host, port)
            accepted, _ = listener.accept()
            before = stream.get_extra_info("is_readable")
            accepted.close()
            with fail_after(CLOSE_TIMEOUT_S):
                while not (after := stream.get_extra_info("is_readable")):
                    await checkpoint()
            await stream.aclose()
            return before, after

    context.readable = run(check_readable)


@then("the stream is not readable")
def step_not_readable(context):
    assert context.readable[0] is False


@then("it is readable once the listener's side has closed")
def step_readable(context):
    assert context.readable[1] is True
