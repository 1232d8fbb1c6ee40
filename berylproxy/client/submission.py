"""Brings one piece of work to its single answer, over as many attempts as it takes.

An identifier is kept as long as a daemon may hold the work under it. It is replaced only when every
attempt under it has certainly ended without a task started.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from berylproxy.client.connection import Call, Connections, Reply
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
class Exchange(Generic[Answer]):
    """How one kind of work is sent and its answer read.

    :param make_call: the call for an identifier and the time left in seconds.
    :param read: reads the reply to the call of an identifier.
    """

    make_call: Callable[[str, float], Call]
    read: Callable[[Reply, str], Answer]


@dataclass(slots=True)
class _Progress:
    """What has happened under the current identifier.

    :param identifier: the identifier; ``None`` until one is taken.
    :param base_url: the daemon that the next attempt goes to.
    :param uncertain: whether a daemon may hold the work although no answer came.
    :param is_given: whether the caller gave the identifier, which is then never replaced.
    """

    identifier: Identifier | None
    base_url: str
    uncertain: bool
    is_given: bool
    attempts: int = 0
    unreachable: set[str] = field(default_factory=set)


class Submitter:
    """Sends work until it is answered or its budget is spent."""

    def __init__(
        self, base_urls: tuple[str, ...], connections: Connections, identifiers: IdentifierSource
    ) -> None:
        self._base_urls = base_urls
        self._connections = connections
        self._identifiers = identifiers

    async def run(
        self, exchange: Exchange[Answer], budget: RetryBudget, job_id: str = ""
    ) -> tuple[Answer, str]:
        """Returns the answer and the daemon that gave it.

        :param job_id: identifier of an earlier submission of the same work, which is then kept.
        :raises ClientError: the final error of the work.
        """
        progress = self._start(job_id)
        while True:
            try:
                return await self._attempt(exchange, budget, progress), progress.base_url
            except ClientError as error:
                await self._prepare_next(error, budget, progress)

    def _start(self, job_id: str) -> _Progress:
        first_url = self._base_urls[0]
        if not job_id:
            return _Progress(None, first_url, uncertain=False, is_given=False)
        # The earlier submission may be running.
        return _Progress(Identifier(job_id, first_url), first_url, uncertain=True, is_given=True)

    async def _attempt(
        self, exchange: Exchange[Answer], budget: RetryBudget, progress: _Progress
    ) -> Answer:
        if progress.identifier is None:
            await self._take_identifier(progress)
        call = exchange.make_call(progress.identifier.value, budget.remaining_s())
        repeated = progress.attempts > 0
        progress.attempts += 1
        reply = await self._connections.exchange(progress.base_url, call, new_connection=repeated)
        return exchange.read(reply, progress.identifier.value)

    async def _take_identifier(self, progress: _Progress) -> None:
        """Takes an identifier from the chosen daemon if possible, and follows it to its daemon."""
        others = {url for url in self._base_urls if url != progress.base_url}
        progress.identifier = await self._identifiers.take(others | progress.unreachable)
        progress.base_url = progress.identifier.base_url

    async def _prepare_next(
        self, error: ClientError, budget: RetryBudget, progress: _Progress
    ) -> None:
        """Waits and chooses the next attempt, or raises the final error."""
        if isinstance(error, AnswerLostError | OutcomeUnknownError):
            progress.uncertain = True
        elif _is_final(error) and not progress.is_given:
            progress.uncertain = False
        if not _is_worth_repeating(error):
            raise _conclude(error, progress)
        if isinstance(error, CannotConnectError):
            progress.unreachable.add(progress.base_url)
            self._identifiers.discard(progress.base_url)
        if not await budget.wait(error.retry_after_s):
            raise _conclude(error, progress)
        progress.base_url = self._choose_next(progress.base_url)
        if not progress.uncertain:
            progress.identifier = None

    def _choose_next(self, base_url: str) -> str:
        position = self._base_urls.index(base_url)
        return self._base_urls[(position + 1) % len(self._base_urls)]


def _is_final(error: ClientError) -> bool:
    """Tells whether the identifier's home has said that its work has not run and never will."""
    return isinstance(error, NotRunError) and bool(error.job_id)


def _is_worth_repeating(error: ClientError) -> bool:
    """Tells whether another attempt may bring the answer."""
    if isinstance(error, NotRunError | OutcomeUnknownError):
        return error.retry_after_s is not None
    return isinstance(error, CannotConnectError | AnswerLostError)


def _conclude(error: ClientError, progress: _Progress) -> ClientError:
    """Chooses the error that the caller gets."""
    if not progress.uncertain or isinstance(error, JobFailedError | OutcomeUnknownError):
        return error
    if _is_final(error):
        return error
    # The last attempt was lost or refused before the work was looked at, which tells nothing about
    # an earlier attempt.
    return OutcomeUnknownError(
        f"no whole answer after {progress.attempts} attempts: {error.message}",
        hint="ask for the job or submit again under the same identifier",
        job_id=progress.identifier.value,
    )
