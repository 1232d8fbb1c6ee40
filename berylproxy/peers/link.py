"""One stream to another daemon: requests, replies and notices over one connection."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Any

from anyio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    EndOfStream,
    Event,
    aclose_forcefully,
    create_task_group,
    current_time,
    move_on_after,
)
from anyio.abc import ByteStream

from berylproxy.models import DaemonIdentity
from berylproxy.peers.codec import (
    MAX_FEED_BYTES,
    Frame,
    MessageCodec,
    NoticeFrame,
    RefusalFrame,
    ReplyFrame,
    RequestFrame,
)
from berylproxy.peers.errors import (
    PeerMessageTooLargeError,
    PeerReplyUndeliverableError,
    PeerRequestRefusedError,
)
from berylproxy.peers.membership import PeerLostError, PeerUnreachableError
from berylproxy.peers.settings import PeerSettings

STREAM_ENDED_ERRORS = (BrokenResourceError, ClosedResourceError, EndOfStream)
HandleRequest = Callable[["PeerLink", RequestFrame], None]
HandleNotice = Callable[["PeerLink", Any], None]


@dataclass(slots=True)
class LinkCounters:
    """Traffic counters, summed over all streams."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_frames: int = 0
    received_frames: int = 0
    writes: int = 0
    dropped_notices: int = 0
    late_replies: int = 0
    dropped_replies: int = 0


class _PendingRequest:
    """A request that was sent or queued on this side and has no reply yet."""

    __slots__ = ("event", "frame", "unsent")

    def __init__(self) -> None:
        self.event = Event()
        self.frame: Frame | None = None
        self.unsent = True


class PeerLink:
    """One open stream after its handshake.

    :param identity: the daemon at the other end.
    :param on_request: called with each received request; answers it with :meth:`reply`.
    :param on_notice: called with each received notice.
    """

    def __init__(
        self,
        stream: ByteStream,
        identity: DaemonIdentity,
        codec: MessageCodec,
        settings: PeerSettings,
        counters: LinkCounters,
        on_request: HandleRequest,
        on_notice: HandleNotice,
    ) -> None:
        self.identity = identity
        self.running_requests = 0
        self.opened_s = current_time()
        self.last_received_s = self.opened_s
        self._stream = stream
        self._codec = codec
        self._settings = settings
        self._counters = counters
        self._on_request = on_request
        self._on_notice = on_notice
        self._request_ids = count(1)
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._queued_frames: list[bytes] = []
        self._queued_requests: list[_PendingRequest] = []
        self._queued_bytes = 0
        self._wakeup = Event()
        self._scope = CancelScope()
        self._closed = False
        self._is_finishing = False
        self._ended = Event()

    @property
    def closed(self) -> bool:
        """Whether the stream has ended."""
        return self._closed

    @property
    def has_pending_requests(self) -> bool:
        """Whether a request sent on this stream has no reply yet."""
        return bool(self._pending_requests)

    @property
    def is_busy(self) -> bool:
        """Whether a received request is unanswered or queued data is not written yet."""
        return not self._closed and bool(self.running_requests or self._queued_bytes)

    async def run(self) -> None:
        """Serves the stream until either side ends it.

        :raises PeerProtocolError: if the other side violates the protocol.
        """
        try:
            with self._scope:
                async with create_task_group() as task_group:
                    task_group.start_soon(self._write)
                    await self._read()
                    task_group.cancel_scope.cancel()
        except ExceptionGroup as group:
            raise group.exceptions[0] from group
        finally:
            self.close()
            await aclose_forcefully(self._stream)
            self._ended.set()

    def close(self) -> None:
        """Ends the stream and fails every request that has no reply yet."""
        self._closed = True
        self._scope.cancel()
        pending_requests, self._pending_requests = self._pending_requests, {}
        for pending_request in pending_requests.values():
            pending_request.event.set()

    async def finish(self) -> None:
        """Ends this side's sending, and waits until the other side has read everything.

        The other side then ends the stream. A socket that is closed with unread data is reset, and
        what the other side has not read yet is lost.
        """
        if self._closed:
            return
        self._is_finishing = True
        try:
            await self._stream.send_eof()
        except STREAM_ENDED_ERRORS:
            self.close()
        await self._ended.wait()

    async def wait_closed(self) -> None:
        """Waits until the stream has ended and its socket is closed."""
        await self._ended.wait()

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Sends a message and waits for the reply.

        :raises PeerRequestRefusedError: if the other daemon answers with an error.
        :raises PeerUnreachableError: if the message was certainly not sent.
        :raises PeerLostError: if it was sent, but no reply arrived.
        """
        request_id = next(self._request_ids)
        pending_request = _PendingRequest()
        self._enqueue(RequestFrame(request_id, message), pending_request)
        self._pending_requests[request_id] = pending_request
        try:
            with move_on_after(timeout_s):
                await pending_request.event.wait()
        finally:
            self._pending_requests.pop(request_id, None)
        return self._get_result(pending_request, timeout_s)

    def notify(self, message: Any) -> None:
        """Queues a one-way message; drops and counts it if it cannot be queued."""
        try:
            self._enqueue(NoticeFrame(message))
        except PeerUnreachableError:
            self._counters.dropped_notices += 1

    def reply(self, frame: ReplyFrame | RefusalFrame) -> None:
        """Queues the reply to a request; drops and counts it if it cannot be queued.

        On an open stream a refusal is then sent in place of the reply, if there is room for one.
        """
        try:
            self._enqueue(frame)
        except PeerUnreachableError:
            self._counters.dropped_replies += 1
            is_open = not (self._closed or self._is_finishing)
            if is_open and isinstance(frame, ReplyFrame):
                self._send_undeliverable_refusal(frame.request_id)

    def _send_undeliverable_refusal(self, request_id: int) -> None:
        code = PeerReplyUndeliverableError.code
        refusal = RefusalFrame(request_id, code, "the reply could not be sent", None)
        data = self._codec.encode(refusal)
        if self._queued_bytes + len(data) <= self._settings.max_queued_bytes:
            self._append(data)

    def _get_result(self, pending_request: _PendingRequest, timeout_s: float) -> Any:
        match pending_request.frame:
            case ReplyFrame(_, message):
                return message
            case RefusalFrame(_, PeerReplyUndeliverableError.code, text, _):
                raise PeerLostError(text)
            case RefusalFrame(_, code, text, retry_after_s):
                raise PeerRequestRefusedError(code, text, retry_after_s=retry_after_s)
        name = self.identity.daemon_id
        if not self._closed:
            raise PeerLostError(f"no reply from daemon {name!r} within {timeout_s} s")
        if pending_request.unsent:
            raise PeerUnreachableError(
                f"the stream to daemon {name!r} ended before the request was sent"
            )
        raise PeerLostError(f"the stream to daemon {name!r} ended before the reply arrived")

    def _enqueue(self, frame: Frame, pending_request: _PendingRequest | None = None) -> None:
        name = self.identity.daemon_id
        if self._closed or self._is_finishing:
            raise PeerUnreachableError(f"the stream to daemon {name!r} has ended")
        data = self._codec.encode(frame)
        if len(data) > self._settings.max_message_bytes:
            raise PeerMessageTooLargeError(
                f"a message of {len(data)} bytes exceeds the maximum size"
            )
        if self._queued_bytes + len(data) > self._settings.max_queued_bytes:
            raise PeerUnreachableError(f"the send queue to daemon {name!r} is full")
        if pending_request is not None:
            self._queued_requests.append(pending_request)
        self._append(data)

    def _append(self, data: bytes) -> None:
        self._queued_frames.append(data)
        self._queued_bytes += len(data)
        self._wakeup.set()

    async def _write(self) -> None:
        try:
            while True:
                await self._wakeup.wait()
                await self._flush()
        except STREAM_ENDED_ERRORS:
            self.close()

    async def _flush(self) -> None:
        self._wakeup = Event()
        frames, self._queued_frames = self._queued_frames, []
        pending_requests, self._queued_requests = self._queued_requests, []
        for pending_request in pending_requests:
            pending_request.unsent = False
        data = b"".join(frames)
        self._counters.writes += 1
        self._counters.sent_frames += len(frames)
        self._counters.sent_bytes += len(data)
        try:
            await self._stream.send(data)
        finally:
            self._queued_bytes -= len(data)

    async def _read(self) -> None:
        decoder = self._codec.make_decoder(self._settings.max_message_bytes)
        while not self._closed:
            try:
                data = await self._stream.receive(MAX_FEED_BYTES)
            except STREAM_ENDED_ERRORS:
                return
            self.last_received_s = current_time()
            self._counters.received_bytes += len(data)
            for frame in decoder.feed(data):
                self._counters.received_frames += 1
                self._dispatch(frame)

    def _dispatch(self, frame: Frame) -> None:
        match frame:
            case RequestFrame():
                self._on_request(self, frame)
            case NoticeFrame(message):
                self._on_notice(self, message)
            case ReplyFrame() | RefusalFrame():
                self._complete_request(frame)

    def _complete_request(self, frame: ReplyFrame | RefusalFrame) -> None:
        pending_request = self._pending_requests.pop(frame.request_id, None)
        if pending_request is None:
            self._counters.late_replies += 1
            return
        pending_request.frame = frame
        pending_request.event.set()
