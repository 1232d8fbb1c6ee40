"""What daemons tell each other about durable jobs."""

from dataclasses import dataclass

from berylproxy.durable.models import JobSpec


@dataclass(frozen=True, slots=True)
class HandIn:
    """Asks the holder to store and carry out a job."""

    job: JobSpec


@dataclass(frozen=True, slots=True)
class HandInReply:
    """What the holder made of it.

    :param refusal: empty if the job is stored; else why it is not and never will be.
    :param retry_after_s: when it is useful to come back.
    """

    refusal: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AskState:
    """Asks the holder for a job's state."""

    group: str
    job_id: str


@dataclass(frozen=True, slots=True)
class CancelStored:
    """Asks the holder to cancel a job."""

    group: str
    job_id: str


@dataclass(frozen=True, slots=True)
class StateReply:
    """A job's state; empty if there is no such job."""

    state: str


@dataclass(frozen=True, slots=True)
class AskPending:
    """Asks how many jobs of a queue have no task started."""

    group: str
    queue: str


@dataclass(frozen=True, slots=True)
class PendingReply:
    """The number of such jobs."""

    pending: int


@dataclass(frozen=True, slots=True)
class HolderHeartbeat:
    """Tells that the sender is the holder of a group.

    :param fence: revision of its claim; the highest counts.
    :param endpoints: identifiers of the endpoints that it has given work.
    :param leaving: whether another daemon should take over at once.
    """

    group: str
    fence: int
    endpoints: tuple[str, ...]
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class JobsEnded:
    """Tells the daemon that handed jobs in how they ended."""

    states: dict[str, str]


DURABLE_MESSAGES = (
    HandIn,
    HandInReply,
    AskState,
    CancelStored,
    StateReply,
    AskPending,
    PendingReply,
    HolderHeartbeat,
    JobsEnded,
)
