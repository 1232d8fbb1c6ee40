"""Errors of identifiers, idempotency keys and the search for a submission's home."""

from berylproxy.errors import BerylproxyError
from berylproxy.models import Outcome


class DeduplicateError(BerylproxyError):
    """Base class of the errors of this package.

    :cvar outcome: outcome of the job that is reported to the caller.
    """

    code = "deduplicate_error"
    outcome = Outcome.NOT_RUN


class IdentifierMalformedError(DeduplicateError):
    """The text is not an identifier, or the identifier was never minted for the team."""

    code = "id_malformed"


class IdentifierReusedError(DeduplicateError):
    """The identifier was used for a submission with other content."""

    code = "id_reused"


class IdentifierExpiredError(DeduplicateError):
    """The identifier is too old: its submission may have run and been removed from memory."""

    code = "id_expired"
    outcome = Outcome.UNKNOWN


class AnswerEvictedError(DeduplicateError):
    """The job has ended, and its answer has been evicted from memory."""

    code = "answer_evicted"
    outcome = Outcome.UNKNOWN


class HomeGoneError(DeduplicateError):
    """The home of the submission has ended: its tasks may have run."""

    code = "home_gone"
    outcome = Outcome.UNKNOWN


class HomeUnreachableError(DeduplicateError):
    """The home of the submission cannot be reached now: its tasks may have run."""

    code = "home_unreachable"
    outcome = Outcome.UNKNOWN


class JobNotFoundError(DeduplicateError):
    """The team has no job with the identifier; its submission may still arrive."""

    code = "job_not_found"
    outcome = Outcome.UNKNOWN


class ClaimUnavailableError(DeduplicateError):
    """The platform's key-value service cannot confirm whether the idempotency key is new.

    No task is started, but an earlier submission with the key may have run.
    """

    code = "claim_unavailable"
    outcome = Outcome.UNKNOWN
