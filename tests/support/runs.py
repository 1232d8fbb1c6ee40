"""Detection of overlapping runs of a task in the starts and ends that endpoints recorded."""

from collections import defaultdict
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from itertools import pairwise

Run = tuple[float, str, Hashable, int]
"""Time in seconds, ``"start"`` or the kind of end, task, and run number."""


@dataclass(frozen=True, slots=True)
class Overlap:
    """Two runs of one task that overlap in time."""

    task: Hashable
    first_run: int
    first_start_s: float
    next_run: int
    next_start_s: float


def find_overlaps(runs: Iterable[Run]) -> list[Overlap]:
    """Returns the runs of a task that started before the task's previous run had ended."""
    starts: dict[Hashable, list[tuple[float, int]]] = defaultdict(list)
    ends: dict[tuple[Hashable, int], float] = {}
    for at_s, kind, task, run in sorted(runs):
        if kind == "start":
            starts[task].append((at_s, run))
        else:
            ends[task, run] = at_s
    return [
        Overlap(task, run, first_s, next_run, next_s)
        for task, task_starts in starts.items()
        for (first_s, run), (next_s, next_run) in pairwise(task_starts)
        if ends.get((task, run), float("inf")) > next_s
    ]


def most_active_runs(events: Iterable[tuple]) -> int:
    """Returns the largest number of runs that were active at a time."""
    active, most = 0, 0
    for _, kind, _, _ in sorted(events):
        active += 1 if kind == "start" else -1
        most = max(most, active)
    return most
