"""Client for operators: manages configuration records and reads a daemon's status and usage."""

import json
from collections.abc import Sequence
from typing import Any, TypeVar
from urllib.parse import quote

from httpx import AsyncBaseTransport
from pydantic import BaseModel, ValidationError

from berylproxy.client.connection import Call, ConnectionPool, Reply
from berylproxy.client.errors import (
    AnswerLostError,
    AnswerMismatchError,
    CannotConnectError,
    ClientError,
    NotRunError,
    OutcomeUnknownError,
    RecordConflictError,
    RecordRefusedError,
)
from berylproxy.client.models import (
    ErrorBody,
    RecordBody,
    RecordListBody,
    RevisionBody,
    StatusBody,
    UsageBody,
)
from berylproxy.constants import JSON_CONTENT_TYPE

CALL_TIMEOUT_S = 10.0
ABSENT_REVISION = 0  # expected revision of a record that must not exist yet
PRECONDITION_FAILED_STATUS = 412
NOT_FOUND_STATUS = 404
INVALID_RECORD_STATUSES = (400, 409, 413, 422, 428)
Body = TypeVar("Body", bound=BaseModel)


class OperatorClient:
    """Reads and changes configuration records through any daemon.

    :param base_urls: base URLs of the daemons, in order of preference; if one cannot be reached,
        the next one is called.
    :param token: the operator's token; empty if the daemons require none.
    :param transport: replaces the HTTP transport in tests.
    """

    def __init__(
        self,
        base_urls: Sequence[str],
        *,
        token: str = "",
        transport: AsyncBaseTransport | None = None,
    ) -> None:
        self._base_urls = tuple(base_urls)
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._connection_pool = ConnectionPool(headers, transport)

    async def __aenter__(self) -> "OperatorClient":
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._connection_pool.close()

    async def list_records(self, kind: str) -> RecordListBody:
        """Reads all records of a kind.

        :raises ClientError: if they could not be read.
        """
        reply = await self._read(f"/v1/records/{quote(kind, safe='')}")
        return _parse_body(RecordListBody, reply)

    async def get_record(self, kind: str, name: str) -> RecordBody | None:
        """Reads one record; ``None`` if it does not exist.

        :raises ClientError: if it could not be read.
        """
        try:
            reply = await self._read(_record_path(kind, name))
        except RecordRefusedError as error:
            if error.code == "record_not_found":
                return None
            raise
        return _parse_body(RecordBody, reply)

    async def put_record(
        self, kind: str, name: str, record: dict[str, Any], expected_revision: int
    ) -> int:
        """Creates or replaces a record and returns its new revision.

        :param expected_revision: revision that the record must have now;
            :data:`ABSENT_REVISION` if it must not exist.
        :raises RecordRefusedError: if the record is invalid.
        :raises RecordConflictError: if the record has another revision.
        :raises OutcomeUnknownError: if the record may have been written.
        """
        reply = await self._write(
            "PUT", _record_path(kind, name), expected_revision, json.dumps(record).encode()
        )
        return _parse_body(RevisionBody, reply).revision

    async def delete_record(self, kind: str, name: str, expected_revision: int) -> None:
        """Deletes a record.

        :raises RecordConflictError: if the record has another revision.
        :raises OutcomeUnknownError: if the record may have been deleted.
        """
        await self._write("DELETE", _record_path(kind, name), expected_revision, b"")

    async def validate_record(self, kind: str, name: str, record: dict[str, Any]) -> None:
        """Has a daemon validate a record without applying it.

        :raises RecordRefusedError: if the record is invalid.
        """
        body = json.dumps({"kind": kind, "name": name, "record": record}).encode()
        headers = {"Content-Type": JSON_CONTENT_TYPE}
        await self._read("/v1/records/validate", method="POST", body=body, headers=headers)

    async def fetch_status(self) -> StatusBody:
        """Reads the status of a daemon, its peers and its endpoints.

        :raises ClientError: if the status could not be read.
        """
        return _parse_body(StatusBody, await self._read("/v1/status"))

    async def fetch_usage(self) -> UsageBody:
        """Reads the usage totals of finished work over all daemons.

        :raises ClientError: if they could not be read.
        """
        return _parse_body(UsageBody, await self._read("/v1/usage"))

    async def _read(
        self,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Makes a read-only call; tries the daemons in turn until one answers."""
        call = Call(method, path, CALL_TIMEOUT_S, headers or {}, body)
        failures: list[ClientError] = []
        for base_url in self._base_urls:
            try:
                return _raise_for_status(await self._connection_pool.exchange(base_url, call))
            except (CannotConnectError, AnswerLostError) as error:
                failures.append(error)
        raise _combine_errors(failures)

    async def _write(self, method: str, path: str, expected_revision: int, body: bytes) -> Reply:
        """Makes a call that changes a record.

        The next daemon is tried only if nothing was sent to the previous one, since repeating a
        write that may have been applied would report a false conflict.
        """
        headers = {
            "Content-Type": JSON_CONTENT_TYPE,
            **_make_precondition_headers(expected_revision),
        }
        call = Call(method, path, CALL_TIMEOUT_S, headers, body)
        failures: list[ClientError] = []
        for base_url in self._base_urls:
            try:
                return _raise_for_status(await self._connection_pool.exchange(base_url, call))
            except CannotConnectError as error:
                failures.append(error)
            except AnswerLostError as error:
                raise OutcomeUnknownError(
                    f"the record may have been changed: {error.message}",
                    hint="read the record before you change it again",
                ) from error
        raise _combine_errors(failures)


def _record_path(kind: str, name: str) -> str:
    return f"/v1/records/{quote(kind, safe='')}/{quote(name, safe='')}"


def _make_precondition_headers(expected_revision: int) -> dict[str, str]:
    if expected_revision == ABSENT_REVISION:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected_revision}"'}


def _combine_errors(failures: list[ClientError]) -> ClientError:
    message = "; ".join(error.message for error in failures)
    return type(failures[-1])(
        message, hint="check the daemons' addresses and that they are running"
    )


def _raise_for_status(reply: Reply) -> Reply:
    """Returns a successful reply; raises the daemon's error otherwise."""
    if reply.status < 300:
        return reply
    try:
        error = ErrorBody.model_validate_json(reply.body)
    except ValidationError as parse_error:
        raise AnswerMismatchError(f"status {reply.status} without an error body") from parse_error
    raise _choose_error_type(reply.status)(
        error.message, hint=error.hint, retry_after_s=error.retry_after_s, code=error.code
    )


def _choose_error_type(status: int) -> type[ClientError]:
    if status == PRECONDITION_FAILED_STATUS:
        return RecordConflictError
    if status == NOT_FOUND_STATUS or status in INVALID_RECORD_STATUSES:
        return RecordRefusedError
    return OutcomeUnknownError if status == 504 else NotRunError


def _parse_body(model: type[Body], reply: Reply) -> Body:
    try:
        return model.model_validate_json(reply.body)
    except ValidationError as error:
        raise AnswerMismatchError(f"the answer is not a valid {model.__name__}") from error
