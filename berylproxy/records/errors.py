"""Errors raised by the records layer."""

from dataclasses import dataclass

from berylproxy.errors import BerylproxyError


class RecordError(BerylproxyError):
    """Base class of the records layer's errors.

    :cvar status: HTTP status of the response to the operator.
    """

    code = "record_error"
    status = 500


@dataclass(frozen=True, slots=True)
class FieldProblem:
    """A violation of a field's rule.

    :param field: dotted name, such as ``takes.slots``; empty for the record as a whole.
    """

    field: str
    reason: str


class RecordInvalidError(RecordError):
    """A record violates its schema; no part of it was accepted.

    :param problems: the violated rules, in the order of the schema.
    """

    code = "record_invalid"
    status = 422

    def __init__(self, subject: str, problems: tuple[FieldProblem, ...], *, hint: str = "") -> None:
        details = "; ".join(f"{p.field}: {p.reason}" if p.field else p.reason for p in problems)
        super().__init__(f"{subject}: {details}", hint=hint)
        self.problems = problems


class SchemaVersionUnknownError(RecordError):
    """The record has a schema version that this daemon does not support."""

    code = "schema_version_unknown"
    status = 422


class RecordKindUnknownError(RecordError):
    """The kind of record does not exist."""

    code = "record_kind_unknown"
    status = 404


class RecordNotFoundError(RecordError):
    """The record does not exist."""

    code = "record_not_found"
    status = 404


class RecordConflictError(RecordError):
    """The record is not at the expected revision; nothing was written.

    :param current_revision: the record's current revision; 0 if the record does not exist.
    """

    code = "record_conflict"
    status = 412

    def __init__(self, message: str, current_revision: int) -> None:
        super().__init__(message, hint="read the record again and reapply the change")
        self.current_revision = current_revision


class RecordInUseError(RecordError):
    """Another record refers to the record to be deleted."""

    code = "record_in_use"
    status = 409


class RecordStoreUnavailableError(RecordError):
    """The store is unavailable; nothing was written."""

    code = "record_store_unavailable"
    status = 503


class StoreRevertedError(RecordError):
    """The store was restored to a state before the configuration in force; nothing was written."""

    code = "store_reverted"
    status = 503


class RecordOutcomeUnknownError(RecordError):
    """The write may have taken effect.

    :param change_id: the change identifier in the stored record if the write took effect.
    """

    code = "record_outcome_unknown"
    status = 504

    def __init__(self, message: str, change_id: str, *, hint: str, retry_after_s: float) -> None:
        super().__init__(message, hint=hint, retry_after_s=retry_after_s)
        self.change_id = change_id


class JsonMalformedError(RecordError):
    """The body is not valid JSON."""

    code = "json_malformed"
    status = 400


class BodyTooLargeError(RecordError):
    """The body exceeds the size limit."""

    code = "body_too_large"
    status = 413


class PreconditionRequiredError(RecordError):
    """The request has no expected revision or an invalid one."""

    code = "precondition_required"
    status = 428
