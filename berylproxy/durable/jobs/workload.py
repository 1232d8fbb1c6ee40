"""Keeps sums of the work of a group's open jobs, by claimant, without a clock or sockets.

Made for admission at high rates: a decision about a job must not look at all open jobs. A change of
a task takes logarithmic time in the active tasks; a sum takes time in proportion to the claimants
and to the slots of 50 ms of the order of jobs, however many jobs and endpoints there are.
"""

from collections import defaultdict
from collections.abc import Hashable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import floor
from typing import NamedTuple

ORDER_SLOT_S = 0.05
FARTHEST_ORDER_S = 1e12  # objectives from the configuration have no bound
# Of a run that takes longer than expected, this share of the expected time is assumed to remain.
LEAST_REMAINING_SHARE = 0.1


class Claimant(NamedTuple):
    """Callers who share in the room together.

    :param failure_domain: where their entry daemons are; empty if unknown.
    """

    queue: str
    failure_domain: str = ""


@dataclass(slots=True)
class ClaimantWork:
    """Sums over the open jobs of one claimant.

    :ivar pending_core_s: work of tasks that aren't started, by the slot of their job's order.
    :ivar pending_counts: number of these tasks, by slot.
    :ivar pending_millicores: processor share that these tasks need together.
    :ivar active_millicores: processor share of the tasks that are started.
    :ivar active_count: number of these tasks.
    :ivar end_core_s: sum over started tasks of cores times the monotonic time of the expected end.
    :ivar ending_cores: cores of the tasks that ``end_core_s`` counts.
    :ivar overdue_core_s: work that is assumed to remain of the other started tasks.
    """

    pending_core_s: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    pending_counts: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    pending_millicores: int = 0
    active_millicores: int = 0
    active_count: int = 0
    end_core_s: float = 0.0
    ending_cores: float = 0.0
    overdue_core_s: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether the claimant has no open tasks."""
        return not (self.active_count or self.pending_counts)

    def active_core_s(self, now_s: float) -> float:
        """Returns the remaining work of the started tasks."""
        return max(self.end_core_s - now_s * self.ending_cores, 0.0) + self.overdue_core_s

    def pending_core_s_between(self, first_s: float, last_s: float) -> float:
        """Returns the work of tasks that aren't started, of the jobs in a part of the order."""
        first, last = _slot(first_s), _slot(last_s)
        return sum(work for slot, work in self.pending_core_s.items() if first <= slot <= last)


@dataclass(slots=True, eq=False)
class TaskWork:
    """What the sums contain of one task.

    :ivar expected_s: its expected run time at speed 1.
    :ivar started_s: monotonic time of the newest run's start; ``None`` if it isn't started.
    :ivar is_overdue: whether the run has taken about as long as expected.
    """

    claimant: Claimant
    millicores: int
    expected_s: float
    order_slot: int
    started_s: float | None = None
    is_overdue: bool = False
    is_removed: bool = False

    @property
    def core_s(self) -> float:
        """The work of the whole task."""
        return self.expected_s * self.millicores / 1000


class Workload:
    """The work of all open jobs of a group.

    :ivar by_claimant: sums of the claimants that have open tasks.
    :ivar done_core_s: work of all tasks that were done so far.
    """

    def __init__(self) -> None:
        self.by_claimant: dict[Claimant, ClaimantWork] = {}
        self.done_core_s = 0.0
        self._tasks: dict[Hashable, TaskWork] = {}
        self._overdue_times: list[tuple[float, int, TaskWork]] = []
        self._numbers = count()

    def add(
        self, key: Hashable, claimant: Claimant, millicores: int, expected_s: float, order_s: float
    ) -> None:
        """Adds a task that isn't started.

        :param key: names the task in later calls.
        :param order_s: where its job stands in the order; see :meth:`JobTable.order_s`.
        """
        work = TaskWork(claimant, millicores, expected_s, _slot(order_s))
        self._tasks[key] = work
        self._count_pending(work)

    def note_started(self, key: Hashable, started_s: float) -> None:
        """Counts a task as started, or as started at another time than noted before."""
        work = self._tasks.get(key)
        if work is None or work.started_s == started_s:
            return
        self._discount(work)
        # A new object, so that the entry of an earlier run in the heap has no effect.
        work = TaskWork(work.claimant, work.millicores, work.expected_s, work.order_slot, started_s)
        self._tasks[key] = work
        sums = self._sums(work.claimant)
        sums.active_millicores += work.millicores
        sums.active_count += 1
        sums.end_core_s += work.millicores / 1000 * (started_s + work.expected_s)
        sums.ending_cores += work.millicores / 1000
        overdue_s = started_s + (1 - LEAST_REMAINING_SHARE) * work.expected_s
        heappush(self._overdue_times, (overdue_s, next(self._numbers), work))

    def note_stopped(self, key: Hashable) -> None:
        """Counts a started task as one that isn't started."""
        work = self._tasks.get(key)
        if work is None or work.started_s is None:
            return
        self._discount(work)
        work = TaskWork(work.claimant, work.millicores, work.expected_s, work.order_slot)
        self._tasks[key] = work
        self._count_pending(work)

    def note_done(self, key: Hashable) -> None:
        """Removes a task that is done."""
        work = self._tasks.get(key)
        if work is not None:
            self.done_core_s += work.core_s
            self.remove(key)

    def remove(self, key: Hashable) -> None:
        """Removes a task whose job has ended; without effect if the task is unknown."""
        work = self._tasks.pop(key, None)
        if work is not None:
            self._discount(work)
            sums = self.by_claimant[work.claimant]
            if sums.is_empty:
                del self.by_claimant[work.claimant]

    def advance(self, now_s: float) -> None:
        """Recounts the runs that have become overdue; to be called before sums are read."""
        while self._overdue_times and self._overdue_times[0][0] <= now_s:
            _, _, work = heappop(self._overdue_times)
            if work.is_removed or work.started_s is None:
                continue
            sums = self.by_claimant[work.claimant]
            self._discount_ending(sums, work)
            work.is_overdue = True
            sums.overdue_core_s += LEAST_REMAINING_SHARE * work.core_s

    def _sums(self, claimant: Claimant) -> ClaimantWork:
        sums = self.by_claimant.get(claimant)
        if sums is None:
            sums = self.by_claimant[claimant] = ClaimantWork()
        return sums

    def _count_pending(self, work: TaskWork) -> None:
        sums = self._sums(work.claimant)
        sums.pending_core_s[work.order_slot] += work.core_s
        sums.pending_counts[work.order_slot] += 1
        sums.pending_millicores += work.millicores

    def _discount(self, work: TaskWork) -> None:
        """Takes a task out of the sums."""
        sums = self.by_claimant[work.claimant]
        work.is_removed = True
        if work.started_s is None:
            sums.pending_core_s[work.order_slot] -= work.core_s
            sums.pending_counts[work.order_slot] -= 1
            sums.pending_millicores -= work.millicores
            if not sums.pending_counts[work.order_slot]:
                del sums.pending_counts[work.order_slot], sums.pending_core_s[work.order_slot]
            return
        sums.active_millicores -= work.millicores
        sums.active_count -= 1
        if work.is_overdue:
            sums.overdue_core_s -= LEAST_REMAINING_SHARE * work.core_s
        else:
            self._discount_ending(sums, work)
        if not sums.active_count:
            # Without rounding errors of many additions.
            sums.end_core_s = sums.ending_cores = sums.overdue_core_s = 0.0

    @staticmethod
    def _discount_ending(sums: ClaimantWork, work: TaskWork) -> None:
        sums.end_core_s -= work.millicores / 1000 * (work.started_s + work.expected_s)
        sums.ending_cores -= work.millicores / 1000


def _slot(order_s: float) -> int:
    return floor(max(-FARTHEST_ORDER_S, min(FARTHEST_ORDER_S, order_s)) / ORDER_SLOT_S)
