"""What daemons tell each other about durable jobs."""

from dataclasses import dataclass
from typing import ClassVar

from berylproxy.durable.models import JobSpec


@dataclass(frozen=True, slots=True)
class JobSubmission:
    """Asks the holder to carry out a job: to store it first, or to answer when it has ended.

    :param group: the endpoint group that the job belongs to.
    :param attempt: how many holders it may have reached before.
    :param wait_s: how long the caller waits for the answer.
    :param former_fence: of the holder that it reached last; 0 for none.
    """

    WIRE_NAME: ClassVar[str] = "HandIn"

    group: str
    job: JobSpec
    attempt: int = 0
    wait_s: float = 0.0
    former_fence: int = 0


@dataclass(frozen=True, slots=True)
class JobSubmissionReply:
    """What the holder made of it.

    :param refusal: empty if the job was taken; else why it was not and never will be.
    :param retry_after_s: when it is useful to come back.
    :param state: how a job that is not kept has ended.
    """

    WIRE_NAME: ClassVar[str] = "HandInReply"

    refusal: str = ""
    retry_after_s: float = 0.0
    state: str = ""


@dataclass(frozen=True, slots=True)
class DropJob:
    """Tells the holder that nobody waits for a job any more."""

    group: str
    job_id: str


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

    :param fence: the fence of its tenure; the highest counts.
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
    JobSubmission,
    JobSubmissionReply,
    DropJob,
    AskState,
    CancelStored,
    StateReply,
    AskPending,
    PendingReply,
    HolderHeartbeat,
    JobsEnded,
)
