"""The errors of the records layer."""

from dataclasses import dataclass

from berylproxy.errors import BerylproxyError


class RecordError(BerylproxyError):
    """Base of the records layer's errors.

    :cvar status: HTTP status with which the operators' interface answers.
    """

    code = "record_error"
    status = 500


@dataclass(frozen=True, slots=True)
class FieldProblem:
    """A rule that a field breaks.

    :param field: dotted name, such as ``takes.slots``; empty for the record as a whole.
    """

    field: str
    reason: str


class RecordInvalidError(RecordError):
    """A record breaks a rule of its schema; nothing of it was taken.

    :param problems: the rules broken, in the order of the schema.
    """

    code = "record_invalid"
    status = 422

    def __init__(self, subject: str, problems: tuple[FieldProblem, ...], *, hint: str = "") -> None:
        details = "; ".join(f"{p.field}: {p.reason}" if p.field else p.reason for p in problems)
        super().__init__(f"{subject}: {details}", hint=hint)
        self.problems = problems


class SchemaVersionUnknownError(RecordError):
    """The record is written in a schema version that this daemon does not know."""

    code = "schema_version_unknown"
    status = 422


class RecordKindUnknownError(RecordError):
    """There is no such kind of record."""

    code = "record_kind_unknown"
    status = 404


class RecordNotFoundError(RecordError):
    """There is no such record."""

    code = "record_not_found"
    status = 404


class RecordConflictError(RecordError):
    """The record is not at the expected revision; nothing was written.

    :param current_revision: revision of the record now, 0 if it does not exist.
    """

    code = "record_conflict"
    status = 412

    def __init__(self, message: str, current_revision: int) -> None:
        super().__init__(message, hint="read the record again and apply the change to what it says")
        self.current_revision = current_revision


class RecordInUseError(RecordError):
    """Another record refers to the one to be deleted."""

    code = "record_in_use"
    status = 409


class RecordStoreUnavailableError(RecordError):
    """The store cannot be reached; nothing was written."""

    code = "record_store_unavailable"
    status = 503


class StoreRevertedError(RecordError):
    """The store came back older than the configuration in force; nothing was written."""

    code = "store_reverted"
    status = 503


class RecordOutcomeUnknownError(RecordError):
    """The write may have taken effect.

    :param change_id: identifier that the stored record bears if it did.
    """

    code = "record_outcome_unknown"
    status = 504

    def __init__(self, message: str, change_id: str, *, hint: str, retry_after_s: float) -> None:
        super().__init__(message, hint=hint, retry_after_s=retry_after_s)
        self.change_id = change_id


class JsonMalformedError(RecordError):
    """The body is not a JSON text."""

    code = "json_malformed"
    status = 400


class BodyTooLargeError(RecordError):
    """The body is longer than the limit."""

    code = "body_too_large"
    status = 413


class PreconditionRequiredError(RecordError):
    """The call names no expected revision, or one that cannot be read."""

    code = "precondition_required"
    status = 428
