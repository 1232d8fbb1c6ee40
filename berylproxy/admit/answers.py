"""HTTP responses to callers: one JSON format, with an HTTP status for each outcome and code."""

import json
from math import ceil

from logbook import Logger
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response

from berylproxy.admit.errors import (
    AdmitError,
    MethodNotAllowedError,
    PathUnknownError,
    TeamTokenRequiredError,
    TeamUnknownError,
)
from berylproxy.constants import (
    CODE_HEADER,
    JSON_CONTENT_TYPE,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)
from berylproxy.deduplicate.errors import (
    IdentifierMalformedError,
    IdentifierReusedError,
    JobNotFoundError,
)
from berylproxy.deduplicate.messages import JobState
from berylproxy.deduplicate.router import make_refusal
from berylproxy.errors import BerylproxyError
from berylproxy.http_responses import make_json_response
from berylproxy.models import JobAnswer, Outcome, TaskResult
from berylproxy.waiting.limits import (
    ServiceUnknownError,
    TaskNeverFitsError,
    TaskTooLargeError,
    TeamQueueFullError,
)

STATUS_RUNNING = 202
STATUS_NOT_FOUND = 404
STATUS_INTERNAL_ERROR = 500
STATUS_OF_OUTCOME = {
    Outcome.DONE: 200,
    Outcome.NOT_RUN: 503,
    Outcome.FAILED: 502,
    Outcome.UNKNOWN: 504,
}
STATUS_OF_CODE = {
    IdentifierMalformedError.code: 400,
    IdentifierReusedError.code: 409,
    JobNotFoundError.code: 404,
    TeamQueueFullError.code: 429,
    ServiceUnknownError.code: 404,
    TaskTooLargeError.code: 413,
    TaskNeverFitsError.code: 422,
    TeamUnknownError.code: TeamUnknownError.status,
    TeamTokenRequiredError.code: TeamTokenRequiredError.status,
    "cancelled": 409,
}

logger = Logger(__name__)


def make_job_response(state: JobState) -> Response:
    """Makes the response that describes a job's state, with its answer if it has ended."""
    answer = state.answer
    if answer is None:
        content = {"id": state.job_id, "state": "running", "outcome": None}
        return make_json_response(content, STATUS_RUNNING)
    content = {
        "id": state.job_id,
        "state": "finished",
        "outcome": answer.outcome.value,
        "code": answer.code,
        "message": answer.message,
        "hint": answer.hint,
        "retry_after_s": answer.retry_after_s,
        "results": [_describe_result(result) for result in answer.results],
    }
    return make_json_response(
        content, _choose_status_code(answer.outcome, answer.code), _make_headers(answer)
    )


def make_request_response(state: JobState) -> Response:
    """Makes the response to a single request: the endpoint's own answer if the request is done."""
    answer = state.answer
    if answer is None or answer.outcome is not Outcome.DONE:
        return make_job_response(state)
    result = answer.results[0]
    headers = {
        OUTCOME_HEADER: Outcome.DONE.value,
        REQUEST_ID_HEADER: state.job_id,
        "Content-Type": result.content_type,
    }
    return Response(result.body, STATUS_OF_OUTCOME[Outcome.DONE], headers)


def make_error_response(error: BerylproxyError) -> Response:
    """Makes the error response to a call that names no job."""
    status = error.status if isinstance(error, AdmitError) else STATUS_OF_OUTCOME[Outcome.NOT_RUN]
    return _make_error(error, Outcome.NOT_RUN, status)


async def answer_http_error(request: Request, error: HTTPException) -> Response:
    """Handles a call that matches no route."""
    if error.status_code == STATUS_NOT_FOUND:
        refusal: AdmitError = PathUnknownError("no such path", hint="see docs/api.md")
    else:
        refusal = MethodNotAllowedError(
            f"the path does not allow {request.method}", hint="see docs/api.md"
        )
    response = make_error_response(refusal)
    response.headers.update(error.headers or {})
    return response


async def answer_internal_error(request: Request, error: Exception) -> Response:
    """Handles a call that failed with an unexpected exception, and logs the exception."""
    logger.error("{} {}: internal error", request.method, request.url.path, exc_info=error)
    response_error = BerylproxyError(
        "internal error: tasks may have run", hint="see the daemon's log"
    )
    return _make_error(response_error, Outcome.UNKNOWN, STATUS_INTERNAL_ERROR)


def _make_error(error: BerylproxyError, outcome: Outcome, status: int) -> Response:
    content = {
        "outcome": outcome.value,
        "code": error.code,
        "message": error.message,
        "hint": error.hint,
        "retry_after_s": error.retry_after_s,
    }
    return make_json_response(content, status, _make_headers(make_refusal("", error, outcome)))


def _choose_status_code(outcome: Outcome, code: str) -> int:
    if outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
        return STATUS_OF_CODE.get(code, STATUS_OF_OUTCOME[outcome])
    return STATUS_OF_OUTCOME[outcome]


def _make_headers(answer: JobAnswer) -> dict[str, str]:
    headers = {OUTCOME_HEADER: answer.outcome.value}
    if answer.code:
        headers[CODE_HEADER] = answer.code
    if answer.retry_after_s is not None:
        headers["Retry-After"] = str(ceil(answer.retry_after_s))
    return headers


def _describe_result(result: TaskResult) -> dict[str, object]:
    text = result.body.decode("utf-8", errors="replace")
    payload: object = text
    if result.content_type.startswith(JSON_CONTENT_TYPE):
        try:
            payload = json.loads(text)
        except ValueError:
            payload = text
    return {"id": result.task_id, "payload": payload}
