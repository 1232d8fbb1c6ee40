"""What one clairvoyant dispatcher would achieve on the same arrivals.

It has a single queue, knows run times and speeds exactly, and its messages take no time. Each task
gets, in the order of arrival, the slot where it ends soonest; within a job the longest go first.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heapify, heapreplace

from tools.bench.arrivals import Arrival


@dataclass(frozen=True, slots=True)
class Interval:
    """One task at a slot.

    :param arrived_s: when it came.
    :param started_s: when its slot was free for it.
    """

    arrived_s: float
    started_s: float
    ended_s: float


@dataclass(frozen=True, slots=True)
class Bound:
    """The result.

    :param slowdowns: one for each arrival.
    """

    slowdowns: list[float]
    intervals: list[Interval]


def compute_bound(arrivals: Iterable[Arrival], slots_by_speed: dict[float, int]) -> Bound:
    """Assigns all tasks.

    :param slots_by_speed: how many slots there are of each speed.
    """
    free_at_s = {speed: [0.0] * slots for speed, slots in slots_by_speed.items()}
    for heap in free_at_s.values():
        heapify(heap)
    fastest_speed = max(slots_by_speed)
    bound = Bound([], [])
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at_s):
        ended_s = arrival.at_s
        for work_s in sorted(arrival.work_s, reverse=True):
            interval = _assign(arrival.at_s, work_s, free_at_s)
            bound.intervals.append(interval)
            ended_s = max(ended_s, interval.ended_s)
        ideal_s = max(arrival.work_s) / fastest_speed
        bound.slowdowns.append((ended_s - arrival.at_s) / ideal_s)
    return bound


def _assign(arrived_s: float, work_s: float, free_at_s: dict[float, list[float]]) -> Interval:
    def end_s(speed: float) -> float:
        return max(arrived_s, free_at_s[speed][0]) + work_s / speed

    speed = min(free_at_s, key=end_s)
    started_s = max(arrived_s, free_at_s[speed][0])
    ended_s = started_s + work_s / speed
    heapreplace(free_at_s[speed], ended_s)
    return Interval(arrived_s, started_s, ended_s)
