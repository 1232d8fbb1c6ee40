"""Whether a new job may wait: quotas of its team, room in the queue, time until its deadline."""

from collections.abc import Iterable
from dataclasses import dataclass

from berylproxy.errors import BerylproxyError
from berylproxy.models import Task
from berylproxy.records.models import Endpoint, Service

MAX_WAITING_TASKS = 20_000
SHORTEST_RETRY_AFTER_S = 1.0
LONGEST_RETRY_AFTER_S = 60.0
LARGEST_MARGIN_SHARE = 0.5  # of the timeout; else a short wait would refuse jobs of long tasks
RUN_TIMES_LEFT = 3.0  # a task that waits must have that many mean run times left when it starts


class AdmissionError(BerylproxyError):
    """Base of the refusals of new work; nothing has run."""

    code = "admission_error"


class ServiceUnknownError(AdmissionError):
    """No record of the service is in force at the job's home."""

    code = "service_unknown"


class TaskTooLargeError(AdmissionError):
    """A task's body is larger than its service takes."""

    code = "task_too_large"


class TaskNeverFitsError(AdmissionError):
    """A task needs more than any endpoint of its service may take."""

    code = "task_never_fits"


class HomeLeavingError(AdmissionError):
    """The daemon is stopping and takes no new work."""

    code = "home_leaving"


class TeamQueueFullError(AdmissionError):
    """The team has as many waiting tasks as its quota allows."""

    code = "team_queue_full"


class QueueFullError(AdmissionError):
    """The daemon holds as many waiting tasks as it may."""

    code = "queue_full"


class DeadlineTooSoonError(AdmissionError):
    """The job would not start before its deadline."""

    code = "deadline_too_soon"


class NoEndpointError(AdmissionError):
    """No endpoint that serves the request can be reached now."""

    code = "no_endpoint"


@dataclass(frozen=True, slots=True)
class Load:
    """What waits now.

    :param team_waiting: waiting tasks of the team at this daemon.
    :param team_quota: how many the team may have waiting.
    :param all_waiting: waiting tasks of everybody at this daemon.
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
    :raises TaskNeverFitsError: if a task needs more than any endpoint gives.
    """
    served = [endpoint for endpoint in endpoints if endpoint.pool in service.pools]
    for task in tasks:
        if len(task.body) > service.max_body_bytes:
            raise TaskTooLargeError(
                f"task {task.task_id}: {len(task.body)} bytes, "
                f"{service.name} takes {service.max_body_bytes}"
            )
        if task.needs and not any(_fits(task, endpoint) for endpoint in served):
            raise TaskNeverFitsError(
                f"task {task.task_id}: no endpoint of {service.name} gives {task.needs}"
            )


def check_load(load: Load, new_tasks: int, timeout_s: float) -> None:
    """Refuses a job that can't be served in time, with when to come back.

    :raises TeamQueueFullError: if the team's quota is used up.
    :raises QueueFullError: if the daemon's queue is full.
    :raises DeadlineTooSoonError: if the expected wait is longer than the job's timeout.
    """
    retry_after_s = min(max(load.wait_s, SHORTEST_RETRY_AFTER_S), LONGEST_RETRY_AFTER_S)
    if load.team_waiting + new_tasks > load.team_quota:
        raise TeamQueueFullError(
            f"the team has {load.team_waiting} tasks waiting, its quota is {load.team_quota}",
            hint="come back later or with a smaller job",
            retry_after_s=retry_after_s,
        )
    if load.all_waiting + new_tasks > MAX_WAITING_TASKS:
        raise QueueFullError("too many tasks are waiting here", retry_after_s=retry_after_s)
    margin_s = min(RUN_TIMES_LEFT * load.run_time_s, LARGEST_MARGIN_SHARE * timeout_s)
    late_by_s = load.wait_s + margin_s - timeout_s
    if load.wait_s > 0 and late_by_s > 0:
        raise DeadlineTooSoonError(
            f"the job would wait {load.wait_s:.1f} s, its timeout is {timeout_s:.1f} s",
            hint="come back later or allow more time",
            retry_after_s=min(late_by_s + SHORTEST_RETRY_AFTER_S, LONGEST_RETRY_AFTER_S),
        )


def _fits(task: Task, endpoint: Endpoint) -> bool:
    return all(need <= endpoint.resources.get(name, 0) for name, need in task.needs.items())
