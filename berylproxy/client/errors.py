"""Errors that the client library raises."""

from berylproxy.errors import BerylproxyError


class ClientError(BerylproxyError):
    """Base of the library's errors.

    :param job_id: identifier of the job or request concerned; empty if there is none.
    """

    code = "client_error"

    def __init__(
        self,
        message: str,
        *,
        hint: str = "",
        retry_after_s: float | None = None,
        code: str = "",
        job_id: str = "",
    ) -> None:
        super().__init__(message, hint=hint, retry_after_s=retry_after_s)
        self.code = code or type(self).code
        self.job_id = job_id


class CannotConnectError(ClientError):
    """No daemon could be reached: nothing was sent."""

    code = "cannot_connect"


class AnswerLostError(ClientError):
    """The call was sent, but no complete answer was received."""

    code = "answer_lost"


class AnswerMismatchError(AnswerLostError):
    """The received answer does not belong to this call or is not valid."""

    code = "answer_mismatch"


class NotRunError(ClientError):
    """The daemon refused the job or request: no task has started."""

    code = "not_run"


class JobFailedError(ClientError):
    """At least one task failed; tasks have run.

    :param body: the endpoint's own answer to a single request.
    """

    code = "failed"

    def __init__(self, message: str, *, body: bytes = b"", **details) -> None:
        super().__init__(message, **details)
        self.body = body


class OutcomeUnknownError(ClientError):
    """The job or request may have run. Only the caller can decide whether to submit it again."""

    code = "outcome_unknown"


class RecordRefusedError(ClientError):
    """A record or its change was refused, for example as invalid, or the record does not exist."""

    code = "record_invalid"


class RecordConflictError(ClientError):
    """The record does not have the expected revision: nothing was written."""

    code = "record_conflict"
