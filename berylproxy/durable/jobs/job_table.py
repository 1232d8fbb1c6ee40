"""The states of a group's jobs and tasks, in memory; uses no clock and no sockets."""

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf

from berylproxy.durable.jobs.crashes import CrashCount
from berylproxy.durable.jobs.models import (
    FINAL_STATES,
    EndedRun,
    EndKind,
    EndpointInstance,
    FailureCause,
    JobSpec,
    JobState,
    Progress,
    StepSpec,
    StoredJob,
    TaskName,
)
from berylproxy.durable.jobs.workload import Claimant, Workload
from berylproxy.durable.learning.estimates import RunTimeModel
from berylproxy.durable.learning.run_times import SiblingRunTimes

REMEMBERED_FINAL_JOBS = 20_000  # their states are answered without a read of the store


# Seconds of slack that a second of waiting work on a mean endpoint counts as: small jobs go first,
# since more of them fit.
WORK_WEIGHT = 0.3
MIN_REJECTIONS = 2
MIN_REJECTING_ENDPOINTS = 2  # of a durable job's orders: one endpoint may be at fault itself
FIRST_REJECTION_PAUSE_S = 0.5
LONGEST_REJECTION_PAUSE_S = 4.0


class TaskStatus(Enum):
    """Status of a task within an open job."""

    BLOCKED = auto()  # earlier steps are not done
    UNRESOLVED = auto()  # perhaps begun by a former holder: an endpoint may run it or know its end
    WAITING = auto()
    STARTING = auto()  # the order to start is sent
    UNCERTAIN = auto()  # the order to start was not answered: it may have taken effect
    RUNNING = auto()
    DONE = auto()


ACTIVE_STATUSES = frozenset({TaskStatus.STARTING, TaskStatus.UNCERTAIN, TaskStatus.RUNNING})


@dataclass(slots=True, eq=False)
class Task:
    """One task of an open job.

    :ivar run: number of the newest run; each start has a higher one.
    :ivar instance: endpoint of the newest run, while that is active.
    :ivar ordered_starts: how often this holder has ordered its start.
    :ivar ordered_s: monotonic time of this holder's newest order; 0 if there is none.
    :ivar started_s: monotonic time at which the newest run was ordered or first reported.
    :ivar progressed_s: monotonic time at which the newest run last made progress.
    :ivar failed_runs: numbers of the runs that have failed.
    :ivar failed_endpoint_ids: identifiers of the endpoints where runs have failed, or that have
        rejected its orders.
    :ivar rejections: number of orders that endpoints rejected as invalid.
    :ivar rejecting_instances: the endpoints that rejected them.
    :ivar paused_until_s: monotonic time before which its start isn't ordered.
    :ivar claim_needed_s: monotonic time at which the holder's claim must have been in force for its
        start to be ordered.
    :ivar rejection_pause_s: how long the next pause after a rejected order takes.
    :ivar crash_count: crashes of endpoints under begun runs of the task, unless a run has ended
        since.
    :ivar possible_crash_count: the same under runs that had begun or may have.
    :ivar saved: checkpoint that a run saved last.
    :ivar distance_factor: factor on the newest run's time because of the rack of its endpoint.
    :ivar moves: how often a run was stopped because its endpoint had turned slow.
    :ivar work_s: what its done run would have taken at an endpoint of mean speed near its data; 0
        if that is unknown.
    """

    name: TaskName
    step: StepSpec
    status: TaskStatus
    run: int = 0
    instance: EndpointInstance | None = None
    ordered_starts: int = 0
    ordered_s: float = 0.0
    started_s: float = 0.0
    progress_percent: int = 0
    progressed_s: float = 0.0
    failed_runs: set[int] = field(default_factory=set)
    failed_endpoint_ids: set[str] = field(default_factory=set)
    rejections: int = 0
    rejecting_instances: set[EndpointInstance] = field(default_factory=set)
    paused_until_s: float = 0.0
    claim_needed_s: float = -inf
    rejection_pause_s: float = FIRST_REJECTION_PAUSE_S
    crash_count: CrashCount = CrashCount()
    possible_crash_count: CrashCount = CrashCount()
    saved: str = ""
    distance_factor: float = 1.0
    moves: int = 0
    work_s: float = 0.0

    @property
    def rejecting_endpoint_ids(self) -> set[str]:
        """Identifiers of the endpoints that rejected its orders."""
        return {instance.endpoint_id for instance in self.rejecting_instances}


@dataclass(slots=True, eq=False)
class Job:
    """An open job: accepted, and closed once its outcome is answered or stored.

    :ivar accepted_s: monotonic time of its acceptance.
    :ivar deadline_s: monotonic time at which its caller stops waiting; infinite without a limit.
    :ivar entry: incarnation of its entry daemon; empty after a change of holder.
    :ivar call: number of its newest submission's call at the entry daemon; 0 if unknown.
    :ivar attempt: attempt of its newest submission.
    :ivar expected_s: expected run time of its longest chain of tasks at speed 1.
    :ivar waiting: its tasks that may be started now.
    :ivar unfinished_tasks: number of tasks that are not done.
    :ivar started: whether the start of any task has ever been ordered.
    :ivar has_begun: whether an endpoint has confirmed a run of any task, or listed its end.
    :ivar failure_domain: failure domain of its first entry daemon; empty if unknown.
    :ivar place_s: monotonic time from which it is ordered among waiting jobs: that of its
        acceptance, or of an earlier refusal after which its caller came back as told.
    :ivar is_excess: whether it exceeds its claimant's share of scarce room.
    :ivar failure_cause: why it has failed; ``None`` if it hasn't.
    :ivar siblings: run times of its tasks, relative to the expected ones.
    :ivar blamed_endpoint_ids: identifiers of the endpoints that have rejected orders which others
        carried out.
    :ivar limited_steps: by step, the monotonic time at which it was at its limit at each endpoint,
        with the numbers of waiting and unfinished tasks and the endpoints then.
    """

    spec: JobSpec
    accepted_unix_s: float
    accepted_s: float
    deadline_s: float = inf
    tasks: dict[tuple[int, int], Task] = field(default_factory=dict)
    entry: str = ""
    call: int = 0
    attempt: int = 0
    state: JobState = JobState.QUEUED
    expected_s: float = 0.0
    waiting: list[Task] = field(default_factory=list)
    unfinished_tasks: int = 0
    started: bool = False
    has_begun: bool = False
    siblings: SiblingRunTimes = field(default_factory=SiblingRunTimes)
    failure_domain: str = ""
    place_s: float = 0.0
    is_excess: bool = False
    failure_cause: FailureCause | None = None
    blamed_endpoint_ids: set[str] = field(default_factory=set)
    limited_steps: dict[int, tuple[float, tuple[int, int, frozenset[EndpointInstance]]]] = field(
        default_factory=dict
    )

    @property
    def claimant(self) -> Claimant:
        """Whose share of the room the job takes."""
        return Claimant(self.spec.terms.queue, self.failure_domain)

    @property
    def objective_s(self) -> float:
        """Time within which the job should be completed, from its acceptance."""
        terms = self.spec.terms
        return terms.objective_factor * self.expected_s + terms.objective_s

    @property
    def may_have_begun(self) -> bool:
        """Whether a run of any task may have been ordered, by this holder or by a former one."""
        return self.started or any(task.run for task in self.tasks.values())

    @property
    def is_final(self) -> bool:
        """Whether its outcome is known."""
        return self.state in FINAL_STATES

    def progress(self) -> Progress:
        """Returns the done tasks, the failed runs and the crashes of endpoints.

        They must be in the store before endpoints may forget them.
        """
        tasks = self.tasks.items()
        begun = tuple((*key, *task.crash_count) for key, task in tasks if task.crash_count.crashes)
        possible = tuple(
            (*key, *task.possible_crash_count)
            for key, task in tasks
            if task.possible_crash_count.crashes
        )
        return Progress(
            tuple(key for key, task in self.tasks.items() if task.status is TaskStatus.DONE),
            tuple((*key, run) for key, task in self.tasks.items() for run in task.failed_runs),
            begun,  # for daemons of earlier versions, which take them for proven
            begun,
            possible,
        )


def expect_chain_s(spec: JobSpec, model: RunTimeModel) -> float:
    """Returns the expected run time of a job's longest chain of steps."""
    queue = spec.terms.queue
    return _longest_chain_s(
        spec, [model.expected_run_time_s(queue, step.estimate_s) for step in spec.steps]
    )


def measure_objective_s(job: Job) -> float:
    """Returns a job's objective by the work that its tasks turned out to be.

    :return: the expected objective if the work of any task is unknown.
    """
    longest_s = [0.0] * len(job.spec.steps)
    for (step, _), task in job.tasks.items():
        if not task.work_s:
            return job.objective_s
        longest_s[step] = max(longest_s[step], task.work_s)
    terms = job.spec.terms
    return terms.objective_factor * _longest_chain_s(job.spec, longest_s) + terms.objective_s


def _longest_chain_s(spec: JobSpec, step_times_s: Sequence[float]) -> float:
    ends: list[float] = []
    for step, time_s in zip(spec.steps, step_times_s, strict=True):
        begin_s = max((ends[number] for number in step.after if number < len(ends)), default=0)
        ends.append(begin_s + time_s)
    return max(ends, default=0.0)


class JobTable:
    """All open jobs of a group and the outcomes of those that ended.

    :param model: expected run times.
    :ivar workload: the work of the open jobs, as expected when they were opened.
    :ivar mean_endpoint_cores: cores of a mean endpoint; infinite until they are known.
    """

    def __init__(self, model: RunTimeModel | None = None) -> None:
        self.jobs: dict[str, Job] = {}
        self.workload = Workload()
        self.mean_endpoint_cores = inf
        self._model = model or RunTimeModel()
        self._outcomes: OrderedDict[str, JobState] = OrderedDict()

    def prepare(
        self, stored: StoredJob, now_s: float, *, entry: str = "", failure_domain: str = ""
    ) -> Job:
        """Returns a job without its tasks, which isn't in the table; for parameters, see `open`."""
        job = Job(
            stored.spec,
            stored.accepted_unix_s,
            now_s,
            entry=entry,
            failure_domain=failure_domain,
            place_s=now_s,
        )
        job.expected_s = expect_chain_s(stored.spec, self._model)
        return job

    def open(
        self,
        stored: StoredJob,
        now_s: float,
        *,
        entry: str = "",
        first_run: int = 0,
        may_have_begun: bool = False,
        failure_domain: str = "",
        waited_s: float = 0.0,
        is_excess: bool = False,
    ) -> Job:
        """Adds a job to the table.

        :param entry: incarnation of its entry daemon.
        :param failure_domain: failure domain of its entry daemon; empty if unknown.
        :param waited_s: time since it was refused, if its caller has come back as told.
        :param is_excess: whether it exceeds its claimant's share of scarce room.
        :param first_run: lower bound of the run numbers to use.
        :param may_have_begun: whether another holder may have begun the job.
        """
        job = self.prepare(stored, now_s, entry=entry, failure_domain=failure_domain)
        job.place_s, job.is_excess = now_s - waited_s, is_excess
        status = TaskStatus.UNRESOLVED if may_have_begun else TaskStatus.WAITING
        for step_number, step in enumerate(stored.spec.steps):
            for index in range(step.count):
                name = TaskName(stored.spec.job_id, step_number, index)
                job.tasks[step_number, index] = Task(name, step, status, first_run)
        for key in stored.progress.done:
            if key in job.tasks:
                job.tasks[key].status = TaskStatus.DONE
        for step_number, index, run in stored.progress.failures:
            task = job.tasks.get((step_number, index))
            if task is not None:
                task.failed_runs.add(run)
        for step_number, index, crashes, blamed in stored.progress.begun_crashes:
            task = job.tasks.get((step_number, index))
            if task is not None:
                task.crash_count = task.possible_crash_count = CrashCount(crashes, blamed)
        unproven = (*stored.progress.crashes, *stored.progress.possible_crashes)
        for step_number, index, crashes, blamed in unproven:
            task = job.tasks.get((step_number, index))
            if task is not None:
                count = CrashCount(crashes, blamed).at_least(task.possible_crash_count)
                task.possible_crash_count = count
        job.unfinished_tasks = sum(
            task.status is not TaskStatus.DONE for task in job.tasks.values()
        )
        job.started = may_have_begun and bool(stored.progress.done or stored.progress.failures)
        job.has_begun = job.started
        self.jobs[stored.spec.job_id] = job
        self._add_work(job)
        if not may_have_begun:
            self._update_waiting_tasks(job)
        return job

    def order_s(self, job: Job) -> float:
        """Returns where a job stands among those that can meet their objective.

        The smallest goes first: it is the latest time for its start, and more the larger it is.
        """
        millicores = sum(step.count * step.needs.cpu_millicores for step in job.spec.steps)
        work_s = job.expected_s * millicores / 1000 / self.mean_endpoint_cores
        return job.place_s + job.objective_s - job.expected_s + WORK_WEIGHT * work_s

    def _add_work(self, job: Job) -> None:
        order_s = self.order_s(job)
        for task in job.tasks.values():
            if task.status is not TaskStatus.DONE:
                millicores = task.step.needs.cpu_millicores
                expected_s = self._expected_run_time_s(job.spec, task.step)
                self.workload.add(task, job.claimant, millicores, expected_s, order_s)

    def _expected_run_time_s(self, spec: JobSpec, step: StepSpec) -> float:
        return self._model.expected_run_time_s(spec.terms.queue, step.estimate_s)

    def _remove_work(self, job: Job) -> None:
        for task in job.tasks.values():
            self.workload.remove(task)

    def find_task(self, name: TaskName) -> Task | None:
        """Returns a task of an open job; ``None`` if the job is unknown or its state is final."""
        job = self.jobs.get(name.job_id)
        if job is None or job.is_final:
            return None
        return job.tasks.get((name.step, name.index))

    def state(self, job_id: str) -> JobState | None:
        """Returns a job's state; ``None`` if this table does not know the job."""
        job = self.jobs.get(job_id)
        return job.state if job is not None else self._outcomes.get(job_id)

    def remember_outcome(self, job_id: str, state: JobState) -> None:
        """Records the outcome of a job that is not open; the oldest outcomes are discarded."""
        self._outcomes[job_id] = state
        while len(self._outcomes) > REMEMBERED_FINAL_JOBS:
            self._outcomes.popitem(last=False)

    def close(self, job: Job) -> None:
        """Removes a job from the open ones, and remembers its outcome.

        A best-effort job that was cancelled before it began is forgotten: it may be submitted
        again as if it had not been before.
        """
        self.jobs.pop(job.spec.job_id, None)
        self._remove_work(job)
        if job.spec.is_durable or job.state is not JobState.CANCELLED or job.may_have_begun:
            self.remember_outcome(job.spec.job_id, job.state)

    def resolve(self, job: Job, *, claim_needed_s: float = -inf) -> None:
        """Makes the unresolved tasks of a job, which no endpoint reports, ready to start.

        :param claim_needed_s: see :class:`Task`.
        """
        for task in job.tasks.values():
            if task.status is TaskStatus.UNRESOLVED:
                task.status = TaskStatus.WAITING
                task.claim_needed_s = claim_needed_s
        self._update_waiting_tasks(job)

    def note_ordered(self, task: Task, instance: EndpointInstance, now_s: float) -> None:
        """Records that the start of a waiting task is ordered under a new run number."""
        job = self.jobs[task.name.job_id]
        job.waiting.remove(task)
        job.started = True
        job.state = JobState.RUNNING
        task.run += 1
        task.ordered_starts += 1
        task.status = TaskStatus.STARTING
        task.instance = instance
        task.ordered_s = task.started_s = now_s
        self.workload.note_started(task, now_s)
        task.progress_percent = 0
        task.progressed_s = now_s

    def note_running(self, task: Task, instance: EndpointInstance, run: int, now_s: float) -> None:
        """Records that an endpoint runs the task."""
        if task.status is not TaskStatus.RUNNING or task.instance != instance:
            task.started_s = task.progressed_s = now_s
        job = self.jobs[task.name.job_id]
        if task.status is TaskStatus.WAITING:
            job.waiting.remove(task)
        job.started = job.has_begun = True
        job.state = JobState.RUNNING
        task.status, task.instance, task.run = TaskStatus.RUNNING, instance, run
        self.workload.note_started(task, task.started_s)

    def note_confirmed(self, task: Task) -> None:
        """Records that an endpoint has confirmed the start of the task's newest run."""
        task.status = TaskStatus.RUNNING
        job = self.jobs.get(task.name.job_id)
        if job is not None:
            job.has_begun = True

    def note_not_running(self, task: Task) -> None:
        """Returns an active task to the waiting ones: its newest run is certainly over."""
        task.instance = None
        task.status = TaskStatus.WAITING
        self.workload.note_stopped(task)
        self.jobs[task.name.job_id].waiting.append(task)

    def note_end(self, task: Task, end: EndedRun, instance: EndpointInstance) -> None:
        """Applies the end of a run, which may be an earlier one than the task's newest."""
        if task.status is TaskStatus.DONE:
            return
        job = self.jobs[task.name.job_id]
        job.has_begun = True
        is_newest = end.run >= task.run and (
            task.status is TaskStatus.UNRESOLVED
            or task.instance == instance
            or task.instance is None
        )
        if end.saved and is_newest:
            task.saved = end.saved
        if end.kind is EndKind.DONE:
            if is_newest or task.status in (TaskStatus.WAITING, TaskStatus.UNRESOLVED):
                self._note_done(job, task)
            return
        if end.kind is EndKind.FAILED:
            task.failed_runs.add(end.run)
            task.failed_endpoint_ids.add(instance.endpoint_id)
            if len(task.failed_runs) >= job.spec.terms.max_attempts:
                self.fail(job, FailureCause.FAILED_RUNS)
                return
        task.run = max(task.run, end.run)
        if is_newest and task.status in ACTIVE_STATUSES:
            self.note_not_running(task)

    def note_rejected(
        self,
        task: Task,
        instance: EndpointInstance,
        now_s: float,
        *,
        has_untried: bool,
        has_reachable_untried: bool,
    ) -> None:
        """Applies the answer that an endpoint can't execute an order as given.

        It is no attempt, as no run has begun. The likely cause is the content of the job. A durable
        job fails when all endpoints, two at least, have rejected its orders: some of them may be at
        fault themselves. A best-effort job, whose caller waits, fails when as many as it has
        attempts, or all that can be reached, have. A task that as many have rejected pauses before
        each further order; the pause doubles where the order would only be repeated.

        :param has_untried: whether an endpoint that hasn't rejected one could run it, now or later.
        :param has_reachable_untried: whether such an endpoint could run it now.
        """
        job = self.jobs[task.name.job_id]
        needed = max(job.spec.terms.max_attempts, MIN_REJECTIONS)
        is_repeated = instance in task.rejecting_instances
        task.rejections += 1
        task.rejecting_instances.add(instance)
        task.failed_endpoint_ids.add(instance.endpoint_id)
        rejecting_endpoints = len(task.rejecting_endpoint_ids)
        is_rejected_widely = rejecting_endpoints >= needed
        if job.spec.is_durable:
            is_hopeless = rejecting_endpoints >= MIN_REJECTING_ENDPOINTS and not has_untried
        else:
            is_hopeless = is_rejected_widely or not has_reachable_untried
        if task.rejections >= needed and is_hopeless:
            self.fail(job, FailureCause.REJECTED_ORDERS)
            return
        if is_repeated or not has_reachable_untried:
            self._pause(task, now_s)
        elif is_rejected_widely:
            task.paused_until_s = now_s + FIRST_REJECTION_PAUSE_S
        self.note_not_running(task)

    def note_not_permitted(self, task: Task, now_s: float) -> None:
        """Applies the answer that the policy of the task's queue doesn't permit its start.

        That says nothing of the job's content: the task pauses, for a time that doubles.
        """
        self._pause(task, now_s)
        self.note_not_running(task)

    def _pause(self, task: Task, now_s: float) -> None:
        task.paused_until_s = now_s + task.rejection_pause_s
        task.rejection_pause_s = min(2 * task.rejection_pause_s, LONGEST_REJECTION_PAUSE_S)

    def note_carried_out(self, task: Task) -> set[str]:
        """Applies that an endpoint carries out an order: the job's content isn't at fault.

        :return: identifiers of the endpoints that are to blame for rejections by that, and weren't
            for another one of the job.
        """
        job = self.jobs.get(task.name.job_id)
        if job is None:
            return set()
        to_blame = task.rejecting_endpoint_ids - job.blamed_endpoint_ids
        job.blamed_endpoint_ids |= to_blame
        task.rejections, task.rejecting_instances = 0, set()
        task.rejection_pause_s = FIRST_REJECTION_PAUSE_S
        return to_blame

    def fail(self, job: Job, cause: FailureCause) -> None:
        """Marks a job as failed; the caller must stop its active tasks."""
        job.state, job.failure_cause = JobState.FAILED, cause
        job.waiting.clear()
        self._remove_work(job)

    def cancel(self, job: Job) -> None:
        """Marks a job as cancelled; the caller must stop its active tasks."""
        job.state = JobState.CANCELLED
        job.waiting.clear()
        self._remove_work(job)

    def waiting_jobs(self) -> Iterator[Job]:
        """Returns the jobs with tasks that may be started."""
        return (job for job in self.jobs.values() if job.waiting)

    def count_pending(self, queue: str) -> int:
        """Returns the number of a queue's open jobs of which no task has begun."""
        return sum(
            not job.has_begun and not job.is_final and job.spec.terms.queue == queue
            for job in self.jobs.values()
        )

    def _note_done(self, job: Job, task: Task) -> None:
        if task.status is TaskStatus.WAITING:
            job.waiting.remove(task)
        task.status = TaskStatus.DONE
        self.workload.note_done(task)
        task.instance = None
        job.started = True
        job.unfinished_tasks -= 1
        if not job.unfinished_tasks:
            job.state = JobState.COMPLETED
        else:
            job.state = JobState.RUNNING
            self._update_waiting_tasks(job)

    def _update_waiting_tasks(self, job: Job) -> None:
        """Marks each task that is not started as waiting, or as blocked by earlier steps."""
        done_steps = {
            number
            for number, step in enumerate(job.spec.steps)
            if all(job.tasks[number, i].status is TaskStatus.DONE for i in range(step.count))
        }
        for (number, _), task in job.tasks.items():
            is_unblocked = done_steps.issuperset(job.spec.steps[number].after)
            if task.status in (TaskStatus.WAITING, TaskStatus.BLOCKED):
                if is_unblocked and task not in job.waiting:
                    job.waiting.append(task)
                task.status = TaskStatus.WAITING if is_unblocked else TaskStatus.BLOCKED
