"""The member table: this daemon's view of the other members, without any I/O."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil, inf, log2

from berylproxy.models import DaemonIdentity
from berylproxy.peers.membership import Member, MemberStatus
from berylproxy.peers.messages import Heartbeat, MemberUpdate

RETRANSMIT_FACTOR = 2  # each update is sent RETRANSMIT_FACTOR * log2(members) times
MAX_UPDATES_PER_MESSAGE = 8
STATUS_RANK = {MemberStatus.ALIVE: 0, MemberStatus.SUSPECT: 1, MemberStatus.DEAD: 2}

OnChange = Callable[[Member], None]


@dataclass(slots=True)
class MemberEntry:
    """A member with the bookkeeping of the table.

    :param refutations: number of times that the member has refuted a suspicion.
    :param leaving: whether the member has announced that it is stopping.
    :param known_state_version: version of the member's state that this daemon has.
    :param sent_state_version: version of this daemon's state that the member has.
    :param last_contact_s: time of the member's last handshake or heartbeat.
    """

    member: Member
    refutations: int = 0
    leaving: bool = False
    known_state_version: int = 0
    sent_state_version: int = 0
    last_contact_s: float = -inf

    @property
    def identity(self) -> DaemonIdentity:
        """The member's identity."""
        return self.member.identity

    def make_update(self) -> MemberUpdate:
        """Returns this daemon's view of the member as an update for other daemons."""
        return MemberUpdate(
            self.identity, self.member.status, self.refutations, self.member.is_final
        )


class MemberTable:
    """All members that have completed a handshake, and the updates on them to be disseminated.

    Suspicion, refutation and the dissemination of updates in other messages follow SWIM (Das,
    Gupta and Motivala, 2002), sections 4.1 and 4.2.

    :param dead_after_s: time after which a suspect member is declared dead.
    :param forget_after_s: time after which a dead member is removed.
    :param clock: returns the current time in seconds.
    :param on_discovered: called with each daemon that other members report as alive and that is
        not in the table.
    """

    def __init__(
        self,
        dead_after_s: float,
        forget_after_s: float,
        clock: Callable[[], float],
        on_discovered: Callable[[DaemonIdentity], None],
    ) -> None:
        self.refutations = 0
        self._dead_after_s = dead_after_s
        self._forget_after_s = forget_after_s
        self._clock = clock
        self._on_discovered = on_discovered
        self._entries: dict[str, MemberEntry] = {}
        self._sorted_members: list[Member] | None = None  # until a status changes
        self._sends_left: dict[str, int] = {}
        self._own_identity: DaemonIdentity | None = None
        self._listeners: list[OnChange] = []

    def set_own_identity(self, identity: DaemonIdentity) -> None:
        """Sets the identity of this daemon."""
        self._own_identity = identity

    @property
    def own_failure_domain(self) -> str:
        """The failure domain of this daemon; empty before its identity is known."""
        return self._own_identity.failure_domain if self._own_identity is not None else ""

    def on_change(self, listener: OnChange) -> None:
        """Calls the listener when a member's status or heartbeat has changed."""
        self._listeners.append(listener)

    def get(self, incarnation: str) -> MemberEntry | None:
        """Returns the member with an incarnation, or ``None``."""
        return self._entries.get(incarnation)

    def entries(self) -> list[MemberEntry]:
        """Lists all entries."""
        return list(self._entries.values())

    def members(self) -> list[Member]:
        """Lists the members, alive ones first, with only the current incarnation of each daemon."""
        if self._sorted_members is None:
            current = {entry.identity.daemon_id: entry for entry in self._sorted_ended_first()}
            members = [entry.member for entry in current.values()]
            self._sorted_members = sorted(members, key=lambda member: STATUS_RANK[member.status])
        return list(self._sorted_members)

    def note_contact(self, identity: DaemonIdentity) -> MemberEntry:
        """Records a handshake or heartbeat of a daemon and returns its entry, adding a new one.

        A new incarnation with the daemon name or the address of an older one ends the older one.
        """
        entry = self._entries.get(identity.incarnation)
        if entry is None:
            for older in self.entries():
                if _is_superseded_by(older.identity, identity):
                    self.mark_ended(older)
            entry = MemberEntry(
                Member(identity, MemberStatus.ALIVE, status_changed_s=self._clock())
            )
            self._entries[identity.incarnation] = entry
            self._sorted_members = None
            self._announce_change(entry)
        entry.last_contact_s = self._clock()
        return entry

    def apply_heartbeat(self, entry: MemberEntry, heartbeat: Heartbeat) -> None:
        """Applies a heartbeat received from the member itself."""
        entry.last_contact_s = self._clock()
        entry.sent_state_version = heartbeat.known_state_version
        for update in heartbeat.updates:
            self.apply_update(update)
        member = entry.member
        has_changed = member.ready != heartbeat.ready
        member.ready = heartbeat.ready
        if heartbeat.state is not None and heartbeat.state_version != entry.known_state_version:
            member.heartbeat = heartbeat.state
            entry.known_state_version = heartbeat.state_version
            has_changed = True
        self._apply_status(entry, MemberStatus.ALIVE, heartbeat.refutations, False)
        if has_changed:
            self._notify_listeners(entry)

    def apply_update(self, update: MemberUpdate) -> None:
        """Applies an update received from another daemon.

        An update alone adds no member: an unknown daemon becomes a member by its own handshake.
        """
        identity = update.identity
        if (
            self._own_identity is not None
            and identity.incarnation == self._own_identity.incarnation
        ):
            self._refute(update)
            return
        entry = self._entries.get(identity.incarnation)
        if entry is not None:
            self._apply_status(entry, update.status, update.refutations, update.final)
        elif update.status is MemberStatus.ALIVE:
            self._on_discovered(identity)

    def mark_suspect(self, entry: MemberEntry) -> None:
        """Marks a member that cannot be reached as suspect, or as ended if it was leaving."""
        if entry.leaving:
            self.mark_ended(entry)
            return
        self._apply_status(entry, MemberStatus.SUSPECT, entry.refutations, False)

    def mark_ended(self, entry: MemberEntry) -> None:
        """Marks an incarnation as dead and certainly ended."""
        self._apply_status(entry, MemberStatus.DEAD, entry.refutations, True)

    def mark_leaving(self, entry: MemberEntry) -> None:
        """Marks a member as stopping: it is still alive, but accepts no new work."""
        entry.leaving = True
        entry.member.ready = False
        self._notify_listeners(entry)

    def expire(self) -> list[MemberEntry]:
        """Declares members dead that stayed suspect, and removes those that have been dead long.

        :returns: the removed members.
        """
        now_s = self._clock()
        removed = []
        for entry in self.entries():
            age_s = now_s - entry.member.status_changed_s
            if entry.member.status is MemberStatus.SUSPECT and age_s >= self._dead_after_s:
                self._apply_status(entry, MemberStatus.DEAD, entry.refutations, False)
            elif entry.member.status is MemberStatus.DEAD and age_s >= self._forget_after_s:
                self._entries.pop(entry.identity.incarnation)
                self._sorted_members = None
                self._sends_left.pop(entry.identity.incarnation, None)
                removed.append(entry)
        return removed

    def extend_deadlines(self, pause_s: float) -> None:
        """Extends all deadlines by a time in which this daemon itself was paused."""
        for entry in self.entries():
            entry.member.status_changed_s += pause_s

    def pick_updates(self, receiver: MemberEntry | None) -> tuple[MemberUpdate, ...]:
        """Picks the updates to include in a message, those sent least often first.

        For a receiver that is considered suspect or dead, the update on the receiver itself comes
        first, so that the receiver can refute it.
        """
        picked = []
        if receiver is not None and receiver.member.status is not MemberStatus.ALIVE:
            picked.append(receiver.make_update())
        least_sent = sorted(self._sends_left, key=self._sends_left.__getitem__, reverse=True)
        for incarnation in least_sent[: MAX_UPDATES_PER_MESSAGE - len(picked)]:
            picked.append(self._entries[incarnation].make_update())
            self._sends_left[incarnation] -= 1
            if not self._sends_left[incarnation]:
                del self._sends_left[incarnation]
        return tuple(picked)

    def _sorted_ended_first(self) -> Iterable[MemberEntry]:
        return sorted(
            self._entries.values(),
            key=lambda entry: (not entry.member.is_final, entry.member.status_changed_s),
        )

    def _refute(self, update: MemberUpdate) -> None:
        if update.status is not MemberStatus.ALIVE and update.refutations >= self.refutations:
            self.refutations = update.refutations + 1

    def _apply_status(
        self, entry: MemberEntry, status: MemberStatus, refutations: int, final: bool
    ) -> None:
        old = (entry.member.is_final, entry.refutations, STATUS_RANK[entry.member.status])
        new = (final, refutations, STATUS_RANK[status])
        if new <= old:
            return
        has_changed = entry.member.status is not status or entry.member.is_final is not final
        entry.member.is_final, entry.refutations = final, refutations
        if has_changed:
            self._sorted_members = None
            entry.member.status = status
            entry.member.status_changed_s = self._clock()
            self._announce_change(entry)

    def _announce_change(self, entry: MemberEntry) -> None:
        send_count = RETRANSMIT_FACTOR * ceil(log2(len(self._entries) + 2))
        self._sends_left[entry.identity.incarnation] = send_count
        self._notify_listeners(entry)

    def _notify_listeners(self, entry: MemberEntry) -> None:
        for listener in self._listeners:
            listener(entry.member)


def _is_superseded_by(older: DaemonIdentity, newer: DaemonIdentity) -> bool:
    return older.daemon_id == newer.daemon_id or older.peer_address == newer.peer_address
