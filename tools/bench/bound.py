"""Computes a bound: the slowdowns of a clairvoyant dispatcher on the same arrivals.

The dispatcher has a single queue, knows run times and speeds exactly, and its messages take no
time. In the order of arrival, each task is assigned to the slot where it ends soonest; within a job
the longest tasks are assigned first.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heapify, heapreplace

from tools.bench.arrivals import Arrival


@dataclass(frozen=True, slots=True)
class Interval:
    """The waiting and running time of one task.

    :param arrived_s: when the task arrived.
    :param started_s: when the task started in its slot.
    """

    arrived_s: float
    started_s: float
    ended_s: float


@dataclass(frozen=True, slots=True)
class Bound:
    """The assignment of all tasks.

    :param slowdowns: for each arrival, its latency divided by the run time of its longest task on
        the fastest endpoint.
    """

    slowdowns: list[float]
    intervals: list[Interval]


def compute_bound(arrivals: Iterable[Arrival], slots_by_speed: dict[float, int]) -> Bound:
    """Assigns all tasks to slots.

    :param slots_by_speed: number of slots of each speed.
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
