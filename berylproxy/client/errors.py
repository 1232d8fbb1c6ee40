"""Errors of the callers' and operators' library."""

from berylproxy.errors import BerylproxyError


class ClientError(BerylproxyError):
    """Base of the library's errors.

    :param job_id: the job or request that it is about; empty when there is none.
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
    """The call was sent and no whole answer came back."""

    code = "answer_lost"


class AnswerMismatchError(AnswerLostError):
    """An answer came that is not the answer to this call."""

    code = "answer_mismatch"


class NotRunError(ClientError):
    """The daemon refused the work: no task has started."""

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
    """The work may have run. Only the caller can decide whether to submit it anew."""

    code = "outcome_unknown"


class RecordRefusedError(ClientError):
    """The daemon refused a record or does not know it."""

    code = "record_invalid"


class RecordConflictError(ClientError):
    """Another operator changed the record first: nothing was written."""

    code = "record_conflict"
