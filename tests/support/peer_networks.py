"""Networks, raw streams and a relay for the features of the streams between daemons."""

import os
from contextlib import suppress
from dataclasses import dataclass

from anyio import (
    TASK_STATUS_IGNORED,
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    EndOfStream,
    Event,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    fail_after,
    sleep_forever,
)
from anyio.abc import SocketAttribute
from logbook import Logger
from msgspec.structs import replace

from berylproxy.errors import BerylproxyError
from berylproxy.models import DaemonIdentity
from berylproxy.peers.codec import MessageCodec, ReplyFrame, RequestFrame
from berylproxy.peers.handshake import Handshake
from berylproxy.peers.membership import MemberStatus
from berylproxy.peers.messages import CONTROL_MESSAGES, Heartbeat, MemberList, MemberListRequest
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.peers.settings import PeerSettings, split_address

KEY = b"a shared key of the cluster"
STEP_TIMEOUT_S = 60
UNLIMITED_S = 100_000.0
LOOPBACK = "127.0.0.1:0"


@dataclass(frozen=True, slots=True)
class Question:
    """A request sent by the features."""

    text: str


@dataclass(frozen=True, slots=True)
class Answer:
    """The reply to a :class:`Question`."""

    text: str


@dataclass(frozen=True, slots=True)
class News:
    """A notice sent by the features."""

    text: str


CODEC = MessageCodec((Question, Answer, News))
FULL_CODEC = CODEC.extend(CONTROL_MESSAGES)


class TestError(BerylproxyError):
    """The error that a handler raises on demand."""

    code = "test_refusal"


class Node:
    """A peer network in this process that records the changes it reports."""

    def __init__(self, name, advertised="", **settings):
        self.name = name
        values = {"listen_address": LOOPBACK, "keys": (KEY,), "redial_max_delay_s": 0.2}
        self.settings = PeerSettings(**(values | settings))
        identity = DaemonIdentity(name, os.urandom(6).hex(), "domain-1", advertised)
        self.network = TcpPeerNetwork(identity, self.settings, CODEC, Logger(f"peers-{name}"))
        self.statuses = []
        self.received_notices = []
        self.question_received = Event()
        self.answer_allowed = Event()
        self.address = ""
        self._changed = Event()
        self._scope = CancelScope()
        self._ended = Event()
        self.network.on_change(self._record_change)
        self.network.handle_request(Question, self._answer)
        self.network.handle_notice(News, self._record_notice)

    @property
    def incarnation(self):
        return self.network.identity.incarnation

    def status_of(self, incarnation):
        entry = self.network.table.get(incarnation)
        return entry.member.status if entry else None

    def has_live_stream_to(self, other):
        """Returns whether there is a dialled stream to a member that is alive."""
        has_stream = other.incarnation in self.network._dialled
        return has_stream and self.status_of(other.incarnation) is MemberStatus.ALIVE

    async def run(self, *, task_status=TASK_STATUS_IGNORED):
        with self._scope:
            async with create_task_group() as task_group:
                self.address = await task_group.start(self.network.run)
                task_status.started(self)
        self._ended.set()

    async def stop(self):
        self._scope.cancel()
        with fail_after(STEP_TIMEOUT_S):
            await self._ended.wait()

    async def wait_until(self, condition):
        """Waits until a condition holds, checking it on each change of a member or stream."""
        with fail_after(STEP_TIMEOUT_S):
            while not condition():
                async with create_task_group() as task_group:
                    for event in (self._changed, self.network._link_opened):
                        task_group.start_soon(_cancel_after, event, task_group.cancel_scope)

    def _record_change(self, member):
        self.statuses.append((member.identity.incarnation, member.status))
        self._signal_change()

    def _signal_change(self):
        changed, self._changed = self._changed, Event()
        changed.set()

    def _record_notice(self, _, message):
        self.received_notices.append(message.text)
        self._signal_change()

    async def _answer(self, _, question):
        if question.text == "refuse":
            raise TestError("refused by the feature", retry_after_s=3.0)
        if question.text == "never":
            await sleep_forever()
        if question.text == "later":
            self.question_received.set()
            await self.answer_allowed.wait()
        if question.text.isdigit():
            self.question_received.set()
            return Answer("x" * int(question.text))
        return Answer(question.text)


async def _cancel_after(event, scope):
    await event.wait()
    scope.cancel()


def make_identity(name, address="127.0.0.1:1", incarnation=""):
    return DaemonIdentity(name, incarnation or os.urandom(6).hex(), "domain-1", address)


async def dial_raw(address, identity, keys=(KEY,), cluster="berylproxy"):
    """Dials a peer network and runs only the handshake."""
    stream = await connect_tcp(*split_address(address))
    settings = PeerSettings(
        LOOPBACK, keys=keys, cluster=cluster, handshake_timeout_s=STEP_TIMEOUT_S
    )
    try:
        await Handshake(stream, identity, settings, lambda _: None).dial()
    except BaseException:
        await stream.aclose()
        raise
    return stream


async def read_to_end(stream):
    """Reads until the other side closes the stream."""
    received = b""
    with (
        fail_after(STEP_TIMEOUT_S),
        suppress(EndOfStream, BrokenResourceError, ClosedResourceError),
    ):
        while True:
            received += await stream.receive()
    return received


class RawDaemon:
    """A member that answers heartbeats itself and leaves requests to a callback.

    :param on_questions: called with the daemon, the stream and the questions received on it so far.
    """

    def __init__(self, name, on_questions):
        self.identity = make_identity(name)
        self.streams = 0
        self._on_questions = on_questions

    async def run(self, *, task_status=TASK_STATUS_IGNORED):
        listener = await create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        self.identity = replace(self.identity, peer_address=address)
        task_status.started(address)
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, stream):
        settings = PeerSettings(LOOPBACK, keys=(KEY,), handshake_timeout_s=STEP_TIMEOUT_S)
        self.streams += 1
        questions = []
        decoder = FULL_CODEC.make_decoder(1_000_000)
        async with stream:
            await Handshake(stream, self.identity, settings, lambda _: None).accept()
            with suppress(EndOfStream, BrokenResourceError, ClosedResourceError):
                while True:
                    for frame in decoder.feed(await stream.receive()):
                        await self._handle_frame(stream, frame, questions)

    async def _handle_frame(self, stream, frame, questions):
        match frame:
            case RequestFrame(request_id, Heartbeat()):
                await stream.send(FULL_CODEC.encode(ReplyFrame(request_id, HEARTBEAT)))
            case RequestFrame(request_id, MemberListRequest()):
                await stream.send(FULL_CODEC.encode(ReplyFrame(request_id, MemberList(()))))
            case RequestFrame(_, Question()):
                questions.append(frame)
                await self._on_questions(self, stream, questions)


HEARTBEAT = Heartbeat(True, 0, 1, 1, {}, ())


class Relay:
    """Forwards connections to an address; can drop the data of the connections already open."""

    def __init__(self):
        self.target = ""
        self._blackholed_before = 0
        self.connections = 0

    def blackhole_open_connections(self):
        """Drops all further data of the current connections without closing them."""
        self._blackholed_before = self.connections

    async def run(self, *, task_status=TASK_STATUS_IGNORED):
        listener = await create_tcp_listener(local_host="127.0.0.1")
        task_status.started(f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}")
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, client):
        if not self.target:
            await client.aclose()
            return
        number = self.connections
        self.connections += 1
        server = await connect_tcp(*split_address(self.target))
        async with client, server, create_task_group() as task_group:
            task_group.start_soon(self._forward, client, server, number)
            task_group.start_soon(self._forward, server, client, number)

    async def _forward(self, source, sink, number):
        with suppress(EndOfStream, BrokenResourceError, ClosedResourceError):
            while True:
                data = await source.receive()
                if number >= self._blackholed_before:
                    await sink.send(data)
        if number >= self._blackholed_before:
            await sink.aclose()
