"""Models that validate callers' request bodies."""

import json
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from berylproxy.admit.errors import JsonMalformedError, SubmissionInvalidError
from berylproxy.constants import (
    JSON_CONTENT_TYPE,
    MAX_IDENTIFIERS_PER_CALL,
    MAX_TASKS_PER_JOB,
)
from berylproxy.models import Task

MAX_TIMEOUT_S = 600.0
MAX_RESOURCE_AMOUNT = 2**63 - 1  # the largest integer that messages between daemons can encode

Schema = TypeVar("Schema", bound=BaseModel)

TaskId = Annotated[str, Field(pattern=r"^[A-Za-z0-9._:-]{1,100}$")]
ResourceName = Annotated[str, Field(pattern=r"^[a-z][a-z0-9_]{0,62}$")]
Duration = Annotated[float, Field(gt=0, le=MAX_TIMEOUT_S, allow_inf_nan=False)]


class TaskSchema(BaseModel):
    """One task of a submission."""

    model_config = ConfigDict(extra="forbid")

    id: TaskId
    payload: Any = None
    needs: dict[ResourceName, Annotated[int, Field(ge=0, le=MAX_RESOURCE_AMOUNT)]] = {}

    def to_task(self) -> Task:
        """Converts the task to the pipeline's model; resources with amount 0 are left out."""
        body = json.dumps(self.payload, separators=(",", ":")).encode()
        needs = {name: amount for name, amount in self.needs.items() if amount}
        return Task(self.id, body, JSON_CONTENT_TYPE, needs)


class SubmissionSchema(BaseModel):
    """Body of a job's submission."""

    model_config = ConfigDict(extra="forbid")

    id: str | None = None
    service: str
    timeout_s: Duration | None = None
    wait_s: Annotated[float, Field(ge=0, le=MAX_TIMEOUT_S, allow_inf_nan=False)] | None = None
    repeatable: bool = False
    tasks: Annotated[list[TaskSchema], Field(min_length=1, max_length=MAX_TASKS_PER_JOB)]

    @model_validator(mode="after")
    def check_task_ids(self) -> "SubmissionSchema":
        """Rejects a job with two tasks of the same identifier."""
        if len({task.id for task in self.tasks}) != len(self.tasks):
            raise ValueError("tasks: two tasks have the same id")
        return self


class IdentifierRequestSchema(BaseModel):
    """Body of a request for identifiers.

    :param count: number of identifiers to mint.
    """

    model_config = ConfigDict(extra="forbid")

    count: Annotated[int, Field(ge=1, le=MAX_IDENTIFIERS_PER_CALL)] = 1


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON value")


def parse_body(schema: type[Schema], body: bytes) -> Schema:
    """Parses and validates a JSON body.

    :raises JsonMalformedError: if the body is not JSON.
    :raises SubmissionInvalidError: if a field is invalid; the message names the field.
    """
    try:
        value = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise JsonMalformedError(
            f"the body is not valid JSON: {error}", hint="send a JSON object"
        ) from error
    try:
        return schema.model_validate(value)
    except ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in first_error["loc"])
        text = f"{field}: {first_error['msg']}" if field else first_error["msg"]
        raise SubmissionInvalidError(text, hint="see docs/api.md") from error
