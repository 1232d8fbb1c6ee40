"""Client of the key-value service over etcd v3's JSON gateway."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from types import TracebackType
from typing import Self, TypeVar

from anyio import CancelScope, current_time, fail_after, move_on_after
from httpx import (
    AsyncClient,
    ConnectError,
    ConnectTimeout,
    HTTPError,
    Limits,
    PoolTimeout,
    Response,
    Timeout,
)
from pydantic import BaseModel, ValidationError

from berylproxy.store.errors import (
    StoreCompactedError,
    StoreLeaseLapsedError,
    StoreRefusedError,
    StoreRevisionBehindError,
    StoreWatchError,
)
from berylproxy.store.etcd_messages import (
    Compare,
    DeleteRangeRequest,
    ErrorResponse,
    KeyValue,
    LeaseGrantRequest,
    LeaseKeepAliveResponse,
    LeaseRequest,
    LeaseResponse,
    PutRequest,
    RangeRequest,
    RangeResponse,
    RequestOp,
    TxnRequest,
    TxnResponse,
    WatchCreateRequest,
    WatchRequest,
    WatchResponse,
    WatchResult,
)
from berylproxy.store.port import (
    ABSENT_REVISION,
    ChangeBatch,
    Entry,
    Listing,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

MAX_CONNECTIONS = 32
MAX_ANSWER_S = 60.0  # for a response that arrives ever so slowly, after the call's timeout
NOT_DELIVERED_ERRORS = (ConnectError, ConnectTimeout, PoolTimeout)
HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
GRPC_NOT_FOUND = 5
# etcd returns status 503 with these messages even if the write may still be applied.
AMBIGUOUS_MESSAGES = ("timed out", "leader changed")

ResponseT = TypeVar("ResponseT", bound=BaseModel)


class EtcdStore:
    """Implements :class:`berylproxy.store.port.Store`.

    :param base_urls: one or several base URLs of the same service.
    :param timeout_s: time until the response to a call begins, including the attempts at all base
        URLs, and until each further part of it.
    :ivar preferred_index: index of the base URL that is called first; moves on when a URL fails, so
        that calls start with the one that answered last.
    """

    def __init__(self, base_urls: Sequence[str], timeout_s: float) -> None:
        self.base_urls = [url.rstrip("/") for url in base_urls]
        self.timeout_s = timeout_s
        self.preferred_index = 0
        # Ignores proxy settings in the environment: calls must go directly to the service.
        self.client = AsyncClient(
            trust_env=False, limits=Limits(max_connections=MAX_CONNECTIONS), timeout=timeout_s
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Closes all connections."""
        await self.client.aclose()

    async def get(self, key: str) -> Entry | None:
        """Reads one key; ``None`` if it does not exist."""
        request = RangeRequest(key=key.encode())
        response = await self.read("/v3/kv/range", request, RangeResponse)
        return convert_entry(response.kvs[0]) if response.kvs else None

    async def list_prefix(self, prefix: str) -> Listing:
        """Reads all keys that start with ``prefix``."""
        start, end = prefix_range(prefix)
        request = RangeRequest(key=start, range_end=end)
        response = await self.read("/v3/kv/range", request, RangeResponse)
        entries = tuple(convert_entry(kv) for kv in response.kvs)
        return Listing(response.header.revision, entries)

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, *, lease_id: int = 0
    ) -> int:
        """Writes ``value`` if the key's revision is the expected one; returns the new revision."""
        put = PutRequest(key=key.encode(), value=value, lease=lease_id)
        return await self.run_txn(key, expected_revision, RequestOp(request_put=put))

    async def delete(self, key: str, expected_revision: int) -> int:
        """Deletes the key if its revision is the expected one; returns the store's new revision."""
        request = DeleteRangeRequest(key=key.encode())
        return await self.run_txn(key, expected_revision, RequestOp(request_delete_range=request))

    async def run_txn(self, key: str, expected_revision: int, operation: RequestOp) -> int:
        """Runs one operation if the key has the expected revision; returns the store's revision.

        :raises StoreConflictError: if the key has another revision.
        """
        request = TxnRequest(
            compare=[build_compare(key, expected_revision)],
            success=[operation],
        )
        response = await self.write("/v3/kv/txn", request, TxnResponse)
        if not response.succeeded:
            raise StoreConflictError(f"{key}: revision is not {expected_revision}")
        return response.header.revision

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> ChangeBatch:
        """Waits for changes below ``prefix`` later than a revision, for at most ``wait_s``.

        :raises StoreWatchError: if the prefix must be listed again.
        """
        start, end = prefix_range(prefix)
        create = WatchCreateRequest(key=start, range_end=end, start_revision=after_revision + 1)
        body = WatchRequest(create_request=create).model_dump_json(exclude_none=True)
        try:
            # The call's timeout bounds only the start of the watch; changes may take up to wait_s.
            with fail_after(self.timeout_s) as scope:
                async with self.open_watch(body) as response:
                    lines = response.aiter_lines()
                    await wait_for_watch_created(lines, after_revision)
                    scope.deadline = current_time() + wait_s + self.timeout_s
                    with move_on_after(wait_s):
                        return convert_batch(await read_events(lines))
        except (HTTPError, TimeoutError) as error:
            self.prefer_next_url()
            raise StoreUnavailableError(f"watch of {prefix}: {error!r}") from error
        return ChangeBatch(after_revision, (), ())

    @asynccontextmanager
    async def open_watch(self, body: str) -> AsyncIterator[Response]:
        """Opens the response stream of a watch."""
        url = self.base_urls[self.preferred_index] + "/v3/watch"
        timeout = Timeout(self.timeout_s, read=None)
        async with self.client.stream("POST", url, content=body, timeout=timeout) as response:
            if response.status_code != HTTP_OK:
                raise convert_error_response(response, await response.aread(), is_write=False)
            yield response

    async def grant_lease(self, ttl_s: int) -> int:
        """Creates a lease and returns its identifier."""
        response = await self.write("/v3/lease/grant", LeaseGrantRequest(TTL=ttl_s), LeaseResponse)
        return response.ID

    async def renew_lease(self, lease_id: int) -> bool:
        """Renews a lease; returns ``False`` if it has expired."""
        request = LeaseRequest(ID=lease_id)
        response = await self.write("/v3/lease/keepalive", request, LeaseKeepAliveResponse)
        return response.result.TTL > 0

    async def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys; an expired lease is not an error."""
        try:
            await self.write("/v3/lease/revoke", LeaseRequest(ID=lease_id), LeaseResponse)
        except StoreLeaseLapsedError:
            return

    async def read(
        self, path: str, request: BaseModel, response_type: type[ResponseT]
    ) -> ResponseT:
        """Sends a read request, trying the base URLs in turn until one answers."""
        return await self.call(path, request, response_type, is_write=False)

    async def write(
        self, path: str, request: BaseModel, response_type: type[ResponseT]
    ) -> ResponseT:
        """Sends a write; tries the next base URL only if this one certainly did not receive it."""
        return await self.call(path, request, response_type, is_write=True)

    async def call(
        self, path: str, request: BaseModel, response_type: type[ResponseT], *, is_write: bool
    ) -> ResponseT:
        """Posts a request and parses the response.

        The timeout holds until the response begins, and from then on for each part of it.
        """
        body = request.model_dump_json(exclude_none=True)
        deadline = current_time() + self.timeout_s
        try:
            with fail_after(self.timeout_s) as scope:
                content = await self.post_with_failover(path, body, deadline, is_write, scope)
        except TimeoutError as error:
            self.prefer_next_url()
            raise lost_answer_error(f"{path}: no answer in time", is_write) from error
        try:
            return response_type.model_validate_json(content)
        except ValidationError as error:
            raise lost_answer_error(f"{path}: answer is malformed", is_write) from error

    async def post_with_failover(
        self, path: str, body: str, deadline: float, is_write: bool, scope: CancelScope
    ) -> bytes:
        """Tries each base URL once, starting with the preferred one."""
        for attempts_left in range(len(self.base_urls), 1, -1):
            try:
                return await self.post(path, body, deadline, attempts_left, is_write, scope)
            except StoreUnavailableError:
                self.prefer_next_url()
        return await self.post(path, body, deadline, 1, is_write, scope)

    async def post(
        self,
        path: str,
        body: str,
        deadline: float,
        attempts_left: int,
        is_write: bool,
        scope: CancelScope,
    ) -> bytes:
        """Posts to the preferred base URL and converts errors to :class:`StoreError`.

        :param deadline: time by which a response must have begun.
        :param attempts_left: number of attempts, with this one, that share the remaining time.
        :param scope: scope of the call, whose deadline each part of a response puts off.
        :returns: the body of the response.
        """
        url = self.base_urls[self.preferred_index] + path
        remaining_s = max(deadline - current_time(), 0.0)
        attempt_timeout_s = remaining_s / attempts_left
        # A write that was sent is not sent to another URL, so it may use all remaining time.
        timeout = Timeout(attempt_timeout_s, read=remaining_s if is_write else attempt_timeout_s)
        try:
            async with self.client.stream("POST", url, content=body, timeout=timeout) as response:
                content = bytearray()
                async for part in response.aiter_bytes():
                    content += part
                    put_off_s = current_time() + self.timeout_s
                    scope.deadline = min(max(scope.deadline, put_off_s), deadline + MAX_ANSWER_S)
        except NOT_DELIVERED_ERRORS as error:
            raise StoreUnavailableError(f"{path}: {error!r}") from error
        except HTTPError as error:
            raise lost_answer_error(f"{path}: {error!r}", is_write) from error
        if response.status_code != HTTP_OK:
            raise convert_error_response(response, bytes(content), is_write=is_write)
        return bytes(content)

    def prefer_next_url(self) -> None:
        """Makes the next base URL the preferred one."""
        self.preferred_index = (self.preferred_index + 1) % len(self.base_urls)


def prefix_range(prefix: str) -> tuple[bytes, bytes]:
    """Returns the key and ``range_end`` that cover all keys with the prefix."""
    start = prefix.encode()
    if not start:
        return b"\0", b"\0"
    # UTF-8 has no byte 255, so the last byte can always be incremented.
    return start, start[:-1] + bytes([start[-1] + 1])


def build_compare(key: str, expected_revision: int) -> Compare:
    """Builds the condition that a key has the expected revision, or does not exist."""
    if expected_revision == ABSENT_REVISION:
        return Compare(key=key.encode(), target="CREATE", create_revision=0)
    return Compare(key=key.encode(), target="MOD", mod_revision=expected_revision)


def convert_entry(kv: KeyValue) -> Entry:
    """Converts a key-value pair of etcd to an entry."""
    return Entry(kv.key.decode(), kv.value, kv.mod_revision)


def convert_batch(result: WatchResult) -> ChangeBatch:
    """Converts a watch message to a batch with the last change of each key.

    The batch has the revision of its last change, because the revision in the header may be higher
    than those of the changes in the message.
    """
    last = {event.kv.key: event for event in result.events}
    updates = tuple(convert_entry(event.kv) for event in last.values() if event.type == "PUT")
    deletions = tuple(convert_entry(event.kv) for event in last.values() if event.type == "DELETE")
    return ChangeBatch(result.events[-1].kv.mod_revision, updates, deletions)


async def wait_for_watch_created(lines: AsyncIterator[str], after_revision: int) -> None:
    """Waits until the service confirms the watch.

    :raises StoreRevisionBehindError: if the service's revision is below ``after_revision``.
    """
    result = await read_result(lines)
    if result.header.revision < after_revision:
        raise StoreRevisionBehindError(
            f"the store is at revision {result.header.revision}, below {after_revision}"
        )


async def read_events(lines: AsyncIterator[str]) -> WatchResult:
    """Reads messages of a watch up to the first one with changes."""
    while True:
        result = await read_result(lines)
        if result.events:
            return result


async def read_result(lines: AsyncIterator[str]) -> WatchResult:
    """Reads one message of a watch.

    :raises StoreUnavailableError: if the stream ended or the message is malformed.
    :raises StoreWatchError: if the service cancelled the watch.
    """
    line = await anext(lines, None)
    if line is None:
        raise StoreUnavailableError("the watch stream ended")
    try:
        result = WatchResponse.model_validate_json(line).result
    except ValidationError as error:
        raise StoreUnavailableError("a watch message is malformed") from error
    if result.compact_revision:
        raise StoreCompactedError(f"changes before {result.compact_revision} are compacted")
    if result.canceled:
        raise StoreWatchError(f"the watch was cancelled: {result.cancel_reason}")
    return result


def lost_answer_error(message: str, is_write: bool) -> StoreError:
    """Builds the error for a call that was sent but got no valid answer."""
    return StoreOutcomeUnknownError(message) if is_write else StoreUnavailableError(message)


def convert_error_response(response: Response, content: bytes, *, is_write: bool) -> StoreError:
    """Builds the error for a response with a status other than 200."""
    try:
        error = ErrorResponse.model_validate_json(content)
    except ValidationError:
        error = ErrorResponse()
    reason = error.message or error.error
    status = response.status_code
    message = f"{response.request.url.path}: {status} {reason}".rstrip()
    if status in (HTTP_UNAVAILABLE, HTTP_TOO_MANY_REQUESTS):
        is_ambiguous = is_write and any(text in reason for text in AMBIGUOUS_MESSAGES)
        return lost_answer_error(message, is_ambiguous)
    if status >= HTTP_SERVER_ERROR:
        return lost_answer_error(message, is_write)
    if error.code == GRPC_NOT_FOUND:
        return StoreLeaseLapsedError(message)
    return StoreRefusedError(message)
