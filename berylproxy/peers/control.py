"""The control messages that maintain the membership: heartbeats, member lists, leave notices."""

from collections.abc import Callable, Iterable
from random import choice
from time import monotonic
from typing import Any, Protocol

from logbook import Logger
from msgpack import packb

from berylproxy.models import DaemonIdentity
from berylproxy.peers.link import LinkCounters, PeerLink
from berylproxy.peers.membership import MemberStatus, PeerError
from berylproxy.peers.messages import (
    Heartbeat,
    IndirectProbe,
    IndirectProbeResult,
    LeaveNotice,
    MemberList,
    MemberListRequest,
)
from berylproxy.peers.prober import Prober
from berylproxy.peers.settings import PeerSettings
from berylproxy.peers.table import MemberEntry, MemberTable

NEW_STREAM_LIST_INTERVAL_S = 5.0
LIST_INTERVAL_S = 60.0
MAX_INDIRECT_TIMEOUT_S = 10.0
MAX_LISTED_MEMBERS = 1000
MAX_STATE_BYTES = 16 * 1024


class MembershipTransport(Protocol):
    """The operations on streams that :class:`MembershipService` needs."""

    table: MemberTable
    counters: LinkCounters

    def handle_request(self, message_type: type, handler: Callable[..., Any]) -> None:
        """Registers the handler for requests of a type."""

    def answer_at_once(self, message_type: type, handler: Callable[..., Any]) -> None:
        """Registers the handler for requests of a type that are answered without waiting."""

    def handle_notice(self, message_type: type, handler: Callable[..., Any]) -> None:
        """Registers the handler for notices of a type."""

    def links(self, incarnation: str) -> list[PeerLink]:
        """Lists the open streams of a member, the dialled one first."""

    async def wait_for_link(self, incarnation: str, timeout_s: float) -> PeerLink | None:
        """Waits for an open stream to a member; returns ``None`` on timeout."""

    def forget_address(self, address: str) -> None:
        """Stops dialling an address that was discovered through other daemons."""

    async def request(self, incarnation: str, message: Any, timeout_s: float) -> Any:
        """Sends a request to a member."""


class MembershipService:
    """Sends and answers the control messages.

    :ivar ready: whether this daemon accepts new work.
    """

    def __init__(
        self, network: MembershipTransport, settings: PeerSettings, logger: Logger
    ) -> None:
        self.ready = True
        self._network = network
        self._table = network.table
        self._logger = logger
        self._settings = settings
        self._heartbeat_parts: dict[str, Callable[[], dict[str, Any]]] = {}
        self._state: dict[str, Any] = {}
        self._state_version = 1
        self._list_due_s = 0.0
        self._new_stream_list_due_s = 0.0
        self._prober = Prober(settings, self._table, self, self._begin_round)
        network.answer_at_once(Heartbeat, self._answer_heartbeat)
        network.handle_request(IndirectProbe, self._answer_indirect_probe)
        network.answer_at_once(MemberListRequest, self._answer_list_request)
        network.handle_notice(LeaveNotice, self._handle_leave)

    def add_heartbeat_part(self, name: str, make_part: Callable[[], dict[str, Any]]) -> None:
        """Adds a component's state to the heartbeats under its name."""
        self._heartbeat_parts[name] = make_part

    def prioritize_members(self, list_incarnations: Callable[[], Iterable[str]]) -> None:
        """Sets the function that lists the incarnations to probe with priority.

        Such a member gets a heartbeat in each round in which nothing was received from it lately.
        """
        self._prober.list_prioritized = list_incarnations

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        self._refresh_state()
        self._list_due_s = monotonic() + LIST_INTERVAL_S
        await self._prober.run()

    async def handle_new_stream(self, entry: MemberEntry) -> None:
        """Exchanges the first heartbeat on a new stream and requests the member list.

        The list is requested at most once in ``NEW_STREAM_LIST_INTERVAL_S`` over all streams.
        """
        await self.exchange_heartbeat(entry, self._settings.heartbeat_timeout_s)
        if monotonic() >= self._new_stream_list_due_s:
            self._new_stream_list_due_s = monotonic() + NEW_STREAM_LIST_INTERVAL_S
            await self._fetch_list(entry)

    def links(self, incarnation: str) -> list[PeerLink]:
        """Lists the open streams of a member, the dialled one first."""
        return self._network.links(incarnation)

    async def request(self, incarnation: str, message: Any, timeout_s: float) -> Any:
        """Sends a request to a member."""
        return await self._network.request(incarnation, message, timeout_s)

    async def exchange_heartbeat(self, entry: MemberEntry, timeout_s: float) -> bool:
        """Sends a heartbeat as soon as there is an open stream, and applies the reply.

        :returns: whether a reply arrived within the timeout.
        """
        started_s = monotonic()
        link = await self._network.wait_for_link(entry.identity.incarnation, timeout_s)
        if link is None:
            return False
        remaining_s = timeout_s - (monotonic() - started_s)
        try:
            reply = await link.request(self._make_heartbeat(entry), remaining_s)
        except PeerError:
            return False
        if not isinstance(reply, Heartbeat):
            return False
        self._table.apply_heartbeat(entry, reply)
        return True

    async def _begin_round(self) -> None:
        self._refresh_state()
        for entry in self._table.expire():
            self._network.forget_address(entry.identity.peer_address)
        if monotonic() < self._list_due_s:
            return
        self._list_due_s = monotonic() + LIST_INTERVAL_S
        alive = self._alive_entries()
        if alive:
            await self._fetch_list(choice(alive))

    async def _fetch_list(self, entry: MemberEntry) -> None:
        try:
            reply = await self._network.request(
                entry.identity.incarnation,
                MemberListRequest(),
                self._settings.heartbeat_timeout_s,
            )
        except PeerError:
            return
        if isinstance(reply, MemberList):
            for update in reply.members:
                self._table.apply_update(update)

    def _alive_entries(self) -> list[MemberEntry]:
        entries = self._table.entries()
        return [entry for entry in entries if entry.member.status is MemberStatus.ALIVE]

    def _refresh_state(self) -> None:
        state = dict(self._state)
        for name, make_part in self._heartbeat_parts.items():
            try:
                state[name] = _validate_state(make_part())
            except Exception:  # a component's error must not stop the heartbeats of the daemon
                self._logger.exception(
                    "failed to collect the state of {} for heartbeats; sending its last state", name
                )
        if state != self._state:
            self._state = state
            self._state_version += 1

    def _make_heartbeat(self, entry: MemberEntry) -> Heartbeat:
        is_known_to_receiver = entry.sent_state_version == self._state_version
        return Heartbeat(
            ready=self.ready,
            refutations=self._table.refutations,
            state_version=self._state_version,
            known_state_version=entry.known_state_version,
            state=None if is_known_to_receiver else self._state,
            updates=self._table.pick_updates(entry),
        )

    def _answer_heartbeat(self, identity: DaemonIdentity, heartbeat: Heartbeat) -> Heartbeat:
        entry = self._table.note_contact(identity)
        self._table.apply_heartbeat(entry, heartbeat)
        return self._make_heartbeat(entry)

    async def _answer_indirect_probe(
        self, _: DaemonIdentity, probe: IndirectProbe
    ) -> IndirectProbeResult:
        timeout_s = min(probe.timeout_s, MAX_INDIRECT_TIMEOUT_S)
        return IndirectProbeResult(await self._prober.probe_on_behalf(probe.incarnation, timeout_s))

    def _answer_list_request(self, _: DaemonIdentity, __: MemberListRequest) -> MemberList:
        entries = self._alive_entries()[:MAX_LISTED_MEMBERS]
        return MemberList(tuple(entry.make_update() for entry in entries))

    def _handle_leave(self, identity: DaemonIdentity, _: LeaveNotice) -> None:
        entry = self._table.get(identity.incarnation)
        if entry is not None:
            self._table.mark_leaving(entry)


def _validate_state(state: dict[str, Any]) -> dict[str, Any]:
    size_bytes = len(packb(state))
    if size_bytes > MAX_STATE_BYTES:
        raise ValueError(f"a heartbeat state of {size_bytes} bytes is too large")
    return state
