"""Hands received requests and notices to their handlers."""

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
NoticeHandler = Callable[[DaemonIdentity, Any], None]


class MessageRouter:
    """Calls the handler registered for a message's type and sends its reply or error back."""

    def __init__(self, max_running_requests: int, logger: Logger) -> None:
        self._max_running_requests = max_running_requests
        self._logger = logger
        self._request_handlers: dict[type, RequestHandler] = {}
        self._notice_handlers: dict[type, NoticeHandler] = {}
        self._task_group: TaskGroup | None = None

    def start(self, task_group: TaskGroup) -> None:
        """Sets where requests are handled: they outlive the stream that brought them."""
        self._task_group = task_group

    def handle_request(self, message_type: type, handler: RequestHandler) -> None:
        """Registers what answers a type of request."""
        self._request_handlers[message_type] = handler

    def handle_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Registers what takes a type of notice."""
        self._notice_handlers[message_type] = handler

    def route_request(self, link: PeerLink, frame: RequestFrame) -> None:
        """Begins to answer a request, or refuses it while too many run."""
        if link.running_requests >= self._max_running_requests:
            error = PeerOverloadedError("too many requests run", retry_after_s=OVERLOAD_RETRY_S)
            link.reply(_make_refusal(frame.request_id, error))
            return
        if self._task_group is None:
            raise RuntimeError("the router has not been started")
        link.running_requests += 1
        self._task_group.start_soon(self._answer, link, frame)

    def route_notice(self, link: PeerLink, message: Any) -> None:
        """Hands a notice over."""
        handler = self._notice_handlers.get(type(message))
        if handler is None:
            raise PeerProtocolError(f"{type(message).__name__} is not a notice here")
        try:
            handler(link.identity, message)
        except Exception:
            self._logger.exception("a notice of {} failed", link.identity.daemon_id)

    async def _answer(self, link: PeerLink, frame: RequestFrame) -> None:
        handler = self._request_handlers.get(type(frame.message))
        try:
            if handler is None:
                raise PeerProtocolError(f"{type(frame.message).__name__} is not a request here")
            link.reply(ReplyFrame(frame.request_id, await handler(link.identity, frame.message)))
        except BerylproxyError as error:
            link.reply(_make_refusal(frame.request_id, error))
        except Exception:
            self._logger.exception("a request of {} failed", link.identity.daemon_id)
            link.reply(_make_refusal(frame.request_id, BerylproxyError("the request failed")))
        finally:
            link.running_requests -= 1


def _make_refusal(request_id: int, error: BerylproxyError) -> RefusalFrame:
    return RefusalFrame(request_id, error.code, error.message, error.retry_after_s)
