"""Errors of finding a submission's home."""

from berylproxy.errors import BerylproxyError
from berylproxy.models import Outcome


class DeduplicateError(BerylproxyError):
    """Base of this layer's errors.

    :cvar outcome: what the caller is told.
    """

    code = "deduplicate_error"
    outcome = Outcome.NOT_RUN


class IdentifierMalformedError(DeduplicateError):
    """The text is no identifier of ours, or one that was never minted."""

    code = "id_malformed"


class IdentifierReusedError(DeduplicateError):
    """The identifier was used for a submission with other content."""

    code = "id_reused"


class IdentifierExpiredError(DeduplicateError):
    """The identifier is too old: its submission may have run and been forgotten."""

    code = "id_expired"
    outcome = Outcome.UNKNOWN


class AnswerEvictedError(DeduplicateError):
    """The job has ended, and its answer had to make room for others."""

    code = "answer_evicted"
    outcome = Outcome.UNKNOWN


class HomeGoneError(DeduplicateError):
    """The home of the submission has ended: its tasks may have run."""

    code = "home_gone"
    outcome = Outcome.UNKNOWN


class HomeUnreachableError(DeduplicateError):
    """The home of the submission can't be reached now: its tasks may have run."""

    code = "home_unreachable"
    outcome = Outcome.UNKNOWN


class JobNotFoundError(DeduplicateError):
    """No job of the asking team is known under the identifier; its submission may still arrive."""

    code = "job_not_found"
    outcome = Outcome.UNKNOWN


class ClaimUnavailableError(DeduplicateError):
    """The platform's key-value service can't tell whether the idempotency key is new.

    Nothing is started, but an earlier submission under the key may have run.
    """

    code = "claim_unavailable"
    outcome = Outcome.UNKNOWN
