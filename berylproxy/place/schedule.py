"""Orders waiting tasks fairly and assigns each to the endpoint where it would end soonest."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, nsmallest

from berylproxy.collect.job import DemandKey

WAIT_WEIGHT = 5.0  # a task that waits for a faster endpoint also delays the tasks behind it


@dataclass(slots=True)
class HomeDemand:
    """Tasks of one demand key that wait at one home.

    :param waiting: number of waiting tasks.
    :param oldest_accepted_s: time on the holder's clock at which the job of the oldest waiting
        task was accepted.
    """

    waiting: int
    oldest_accepted_s: float


@dataclass(slots=True)
class TeamShare:
    """A team's share of the slots of one ledger.

    :param running: the team's slots in use.
    :param weight: the team's relative share when teams compete.
    :param quota: maximum number of the ledger's slots that the team may use.
    """

    running: int
    weight: int
    quota: int


class FairOrder:
    """Orders waiting tasks by weighted fair sharing among teams, oldest first within a team.

    The team with the fewest running tasks per weight is next. The order works on copies of the
    counts, so that a task can be considered without being granted a slot.
    """

    def __init__(
        self,
        demands: Mapping[DemandKey, Mapping[str, HomeDemand]],
        shares: Mapping[str, TeamShare],
    ) -> None:
        self._shares = shares
        # team -> heap of [oldest_accepted_s, order, key, home, waiting]
        self._queues: dict[str, list[list]] = {}
        order = 0
        for key, homes in demands.items():
            for home, demand in homes.items():
                order += 1
                item = [demand.oldest_accepted_s, order, key, home, demand.waiting]
                self._queues.setdefault(key.team, []).append(item)
        for queue in self._queues.values():
            heapify(queue)

    def pop_next(self) -> tuple[DemandKey, str] | None:
        """Removes the next waiting task; returns its key and home, or ``None`` if none may run."""
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
    """Expected availability of an endpoint's slots.

    :param free: number of slots that may be granted now.
    :param free_at_s: heap of the times at which the other slots become free.
    """

    free: int
    free_at_s: list[float] = field(default_factory=list)

    def next_free_s(self, now_s: float) -> float | None:
        """Returns the time at which one more task could start; ``None`` without any slot."""
        if self.free:
            return now_s
        return self.free_at_s[0] if self.free_at_s else None

    def reserve(self, run_time_s: float, now_s: float) -> None:
        """Reserves the slot that is free next for a task of the given run time."""
        start_s = now_s
        if self.free:
            self.free -= 1
        else:
            start_s = heappop(self.free_at_s)
        heappush(self.free_at_s, start_s + run_time_s)

    def list_costs_s(self, run_time_s: float, now_s: float, count: int) -> list[float]:
        """Lists the costs of the next tasks here: run time plus weighted wait, in seconds.

        The wait is weighted by :data:`WAIT_WEIGHT`.
        """
        costs_s = [run_time_s] * min(self.free, count)
        starts_s = nsmallest(count - len(costs_s), self.free_at_s)
        return costs_s + [WAIT_WEIGHT * (start_s - now_s) + run_time_s for start_s in starts_s]


@dataclass(frozen=True, slots=True)
class Placement:
    """The endpoint chosen for a task.

    :param starts_now: whether the endpoint has a free slot for the task.
    """

    endpoint: str
    starts_now: bool


class SlotForecast:
    """Assigns tasks one after another, each to the endpoint where its cost is lowest.

    The cost is the expected run time plus the wait for a slot. The wait counts
    :data:`WAIT_WEIGHT` times, so that a free slot is held back only where a faster endpoint has
    one soon.

    :param forecasts: forecasts by endpoint name.
    :param expected_run_time_s: returns the expected run time of a service at an endpoint.
    :param can_run: returns whether an endpoint has the resources that tasks of a key need.
    """

    def __init__(
        self,
        forecasts: dict[str, EndpointForecast],
        expected_run_time_s: Callable[[str, str], float],
        can_run: Callable[[str, DemandKey], bool],
        now_s: float,
    ) -> None:
        self._forecasts = forecasts
        self._expected_run_time_s = expected_run_time_s
        self._can_run = can_run
        self._now_s = now_s
        self.free = sum(forecast.free for forecast in forecasts.values())

    def place(self, key: DemandKey) -> Placement | None:
        """Assigns one task; returns ``None`` if no endpoint can run it."""
        best_name = None
        best_cost_s = float("inf")
        for name, forecast in self._forecasts.items():
            start_s = forecast.next_free_s(self._now_s)
            if start_s is None or not self._can_run(name, key):
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
