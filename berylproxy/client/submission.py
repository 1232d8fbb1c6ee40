"""Submits one job or request, with retries, until it has its one answer.

Retries use the same identifier as long as a daemon may have accepted the work under it, so that the
work does not run twice. A new identifier is used only if every attempt under the previous one has
certainly ended without a task started.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from berylproxy.client.connection import Call, ConnectionPool, Reply
from berylproxy.client.errors import (
    AnswerLostError,
    CannotConnectError,
    ClientError,
    JobFailedError,
    NotRunError,
    OutcomeUnknownError,
)
from berylproxy.client.identifiers import Identifier, IdentifierSource
from berylproxy.client.retries import RetryBudget

Answer = TypeVar("Answer")


@dataclass(frozen=True, slots=True)
class CallCodec(Generic[Answer]):
    """Encodes the calls and decodes the replies of one job or request.

    :param make_call: makes the call from the identifier and the remaining time in seconds.
    :param read_reply: parses the reply to the call made for the given identifier.
    """

    make_call: Callable[[str, float], Call]
    read_reply: Callable[[Reply, str], Answer]


@dataclass(slots=True)
class _Progress:
    """State of a submission over its attempts.

    :param identifier: the current identifier; ``None`` until one is acquired.
    :param base_url: daemon that the next attempt is sent to.
    :param may_be_accepted: whether a daemon may have accepted the work under the current
        identifier although no answer was received.
    :param is_caller_supplied: whether the caller chose the identifier, which is then never
        replaced.
    :param attempts: number of attempts so far, under all identifiers.
    :param unreachable_urls: daemons that could not be reached.
    """

    identifier: Identifier | None
    base_url: str
    may_be_accepted: bool
    is_caller_supplied: bool
    attempts: int = 0
    unreachable_urls: set[str] = field(default_factory=set)


class Submitter:
    """Sends a job or request until it is answered or its retry budget is exhausted."""

    def __init__(
        self,
        base_urls: tuple[str, ...],
        connection_pool: ConnectionPool,
        identifiers: IdentifierSource,
    ) -> None:
        self._base_urls = base_urls
        self._connection_pool = connection_pool
        self._identifiers = identifiers

    async def run(
        self, codec: CallCodec[Answer], budget: RetryBudget, job_id: str = ""
    ) -> tuple[Answer, str]:
        """Returns the answer and the base URL of the daemon that sent it.

        :param job_id: identifier of an earlier submission of the same work, which all attempts
            then use; empty to acquire a new one.
        :raises ClientError: the final error of the job or request.
        """
        progress = self._start_progress(job_id)
        while True:
            try:
                return await self._attempt(codec, budget, progress), progress.base_url
            except ClientError as error:
                await self._prepare_retry(error, budget, progress)

    def _start_progress(self, job_id: str) -> _Progress:
        first_url = self._base_urls[0]
        if not job_id:
            return _Progress(None, first_url, may_be_accepted=False, is_caller_supplied=False)
        # The earlier submission may have been accepted and be running.
        return _Progress(
            Identifier(job_id, first_url), first_url, may_be_accepted=True, is_caller_supplied=True
        )

    async def _attempt(
        self, codec: CallCodec[Answer], budget: RetryBudget, progress: _Progress
    ) -> Answer:
        if progress.identifier is None:
            await self._acquire_identifier(progress)
        call = codec.make_call(progress.identifier.value, budget.remaining_s())
        is_retry = progress.attempts > 0
        progress.attempts += 1
        reply = await self._connection_pool.exchange(
            progress.base_url, call, new_connection=is_retry
        )
        return codec.read_reply(reply, progress.identifier.value)

    async def _acquire_identifier(self, progress: _Progress) -> None:
        """Acquires an identifier, preferably from the daemon chosen for the next attempt.

        If another daemon minted the identifier, the next attempt goes to that daemon instead.
        """
        other_urls = {url for url in self._base_urls if url != progress.base_url}
        progress.identifier = await self._identifiers.acquire(
            other_urls | progress.unreachable_urls
        )
        progress.base_url = progress.identifier.base_url

    async def _prepare_retry(
        self, error: ClientError, budget: RetryBudget, progress: _Progress
    ) -> None:
        """Waits for the next attempt and chooses its daemon, or raises the final error."""
        if isinstance(error, AnswerLostError | OutcomeUnknownError):
            progress.may_be_accepted = True
        elif _is_proven_not_run(error) and not progress.is_caller_supplied:
            progress.may_be_accepted = False
        if not _is_retryable(error):
            raise _choose_final_error(error, progress)
        if isinstance(error, CannotConnectError):
            progress.unreachable_urls.add(progress.base_url)
            self._identifiers.discard(progress.base_url)
        if not await budget.wait(error.retry_after_s):
            raise _choose_final_error(error, progress)
        progress.base_url = self._choose_next_url(progress.base_url)
        if not progress.may_be_accepted:
            progress.identifier = None

    def _choose_next_url(self, base_url: str) -> str:
        url_index = self._base_urls.index(base_url)
        return self._base_urls[(url_index + 1) % len(self._base_urls)]


def _is_proven_not_run(error: ClientError) -> bool:
    """Returns whether the identifier's home has confirmed that its work did not and will not run.

    Only a refusal that names the identifier confirms this.
    """
    return isinstance(error, NotRunError) and bool(error.job_id)


def _is_retryable(error: ClientError) -> bool:
    """Returns whether another attempt may succeed."""
    if isinstance(error, NotRunError | OutcomeUnknownError):
        return error.retry_after_s is not None
    return isinstance(error, CannotConnectError | AnswerLostError)


def _choose_final_error(error: ClientError, progress: _Progress) -> ClientError:
    """Chooses the error that the caller receives."""
    if not progress.may_be_accepted or isinstance(error, JobFailedError | OutcomeUnknownError):
        return error
    if _is_proven_not_run(error):
        return error
    # The last attempt was lost, or refused before the daemon read the identifier. Neither proves
    # anything about an earlier attempt, which a daemon may have accepted.
    return OutcomeUnknownError(
        f"no complete answer after {progress.attempts} attempts: {error.message}",
        hint="fetch the job, or submit it again under the same identifier",
        job_id=progress.identifier.value,
    )
