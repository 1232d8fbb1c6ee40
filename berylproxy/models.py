"""Data classes that more than one concern shares."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """What became of a job or a request. The set is closed.

    ``NOT_RUN`` is said only where it is certain that no task has started.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "outcome_unknown"


@dataclass(frozen=True, slots=True)
class DaemonIdentity:
    """Names one run of a daemon process.

    :param daemon_id: the daemon's name from its settings, kept over restarts.
    :param incarnation: random name of this run, 12 hexadecimal digits; never reused.
    :param failure_domain: the failure domain from the daemon's settings.
    :param peer_address: ``host:port`` on which other daemons reach it.
    """

    daemon_id: str
    incarnation: str
    failure_domain: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class Task:
    """One unit of work of a job.

    :param task_id: unique within its job.
    :param body: request body for the endpoint.
    :param content_type: media type of the body.
    :param needs: resources that the task takes at its endpoint, by name (``memory_mb``).
    """

    task_id: str
    body: bytes
    content_type: str
    needs: dict[str, int]


@dataclass(frozen=True, slots=True)
class Submission:
    """A checked job as the border hands it to the pipeline.

    :param job_id: the identifier under which it runs at most once; empty until one is minted.
    :param idempotency_key: the caller's own key; empty when none was given.
    :param team: the submitting team's name.
    :param service: the service's name.
    :param tasks: the tasks in the order of the answer.
    :param timeout_s: time from acceptance after which the job is given up on; 0 until the home has
        taken the service's.
    :param repeatable: whether a task may be run again after a finished failure.
    :param traceparent: W3C trace context of the caller; may be empty.
    """

    job_id: str
    idempotency_key: str
    team: str
    service: str
    tasks: tuple[Task, ...]
    timeout_s: float
    repeatable: bool
    traceparent: str


@dataclass(frozen=True, slots=True)
class TaskResult:
    """A task's end.

    :param task_id: the task's identifier.
    :param outcome: what became of it.
    :param code: why, for every outcome but ``DONE``.
    :param message: the same in one line for people.
    :param body: the endpoint's whole answer, for ``DONE``.
    :param content_type: media type of the answer.
    """

    task_id: str
    outcome: Outcome
    code: str = ""
    message: str = ""
    body: bytes = b""
    content_type: str = ""


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The single answer of a job.

    :param results: one for each task in submission order if ``outcome`` is ``DONE``, else empty.
    :param code: why, for every outcome but ``DONE``.
    :param message: the same in one line for people.
    :param hint: what to do next; may be empty.
    :param retry_after_s: when to come back; ``None`` when that cannot help.
    """

    job_id: str
    outcome: Outcome
    code: str = ""
    message: str = ""
    hint: str = ""
    retry_after_s: float | None = None
    results: tuple[TaskResult, ...] = ()
