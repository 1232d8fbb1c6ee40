"""The HTTP interface through which operators read and change records."""

import math
import re
from collections.abc import Awaitable, Callable
from typing import Any

from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route

from berylproxy.errors import BerylproxyError
from berylproxy.http_responses import make_json_response
from berylproxy.records.editor import RecordEditor
from berylproxy.records.envelope import make_key, parse_json, split_key
from berylproxy.records.errors import (
    BodyTooLargeError,
    FieldProblem,
    JsonMalformedError,
    PreconditionRequiredError,
    RecordConflictError,
    RecordError,
    RecordInvalidError,
    RecordNotFoundError,
    RecordOutcomeUnknownError,
)
from berylproxy.records.schemas import parse_kind
from berylproxy.records.view import RecordView, ViewedRecord
from berylproxy.store.port import ABSENT_REVISION

MAX_BODY_BYTES = 64 * 1024
ETAG_PATTERN = re.compile(r'"([1-9][0-9]{0,18})"')
OPERATOR_TOKEN_REQUIRED = "operator_token_required"

Authorize = Callable[[Request], None]
Handler = Callable[[Request], Awaitable[Response]]


def make_record_routes(view: RecordView, editor: RecordEditor, authorize: Authorize) -> list[Route]:
    """Makes the routes of ``/v1/records``.

    :param authorize: raises a :class:`BerylproxyError` unless an operator sent the request.
    """
    api = RecordApi(view, editor)

    def guard(handler: Handler) -> Handler:
        async def handle(request: Request) -> Response:
            try:
                authorize(request)
                return await handler(request)
            except BerylproxyError as error:
                return make_error_response(error)

        return handle

    record_path = "/v1/records/{kind}/{name}"
    return [
        Route("/v1/records/validate", guard(api.validate), methods=["POST"]),
        Route("/v1/records/{kind}", guard(api.list_records), methods=["GET"]),
        Route(record_path, guard(api.get_record), methods=["GET"]),
        Route(record_path, guard(api.put_record), methods=["PUT"]),
        Route(record_path, guard(api.delete_record), methods=["DELETE"]),
    ]


class RecordApi:
    """HTTP handlers for the operators' requests."""

    def __init__(self, view: RecordView, editor: RecordEditor) -> None:
        self._view = view
        self._editor = editor

    async def list_records(self, request: Request) -> Response:
        """Returns all records of a kind."""
        kind = parse_kind(request.path_params["kind"])
        records = [describe_record(record) for record in self._view.list_kind(kind)]
        return make_json_response({"revision": self._view.revision, "records": records})

    async def get_record(self, request: Request) -> Response:
        """Returns one record, with its revision as the entity tag."""
        kind = parse_kind(request.path_params["kind"])
        name = request.path_params["name"]
        record = self._view.find(make_key(kind, name))
        if record is None:
            raise RecordNotFoundError(f"no such record: {kind}/{name}")
        headers = {"ETag": f'"{record.entry.revision}"'}
        return make_json_response(describe_record(record), headers=headers)

    async def put_record(self, request: Request) -> Response:
        """Applies a record at the expected revision."""
        expected_revision = read_expected_revision(request)
        raw = parse_json(await read_body(request))
        kind = request.path_params["kind"]
        revision = await self._editor.put(kind, request.path_params["name"], raw, expected_revision)
        return make_revision_response(revision)

    async def delete_record(self, request: Request) -> Response:
        """Deletes a record at the expected revision."""
        expected_revision = read_expected_revision(request)
        kind = request.path_params["kind"]
        revision = await self._editor.delete(kind, request.path_params["name"], expected_revision)
        return make_revision_response(revision)

    async def validate(self, request: Request) -> Response:
        """Validates a record without writing it."""
        body = parse_json(await read_body(request))
        if not isinstance(body, dict):
            raise RecordInvalidError("body", (FieldProblem("", "must be a JSON object"),))
        for field in ("kind", "name"):
            if not isinstance(body.get(field), str):
                raise RecordInvalidError("body", (FieldProblem(field, "must be a string"),))
        self._editor.validate(body["kind"], body["name"], body.get("record"))
        return make_json_response({"valid": True})


def describe_record(record: ViewedRecord) -> dict[str, Any]:
    """Returns the JSON representation of a record for operators.

    ``revision_in_force`` differs from ``revision`` if the record as written is not in force.
    """
    kind, name = split_key(record.entry.key)
    return {
        "kind": kind,
        "name": name,
        "revision": record.entry.revision,
        "revision_in_force": record.revision_in_force,
        "change_id": record.change_id,
        "record": record.raw,
    }


def read_expected_revision(request: Request) -> int:
    """Reads the expected revision from ``If-Match`` or ``If-None-Match``.

    :raises PreconditionRequiredError: unless exactly one of the headers is present and valid.
    """
    if_match = request.headers.get("if-match")
    if_none_match = request.headers.get("if-none-match")
    if if_match is None and if_none_match == "*":
        return ABSENT_REVISION
    match = ETAG_PATTERN.fullmatch(if_match or "")
    if match is None or if_none_match is not None:
        raise PreconditionRequiredError(
            "the expected revision is missing or cannot be read",
            hint='send If-Match: "<revision>" for a change, If-None-Match: * for a new record',
        )
    return int(match.group(1))


async def read_body(request: Request) -> bytes:
    """Reads the request body, up to the limit.

    :raises BodyTooLargeError: as soon as the body exceeds the limit.
    :raises JsonMalformedError: if the client disconnects before the body is complete.
    """
    body = bytearray()
    try:
        async for chunk in request.stream():
            body += chunk
            if len(body) > MAX_BODY_BYTES:
                raise BodyTooLargeError(f"the body is longer than {MAX_BODY_BYTES} bytes")
    except ClientDisconnect as error:
        raise JsonMalformedError("the client disconnected before the body was complete") from error
    return bytes(body)


def make_revision_response(revision: int) -> Response:
    """Builds the response to an accepted change."""
    return make_json_response({"revision": revision}, headers={"ETag": f'"{revision}"'})


def choose_status(error: BerylproxyError) -> int:
    """Returns the HTTP status for an error."""
    if isinstance(error, RecordError):
        return error.status
    return 401 if error.code == OPERATOR_TOKEN_REQUIRED else 403


def make_error_response(error: BerylproxyError) -> Response:
    """Builds the JSON response for an error."""
    is_unknown = isinstance(error, RecordOutcomeUnknownError)
    content: dict[str, Any] = {
        "outcome": "outcome_unknown" if is_unknown else "not_run",
        "code": error.code,
        "message": error.message,
        "hint": error.hint,
        "retry_after_s": error.retry_after_s,
    }
    headers = {}
    if isinstance(error, RecordOutcomeUnknownError):
        content["change_id"] = error.change_id
    if isinstance(error, RecordConflictError):
        content["current_revision"] = error.current_revision
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    return make_json_response(content, status=choose_status(error), headers=headers)
