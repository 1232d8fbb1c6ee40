"""The members as this daemon sees them, without any input or output."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil, inf, log2

from berylproxy.models import DaemonIdentity
from berylproxy.peers.membership import Member, MemberStatus
from berylproxy.peers.messages import Heartbeat, MemberUpdate

SPREAD_FACTOR = 2  # how many times log2(members) each update is sent on
MAX_UPDATES_PER_MESSAGE = 8
STATUS_RANK = {MemberStatus.ALIVE: 0, MemberStatus.SUSPECT: 1, MemberStatus.DEAD: 2}

OnChange = Callable[[Member], None]


@dataclass(slots=True)
class MemberEntry:
    """A member with what the table needs to know of it.

    :param leaving: whether it has said that it stops.
    :param known_state_version: version of its state held here.
    :param sent_state_version: version of the own state that it holds.
    """

    member: Member
    refutations: int = 0
    leaving: bool = False
    known_state_version: int = 0
    sent_state_version: int = 0
    last_heard_s: float = -inf

    @property
    def identity(self) -> DaemonIdentity:
        """The member's identity."""
        return self.member.identity

    def make_update(self) -> MemberUpdate:
        """Describes the member for others."""
        return MemberUpdate(
            self.identity, self.member.status, self.refutations, self.member.is_final
        )


class MemberTable:
    """All members met in a handshake, and the news of them still to be spread.

    Suspicion, refutation and the spreading of news with other messages follow SWIM (Das, Gupta and
    Motivala, 2002), sections 4.1 and 4.2.

    :param clock: current time in seconds.
    :param on_unknown: called with each daemon that others hold for alive and that was never met.
    """

    def __init__(
        self,
        dead_after_s: float,
        forget_after_s: float,
        clock: Callable[[], float],
        on_unknown: Callable[[DaemonIdentity], None],
    ) -> None:
        self.refutations = 0
        self._dead_after_s = dead_after_s
        self._forget_after_s = forget_after_s
        self._clock = clock
        self._on_unknown = on_unknown
        self._entries: dict[str, MemberEntry] = {}
        self._spread_left: dict[str, int] = {}
        self._own: DaemonIdentity | None = None
        self._listeners: list[OnChange] = []

    def set_own_identity(self, identity: DaemonIdentity) -> None:
        """Tells the table whose it is."""
        self._own = identity

    @property
    def own_domain(self) -> str:
        """The failure domain of this daemon; empty before its identity is known."""
        return self._own.failure_domain if self._own is not None else ""

    def on_change(self, listener: OnChange) -> None:
        """Calls the listener when a member's status or heartbeat has changed."""
        self._listeners.append(listener)

    def get(self, incarnation: str) -> MemberEntry | None:
        """Finds a member by incarnation."""
        return self._entries.get(incarnation)

    def entries(self) -> list[MemberEntry]:
        """Lists all entries."""
        return list(self._entries.values())

    def members(self) -> list[Member]:
        """Lists members, alive ones first; of each daemon only the current incarnation."""
        current = {entry.identity.daemon_id: entry for entry in self._by_finality()}
        members = [entry.member for entry in current.values()]
        return sorted(members, key=lambda member: STATUS_RANK[member.status])

    def meet(self, identity: DaemonIdentity) -> MemberEntry:
        """Takes in a daemon that has just completed a handshake.

        A new incarnation with the daemon name or the address of an older one ends the older one.
        """
        entry = self._entries.get(identity.incarnation)
        if entry is None:
            for older in self.entries():
                if _is_succeeded_by(older.identity, identity):
                    self.end(older)
            entry = MemberEntry(Member(identity, MemberStatus.ALIVE, changed_s=self._clock()))
            self._entries[identity.incarnation] = entry
            self._changed(entry)
        entry.last_heard_s = self._clock()
        return entry

    def take_heartbeat(self, entry: MemberEntry, heartbeat: Heartbeat) -> None:
        """Applies a heartbeat that came from the member itself."""
        entry.last_heard_s = self._clock()
        entry.sent_state_version = heartbeat.known_state_version
        for update in heartbeat.updates:
            self.take_update(update)
        member = entry.member
        is_news = member.ready != heartbeat.ready
        member.ready = heartbeat.ready
        if heartbeat.state is not None and heartbeat.state_version != entry.known_state_version:
            member.heartbeat = heartbeat.state
            entry.known_state_version = heartbeat.state_version
            is_news = True
        self._apply(entry, MemberStatus.ALIVE, heartbeat.refutations, False)
        if is_news:
            self._tell(entry)

    def take_update(self, update: MemberUpdate) -> None:
        """Applies another daemon's news.

        News alone add nobody: an unknown daemon becomes a member by its own handshake.
        """
        identity = update.identity
        if self._own is not None and identity.incarnation == self._own.incarnation:
            self._refute(update)
            return
        entry = self._entries.get(identity.incarnation)
        if entry is not None:
            self._apply(entry, update.status, update.refutations, update.final)
        elif update.status is MemberStatus.ALIVE:
            self._on_unknown(identity)

    def suspect(self, entry: MemberEntry) -> None:
        """Marks a member that was not reached as suspect; ends it if it was leaving."""
        if entry.leaving:
            self.end(entry)
            return
        self._apply(entry, MemberStatus.SUSPECT, entry.refutations, False)

    def end(self, entry: MemberEntry) -> None:
        """Marks an incarnation as certainly over."""
        self._apply(entry, MemberStatus.DEAD, entry.refutations, True)

    def leave(self, entry: MemberEntry) -> None:
        """Marks a member that is stopping: still alive, but not ready for new work."""
        entry.leaving = True
        entry.member.ready = False
        self._tell(entry)

    def expire(self) -> list[MemberEntry]:
        """Gives up members that stayed suspect and forgets old dead ones; returns the forgotten."""
        now_s = self._clock()
        forgotten = []
        for entry in self.entries():
            age_s = now_s - entry.member.changed_s
            if entry.member.status is MemberStatus.SUSPECT and age_s >= self._dead_after_s:
                self._apply(entry, MemberStatus.DEAD, entry.refutations, False)
            elif entry.member.status is MemberStatus.DEAD and age_s >= self._forget_after_s:
                self._entries.pop(entry.identity.incarnation)
                self._spread_left.pop(entry.identity.incarnation, None)
                forgotten.append(entry)
        return forgotten

    def postpone(self, pause_s: float) -> None:
        """Moves all limits by a time in which this daemon itself did not run."""
        for entry in self.entries():
            entry.member.changed_s += pause_s

    def pick_updates(self, receiver: MemberEntry | None) -> tuple[MemberUpdate, ...]:
        """Picks the news to send along, those sent least often first.

        A receiver that is not taken for alive is told so first and can refute it.
        """
        picked = []
        if receiver is not None and receiver.member.status is not MemberStatus.ALIVE:
            picked.append(receiver.make_update())
        newest = sorted(self._spread_left, key=self._spread_left.__getitem__, reverse=True)
        for incarnation in newest[: MAX_UPDATES_PER_MESSAGE - len(picked)]:
            picked.append(self._entries[incarnation].make_update())
            self._spread_left[incarnation] -= 1
            if not self._spread_left[incarnation]:
                del self._spread_left[incarnation]
        return tuple(picked)

    def _by_finality(self) -> Iterable[MemberEntry]:
        return sorted(
            self._entries.values(),
            key=lambda entry: (not entry.member.is_final, entry.member.changed_s),
        )

    def _refute(self, update: MemberUpdate) -> None:
        if update.status is not MemberStatus.ALIVE and update.refutations >= self.refutations:
            self.refutations = update.refutations + 1

    def _apply(
        self, entry: MemberEntry, status: MemberStatus, refutations: int, final: bool
    ) -> None:
        old = (entry.member.is_final, entry.refutations, STATUS_RANK[entry.member.status])
        new = (final, refutations, STATUS_RANK[status])
        if new <= old:
            return
        is_news = entry.member.status is not status or entry.member.is_final is not final
        entry.member.is_final, entry.refutations = final, refutations
        if is_news:
            entry.member.status = status
            entry.member.changed_s = self._clock()
            self._changed(entry)

    def _changed(self, entry: MemberEntry) -> None:
        times = SPREAD_FACTOR * ceil(log2(len(self._entries) + 2))
        self._spread_left[entry.identity.incarnation] = times
        self._tell(entry)

    def _tell(self, entry: MemberEntry) -> None:
        for listener in self._listeners:
            listener(entry.member)


def _is_succeeded_by(older: DaemonIdentity, newer: DaemonIdentity) -> bool:
    return older.daemon_id == newer.daemon_id or older.peer_address == newer.peer_address
