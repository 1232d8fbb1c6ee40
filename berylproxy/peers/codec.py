"""Frames of the streams: structs encoded as msgpack and validated when they are decoded."""

from collections.abc import Iterable, Iterator
from typing import Any

from msgpack import Unpacker
from msgspec import Struct, ValidationError, convert
from msgspec.msgpack import Encoder

from berylproxy.peers.errors import PeerProtocolError
from berylproxy.tables import describe_problem

REQUEST, REPLY, REFUSAL, NOTICE = range(4)
MAX_REQUEST_ID = 2**63
READ_BYTES = 16 * 1024
MAX_FEED_BYTES = 64 * 1024
MAX_CONTAINER_ITEMS = 16_384
MAX_PROBLEM_CHARACTERS = 200
# Types that msgpack has itself; of others, a converter would also accept their form in JSON.
NATIVE_TYPES = (bytes,)


class RequestFrame(Struct, frozen=True):
    """A message that expects a reply with the same request id."""

    request_id: int
    message: Any


class ReplyFrame(Struct, frozen=True):
    """The reply to a request."""

    request_id: int
    message: Any


class RefusalFrame(Struct, frozen=True):
    """The error that is returned instead of a reply."""

    request_id: int
    code: str
    message: str
    retry_after_s: float | None


class NoticeFrame(Struct, frozen=True):
    """A one-way message."""

    message: Any


Frame = RequestFrame | ReplyFrame | RefusalFrame | NoticeFrame


class MessageCodec:
    """Encodes and decodes frames that carry messages of registered types.

    Fields are encoded by name, so that a daemon of another version may add fields with defaults.

    :param message_types: structs or data classes, named by their ``WIRE_NAME`` or class name.
    """

    def __init__(self, message_types: Iterable[type]) -> None:
        self._types = tuple(dict.fromkeys(message_types))
        self._names = {kind: getattr(kind, "WIRE_NAME", kind.__name__) for kind in self._types}
        self._types_by_name = {name: kind for kind, name in self._names.items()}
        if len(self._types_by_name) != len(self._types):
            raise ValueError("two message types have the same name")
        self._encode = Encoder().encode
        self._last_notice: Any = None
        self._last_notice_bytes = b""

    def extend(self, message_types: Iterable[type]) -> "MessageCodec":
        """Returns a codec with further message types."""
        return MessageCodec((*self._types, *message_types))

    def encode(self, frame: Frame) -> bytes:
        """Encodes a frame.

        :raises TypeError: if the message's type is not registered or cannot be encoded.
        """
        match frame:
            case RequestFrame(request_id, message):
                return self._encode((REQUEST, request_id, self._name(message), message))
            case ReplyFrame(request_id, message):
                return self._encode((REPLY, request_id, self._name(message), message))
            case NoticeFrame(message):
                return self._encode_notice(message)
            case RefusalFrame(request_id, code, text, retry_after_s):
                return self._encode((REFUSAL, request_id, code, (text, retry_after_s)))

    def _encode_notice(self, message: Any) -> bytes:
        """Encodes a notice, which is often sent to many daemons, only once in a row.

        Messages are immutable.
        """
        if message is not self._last_notice:
            self._last_notice_bytes = self._encode((NOTICE, 0, self._name(message), message))
            self._last_notice = message
        return self._last_notice_bytes

    def make_decoder(
        self,
        max_frame_bytes: int,
        max_items: int = MAX_CONTAINER_ITEMS,
        max_feed_bytes: int = MAX_FEED_BYTES,
    ) -> "FrameDecoder":
        """Creates the decoder for one stream."""
        return FrameDecoder(self, max_frame_bytes, max_items, max_feed_bytes)

    def parse(self, value: Any) -> Frame:
        """Validates a decoded msgpack value and returns it as a frame.

        :raises PeerProtocolError: if the value is not a valid frame.
        """
        if type(value) is not list or len(value) != 4:
            raise PeerProtocolError("a frame is not a list of four items")
        frame_kind, request_id, name, body = value
        if type(request_id) is not int or not 0 <= request_id < MAX_REQUEST_ID:
            raise PeerProtocolError("a frame has no valid request id")
        if type(frame_kind) is not int or type(name) is not str:
            raise PeerProtocolError("a frame has no valid kind or message name")
        if frame_kind == REFUSAL:
            return _parse_refusal(request_id, name, body)
        message = self._parse_message(name, body)
        if frame_kind == REQUEST:
            return RequestFrame(request_id, message)
        if frame_kind == REPLY:
            return ReplyFrame(request_id, message)
        if frame_kind == NOTICE:
            return NoticeFrame(message)
        raise PeerProtocolError(f"unknown kind of frame {frame_kind}")

    def _name(self, message: Any) -> str:
        name = self._names.get(type(message))
        if name is None:
            raise TypeError(f"{type(message).__name__} is not a registered message type")
        return name

    def _parse_message(self, name: str, body: Any) -> Any:
        message_type = self._types_by_name.get(name)
        if message_type is None:
            raise PeerProtocolError(f"unknown message type {name[:64]!r}")
        if type(body) is not dict:
            raise PeerProtocolError(f"the body of {name} is not a map")
        try:
            return convert(body, message_type, builtin_types=NATIVE_TYPES)
        except ValidationError as error:
            problem = describe_problem(error)[:MAX_PROBLEM_CHARACTERS]
            raise PeerProtocolError(f"malformed {name}: {problem}") from error


class FrameDecoder:
    """Splits the bytes of one stream into validated frames.

    :param max_frame_bytes: maximum size of an incomplete frame that is buffered.
    :param max_items: maximum number of items in one list or map; msgpack allocates the space for
        them before they arrive.
    :param max_feed_bytes: maximum size of the data passed to one :meth:`feed`, which may contain
        the beginning of a later frame.
    """

    def __init__(
        self, codec: MessageCodec, max_frame_bytes: int, max_items: int, max_feed_bytes: int
    ) -> None:
        self._parse = codec.parse
        self._max_buffer_bytes = max_frame_bytes + max_feed_bytes
        self._unpacker = Unpacker(
            raw=False,
            read_size=min(READ_BYTES, max_frame_bytes),  # allocated when the stream opens
            max_buffer_size=self._max_buffer_bytes,
            max_str_len=max_frame_bytes,
            max_bin_len=max_frame_bytes,
            max_array_len=max_items,
            max_map_len=max_items,
            ext_hook=_reject_extension,
        )

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yields the frames that the data completes.

        :raises PeerProtocolError: at the first malformed byte or frame; the decoder is unusable
            afterwards.
        """
        for value in self._unpack(data):
            yield self._parse(value)

    def take_rest(self) -> bytes:
        """Removes and returns the bytes after the last frame that :meth:`feed` has yielded."""
        return self._unpacker.read_bytes(self._max_buffer_bytes)

    def _unpack(self, data: bytes) -> Iterator[Any]:
        try:
            self._unpacker.feed(data)
            yield from self._unpacker
        except PeerProtocolError:
            raise
        except Exception as error:  # msgpack does not document which errors bad input raises
            raise PeerProtocolError(f"not a msgpack stream: {type(error).__name__}") from error


def _parse_refusal(request_id: int, code: str, body: Any) -> RefusalFrame:
    if type(body) is not list or len(body) != 2 or type(body[0]) is not str:
        raise PeerProtocolError("malformed refusal")
    if body[1] is not None and type(body[1]) not in (int, float):
        raise PeerProtocolError("malformed refusal")
    return RefusalFrame(request_id, code, body[0], body[1])


def _reject_extension(code: int, _: bytes) -> Any:
    raise PeerProtocolError(f"msgpack extension type {code} is not supported")
