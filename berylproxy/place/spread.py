"""Divides a home's waiting tasks among the holders. Pure: no clock, no sockets."""

from collections import Counter
from collections.abc import Iterable, Mapping

from berylproxy.collect.job import DemandKey
from berylproxy.place.assignment import SlotGroup
from berylproxy.place.messages import HolderSummary
from berylproxy.place.schedule import WAIT_WEIGHT

REMOTE_PENALTY_S = 0.003  # added to the cost of a slot in another failure domain
UNKNOWN_TASK_COST_S = 0.1  # cost of each allotted task until the holder sends a summary


class DemandSpread:
    """Allots waiting tasks to slot groups, as counts by key.

    :param failure_domain: the home's own failure domain, preferred at equal cost.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._allotted: dict[SlotGroup, Counter[DemandKey]] = {}
        self._summaries: dict[SlotGroup, HolderSummary] = {}
        self._groups_of_service: dict[str, list[SlotGroup]] = {}
        self._allotted_since_summary: Counter[SlotGroup] = Counter()

    def configure(self, groups_of_service: Mapping[str, list[SlotGroup]]) -> None:
        """Applies the groups with a reachable holder; drops the allotments of all other groups.

        :meth:`balance` allots the tasks of dropped groups again.
        """
        self._groups_of_service = dict(groups_of_service)
        usable = {group for groups in groups_of_service.values() for group in groups}
        for group in self._allotted.keys() - usable:
            del self._allotted[group]
            self._summaries.pop(group, None)

    def has_group(self, service: str) -> bool:
        """Returns whether any holder can grant slots for a service."""
        return bool(self._groups_of_service.get(service))

    def update_summary(self, summary: HolderSummary) -> None:
        """Applies a holder's summary and moves waiting tasks to its group if that costs less."""
        group = SlotGroup(summary.pool, summary.failure_domain)
        self._summaries[group] = summary
        self._allotted_since_summary[group] = 0
        self._move_demand_to(group)

    def move_to_free_slots(self) -> None:
        """Moves waiting tasks to groups with free slots by their last summary.

        Tasks of groups without usable slots are moved away. :meth:`update_summary` moves only
        tasks that are allotted when the summary arrives; without this method, tasks allotted later
        to a group that has stopped would wait there while other groups are idle.
        """
        for group, summary in self._summaries.items():
            if summary.free - summary.waiting - self._allotted_since_summary[group] > 0:
                self._move_demand_to(group)
            elif not summary.slots:
                self._move_demand_from(group)

    def balance(self, key: DemandKey, waiting: int) -> None:
        """Adds or removes allotments of a key until their sum is the number of waiting tasks."""
        allotted = {group: self._count_allotted(group, key) for group in self._list_groups(key)}
        missing = waiting - sum(allotted.values())
        for _ in range(missing):
            group = min(self._list_groups(key), key=self._estimate_cost_s, default=None)
            if group is None:
                return
            self._add(group, key, 1)
        for _ in range(-missing):
            group = max(
                (group for group in allotted if self._count_allotted(group, key)),
                key=self._estimate_cost_s,
            )
            self._add(group, key, -1)

    def estimate_wait_s(self, service: str, new_tasks: int) -> float:
        """Estimates the time until the last of some new tasks of a service would start.

        Returns 0 while the summary of any of the service's groups is missing.
        """
        tasks_ahead = new_tasks
        turnover_per_s = 0.0
        for group in self._groups_of_service.get(service, ()):
            summary = self._summaries.get(group)
            if summary is None:
                return 0.0
            tasks_ahead += max(summary.waiting, self._count_all_allotted(group)) - summary.free
            turnover_per_s += summary.turnover_per_s
        return max(0, tasks_ahead) / turnover_per_s if turnover_per_s else 0.0

    def estimate_run_time_s(self, service: str) -> float:
        """Estimates the mean run time of a service's tasks; 0 without any summary."""
        groups = self._groups_of_service.get(service, ())
        summaries = [self._summaries[group] for group in groups if group in self._summaries]
        turnover_per_s = sum(summary.turnover_per_s for summary in summaries)
        slots = sum(summary.slots for summary in summaries)
        return slots / turnover_per_s if turnover_per_s else 0.0

    def note_grant(self, group: SlotGroup, key: DemandKey) -> None:
        """Records that a holder has granted a slot: one task fewer waits for the group."""
        if self._count_allotted(group, key):
            self._add(group, key, -1)

    def list_keys(self) -> set[DemandKey]:
        """Returns the keys that have allotments."""
        return {key for allotted in self._allotted.values() for key in +allotted}

    def list_entries(self, group: SlotGroup) -> Counter[DemandKey]:
        """Returns the number of waiting tasks allotted to a group, by key."""
        return +self._allotted.get(group, Counter())

    def _list_groups(self, key: DemandKey) -> Iterable[SlotGroup]:
        return self._groups_of_service.get(key.service, ())

    def _count_allotted(self, group: SlotGroup, key: DemandKey) -> int:
        return self._allotted.get(group, Counter())[key]

    def _count_all_allotted(self, group: SlotGroup) -> int:
        return sum(self._allotted.get(group, Counter()).values())

    def _add(self, group: SlotGroup, key: DemandKey, count: int) -> None:
        self._allotted.setdefault(group, Counter())[key] += count
        self._allotted_since_summary[group] += count

    def _estimate_cost_s(self, group: SlotGroup) -> float:
        """Estimates the cost of one more task in a group.

        Without a summary of the group, the cost is only the penalty for a remote group, and grows
        by :data:`UNKNOWN_TASK_COST_S` with each allotted task.
        """
        penalty_s = 0.0 if group.failure_domain == self._failure_domain else REMOTE_PENALTY_S
        summary = self._summaries.get(group)
        added = self._allotted_since_summary[group]
        if summary is None:
            return penalty_s + added * UNKNOWN_TASK_COST_S
        if not summary.costs_s or not summary.turnover_per_s:
            return float("inf")
        index = min(max(added, 0), len(summary.costs_s) - 1)
        cost_s = summary.costs_s[index]
        tasks_beyond_costs = added - index
        return penalty_s + cost_s + WAIT_WEIGHT * tasks_beyond_costs / summary.turnover_per_s

    def _move_demand_to(self, target: SlotGroup) -> None:
        """Moves waiting tasks of other groups to a group for as long as their cost decreases."""
        for group, allotted in list(self._allotted.items()):
            if group == target:
                continue
            for key in list(+allotted):
                if target in self._list_groups(key):
                    self._move(key, group, target)

    def _move_demand_from(self, source: SlotGroup) -> None:
        """Moves waiting tasks away from a group that has no usable slots left."""
        for key in list(+self._allotted.get(source, Counter())):
            target = min(self._list_groups(key), key=self._estimate_cost_s, default=source)
            if target != source:
                self._move(key, source, target)

    def _move(self, key: DemandKey, source: SlotGroup, target: SlotGroup) -> None:
        while self._count_allotted(source, key):
            if self._estimate_cost_s(target) >= self._estimate_cost_s(source):
                return
            self._add(source, key, -1)
            self._add(target, key, 1)
