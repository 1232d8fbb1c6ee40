"""Sends one HTTP call to one daemon and returns the complete answer."""

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
KEEPALIVE_EXPIRY_S = 20.0
# These errors are raised before the first byte of the call is written.
NOT_SENT_ERRORS = (ConnectError, ConnectTimeout, PoolTimeout, UnsupportedProtocol, InvalidURL)


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call, independent of the daemon that it is sent to.

    :param path: path below the daemon's base URL.
    :param timeout_s: longest wait for the complete answer.
    """

    method: str
    path: str
    timeout_s: float
    headers: Mapping[str, str]
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP answer."""

    status: int
    headers: Headers
    body: bytes


class ConnectionPool:
    """Keeps HTTP connections to the daemons open between calls.

    :param headers: headers sent with every call.
    :param transport: replaces the HTTP transport in tests.
    """

    def __init__(
        self, headers: Mapping[str, str], transport: AsyncBaseTransport | None = None
    ) -> None:
        self._headers = {**headers, "Accept-Encoding": "identity"}
        self._transport = transport
        self._shared_client = self._open_client()

    async def close(self) -> None:
        """Closes all connections."""
        await self._shared_client.aclose()

    async def exchange(self, base_url: str, call: Call, *, new_connection: bool = False) -> Reply:
        """Sends a call and returns the complete answer.

        :param new_connection: opens a connection for this call, since a pooled one may be dead
            without having been closed.
        :raises CannotConnectError: if nothing was sent.
        :raises AnswerLostError: if the daemon may have acted on the call.
        """
        if not new_connection:
            return await _exchange(self._shared_client, base_url, call)
        async with self._open_client() as client:
            return await _exchange(client, base_url, call)

    def _open_client(self) -> AsyncClient:
        return AsyncClient(
            headers=self._headers,
            limits=Limits(max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEPALIVE_EXPIRY_S),
            trust_env=False,
            transport=self._transport,
        )


async def _exchange(client: AsyncClient, base_url: str, call: Call) -> Reply:
    try:
        # The read timeout applies to each read: without a total timeout, a daemon that sends a
        # byte now and then could block the call forever.
        with fail_after(call.timeout_s):
            response = await client.request(
                call.method,
                base_url.rstrip("/") + call.path,
                headers=call.headers,
                content=call.body,
                timeout=Timeout(call.timeout_s, connect=min(CONNECT_TIMEOUT_S, call.timeout_s)),
            )
    except NOT_SENT_ERRORS as error:
        raise CannotConnectError(
            f"no connection to {base_url}: {_describe_exception(error)}"
        ) from error
    except (TimeoutException, TimeoutError) as error:
        raise AnswerLostError(f"no answer from {base_url} in {call.timeout_s:g} s") from error
    except HTTPError as error:
        raise AnswerLostError(f"no answer from {base_url}: {_describe_exception(error)}") from error
    _check_complete(response, base_url)
    return Reply(response.status_code, response.headers, response.content)


def _check_complete(response: Response, base_url: str) -> None:
    """Rejects an answer whose end is marked only by the closing of the connection.

    Such an answer can't be distinguished from a truncated one.

    :raises AnswerLostError: if the answer has neither a matching length nor chunked encoding.
    """
    if response.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return
    if response.headers.get("Content-Length") == str(len(response.content)):
        return
    if response.status_code in (204, 304):
        return
    raise AnswerLostError(f"the answer from {base_url} may be truncated: it has no valid length")


def _describe_exception(error: Exception) -> str:
    return str(error) or type(error).__name__
