"""The state of a group's jobs: what waits, runs, has ended. No clock, no sockets."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf

from berylproxy.durable.models import (
    FINAL_STATES,
    EndedRun,
    EndKind,
    EndpointInstance,
    JobSpec,
    JobState,
    Progress,
    StepSpec,
    StoredJob,
    TaskName,
)

REMEMBERED_FINAL_JOBS = 20_000  # answers of state without a read of the store


class TaskStatus(Enum):
    """Where a task stands."""

    BLOCKED = auto()  # earlier steps are not done
    UNRESOLVED = auto()  # loaded from the store: an endpoint may run it or know its end
    WAITING = auto()
    STARTING = auto()  # the order is on its way
    UNCERTAIN = auto()  # the order was not answered
    RUNNING = auto()
    DONE = auto()


ACTIVE_STATUSES = frozenset({TaskStatus.STARTING, TaskStatus.UNCERTAIN, TaskStatus.RUNNING})


@dataclass(slots=True, eq=False)
class Task:
    """One task of an open job.

    :ivar run: number of the newest run; each start has a higher one.
    :ivar life: where the newest run is, while it is active.
    :ivar orders: how often its start was ordered by this holder.
    :ivar failed_runs: runs that have ended as failed.
    :ivar failed_at: identifiers of the endpoints where that was.
    :ivar saved: what a run last saved.
    """

    name: TaskName
    step: StepSpec
    status: TaskStatus
    run: int = 0
    instance: EndpointInstance | None = None
    orders: int = 0
    ordered_s: float = 0.0
    started_s: float = 0.0
    progress_percent: int = 0
    progressed_s: float = 0.0
    failed_runs: set[int] = field(default_factory=set)
    failed_at: set[str] = field(default_factory=set)
    saved: str = ""


@dataclass(slots=True, eq=False)
class Job:
    """An open job: accepted, and its end is not stored.

    :ivar accepted_s: monotonic time of its acceptance.
    :ivar deadline_s: monotonic time at which its caller stops to wait; infinite if it doesn't.
    :ivar entry: incarnation of the daemon that handed it in; empty after a change of holder.
    :ivar expected_s: expected run time of its longest chain of tasks at speed 1.
    :ivar waiting: its tasks that may be started now.
    :ivar started: whether any task has ever been ordered.
    """

    spec: JobSpec
    accepted_unix_s: float
    accepted_s: float
    deadline_s: float = inf
    tasks: dict[tuple[int, int], Task] = field(default_factory=dict)
    entry: str = ""
    state: JobState = JobState.QUEUED
    expected_s: float = 0.0
    waiting: list[Task] = field(default_factory=list)
    left: int = 0
    started: bool = False

    @property
    def is_final(self) -> bool:
        """Whether its outcome is known."""
        return self.state in FINAL_STATES

    def progress(self) -> Progress:
        """Describes what the store must know before endpoints may forget it."""
        return Progress(
            tuple(key for key, task in self.tasks.items() if task.status is TaskStatus.DONE),
            tuple((*key, run) for key, task in self.tasks.items() for run in task.failed_runs),
        )


class JobTable:
    """All open jobs of a group and the outcomes of those that ended."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self._outcomes: OrderedDict[str, JobState] = OrderedDict()

    def open(self, stored: StoredJob, now_s: float, *, entry: str = "", first_run: int = 0) -> Job:
        """Takes in a job.

        :param first_run: lower bound of the run numbers to use; above 0 for a job that another
            holder may have begun.
        """
        job = Job(stored.spec, stored.accepted_unix_s, now_s, entry=entry)
        is_loaded = first_run > 0
        status = TaskStatus.UNRESOLVED if is_loaded else TaskStatus.WAITING
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
        job.left = sum(task.status is not TaskStatus.DONE for task in job.tasks.values())
        job.started = is_loaded and bool(stored.progress.done or stored.progress.failures)
        self.jobs[stored.spec.job_id] = job
        if not is_loaded:
            self._release_steps(job)
        return job

    def find_task(self, name: TaskName) -> Task | None:
        """Finds a task of an open job whose outcome is still to come."""
        job = self.jobs.get(name.job_id)
        if job is None or job.is_final:
            return None
        return job.tasks.get((name.step, name.index))

    def state(self, job_id: str) -> JobState | None:
        """Returns a job's state; ``None`` if it isn't known here."""
        job = self.jobs.get(job_id)
        return job.state if job is not None else self._outcomes.get(job_id)

    def remember_outcome(self, job_id: str, state: JobState) -> None:
        """Keeps the outcome of a job that is not open."""
        self._outcomes[job_id] = state
        while len(self._outcomes) > REMEMBERED_FINAL_JOBS:
            self._outcomes.popitem(last=False)

    def close(self, job: Job) -> None:
        """Ends the care for a job whose outcome is stored."""
        self.jobs.pop(job.spec.job_id, None)
        self.remember_outcome(job.spec.job_id, job.state)

    def resolve(self, job: Job) -> None:
        """Lets all tasks wait that no endpoint knows of."""
        for task in job.tasks.values():
            if task.status is TaskStatus.UNRESOLVED:
                task.status = TaskStatus.WAITING
        self._release_steps(job)

    def note_ordered(self, task: Task, instance: EndpointInstance, now_s: float) -> None:
        """Notes that a waiting task is being started under a new run number."""
        job = self.jobs[task.name.job_id]
        job.waiting.remove(task)
        job.started = True
        job.state = JobState.RUNNING
        task.run += 1
        task.orders += 1
        task.status = TaskStatus.STARTING
        task.instance = instance
        task.ordered_s = task.started_s = now_s
        task.progress_percent = 0
        task.progressed_s = now_s

    def note_running(self, task: Task, instance: EndpointInstance, run: int, now_s: float) -> None:
        """Notes that an endpoint runs the task."""
        if task.status is not TaskStatus.RUNNING or task.instance != instance:
            task.started_s = task.progressed_s = now_s
        job = self.jobs[task.name.job_id]
        if task.status is TaskStatus.WAITING:
            job.waiting.remove(task)
        job.started = True
        job.state = JobState.RUNNING
        task.status, task.instance, task.run = TaskStatus.RUNNING, instance, run

    def note_not_running(self, task: Task) -> None:
        """Lets an active task wait again: its newest run is certainly over."""
        task.instance = None
        task.status = TaskStatus.WAITING
        self.jobs[task.name.job_id].waiting.append(task)

    def note_end(self, task: Task, end: EndedRun, instance: EndpointInstance) -> None:
        """Applies the end of a run, which may be an earlier one than the task's newest."""
        if task.status is TaskStatus.DONE:
            return
        job = self.jobs[task.name.job_id]
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
            task.failed_at.add(instance.endpoint_id)
            if len(task.failed_runs) >= job.spec.terms.max_attempts:
                job.state = JobState.FAILED
                job.waiting.clear()
                return
        task.run = max(task.run, end.run)
        if is_newest and task.status in ACTIVE_STATUSES:
            self.note_not_running(task)

    def cancel(self, job: Job) -> None:
        """Cancels a job, whose active tasks must be stopped then."""
        job.state = JobState.CANCELLED
        job.waiting.clear()

    def waiting_jobs(self) -> Iterator[Job]:
        """Lists the jobs with tasks that may be started."""
        return (job for job in self.jobs.values() if job.waiting)

    def count_pending(self, queue: str) -> int:
        """Counts a queue's open jobs of which no task has begun."""
        return sum(
            not job.started and not job.is_final and job.spec.terms.queue == queue
            for job in self.jobs.values()
        )

    def _note_done(self, job: Job, task: Task) -> None:
        if task.status is TaskStatus.WAITING:
            job.waiting.remove(task)
        task.status = TaskStatus.DONE
        task.instance = None
        job.started = True
        job.left -= 1
        if not job.left:
            job.state = JobState.COMPLETED
        else:
            job.state = JobState.RUNNING
            self._release_steps(job)

    def _release_steps(self, job: Job) -> None:
        """Sorts tasks into those that wait for room and those that wait for earlier steps."""
        done_steps = {
            number
            for number, step in enumerate(job.spec.steps)
            if all(job.tasks[number, i].status is TaskStatus.DONE for i in range(step.count))
        }
        for (number, _), task in job.tasks.items():
            is_free = done_steps.issuperset(job.spec.steps[number].after)
            if task.status in (TaskStatus.WAITING, TaskStatus.BLOCKED):
                if is_free and task not in job.waiting:
                    job.waiting.append(task)
                task.status = TaskStatus.WAITING if is_free else TaskStatus.BLOCKED
