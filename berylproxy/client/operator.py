"""The operators' client: configuration records and the state of a daemon."""

import json
from collections.abc import Sequence
from typing import Any, TypeVar
from urllib.parse import quote

from httpx import AsyncBaseTransport
from pydantic import BaseModel, ValidationError

from berylproxy.client.connection import Call, Connections, Reply
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
CONFLICT_STATUS = 412
NOT_FOUND_STATUS = 404
RECORD_FAULT_STATUSES = (400, 409, 413, 422, 428)
Body = TypeVar("Body", bound=BaseModel)


class OperatorClient:
    """Reads and changes records through any daemon.

    :param base_urls: the daemons, in order of preference; the next is asked if one is not there.
    :param token: the operator's token.
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
        self._connections = Connections(headers, transport)

    async def __aenter__(self) -> "OperatorClient":
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._connections.close()

    async def list_records(self, kind: str) -> RecordListBody:
        """Reads all records of a kind.

        :raises ClientError: if they could not be read.
        """
        reply = await self._read(f"/v1/records/{quote(kind, safe='')}")
        return _parse(RecordListBody, reply)

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
        return _parse(RecordBody, reply)

    async def put_record(
        self, kind: str, name: str, record: dict[str, Any], expected_revision: int
    ) -> int:
        """Applies a record and returns its new revision.

        :param expected_revision: :data:`ABSENT_REVISION` if it must not exist.
        :raises RecordRefusedError: if the record is wrong.
        :raises RecordConflictError: if the record has another revision.
        :raises OutcomeUnknownError: if it may have been written.
        """
        reply = await self._write(
            "PUT", _record_path(kind, name), expected_revision, json.dumps(record).encode()
        )
        return _parse(RevisionBody, reply).revision

    async def delete_record(self, kind: str, name: str, expected_revision: int) -> None:
        """Deletes a record.

        :raises RecordConflictError: if the record has another revision.
        :raises OutcomeUnknownError: if it may have been deleted.
        """
        await self._write("DELETE", _record_path(kind, name), expected_revision, b"")

    async def validate_record(self, kind: str, name: str, record: dict[str, Any]) -> None:
        """Lets a daemon check a record without applying it.

        :raises RecordRefusedError: if the record is wrong.
        """
        body = json.dumps({"kind": kind, "name": name, "record": record}).encode()
        headers = {"Content-Type": JSON_CONTENT_TYPE}
        await self._read("/v1/records/validate", method="POST", body=body, headers=headers)

    async def fetch_status(self) -> StatusBody:
        """Reads the state of a daemon, its peers and its endpoints.

        :raises ClientError: if it could not be read.
        """
        return _parse(StatusBody, await self._read("/v1/status"))

    async def fetch_usage(self) -> UsageBody:
        """Reads the sums of finished work over all daemons.

        :raises ClientError: if they could not be read.
        """
        return _parse(UsageBody, await self._read("/v1/usage"))

    async def _read(
        self,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Makes a call that changes nothing, at the first daemon that answers."""
        call = Call(method, path, CALL_TIMEOUT_S, headers or {}, body)
        failures: list[ClientError] = []
        for base_url in self._base_urls:
            try:
                return _check(await self._connections.exchange(base_url, call))
            except (CannotConnectError, AnswerLostError) as error:
                failures.append(error)
        raise _combine(failures)

    async def _write(self, method: str, path: str, expected_revision: int, body: bytes) -> Reply:
        """Makes a call that changes a record; tries the next daemon only if nothing was sent."""
        headers = {"Content-Type": JSON_CONTENT_TYPE, **_make_condition(expected_revision)}
        call = Call(method, path, CALL_TIMEOUT_S, headers, body)
        failures: list[ClientError] = []
        for base_url in self._base_urls:
            try:
                return _check(await self._connections.exchange(base_url, call))
            except CannotConnectError as error:
                failures.append(error)
            except AnswerLostError as error:
                raise OutcomeUnknownError(
                    f"the record may have been changed: {error.message}",
                    hint="read the record before you change it again",
                ) from error
        raise _combine(failures)


def _record_path(kind: str, name: str) -> str:
    return f"/v1/records/{quote(kind, safe='')}/{quote(name, safe='')}"


def _make_condition(expected_revision: int) -> dict[str, str]:
    if expected_revision == ABSENT_REVISION:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected_revision}"'}


def _combine(failures: list[ClientError]) -> ClientError:
    message = "; ".join(error.message for error in failures)
    return type(failures[-1])(message, hint="check the daemons' addresses and that they run")


def _check(reply: Reply) -> Reply:
    """Returns a successful reply and raises the daemon's error otherwise."""
    if reply.status < 300:
        return reply
    try:
        error = ErrorBody.model_validate_json(reply.body)
    except ValidationError as fault:
        raise AnswerMismatchError(f"status {reply.status} without a daemon's error") from fault
    raise _choose_error(reply.status)(
        error.message, hint=error.hint, retry_after_s=error.retry_after_s, code=error.code
    )


def _choose_error(status: int) -> type[ClientError]:
    if status == CONFLICT_STATUS:
        return RecordConflictError
    if status == NOT_FOUND_STATUS or status in RECORD_FAULT_STATUSES:
        return RecordRefusedError
    return OutcomeUnknownError if status == 504 else NotRunError


def _parse(model: type[Body], reply: Reply) -> Body:
    try:
        return model.model_validate_json(reply.body)
    except ValidationError as error:
        raise AnswerMismatchError(f"the answer is not a {model.__name__}") from error
