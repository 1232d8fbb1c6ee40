"""Divides a group's room among claimants while it is scarce, without a clock or sockets.

Made for loads above the capacity to which some callers contribute more than usual: a burst in one
queue or from one failure domain, or less room after a loss of endpoints. Who sends more than its
share gets what the others leave; the excess is served after all others' jobs and refused first.
While there is room for all, nothing is divided. A decision takes time in proportion to the
claimants, with their logarithm, and an order in proportion to the waiting jobs, with theirs.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import exp

from berylproxy.durable.decisions.placement import OBJECTIVE_ORDER, rank_job
from berylproxy.durable.jobs.job_table import Job
from berylproxy.durable.jobs.workload import Claimant

RECENT_DEMAND_S = 1.0
USUAL_DEMAND_S = 20.0
# While room is scarce, the usual demand follows the present one at this share of its normal rate:
# a burst must not earn its sender a larger share.
SCARCE_LEARNING_SHARE = 0.1
SHORTEST_OBSERVED_S = 0.5
LEAST_WEIGHT_SHARE = 0.02  # of all weights, for claimants that have hardly sent anything so far
PRIORITY_FACTOR = 0.9  # the weight of each lower priority relative to the one above
LOWEST_PRIORITY = 20  # lower ones weigh the same
# Arrivals are random: up to this multiple of its share, a claimant doesn't exceed it.
TOLERATED_FACTOR = 1.15
SAVED_SHARE_S = 0.5  # a claimant may catch up on the share that it left unused for this time
AMPLE_SHARE = 0.9  # room is ample again once the demand is below this share of the capacity
AMPLE_AFTER_S = 0.5
MAX_CLAIMANTS = 256  # bounds the memory if queues are renamed often
# The oldest of the durable jobs that have waited for longer goes first, whatever its share.
STARVED_AFTER_S = 10.0


def divide_room(
    room: float, demands: Mapping[Claimant, float], weights: Mapping[Claimant, float]
) -> dict[Claimant, float]:
    """Returns the weighted max-min share of each claimant.

    A claimant that demands less than its part gets its demand; the others divide the rest by their
    weights.
    """
    shares: dict[Claimant, float] = {}
    total_weight = sum(weights[claimant] for claimant in demands)
    for claimant in sorted(demands, key=lambda one: demands[one] / weights[one]):
        part = room * weights[claimant] / total_weight if total_weight > 0 else 0.0
        shares[claimant] = min(demands[claimant], part)
        room -= shares[claimant]
        total_weight -= weights[claimant]
    return shares


@dataclass(slots=True)
class DemandRates:
    """Work that claimants send per second, as exponential moving averages.

    :param period_s: time constant.
    """

    period_s: float
    _sums: dict[Claimant, float] = field(default_factory=dict)
    _began_s: float | None = None
    _noted_s: float = 0.0

    def add(self, claimant: Claimant, core_s: float, now_s: float) -> None:
        """Adds the work of a job."""
        if self._began_s is None:
            self._began_s = self._noted_s = now_s
        factor = exp((self._noted_s - now_s) / self.period_s)
        for known in self._sums:
            self._sums[known] *= factor
        self._noted_s = now_s
        self._sums[claimant] = self._sums.get(claimant, 0.0) + core_s
        if len(self._sums) > MAX_CLAIMANTS:
            others = (known for known in self._sums if known != claimant)
            del self._sums[min(others, key=self._sums.__getitem__)]

    def rates(self, now_s: float) -> dict[Claimant, float]:
        """Returns the core seconds per second of each claimant."""
        if self._began_s is None:
            return {}
        observed_s = max(now_s - self._began_s, SHORTEST_OBSERVED_S)
        span_s = self.period_s * (1 - exp(-observed_s / self.period_s))
        factor = exp((self._noted_s - now_s) / self.period_s) / span_s
        return {claimant: work * factor for claimant, work in self._sums.items()}


@dataclass(slots=True)
class Scarcity:
    """Tells whether more work arrives than the endpoints can do, with hysteresis."""

    is_scarce: bool = False
    _last_scarce_s: float = 0.0

    def update(self, demand: float, capacity: float, now_s: float) -> bool:
        """Returns whether room is scarce, given core seconds per second."""
        if demand > capacity:
            self.is_scarce, self._last_scarce_s = True, now_s
        elif demand >= AMPLE_SHARE * capacity:
            self._last_scarce_s = now_s
        elif now_s - self._last_scarce_s >= AMPLE_AFTER_S:
            self.is_scarce = False
        return self.is_scarce


@dataclass(frozen=True, slots=True)
class ClaimantShare:
    """A claimant's part of the room, in core seconds per second.

    :param demand: what it has recently sent.
    :param share: what it is entitled to while room is scarce; its demand while it is ample.
    """

    claimant: Claimant
    demand: float
    share: float

    @property
    def is_over(self) -> bool:
        """Whether it sends more than its share."""
        return self.demand > TOLERATED_FACTOR * self.share


class RoomShares:
    """The shares of the claimants of one group.

    Weights are what the claimants usually send, so that a load that all contribute to is borne by
    all alike, and lower for queues of lower priority.

    :ivar scarcity: tells whether room is divided at present.
    """

    def __init__(self) -> None:
        self.scarcity = Scarcity()
        self._recent = DemandRates(RECENT_DEMAND_S)
        self._usual = DemandRates(USUAL_DEMAND_S)
        self._priorities: dict[str, int] = {}
        self._saved: dict[Claimant, tuple[float, float]] = {}

    def note_offered(self, job: Job, core_s: float, capacity: float, now_s: float) -> bool:
        """Adds a job that was submitted, accepted or not.

        :param core_s: its expected work.
        :param capacity: work that the endpoints do in a second.
        :return: whether the job exceeds its claimant's share of scarce room.
        """
        claimant = job.claimant
        self._priorities[claimant.queue] = job.spec.terms.priority
        self._recent.add(claimant, core_s, now_s)
        demands = self._recent.rates(now_s)
        is_scarce = self.scarcity.update(sum(demands.values()), capacity, now_s)
        learned = core_s * (SCARCE_LEARNING_SHARE if is_scarce else 1.0)
        self._usual.add(claimant, learned, now_s)
        if not is_scarce:
            self._saved.clear()
            return False
        tolerated = TOLERATED_FACTOR * self._divide(demands, capacity, now_s)[claimant]
        if demands[claimant] <= tolerated:
            self._saved.pop(claimant, None)
            return False
        most = SAVED_SHARE_S * tolerated
        saved, at_s = self._saved.get(claimant, (most, now_s))
        saved = min(saved + tolerated * (now_s - at_s), most)
        is_excess = saved <= 0
        self._saved[claimant] = (saved if is_excess else saved - core_s, now_s)
        return is_excess

    def update_scarcity(self, capacity: float, now_s: float) -> bool:
        """Returns whether room is scarce by what has been sent until now."""
        demand = sum(self._recent.rates(now_s).values())
        return self.scarcity.update(demand, capacity, now_s)

    def list_shares(self, capacity: float, now_s: float) -> list[ClaimantShare]:
        """Lists the claimants that have sent anything recently."""
        demands = self._recent.rates(now_s)
        shares = self._divide(demands, capacity, now_s) if self.scarcity.is_scarce else demands
        return [
            ClaimantShare(claimant, demand, shares[claimant])
            for claimant, demand in sorted(demands.items())
        ]

    def _divide(
        self, demands: Mapping[Claimant, float], capacity: float, now_s: float
    ) -> dict[Claimant, float]:
        return divide_room(capacity, demands, self._weigh(demands, now_s))

    def _weigh(self, claimants: Iterable[Claimant], now_s: float) -> dict[Claimant, float]:
        usual = self._usual.rates(now_s)
        least = max(LEAST_WEIGHT_SHARE * sum(usual.values()), 1e-9)
        return {
            claimant: max(usual.get(claimant, 0.0), least)
            * PRIORITY_FACTOR ** min(self._priorities.get(claimant.queue, 0), LOWEST_PRIORITY)
            for claimant in claimants
        }


@dataclass(frozen=True, slots=True)
class SharedOrder:
    """Places jobs within their claimants' shares before those that exceed them.

    Without excess, it is the order by objectives. A durable job whose objective has passed gives
    way to all others; the oldest one goes first after a while, so that it ends some time.
    """

    def arrange(self, jobs: list[Job], now_s: float, endpoint_cores: float) -> list[Job]:
        """Returns the jobs in the order in which their tasks are placed."""
        starved = min(
            (job for job in jobs if now_s - job.accepted_s > STARVED_AFTER_S),
            key=lambda job: job.accepted_s,
            default=None,
        )
        if starved is None and not any(job.is_excess for job in jobs):
            return OBJECTIVE_ORDER.arrange(jobs, now_s, endpoint_cores)

        def rank(job: Job) -> tuple:
            tier, *rest = rank_job(job, now_s, endpoint_cores)
            return job is not starved, tier, job.is_excess, *rest

        return sorted(jobs, key=rank)
