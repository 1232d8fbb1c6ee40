"""Exchanges one call for one whole answer with one daemon."""

from collections.abc import Mapping
from dataclasses import dataclass

from anyio import fail_after
from httpx import (
    AsyncBaseTransport,
    AsyncClient,
    ConnectError,
    ConnectTimeout,
    Headers,
    HTTPError,
    InvalidURL,
    Limits,
    PoolTimeout,
    Response,
    Timeout,
    TimeoutException,
    UnsupportedProtocol,
)

from berylproxy.client.errors import AnswerLostError, CannotConnectError

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 100
KEEPALIVE_S = 20.0
# Raised before the first byte of the call is written.
NOT_SENT_ERRORS = (ConnectError, ConnectTimeout, PoolTimeout, UnsupportedProtocol, InvalidURL)


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call, without the daemon that it goes to.

    :param timeout_s: the longest wait for the whole answer.
    """

    method: str
    path: str
    timeout_s: float
    headers: Mapping[str, str]
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole HTTP answer."""

    status: int
    headers: Headers
    body: bytes


class Connections:
    """Open connections to daemons.

    :param headers: sent with every call.
    :param transport: replaces the network in tests.
    """

    def __init__(
        self, headers: Mapping[str, str], transport: AsyncBaseTransport | None = None
    ) -> None:
        self._headers = {**headers, "Accept-Encoding": "identity"}
        self._transport = transport
        self._kept = self._open()

    async def close(self) -> None:
        """Closes the connections."""
        await self._kept.aclose()

    async def exchange(self, base_url: str, call: Call, *, new_connection: bool = False) -> Reply:
        """Sends a call and returns the whole answer.

        :param new_connection: use no kept connection, which may have gone silent.
        :raises CannotConnectError: if nothing was sent.
        :raises AnswerLostError: if the daemon may have acted on the call.
        """
        if not new_connection:
            return await _exchange(self._kept, base_url, call)
        async with self._open() as client:
            return await _exchange(client, base_url, call)

    def _open(self) -> AsyncClient:
        return AsyncClient(
            headers=self._headers,
            limits=Limits(max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEPALIVE_S),
            trust_env=False,
            transport=self._transport,
        )


async def _exchange(client: AsyncClient, base_url: str, call: Call) -> Reply:
    try:
        # The read timeout alone would let a daemon that trickles bytes hold the call for ever.
        with fail_after(call.timeout_s):
            response = await client.request(
                call.method,
                base_url.rstrip("/") + call.path,
                headers=call.headers,
                content=call.body,
                timeout=Timeout(call.timeout_s, connect=min(CONNECT_TIMEOUT_S, call.timeout_s)),
            )
    except NOT_SENT_ERRORS as error:
        raise CannotConnectError(f"no connection to {base_url}: {_describe(error)}") from error
    except (TimeoutException, TimeoutError) as error:
        raise AnswerLostError(f"no answer from {base_url} in {call.timeout_s:g} s") from error
    except HTTPError as error:
        raise AnswerLostError(f"no answer from {base_url}: {_describe(error)}") from error
    _check_whole(response, base_url)
    return Reply(response.status_code, response.headers, response.content)


def _check_whole(response: Response, base_url: str) -> None:
    """Refuses an answer whose end is told by nothing but the closing of the connection."""
    if response.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return
    if response.headers.get("Content-Length") == str(len(response.content)):
        return
    if response.status_code in (204, 304):
        return
    raise AnswerLostError(f"the answer from {base_url} may be cut off: its length is not given")


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
