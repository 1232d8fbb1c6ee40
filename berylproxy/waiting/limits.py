"""Limits for new jobs: task size, team quota, queue length and time until the deadline."""

from collections.abc import Iterable
from dataclasses import dataclass

from berylproxy.errors import BerylproxyError
from berylproxy.models import Task
from berylproxy.records.models import Endpoint, Service

MAX_WAITING_TASKS = 20_000
SHORTEST_RETRY_AFTER_S = 1.0
LONGEST_RETRY_AFTER_S = 60.0
# The margin is limited to this share of the timeout; otherwise, any short wait would cause jobs
# with long tasks to be refused.
LARGEST_MARGIN_SHARE = 0.5
MIN_RUN_TIMES_LEFT = 3.0  # mean run times that must be left until the deadline at a task's start


class AdmissionError(BerylproxyError):
    """Base class of the refusals of new jobs; no task of a refused job has run."""

    code = "admission_error"


class ServiceUnknownError(AdmissionError):
    """The configuration at the job's home has no such service."""

    code = "service_unknown"


class TaskTooLargeError(AdmissionError):
    """A task's body is larger than its service allows."""

    code = "task_too_large"


class TaskNeverFitsError(AdmissionError):
    """A task needs more resources than any endpoint of its service has."""

    code = "task_never_fits"


class HomeLeavingError(AdmissionError):
    """The daemon is stopping and accepts no new jobs."""

    code = "home_leaving"


class TeamQueueFullError(AdmissionError):
    """The job would exceed the team's quota of waiting tasks."""

    code = "team_queue_full"


class QueueFullError(AdmissionError):
    """The daemon's queue has no room for the job's tasks."""

    code = "queue_full"


class DeadlineTooSoonError(AdmissionError):
    """The job's tasks would start too late to end before its deadline."""

    code = "deadline_too_soon"


class NoEndpointError(AdmissionError):
    """No endpoint that serves the request can be reached now."""

    code = "no_endpoint"


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a daemon at the admission of a job.

    :param team_waiting: the team's waiting tasks at this daemon.
    :param team_quota: maximum number of the team's waiting tasks.
    :param all_waiting: waiting tasks of all teams at this daemon.
    :param wait_s: expected time until the last task of the job starts.
    :param run_time_s: expected run time of a task.
    """

    team_waiting: int
    team_quota: int
    all_waiting: int
    wait_s: float
    run_time_s: float = 0.0


def check_tasks(service: Service, endpoints: Iterable[Endpoint], tasks: Iterable[Task]) -> None:
    """Refuses tasks that no endpoint of the service can ever run.

    :raises TaskTooLargeError: if a body is too large.
    :raises TaskNeverFitsError: if a task needs more resources than any endpoint has.
    """
    service_endpoints = [endpoint for endpoint in endpoints if endpoint.pool in service.pools]
    for task in tasks:
        if len(task.body) > service.max_body_bytes:
            raise TaskTooLargeError(
                f"task {task.task_id}: {len(task.body)} bytes, "
                f"{service.name} accepts at most {service.max_body_bytes}"
            )
        if task.needs and not any(_fits(task, endpoint) for endpoint in service_endpoints):
            raise TaskNeverFitsError(
                f"task {task.task_id}: no endpoint of {service.name} has {task.needs}"
            )


def check_load(load: Load, new_tasks: int, timeout_s: float) -> None:
    """Refuses a job that cannot be served in time; each error says when to retry.

    :raises TeamQueueFullError: if the job would exceed the team's quota.
    :raises QueueFullError: if the job would exceed the length of the daemon's queue.
    :raises DeadlineTooSoonError: if the expected wait and the margin for the run times exceed the
        job's timeout.
    """
    retry_after_s = min(max(load.wait_s, SHORTEST_RETRY_AFTER_S), LONGEST_RETRY_AFTER_S)
    if load.team_waiting + new_tasks > load.team_quota:
        raise TeamQueueFullError(
            f"the team has {load.team_waiting} tasks waiting, its quota is {load.team_quota}",
            hint="retry later or with a smaller job",
            retry_after_s=retry_after_s,
        )
    if load.all_waiting + new_tasks > MAX_WAITING_TASKS:
        raise QueueFullError(
            "too many tasks are waiting at this daemon", retry_after_s=retry_after_s
        )
    margin_s = min(MIN_RUN_TIMES_LEFT * load.run_time_s, LARGEST_MARGIN_SHARE * timeout_s)
    late_by_s = load.wait_s + margin_s - timeout_s
    if load.wait_s > 0 and late_by_s > 0:
        raise DeadlineTooSoonError(
            f"the job would wait {load.wait_s:.1f} s, its timeout is {timeout_s:.1f} s",
            hint="retry later or with a longer timeout",
            retry_after_s=min(late_by_s + SHORTEST_RETRY_AFTER_S, LONGEST_RETRY_AFTER_S),
        )


def _fits(task: Task, endpoint: Endpoint) -> bool:
    return all(need <= endpoint.resources.get(name, 0) for name, need in task.needs.items())
