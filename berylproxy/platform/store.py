"""Client of the platform's key-value service."""

from base64 import b64decode, b64encode
from collections import Counter
from dataclasses import dataclass
from time import monotonic
from typing import Annotated, Any
from urllib.parse import quote

import orjson
from logbook import Logger
from msgspec import Meta

from berylproxy.durable.jobs.ports import Transaction, TransactionConflictError
from berylproxy.http_exchange import AnswerLostError, HttpClient, HttpResponse, NotSentError
from berylproxy.store.errors import StoreCompactedError, StoreLeaseLapsedError, StoreRefusedError
from berylproxy.store.port import (
    ChangeBatch,
    Entry,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from berylproxy.tables import Table, TableInvalidError, TableType, convert_table

# Both limit the time until an answer begins, and until each further part of it arrives: a value of
# a megabyte takes a second and more on the links of small VMs.
CALL_TIMEOUT_S = 1.0  # a slow store responds in about 0.3 s
READ_TIMEOUT_S = 0.7  # a dead connection is detected early, and a new one is tried
# After a single failed call the store counts as reachable for this long from its last response.
MAX_CONTACT_AGE_S = 0.8
CONNECT_TIMEOUT_S = 0.3  # long enough for many round trips within a region
WATCH_TIMEOUT_MARGIN_S = 0.4  # added to the wait before a watch is considered hung
REFUSAL_STATUSES = (429, 503)  # the request had no effect
MAX_TRANSACTION_ENTRIES = 32
MAX_REVISION = 2**63 - 1

logger = Logger(__name__)

Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]


class _Item(Table):
    """An item of the store, or an event of a watch.

    :ivar value: Base64 text.
    """

    key: str
    value: Any = None
    rev: Revision = 0
    deleted: Any = False


class _Written(Table):
    """The answer to a transaction."""

    rev: Revision


class _Granted(Table):
    """The answer to the creation of a lease."""

    lease: int


class _Listed(Table):
    """A page of items, or the events of a watch."""

    items: list[Any] | None = None
    events: list[Any] | None = None
    more_pages: Any = False
    store_revision: Revision | None = None


@dataclass(frozen=True, slots=True)
class StorePage:
    """One page, or all pages, of the entries under a prefix."""

    entries: tuple[Entry, ...]
    has_more: bool
    revision: int


class PlatformStore:
    """Implements :class:`berylproxy.durable.jobs.ports.JobStore` and the reads that a daemon needs.

    :ivar call_count: number of calls made.
    :ivar failed_calls: number of calls that failed, by kind and reason: ``not_sent``,
        ``answer_lost`` or ``refused``.
    :ivar last_contact_s: monotonic time of the last response other than a refusal.
    """

    max_entries = MAX_TRANSACTION_ENTRIES

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address, CONNECT_TIMEOUT_S)
        self._watches = HttpClient(address, CONNECT_TIMEOUT_S)
        self.call_count = 0
        self.failed_calls: Counter[tuple[str, str]] = Counter()
        self.last_contact_s = monotonic()
        self._consecutive_failures = 0
        self._last_failure_s = 0.0
        self._has_logged_item = False

    def change_address(self, address: str) -> None:
        """Switches to another address; calls in progress finish at the former one."""
        former = (self._http, self._watches)
        self._http = HttpClient(address, CONNECT_TIMEOUT_S)
        self._watches = HttpClient(address, CONNECT_TIMEOUT_S)
        for http in former:
            http.close_idle()

    @property
    def is_reachable(self) -> bool:
        """Whether the service is reachable, judging by the last calls."""
        if self._consecutive_failures > 1:
            return False
        return (
            not self._consecutive_failures or monotonic() - self.last_contact_s < MAX_CONTACT_AGE_S
        )

    async def commit(self, transaction: Transaction) -> int:
        """Commits the changes and returns their revision; see the protocol type for errors."""
        body = {
            "expect": [{"key": key, "rev": revision} for key, revision in transaction.expected],
            "set-keys": [
                {"key": key, "value": b64encode(value).decode()}
                for key, value in transaction.written
            ],
            "remove": list(transaction.removed),
        }
        response = await self._write("/-/kv-txn", body)
        if response.status == 412:
            revisions = {key: 0 for key, _ in transaction.expected}
            for row in _decode_answer(response, _Listed).items or ():
                item = _convert_answer(row, _Item)
                revisions[item.key] = item.rev
            raise TransactionConflictError("a key has another revision", revisions)
        return _decode_answer(self._require_success(response), _Written).rev

    async def put_with_lease(
        self, key: str, value: bytes, lease_id: int, expected_revision: int
    ) -> None:
        """Writes a key, if it has the expected revision, to be removed when the lease ends.

        :raises TransactionConflictError: if the key has another revision.
        :raises StoreLeaseLapsedError: if the lease has ended.
        """
        row = {"key": key, "value": b64encode(value).decode(), "lease": lease_id}
        expected = {"key": key, "rev": expected_revision}
        body = {"expect": [expected], "set-keys": [row], "remove": []}
        response = await self._write("/-/kv-txn", body)
        if response.status == 412:
            raise TransactionConflictError("the key has another revision", {})
        if response.status == 404:
            raise StoreLeaseLapsedError("the lease has ended")
        self._require_success(response)

    async def grant_lease(self, ttl_s: float) -> int:
        """Creates a lease and returns its identifier."""
        response = await self._write("/-/kv-lease", {"ttl-ms": int(ttl_s * 1000)})
        return _decode_answer(self._require_success(response), _Granted).lease

    async def renew_lease(self, lease_id: int) -> bool:
        """Renews a lease; returns ``False`` if it has ended."""
        response = await self._write(f"/-/kv-keep/{lease_id}", None)
        if response.status == 404:
            return False
        self._require_success(response)
        return True

    async def get(self, key: str) -> Entry | None:
        """Reads one key; returns ``None`` if it does not exist."""
        response = await self._read(f"/-/kv-key?key={quote(key, safe='')}")
        if response.status == 404:
            return None
        return _make_entry(_decode_answer(self._require_success(response), _Item))

    async def list_page(
        self, prefix: str, after_key: str, *, may_be_stale: bool = False
    ) -> tuple[tuple[Entry, ...], bool]:
        """Reads entries under a prefix; also returns whether more follow."""
        page = await self.read_page(prefix, after_key, may_be_stale=may_be_stale)
        return page.entries, page.has_more

    async def read_page(
        self, prefix: str, after_key: str = "", *, may_be_stale: bool = False
    ) -> StorePage:
        """Reads a page of entries; a stale read costs the store less and may be seconds old.

        :raises StoreUnavailableError: if the answer is not a page, or promises more entries
            without any after which they could be read: others may have been left out.
        """
        target = f"/-/kv-range?prefix={quote(prefix, safe='')}"
        if after_key:
            target += f"&after={quote(after_key, safe='')}"
        if may_be_stale:
            target += "&stale-ok=1"
        listed = _decode_answer(self._require_success(await self._read(target)), _Listed)
        page = StorePage(
            tuple(_make_entry(item) for item in self._decode_items(listed.items)),
            bool(listed.more_pages),
            listed.store_revision or 0,
        )
        if not page.revision or (page.has_more and not page.entries):
            raise StoreUnavailableError(f"the list of keys below {prefix} was cut short")
        return page

    async def read_all(self, prefix: str, *, may_be_stale: bool = False) -> StorePage:
        """Reads all entries under a prefix; the revision is that of the first page.

        Pages are no snapshot: an entry that came or went meanwhile may be listed or not.
        """
        page = await self.read_page(prefix, may_be_stale=may_be_stale)
        revision, entries = page.revision, list(page.entries)
        while page.has_more:
            page = await self.read_page(prefix, entries[-1].key, may_be_stale=may_be_stale)
            entries += page.entries
        return StorePage(tuple(entries), False, revision)

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> ChangeBatch:
        """Waits for changes later than a revision.

        :raises StoreCompactedError: if the store no longer has them.
        """
        target = (
            f"/-/kv-watch?prefix={quote(prefix, safe='')}&after={after_revision}"
            f"&wait-ms={int(wait_s * 1000)}"
        )
        try:
            self.call_count += 1
            response = await self._watches.call(
                "GET",
                target,
                timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
                stall_timeout_s=READ_TIMEOUT_S,
            )
        except (NotSentError, AnswerLostError) as error:
            self._note_failure("watch", error.code)
            raise StoreUnavailableError(f"watch: {error.message}") from error
        # A watch that began before the last failure ends without the service being available.
        if response.sent_s > self._last_failure_s:
            self._note_response("watch", response)
        if response.status == 410:
            raise StoreCompactedError(f"changes after {after_revision} are no longer available")
        batch = _decode_answer(self._require_success(response), _Listed)
        updates, deletions = [], []
        for event in self._decode_items(batch.events):
            (deletions if event.deleted else updates).append(_make_entry(event))
        revision = after_revision if batch.store_revision is None else batch.store_revision
        return ChangeBatch(revision, tuple(updates), tuple(deletions))

    def _decode_items(self, rows: list[Any] | None) -> list[_Item]:
        """Decodes the items of an answer; the first one that is malformed is logged."""
        items = []
        for row in rows or ():
            try:
                items.append(convert_table(row, _Item, strict=True))
            except TableInvalidError as error:
                if not self._has_logged_item:
                    logger.warning("skipped an item of the store: {}", error.problems[0])
                self._has_logged_item = True
        return items

    async def _write(self, target: str, body: Any) -> HttpResponse:
        content = orjson.dumps(body) if body is not None else b""
        self.call_count += 1
        try:
            response = await self._http.call("POST", target, content, timeout_s=CALL_TIMEOUT_S)
        except NotSentError as error:
            self._note_failure("write", error.code)
            raise StoreUnavailableError(error.message) from error
        except AnswerLostError as error:
            self._note_failure("write", error.code)
            raise StoreOutcomeUnknownError(error.message) from error
        self._note_response("write", response)
        return response

    async def _read(self, target: str) -> HttpResponse:
        self.call_count += 1
        try:
            response = await self._http.call("GET", target, timeout_s=READ_TIMEOUT_S)
        except (NotSentError, AnswerLostError) as error:
            self._note_failure("read", error.code)
            raise StoreUnavailableError(error.message) from error
        self._note_response("read", response)
        return response

    def _note_failure(self, call: str, reason: str) -> None:
        self.failed_calls[call, reason] += 1
        self._consecutive_failures += 1
        self._last_failure_s = monotonic()

    def _note_response(self, call: str, response: HttpResponse) -> None:
        if response.status in REFUSAL_STATUSES:
            self._note_failure(call, "refused")
        else:
            self._consecutive_failures = 0
            self.last_contact_s = response.received_s

    def _require_success(self, response: HttpResponse) -> HttpResponse:
        if response.status in REFUSAL_STATUSES:
            raise StoreUnavailableError(f"the service answered {response.status}")
        if response.status != 200:
            raise StoreRefusedError(f"the service answered {response.status}")
        return response


def _decode_answer(response: HttpResponse, table: type[TableType]) -> TableType:
    """Decodes the body of an answer.

    :raises StoreOutcomeUnknownError: if it is malformed.
    """
    try:
        content = orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        raise StoreOutcomeUnknownError(f"the answer is not JSON: {error}") from error
    return _convert_answer(content, table)


def _convert_answer(content: Any, table: type[TableType]) -> TableType:
    try:
        return convert_table(content, table, strict=True)
    except TableInvalidError as error:
        raise StoreOutcomeUnknownError(f"malformed answer: {error.problems[0]}") from error


def _make_entry(item: _Item) -> Entry:
    """Returns the entry of an item; a value that is not base64 is replaced by an empty one."""
    try:
        value = b64decode(item.value, validate=True) if isinstance(item.value, str) else b""
    except ValueError:
        value = b""
    return Entry(item.key, value, item.rev)
