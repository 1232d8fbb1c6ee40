"""Detects which members are alive, at a cost that does not grow with their number.

Each round sends heartbeats to a bounded number of members, in a shuffled order that reaches each
of them once before any of them twice (SWIM, section 4.3). A member that does not reply is probed
indirectly, through other members, before it becomes suspect (SWIM, section 3.1).
"""

from collections.abc import Awaitable, Callable, Iterable
from itertools import zip_longest
from random import sample, shuffle, uniform
from time import monotonic
from typing import Any, Protocol

from anyio import create_task_group, sleep
from anyio.abc import TaskGroup

from berylproxy.peers.link import PeerLink
from berylproxy.peers.membership import MemberStatus, PeerError
from berylproxy.peers.messages import IndirectProbe, IndirectProbeResult
from berylproxy.peers.settings import PeerSettings
from berylproxy.peers.table import MemberEntry, MemberTable

PAUSE_LIMIT_S = 0.5  # a wait that overruns by more is taken for a pause of this daemon
ROUND_JITTER = 0.1
# Half a round, so that messages from a member arrive at most two rounds apart.
PRIORITIZED_SILENCE_ROUNDS = 0.5


class ProbeTransport(Protocol):
    """The operations on streams that :class:`Prober` needs."""

    def links(self, incarnation: str) -> list[PeerLink]:
        """Lists the open streams of a member, the dialled one first."""

    async def exchange_heartbeat(self, entry: MemberEntry, timeout_s: float) -> bool:
        """Sends a heartbeat and applies the reply; returns whether one arrived."""

    async def request(self, incarnation: str, message: Any, timeout_s: float) -> Any:
        """Sends a request to a member."""


class Prober:
    """Sends heartbeats in rounds and marks members that cannot be reached as suspect.

    :param on_round: called at the start of each round.
    :ivar list_prioritized: lists the incarnations to probe with priority: each gets a heartbeat in
        every round in which nothing was received from it lately, as this daemon abandons work that
        depends on a member unless messages from it arrive.
    """

    def __init__(
        self,
        settings: PeerSettings,
        table: MemberTable,
        transport: ProbeTransport,
        on_round: Callable[[], Awaitable[None]],
    ) -> None:
        self._settings = settings
        self._table = table
        self._transport = transport
        self._on_round = on_round
        self.list_prioritized: Callable[[], Iterable[str]] = tuple
        self._probe_order: list[str] = []
        self._running_checks: set[str] = set()
        self._resumed_s = 0.0

    async def run(self) -> None:
        """Runs one round in each heartbeat interval until cancelled."""
        async with create_task_group() as task_group:
            while True:
                await self._sleep_between_rounds()
                await self._on_round()
                for entry in self._pick_members():
                    self.start_check(task_group, entry)

    async def _sleep_between_rounds(self) -> None:
        planned_s = self._settings.heartbeat_interval_s * uniform(
            1 - ROUND_JITTER, 1 + ROUND_JITTER
        )
        started_s = monotonic()
        await sleep(planned_s)
        pause_s = monotonic() - started_s - planned_s
        if pause_s > PAUSE_LIMIT_S:
            self._resumed_s = monotonic()
            self._table.extend_deadlines(pause_s)

    def start_check(self, task_group: TaskGroup, entry: MemberEntry) -> None:
        """Starts a check of a member unless one is already running."""
        if entry.identity.incarnation not in self._running_checks:
            self._running_checks.add(entry.identity.incarnation)
            task_group.start_soon(self._check, entry)

    async def probe_on_behalf(self, incarnation: str, timeout_s: float) -> bool:
        """Sends a heartbeat on behalf of another daemon; returns whether the member replied."""
        entry = self._table.get(incarnation)
        return entry is not None and await self._transport.exchange_heartbeat(entry, timeout_s)

    def _pick_members(self) -> list[MemberEntry]:
        picked = [entry for entry in self._table.entries() if self._has_stalled(entry)]
        picked += self._list_silent_prioritized()
        for _ in range(self._settings.heartbeats_per_interval):
            entry = self._next_member()
            if entry is None:
                break
            picked.append(entry)
        return picked

    def _list_silent_prioritized(self) -> list[MemberEntry]:
        limit_s = monotonic() - PRIORITIZED_SILENCE_ROUNDS * self._settings.heartbeat_interval_s
        prioritized = (self._table.get(incarnation) for incarnation in self.list_prioritized())
        return [
            entry
            for entry in prioritized
            if entry is not None
            and all(
                link.last_received_s < limit_s
                for link in self._transport.links(entry.identity.incarnation)
            )
        ]

    def _has_stalled(self, entry: MemberEntry) -> bool:
        """Returns whether requests are pending on a stream on which nothing was received lately."""
        limit_s = monotonic() - self._settings.heartbeat_timeout_s
        links = self._transport.links(entry.identity.incarnation)
        return any(link.has_pending_requests and link.last_received_s < limit_s for link in links)

    def _next_member(self) -> MemberEntry | None:
        if not self._probe_order:
            self._probe_order = [entry.identity.incarnation for entry in self._probed_entries()]
            shuffle(self._probe_order)
        while self._probe_order:
            entry = self._table.get(self._probe_order.pop())
            if entry is not None and entry.member.status is not MemberStatus.DEAD:
                return entry
        return None

    def _probed_entries(self) -> list[MemberEntry]:
        entries = self._table.entries()
        return [entry for entry in entries if entry.member.status is not MemberStatus.DEAD]

    async def _check(self, entry: MemberEntry) -> None:
        try:
            await self._check_in_two_stages(entry)
        finally:
            self._running_checks.discard(entry.identity.incarnation)

    async def _check_in_two_stages(self, entry: MemberEntry) -> None:
        """Probes a member directly, then also indirectly; marks it as suspect if both fail.

        The result is ignored if this daemon was paused meanwhile. Streams on which nothing was
        received since the start of the check are closed, unless they were opened since then.
        """
        started_s = monotonic()
        if await self._transport.exchange_heartbeat(entry, self._settings.heartbeat_timeout_s):
            return
        if self._was_paused(started_s, self._settings.heartbeat_timeout_s):
            return
        reached = await self._reach_indirectly(entry)
        total_s = self._settings.heartbeat_timeout_s + self._settings.indirect_timeout_s
        if self._was_paused(started_s, total_s):
            return
        links = self._transport.links(entry.identity.incarnation)
        is_reachable = reached or any(link.last_received_s > started_s for link in links)
        for link in links:
            if link.last_received_s < started_s and link.opened_s < started_s:
                link.close()
        if not is_reachable and entry.last_contact_s < started_s:
            self._table.mark_suspect(entry)

    def _was_paused(self, started_s: float, expected_s: float) -> bool:
        elapsed_s = monotonic() - started_s
        return self._resumed_s > started_s or elapsed_s > expected_s + PAUSE_LIMIT_S

    async def _reach_indirectly(self, entry: MemberEntry) -> bool:
        """Probes a member through others and once more directly.

        :returns: whether any of these probes reached the member.
        """
        timeout_s = self._settings.indirect_timeout_s
        reached: list[bool] = []

        async def try_directly() -> None:
            reached.append(await self._transport.exchange_heartbeat(entry, timeout_s))

        async def try_through(intermediary: MemberEntry) -> None:
            probe = IndirectProbe(entry.identity.incarnation, timeout_s)
            try:
                result = await self._transport.request(
                    intermediary.identity.incarnation, probe, timeout_s
                )
            except PeerError:
                return
            reached.append(isinstance(result, IndirectProbeResult) and result.reached)

        async with create_task_group() as task_group:
            task_group.start_soon(try_directly)
            for intermediary in self._pick_intermediaries(entry):
                task_group.start_soon(try_through, intermediary)
        return any(reached)

    def _pick_intermediaries(self, entry: MemberEntry) -> list[MemberEntry]:
        alive = [
            other
            for other in self._table.entries()
            if other is not entry and other.member.status is MemberStatus.ALIVE
        ]
        return pick_intermediaries(
            alive, self._table.own_failure_domain, self._settings.indirect_probes
        )


def pick_intermediaries(
    alive: list[MemberEntry], own_failure_domain: str, count: int
) -> list[MemberEntry]:
    """Picks random members to send indirect probes, from as many failure domains as possible.

    Members of this daemon's own failure domain come last: where two failure domains are cut off
    from each other, a third one can reach both.
    """
    by_domain: dict[str, list[MemberEntry]] = {}
    for entry in sample(alive, len(alive)):
        by_domain.setdefault(entry.identity.failure_domain, []).append(entry)
    own = by_domain.pop(own_failure_domain, [])
    rounds = zip_longest(*by_domain.values())
    others = [entry for entries in rounds for entry in entries if entry is not None]
    return [*others, *own][:count]
