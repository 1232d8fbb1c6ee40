"""Decides which runs are stopped, so that their tasks start elsewhere, without a clock or sockets.

Made for endpoints that stand still, or turn several times slower while they run tasks. A run at a
slowed endpoint is moved only if a whole run elsewhere ends before it would, so the work that is
lost is counted. Takes time proportional to the runs at endpoints that are slowed, and for each run
that is worth moving to the number of endpoints.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from berylproxy.durable.decisions.placement import (
    find_free_endpoint,
    latest_useful_end_s,
    objective_s,
)
from berylproxy.durable.endpoints.fleet import EndpointRun, EndpointState
from berylproxy.durable.jobs.job_table import Job, JobTable, Task, TaskStatus
from berylproxy.durable.learning.estimates import RunTimeModel

# Share of the expected run time; endpoints report progress in hundredths of the real run time.
STALL_LIMIT_PERCENT = 5
MIN_STALL_LIMIT_S = 0.6
# The stop, the report of the end and the new start.
STOP_ROUND_TRIP_S = 0.1
MAX_MOVES = 2  # of a task from slowed endpoints


class MoveReason(StrEnum):
    """Why a run is stopped."""

    STALLED = "stalled"
    SLOWED = "slowed"


@dataclass(frozen=True, slots=True)
class Move:
    """A run to be stopped.

    :param remaining_s: expected remaining time where it runs; 0 if it has stalled.
    :param elsewhere_s: expected time of a whole run elsewhere with the stop; 0 if it has stalled.
    :param target: endpoint that has room for it now; ``None`` if it has stalled.
    """

    task: Task
    endpoint: EndpointState
    reason: MoveReason
    remaining_s: float = 0.0
    elsewhere_s: float = 0.0
    target: EndpointState | None = None


def is_stalled(task: Task, expected_s: float, now_s: float) -> bool:
    """Returns whether a run has made no progress for too long.

    :param expected_s: expected run time of the task at speed 1.
    """
    limit_s = max(MIN_STALL_LIMIT_S, STALL_LIMIT_PERCENT * expected_s / 100)
    return now_s - task.progressed_s > limit_s


def plan_moves(
    endpoints: Iterable[EndpointState], job_table: JobTable, model: RunTimeModel, now_s: float
) -> list[Move]:
    """Returns the runs that should be stopped now."""
    endpoints = list(endpoints)
    model.advance(now_s)
    has_waiting = next(iter(job_table.waiting_jobs()), None) is not None
    moves: list[Move] = []
    targets: list[EndpointState] = []
    for endpoint in endpoints:
        if endpoint.missed_calls:
            continue
        is_slowed = not has_waiting and model.is_slowed(endpoint.info.instance.endpoint_id)
        for (name, run), endpoint_run in endpoint.runs.items():
            task = job_table.find_task(name)
            if task is None or task.run != run or task.status is not TaskStatus.RUNNING:
                continue
            if task.instance != endpoint.info.instance:
                continue
            job = job_table.jobs[name.job_id]
            expected_s = model.expected_run_time_s(job.spec.terms.queue, task.step.estimate_s)
            if is_stalled(task, expected_s, now_s):
                moves.append(Move(task, endpoint, MoveReason.STALLED))
            elif is_slowed and endpoint_run.pace is not None:
                others = [other for other in endpoints if other not in targets]
                move = _plan_move(job, task, endpoint, endpoint_run, others, model, now_s)
                if move is not None and move.target is not None:
                    moves.append(move)
                    targets.append(move.target)
    return moves


def _plan_move(
    job: Job,
    task: Task,
    endpoint: EndpointState,
    endpoint_run: EndpointRun,
    endpoints: list[EndpointState],
    model: RunTimeModel,
    now_s: float,
) -> Move | None:
    """Returns the move of a run at a slowed endpoint if its job gains by it."""
    pace = endpoint_run.pace
    if pace is None or not pace.duration_s or task.moves >= MAX_MOVES:
        return None
    if now_s - endpoint_run.move_ordered_s < MIN_STALL_LIMIT_S:
        return None
    remaining_s = pace.remaining_s(now_s)
    if now_s + remaining_s <= job.accepted_s + objective_s(job):
        return None
    target = find_free_endpoint(job, task, endpoints, model, now_s)
    if target is None:
        return None
    endpoint_id = endpoint.info.instance.endpoint_id
    target_speed = model.speed(target.info.instance.endpoint_id)
    # The run may be that of a long task as well.
    own_s = pace.duration_s / model.slowdown(endpoint_id) * model.usual_speed(endpoint_id)
    expected_s = model.expected_run_time_s(job.spec.terms.queue, task.step.estimate_s)
    elsewhere_s = max(own_s, expected_s) / target_speed + STOP_ROUND_TRIP_S
    if remaining_s <= elsewhere_s or now_s + elsewhere_s > latest_useful_end_s(job):
        return None
    return Move(task, endpoint, MoveReason.SLOWED, remaining_s, elsewhere_s, target)
