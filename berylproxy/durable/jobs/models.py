"""Data classes of durable jobs, their tasks and the endpoints that run them."""

from enum import StrEnum
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct, field

MAX_AMOUNT = 10**9  # a million cores, or a petabyte of memory
MAX_NUMBER = 2**53 - 1  # the largest integer that all readers of JSON agree on
DEFAULT_REMOTE_FACTOR = 2.0  # the larger one of the known installations

# Types of what others have written or told.
Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]


class JobState(StrEnum):
    """The state of a job; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class FailureCause(StrEnum):
    """Why a job has failed."""

    FAILED_RUNS = "failed_runs"  # runs of a task ended by failing as often as its queue allows
    REJECTED_ORDERS = "rejected_orders"
    CRASHES = "crashes"  # a task crashes the endpoints that start it


class EndKind(StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # its lease expired
    BROKEN = "broken"  # another task of the same gang ended first
    ALONE = "alone"  # the other tasks of its gang did not start in time


class Resources(Struct, frozen=True):
    """Amounts of an endpoint's resources: its capacity, or what a task needs.

    :param cpu_millicores: thousandths of a core.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, available: "Resources") -> bool:
        """Returns whether each amount is at most the available one."""
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


class StepSpec(Struct, frozen=True):
    """Tasks of one kind within a job.

    :param estimate_s: the caller's rough estimate of a task's run time; 0 if not given.
    :param after: numbers of the steps whose tasks must all be done first.
    :param required_label: label that the endpoint must have; empty for none.
    :param preferred_rack: rack where the data is; empty for none.
    :param stays_in_rack: whether its tasks take longer when they run in more than one rack.
    :param max_per_endpoint: largest number of tasks of the step on one endpoint; 0 for no limit.
    :param saves_progress: whether a run can continue from the checkpoint of an earlier one.
    :param image: name of what its tasks run, if the caller gives it; those of one image behave
        alike.
    """

    count: int
    needs: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    required_label: str = ""
    preferred_rack: str = ""
    stays_in_rack: bool = False
    max_per_endpoint: int = 0
    saves_progress: bool = False
    image: str = ""


class QueueTerms(Struct, frozen=True):
    """The settings of a job's queue at the time when the job was accepted.

    The job's objective, the time within which it should be completed, is ``objective_factor`` times
    the run time of its longest chain of steps, plus ``objective_s``.

    :param service: the service whose endpoints run the tasks.
    :param priority: the configured priority, 0 being the highest; the weight of the queue while
        room is scarce.
    :param max_attempts: number of failed runs of one task after which the job fails.
    """

    queue: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    objective_factor: float = 1.0
    objective_s: float = 0.0


class JobSpec(Struct, frozen=True):
    """A job as it was submitted.

    :param payload: text that is sent to the endpoints with each task.
    :param is_kept: whether the job is durable, that is, stored and independent of its caller's
        request; a best-effort job ends with the request.
    """

    job_id: str
    terms: QueueTerms
    payload: str
    steps: tuple[StepSpec, ...]
    is_kept: bool = True

    @property
    def is_durable(self) -> bool:
        """Whether the job is stored and outlives its caller's request; else it is best-effort."""
        return self.is_kept


def kind_of_task(queue: str, step: StepSpec) -> str:
    """Returns the kind of a step's tasks: kinds differ in how they affect each other."""
    return step.image or queue


class TaskName(NamedTuple):
    """Identifies a task among the tasks of all jobs.

    :param step: number of the task's step in the job.
    :param index: number of the task in the step.
    """

    job_id: str
    step: int
    index: int


class EndpointInstance(NamedTuple):
    """One run of an endpoint process; the platform may reuse the identifier of an endpoint.

    :param born_ms: Unix time of the process's start in milliseconds; 0 if unknown.
    """

    endpoint_id: str
    born_ms: int


class EndpointInfo(Struct, frozen=True):
    """An entry of the platform's list of endpoints.

    :param address: ``host:port``.
    :param leaving: whether the endpoint is about to be removed and must get no new tasks.
    :param rack: the rack of the endpoint's VM; empty if unknown.
    :param kind: the VM's hardware kind; empty if unknown.
    :param cold_left_s: how much longer the endpoint stays slow after its start.
    :param revision: revision of the entry in the store; 0 if unknown.
    """

    instance: EndpointInstance
    service: str
    address: str
    failure_domain: str
    capacity: Resources
    leaving: bool = False
    labels: frozenset[str] = frozenset()
    rack: str = ""
    kind: str = ""
    cold_left_s: float = 0.0
    revision: int = 0


class RunningTask(Struct, frozen=True):
    """A run that an endpoint reports as active.

    :param run: number of the run.
    :param saved: the run's last checkpoint; empty if there is none.
    """

    name: TaskName
    run: int
    saved: str
    progress_percent: int


class EndedRun(Struct, frozen=True):
    """The end of a run, which the endpoint remembers until the holder acknowledges it.

    :param number: sequence number of the end within one instance of the endpoint, from 1.
    :param run: number of the run.
    :param saved: the run's last checkpoint; empty if there is none.
    """

    number: int
    name: TaskName
    run: int
    kind: EndKind
    saved: str


class EndpointReport(Struct, frozen=True):
    """An endpoint's answer to a renewal of its lease.

    Nothing follows from what it doesn't list; see :class:`CompleteReport`.

    :param born_ms: Unix time of the endpoint process's start in milliseconds; 0 if unknown.
    :param sent_s: monotonic time at which the renewal was sent; later events may be missing.
    :param unreadable: number of rows that could not be decoded.
    """

    born_ms: int
    sent_s: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    unreadable: int = 0


class CompleteReport(EndpointReport, frozen=True):
    """A report that lists all runs in progress and all ends that the endpoint remembers.

    Only such a report shows that a run is gone.
    """


class Progress(Struct, frozen=True):
    """The stored progress of an unfinished job.

    :param done: tasks that are done, as (step, index).
    :param failures: failed runs as (step, index, run).
    :param crashes: crashes of endpoints at which a task was ordered, as (step, index, crashes,
        those for which no other job can be to blame); earlier versions also count those under runs
        that had not begun, or have none.
    :param begun_crashes: those of them under runs that had begun; earlier versions have none.
    :param possible_crashes: all under runs that had begun or may have; earlier versions have none.
    """

    done: tuple[tuple[int, int], ...] = ()
    failures: tuple[tuple[int, int, int], ...] = ()
    crashes: tuple[tuple[int, int, int, int], ...] = ()
    begun_crashes: tuple[tuple[int, int, int, int], ...] = ()
    possible_crashes: tuple[tuple[int, int, int, int], ...] = ()


class StoredJob(Struct, frozen=True):
    """An unfinished job as it is stored.

    :param accepted_unix_s: Unix time of the job's acceptance.
    """

    spec: JobSpec
    accepted_unix_s: float
    progress: Progress = field(default_factory=Progress)
