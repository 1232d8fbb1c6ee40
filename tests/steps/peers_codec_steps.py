"""Steps for the codec of the streams."""

from behave import then
from hypothesis import strategies as st

from berylproxy.models import DaemonIdentity
from berylproxy.peers.codec import NoticeFrame, RefusalFrame, ReplyFrame, RequestFrame
from berylproxy.peers.errors import PeerProtocolError
from berylproxy.peers.membership import MemberStatus
from berylproxy.peers.messages import Heartbeat, LeaveNotice, MemberUpdate
from tests.support.peer_networks import FULL_CODEC, News
from tests.support.random_examples import run_examples

MAX_FRAME_BYTES = 4096
COUNTS = st.integers(0, 2**31)
IDENTITIES = st.builds(DaemonIdentity, *[st.text(max_size=12)] * 4)
UPDATES = st.builds(MemberUpdate, IDENTITIES, st.sampled_from(MemberStatus), COUNTS, st.booleans())
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
STATES = st.none() | st.dictionaries(st.text(), PLAIN, max_size=3)
HEARTBEATS = st.builds(
    Heartbeat,
    st.booleans(),
    COUNTS,
    COUNTS,
    COUNTS,
    STATES,
    st.lists(UPDATES, max_size=3).map(tuple),
)
MESSAGES = HEARTBEATS | st.builds(News, st.text()) | st.builds(LeaveNotice)
FRAMES = (
    st.builds(RequestFrame, COUNTS, MESSAGES)
    | st.builds(ReplyFrame, COUNTS, MESSAGES)
    | st.builds(NoticeFrame, MESSAGES)
    | st.builds(RefusalFrame, COUNTS, st.text(), st.text(), st.none() | st.floats(0, 1e6))
)


def decode_or_refuse(data):
    try:
        list(FULL_CODEC.make_decoder(MAX_FRAME_BYTES).feed(data))
    except PeerProtocolError:
        return


@then("{count:d} random peer messages split at random are decoded as they were encoded")
def step_round_trip(context, count):
    def check(example):
        frames, cut = example
        data = b"".join(map(FULL_CODEC.encode, frames))
        decoder = FULL_CODEC.make_decoder(1_000_000)
        middle = cut % (len(data) + 1)
        received = [*decoder.feed(data[:middle]), *decoder.feed(data[middle:])]
        assert received == frames

    run_examples(count, st.tuples(st.lists(FRAMES, max_size=3), COUNTS), check)


@then("{count:d} random inputs give peer frames or a peer_protocol_error")
def step_random_bytes(context, count):
    run_examples(count, st.binary(max_size=200), decode_or_refuse)


@then("{count:d} damaged peer frames give peer frames or a peer_protocol_error")
def step_damaged(context, count):
    def check(example):
        frame, place, byte = example
        data = bytearray(FULL_CODEC.encode(frame))
        data[place % len(data)] = byte
        decode_or_refuse(bytes(data))

    run_examples(count, st.tuples(FRAMES, COUNTS, st.integers(0, 255)), check)


@then("a peer message with an additional field is accepted")
def step_further_field(context):
    data = FULL_CODEC.encode(NoticeFrame(News("x")))
    longer = data.replace(b"\x81\xa4text", b"\x82\xa5added\x01\xa4text")
    assert longer != data
    assert list(FULL_CODEC.make_decoder(MAX_FRAME_BYTES).feed(longer)) == [NoticeFrame(News("x"))]
