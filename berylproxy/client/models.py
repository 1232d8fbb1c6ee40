"""Data classes of the client library's interface, and models that validate daemons' answers."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from berylproxy.models import Outcome


class JobState(StrEnum):
    """Whether a job is still running or has ended."""

    RUNNING = "running"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class JobTask:
    """One task of a job.

    :param task_id: identifier of the task, unique within the job.
    :param payload: JSON value that the endpoint receives.
    :param needs: amounts of resources that the task requires, by name (``memory_mb``).
    """

    task_id: str
    payload: Any
    needs: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TaskAnswer:
    """An endpoint's answer to one task."""

    task_id: str
    payload: Any


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """A job's state and, once the job has ended, its complete answer.

    :param outcome: ``None`` while the job is running.
    :param code: error code; empty if there was no error.
    :param retry_after_s: time after which a retry may succeed; ``None`` if it can't help.
    :param results: one for each task in submission order if the outcome is ``DONE``, else empty.
    """

    job_id: str
    state: JobState
    outcome: Outcome | None = None
    code: str = ""
    message: str = ""
    retry_after_s: float | None = None
    results: tuple[TaskAnswer, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """An endpoint's complete answer to a single request."""

    request_id: str
    status: int
    content_type: str
    body: bytes


class ResponseModel(BaseModel):
    """Base of the response bodies; ignores unknown fields, which newer daemons may send."""

    model_config = ConfigDict(extra="ignore")


class JobIdsBody(ResponseModel):
    """Response body of ``POST /v1/job-ids``."""

    ids: list[str] = Field(min_length=1)
    valid_for_s: float = Field(gt=0)


class TaskAnswerBody(ResponseModel):
    """One result in :class:`JobAnswerBody`."""

    id: str
    payload: Any = None


class JobAnswerBody(ResponseModel):
    """Response body of every call about a job, errors included."""

    id: str = ""
    state: JobState
    outcome: Outcome | None = None
    code: str = ""
    message: str = ""
    hint: str = ""
    retry_after_s: float | None = Field(default=None, ge=0)
    results: list[TaskAnswerBody] = Field(default_factory=list)


class ErrorBody(ResponseModel):
    """Body of an error response.

    :param id: identifier of the job or request concerned; empty if there is none.
    """

    id: str = ""
    code: str
    message: str = ""
    hint: str = ""
    retry_after_s: float | None = Field(default=None, ge=0)


class RecordBody(ResponseModel):
    """A configuration record with its revision."""

    kind: str
    name: str
    revision: int
    record: dict[str, Any]


class RecordListBody(ResponseModel):
    """Response body of ``GET /v1/records/{kind}``."""

    revision: int
    records: list[RecordBody]


class RevisionBody(ResponseModel):
    """Response body of a write; holds the record's new revision."""

    revision: int


class StatusBody(ResponseModel):
    """Response body of ``GET /v1/status``."""

    daemon: dict[str, Any]
    peers: list[dict[str, Any]] = Field(default_factory=list)
    groups: list[dict[str, Any]] = Field(default_factory=list)
    endpoints: list[dict[str, Any]] = Field(default_factory=list)
    slowed_pairs: list[dict[str, Any]] = Field(default_factory=list)


class UsageBody(ResponseModel):
    """Response body of ``GET /v1/usage``."""

    revision: int
    usage: list[dict[str, Any]] = Field(default_factory=list)
