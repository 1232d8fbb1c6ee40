"""Asks the holders for slots on behalf of this daemon's waiting tasks."""

from collections import Counter
from collections.abc import Callable, Iterable

from berylproxy.clock import Clock
from berylproxy.collect.job import DemandKey, TaskRun
from berylproxy.models import DaemonIdentity
from berylproxy.place.assignment import SlotGroup, choose_holder, list_slot_groups
from berylproxy.place.endpoint_state import SlotResult
from berylproxy.place.messages import (
    DemandEntry,
    GrantSlots,
    HeldSlot,
    HolderSummary,
    ReleaseSlots,
    SlotRelease,
    UpdateDemand,
)
from berylproxy.place.spread import DemandSpread
from berylproxy.records.models import Configuration
from berylproxy.waiting.queue import WaitingQueue

FIRST_REPORT_INTERVAL_S = 1.0  # a holder may learn later than its homes that it is one
FIRST_REPORTS = 3
REPORT_INTERVAL_S = 5.0
DEMAND_REPEAT_S = 1.0  # an update that was lost must not leave tasks waiting


class GroupLink:
    """What this daemon knows of the holder of one slot group.

    :param holder: the holder's incarnation.
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.last_grant = 0
        self.last_counts: Counter[DemandKey] = Counter()
        self.report_due_s = 0.0
        self.reports = 0
        self.last_update_s = 0.0
        self.releases: list[SlotRelease] = []


class SlotRequester:
    """Registers demand with holders, hands granted slots to tasks and gives slots back.

    :param send: sends a message to a daemon by incarnation, this one included.
    :param start: starts a task in a slot; it must call :meth:`release` once.
    :param is_reachable: tells whether messages get to a daemon now.
    """

    def __init__(
        self,
        identity: DaemonIdentity,
        clock: Clock,
        queue: WaitingQueue,
        send: Callable[[str, object], None],
        start: Callable[[TaskRun, HeldSlot], None],
        is_reachable: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._send = send
        self._start = start
        self._is_reachable = is_reachable
        self._spread = DemandSpread(identity.failure_domain)
        self._links: dict[SlotGroup, GroupLink] = {}
        self._held: dict[tuple[str, int], tuple[SlotGroup, HeldSlot]] = {}
        self._configuration = Configuration()
        self._live: list[DaemonIdentity] = [identity]
        self._reachable: frozenset[str] = frozenset()
        self._incarnation = identity.incarnation
        self.unused_grants = 0
        self.ignored_grants = 0
        self.unchanged_reports = 0

    def update_members(self, live: Iterable[DaemonIdentity]) -> None:
        """Takes the daemons that live and are not leaving."""
        self._live = list(live)
        self._choose_holders()

    def configure(self, configuration: Configuration) -> None:
        """Takes a new configuration."""
        self._configuration = configuration
        self._choose_holders()

    def can_place(self, service: str) -> bool:
        """Tells whether any holder can grant slots for a service."""
        return self._spread.has_group(service)

    def estimate_wait_s(self, service: str, new_tasks: int) -> float:
        """Estimates the time until the last of some new tasks of a service would start."""
        return self._spread.estimate_wait_s(service, new_tasks)

    def estimate_run_time_s(self, service: str) -> float:
        """Estimates the mean run time of a service's tasks; 0 while nothing is known."""
        return self._spread.estimate_run_time_s(service)

    def has_releases(self) -> bool:
        """Tells whether slots are to be given back."""
        return any(link.releases for link in self._links.values())

    def receive_summary(self, summary: HolderSummary) -> None:
        """Takes a holder's summary."""
        if SlotGroup(summary.pool, summary.failure_domain) in self._links:
            self._spread.update_summary(summary)

    def receive_grants(self, holder: str, message: GrantSlots) -> None:
        """Starts a waiting task in each granted slot, or gives the slot back."""
        group = SlotGroup(message.pool, message.failure_domain)
        link = self._links.get(group)
        if link is None or link.holder != holder:
            # Two daemons may both take themselves for the holder; a home obeys only one of them.
            self.ignored_grants += len(message.grants)
            return
        for grant in message.grants:
            key = DemandKey(grant.service, grant.team, grant.needs)
            link.last_grant = grant.sequence
            self._note_grant(group, link, key)
            slot = HeldSlot(holder, grant.sequence, grant.endpoint, grant.service, grant.team)
            self._held[holder, grant.sequence] = (group, slot)
            run = self._queue.pop(key)
            if run is None:
                self.unused_grants += 1
                self.release(slot, SlotResult.UNUSED)
            else:
                self._start(run, slot)
        if message.summary is not None:
            self._spread.update_summary(message.summary)

    def release(self, slot: HeldSlot, result: SlotResult, run_time_s: float = 0.0) -> None:
        """Gives a slot back and tells how its use ended."""
        group, _ = self._held.pop((slot.issuer, slot.sequence))
        link = self._links.get(group)
        if link is not None:
            link.releases.append(
                SlotRelease(
                    slot.issuer, slot.sequence, slot.endpoint, slot.service, result, run_time_s
                )
            )

    def flush(self) -> None:
        """Tells the holders what has changed."""
        now_s = self._clock.now_s()
        self._check_reachable_holders()
        for key in self._spread.list_keys().union(self._queue.list_keys()):
            self._spread.balance(key, self._queue.count(key))
        self._spread.move_to_free_slots()
        for group, link in self._links.items():
            self._flush_releases(group, link)
            self._flush_demand(group, link, now_s)

    def _note_grant(self, group: SlotGroup, link: GroupLink, key: DemandKey) -> None:
        self._spread.note_grant(group, key)
        # The holder counts its grants itself, so that an update for each would tell it nothing.
        if link.last_counts[key] > 0:
            link.last_counts[key] -= 1

    def _choose_holders(self) -> None:
        links: dict[SlotGroup, GroupLink] = {}
        for group in list_slot_groups(self._configuration):
            holder = choose_holder(group, self._live)
            if holder is None:
                continue
            link = self._links.get(group)
            if link is None or link.holder != holder.incarnation:
                link = GroupLink(holder.incarnation)
            links[group] = link
        self._links = links
        self._reachable = self._list_reachable_holders()
        self._configure_spread()

    def _check_reachable_holders(self) -> None:
        reachable = self._list_reachable_holders()
        if reachable != self._reachable:
            for link in self._links.values():
                if link.holder in reachable - self._reachable:
                    link.report_due_s = 0.0  # messages may have been lost
            self._reachable = reachable
            self._configure_spread()

    def _list_reachable_holders(self) -> frozenset[str]:
        holders = {link.holder for link in self._links.values()}
        return frozenset(holder for holder in holders if self._is_reachable(holder))

    def _configure_spread(self) -> None:
        usable = [group for group, link in self._links.items() if link.holder in self._reachable]
        groups_of_service = {
            name: [group for group in usable if group.pool in service.pools]
            for name, service in self._configuration.services.items()
        }
        self._spread.configure(groups_of_service)

    def _flush_releases(self, group: SlotGroup, link: GroupLink) -> None:
        if not link.releases:
            return
        releases, link.releases = tuple(link.releases), []
        self._send(link.holder, ReleaseSlots(group.pool, group.failure_domain, releases))

    def _flush_demand(self, group: SlotGroup, link: GroupLink, now_s: float) -> None:
        counts = self._spread.list_entries(group)
        report_due = now_s >= link.report_due_s
        repeat_due = bool(counts) and now_s >= link.last_update_s + DEMAND_REPEAT_S
        if counts == link.last_counts and not report_due and not repeat_due:
            return
        if counts == link.last_counts and link.holder != self._incarnation:
            self.unchanged_reports += 1
        link.last_counts = counts
        link.last_update_s = now_s
        entries = tuple(self._make_entry(key, count, now_s) for key, count in counts.items())
        held = self._report_held(group, link, now_s) if report_due else None
        self._send(
            link.holder,
            UpdateDemand(group.pool, group.failure_domain, entries, link.last_grant, held),
        )

    def _report_held(self, group: SlotGroup, link: GroupLink, now_s: float) -> tuple[HeldSlot, ...]:
        link.reports += 1
        is_new = link.reports <= FIRST_REPORTS
        link.report_due_s = now_s + (FIRST_REPORT_INTERVAL_S if is_new else REPORT_INTERVAL_S)
        return tuple(slot for held_group, slot in self._held.values() if held_group == group)

    def _make_entry(self, key: DemandKey, count: int, now_s: float) -> DemandEntry:
        age_s = now_s - self._queue.oldest_accepted_s(key)
        return DemandEntry(key.service, key.team, key.needs, count, age_s)
