"""Frames of the streams: dataclasses encoded as msgpack and validated when they are decoded."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import cache
from typing import Any, NamedTuple

from msgpack import Packer, Unpacker
from pydantic import TypeAdapter
from pydantic_core import SchemaValidator, ValidationError

from berylproxy.peers.errors import PeerProtocolError

REQUEST, REPLY, REFUSAL, NOTICE = range(4)
MAX_REQUEST_ID = 2**63
READ_BYTES = 16 * 1024
MAX_FEED_BYTES = 64 * 1024
MAX_CONTAINER_ITEMS = 16_384
# Lax validation would turn str into bytes and numbers into str.
STRICT_TYPES = frozenset({"str", "bytes", "int", "float", "bool"})


@dataclass(frozen=True, slots=True)
class RequestFrame:
    """A message that expects a reply with the same request id."""

    request_id: int
    message: Any


@dataclass(frozen=True, slots=True)
class ReplyFrame:
    """The reply to a request."""

    request_id: int
    message: Any


@dataclass(frozen=True, slots=True)
class RefusalFrame:
    """The error that is returned instead of a reply."""

    request_id: int
    code: str
    message: str
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class NoticeFrame:
    """A one-way message."""

    message: Any


Frame = RequestFrame | ReplyFrame | RefusalFrame | NoticeFrame


class MessageCodec:
    """Encodes and decodes frames that carry messages of registered dataclasses.

    Fields are encoded by name, so that a daemon of another version may add fields with defaults.

    :param message_types: dataclasses, named on the wire by their ``WIRE_NAME`` or class name.
    """

    def __init__(self, message_types: Iterable[type]) -> None:
        self._types = tuple(dict.fromkeys(message_types))
        converters = {message_type: _make_converters(message_type) for message_type in self._types}
        self._dumpers = {kind: converter.dump for kind, converter in converters.items()}
        self._validators = {
            _wire_name(kind): converter.validate for kind, converter in converters.items()
        }
        if len(self._validators) != len(self._types):
            raise ValueError("two message types have the same name")
        self._pack = Packer(use_bin_type=True).pack
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
                return self._pack((REQUEST, request_id, *self._dump(message)))
            case ReplyFrame(request_id, message):
                return self._pack((REPLY, request_id, *self._dump(message)))
            case NoticeFrame(message):
                return self._encode_notice(message)
            case RefusalFrame(request_id, code, text, retry_after_s):
                return self._pack((REFUSAL, request_id, code, (text, retry_after_s)))

    def _encode_notice(self, message: Any) -> bytes:
        """Encodes a notice, which is often sent to many daemons, only once in a row.

        Messages are immutable.
        """
        if message is not self._last_notice:
            self._last_notice_bytes = self._pack((NOTICE, 0, *self._dump(message)))
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

    def _dump(self, message: Any) -> tuple[str, Any]:
        message_type = type(message)
        dump = self._dumpers.get(message_type)
        if dump is None:
            raise TypeError(f"{message_type.__name__} is not a registered message type")
        return _wire_name(message_type), dump(message)

    def _parse_message(self, name: str, body: Any) -> Any:
        validate = self._validators.get(name)
        if validate is None:
            raise PeerProtocolError(f"unknown message type {name[:64]!r}")
        if type(body) is not dict:
            raise PeerProtocolError(f"the body of {name} is not a map")
        try:
            return validate(body)
        except ValidationError as error:
            first = error.errors(include_url=False, include_input=False)[0]
            location = ".".join(map(str, first["loc"]))
            raise PeerProtocolError(f"malformed {name}: {location[:64]}: {first['msg']}") from error


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


class _Converters(NamedTuple):
    """Converts messages of one type to and from values that msgpack can encode.

    :param validate: raises :class:`ValidationError` for a value that is no such message.
    """

    dump: Callable[[Any], Any]
    validate: Callable[[Any], Any]


@cache
def _make_converters(message_type: type) -> _Converters:
    """Builds the converters of a message type once for all codecs of the process."""
    adapter = TypeAdapter(message_type)
    validator = SchemaValidator(_make_strict(adapter.core_schema))
    return _Converters(adapter.serializer.to_python, validator.validate_python)


def _wire_name(message_type: type) -> str:
    return getattr(message_type, "WIRE_NAME", message_type.__name__)


def _parse_refusal(request_id: int, code: str, body: Any) -> RefusalFrame:
    if type(body) is not list or len(body) != 2 or type(body[0]) is not str:
        raise PeerProtocolError("malformed refusal")
    if body[1] is not None and type(body[1]) not in (int, float):
        raise PeerProtocolError("malformed refusal")
    return RefusalFrame(request_id, code, body[0], body[1])


def _reject_extension(code: int, _: bytes) -> Any:
    raise PeerProtocolError(f"msgpack extension type {code} is not supported")


def _make_strict(schema: Any) -> Any:
    if isinstance(schema, dict):
        strict = {key: _make_strict(value) for key, value in schema.items()}
        if strict.get("type") in STRICT_TYPES:
            strict["strict"] = True
        return strict
    if isinstance(schema, list):
        return [_make_strict(item) for item in schema]
    return schema
