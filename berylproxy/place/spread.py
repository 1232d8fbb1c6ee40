"""How a home divides its waiting tasks among the holders. Pure: no clock, no sockets."""

from collections import Counter
from collections.abc import Iterable, Mapping

from berylproxy.collect.job import DemandKey
from berylproxy.place.assignment import SlotGroup
from berylproxy.place.messages import HolderSummary
from berylproxy.place.schedule import WAIT_WEIGHT

REMOTE_PENALTY_S = 0.003  # cost of a slot in another failure domain
UNKNOWN_TASK_COST_S = 0.1


class DemandSpread:
    """Counts of waiting tasks by key and slot group.

    :param failure_domain: the home's own, which is preferred when nothing is gained elsewhere.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._allotted: dict[SlotGroup, Counter[DemandKey]] = {}
        self._summaries: dict[SlotGroup, HolderSummary] = {}
        self._groups_of_service: dict[str, list[SlotGroup]] = {}
        self._added: Counter[SlotGroup] = Counter()  # tasks allotted since the last summary

    def configure(self, groups_of_service: Mapping[str, list[SlotGroup]]) -> None:
        """Takes the groups that have a holder; tasks of other groups are divided anew."""
        self._groups_of_service = dict(groups_of_service)
        usable = {group for groups in groups_of_service.values() for group in groups}
        for group in self._allotted.keys() - usable:
            del self._allotted[group]
            self._summaries.pop(group, None)

    def has_group(self, service: str) -> bool:
        """Tells whether any holder can grant slots for a service."""
        return bool(self._groups_of_service.get(service))

    def update_summary(self, summary: HolderSummary) -> None:
        """Takes a holder's summary and moves waiting tasks to it if it has slots to spare."""
        group = SlotGroup(summary.pool, summary.failure_domain)
        self._summaries[group] = summary
        self._added[group] = 0
        self._pull(group)

    def move_to_free_slots(self) -> None:
        """Moves waiting tasks to where slots were free when last heard of.

        A summary moves only what was allotted when it came: without this, tasks at a group that
        has come to a stop would stay there while other groups are idle.
        """
        for group, summary in self._summaries.items():
            if summary.free - summary.waiting - self._added[group] > 0:
                self._pull(group)
            elif not summary.slots:
                self._leave(group)

    def balance(self, key: DemandKey, waiting: int) -> None:
        """Makes the allotments of a key add up to the number of its waiting tasks."""
        allotted = {group: self._allotted_of(group, key) for group in self._groups(key)}
        missing = waiting - sum(allotted.values())
        for _ in range(missing):
            group = min(self._groups(key), key=self._estimate_cost_s, default=None)
            if group is None:
                return
            self._add(group, key, 1)
        for _ in range(-missing):
            group = max(
                (group for group in allotted if self._allotted_of(group, key)),
                key=self._estimate_cost_s,
            )
            self._add(group, key, -1)

    def estimate_wait_s(self, service: str, new_tasks: int) -> float:
        """Estimates the time until the last of some new tasks of a service would start.

        Zero while a holder has not told its turnover yet.
        """
        ahead = new_tasks
        turnover_per_s = 0.0
        for group in self._groups_of_service.get(service, ()):
            summary = self._summaries.get(group)
            if summary is None:
                return 0.0
            ahead += max(summary.waiting, self._count(group)) - summary.free
            turnover_per_s += summary.turnover_per_s
        return max(0, ahead) / turnover_per_s if turnover_per_s else 0.0

    def estimate_run_time_s(self, service: str) -> float:
        """Estimates the mean run time of a service's tasks; 0 while nothing is known."""
        groups = self._groups_of_service.get(service, ())
        known = [self._summaries[group] for group in groups if group in self._summaries]
        turnover_per_s = sum(summary.turnover_per_s for summary in known)
        slots = sum(summary.slots for summary in known)
        return slots / turnover_per_s if turnover_per_s else 0.0

    def note_grant(self, group: SlotGroup, key: DemandKey) -> None:
        """A holder granted a slot."""
        if self._allotted_of(group, key):
            self._add(group, key, -1)

    def list_keys(self) -> set[DemandKey]:
        """Lists the keys that have allotments."""
        return {key for allotted in self._allotted.values() for key in +allotted}

    def list_entries(self, group: SlotGroup) -> Counter[DemandKey]:
        """The waiting tasks allotted to a group, by key."""
        return +self._allotted.get(group, Counter())

    def _groups(self, key: DemandKey) -> Iterable[SlotGroup]:
        return self._groups_of_service.get(key.service, ())

    def _allotted_of(self, group: SlotGroup, key: DemandKey) -> int:
        return self._allotted.get(group, Counter())[key]

    def _count(self, group: SlotGroup) -> int:
        return sum(self._allotted.get(group, Counter()).values())

    def _add(self, group: SlotGroup, key: DemandKey, count: int) -> None:
        self._allotted.setdefault(group, Counter())[key] += count
        self._added[group] += count

    def _estimate_cost_s(self, group: SlotGroup) -> float:
        """What one more task would cost there; nothing while the holder has not told."""
        penalty_s = 0.0 if group.failure_domain == self._failure_domain else REMOTE_PENALTY_S
        summary = self._summaries.get(group)
        added = self._added[group]
        if summary is None:
            return penalty_s + added * UNKNOWN_TASK_COST_S
        if not summary.costs_s or not summary.turnover_per_s:
            return float("inf")
        step = min(max(added, 0), len(summary.costs_s) - 1)
        cost_s = summary.costs_s[step]
        beyond = added - step
        return penalty_s + cost_s + WAIT_WEIGHT * beyond / summary.turnover_per_s

    def _pull(self, target: SlotGroup) -> None:
        """Moves waiting tasks to a group for as long as that lowers their cost."""
        for group, allotted in list(self._allotted.items()):
            if group == target:
                continue
            for key in list(+allotted):
                if target in self._groups(key):
                    self._move(key, group, target)

    def _leave(self, source: SlotGroup) -> None:
        """Moves waiting tasks away from a group that has no usable slots any more."""
        for key in list(+self._allotted.get(source, Counter())):
            target = min(self._groups(key), key=self._estimate_cost_s, default=source)
            if target != source:
                self._move(key, source, target)

    def _move(self, key: DemandKey, source: SlotGroup, target: SlotGroup) -> None:
        while self._allotted_of(source, key):
            if self._estimate_cost_s(target) >= self._estimate_cost_s(source):
                return
            self._add(source, key, -1)
            self._add(target, key, 1)
