"""Best-effort jobs: held only in the holder's memory, while their callers wait for the end."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from anyio import Event

from berylproxy.durable.decisions.acceptance import Refusal
from berylproxy.durable.decisions.placement import is_too_late
from berylproxy.durable.decisions.routing import count_needed_millicores, has_room
from berylproxy.durable.holding.errors import JobAbandonedError, JobInterruptedError
from berylproxy.durable.holding.ledger import NotHolderError, TenureLostError
from berylproxy.durable.jobs.job_table import Job, JobTable
from berylproxy.durable.jobs.messages import (
    NO_ROOM,
    TOO_LATE,
    DropJob,
    JobSubmission,
    JobSubmissionReply,
)
from berylproxy.durable.jobs.models import JobSpec, JobState, StoredJob
from berylproxy.durable.jobs.run_numbers import RUN_NUMBERS_PER_TENURE
from berylproxy.durable.orders.group import EndpointGroup
from berylproxy.durable.orders.job_log import JobLog
from berylproxy.durable.orders.tenure import Tenure
from berylproxy.errors import BerylproxyError

MAX_CANCELLED_JOBS = 10_000
MAX_WITHDRAWN_CALLS = 20_000


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The decision whether to accept a job, which is not in the job table yet.

    :param stored: the job as it would be stored.
    :param tentative_job: the job with its deadline and expected run time.
    :param waited_s: time since a refusal of the job, if its caller came back as told.
    :param refusal: reply to the caller; ``None`` if the job is accepted.
    """

    stored: StoredJob
    tentative_job: Job
    waited_s: float
    refusal: JobSubmissionReply | None


@dataclass(slots=True, eq=False)
class SharedReply:
    """The holder's reply to a job's submissions, shared by all callers that wait for it.

    The job goes on if a caller stops waiting.

    :ivar answered: set once ``reply`` or ``error`` is, or the tenure is over.
    """

    answered: Event = field(default_factory=Event)
    reply: JobSubmissionReply | None = None
    error: BerylproxyError | None = None


class BestEffortJobs:
    """Accepts, finishes and drops the best-effort jobs of a tenure.

    :param admit: decides whether to accept a job, given the incarnation of its entry daemon, its
        deadline and whether it must be accepted.
    :param expected_run_time_s: returns the expected run time of a job's longest chain of steps.
    :param measure_room_millicores: returns the processor share that is free for further tasks.
    :param on_reopened: called with a job that a former holder may have begun, the monotonic time
        and that holder's fence.
    """

    def __init__(
        self,
        tenure: Tenure,
        job_table: JobTable,
        group: EndpointGroup,
        log: JobLog,
        admit: Callable[[JobSpec, str, float, bool], AdmissionDecision],
        expected_run_time_s: Callable[[JobSpec], float],
        measure_room_millicores: Callable[[], int],
        on_reopened: Callable[[Job, float, int], None],
    ) -> None:
        self._tenure = tenure
        self._job_table = job_table
        self._group = group
        self._log = log
        self._admit = admit
        self._expected_run_time_s = expected_run_time_s
        self._measure_room_millicores = measure_room_millicores
        self._on_reopened = on_reopened
        self._shared_replies: dict[str, SharedReply] = {}
        # Newest withdrawn attempt by entry daemon and call: a submission may be handled later than
        # its withdrawal.
        self._withdrawn: OrderedDict[tuple[str, int], int] = OrderedDict()
        self._cancelled: OrderedDict[str, None] = OrderedDict()  # while nobody had them

    async def run_best_effort(self, message: JobSubmission, entry: str) -> JobSubmissionReply:
        """Runs a job and returns once it has ended; a repeated submission joins the running job.

        :param entry: incarnation of the entry daemon.
        :raises JobAbandonedError: if the job has begun and cannot end in time, or was dropped.
        :raises JobInterruptedError: if the job was dropped meanwhile.
        :raises NotHolderError: if the tenure ended before the job began.
        :raises TenureLostError: if the tenure ended before the job did.
        """
        job_id = message.job.job_id
        if message.attempt <= self._withdrawn.get((entry, message.call), -1):
            raise JobAbandonedError("its caller no longer waits")
        job, outcome = self._job_table.jobs.get(job_id), self._job_table.state(job_id)
        if job is not None:
            job.entry, job.call, job.attempt = entry, message.call, message.attempt
        elif job_id in self._cancelled:
            return JobSubmissionReply(state=JobState.CANCELLED.value)
        elif self._group.is_convicted(job_id):
            return JobSubmissionReply(state=JobState.FAILED.value)
        elif outcome is JobState.CANCELLED and not message.attempt:
            raise JobAbandonedError("the job had begun and was dropped")
        elif outcome not in (None, JobState.CANCELLED):
            return JobSubmissionReply(state=outcome.value)
        else:
            reply = self._open(message, entry)
            if reply is not None:
                return reply
        shared_reply = self._shared_replies.setdefault(job_id, SharedReply())
        await shared_reply.answered.wait()
        if shared_reply.error is not None:
            raise shared_reply.error
        if shared_reply.reply is not None:
            return shared_reply.reply
        job = self._job_table.jobs.get(job_id)
        if job is not None and not job.may_have_begun and not message.attempt:
            raise NotHolderError("the tenure ended before the job began")
        raise TenureLostError("the tenure ended before the job did")

    def _open(self, message: JobSubmission, entry: str) -> JobSubmissionReply | None:
        """Opens a job; returns the reply if it is refused or has ended already."""
        spec, now_s = message.job, self._tenure.clock.now_s()
        if message.only_if_room:
            room_millicores = self._measure_room_millicores()
            endpoints = self._group.endpoints.values()
            if not has_room(room_millicores, count_needed_millicores(spec), endpoints, now_s):
                return JobSubmissionReply(NO_ROOM, room_millicores=room_millicores)
        # An earlier holder may have accepted the job, which is not refused for a change of holder.
        decision = self._admit(spec, entry, now_s + message.wait_s, message.attempt > 0)
        if decision.refusal is not None:
            return decision.refusal
        job = self._job_table.open(
            decision.stored,
            now_s,
            entry=entry,
            first_run=message.attempt * RUN_NUMBERS_PER_TENURE,
            may_have_begun=message.attempt > 0,
            failure_domain=decision.tentative_job.failure_domain,
            waited_s=decision.waited_s,
            is_excess=decision.tentative_job.is_excess,
        )
        job.deadline_s = decision.tentative_job.deadline_s
        job.call, job.attempt = message.call, message.attempt
        self._group.adopt_orphans(job, now_s)
        if job.is_final:
            return JobSubmissionReply(state=job.state.value)
        if message.attempt:
            self._on_reopened(job, now_s, message.former_fence)
        self._group.changed.set()
        return None

    def withdraw(self, message: DropJob, entry: str, reason: str) -> None:
        """Drops a job whose caller at an entry daemon no longer waits for it.

        The job goes on if it was submitted again since, by another call or a later attempt.

        :param entry: incarnation of the entry daemon.
        """
        job = self._job_table.jobs.get(message.job_id)
        if message.call:
            self._note_withdrawn((entry, message.call), message.attempt)
            if job is not None and (job.entry, job.call) != (entry, message.call):
                return
            if job is not None and job.attempt > message.attempt:
                return
        self.drop(message.job_id, reason)

    def _note_withdrawn(self, call: tuple[str, int], attempt: int) -> None:
        self._withdrawn[call] = max(attempt, self._withdrawn.get(call, 0))
        while len(self._withdrawn) > MAX_WITHDRAWN_CALLS:
            self._withdrawn.popitem(last=False)

    def note_cancelled(self, job_id: str) -> None:
        """Records that a job that isn't known here was cancelled: its submission may come later."""
        self._cancelled[job_id] = None
        while len(self._cancelled) > MAX_CANCELLED_JOBS:
            self._cancelled.popitem(last=False)

    def drop(self, job_id: str, reason: str) -> None:
        """Stops a job whose caller, as far as this daemon knows, no longer waits for it.

        The reply is an error that asks for another submission: if the entry daemon is only cut off
        for a while, it must not mistake the drop for a cancellation by the caller.
        """
        job = self._job_table.jobs.get(job_id)
        if job is None or job.is_final or job.spec.is_durable:
            return
        self._log.note_dropped(job, reason)
        self._job_table.cancel(job)
        self.finish(
            job,
            error=JobInterruptedError("the job was dropped: its entry daemon was unreachable"),
        )

    def drop_unneeded(self, now_s: float, is_entry_alive: Callable[[str], bool]) -> None:
        """Ends the jobs whose entry daemon sends no more messages, or that cannot end in time."""
        for job in list(self._job_table.jobs.values()):
            if job.spec.is_durable or job.is_final:
                continue
            if not is_entry_alive(job.entry):
                self.drop(job.spec.job_id, "no message received from its entry daemon")
                continue
            if job.waiting:
                # Run times that were learned since its acceptance.
                job.expected_s = self._expected_run_time_s(job.spec)
            if is_too_late(job, now_s):
                self._abandon_late(job, now_s)

    def _abandon_late(self, job: Job, now_s: float) -> None:
        """Ends a job that cannot end in time, as refused if no task has begun.

        The caller gets its answer at once instead of after its own timeout.
        """
        waiting = len(job.waiting)
        self._job_table.cancel(job)
        if not job.may_have_begun:
            refusal = Refusal("waited")
            self._log.note_refused(job, refusal, now_s - job.accepted_s)
            self.finish(job, JobSubmissionReply(TOO_LATE, refusal.retry_after_s))
            return
        self._log.note_abandoned(job, waiting, now_s)
        self.finish(job, error=JobAbandonedError("the job has begun and cannot end in time"))

    def finish(
        self,
        job: Job,
        reply: JobSubmissionReply | None = None,
        error: BerylproxyError | None = None,
    ) -> None:
        """Stops a job's active runs, closes the job and answers the callers that wait for it.

        :param reply: reply to the callers; by default the job's state.
        :param error: error to raise for the callers instead of a reply.
        """
        self._group.abandon_runs(job)
        job_id = job.spec.job_id
        if job_id not in self._job_table.jobs:
            return
        self._log.note_ended(job)
        self._job_table.close(job)
        shared_reply = self._shared_replies.pop(job_id, None)
        if shared_reply is not None:
            shared_reply.reply = reply or JobSubmissionReply(state=job.state.value)
            shared_reply.error = error
            shared_reply.answered.set()

    def release_callers(self) -> None:
        """Wakes all waiting callers when the tenure is over, so that they retry elsewhere."""
        for shared_reply in self._shared_replies.values():
            shared_reply.answered.set()
