"""Registry of the jobs whose home this daemon is."""

from collections import Counter, OrderedDict
from dataclasses import dataclass
from hashlib import sha256

from berylproxy.clock import Clock
from berylproxy.collect.job import Job
from berylproxy.deduplicate.errors import (
    AnswerEvictedError,
    IdentifierExpiredError,
    IdentifierMalformedError,
    IdentifierReusedError,
    JobNotFoundError,
)
from berylproxy.deduplicate.identifiers import IdentifierMint, parse_identifier
from berylproxy.models import Submission

MAX_RETAINED_ANSWER_BYTES = 32 * 1024 * 1024
ANY_CONTENT = b""  # digest of a job that was cancelled before its submission arrived


def digest_submission(submission: Submission) -> bytes:
    """Hashes the content by which submissions are compared.

    This is the team, the service, whether the job is repeatable, and the tasks.
    """
    digest = sha256()
    header = (submission.team, submission.service, submission.repeatable, len(submission.tasks))
    digest.update(repr(header).encode())
    for task in submission.tasks:
        digest.update(repr((task.task_id, task.content_type, sorted(task.needs.items()))).encode())
        digest.update(len(task.body).to_bytes(8, "big"))
        digest.update(task.body)
    return digest.digest()


@dataclass(frozen=True, slots=True)
class RegisteredJob:
    """A job and the digest of its submission's content."""

    job: Job
    digest: bytes


class JobRegistry:
    """Holds each job from the arrival of its submission until its answer is evicted.

    :param retention_s: how long an answer is retained.
    :param max_retained_bytes: maximum size of all retained answers; the oldest are evicted first.
    """

    def __init__(
        self,
        mint: IdentifierMint,
        clock: Clock,
        retention_s: float,
        max_retained_bytes: int = MAX_RETAINED_ANSWER_BYTES,
    ) -> None:
        self._mint = mint
        self._clock = clock
        self._retention_s = retention_s
        self._jobs: dict[str, RegisteredJob] = {}
        self._max_retained_bytes = max_retained_bytes
        self._retained_bytes = 0
        self.finished_jobs: Counter[str] = Counter()
        self._evicted: OrderedDict[str, float] = OrderedDict()  # job id -> finished at
        self._finished: OrderedDict[str, float] = OrderedDict()  # job id -> finished at

    def __len__(self) -> int:
        return len(self._jobs)

    def register(self, submission: Submission, timeout_s: float) -> tuple[Job, bool]:
        """Finds or creates the submission's job; returns the job and whether it is new.

        :param timeout_s: time from now until the deadline of a new job.

        :raises IdentifierReusedError: if the identifier was used for other content.
        :raises AnswerEvictedError: if the job has ended and its answer was evicted.
        :raises IdentifierExpiredError: if the identifier is too old for a first use.
        :raises IdentifierMalformedError: if the identifier was never minted here for the team.
        """
        digest = digest_submission(submission)
        registered = self._jobs.get(submission.job_id)
        if registered is not None and registered.job.submission.team == submission.team:
            if registered.digest not in (digest, ANY_CONTENT):
                raise IdentifierReusedError(
                    f"id {submission.job_id} was used for a submission with other content",
                    hint="use a new id for new content",
                )
            return registered.job, False
        self._check_first_use(submission.job_id, submission.team)
        job = Job(submission, self._clock.now_s(), timeout_s)
        self._jobs[submission.job_id] = RegisteredJob(job, digest)
        return job, True

    def cancel_before_submission(self, job_id: str, team: str) -> Job | None:
        """Cancels a job before its submission has arrived, so that the submission will not run.

        Returns ``None`` if the submission has arrived already.

        :raises AnswerEvictedError: if the job has ended and its answer was evicted.
        :raises IdentifierExpiredError: if the identifier is too old: its job may have run.
        :raises IdentifierMalformedError: if the identifier was never minted here for the team.
        """
        if job_id in self._jobs:
            return None
        self._check_first_use(job_id, team)
        placeholder = Submission(job_id, "", team, "", (), 0.0, False, "")
        job = Job(placeholder, self._clock.now_s(), 0.0)
        job.cancel(self._clock.now_s())
        self._jobs[job_id] = RegisteredJob(job, ANY_CONTENT)
        self.note_finished(job)
        return job

    def find(self, job_id: str, team: str) -> Job:
        """Returns a team's job by its identifier.

        :raises AnswerEvictedError: if the job has ended and its answer was evicted.
        :raises IdentifierExpiredError: if the identifier is too old: its job may have run.
        :raises IdentifierMalformedError: if the identifier was never minted here for the team.
        :raises JobNotFoundError: if no submission with the identifier has arrived.
        """
        registered = self._jobs.get(job_id)
        if registered is not None and registered.job.submission.team == team:
            return registered.job
        self._check_first_use(job_id, team)
        raise JobNotFoundError(f"no job {job_id}", hint="submit the job with this id")

    def note_finished(self, job: Job) -> None:
        """Records that a job has finished and starts the retention time of its answer."""
        job.drop_tasks()
        self._finished[job.job_id] = job.finished_s
        self._retained_bytes += job.answer_bytes
        self.finished_jobs[job.answer.outcome.value] += 1

    def evict_old_jobs(self) -> None:
        """Evicts answers past the retention time, and the oldest ones beyond the size limit."""
        oldest_retained_s = self._clock.now_s() - self._retention_s
        oldest_usable_s = self._clock.now_s() - self._mint.valid_for_s
        while self._finished:
            job_id, finished_s = next(iter(self._finished.items()))
            is_over_bound = self._retained_bytes > self._max_retained_bytes
            if finished_s >= oldest_retained_s and not is_over_bound:
                break
            del self._finished[job_id]
            self._retained_bytes -= self._jobs.pop(job_id).job.answer_bytes
            self._evicted[job_id] = finished_s
        # The identifier of an evicted job is remembered for as long as it could pass as unused.
        while self._evicted and next(iter(self._evicted.values())) < oldest_usable_s:
            self._evicted.popitem(last=False)

    def list_undelivered(self) -> list[Job]:
        """Lists the jobs whose answer has not been delivered to a caller yet."""
        return [
            registered.job
            for registered in self._jobs.values()
            if not registered.job.delivered.is_set()
        ]

    def list_unfinished(self) -> list[Job]:
        """Lists the jobs that have no answer yet."""
        return [
            registered.job for registered in self._jobs.values() if not registered.job.is_finished
        ]

    def _check_first_use(self, job_id: str, team: str) -> None:
        identifier = parse_identifier(job_id)
        if identifier is None or not self._mint.was_minted(identifier, team):
            raise IdentifierMalformedError(
                f"id {job_id} was not minted here for this team",
                hint="request ids from POST /v1/job-ids",
            )
        if job_id in self._evicted:
            raise AnswerEvictedError(f"job {job_id} has ended, its answer is no longer retained")
        if not self._mint.is_usable(identifier.sequence):
            raise IdentifierExpiredError(
                f"id {job_id} is too old to be used: its submission may have run",
                hint="check with the endpoint's owner before submitting again with a new id",
            )
