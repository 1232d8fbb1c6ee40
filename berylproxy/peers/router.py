"""Dispatches received requests and notices to their handlers."""

from collections.abc import Awaitable, Callable
from typing import Any

from anyio.abc import TaskGroup
from logbook import Logger

from berylproxy.errors import BerylproxyError
from berylproxy.models import DaemonIdentity
from berylproxy.peers.codec import RefusalFrame, ReplyFrame, RequestFrame
from berylproxy.peers.errors import PeerOverloadedError, PeerProtocolError
from berylproxy.peers.link import PeerLink

OVERLOAD_RETRY_S = 1.0

RequestHandler = Callable[[DaemonIdentity, Any], Awaitable[Any]]
ImmediateHandler = Callable[[DaemonIdentity, Any], Any]
NoticeHandler = Callable[[DaemonIdentity, Any], None]


class MessageRouter:
    """Calls the handler registered for a message's type and returns its reply or error."""

    def __init__(self, max_running_requests: int, logger: Logger) -> None:
        self._max_running_requests = max_running_requests
        self._logger = logger
        self._request_handlers: dict[type, RequestHandler] = {}
        self._immediate_handlers: dict[type, ImmediateHandler] = {}
        self._notice_handlers: dict[type, NoticeHandler] = {}
        self._task_group: TaskGroup | None = None

    def start(self, task_group: TaskGroup) -> None:
        """Sets the task group in which requests are handled.

        It belongs to the network, so that a request can outlive the stream it was received on.
        """
        self._task_group = task_group

    def handle_request(self, message_type: type, handler: RequestHandler) -> None:
        """Registers the handler for requests of a type."""
        self._request_handlers[message_type] = handler

    def answer_at_once(self, message_type: type, handler: ImmediateHandler) -> None:
        """Registers the handler for requests of a type that are answered without waiting.

        Such a request needs no task, and does not count as running.
        """
        self._immediate_handlers[message_type] = handler

    def handle_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Registers the handler for notices of a type."""
        self._notice_handlers[message_type] = handler

    def route_request(self, link: PeerLink, frame: RequestFrame) -> None:
        """Starts the handler of a request, or refuses it if too many are running on the stream."""
        immediate_handler = self._immediate_handlers.get(type(frame.message))
        if immediate_handler is not None:
            self._answer_at_once(immediate_handler, link, frame)
            return
        if link.running_requests >= self._max_running_requests:
            error = PeerOverloadedError(
                "too many requests of this stream are running", retry_after_s=OVERLOAD_RETRY_S
            )
            link.reply(_make_refusal(frame.request_id, error))
            return
        if self._task_group is None:
            raise RuntimeError("the router has not been started")
        link.running_requests += 1
        self._task_group.start_soon(self._answer, link, frame)

    def route_notice(self, link: PeerLink, message: Any) -> None:
        """Calls the handler of a notice.

        :raises PeerProtocolError: if notices of this type have no handler.
        """
        handler = self._notice_handlers.get(type(message))
        if handler is None:
            raise PeerProtocolError(f"no handler for notices of type {type(message).__name__}")
        try:
            handler(link.identity, message)
        except Exception:
            self._logger.exception("failed to handle a notice from {}", link.identity.daemon_id)

    def _answer_at_once(
        self, handler: ImmediateHandler, link: PeerLink, frame: RequestFrame
    ) -> None:
        try:
            link.reply(ReplyFrame(frame.request_id, handler(link.identity, frame.message)))
        except Exception as error:
            self._refuse(link, frame, error)

    async def _answer(self, link: PeerLink, frame: RequestFrame) -> None:
        handler = self._request_handlers.get(type(frame.message))
        try:
            if handler is None:
                raise PeerProtocolError(
                    f"no handler for requests of type {type(frame.message).__name__}"
                )
            link.reply(ReplyFrame(frame.request_id, await handler(link.identity, frame.message)))
        except Exception as error:
            self._refuse(link, frame, error)
        finally:
            link.running_requests -= 1

    def _refuse(self, link: PeerLink, frame: RequestFrame, error: Exception) -> None:
        """Replies with the error of a handler; logs one that no handler should raise."""
        if not isinstance(error, BerylproxyError):
            self._logger.exception("failed to handle a request from {}", link.identity.daemon_id)
            error = BerylproxyError("internal error in the request's handler")
        link.reply(_make_refusal(frame.request_id, error))


def _make_refusal(request_id: int, error: BerylproxyError) -> RefusalFrame:
    return RefusalFrame(request_id, error.code, error.message, error.retry_after_s)
