"""Decides whether to accept a new job, or to refuse it with a time to retry after.

Uses no clock and no sockets. Made for bursts above the capacity: a job whose answer would come too
late to be worth anything takes resources from jobs that could still end in time.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from berylproxy.durable.estimates import RunTimeModel
from berylproxy.durable.fleet import EndpointState
from berylproxy.durable.job_table import ACTIVE_STATUSES, Job, TaskStatus
from berylproxy.durable.placement import latest_useful_end_s, objective_s

SHORTEST_RETRY_AFTER_S = 1.0  # Retry-After counts whole seconds
LONGEST_RETRY_AFTER_S = 10.0
TOO_LATE = "its answer would come too late"  # the only reason for a refusal under load
MAX_OPEN_JOBS = 5_000  # bounds a holder's memory, of which a job takes some 4 KB


@dataclass(frozen=True, slots=True)
class Backlog:
    """The work that will be placed before a new job.

    :param work_core_s: that work in core seconds.
    :param capacity_cores: usable cores of the available endpoints, weighted by their speed.
    """

    work_core_s: float
    capacity_cores: float

    @property
    def wait_s(self) -> float:
        """Time until the backlog is processed; infinite without capacity."""
        return self.work_core_s / self.capacity_cores if self.capacity_cores > 0 else float("inf")


# Factor by which the expected end is overestimated: jobs of the backlog that are abandoned or
# overtaken count in full.
WAIT_OVERESTIMATE = 4 / 3
USABLE_CORES_SHARE = 0.85  # tasks of 27 cores leave a sixth of endpoints of 64 and 96 cores unused


def measure_backlog(
    jobs: Iterable[Job],
    endpoints: Iterable[EndpointState],
    model: RunTimeModel,
    now_s: float,
    deadline_s: float,
) -> Backlog:
    """Sums up the work that will be placed before a job with a given deadline.

    :param deadline_s: monotonic time; of open jobs that are due later, only the tasks that have
        been started count.
    """
    work_core_s = 0.0
    for job in jobs:
        if job.is_final:
            continue
        is_ahead = job.accepted_s + objective_s(job) <= deadline_s
        for task in job.tasks.values():
            if task.status is TaskStatus.DONE:
                continue
            is_active = task.status in ACTIVE_STATUSES
            if not is_active and not is_ahead:
                continue
            remaining_s = model.expected_run_time_s(job.spec.terms.queue, task.step.estimate_s)
            if is_active:
                remaining_s = max(remaining_s - (now_s - task.started_s), remaining_s / 10)
            work_core_s += remaining_s * task.step.needs.cpu_millicores / 1000
    capacity_cores = sum(
        endpoint.info.capacity.cpu_millicores
        / 1000
        * USABLE_CORES_SHARE
        * model.speed(endpoint.info.instance.endpoint_id)
        for endpoint in endpoints
        if endpoint.is_serving(now_s)
    )
    return Backlog(work_core_s, capacity_cores)


def decide_admission(
    job: Job,
    jobs: Iterable[Job],
    endpoints: Iterable[EndpointState],
    model: RunTimeModel,
    now_s: float,
) -> float | None:
    """Returns ``None`` to accept a job, or the number of seconds after which to retry it."""
    deadline_s = now_s + objective_s(job)
    backlog = measure_backlog(jobs, endpoints, model, now_s, deadline_s)
    if backlog.capacity_cores <= 0:
        return SHORTEST_RETRY_AFTER_S
    own_core_s = sum(
        model.expected_run_time_s(job.spec.terms.queue, task.step.estimate_s)
        * task.step.needs.cpu_millicores
        / 1000
        for task in job.tasks.values()
    )
    parallel_s = own_core_s / backlog.capacity_cores
    end_s = backlog.wait_s + max(job.expected_s, parallel_s)
    if end_s <= WAIT_OVERESTIMATE * (latest_useful_end_s(job) - now_s):
        return None
    excess_s = end_s - objective_s(job)
    return float(ceil(min(max(excess_s, SHORTEST_RETRY_AFTER_S), LONGEST_RETRY_AFTER_S)))
