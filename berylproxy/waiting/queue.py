"""Queue of the tasks that wait at their home for a slot."""

from collections import deque
from collections.abc import Iterator

from berylproxy.collect.job import DemandKey, TaskRun


class WaitingQueue:
    """Waiting tasks, first in, first out for each demand key.

    Discarded tasks leave the counts at once; their queue entries are skipped by later calls.
    """

    def __init__(self) -> None:
        self._queues: dict[DemandKey, deque[TaskRun]] = {}
        self._counts: dict[DemandKey, int] = {}
        self._team_counts: dict[str, int] = {}
        self._waiting: set[TaskRun] = set()

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, run: TaskRun) -> None:
        """Adds a task at the end."""
        self._queues.setdefault(run.key, deque()).append(run)
        self._add(run)

    def push_front(self, run: TaskRun) -> None:
        """Adds a task at the front, such as one that could not run in its granted slot."""
        self._queues.setdefault(run.key, deque()).appendleft(run)
        self._add(run)

    def pop(self, key: DemandKey) -> TaskRun | None:
        """Removes and returns the oldest task of a key; ``None`` if there is none."""
        queue = self._queues.get(key)
        if queue is None:
            return None
        oldest_run = None
        while queue and oldest_run is None:
            run = queue.popleft()
            if run in self._waiting:
                self._subtract(run)
                oldest_run = run
        if not queue:
            del self._queues[key]
        return oldest_run

    def discard(self, runs: list[TaskRun]) -> None:
        """Removes tasks that need not run any more; ignores those that do not wait."""
        for run in runs:
            if run in self._waiting:
                self._subtract(run)

    def count(self, key: DemandKey) -> int:
        """Returns the number of waiting tasks of a key."""
        return self._counts.get(key, 0)

    def count_team(self, team: str) -> int:
        """Returns the number of waiting tasks of a team."""
        return self._team_counts.get(team, 0)

    def list_keys(self) -> list[DemandKey]:
        """Returns the keys that have waiting tasks."""
        return list(self._counts)

    def oldest_accepted_s(self, key: DemandKey) -> float:
        """Returns when the job of a key's oldest waiting task was accepted; 0 if none waits."""
        run = next(self._iterate(key), None)
        return run.job.accepted_s if run is not None else 0.0

    def _iterate(self, key: DemandKey) -> Iterator[TaskRun]:
        return (run for run in self._queues.get(key, ()) if run in self._waiting)

    def _add(self, run: TaskRun) -> None:
        self._waiting.add(run)
        self._counts[run.key] = self._counts.get(run.key, 0) + 1
        self._team_counts[run.key.team] = self._team_counts.get(run.key.team, 0) + 1

    def _subtract(self, run: TaskRun) -> None:
        self._waiting.discard(run)
        self._decrease(self._counts, run.key)
        self._decrease(self._team_counts, run.key.team)

    @staticmethod
    def _decrease(counts: dict, key: object) -> None:
        counts[key] -= 1
        if not counts[key]:
            del counts[key]
