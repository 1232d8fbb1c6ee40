"""Messages between the daemon that a caller reached and the home of its submission."""

from dataclasses import dataclass

from berylproxy.models import JobAnswer, Submission


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Hands a submission to its home and waits for the answer.

    :param wait_s: how long the home may wait for the job's end before it replies.
    """

    submission: Submission
    wait_s: float


@dataclass(frozen=True, slots=True)
class FetchJob:
    """Asks a home for a job's answer.

    :param team: the asking team; a job of another team is not told.
    """

    job_id: str
    team: str
    wait_s: float


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Asks a home to give a job up."""

    job_id: str
    team: str


@dataclass(frozen=True, slots=True)
class JobState:
    """A job as its home sees it.

    :param answer: ``None`` while the job runs.
    """

    job_id: str
    answer: JobAnswer | None


JOB_MESSAGES = (SubmitJob, FetchJob, CancelJob, JobState)
