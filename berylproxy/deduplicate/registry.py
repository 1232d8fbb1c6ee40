"""The jobs that this daemon is the home of."""

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
ANY_CONTENT = b""  # digest of a job that was cancelled before its content arrived


def digest_submission(submission: Submission) -> bytes:
    """Hashes what makes two submissions the same: team, service, mark and tasks."""
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
    """A job and the digest of its content."""

    job: Job
    digest: bytes


class JobRegistry:
    """Remembers each submission from its first arrival until its answer has been kept long enough.

    :param retention_s: how long an answer is kept.
    :param max_kept_bytes: how much all kept answers may take; the oldest go first.
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
        self._max_kept_bytes = max_retained_bytes
        self._retained_bytes = 0
        self.finished_jobs: Counter[str] = Counter()
        self._evicted: OrderedDict[str, float] = OrderedDict()  # job id -> finished at
        self._finished: OrderedDict[str, float] = OrderedDict()  # job id -> finished at

    def __len__(self) -> int:
        return len(self._jobs)

    def register(self, submission: Submission, timeout_s: float) -> tuple[Job, bool]:
        """Finds the submission's job or makes it; tells whether it is new.

        :param timeout_s: time from now after which a new job is given up on.

        :raises IdentifierReusedError: if the identifier stands for other content.
        :raises IdentifierExpiredError: if it was minted too long ago to be used first now.
        :raises IdentifierMalformedError: if it was never minted here.
        """
        digest = digest_submission(submission)
        registered = self._jobs.get(submission.job_id)
        if registered is not None and registered.job.submission.team == submission.team:
            if registered.digest not in (digest, ANY_CONTENT):
                raise IdentifierReusedError(
                    f"id {submission.job_id} stands for a submission with other content",
                    hint="take a new id for new content",
                )
            return registered.job, False
        self._check_first_use(submission.job_id, submission.team)
        job = Job(submission, self._clock.now_s(), timeout_s)
        self._jobs[submission.job_id] = RegisteredJob(job, digest)
        return job, True

    def cancel_before_submission(self, job_id: str, team: str) -> Job | None:
        """Uses an identifier up before its submission has arrived, which then won't run.

        Returns ``None`` if a submission has arrived.

        :raises IdentifierExpiredError: if it may have run and been forgotten.
        :raises IdentifierMalformedError: if the identifier was never minted here.
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
        """Finds a team's job by its identifier.

        :raises IdentifierExpiredError: if it may have run and been forgotten.
        :raises JobNotFoundError: if no submission has arrived under it.
        """
        registered = self._jobs.get(job_id)
        if registered is not None and registered.job.submission.team == team:
            return registered.job
        self._check_first_use(job_id, team)
        raise JobNotFoundError(f"no job {job_id}", hint="submit it under this id")

    def note_finished(self, job: Job) -> None:
        """Starts the time for which the answer is kept."""
        job.drop_tasks()
        self._finished[job.job_id] = job.finished_s
        self._retained_bytes += job.answer_bytes
        self.finished_jobs[job.answer.outcome.value] += 1

    def evict_old_jobs(self) -> None:
        """Evicts answers kept for the retention time, and the oldest ones beyond the bound."""
        oldest_retained_s = self._clock.now_s() - self._retention_s
        oldest_usable_s = self._clock.now_s() - self._mint.valid_for_s
        while self._finished:
            job_id, finished_s = next(iter(self._finished.items()))
            is_over_bound = self._retained_bytes > self._max_kept_bytes
            if finished_s >= oldest_retained_s and not is_over_bound:
                break
            del self._finished[job_id]
            self._retained_bytes -= self._jobs.pop(job_id).job.answer_bytes
            self._evicted[job_id] = finished_s
        # An identifier that can still be used first must not be taken for a new one.
        while self._evicted and next(iter(self._evicted.values())) < oldest_usable_s:
            self._evicted.popitem(last=False)

    def list_undelivered(self) -> list[Job]:
        """Lists the jobs whose answer nobody has fetched yet."""
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
                hint="take ids from POST /v1/job-ids",
            )
        if job_id in self._evicted:
            raise AnswerEvictedError(f"job {job_id} has ended, its answer is not kept any more")
        if not self._mint.is_usable(identifier.sequence):
            raise IdentifierExpiredError(
                f"id {job_id} is too old to be used: its submission may have run",
                hint="find out at the endpoint's owner before submitting again under a new id",
            )
