"""The streams to the other daemons and the membership learnt from them."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from anyio import (
    TASK_STATUS_IGNORED,
    aclose_forcefully,
    create_task_group,
    create_tcp_listener,
    current_time,
)
from anyio.abc import ByteStream, SocketAttribute, TaskGroup, TaskStatus
from logbook import Logger

from berylproxy.errors import BerylproxyError
from berylproxy.models import DaemonIdentity
from berylproxy.peers.codec import MessageCodec, RefusalFrame, ReplyFrame, RequestFrame
from berylproxy.peers.control import Control
from berylproxy.peers.dialler import Dialler
from berylproxy.peers.errors import (
    PeerHandshakeError,
    PeerOverloadedError,
    PeerProtocolError,
    PeerSettingsError,
)
from berylproxy.peers.handshake import Handshake
from berylproxy.peers.link import LinkCounters, PeerLink
from berylproxy.peers.membership import Member, PeerUnreachableError
from berylproxy.peers.messages import CONTROL_MESSAGES, LeaveNotice
from berylproxy.peers.settings import PeerSettings, is_loopback, join_address, split_address
from berylproxy.peers.table import MemberEntry, MemberTable

OVERLOAD_RETRY_S = 1.0

RequestHandler = Callable[[DaemonIdentity, Any], Awaitable[Any]]
NoticeHandler = Callable[[DaemonIdentity, Any], None]


class TcpPeerNetwork:
    """Implements :class:`berylproxy.peers.membership.PeerNetwork` over TCP.

    Each daemon dials each other one and sends its requests and notices on the stream that it
    dialled; replies come back on the same stream.

    :param identity: this daemon; an empty address or port 0 is replaced by the bound address.
    :param codec: knows the messages of the other concerns.
    """

    def __init__(
        self,
        identity: DaemonIdentity,
        settings: PeerSettings,
        codec: MessageCodec,
        logger: Logger,
    ) -> None:
        self.identity = identity
        self.counters = LinkCounters()
        self.table = MemberTable(
            settings.dead_after_s, settings.forget_after_s, current_time, self._on_unknown
        )
        self._settings = settings
        self._codec = codec.extend(CONTROL_MESSAGES)
        self._logger = logger
        self._request_handlers: dict[type, RequestHandler] = {}
        self._notice_handlers: dict[type, NoticeHandler] = {}
        self._dialled: dict[str, PeerLink] = {}
        self._accepted: dict[str, PeerLink] = {}
        self._handshakes = 0
        self._refusing = False
        self._task_group: TaskGroup | None = None
        self._dialler = Dialler(settings, self._serve_dialled, self._on_refused, logger)
        self._control = Control(self, settings)
        self.table.on_change(self._close_if_dead)

    def handle_request(self, message_type: type, handler: RequestHandler) -> None:
        """Registers what answers a type of request."""
        self._request_handlers[message_type] = handler

    def handle_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Registers what takes a type of notice."""
        self._notice_handlers[message_type] = handler

    def provide_heartbeat(self, name: str, provide: Callable[[], dict[str, Any]]) -> None:
        """Adds a concern's state to the heartbeats."""
        self._control.provide(name, provide)

    def on_change(self, listener: Callable[[Member], None]) -> None:
        """Calls the listener when a member's status, readiness or state has changed."""
        self.table.on_change(listener)

    def add_address(self, address: str) -> None:
        """Adds the ``host:port`` of another daemon."""
        if address != self.identity.peer_address:
            self._dialler.add(address)

    def members(self) -> list[Member]:
        """Lists the other members, alive ones first."""
        return self.table.members()

    def links(self, incarnation: str) -> list[PeerLink]:
        """Lists the open streams of a member, the dialled one first."""
        links = (self._dialled.get(incarnation), self._accepted.get(incarnation))
        return [link for link in links if link is not None and not link.closed]

    async def request(self, incarnation: str, message: Any, timeout_s: float) -> Any:
        """Sends a message to one incarnation and waits for the reply.

        :raises PeerRequestRefusedError: if the other daemon answered with an error.
        :raises PeerUnreachableError: if the message was certainly not delivered.
        :raises PeerLostError: if it may have been.
        """
        link = self._dialled.get(incarnation)
        if link is None:
            raise PeerUnreachableError(f"there is no stream to incarnation {incarnation}")
        return await link.request(message, timeout_s)

    def notify(self, incarnation: str, message: Any) -> None:
        """Queues a message without reply; drops and counts it if there is no stream."""
        link = self._dialled.get(incarnation)
        if link is None:
            self.counters.dropped_notices += 1
        else:
            link.notify(message)

    def set_ready(self, ready: bool) -> None:
        """Tells the others with the next heartbeats whether this daemon takes new work."""
        self._control.ready = ready

    def announce_leaving(self) -> None:
        """Tells all members at once that this daemon is stopping."""
        self.set_ready(False)
        for incarnation in list(self._dialled):
            self.notify(incarnation, LeaveNotice())

    async def run(self, *, task_status: TaskStatus[str] = TASK_STATUS_IGNORED) -> None:
        """Listens, dials and sends heartbeats until cancelled; reports the bound address."""
        host, port = split_address(self._settings.listen_address)
        listener = await create_tcp_listener(local_host=host, local_port=port)
        async with listener, create_task_group() as task_group:
            bound = join_address(host, listener.extra(SocketAttribute.local_port))
            self._take_bound_address(bound)
            self._task_group = task_group
            task_group.start_soon(listener.serve, self._serve_accepted)
            for address in self._settings.addresses:
                self.add_address(address)
            self._dialler.start(task_group)
            task_group.start_soon(self._control.run)
            task_status.started(bound)

    def _take_bound_address(self, bound: str) -> None:
        address = self.identity.peer_address
        if not address or split_address(address)[1] == 0:
            self.identity = replace(self.identity, peer_address=bound)
        self.table.set_own_identity(self.identity)
        self._dialler.exclude(self.identity.peer_address)

    async def _serve_accepted(self, stream: ByteStream) -> None:
        try:
            identity = await self._accept(stream)
        except PeerHandshakeError as error:
            remote = stream.extra(SocketAttribute.remote_address, ("unknown",))
            self._logger.warning("refused a connection from {}: {}", remote[0], error.message)
            await aclose_forcefully(stream)
            return
        except BaseException:
            await aclose_forcefully(stream)
            raise
        if identity is None:
            await aclose_forcefully(stream)
            return
        # The dialling side has only one stream: it has given up the older one.
        older = self._accepted.get(identity.incarnation)
        if older is not None:
            older.close()
        await self._run_link(stream, identity, self._accepted)

    async def _accept(self, stream: ByteStream) -> DaemonIdentity | None:
        """Runs the handshake; returns ``None`` while there are too many of them."""
        if self._handshakes >= self._settings.max_handshakes:
            if not self._refusing:
                self._logger.warning("too many connections in their handshake, refusing more")
            self._refusing = True
            return None
        self._handshakes += 1
        try:
            remote_host = stream.extra(SocketAttribute.remote_address)[0]
            if not self._settings.keys and not is_loopback(remote_host):
                raise PeerHandshakeError("not a loopback address and there is no key")
            handshake = Handshake(stream, self.identity, self._settings, self._check_identity)
            return await handshake.accept()
        finally:
            self._handshakes -= 1
            self._refusing = self._refusing and self._handshakes > 0

    async def _serve_dialled(self, address: str, stream: ByteStream) -> bool:
        try:
            handshake = Handshake(stream, self.identity, self._settings, self._check_identity)
            identity = await handshake.dial()
        except BaseException:
            await aclose_forcefully(stream)
            raise
        older = self._dialled.get(identity.incarnation)
        if older is not None and not older.closed:
            await aclose_forcefully(stream)
            return identity.peer_address == address
        await self._run_link(stream, identity, self._dialled)
        return True

    def _check_identity(self, identity: DaemonIdentity) -> None:
        if identity.incarnation == self.identity.incarnation:
            raise PeerHandshakeError("this daemon dialled itself")
        if identity.daemon_id == self.identity.daemon_id:
            raise PeerHandshakeError(f"another daemon is named {identity.daemon_id!r} too")
        try:
            split_address(identity.peer_address)
        except PeerSettingsError as error:
            raise PeerHandshakeError(error.message) from error
        entry = self.table.get(identity.incarnation)
        if entry is not None and entry.final:
            raise PeerHandshakeError("a newer incarnation of this daemon has been seen")

    async def _run_link(
        self, stream: ByteStream, identity: DaemonIdentity, links: dict[str, PeerLink]
    ) -> None:
        link = PeerLink(
            stream,
            identity,
            self._codec,
            self._settings,
            self.counters,
            self._on_request,
            self._on_notice,
        )
        links[identity.incarnation] = link
        entry = self.table.meet(identity)
        self._add_learnt_address(identity.peer_address)
        if links is self._dialled:
            self._require_task_group().start_soon(self._control.greet, entry)
        try:
            await link.run()
        except PeerProtocolError as error:
            self._logger.warning("closed the stream of {}: {}", identity.daemon_id, error.message)
        finally:
            if links.get(identity.incarnation) is link:
                del links[identity.incarnation]
            self._on_link_ended(entry)

    def _on_link_ended(self, entry: MemberEntry) -> None:
        if entry.leaving and not self.links(entry.identity.incarnation):
            self.table.end(entry)

    def _on_request(self, link: PeerLink, frame: RequestFrame) -> None:
        if link.running_requests >= self._settings.max_running_requests:
            error = PeerOverloadedError("too many requests run", retry_after_s=OVERLOAD_RETRY_S)
            link.reply(_make_refusal(frame.request_id, error))
            return
        link.running_requests += 1
        # Not in the stream's own task group: a request outlives the stream that brought it.
        self._require_task_group().start_soon(self._answer, link, frame)

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

    def _on_notice(self, link: PeerLink, message: Any) -> None:
        handler = self._notice_handlers.get(type(message))
        if handler is None:
            raise PeerProtocolError(f"{type(message).__name__} is not a notice here")
        try:
            handler(link.identity, message)
        except Exception:
            self._logger.exception("a notice of {} failed", link.identity.daemon_id)

    def _on_unknown(self, identity: DaemonIdentity) -> None:
        self._add_learnt_address(identity.peer_address)

    def _add_learnt_address(self, address: str) -> None:
        try:
            self.add_address(address)
        except PeerSettingsError as error:
            self._logger.warning("ignored the address {}: {}", address, error.message)

    def _on_refused(self, address: str) -> None:
        for entry in self.table.entries():
            is_there = entry.identity.peer_address == address
            if is_there and not self.links(entry.identity.incarnation):
                self.table.suspect(entry)

    def _close_if_dead(self, member: Member) -> None:
        entry = self.table.get(member.identity.incarnation)
        if entry is not None and entry.final:
            for link in self.links(member.identity.incarnation):
                link.close()

    def _require_task_group(self) -> TaskGroup:
        if self._task_group is None:
            raise RuntimeError("the network is not running")
        return self._task_group


def _make_refusal(request_id: int, error: BerylproxyError) -> RefusalFrame:
    return RefusalFrame(request_id, error.code, error.message, error.retry_after_s)
