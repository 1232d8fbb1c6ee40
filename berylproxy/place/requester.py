"""Requests slots from the holders for the tasks that wait at this daemon."""

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

# The first reports are more frequent: a daemon may learn later than its homes that it is the
# holder, and drops the reports that arrive before.
FIRST_REPORT_INTERVAL_S = 1.0
FIRST_REPORTS = 3
REPORT_INTERVAL_S = 5.0
DEMAND_REPEAT_S = 1.0  # keeps a lost update from leaving tasks waiting


class HolderState:
    """State of the communication with the holder of one slot group.

    :param holder: the holder's incarnation.
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.last_grant = 0
        self.last_counts: Counter[DemandKey] = Counter()
        self.report_due_s = 0.0
        self.sent_reports = 0
        self.last_update_s = 0.0
        self.releases: list[SlotRelease] = []


class SlotRequester:
    """Registers demand with the holders, starts tasks in granted slots and releases the slots.

    :param send: sends a message to a daemon by incarnation, this one included.
    :param start: starts a task in a slot; :meth:`release` must be called once for the slot.
    :param is_reachable: returns whether messages can be delivered to a daemon now, by incarnation.
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
        self._holder_states: dict[SlotGroup, HolderState] = {}
        self._held_slots: dict[tuple[str, int], tuple[SlotGroup, HeldSlot]] = {}
        self._configuration = Configuration()
        self._live: list[DaemonIdentity] = [identity]
        self._reachable: frozenset[str] = frozenset()
        self._incarnation = identity.incarnation
        self.unused_grants = 0
        self.ignored_grants = 0
        self.unchanged_reports = 0

    def update_members(self, live: Iterable[DaemonIdentity]) -> None:
        """Applies the list of live daemons that are not leaving."""
        self._live = list(live)
        self._choose_holders()

    def configure(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        self._configuration = configuration
        self._choose_holders()

    def can_place(self, service: str) -> bool:
        """Returns whether any reachable holder can grant slots for a service."""
        return self._spread.has_group(service)

    def estimate_wait_s(self, service: str, new_tasks: int) -> float:
        """Estimates the time until the last of some new tasks of a service would start."""
        return self._spread.estimate_wait_s(service, new_tasks)

    def estimate_run_time_s(self, service: str) -> float:
        """Estimates the mean run time of a service's tasks; 0 without any summary."""
        return self._spread.estimate_run_time_s(service)

    def has_releases(self) -> bool:
        """Returns whether releases of slots are waiting to be sent."""
        return any(state.releases for state in self._holder_states.values())

    def receive_summary(self, summary: HolderSummary) -> None:
        """Applies a holder's summary."""
        if SlotGroup(summary.pool, summary.failure_domain) in self._holder_states:
            self._spread.update_summary(summary)

    def receive_grants(self, holder: str, message: GrantSlots) -> None:
        """Starts a waiting task in each granted slot; releases slots that no task waits for."""
        group = SlotGroup(message.pool, message.failure_domain)
        state = self._holder_states.get(group)
        if state is None or state.holder != holder:
            # Two daemons may both act as the holder; a home accepts the grants of only one.
            self.ignored_grants += len(message.grants)
            return
        for grant in message.grants:
            key = DemandKey(grant.service, grant.team, grant.needs)
            state.last_grant = grant.sequence
            self._note_grant(group, state, key)
            slot = HeldSlot(holder, grant.sequence, grant.endpoint, grant.service, grant.team)
            self._held_slots[holder, grant.sequence] = (group, slot)
            run = self._queue.pop(key)
            if run is None:
                self.unused_grants += 1
                self.release(slot, SlotResult.UNUSED)
            else:
                self._start(run, slot)
        if message.summary is not None:
            self._spread.update_summary(message.summary)

    def release(self, slot: HeldSlot, result: SlotResult, run_time_s: float = 0.0) -> None:
        """Queues the release of a slot for its holder, with the result of its use."""
        group, _ = self._held_slots.pop((slot.issuer, slot.sequence))
        state = self._holder_states.get(group)
        if state is not None:
            state.releases.append(
                SlotRelease(
                    slot.issuer, slot.sequence, slot.endpoint, slot.service, result, run_time_s
                )
            )

    def flush(self) -> None:
        """Sends changed demand, releases and reports that are due to the holders."""
        now_s = self._clock.now_s()
        self._update_reachable_holders()
        for key in self._spread.list_keys().union(self._queue.list_keys()):
            self._spread.balance(key, self._queue.count(key))
        self._spread.move_to_free_slots()
        for group, state in self._holder_states.items():
            self._flush_releases(group, state)
            self._flush_demand(group, state, now_s)

    def _note_grant(self, group: SlotGroup, state: HolderState, key: DemandKey) -> None:
        self._spread.note_grant(group, key)
        # The holder subtracts its grants from the demand, so they need no update of their own.
        if state.last_counts[key] > 0:
            state.last_counts[key] -= 1

    def _choose_holders(self) -> None:
        states: dict[SlotGroup, HolderState] = {}
        for group in list_slot_groups(self._configuration):
            holder = choose_holder(group, self._live)
            if holder is None:
                continue
            state = self._holder_states.get(group)
            if state is None or state.holder != holder.incarnation:
                state = HolderState(holder.incarnation)
            states[group] = state
        self._holder_states = states
        self._reachable = self._list_reachable_holders()
        self._configure_spread()

    def _update_reachable_holders(self) -> None:
        reachable = self._list_reachable_holders()
        if reachable != self._reachable:
            for state in self._holder_states.values():
                if state.holder in reachable - self._reachable:
                    state.report_due_s = 0.0  # messages may have been lost
            self._reachable = reachable
            self._configure_spread()

    def _list_reachable_holders(self) -> frozenset[str]:
        holders = {state.holder for state in self._holder_states.values()}
        return frozenset(holder for holder in holders if self._is_reachable(holder))

    def _configure_spread(self) -> None:
        usable = [
            group for group, state in self._holder_states.items() if state.holder in self._reachable
        ]
        groups_of_service = {
            name: [group for group in usable if group.pool in service.pools]
            for name, service in self._configuration.services.items()
        }
        self._spread.configure(groups_of_service)

    def _flush_releases(self, group: SlotGroup, state: HolderState) -> None:
        if not state.releases:
            return
        releases, state.releases = tuple(state.releases), []
        self._send(state.holder, ReleaseSlots(group.pool, group.failure_domain, releases))

    def _flush_demand(self, group: SlotGroup, state: HolderState, now_s: float) -> None:
        counts = self._spread.list_entries(group)
        is_report_due = now_s >= state.report_due_s
        is_repeat_due = bool(counts) and now_s >= state.last_update_s + DEMAND_REPEAT_S
        if counts == state.last_counts and not is_report_due and not is_repeat_due:
            return
        if counts == state.last_counts and state.holder != self._incarnation:
            self.unchanged_reports += 1
        state.last_counts = counts
        state.last_update_s = now_s
        entries = tuple(self._make_entry(key, count, now_s) for key, count in counts.items())
        held = self._make_held_report(group, state, now_s) if is_report_due else None
        self._send(
            state.holder,
            UpdateDemand(group.pool, group.failure_domain, entries, state.last_grant, held),
        )

    def _make_held_report(
        self, group: SlotGroup, state: HolderState, now_s: float
    ) -> tuple[HeldSlot, ...]:
        state.sent_reports += 1
        is_early_report = state.sent_reports <= FIRST_REPORTS
        state.report_due_s = now_s + (
            FIRST_REPORT_INTERVAL_S if is_early_report else REPORT_INTERVAL_S
        )
        return tuple(slot for held_group, slot in self._held_slots.values() if held_group == group)

    def _make_entry(self, key: DemandKey, count: int, now_s: float) -> DemandEntry:
        age_s = now_s - self._queue.oldest_accepted_s(key)
        return DemandEntry(key.service, key.team, key.needs, count, age_s)
