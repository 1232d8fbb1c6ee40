"""Decodes messages and stored records and encodes them again; runs under the landed build.

Reads from standard input, and writes to standard output, a msgpack list of pairs: the kind of an
encoding and its bytes.
"""

import sys

from msgpack import packb, unpackb

from berylproxy.durable.holding.records import (
    decode_division,
    decode_final,
    decode_job,
    encode_division,
    encode_final,
    encode_job,
    encode_tombstone,
)
from berylproxy.durable.jobs.messages import DURABLE_MESSAGES
from berylproxy.peers.codec import MessageCodec
from berylproxy.peers.messages import CONTROL_MESSAGES

MAX_FRAME_BYTES = 1_000_000


def reencode_frame(data: bytes) -> bytes:
    """Decodes one frame of a stream and encodes it again."""
    codec = MessageCodec(DURABLE_MESSAGES).extend(CONTROL_MESSAGES)
    (frame,) = codec.make_decoder(MAX_FRAME_BYTES).feed(data)
    return codec.encode(frame)


def reencode_outcome(data: bytes) -> bytes:
    """Decodes the stored outcome of a job, or a tombstone, and encodes it again."""
    state, ended_unix_s = decode_final(data), unpackb(data)["ended"]
    return encode_tombstone(ended_unix_s) if state is None else encode_final(state, ended_unix_s)


REENCODERS = {
    "frame": reencode_frame,
    "open job": lambda data: encode_job(decode_job(data)),
    "outcome": reencode_outcome,
    "division": lambda data: encode_division(decode_division(data)),
}


if __name__ == "__main__":
    pairs = unpackb(sys.stdin.buffer.read())
    sys.stdout.buffer.write(packb([(kind, REENCODERS[kind](data)) for kind, data in pairs]))
