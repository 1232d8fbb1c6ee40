"""Decides which waiting task starts next, and on which endpoint, without a clock or sockets.

Made for loads near or above the capacity, of parallel jobs whose tasks each take a large part of an
endpoint: jobs that can still meet their objective go first, the tighter and smaller ones before
the others, and slow endpoints get only tasks that they can end in time.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf
from typing import Protocol

from berylproxy.durable.decisions.step_room import StepRoom, count_active_tasks, has_label
from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.crashes import NoSuspicion, Suspicion, Treatment
from berylproxy.durable.jobs.job_table import ACTIVE_STATUSES, WORK_WEIGHT, Job, JobTable, Task
from berylproxy.durable.jobs.models import (
    DEFAULT_REMOTE_FACTOR,
    EndpointInfo,
    StepSpec,
    kind_of_task,
)
from berylproxy.durable.learning.estimates import RunTimeModel

# An answer is late up to this multiple of the job's objective, and worthless after it.
LATE_FACTOR = 3.0
# Cost of the processor share that stays unused beside the task; for a whole endpoint a third of a
# short task's run time. It favours placements that leave no remainder too small for another task.
FIT_WEIGHT_S = 0.02
# Time that a task takes longer on an endpoint that has just started, as a share of its run time.
COLD_SHARE = 1.0
# A task's expected run time is added this many times on an endpoint where the task failed before.
FAILED_HERE_FACTOR = 10.0
# The same, in addition, at an endpoint that has rejected an order of the task.
REJECTED_HERE_FACTOR = 10.0
# Cost of a failure in expected run times: the next run, or the job at the last attempt.
RETRY_FACTOR = 1.0
LAST_ATTEMPT_FACTOR = 10.0
# An endpoint that fails its runs with a higher probability gets no last attempt.
LAST_ATTEMPT_RISK = 0.5
NEGLIGIBLE_RISK = 0.1  # a lower one would only spread tasks that fit well together
RUN_TIME_MARGIN = 1.2  # expected run times deviate by about this factor
# A round ends after this many jobs that wait for processors or faster endpoints; more would delay
# the start orders.
MAX_SKIPPED_JOBS = 24


def objective_s(job: Job) -> float:
    """Returns the time within which a job should be completed, from its acceptance."""
    return job.objective_s


def latest_useful_end_s(job: Job) -> float:
    """Returns the monotonic time after which a job's answer is worthless to its caller."""
    return min(job.accepted_s + LATE_FACTOR * objective_s(job), job.deadline_s)


def is_too_late(job: Job, now_s: float) -> bool:
    """Returns whether a job that waits for resources can no longer end in time for its caller.

    A job whose tasks all run may go on, since it needs no resources besides those that it has.
    """
    lacks_resources = bool(job.waiting) or not job.started
    return lacks_resources and now_s + job.expected_s > latest_useful_end_s(job)


def rank_job(job: Job, now_s: float, endpoint_cores: float) -> tuple[int, float, float]:
    """Returns a sort key for waiting jobs; the smallest goes first.

    Jobs that can meet their objective go first, by slack and size; then jobs that will be late, by
    size; then jobs that can't end in time, by age. Callers who came back as told count as if they
    had waited here.

    :param endpoint_cores: cores of a mean endpoint.
    """
    age_s = now_s - job.accepted_s
    slack_s = objective_s(job) - age_s - job.expected_s
    if slack_s >= 0:
        slack_s -= job.accepted_s - job.place_s
        return 0, slack_s + WORK_WEIGHT * _waiting_work_s(job, endpoint_cores), job.accepted_s
    if latest_useful_end_s(job) - now_s >= job.expected_s:
        return 1, _waiting_work_s(job, endpoint_cores), job.accepted_s
    return 2, job.accepted_s, job.accepted_s


class JobOrder(Protocol):
    """Decides which waiting jobs are placed first."""

    def arrange(self, jobs: list[Job], now_s: float, endpoint_cores: float) -> list[Job]:
        """Returns the jobs in the order in which their tasks are placed.

        :param endpoint_cores: cores of a mean endpoint.
        """


class ObjectiveOrder:
    """Places the jobs that can meet their objective first; see :func:`rank_job`."""

    def arrange(self, jobs: list[Job], now_s: float, endpoint_cores: float) -> list[Job]:
        """Returns the jobs sorted by :func:`rank_job`."""
        return sorted(jobs, key=lambda job: rank_job(job, now_s, endpoint_cores))


class NeighbourEffect(Protocol):
    """Tells how tasks on one endpoint slow each other down."""

    def slowdown(self, kind: str, endpoint: EndpointState) -> float:
        """Returns the factor on the run time of a task beside the runs of an endpoint.

        What the task does to its neighbours is included: it should wait rather than make them late.

        :param kind: from :func:`~berylproxy.durable.jobs.models.kind_of_task`.
        :return: 1 if there is no effect.
        """


class NoNeighbourEffect:
    """Assumes that tasks on one endpoint don't slow each other down."""

    def slowdown(self, kind: str, endpoint: EndpointState) -> float:
        """Returns 1."""
        return 1.0


OBJECTIVE_ORDER = ObjectiveOrder()
NO_NEIGHBOUR_EFFECT = NoNeighbourEffect()
NO_SUSPICION = NoSuspicion()


@dataclass(frozen=True, slots=True)
class PlacementPolicies:
    """The exchangeable parts of placement.

    :param order: decides which jobs go first.
    :param neighbours: tells how tasks on one endpoint slow each other down.
    :param suspicion: tells which tasks may crash the endpoint that starts them.
    """

    order: JobOrder = OBJECTIVE_ORDER
    neighbours: NeighbourEffect = NO_NEIGHBOUR_EFFECT
    suspicion: Suspicion = NO_SUSPICION


DEFAULT_POLICIES = PlacementPolicies()


@dataclass(frozen=True, slots=True)
class NearRack:
    """The rack where a task runs fastest.

    :param rack: empty if the task runs equally fast in all racks.
    :param remote_factor: ratio of the task's run time in other racks to that in this rack.
    """

    rack: str
    remote_factor: float


class RunTimes(Protocol):
    """Tells what run times to reckon with."""

    def expected_run_time_s(self, queue: str, estimate_s: float) -> float:
        """Returns a task's expected run time at speed 1."""

    def speed(self, endpoint_id: str) -> float:
        """Returns an endpoint's speed."""

    def is_slowed(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint was found to be slower than usual now."""


class RoundView:
    """What is known about the usable endpoints, which doesn't change within a round.

    :ivar speed: returns an endpoint's speed.
    :ivar risks: probabilities that endpoints fail their runs, by identifier; none that are
        negligible.
    :ivar on_probation: endpoints that get one run at a time.
    :ivar has_sound: whether any endpoint may get last attempts.
    """

    def __init__(self, model: RunTimes, usable: list[EndpointState], now_s: float) -> None:
        speeds, risks = {}, {}
        for endpoint in usable:
            endpoint_id = endpoint.info.instance.endpoint_id
            speeds[endpoint_id] = model.speed(endpoint_id)
            risk = endpoint.trust.failure_probability(now_s)
            if risk > NEGLIGIBLE_RISK:
                risks[endpoint_id] = risk
        self.speed = speeds.__getitem__
        self.expected_run_time_s = model.expected_run_time_s
        self.risks = risks
        self.on_probation = {
            endpoint.info.instance.endpoint_id
            for endpoint in usable
            if model.is_slowed(endpoint.info.instance.endpoint_id)
            or (
                endpoint.info.instance.endpoint_id in risks
                and endpoint.trust.is_on_probation(now_s)
            )
        }
        self.has_sound = len(risks) < len(usable) or min(risks.values()) < LAST_ATTEMPT_RISK


def place_waiting_tasks(
    job_table: JobTable,
    endpoints: Iterable[EndpointState],
    model: RunTimeModel,
    now_s: float,
    order_start: Callable[[Task, EndpointState], None],
    remote_factor: float = DEFAULT_REMOTE_FACTOR,
    policies: PlacementPolicies = DEFAULT_POLICIES,
    claim_confirmed_s: float = inf,
) -> None:
    """Assigns the waiting tasks to endpoints with enough free resources.

    :param order_start: called for each placement; it must count the task's resources as used.
    :param remote_factor: ratio of a task's run time outside the rack of its data or of its step to
        the run time inside.
    :param claim_confirmed_s: latest monotonic time at which the claim was certainly in force.
    """
    waiting_jobs = list(job_table.waiting_jobs())
    model.advance(now_s)
    usable = (
        [endpoint for endpoint in endpoints if endpoint.may_start(now_s)] if waiting_jobs else []
    )
    if not usable:
        return
    # A job that no endpoint could ever run doesn't hold the others back, nor do durable jobs whose
    # ends no endpoint could list.
    can_list_durable = any(endpoint.can_list_end(is_durable=True) for endpoint in usable)
    waiting_jobs = [
        job
        for job in waiting_jobs
        if (can_list_durable or not job.spec.is_durable)
        and any(
            could_ever_fit(endpoint.info, task.step)
            for task in _first_waiting_tasks(job)
            for endpoint in usable
        )
    ]
    max_free_millicores = max(endpoint.free_millicores for endpoint in usable)
    if all(
        task.step.needs.cpu_millicores > max_free_millicores
        for job in waiting_jobs
        for task in _first_waiting_tasks(job)
    ):
        return  # without ordering the jobs, which would take longer
    millicores = sum(endpoint.info.capacity.cpu_millicores for endpoint in usable)
    cores = max(millicores / len(usable), 1) / 1000
    jobs = policies.order.arrange(waiting_jobs, now_s, cores)
    view, step_room = RoundView(model, usable, now_s), StepRoom(usable, now_s)
    skipped = 0
    for job in jobs:
        if max_free_millicores <= 0 or skipped >= MAX_SKIPPED_JOBS:
            return
        lacks_room = False
        # The tasks of a step need the same; those of another step may fit where these don't.
        passed_steps: set[int] = set()
        for task in list(job.waiting):
            if task.name.step in passed_steps or now_s < task.paused_until_s:
                continue
            if claim_confirmed_s < task.claim_needed_s:
                continue
            if not any(could_ever_fit(endpoint.info, task.step) for endpoint in usable):
                # Not a skipped job: only jobs that wait for free resources count for the limit.
                passed_steps.add(task.name.step)
                continue
            if task.step.needs.cpu_millicores > max_free_millicores:
                lacks_room = True
                passed_steps.add(task.name.step)
                continue
            if step_room.is_closed_to(job, task):
                # Not a skipped job either: others may need less than it does, or have no limit.
                passed_steps.add(task.name.step)
                continue
            treatment = policies.suspicion.treatment(task.name, now_s)
            candidates = _list_candidates(job, treatment, usable, policies.suspicion, now_s)
            if not candidates and treatment is not Treatment.APART:
                continue
            near = NearRack(choose_rack(job, task, usable, view), remote_factor)
            endpoint = choose_endpoint(
                job, task, candidates, view, now_s, near, policies.neighbours
            )
            if endpoint is None and treatment is Treatment.APART:
                endpoint = choose_endpoint(
                    job, task, usable, view, now_s, near, policies.neighbours
                )
            if endpoint is None and treatment is Treatment.ALONE:
                continue
            if endpoint is None:
                lacks_room = True
                passed_steps.add(task.name.step)
                continue
            is_far = near.rack and near.rack != endpoint.info.rack
            task.distance_factor = remote_factor if is_far else 1.0
            had_max_free = endpoint.free_millicores == max_free_millicores
            order_start(task, endpoint)
            if had_max_free:
                max_free_millicores = max(endpoint.free_millicores for endpoint in usable)
        skipped += lacks_room


def _list_candidates(
    job: Job,
    treatment: Treatment,
    usable: list[EndpointState],
    suspicion: Suspicion,
    now_s: float,
) -> list[EndpointState]:
    """Returns the endpoints where a task should be started, as it may crash them.

    The suspected tasks of one job are tried on one endpoint: it fails with the first of them.
    """
    if treatment is Treatment.USUAL:
        return usable
    if treatment is Treatment.HELD:
        return []
    apart = [endpoint for endpoint in usable if endpoint.is_apart(job.spec.job_id)]
    if treatment is Treatment.APART:
        return apart
    tried_at = {
        task.instance
        for task in job.tasks.values()
        if task.status in ACTIVE_STATUSES
        and suspicion.treatment(task.name, now_s) is Treatment.ALONE
    }
    return [e for e in apart if not tried_at or e.info.instance in tried_at]


def should_reserve(
    treatment: Treatment, endpoint: EndpointState, job_id: str, endpoints: Iterable[EndpointState]
) -> bool:
    """Returns whether an endpoint is reserved for the job of a task that is started there.

    While an endpoint may only have been cut off, room is not left unused for it.

    :param endpoints: all endpoints of the group.
    """
    if treatment is Treatment.USUAL or not endpoint.is_apart(job_id):
        return False
    return treatment is Treatment.ALONE or any(
        not other.runs and not other.missed_calls and other is not endpoint for other in endpoints
    )


def choose_rack(job: Job, task: Task, usable: Iterable[EndpointState], model: RunTimes) -> str:
    """Returns the rack where a task should run; empty if it runs equally fast in all racks.

    A task of a step that should stay in one rack goes to the rack with most running tasks of the
    step. The first one goes to the rack where most of the step's tasks fit, and among equal racks
    to the one with the faster endpoints.
    """
    step = task.step
    if step.preferred_rack or not step.stays_in_rack:
        return step.preferred_rack
    active_by_endpoint = count_active_tasks(job, task.name.step)
    fitting_tasks, total_speeds, running_tasks = Counter[str](), Counter[str](), Counter[str]()
    for endpoint in usable:
        rack = endpoint.info.rack
        running_tasks[rack] += active_by_endpoint[endpoint.info.instance]
        fitting = _count_fitting(endpoint, step)
        fitting_tasks[rack] += fitting
        total_speeds[rack] += fitting * model.speed(endpoint.info.instance.endpoint_id)
    if running_tasks.total():
        return max(running_tasks, key=running_tasks.__getitem__)
    return max(
        fitting_tasks, key=lambda rack: (min(fitting_tasks[rack], step.count), total_speeds[rack])
    )


def choose_endpoint(
    job: Job,
    task: Task,
    usable: Iterable[EndpointState],
    view: RoundView,
    now_s: float,
    near: NearRack,
    neighbours: NeighbourEffect = NO_NEIGHBOUR_EFFECT,
) -> EndpointState | None:
    """Returns the endpoint where a task is expected to end soonest; ``None`` if it should wait.

    Among about equal endpoints, the one with the least remaining capacity is chosen. A task of a
    job that can still meet its objective waits for a faster endpoint if it would be late on every
    endpoint with enough free resources. What a failure would cost counts by its probability.
    """
    step, needs = task.step, task.step.needs
    queue, is_durable = job.spec.terms.queue, job.spec.is_durable
    kind = kind_of_task(queue, step)
    expected_s = view.expected_run_time_s(queue, step.estimate_s)
    active_by_endpoint = count_active_tasks(job, task.name.step) if step.max_per_endpoint else None
    is_last_attempt = len(task.failed_runs) + 1 >= job.spec.terms.max_attempts
    failure_cost_s = (LAST_ATTEMPT_FACTOR if is_last_attempt else RETRY_FACTOR) * expected_s
    speed, risks, on_probation = view.speed, view.risks, view.on_probation
    best, best_cost_s, best_run_time_s, fastest_s = None, inf, inf, inf
    # This loop runs for each task over all endpoints.
    for endpoint in usable:
        info = endpoint.info
        if step.required_label and step.required_label not in info.labels:
            continue
        if (
            active_by_endpoint is not None
            and active_by_endpoint[info.instance] >= step.max_per_endpoint
        ):
            continue
        endpoint_id = info.instance.endpoint_id
        run_time_s = expected_s / speed(endpoint_id)
        if now_s < endpoint.cold_until_s:
            run_time_s *= 1 + COLD_SHARE * endpoint.coldness(now_s)
        if near.rack and near.rack != info.rack:
            run_time_s *= near.remote_factor
        if task.failed_endpoint_ids and endpoint_id in task.failed_endpoint_ids:
            run_time_s += FAILED_HERE_FACTOR * expected_s
            if info.instance in task.rejecting_instances:
                run_time_s += REJECTED_HERE_FACTOR * expected_s
        if run_time_s < fastest_s and needs.fits(info.capacity):
            fastest_s = run_time_s
        if endpoint.reserved_for and endpoint.is_closed_to(job.spec.job_id, now_s):
            continue
        remaining_millicores = endpoint.free_millicores - needs.cpu_millicores
        if remaining_millicores < 0 or not endpoint.has_room(needs):
            continue
        if is_durable and not endpoint.can_list_end(is_durable=True):
            continue
        if neighbours is not NO_NEIGHBOUR_EFFECT:
            run_time_s *= neighbours.slowdown(kind, endpoint)
        cost_s = run_time_s + FIT_WEIGHT_S * remaining_millicores / max(
            info.capacity.cpu_millicores, 1
        )
        if endpoint.runs and endpoint_id in on_probation:
            continue
        if endpoint_id in risks:
            risk = risks[endpoint_id]
            if is_last_attempt and risk >= LAST_ATTEMPT_RISK and view.has_sound:
                continue
            cost_s += risk * failure_cost_s
        if cost_s < best_cost_s:
            best, best_cost_s, best_run_time_s = endpoint, cost_s, run_time_s
    remaining_s = job.accepted_s + objective_s(job) - now_s
    would_be_late = RUN_TIME_MARGIN * best_run_time_s > remaining_s
    if would_be_late and RUN_TIME_MARGIN * fastest_s <= remaining_s:
        return None
    return best


def find_free_endpoint(
    job: Job, task: Task, endpoints: Iterable[EndpointState], model: RunTimes, now_s: float
) -> EndpointState | None:
    """Returns the fastest endpoint with room for a task that it was not slow or failed on.

    Racks aren't considered beside that of the task's data.
    """
    limit = task.step.max_per_endpoint
    active = count_active_tasks(job, task.name.step) if limit else None
    best, best_speed = None, 0.0
    for endpoint in endpoints:
        endpoint_id = endpoint.info.instance.endpoint_id
        if active is not None and active[endpoint.info.instance] >= limit:
            continue
        if now_s < endpoint.cold_until_s:
            continue
        if not endpoint.may_start(now_s) or not endpoint.has_room(task.step.needs):
            continue
        if endpoint.is_closed_to(job.spec.job_id, now_s):
            continue
        if job.spec.is_durable and not endpoint.can_list_end(is_durable=True):
            continue
        if endpoint_id in task.failed_endpoint_ids or not could_ever_fit(endpoint.info, task.step):
            continue
        if endpoint.trust.failure_probability(now_s) >= LAST_ATTEMPT_RISK:
            continue
        speed = model.speed(endpoint_id)
        if task.step.preferred_rack and endpoint.info.rack != task.step.preferred_rack:
            speed /= DEFAULT_REMOTE_FACTOR
        if speed > best_speed:
            best, best_speed = endpoint, speed
    return best


def _waiting_work_s(job: Job, endpoint_cores: float) -> float:
    """Returns the time that one mean endpoint would need for a job's waiting tasks."""
    cores = sum(task.step.needs.cpu_millicores for task in job.waiting) / 1000
    return job.expected_s * cores / endpoint_cores


def _first_waiting_tasks(job: Job) -> list[Task]:
    """Returns the first waiting task of each step of a job."""
    if len(job.spec.steps) == 1:
        return job.waiting[:1]
    return list({task.name.step: task for task in reversed(job.waiting)}.values())


def could_ever_fit(info: EndpointInfo, step: StepSpec) -> bool:
    """Returns whether an endpoint could run a task of a step if it had no other tasks."""
    return has_label(info, step) and step.needs.fits(info.capacity)


def _count_fitting(endpoint: EndpointState, step: StepSpec) -> int:
    """Returns how many tasks of a step fit into the free resources of an endpoint."""
    if not could_ever_fit(endpoint.info, step):
        return 0
    free_resources, needs = endpoint.free_resources, step.needs
    counts = [
        (free_resources.cpu_millicores, needs.cpu_millicores),
        (free_resources.memory_mb, needs.memory_mb),
        (free_resources.accelerators, needs.accelerators),
    ]
    fitting = min((free // needed for free, needed in counts if needed), default=step.count)
    return min(fitting, step.max_per_endpoint or fitting)
