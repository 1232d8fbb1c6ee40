"""Which waiting task starts next, and where. Pure: no clock, no sockets.

Answers a load of parallel jobs of tasks that each take a large part of an endpoint, near or above
the capacity: jobs that can still meet their objective go first, the tighter and smaller ones before
the others, and slow endpoints get only what they can end in time.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf

from berylproxy.durable.estimates import RunTimeModel
from berylproxy.durable.fleet import EndpointState
from berylproxy.durable.job_table import ACTIVE_STATUSES, Job, JobTable, Task
from berylproxy.durable.models import StepSpec

LATE_FACTOR = 3.0  # up to that many objectives an answer is late; after that it is worth nothing
DEFAULT_REMOTE_FACTOR = 2.0  # the larger one of the installations known
FIT_WEIGHT_S = 0.02  # a third of a short task's time for a placement that leaves no splinter
FAILED_HERE_FACTOR = 10.0  # run times that a task counts at an endpoint where it failed before
WORK_WEIGHT = 0.3  # seconds of slack for a second of a mean endpoint: small jobs let more in
RUN_TIME_MARGIN = 1.2  # on expected run times, whose estimates scatter by a factor like that
MAX_PASSED_JOBS = 24  # jobs without a place, after which a round ends: more would delay the orders


def objective_s(job: Job) -> float:
    """Returns the time in which a job should be completed."""
    terms = job.spec.terms
    return terms.objective_factor * job.expected_s + terms.objective_s


def last_useful_s(job: Job) -> float:
    """Returns the time after which a job's answer is of no use."""
    return min(job.accepted_s + LATE_FACTOR * objective_s(job), job.deadline_s)


def is_hopeless(job: Job, now_s: float) -> bool:
    """Tells whether a job that waits for room can't be of use to its caller any more.

    A job whose tasks all run is let go on: it takes no room from others that it does not have.
    """
    lacks_room = bool(job.waiting) or not job.started
    return lacks_room and now_s + job.expected_s > last_useful_s(job)


def rank_job(job: Job, now_s: float, endpoint_cores: float) -> tuple[int, float, float]:
    """Orders jobs: on time before late before hopeless; by slack and size, late ones by size.

    :param endpoint_cores: cores of a mean endpoint.
    """
    age_s = now_s - job.accepted_s
    slack_s = objective_s(job) - age_s - job.expected_s
    if slack_s >= 0:
        return 0, slack_s + WORK_WEIGHT * _waiting_work_s(job, endpoint_cores), job.accepted_s
    if last_useful_s(job) - now_s >= job.expected_s:
        return 1, _waiting_work_s(job, endpoint_cores), job.accepted_s
    return 2, job.accepted_s, job.accepted_s


@dataclass(frozen=True, slots=True)
class NearRack:
    """Where a task runs fastest.

    :param rack: empty if all racks are the same to it.
    :param remote_factor: its run time elsewhere, against that near.
    """

    rack: str
    remote_factor: float


def place_waiting(
    job_table: JobTable,
    endpoints: Iterable[EndpointState],
    model: RunTimeModel,
    now_s: float,
    order: Callable[[Task, EndpointState], None],
    remote_factor: float = DEFAULT_REMOTE_FACTOR,
) -> None:
    """Gives the waiting tasks to endpoints with room.

    :param order: called for each placement; it must count the room as taken.
    :param remote_factor: run time of a task away from its data or its step's rack, against near.
    """
    waiting = list(job_table.waiting_jobs())
    usable = [endpoint for endpoint in endpoints if endpoint.may_start(now_s)] if waiting else []
    if not usable:
        return
    cores = sum(endpoint.info.capacity.cpu_millicores for endpoint in usable) / len(usable) / 1000
    jobs = sorted(waiting, key=lambda job: rank_job(job, now_s, cores))
    widest = max(endpoint.free_millicores for endpoint in usable)
    passed = 0
    for job in jobs:
        if widest <= 0 or passed >= MAX_PASSED_JOBS:
            return
        for task in list(job.waiting):
            if not any(_could_take(endpoint, task.step) for endpoint in usable):
                break  # it takes no part in the round, whose passed jobs wait for room
            if task.step.needs.cpu_millicores > widest:
                passed += 1
                break
            near = NearRack(choose_rack(job, task, usable, model), remote_factor)
            endpoint = choose_endpoint(job, task, usable, model, now_s, near)
            if endpoint is None:
                passed += 1
                break
            was_widest = endpoint.free_millicores == widest
            order(task, endpoint)
            if was_widest:
                widest = max(endpoint.free_millicores for endpoint in usable)


def choose_rack(job: Job, task: Task, usable: Iterable[EndpointState], model: RunTimeModel) -> str:
    """Chooses the rack where a task should run; empty if all are the same to it.

    Tasks that belong together go where the others are, the first one to where most of them fit, of
    such racks to the one with the faster endpoints.
    """
    step = task.step
    if step.preferred_rack or not step.stays_in_rack:
        return step.preferred_rack
    present = _count_step(job, task.name.step)
    tasks, speeds, running = Counter[str](), Counter[str](), Counter[str]()
    for endpoint in usable:
        rack = endpoint.info.rack
        running[rack] += present[endpoint.info.instance]
        fitting = _count_fitting(endpoint, step)
        tasks[rack] += fitting
        speeds[rack] += fitting * model.speed(endpoint.info.instance.endpoint_id)
    if running.total():
        return max(running, key=running.__getitem__)
    return max(tasks, key=lambda rack: (min(tasks[rack], step.count), speeds[rack]))


def choose_endpoint(
    job: Job,
    task: Task,
    usable: Iterable[EndpointState],
    model: RunTimeModel,
    now_s: float,
    near: NearRack,
) -> EndpointState | None:
    """Chooses the endpoint where the task is expected to end soonest; ``None`` to wait.

    Of about equal ones, the one that it fills best is taken. A task of a job that can still be on
    time waits for a faster endpoint if it would be late at all that have room.
    """
    step = task.step
    expected_s = model.expected_run_time_s(job.spec.terms.queue, step.estimate_s)
    on_endpoints = _count_step(job, task.name.step) if step.max_per_endpoint else None
    best, best_cost_s, best_run_time_s, fastest_s = None, inf, inf, inf
    for endpoint in usable:
        info = endpoint.info
        if not _has_label(endpoint, step):
            continue
        if on_endpoints is not None and on_endpoints[info.instance] >= step.max_per_endpoint:
            continue
        run_time_s = expected_s / model.speed(info.instance.endpoint_id)
        if near.rack and near.rack != info.rack:
            run_time_s *= near.remote_factor
        if info.instance.endpoint_id in task.failed_endpoint_ids:
            run_time_s += FAILED_HERE_FACTOR * expected_s
        fastest_s = min(fastest_s, run_time_s)
        left = endpoint.free_millicores - step.needs.cpu_millicores
        if left < 0 or not step.needs.fits(endpoint.room):
            continue
        cost_s = run_time_s + FIT_WEIGHT_S * left / max(info.capacity.cpu_millicores, 1)
        if cost_s < best_cost_s:
            best, best_cost_s, best_run_time_s = endpoint, cost_s, run_time_s
    left_s = job.accepted_s + objective_s(job) - now_s
    would_be_late = RUN_TIME_MARGIN * best_run_time_s > left_s
    if would_be_late and RUN_TIME_MARGIN * fastest_s <= left_s:
        return None
    return best


def _waiting_work_s(job: Job, endpoint_cores: float) -> float:
    """Time that one mean endpoint would take for a job's waiting tasks."""
    cores = sum(task.step.needs.cpu_millicores for task in job.waiting) / 1000
    return job.expected_s * cores / endpoint_cores


def _count_step(job: Job, step: int) -> Counter:
    return Counter(
        task.instance
        for (number, _), task in job.tasks.items()
        if number == step and task.status in ACTIVE_STATUSES
    )


def _could_take(endpoint: EndpointState, step: StepSpec) -> bool:
    """Tells whether an endpoint could take a task of a step if it had nothing else to do."""
    return _has_label(endpoint, step) and step.needs.fits(endpoint.info.capacity)


def _has_label(endpoint: EndpointState, step: StepSpec) -> bool:
    return not step.required_label or step.required_label in endpoint.info.labels


def _count_fitting(endpoint: EndpointState, step: StepSpec) -> int:
    """Counts the tasks of a step that an endpoint has room for."""
    if not _could_take(endpoint, step):
        return 0
    room, needs = endpoint.room, step.needs
    counts = [
        (room.cpu_millicores, needs.cpu_millicores),
        (room.memory_mb, needs.memory_mb),
        (room.accelerators, needs.accelerators),
    ]
    fitting = min((left // each for left, each in counts if each), default=step.count)
    return min(fitting, step.max_per_endpoint or fitting)
