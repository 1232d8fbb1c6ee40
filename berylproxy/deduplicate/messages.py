"""Messages between the entry daemon of a caller's request and the home of its submission."""

from msgspec import Struct

from berylproxy.models import JobAnswer, Submission


class SubmitJob(Struct, frozen=True):
    """Submits a job to its home and waits for the answer.

    :param wait_s: how long the home may wait for the job's end before it replies.
    """

    submission: Submission
    wait_s: float


class FetchJob(Struct, frozen=True):
    """Requests a job's answer from its home.

    :param team: the requesting team; jobs of other teams are reported as not found.
    :param wait_s: how long the home may wait for the job's end before it replies.
    """

    job_id: str
    team: str
    wait_s: float


class CancelJob(Struct, frozen=True):
    """Requests that the home cancel a job."""

    job_id: str
    team: str


class JobState(Struct, frozen=True):
    """State of a job at its home.

    :param answer: the job's answer; ``None`` until the job has finished.
    """

    job_id: str
    answer: JobAnswer | None


JOB_MESSAGES = (SubmitJob, FetchJob, CancelJob, JobState)
