"""Jobs that aren't kept: their callers wait for the end, and the holder's memory has them."""

from collections.abc import Callable
from dataclasses import dataclass, field

from anyio import Event

from berylproxy.durable.acceptance import SHORTEST_RETRY_AFTER_S, TOO_LATE
from berylproxy.durable.group import EndpointGroup
from berylproxy.durable.job_log import JobLog
from berylproxy.durable.job_table import Job, JobTable
from berylproxy.durable.ledger import NotHolderError, TenureLostError
from berylproxy.durable.messages import JobSubmission, JobSubmissionReply
from berylproxy.durable.models import JobSpec, StoredJob
from berylproxy.durable.placement import is_too_late
from berylproxy.durable.tenure import Tenure
from berylproxy.errors import BerylproxyError

RUN_NUMBERS_PER_TENURE = 64  # run numbers of a tenure lie above those of all earlier ones


class JobGivenUpError(BerylproxyError):
    """The job has begun and will not be completed."""

    code = "job_given_up"


class JobInterruptedError(BerylproxyError):
    """The job was dropped although its caller may still wait: it may be handed in again."""

    code = "job_interrupted"


@dataclass(frozen=True, slots=True)
class Admission:
    """A job that was judged by the load, and has not been opened.

    :param draft: with what is expected of it.
    :param refusal: ``None`` if it may be taken.
    """

    stored: StoredJob
    draft: Job
    refusal: JobSubmissionReply | None


@dataclass(slots=True, eq=False)
class Wait:
    """Callers that wait for the holder's reply; they may give up meanwhile."""

    ended: Event = field(default_factory=Event)
    reply: JobSubmissionReply | None = None
    error: BerylproxyError | None = None


class BestEffortJobs:
    """Takes, ends and gives up a tenure's jobs that aren't kept.

    :param admit: judges a job by its time limit, and whether it must be taken.
    :param on_reopened: called with a job that a former holder may have begun, the time and that
        holder's fence.
    """

    def __init__(
        self,
        tenure: Tenure,
        job_table: JobTable,
        group: EndpointGroup,
        log: JobLog,
        admit: Callable[[JobSpec, float, bool], Admission],
        on_reopened: Callable[[Job, float, int], None],
    ) -> None:
        self._tenure = tenure
        self._job_table = job_table
        self._group = group
        self._log = log
        self._admit = admit
        self._on_reopened = on_reopened
        self._waits: dict[str, Wait] = {}

    async def run_best_effort(self, message: JobSubmission, entry: str) -> JobSubmissionReply:
        """Carries a job out and waits for its end.

        :raises JobGivenUpError: if it has begun and can't be of use any more.
        :raises JobInterruptedError: if it was dropped meanwhile.
        :raises TenureLostError: if this daemon is not the holder any more.
        """
        job_id = message.job.job_id
        job, outcome = self._job_table.jobs.get(job_id), self._job_table.state(job_id)
        if job is not None:
            job.entry = entry
        elif outcome is not None and not message.attempt:
            return JobSubmissionReply(state=outcome.value)
        else:
            reply = self._open(message, entry)
            if reply is not None:
                return reply
        wait = self._waits.setdefault(job_id, Wait())
        await wait.ended.wait()
        if wait.error is not None:
            raise wait.error
        if wait.reply is not None:
            return wait.reply
        job = self._job_table.jobs.get(job_id)
        if job is not None and not job.started and not message.attempt:
            raise NotHolderError("the tenure ended before the job began")
        raise TenureLostError("the tenure ended before the job")

    def _open(self, message: JobSubmission, entry: str) -> JobSubmissionReply | None:
        """Takes a job in; returns the answer if there is one already."""
        spec, now_s = message.job, self._tenure.clock.now_s()
        # A job that an earlier holder took is not refused for a change of holder.
        admission = self._admit(spec, now_s + message.wait_s, message.attempt > 0)
        if admission.refusal is not None:
            return admission.refusal
        first_run = message.attempt * RUN_NUMBERS_PER_TENURE
        job = self._job_table.open(admission.stored, now_s, entry=entry, first_run=first_run)
        job.expected_s, job.deadline_s = admission.draft.expected_s, admission.draft.deadline_s
        self._group.adopt_orphans(job, now_s)
        if job.is_final:
            return JobSubmissionReply(state=job.state.value)
        if message.attempt:
            self._on_reopened(job, now_s, message.former_fence)
        self._group.changed.set()
        return None

    def drop(self, job_id: str, reason: str) -> None:
        """Gives a job up: nobody waits for it, as far as this daemon knows.

        An entry that is heard again must not take it for its caller's own cancellation.
        """
        job = self._job_table.jobs.get(job_id)
        if job is None or job.is_final or job.spec.is_durable:
            return
        self._log.note_dropped(job, reason)
        self._job_table.cancel(job)
        self.finish(job, error=JobInterruptedError("its entry daemon was not heard"))

    def drop_unneeded(self, now_s: float, is_entry_alive: Callable[[str], bool]) -> None:
        """Ends the jobs that nobody waits for, or whose answer would come too late."""
        for job in list(self._job_table.jobs.values()):
            if job.spec.is_durable or job.is_final:
                continue
            if not is_entry_alive(job.entry):
                self.drop(job.spec.job_id, "its entry daemon is not heard")
            elif is_too_late(job, now_s):
                self._give_up(job, now_s)

    def _give_up(self, job: Job, now_s: float) -> None:
        """Answers a job at once that can't be of use any more, as refused if it has not begun."""
        waiting = len(job.waiting)
        self._job_table.cancel(job)
        if not job.started:
            self._log.note_refused(job.spec, SHORTEST_RETRY_AFTER_S)
            self.finish(job, JobSubmissionReply(TOO_LATE, SHORTEST_RETRY_AFTER_S))
            return
        self._log.note_given_up(job, waiting, now_s)
        self.finish(job, error=JobGivenUpError("it has begun and its answer would come too late"))

    def finish(
        self,
        job: Job,
        reply: JobSubmissionReply | None = None,
        error: BerylproxyError | None = None,
    ) -> None:
        """Stops what is left of a job and tells its outcome to who waits for it.

        :param reply: if the job's state is not the whole answer.
        :param error: if there is no answer.
        """
        self._group.stop_all_runs(job)
        job_id = job.spec.job_id
        if job_id not in self._job_table.jobs:
            return
        self._log.note_ended(job)
        self._job_table.close(job)
        wait = self._waits.pop(job_id, None)
        if wait is not None:
            wait.reply = reply or JobSubmissionReply(state=job.state.value)
            wait.error = error
            wait.ended.set()

    def abandon(self) -> None:
        """Lets who waits ask the next holder: the tenure is over."""
        for wait in self._waits.values():
            wait.ended.set()
