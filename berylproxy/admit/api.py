"""HTTP API for callers."""

from collections.abc import Awaitable, Callable

from msgspec.structs import replace
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route

from berylproxy.admit.answers import (
    make_error_response,
    make_job_response,
    make_request_response,
)
from berylproxy.admit.authorization import authorize_team
from berylproxy.admit.errors import (
    AdmitError,
    BodyTooLargeError,
    HeaderInvalidError,
    NotReadyError,
)
from berylproxy.admit.schemas import (
    MAX_TIMEOUT_S,
    IdentifierRequestSchema,
    SubmissionSchema,
    parse_body,
)
from berylproxy.constants import (
    IDEMPOTENCY_KEY_HEADER,
    JSON_CONTENT_TYPE,
    MAX_IDEMPOTENCY_KEY_CHARACTERS,
    MAX_SUBMISSION_BYTES,
    REPEATABLE_HEADER,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    TRACEPARENT_HEADER,
)
from berylproxy.deduplicate.messages import JobState
from berylproxy.deduplicate.router import JobRouter, make_refusal
from berylproxy.errors import BerylproxyError
from berylproxy.http_responses import make_json_response
from berylproxy.models import Outcome, Submission, Task
from berylproxy.records.models import Configuration
from berylproxy.tracing import Tracer

NOT_READY_RETRY_AFTER_S = 1.0
SINGLE_TASK_ID = "request"
SERVICE_DEFAULT_TIMEOUT_S = 0.0  # stands for the timeout in the service's record
BOOLEAN_VALUES = {"true": True, "false": False}

Handler = Callable[[Request], Awaitable[Response]]


class CallerApi:
    """Validates callers' requests and passes them to the job router.

    :param configuration: returns the configuration in force.
    :param is_accepting: returns whether new work is accepted; a stopping daemon accepts work for a
        while.
    :param identifier_validity_s: time within which a minted identifier must be used first.
    """

    def __init__(
        self,
        router: JobRouter,
        tracer: Tracer,
        configuration: Callable[[], Configuration],
        is_accepting: Callable[[], bool],
        identifier_validity_s: float,
    ) -> None:
        self._router = router
        self._tracer = tracer
        self._configuration = configuration
        self._is_accepting = is_accepting
        self._identifier_validity_s = identifier_validity_s

    def routes(self) -> list[Route]:
        """Returns the routes of this API."""
        job_path = "/v1/jobs/{job_id}"
        return [
            Route("/v1/job-ids", _with_error_responses(self.mint), methods=["POST"]),
            Route("/v1/jobs", _with_error_responses(self.submit), methods=["POST"]),
            Route(job_path, _with_error_responses(self.fetch), methods=["GET"]),
            Route(job_path, _with_error_responses(self.cancel), methods=["DELETE"]),
            Route(
                "/v1/services/{service}/requests",
                _with_error_responses(self.request),
                methods=["POST"],
            ),
        ]

    async def mint(self, request: Request) -> Response:
        """Mints identifiers for later submissions."""
        team = authorize_team(request, self._configuration())
        self._check_accepting()
        body = await _read_body(request)
        identifier_request = parse_body(IdentifierRequestSchema, body or b"{}")
        ids = self._router.mint(identifier_request.count, team)
        return make_json_response({"ids": ids, "valid_for_s": self._identifier_validity_s})

    async def submit(self, request: Request) -> Response:
        """Submits a job; responds when the job has ended or the requested wait has passed."""
        schema = parse_body(SubmissionSchema, await _read_body(request))
        submission = Submission(
            schema.id or "",
            _read_idempotency_key(request, schema.id or ""),
            "",
            schema.service,
            tuple(task.to_task() for task in schema.tasks),
            schema.timeout_s or SERVICE_DEFAULT_TIMEOUT_S,
            schema.repeatable,
            request.headers.get(TRACEPARENT_HEADER, ""),
        )
        wait_s = MAX_TIMEOUT_S if schema.wait_s is None else schema.wait_s
        return make_job_response(await self._submit(request, submission, wait_s))

    async def request(self, request: Request) -> Response:
        """Handles a single request, which is submitted as a job with one task."""
        content_type = request.headers.get("content-type", JSON_CONTENT_TYPE)
        task = Task(SINGLE_TASK_ID, await _read_body(request), content_type, {})
        job_id = request.headers.get(REQUEST_ID_HEADER, "")
        submission = Submission(
            job_id,
            _read_idempotency_key(request, job_id),
            "",
            request.path_params["service"],
            (task,),
            _read_timeout_s(request),
            _read_repeatable(request),
            request.headers.get(TRACEPARENT_HEADER, ""),
        )
        return make_request_response(await self._submit(request, submission, MAX_TIMEOUT_S))

    async def fetch(self, request: Request) -> Response:
        """Responds with a job's state, after waiting for its end for up to ``wait_s``."""
        team = authorize_team(request, self._configuration())
        wait_s = _parse_seconds(request.query_params.get("wait_s", "0"), "wait_s")
        state = await self._router.fetch(request.path_params["job_id"], team, wait_s)
        return make_job_response(state)

    async def cancel(self, request: Request) -> Response:
        """Cancels a job and responds with its state."""
        team = authorize_team(request, self._configuration())
        return make_job_response(await self._router.cancel(request.path_params["job_id"], team))

    async def _submit(self, request: Request, submission: Submission, wait_s: float) -> JobState:
        is_identified = bool(submission.job_id or submission.idempotency_key)
        try:
            team = authorize_team(request, self._configuration())
            job_id = submission.job_id if is_identified else self._mint_identifier(team)
        except AdmitError as error:
            # An earlier submission with the caller's identifier or key may be running, so that
            # this daemon can't state that the work has not run.
            outcome = Outcome.UNKNOWN if is_identified else Outcome.NOT_RUN
            return JobState(submission.job_id, make_refusal(submission.job_id, error, outcome))
        attributes = {"job_id": job_id, "tasks": len(submission.tasks)}
        with self._tracer.span("admit", submission.traceparent, **attributes) as span:
            traced_submission = replace(
                submission, job_id=job_id, team=team, traceparent=span.traceparent
            )
            return await self._router.submit(traced_submission, wait_s)

    def _mint_identifier(self, team: str) -> str:
        self._check_accepting()
        return self._router.mint(1, team)[0]

    def _check_accepting(self) -> None:
        if not self._is_accepting():
            raise NotReadyError(
                "this daemon accepts no new work at present",
                hint="try another daemon",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )


def _with_error_responses(handler: Handler) -> Handler:
    """Wraps a handler so that its errors become error responses."""

    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except BerylproxyError as error:
            return make_error_response(error)

    return handle


async def _read_body(request: Request) -> bytes:
    # One buffer that grows would be moved about the heap, which keeps the room that it leaves.
    chunks, size_bytes = [], 0
    try:
        async for chunk in request.stream():
            chunks.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > MAX_SUBMISSION_BYTES:
                raise BodyTooLargeError(f"the body is larger than {MAX_SUBMISSION_BYTES} bytes")
    except ClientDisconnect as error:
        raise HeaderInvalidError("the connection was closed within the body") from error
    return b"".join(chunks)


def _read_idempotency_key(request: Request, job_id: str) -> str:
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise HeaderInvalidError(
            f"{IDEMPOTENCY_KEY_HEADER} has more than {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
        )
    if key and job_id:
        raise HeaderInvalidError(f"{IDEMPOTENCY_KEY_HEADER} and an id can't be combined")
    return key


def _read_repeatable(request: Request) -> bool:
    text = request.headers.get(REPEATABLE_HEADER, "false").lower()
    if text not in BOOLEAN_VALUES:
        raise HeaderInvalidError(f"{REPEATABLE_HEADER} must be true or false")
    return BOOLEAN_VALUES[text]


def _read_timeout_s(request: Request) -> float:
    text = request.headers.get(TIMEOUT_HEADER)
    return SERVICE_DEFAULT_TIMEOUT_S if text is None else _parse_seconds(text, TIMEOUT_HEADER)


def _parse_seconds(text: str, name: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds <= MAX_TIMEOUT_S:
        raise HeaderInvalidError(f"{name} must be from 0 to {MAX_TIMEOUT_S:.0f} seconds")
    return seconds
