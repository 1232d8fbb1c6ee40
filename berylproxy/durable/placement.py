"""Which waiting task starts next, and where. Pure: no clock, no sockets.

Answers a load of parallel jobs of tasks that each take a large part of an endpoint, near or above
the capacity: jobs that can still meet their objective go first, the tighter ones before the others.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from berylproxy.durable.book import ACTIVE_STATUSES, Job, JobBook, Task
from berylproxy.durable.estimates import RunTimeModel
from berylproxy.durable.fleet import EndpointState

LATE_FACTOR = 3.0  # up to that many objectives an answer is late; after that it is worth nothing
RACK_MISS_FACTOR = 2.0  # run time away from the data, unless the settings say otherwise
FIT_WEIGHT_S = 0.02  # a fifth of a short task's time for a placement that leaves no splinter


@dataclass(frozen=True, slots=True)
class Placement:
    """A task and the endpoint that is to run it."""

    task: Task
    endpoint: EndpointState


def objective_s(job: Job) -> float:
    """Returns the time in which a job should be completed."""
    terms = job.spec.terms
    return terms.objective_factor * job.expected_s + terms.objective_s


def last_useful_s(job: Job) -> float:
    """Returns the time after which a job's answer is of no use."""
    return min(job.accepted_s + LATE_FACTOR * objective_s(job), job.deadline_s)


def rank_job(job: Job, now_s: float) -> tuple[int, float, float]:
    """Orders jobs: on time before late before hopeless, then by the time left to start."""
    age_s = now_s - job.accepted_s
    limit_s = objective_s(job)
    slack_s = limit_s - age_s - job.expected_s
    if slack_s >= 0:
        return 0, slack_s, job.accepted_s
    late_slack_s = last_useful_s(job) - now_s - job.expected_s
    if late_slack_s >= 0:
        return 1, late_slack_s, job.accepted_s
    return 2, job.accepted_s, job.accepted_s


def place_waiting(
    book: JobBook,
    endpoints: Iterable[EndpointState],
    model: RunTimeModel,
    now_s: float,
    order: Callable[[Task, EndpointState], None],
) -> None:
    """Gives the waiting tasks to endpoints with room.

    :param order: called for each placement; it must count the room as taken.
    """
    usable = [endpoint for endpoint in endpoints if endpoint.may_start(now_s)]
    if not usable:
        return
    jobs = sorted(book.waiting_jobs(), key=lambda job: rank_job(job, now_s))
    widest = max(endpoint.room.cpu_millicores for endpoint in usable)
    for job in jobs:
        if widest <= 0:
            return
        for task in list(job.waiting):
            if task.step.needs.cpu_millicores > widest:
                continue
            endpoint = choose_endpoint(job, task, usable, model)
            if endpoint is not None:
                order(task, endpoint)
                widest = max(endpoint.room.cpu_millicores for endpoint in usable)


def choose_endpoint(
    job: Job, task: Task, usable: Iterable[EndpointState], model: RunTimeModel
) -> EndpointState | None:
    """Chooses the endpoint where the task is expected to end soonest.

    Of about equal ones, the one that it fills best is taken.
    """
    step = task.step
    expected_s = model.expect_s(job.spec.terms.queue, step.estimate_s)
    on_endpoints = _count_step(job, task.name.step) if step.max_per_endpoint else None
    best, best_cost_s = None, float("inf")
    for endpoint in usable:
        room = endpoint.room
        if not step.needs.fits(room):
            continue
        facts = endpoint.facts
        if step.required_label and step.required_label not in facts.labels:
            continue
        if on_endpoints is not None and on_endpoints[facts.life] >= step.max_per_endpoint:
            continue
        cost_s = expected_s / model.speed(facts.life.endpoint_id)
        if step.preferred_rack and step.preferred_rack != facts.rack:
            cost_s *= RACK_MISS_FACTOR
        if facts.life.endpoint_id in task.failed_at:
            cost_s += expected_s * 10  # only if there is no other
        left = room.cpu_millicores - step.needs.cpu_millicores
        cost_s += FIT_WEIGHT_S * left / max(facts.capacity.cpu_millicores, 1)
        if cost_s < best_cost_s:
            best, best_cost_s = endpoint, cost_s
    return best


def _count_step(job: Job, step: int) -> Counter:
    return Counter(
        task.life
        for (number, _), task in job.tasks.items()
        if number == step and task.status in ACTIVE_STATUSES
    )
