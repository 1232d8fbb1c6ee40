"""Decides whether to accept a new job, or to refuse it with a time to retry after.

Uses no clock and no sockets. Made for bursts above the capacity: a job whose answer would come too
late to be worth anything takes resources from jobs that could still end in time. A decision takes
time in proportion to the claimants and the slots of the order of jobs, not to the open jobs.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from berylproxy.durable.decisions.capacity import CapacityMeter
from berylproxy.durable.decisions.placement import RUN_TIME_MARGIN, latest_useful_end_s, objective_s
from berylproxy.durable.decisions.returns import SHORTEST_RETRY_AFTER_S, ReturnPlaces
from berylproxy.durable.decisions.shares import RECENT_DEMAND_S, RoomShares
from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.job_table import Job, JobTable
from berylproxy.durable.learning.estimates import RunTimeModel

MAX_OPEN_JOBS = 5_000  # bounds a holder's memory, of which a job takes some 4 KB
# Factor by which the expected end is overestimated: jobs of the backlog that are abandoned or
# overtaken count in full.
WAIT_OVERESTIMATE = 4 / 3


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal under load, with what it is based on.

    :param reason: ``late``, ``share``, ``waited``, ``no_endpoint``, ``full`` or ``unconfirmed``.
    :param backlog_core_s: work that would be placed before the job.
    :param capacity_cores: work in core seconds that the endpoints do in a second.
    :param expected_end_s: time until the job's expected end.
    :param limit_s: the longest such time with which the job would be accepted.
    """

    reason: str
    retry_after_s: float = SHORTEST_RETRY_AFTER_S
    backlog_core_s: float = 0.0
    capacity_cores: float = 0.0
    expected_end_s: float = 0.0
    limit_s: float = 0.0


class Admission:
    """Decides on the jobs that are submitted to one holder.

    :ivar shares: who sends more than its share of the room.
    :ivar places: the callers that were told to return.
    :ivar meter: measures the capacity.
    """

    def __init__(self, job_table: JobTable, model: RunTimeModel) -> None:
        self.shares = RoomShares()
        self.places = ReturnPlaces()
        self.meter = CapacityMeter()
        self._job_table = job_table
        self._model = model

    def decide(self, job: Job, endpoints: Iterable[EndpointState], now_s: float) -> Refusal | None:
        """Returns ``None`` to accept a job, which is not in the job table yet.

        Marks the job if it exceeds its claimant's share, or its caller came back as told.
        """
        job.place_s = now_s - self.places.waited_s(job.spec.job_id, now_s)
        self.meter.measure(endpoints, self._model, now_s)
        if self.meter.raw_cores <= 0:
            return Refusal("no_endpoint")
        self._job_table.mean_endpoint_cores = self.meter.mean_endpoint_cores
        own_core_s = sum(
            step.count
            * step.needs.cpu_millicores
            / 1000
            * self._model.expected_run_time_s(job.spec.terms.queue, step.estimate_s)
            for step in job.spec.steps
        )
        # One long job is no demand beyond what the endpoints can do in that time.
        offered_core_s = min(self.meter.observed_cores * RECENT_DEMAND_S, own_core_s)
        is_excess = self.shares.note_offered(job, offered_core_s, self.meter.observed_cores, now_s)
        job.is_excess = is_excess and job.place_s == now_s
        if job.is_excess:
            # It takes what others leave, so only if it can be expected to end in time.
            capacity_cores = self.meter.observed_cores
            limit_s = RUN_TIME_MARGIN * objective_s(job)
        else:
            capacity_cores = self.meter.nominal_cores
            limit_s = WAIT_OVERESTIMATE * (latest_useful_end_s(job) - now_s)
        backlog_core_s = self._measure_backlog(self._job_table.order_s(job), now_s)
        parallel_s = own_core_s / capacity_cores
        end_s = backlog_core_s / capacity_cores + max(job.expected_s, parallel_s)
        if end_s <= limit_s:
            self.places.forget(job.spec.job_id)
            return None
        retry_after_s = self.places.promise(
            job.spec.job_id, job.claimant, end_s - objective_s(job), parallel_s, now_s
        )
        reason = "share" if job.is_excess else "late"
        return Refusal(reason, retry_after_s, backlog_core_s, capacity_cores, end_s, limit_s)

    def update_scarcity(self, now_s: float) -> bool:
        """Returns whether room is scarce, also when no jobs are submitted."""
        return self.shares.update_scarcity(self.meter.observed_cores, now_s)

    def note_placed(self, now_s: float) -> None:
        """Learns the capacity after each round of placement."""
        workload = self._job_table.workload
        has_waiting = any(True for _ in self._job_table.waiting_jobs())
        active = sum(sums.active_millicores for sums in workload.by_claimant.values())
        self.meter.note_placed(has_waiting, active, workload.done_core_s, now_s)

    def _measure_backlog(self, order_s: float, now_s: float) -> float:
        """Sums up the work that will be placed before a job.

        Jobs that can no longer meet their objective are placed after all that can.
        """
        workload = self._job_table.workload
        workload.advance(now_s)
        return sum(
            sums.active_core_s(now_s) + sums.pending_core_s_between(now_s, order_s)
            for sums in workload.by_claimant.values()
        )
