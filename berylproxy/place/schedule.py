"""The order in which waiting tasks get slots, and the endpoint where each would end soonest."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, nsmallest

from berylproxy.collect.job import DemandKey

WAIT_WEIGHT = 5.0  # a task that waits for a faster endpoint also delays those behind it


@dataclass(slots=True)
class HomeDemand:
    """What one home asks for.

    :param since_s: when the oldest waiting task was accepted, by the holder's clock.
    """

    waiting: int
    since_s: float


@dataclass(slots=True)
class TeamShare:
    """A team's place among the others.

    :param running: its slots in use.
    :param weight: its share when teams compete.
    :param quota: the most slots that it may use here.
    """

    running: int
    weight: int
    quota: int


class FairOrder:
    """Yields waiting tasks: least running per weight first among teams, oldest first within one.

    Works on copies of the counts, so that tasks can be considered without being granted a slot.
    """

    def __init__(
        self,
        demands: Mapping[DemandKey, Mapping[str, HomeDemand]],
        shares: Mapping[str, TeamShare],
    ) -> None:
        self._shares = shares
        self._queues: dict[str, list[list]] = {}  # team -> heap of [since_s, order, key, home, n]
        order = 0
        for key, homes in demands.items():
            for home, demand in homes.items():
                order += 1
                item = [demand.since_s, order, key, home, demand.waiting]
                self._queues.setdefault(key.team, []).append(item)
        for queue in self._queues.values():
            heapify(queue)

    def take(self) -> tuple[DemandKey, str] | None:
        """Takes the next waiting task: its key and its home; ``None`` if none may run."""
        team = min(self._eligible_teams(), key=self._rank, default=None)
        if team is None:
            return None
        queue = self._queues[team]
        item = queue[0]
        item[4] -= 1
        if not item[4]:
            heappop(queue)
            if not queue:
                del self._queues[team]
        self._shares[team].running += 1
        return item[2], item[3]

    def _eligible_teams(self) -> list[str]:
        return [
            team for team in self._queues if self._shares[team].running < self._shares[team].quota
        ]

    def _rank(self, team: str) -> tuple[float, float]:
        share = self._shares[team]
        return share.running / share.weight, self._queues[team][0][0]


@dataclass(slots=True)
class EndpointForecast:
    """When an endpoint's slots are expected to be free.

    :param free: slots that may be granted now.
    :param free_at_s: heap of the times at which the others become free.
    """

    free: int
    free_at_s: list[float] = field(default_factory=list)

    def next_free_s(self, now_s: float) -> float | None:
        """The time at which one more task could start; ``None`` for never."""
        if self.free:
            return now_s
        return self.free_at_s[0] if self.free_at_s else None

    def reserve(self, run_time_s: float, now_s: float) -> None:
        """Takes the next slot for a task of that run time."""
        start_s = now_s
        if self.free:
            self.free -= 1
        else:
            start_s = heappop(self.free_at_s)
        heappush(self.free_at_s, start_s + run_time_s)

    def list_costs_s(self, run_time_s: float, now_s: float, count: int) -> list[float]:
        """What each of the next tasks would cost here, see :data:`WAIT_WEIGHT`."""
        costs_s = [run_time_s] * min(self.free, count)
        starts_s = nsmallest(count - len(costs_s), self.free_at_s)
        return costs_s + [WAIT_WEIGHT * (start_s - now_s) + run_time_s for start_s in starts_s]


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a task would end soonest."""

    endpoint: str
    starts_now: bool


class SlotForecast:
    """Assigns tasks one after another, each to the endpoint where it is expected to end soonest.

    Time spent waiting counts :data:`WAIT_WEIGHT` times, so that a free slot is held back only where
    a faster endpoint has one soon.

    :param forecasts: by endpoint.
    :param expect_s: expected run time of an endpoint and a service.
    :param can_take: whether an endpoint can run tasks of a key at all.
    """

    def __init__(
        self,
        forecasts: dict[str, EndpointForecast],
        expected_run_time_s: Callable[[str, str], float],
        can_take: Callable[[str, DemandKey], bool],
        now_s: float,
    ) -> None:
        self._forecasts = forecasts
        self._expected_run_time_s = expected_run_time_s
        self._can_take = can_take
        self._now_s = now_s
        self.free = sum(forecast.free for forecast in forecasts.values())

    def place(self, key: DemandKey) -> Placement | None:
        """Assigns one task; ``None`` if no endpoint can take it."""
        best_name = None
        best_cost_s = float("inf")
        for name, forecast in self._forecasts.items():
            start_s = forecast.next_free_s(self._now_s)
            if start_s is None or not self._can_take(name, key):
                continue
            wait_s = start_s - self._now_s
            cost_s = WAIT_WEIGHT * wait_s + self._expected_run_time_s(name, key.service)
            if cost_s < best_cost_s:
                best_name = name
                best_cost_s = cost_s
        if best_name is None:
            return None
        best = self._forecasts[best_name]
        starts_now = best.free > 0
        best.reserve(self._expected_run_time_s(best_name, key.service), self._now_s)
        if starts_now:
            self.free -= 1
        return Placement(best_name, starts_now)
