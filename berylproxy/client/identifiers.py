"""Identifiers for jobs and requests, taken from daemons in blocks."""

import json
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from anyio import Lock
from pydantic import ValidationError

from berylproxy.client.answers import raise_refusal
from berylproxy.client.connection import Call, Connections, Reply
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
USED_VALIDITY = 0.8  # fraction of a block's life after which a new one is fetched
MINT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Identifier:
    """An identifier and the daemon that minted it, which is the nearest way to its home."""

    value: str
    base_url: str


@dataclass(slots=True)
class _Block:
    ids: deque[str]
    expires_at_s: float


class IdentifierSource:
    """Hands out identifiers, each once.

    :param base_urls: the daemons, in order of preference.
    """

    def __init__(self, base_urls: tuple[str, ...], connections: Connections, clock: Clock) -> None:
        self._base_urls = base_urls
        self._connections = connections
        self._clock = clock
        self._blocks: dict[str, _Block] = {}
        self._lock = Lock()

    async def take(self, avoid: Collection[str] = ()) -> Identifier:
        """Takes an identifier, fetching a block when none is left.

        :param avoid: daemons to be asked only if no other one gives any.
        :raises NotRunError: if a daemon refused and none gave any.
        :raises CannotConnectError: if no daemon could be asked.
        """
        failures: list[str] = []
        refusal: NotRunError | None = None
        for base_url in sorted(self._base_urls, key=lambda url: url in avoid):
            try:
                return Identifier(await self._take_from(base_url), base_url)
            except NotRunError as error:
                refusal = error
            except (CannotConnectError, AnswerLostError) as error:
                failures.append(error.message)
        if refusal is not None:
            raise refusal
        hint = "check the daemons' addresses and that they run"
        raise CannotConnectError("; ".join(failures), hint=hint)

    def discard(self, base_url: str) -> None:
        """Forgets the identifiers of a daemon that cannot be reached."""
        self._blocks.pop(base_url, None)

    async def _take_from(self, base_url: str) -> str:
        async with self._lock:
            block = self._blocks.get(base_url)
            if block is None or not block.ids or self._clock.now_s() >= block.expires_at_s:
                block = await self._fetch(base_url)
                self._blocks[base_url] = block
            return block.ids.popleft()

    async def _fetch(self, base_url: str) -> _Block:
        asked_at_s = self._clock.now_s()
        call = Call(
            "POST",
            "/v1/job-ids",
            MINT_TIMEOUT_S,
            {"Content-Type": JSON_CONTENT_TYPE},
            json.dumps({"count": BLOCK_SIZE}).encode(),
        )
        body = _read_ids(await self._connections.exchange(base_url, call))
        return _Block(deque(body.ids), asked_at_s + body.valid_for_s * USED_VALIDITY)


def _read_ids(reply: Reply) -> JobIdsBody:
    if reply.status >= 400:
        raise_refusal(reply)
    try:
        return JobIdsBody.model_validate_json(reply.body)
    except ValidationError as error:
        raise AnswerMismatchError("the answer holds no identifiers") from error
