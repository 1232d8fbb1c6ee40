"""Messages between daemons about jobs and the holders of groups.

Class names (or ``WIRE_NAME``) and field names are part of the wire format.
"""

from typing import ClassVar

from msgspec import Struct

from berylproxy.durable.jobs.models import JobSpec

TOO_LATE = "its answer would come too late"  # the only reason for a refusal under load
NO_ROOM = "the group has no room for all tasks at once"  # refusal that asks to try another group


class JobSubmission(Struct, frozen=True):
    """Submits a job to the holder.

    The holder replies once it has stored a durable job, or once a best-effort job has ended.

    :param group: the endpoint group that the job belongs to.
    :param attempt: number of former holders that the submission may have reached.
    :param wait_s: how long the caller waits for the reply to a best-effort job.
    :param former_fence: the highest fence of these former holders; 0 for none.
    :param only_if_room: whether to refuse a best-effort job with :data:`NO_ROOM` unless there is
        room for all its tasks at once.
    :param call: number of the caller's request at its entry daemon, the same for all attempts; 0
        from versions that don't count them.
    """

    WIRE_NAME: ClassVar[str] = "HandIn"

    group: str
    job: JobSpec
    attempt: int = 0
    wait_s: float = 0.0
    former_fence: int = 0
    only_if_room: bool = False
    call: int = 0


class JobSubmissionReply(Struct, frozen=True):
    """The holder's reply to a submission.

    :param refusal: empty if the job was accepted; otherwise the reason for which it never runs.
    :param retry_after_s: time after which a refused caller may retry.
    :param state: final state of a best-effort job; empty for a durable one.
    :param room_millicores: with :data:`NO_ROOM`, the processor share that is free.
    """

    WIRE_NAME: ClassVar[str] = "HandInReply"

    refusal: str = ""
    retry_after_s: float = 0.0
    state: str = ""
    room_millicores: int = 0


class DropJob(Struct, frozen=True):
    """Tells the holder that a caller does not wait for a best-effort job any more.

    :param call: number of the caller's request, as in :class:`JobSubmission`.
    :param attempt: the newest attempt that is withdrawn; later ones stay in force.
    """

    group: str
    job_id: str
    call: int = 0
    attempt: int = 0


class AskState(Struct, frozen=True):
    """Asks the holder for a job's state."""

    group: str
    job_id: str


class CancelStored(Struct, frozen=True):
    """Asks the holder to cancel a job and to reply once the cancellation is stored.

    :param has_tombstone: whether the store keeps the job from being accepted from now on, so that
        the holder has to look only for what it has already.
    """

    group: str
    job_id: str
    has_tombstone: bool = False


class StateReply(Struct, frozen=True):
    """The reply to :class:`AskState` and :class:`CancelStored`.

    :param state: the job's state; empty if there is no such job.
    """

    state: str


class AskPending(Struct, frozen=True):
    """Asks the holder how many jobs of a queue have no task started."""

    group: str
    queue: str


class PendingReply(Struct, frozen=True):
    """The reply to :class:`AskPending`.

    :param pending: number of the queue's jobs of which no task has started.
    """

    pending: int


class HolderHeartbeat(Struct, frozen=True):
    """Announces the sender as the holder of a group.

    :param fence: the fence of its tenure; receivers ignore heartbeats with a lower one than known.
    :param endpoints: identifiers of the endpoints that may have runs, and of those that are new in
        the list; versions before 2026-12 name the first only.
    :param leaving: whether another daemon should take over at once.
    :param room_millicores: processor share that is free for further tasks; ``None`` from daemons of
        versions that don't measure it.
    :param interval_s: time until the next heartbeat to the receiver; 0 from versions with the
        same interval for all receivers.
    :param is_released: whether the claim is released: the group has no jobs, and nobody should
        hold it unless its service is configured.
    """

    group: str
    fence: int
    endpoints: tuple[str, ...]
    leaving: bool = False
    room_millicores: int | None = None
    interval_s: float = 0.0
    is_released: bool = False


class JobsEnded(Struct, frozen=True):
    """Notifies the entry daemon of durable jobs of their final states.

    :param states: state by job.
    """

    states: dict[str, str]


class AskAwaitedJobs(Struct, frozen=True):
    """Asks an entry daemon for which best-effort jobs of a group its callers wait."""

    group: str


class AwaitedJobs(Struct, frozen=True):
    """The reply to :class:`AskAwaitedJobs`.

    :param is_complete: whether all jobs are named; if not, none is.
    """

    job_ids: tuple[str, ...]
    is_complete: bool = True


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

# Sent only to daemons that say in their heartbeats that they know them: others would close the
# stream.
ANNOUNCED_MESSAGES = (AskAwaitedJobs, AwaitedJobs)
