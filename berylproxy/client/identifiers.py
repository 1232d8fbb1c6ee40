"""Identifiers for jobs and requests, fetched from the daemons in blocks."""

import json
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from anyio import Lock
from pydantic import ValidationError

from berylproxy.client.answers import raise_refusal
from berylproxy.client.connection import Call, ConnectionPool, Reply
from berylproxy.client.errors import (
    AnswerLostError,
    AnswerMismatchError,
    CannotConnectError,
    NotRunError,
)
from berylproxy.client.models import JobIdsBody
from berylproxy.clock import Clock
from berylproxy.constants import JSON_CONTENT_TYPE

BLOCK_SIZE = 16
# A block is replaced after this share of its validity, so that no identifier expires in use.
USABLE_VALIDITY_FRACTION = 0.8
MINT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Identifier:
    """An identifier and the base URL of the daemon that minted it.

    A submission that is sent there reaches the identifier's home in the fewest hops.
    """

    value: str
    base_url: str


@dataclass(slots=True)
class _IdentifierBlock:
    ids: deque[str]
    expires_at_s: float


class IdentifierSource:
    """Provides identifiers, each of them once.

    :param base_urls: base URLs of the daemons, in order of preference.
    """

    def __init__(
        self, base_urls: tuple[str, ...], connection_pool: ConnectionPool, clock: Clock
    ) -> None:
        self._base_urls = base_urls
        self._connection_pool = connection_pool
        self._clock = clock
        self._blocks: dict[str, _IdentifierBlock] = {}
        self._lock = Lock()

    async def acquire(self, avoid: Collection[str] = ()) -> Identifier:
        """Returns an unused identifier; fetches a new block if none is left.

        :param avoid: base URLs of daemons that are tried after all others.
        :raises NotRunError: if no daemon provided an identifier and at least one refused to.
        :raises CannotConnectError: if no valid answer was received from any daemon.
        """
        failures: list[str] = []
        refusal: NotRunError | None = None
        for base_url in sorted(self._base_urls, key=lambda url: url in avoid):
            try:
                return Identifier(await self._acquire_from(base_url), base_url)
            except NotRunError as error:
                refusal = error
            except (CannotConnectError, AnswerLostError) as error:
                failures.append(error.message)
        if refusal is not None:
            raise refusal
        hint = "check the daemons' addresses and that they are running"
        raise CannotConnectError("; ".join(failures), hint=hint)

    def discard(self, base_url: str) -> None:
        """Discards the unused identifiers of a daemon that cannot be reached."""
        self._blocks.pop(base_url, None)

    async def _acquire_from(self, base_url: str) -> str:
        async with self._lock:
            block = self._blocks.get(base_url)
            if block is None or not block.ids or self._clock.now_s() >= block.expires_at_s:
                block = await self._fetch_block(base_url)
                self._blocks[base_url] = block
            return block.ids.popleft()

    async def _fetch_block(self, base_url: str) -> _IdentifierBlock:
        requested_at_s = self._clock.now_s()
        call = Call(
            "POST",
            "/v1/job-ids",
            MINT_TIMEOUT_S,
            {"Content-Type": JSON_CONTENT_TYPE},
            json.dumps({"count": BLOCK_SIZE}).encode(),
        )
        body = _parse_ids(await self._connection_pool.exchange(base_url, call))
        return _IdentifierBlock(
            deque(body.ids), requested_at_s + body.valid_for_s * USABLE_VALIDITY_FRACTION
        )


def _parse_ids(reply: Reply) -> JobIdsBody:
    if reply.status >= 400:
        raise_refusal(reply)
    try:
        return JobIdsBody.model_validate_json(reply.body)
    except ValidationError as error:
        raise AnswerMismatchError("the answer contains no identifiers") from error
