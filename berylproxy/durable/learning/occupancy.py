"""How long runs of each kind of task have been on an endpoint; no clock, no sockets."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MAX_KINDS = 64
SMALLEST_MEAN = 1e-6  # smaller means are rounding errors


@dataclass(frozen=True, slots=True)
class OccupancyAtStart:
    """What an endpoint had seen when a run was started there.

    :param run_s: run seconds by kind until then.
    """

    started_s: float
    run_s: Mapping[str, float]


@dataclass(slots=True)
class Occupancy:
    """The kinds of the runs on an endpoint. An update takes time in proportion to them.

    :ivar counts: number of runs by kind.
    :ivar run_s: run seconds by kind, up to ``updated_s``.
    :ivar updated_s: monotonic time of the last update.
    """

    counts: Counter[str] = field(default_factory=Counter)
    run_s: Counter[str] = field(default_factory=Counter)
    updated_s: float = 0.0

    def update(self, kinds: Iterable[str], now_s: float) -> None:
        """Adds the time since the last update, and takes over the present runs.

        :param kinds: the kind of each present run; empty if it is not known.
        """
        elapsed_s = now_s - self.updated_s
        for kind, count in self.counts.items():
            self.run_s[kind] += count * elapsed_s
        self.counts = Counter(kind for kind in kinds if kind)
        self.updated_s = now_s
        if len(self.run_s) > MAX_KINDS:
            self.run_s = Counter({kind: self.run_s[kind] for kind in self.counts})

    def clear(self) -> None:
        """Drops all runs, as if none had been there."""
        self.counts.clear()

    def mark(self, now_s: float) -> OccupancyAtStart:
        """Returns the state at the start of a run, for :meth:`mean_neighbours`."""
        return OccupancyAtStart(now_s, dict(self.run_s))

    def mean_neighbours(
        self, kind: str, start: OccupancyAtStart, now_s: float
    ) -> dict[str, float] | None:
        """Returns the mean number of a run's neighbours by kind, from its start until now.

        :param kind: the run's own kind, of which the run itself is not counted.
        :return: ``None`` if the run took no time.
        """
        elapsed_s = now_s - start.started_s
        if elapsed_s <= 0:
            return None
        means = {
            name: (run_s - start.run_s.get(name, 0.0)) / elapsed_s - (name == kind)
            for name, run_s in self.run_s.items()
        }
        return {name: mean for name, mean in means.items() if mean > SMALLEST_MEAN}
