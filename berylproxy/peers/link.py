"""One stream to another daemon: requests, replies and notices over one connection."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from time import monotonic
from typing import Any

from anyio import (
    CancelScope,
    ClosedResourceError,
    Event,
    move_on_after,
    sleep_forever,
)

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
from berylproxy.peers.transport import TransportStream

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

    :param first_bytes: what the other side has sent right after its handshake.
    :param identity: the daemon at the other end.
    :param on_request: called with each received request; answers it with :meth:`reply`.
    :param on_notice: called with each received notice.
    """

    def __init__(
        self,
        stream: TransportStream,
        first_bytes: bytes,
        identity: DaemonIdentity,
        codec: MessageCodec,
        settings: PeerSettings,
        counters: LinkCounters,
        on_request: HandleRequest,
        on_notice: HandleNotice,
    ) -> None:
        self.identity = identity
        self.running_requests = 0
        self.opened_s = monotonic()
        self.last_received_s = self.opened_s
        self._stream = stream
        self._first_bytes = first_bytes
        self._decoder = codec.make_decoder(settings.max_message_bytes)
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
        self._congested_bytes = 0
        self._is_flush_scheduled = False
        self._error: Exception | None = None
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
                self._receive(self._first_bytes)
                self._stream.deliver(self._receive, self.close, self._resume_writing)
                await sleep_forever()
        finally:
            self.close()
            self._stream.close()
            self._ended.set()
        if self._error is not None:
            raise self._error

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
        self._flush()
        self._is_finishing = True
        try:
            await self._stream.send_eof()
        except ClosedResourceError:
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
        if not self._is_flush_scheduled:
            # At the end of this iteration of the event loop, so that one write takes all its frames
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Writes the queued frames, unless what was written before still waits."""
        self._is_flush_scheduled = False
        if self._closed or self._congested_bytes or not self._queued_frames:
            return
        frames, self._queued_frames = self._queued_frames, []
        pending_requests, self._queued_requests = self._queued_requests, []
        for pending_request in pending_requests:
            pending_request.unsent = False
        data = b"".join(frames)
        self._counters.writes += 1
        self._counters.sent_frames += len(frames)
        self._counters.sent_bytes += len(data)
        try:
            self._stream.write(data)
        except ClosedResourceError:
            self.close()
            return
        if self._stream.is_congested:
            self._congested_bytes = len(data)
        else:
            self._queued_bytes -= len(data)

    def _resume_writing(self) -> None:
        self._queued_bytes -= self._congested_bytes
        self._congested_bytes = 0
        self._flush()

    def _receive(self, data: bytes) -> None:
        """Handles the frames that received data completes; an error ends the stream."""
        if self._closed or not data:
            return
        self.last_received_s = monotonic()
        self._counters.received_bytes += len(data)
        try:
            for start in range(0, len(data), MAX_FEED_BYTES):
                for frame in self._decoder.feed(data[start : start + MAX_FEED_BYTES]):
                    self._counters.received_frames += 1
                    self._dispatch(frame)
        except Exception as error:  # raised by run(), in the task of this stream
            self._error = error
            self.close()

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
