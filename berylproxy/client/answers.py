"""Parses a daemon's answer and checks that it belongs to the call."""

from typing import NoReturn

from pydantic import ValidationError

from berylproxy.client.connection import Reply
from berylproxy.client.errors import (
    AnswerMismatchError,
    ClientError,
    JobFailedError,
    NotRunError,
    OutcomeUnknownError,
)
from berylproxy.client.models import (
    ErrorBody,
    JobAnswer,
    JobAnswerBody,
    JobState,
    RequestAnswer,
    TaskAnswer,
)
from berylproxy.constants import OUTCOME_HEADER, REQUEST_ID_HEADER
from berylproxy.models import Outcome

OUTCOME_ERRORS: dict[Outcome, type[ClientError]] = {
    Outcome.NOT_RUN: NotRunError,
    Outcome.FAILED: JobFailedError,
    Outcome.UNKNOWN: OutcomeUnknownError,
}
MIN_ERROR_STATUS = 400


def read_job_answer(
    reply: Reply, job_id: str, task_ids: tuple[str, ...] | None = None
) -> JobAnswer:
    """Returns the answer of a job that is running or done; raises the job's error otherwise.

    The error's ``job_id`` is empty if the daemon refused the call before it read the job's
    identifier.

    :param task_ids: identifiers of the job's tasks in order; ``None`` if the caller of this
        function does not know them.
    :raises AnswerMismatchError: if the answer belongs to another job or contradicts itself.
    :raises ClientError: if the job was not run, failed or has an unknown outcome.
    """
    body = _parse_job_answer(reply)
    _check_consistency(body, reply.status, job_id)
    if body.outcome in OUTCOME_ERRORS:
        _raise_outcome_error(body)
    if body.outcome is Outcome.DONE:
        _check_results(body, task_ids)
    return JobAnswer(
        job_id=job_id,
        state=body.state,
        outcome=body.outcome,
        code=body.code,
        message=body.message,
        retry_after_s=body.retry_after_s,
        results=tuple(TaskAnswer(result.id, result.payload) for result in body.results),
    )


def read_request_answer(reply: Reply, request_id: str) -> RequestAnswer:
    """Returns the endpoint's answer to a request; raises the request's error if there is none.

    :raises AnswerMismatchError: if the answer belongs to another request.
    """
    returned_id = reply.headers.get(REQUEST_ID_HEADER, request_id)
    if returned_id != request_id:
        raise AnswerMismatchError(f"the answer is for request {returned_id!r}", job_id=request_id)
    outcome = _read_outcome(reply, request_id)
    if outcome is Outcome.DONE:
        content_type = reply.headers.get("Content-Type", "")
        return RequestAnswer(request_id, reply.status, content_type, reply.body)
    error = _parse_error(reply) or ErrorBody(code=outcome)
    if error.id not in ("", request_id):
        raise AnswerMismatchError(f"the answer is for request {error.id!r}", job_id=request_id)
    details = {"body": reply.body} if outcome is Outcome.FAILED else {}
    raise OUTCOME_ERRORS[outcome](
        error.message or f"the request ended as {outcome}",
        hint=error.hint,
        retry_after_s=_read_retry_after_s(reply, error.retry_after_s),
        code=error.code,
        job_id=error.id,
        **details,
    )


def raise_refusal(reply: Reply) -> NoReturn:
    """Raises the error of a call that does not concern a job.

    :raises NotRunError: with the code that the daemon sent.
    :raises AnswerMismatchError: if the body is not an error of a daemon.
    """
    error = _parse_error(reply)
    if error is None:
        raise AnswerMismatchError(f"status {reply.status} without an error body")
    raise NotRunError(
        error.message,
        hint=error.hint,
        retry_after_s=_read_retry_after_s(reply, error.retry_after_s),
        code=error.code,
    )


def _parse_job_answer(reply: Reply) -> JobAnswerBody:
    try:
        return JobAnswerBody.model_validate_json(reply.body)
    except ValidationError as error:
        raise AnswerMismatchError(
            f"status {reply.status} without the body of a job's answer"
        ) from error


def _check_consistency(body: JobAnswerBody, status: int, job_id: str) -> None:
    # The refusal of a submission whose identifier was not read yet carries no identifier.
    is_unidentified_refusal = body.outcome is Outcome.NOT_RUN and not body.id
    if body.id != job_id and not is_unidentified_refusal:
        raise AnswerMismatchError(f"the answer is for job {body.id!r}", job_id=job_id)
    if (status >= MIN_ERROR_STATUS) != (body.outcome in OUTCOME_ERRORS):
        raise AnswerMismatchError(f"status {status} contradicts the body", job_id=job_id)
    if (body.state is JobState.RUNNING) != (body.outcome is None):
        raise AnswerMismatchError(f"state {body.state} contradicts the outcome", job_id=job_id)


def _check_results(body: JobAnswerBody, task_ids: tuple[str, ...] | None) -> None:
    returned_ids = tuple(result.id for result in body.results)
    if task_ids is not None and returned_ids != task_ids:
        raise AnswerMismatchError(
            f"the answer's {len(returned_ids)} results do not match the"
            f" {len(task_ids)} submitted tasks",
            job_id=body.id,
        )


def _raise_outcome_error(body: JobAnswerBody) -> NoReturn:
    raise OUTCOME_ERRORS[body.outcome](
        body.message or f"the job ended as {body.outcome}",
        hint=body.hint,
        retry_after_s=body.retry_after_s,
        code=body.code,
        job_id=body.id,
    )


def _read_outcome(reply: Reply, request_id: str) -> Outcome:
    try:
        return Outcome(reply.headers.get(OUTCOME_HEADER, ""))
    except ValueError as error:
        raise AnswerMismatchError(
            f"status {reply.status} without a valid {OUTCOME_HEADER} header", job_id=request_id
        ) from error


def _parse_error(reply: Reply) -> ErrorBody | None:
    try:
        return ErrorBody.model_validate_json(reply.body)
    except ValidationError:
        return None


def _read_retry_after_s(reply: Reply, body_retry_after_s: float | None) -> float | None:
    if body_retry_after_s is not None:
        return body_retry_after_s
    header = reply.headers.get("Retry-After", "")
    return float(header) if header.isdecimal() else None
