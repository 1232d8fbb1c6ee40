"""The streams to the other daemons and the cluster membership maintained over them."""

from collections.abc import Callable, Iterable
from contextlib import closing
from math import inf
from time import monotonic
from typing import Any

from anyio import (
    TASK_STATUS_IGNORED,
    Event,
    create_task_group,
    move_on_after,
    sleep,
)
from anyio.abc import ByteStream, TaskGroup, TaskStatus
from logbook import Logger
from msgspec.structs import replace

from berylproxy.models import DaemonIdentity
from berylproxy.peers.acceptor import Acceptor
from berylproxy.peers.codec import MessageCodec
from berylproxy.peers.control import MembershipService
from berylproxy.peers.dialler import Dialler
from berylproxy.peers.errors import (
    PeerAddressUnavailableError,
    PeerHandshakeError,
    PeerProtocolError,
    PeerSettingsError,
)
from berylproxy.peers.handshake import Handshake
from berylproxy.peers.link import LinkCounters, PeerLink
from berylproxy.peers.membership import Member, PeerUnreachableError
from berylproxy.peers.messages import CONTROL_MESSAGES, LeaveNotice
from berylproxy.peers.router import (
    ImmediateHandler,
    MessageRouter,
    NoticeHandler,
    RequestHandler,
)
from berylproxy.peers.settings import PeerSettings, join_address, split_address
from berylproxy.peers.table import MemberEntry, MemberTable
from berylproxy.peers.transport import StreamListener, TransportStream

DRAIN_INTERVAL_S = 0.02
UNSPECIFIED_HOSTS = ("0.0.0.0", "::")


class TcpPeerNetwork:
    """Implements :class:`berylproxy.peers.membership.PeerNetwork` over TCP.

    Each daemon dials every other daemon and sends its requests and notices on the stream that it
    dialled. A reply is sent on the stream of its request.

    :param identity: this daemon; an empty address or port 0 is replaced by the bound address.
    :param codec: encodes the messages of the other components.
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
            settings.dead_after_s, settings.forget_after_s, monotonic, self._on_discovered
        )
        self._settings = settings
        self._codec = codec.extend(CONTROL_MESSAGES)
        self._logger = logger
        self._router = MessageRouter(settings.max_running_requests, logger)
        self._dialled: dict[str, PeerLink] = {}
        self._accepted: dict[str, PeerLink] = {}
        self._configured_addresses: set[str] = set()
        self._link_opened = Event()
        self._task_group: TaskGroup | None = None
        self._dialler = Dialler(settings, self._serve_dialled, self._on_connection_refused, logger)
        self._acceptor = Acceptor(settings, self._make_handshake, self._serve_accepted, logger)
        self._membership = MembershipService(self, settings, logger)
        self.table.on_change(self._close_if_ended)

    def handle_request(self, message_type: type, handler: RequestHandler) -> None:
        """Registers the handler for requests of a type."""
        self._router.handle_request(message_type, handler)

    def answer_at_once(self, message_type: type, handler: ImmediateHandler) -> None:
        """Registers the handler for requests of a type that are answered without waiting."""
        self._router.answer_at_once(message_type, handler)

    def handle_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Registers the handler for notices of a type."""
        self._router.handle_notice(message_type, handler)

    def add_heartbeat_part(self, name: str, make_part: Callable[[], dict[str, Any]]) -> None:
        """Adds a component's state to the heartbeats under its name."""
        self._membership.add_heartbeat_part(name, make_part)

    def on_change(self, listener: Callable[[Member], None]) -> None:
        """Calls the listener when a member's status, readiness or state has changed."""

        def listen(member: Member) -> None:
            try:
                listener(member)
            except Exception:  # a listener's error must not end the daemon
                self._logger.exception(
                    "a listener failed on a change of member {}", member.identity.daemon_id
                )

        self.table.on_change(listen)

    def add_address(self, address: str) -> None:
        """Adds the ``host:port`` of another daemon, to be dialled until it is removed."""
        self._configured_addresses.add(address)
        self._dial(address)

    def remove_address(self, address: str) -> None:
        """Stops dialling an address once the member there has ended or is removed."""
        self._configured_addresses.discard(address)

    def forget_address(self, address: str) -> None:
        """Stops dialling an address unless it was added explicitly or a member still uses it."""
        in_use = any(
            entry.identity.peer_address == address and not entry.member.is_final
            for entry in self.table.entries()
        )
        if not in_use and address not in self._configured_addresses:
            self._dialler.remove(address)

    def members(self) -> list[Member]:
        """Lists the other members, alive ones first."""
        return self.table.members()

    def links(self, incarnation: str) -> list[PeerLink]:
        """Lists the open streams of a member, the dialled one first."""
        links = (self._dialled.get(incarnation), self._accepted.get(incarnation))
        return [link for link in links if link is not None and not link.closed]

    def time_since_message_s(self, incarnation: str) -> float:
        """Returns the time since anything was received from a member.

        It is infinite without an open stream.
        """
        last_received_s = max(
            (link.last_received_s for link in self.links(incarnation)), default=-inf
        )
        return monotonic() - last_received_s

    def prioritize_members(self, list_incarnations: Callable[[], Iterable[str]]) -> None:
        """Sets the function that lists the incarnations to probe with priority.

        Such a member gets a heartbeat in each round in which nothing was received from it lately.
        """
        self._membership.prioritize_members(list_incarnations)

    async def wait_for_link(self, incarnation: str, timeout_s: float) -> PeerLink | None:
        """Waits for an open stream to a member; returns ``None`` on timeout."""
        links = self.links(incarnation)
        if not links:
            with move_on_after(timeout_s):
                while not self.links(incarnation):
                    await self._link_opened.wait()
            links = self.links(incarnation)
        return links[0] if links else None

    async def request(self, incarnation: str, message: Any, timeout_s: float) -> Any:
        """Sends a message to one incarnation and waits for the reply.

        :raises PeerRequestRefusedError: if the other daemon answered with an error.
        :raises PeerUnreachableError: if the message was certainly not delivered.
        :raises PeerLostError: if it may have been delivered.
        """
        link = self._dialled.get(incarnation)
        if link is None:
            raise PeerUnreachableError(f"there is no stream to incarnation {incarnation}")
        return await link.request(message, timeout_s)

    def notify(self, incarnation: str, message: Any) -> None:
        """Queues a one-way message; drops and counts it if there is no stream."""
        link = self._dialled.get(incarnation)
        if link is None:
            self.counters.dropped_notices += 1
        else:
            link.notify(message)

    def set_ready(self, ready: bool) -> None:
        """Sets whether this daemon accepts new work, as its next heartbeats report."""
        self._membership.ready = ready

    def announce_leaving(self) -> None:
        """Notifies all members that this daemon is stopping, without waiting for a heartbeat."""
        self.set_ready(False)
        for incarnation in list(self._dialled):
            self.notify(incarnation, LeaveNotice())

    async def drain(self, timeout_s: float) -> bool:
        """Waits until all received requests are answered and the others have read the replies.

        :returns: whether that was the case within the timeout.
        """
        with move_on_after(timeout_s):
            while self._is_busy():  # noqa: ASYNC110 - polls many streams, only at shutdown
                await sleep(DRAIN_INTERVAL_S)
            async with create_task_group() as task_group:
                for link in list(self._accepted.values()):
                    task_group.start_soon(link.finish)
        return not self._is_busy()

    async def run(self, *, task_status: TaskStatus[str] = TASK_STATUS_IGNORED) -> None:
        """Listens, dials and sends heartbeats until cancelled.

        Reports the bound address to the caller that starts it in a task group.
        """
        host, port = split_address(self._settings.listen_address)
        with closing(_open_listener(host, port)) as listener:
            async with create_task_group() as task_group:
                bound = join_address(host, listener.port)
                self._set_bound_address(bound)
                self._task_group = task_group
                self._router.start(task_group)
                task_group.start_soon(self._acceptor.run, listener, task_group)
                for address in self._settings.addresses:
                    self.add_address(address)
                self._dialler.start(task_group)
                task_group.start_soon(self._membership.run)
                task_status.started(bound)

    def _is_busy(self) -> bool:
        links = [*self._dialled.values(), *self._accepted.values()]
        return any(link.is_busy for link in links)

    def _set_bound_address(self, bound: str) -> None:
        address = self.identity.peer_address
        if not address or split_address(address)[1] == 0:
            if split_address(bound)[0] in UNSPECIFIED_HOSTS:
                raise PeerSettingsError(
                    f"other daemons cannot dial the unspecified address {bound}",
                    hint="set the daemon's own peer address",
                )
            self.identity = replace(self.identity, peer_address=bound)
        self.table.set_own_identity(self.identity)
        self._dialler.exclude(self.identity.peer_address)

    async def _serve_accepted(self, identity: DaemonIdentity, stream: TransportStream) -> None:
        older = self._accepted.get(identity.incarnation)
        if older is not None:
            older.close()  # the peer dials one stream at a time, so it has abandoned the older one
        await self._run_link(stream, b"", identity, self._accepted)

    async def _serve_dialled(self, address: str, stream: TransportStream) -> bool:
        handshake = self._make_handshake(stream)
        try:
            identity = await handshake.dial()
        except BaseException:
            stream.close()
            raise
        older = self._dialled.get(identity.incarnation)
        if older is not None and not older.closed:
            stream.close()
            if identity.peer_address != address:
                return False
            await older.wait_closed()
            return True
        await self._run_link(stream, handshake.stream.buffer, identity, self._dialled)
        return True

    def _make_handshake(self, stream: ByteStream) -> Handshake:
        return Handshake(stream, self.identity, self._settings, self._check_identity)

    def _check_identity(self, identity: DaemonIdentity) -> None:
        if identity.incarnation == self.identity.incarnation:
            raise PeerHandshakeError("this daemon dialled itself")
        if identity.daemon_id == self.identity.daemon_id:
            raise PeerHandshakeError(f"another daemon already uses the name {identity.daemon_id!r}")
        try:
            split_address(identity.peer_address)
        except PeerSettingsError as error:
            raise PeerHandshakeError(error.message) from error
        entry = self.table.get(identity.incarnation)
        if entry is not None and entry.member.is_final:
            raise PeerHandshakeError("a newer incarnation of this daemon has been seen")

    async def _run_link(
        self,
        stream: TransportStream,
        first_bytes: bytes,
        identity: DaemonIdentity,
        links: dict[str, PeerLink],
    ) -> None:
        link = PeerLink(
            stream,
            first_bytes,
            identity,
            self._codec,
            self._settings,
            self.counters,
            self._router.route_request,
            self._router.route_notice,
        )
        links[identity.incarnation] = link
        opened, self._link_opened = self._link_opened, Event()
        opened.set()
        is_new_member = self.table.get(identity.incarnation) is None
        entry = self.table.note_contact(identity)
        self._add_discovered_address(identity.peer_address)
        if is_new_member:
            self._dialler.redial_now(identity.peer_address)
        if links is self._dialled:
            self._require_task_group().start_soon(self._membership.handle_new_stream, entry)
        try:
            await link.run()
        except PeerProtocolError as error:
            self._logger.warning(
                "protocol error; closed the stream of {}: {}", identity.daemon_id, error.message
            )
        except Exception:
            self._logger.exception("unexpected error; closed the stream of {}", identity.daemon_id)
        finally:
            if links.get(identity.incarnation) is link:
                del links[identity.incarnation]
            self._on_link_ended(entry)

    def _on_link_ended(self, entry: MemberEntry) -> None:
        if entry.leaving and not self.links(entry.identity.incarnation):
            self.table.mark_ended(entry)

    def _on_discovered(self, identity: DaemonIdentity) -> None:
        self._add_discovered_address(identity.peer_address)

    def _add_discovered_address(self, address: str) -> None:
        try:
            self._dial(address)
        except PeerSettingsError as error:
            self._logger.warning("ignored the peer address {}: {}", address, error.message)

    def _dial(self, address: str) -> None:
        if address != self.identity.peer_address:
            self._dialler.add(address)

    def _on_connection_refused(self, address: str) -> None:
        for entry in self.table.entries():
            has_address = entry.identity.peer_address == address
            if has_address and not self.links(entry.identity.incarnation):
                self.table.mark_suspect(entry)

    def _close_if_ended(self, member: Member) -> None:
        entry = self.table.get(member.identity.incarnation)
        if entry is not None and entry.member.is_final:
            for link in self.links(member.identity.incarnation):
                link.close()
            self.forget_address(member.identity.peer_address)

    def _require_task_group(self) -> TaskGroup:
        if self._task_group is None:
            raise RuntimeError("the peer network is not running")
        return self._task_group


def _open_listener(host: str, port: int) -> StreamListener:
    try:
        return StreamListener(host, port)
    except OSError as error:
        raise PeerAddressUnavailableError(
            f"can't listen on {join_address(host, port)}: {error.strerror}",
            hint="choose another --peer-address",
        ) from error
