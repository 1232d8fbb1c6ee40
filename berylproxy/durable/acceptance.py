"""Whether a new job is taken, or refused at once with when to come back. Pure.

Answers bursts above the capacity: a job that would end after it has lost its worth takes room from
jobs that would not.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from berylproxy.durable.estimates import RunTimeModel
from berylproxy.durable.fleet import EndpointState
from berylproxy.durable.job_table import ACTIVE_STATUSES, Job, TaskStatus
from berylproxy.durable.placement import last_useful_s, objective_s

SHORTEST_RETRY_AFTER_S = 1.0  # Retry-After counts whole seconds
LONGEST_RETRY_AFTER_S = 10.0
TOO_LATE = "its answer would come too late"  # the one reason for a refusal under load
MAX_OPEN_JOBS = 5_000  # memory of a holder: some 4 KB each


@dataclass(frozen=True, slots=True)
class Backlog:
    """Work ahead of a new job.

    :param work_core_s: core seconds that are to be done before it.
    :param capacity_cores: cores of the endpoints that take work, weighted by their speed.
    """

    work_core_s: float
    capacity_cores: float

    @property
    def wait_s(self) -> float:
        """Time until the work ahead is done."""
        return self.work_core_s / self.capacity_cores if self.capacity_cores > 0 else float("inf")


WAIT_OVERESTIMATE = 4 / 3  # of the expected end: jobs ahead that give up or are passed count whole
PACKED_SHARE = 0.85  # tasks of 27 cores leave a sixth of endpoints of 64 and 96 cores unused


def measure_backlog(
    jobs: Iterable[Job],
    endpoints: Iterable[EndpointState],
    model: RunTimeModel,
    now_s: float,
    deadline_s: float,
) -> Backlog:
    """Sums up the work that will be placed before a job with some deadline.

    :param deadline_s: monotonic time; open jobs due later are passed by.
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
            left_s = model.expected_run_time_s(job.spec.terms.queue, task.step.estimate_s)
            if is_active:
                left_s = max(left_s - (now_s - task.started_s), left_s / 10)
            work_core_s += left_s * task.step.needs.cpu_millicores / 1000
    capacity_cores = sum(
        endpoint.info.capacity.cpu_millicores
        / 1000
        * PACKED_SHARE
        * model.speed(endpoint.info.instance.endpoint_id)
        for endpoint in endpoints
        if endpoint.is_serving(now_s)
    )
    return Backlog(work_core_s, capacity_cores)


def judge(
    job: Job,
    jobs: Iterable[Job],
    endpoints: Iterable[EndpointState],
    model: RunTimeModel,
    now_s: float,
) -> float | None:
    """Returns ``None`` to take a job, or after how many seconds its caller may come back."""
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
    spread_s = own_core_s / backlog.capacity_cores
    end_s = backlog.wait_s + max(job.expected_s, spread_s)
    if end_s <= WAIT_OVERESTIMATE * (last_useful_s(job) - now_s):
        return None
    excess_s = end_s - objective_s(job)
    return float(ceil(min(max(excess_s, SHORTEST_RETRY_AFTER_S), LONGEST_RETRY_AFTER_S)))
