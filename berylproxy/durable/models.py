"""Data classes of durable jobs, their tasks and the endpoints that run them."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class JobState(StrEnum):
    """How far a job has come; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class EndKind(StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class Needs:
    """What a task takes at its endpoint.

    :param cpu_millicores: thousandths of a core.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: "Needs") -> bool:
        """Tells whether this fits into some room."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def __add__(self, other: "Needs") -> "Needs":
        return Needs(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Needs") -> "Needs":
        return Needs(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Tasks of one kind within a job.

    :param estimate_s: the caller's rough run time of a task; 0 if not given.
    :param after: numbers of the steps whose tasks must all be done first.
    :param required_label: label that the endpoint must have; empty for none.
    :param preferred_rack: rack where the data is; empty for none.
    :param stays_in_rack: whether its tasks take longer when they run in more than one rack.
    :param max_per_endpoint: most tasks of the step on one endpoint; 0 for no bound.
    :param saves_progress: whether a run can be taken up where an earlier one was saved.
    """

    count: int
    needs: Needs
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    required_label: str = ""
    preferred_rack: str = ""
    stays_in_rack: bool = False
    max_per_endpoint: int = 0
    saves_progress: bool = False


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """What the configuration says of a job's queue at the time of its acceptance.

    :param service: whose endpoints run the tasks.
    :param priority: 0 goes first.
    :param max_attempts: failed runs of one task after which the job has failed.
    :param objective_factor: the job's objective is this times its longest chain of work ...
    :param objective_s: ... and this time on top.
    """

    queue: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    objective_factor: float = 1.0
    objective_s: float = 0.0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was handed in.

    :param payload: text that goes to the endpoints with each task.
    :param is_kept: whether it is stored and outlives its caller's request; one that is not ends
        with the request.
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


class TaskName(NamedTuple):
    """Names a task over all jobs."""

    job_id: str
    step: int
    index: int


class EndpointInstance(NamedTuple):
    """One life of an endpoint process: the platform may use an endpoint's id again.

    :param born_ms: Unix time of its start; 0 if it doesn't tell.
    """

    endpoint_id: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """What the platform's list says of an endpoint.

    :param address: ``host:port``.
    :param leaving: whether it takes no new work because it is about to go.
    :param rack: where it stands; empty if unknown.
    :param kind: the VM's hardware kind; empty if unknown.
    """

    instance: EndpointInstance
    service: str
    address: str
    failure_domain: str
    capacity: Needs
    leaving: bool = False
    labels: frozenset[str] = frozenset()
    rack: str = ""
    kind: str = ""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that an endpoint reports as present.

    :param saved: what the run last saved; empty for nothing.
    """

    name: TaskName
    run: int
    saved: str
    progress_percent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """The end of a run, as the endpoint keeps it until it is acknowledged.

    :param number: counts the ends of one life of the endpoint from 1.
    """

    number: int
    name: TaskName
    run: int
    kind: EndKind
    saved: str


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """An endpoint's answer to a renewal of its lease.

    :param sent_s: when the question was sent; what happened later may be missing.
    """

    born_ms: int
    sent_s: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    unreadable: int = 0


@dataclass(frozen=True, slots=True)
class Progress:
    """What is stored of an unfinished job besides its specification.

    :param done: tasks that have ended well, as (step, index).
    :param failures: failed runs as (step, index, run).
    """

    done: tuple[tuple[int, int], ...] = ()
    failures: tuple[tuple[int, int, int], ...] = ()


@dataclass(frozen=True, slots=True)
class StoredJob:
    """An unfinished job as the store holds it.

    :param accepted_unix_s: time of day of its acceptance.
    """

    spec: JobSpec
    accepted_unix_s: float
    progress: Progress = field(default_factory=Progress)
