"""The platform's key-value service."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from dataclasses import dataclass
from time import monotonic
from typing import Any
from urllib.parse import quote

import orjson

from berylproxy.durable.ports import Transaction, TransactionConflictError
from berylproxy.http_exchange import AnswerLostError, HttpAnswer, HttpExchange, NotSentError
from berylproxy.store.errors import StoreCompactedError, StoreLeaseLapsedError, StoreRefusedError
from berylproxy.store.port import (
    ChangeBatch,
    Entry,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

CALL_TIMEOUT_S = 1.0  # a slow store answers in some 0.3 s
READ_TIMEOUT_S = 0.7  # so is a silent connection noticed, and others are tried
CONTACT_SILENCE_S = 0.8  # of a store that failed the last call
CONNECT_TIMEOUT_S = 0.3  # many round trips within a region
WATCH_MARGIN_S = 0.4  # on top of the wait, before a watch counts as silent
REFUSING_STATUSES = (429, 503)  # nothing was done
MAX_TRANSACTION_ENTRIES = 32


@dataclass(frozen=True, slots=True)
class StorePage:
    """Entries below a prefix, a part of all if there are more."""

    entries: tuple[Entry, ...]
    has_more: bool
    revision: int


class PlatformStore:
    """Implements :class:`berylproxy.durable.ports.JobStore` and the reads that a daemon needs.

    :ivar calls: number of calls made.
    :ivar heard_s: monotonic time of the last answer that was no refusal.
    """

    max_entries = MAX_TRANSACTION_ENTRIES

    def __init__(self, address: str) -> None:
        self._http = HttpExchange(address, CONNECT_TIMEOUT_S)
        self._watches = HttpExchange(address, CONNECT_TIMEOUT_S)
        self.calls = 0
        self.heard_s = monotonic()
        self._failures_in_row = 0

    def move(self, address: str) -> None:
        """Goes on at another address; calls under way end at the former one."""
        former = (self._http, self._watches)
        self._http = HttpExchange(address, CONNECT_TIMEOUT_S)
        self._watches = HttpExchange(address, CONNECT_TIMEOUT_S)
        for http in former:
            http.close_idle()

    @property
    def has_contact(self) -> bool:
        """Whether the service answers this daemon, as far as the last calls show."""
        if self._failures_in_row > 1:
            return False
        return not self._failures_in_row or monotonic() - self.heard_s < CONTACT_SILENCE_S

    async def commit(self, transaction: Transaction) -> int:
        """Makes the changes and returns their revision; see the protocol type for errors."""
        body = {
            "expect": [{"key": key, "rev": revision} for key, revision in transaction.expected],
            "set-keys": [
                {"key": key, "value": b64encode(value).decode()}
                for key, value in transaction.written
            ],
            "remove": list(transaction.removed),
        }
        answer = await self._write("/-/kv-txn", body)
        if answer.status == 412:
            revisions = {key: 0 for key, _ in transaction.expected}
            for item in _read_object(answer).get("items", ()):
                revisions[item["key"]] = item.get("rev", 0)
            raise TransactionConflictError("a key has another revision", revisions)
        return int(_read_object(self._require_done(answer))["rev"])

    async def put_with_lease(self, key: str, value: bytes, lease_id: int) -> None:
        """Writes a key that goes away with a lease.

        :raises StoreLeaseLapsedError: if the lease has ended.
        """
        row = {"key": key, "value": b64encode(value).decode(), "lease": lease_id}
        answer = await self._write("/-/kv-txn", {"expect": [], "set-keys": [row], "remove": []})
        if answer.status == 404:
            raise StoreLeaseLapsedError("the lease has ended")
        self._require_done(answer)

    async def grant_lease(self, ttl_s: float) -> int:
        """Makes a lease and returns its identifier."""
        answer = await self._write("/-/kv-lease", {"ttl-ms": int(ttl_s * 1000)})
        return int(_read_object(self._require_done(answer))["lease"])

    async def renew_lease(self, lease_id: int) -> bool:
        """Renews a lease; ``False`` if it has ended."""
        answer = await self._write(f"/-/kv-keep/{lease_id}", None)
        if answer.status == 404:
            return False
        self._require_done(answer)
        return True

    async def get(self, key: str) -> Entry | None:
        """Reads one key; ``None`` if it does not exist."""
        answer = await self._read(f"/-/kv-key?key={quote(key, safe='')}")
        if answer.status == 404:
            return None
        return _read_entry(_read_object(self._require_done(answer)))

    async def list_page(
        self, prefix: str, after_key: str, *, may_be_stale: bool = False
    ) -> tuple[tuple[Entry, ...], bool]:
        """Reads entries below a prefix, and tells whether more follow."""
        page = await self.read_page(prefix, after_key, may_be_stale=may_be_stale)
        return page.entries, page.has_more

    async def read_page(
        self, prefix: str, after_key: str = "", *, may_be_stale: bool = False
    ) -> StorePage:
        """Reads a page of entries; a stale one is cheap and may be seconds old."""
        target = f"/-/kv-range?prefix={quote(prefix, safe='')}"
        if after_key:
            target += f"&after={quote(after_key, safe='')}"
        if may_be_stale:
            target += "&stale-ok=1"
        content = _read_object(self._require_done(await self._read(target)))
        entries = [_read_entry(item) for item in content.get("items", ())]
        return StorePage(
            tuple(entry for entry in entries if entry is not None),
            bool(content.get("more-pages")),
            int(content.get("store-revision", 0)),
        )

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> ChangeBatch:
        """Waits for changes later than a revision.

        :raises StoreCompactedError: if they are not kept any more.
        """
        target = (
            f"/-/kv-watch?prefix={quote(prefix, safe='')}&after={after_revision}"
            f"&wait-ms={int(wait_s * 1000)}"
        )
        try:
            self.calls += 1
            answer = await self._watches.call("GET", target, timeout_s=wait_s + WATCH_MARGIN_S)
        except (NotSentError, AnswerLostError) as error:
            self._failures_in_row += 1
            raise StoreUnavailableError(f"watch: {error.message}") from error
        self._note_contact(answer)
        if answer.status == 410:
            raise StoreCompactedError(f"changes after {after_revision} are not kept")
        content = _read_object(self._require_done(answer))
        updates, deletions = [], []
        for event in content.get("events", ()):
            if event.get("deleted"):
                deletions.append(Entry(event["key"], b"", int(event.get("rev", 0))))
            else:
                entry = _read_entry(event)
                if entry is not None:
                    updates.append(entry)
        revision = int(content.get("store-revision", after_revision))
        return ChangeBatch(revision, tuple(updates), tuple(deletions))

    async def _write(self, target: str, body: Any) -> HttpAnswer:
        content = orjson.dumps(body) if body is not None else b""
        self.calls += 1
        try:
            answer = await self._http.call("POST", target, content, timeout_s=CALL_TIMEOUT_S)
        except NotSentError as error:
            self._failures_in_row += 1
            raise StoreUnavailableError(error.message) from error
        except AnswerLostError as error:
            self._failures_in_row += 1
            raise StoreOutcomeUnknownError(error.message) from error
        self._note_contact(answer)
        return answer

    async def _read(self, target: str) -> HttpAnswer:
        self.calls += 1
        try:
            answer = await self._http.call("GET", target, timeout_s=READ_TIMEOUT_S)
        except (NotSentError, AnswerLostError) as error:
            self._failures_in_row += 1
            raise StoreUnavailableError(error.message) from error
        self._note_contact(answer)
        return answer

    def _note_contact(self, answer: HttpAnswer) -> None:
        if answer.status in REFUSING_STATUSES:
            self._failures_in_row += 1
        else:
            self._failures_in_row = 0
            self.heard_s = answer.received_s

    def _require_done(self, answer: HttpAnswer) -> HttpAnswer:
        if answer.status in REFUSING_STATUSES:
            raise StoreUnavailableError(f"the service answered {answer.status}")
        if answer.status != 200:
            raise StoreRefusedError(f"the service answered {answer.status}")
        return answer


def _read_object(answer: HttpAnswer) -> dict[str, Any]:
    try:
        content = orjson.loads(answer.body)
    except orjson.JSONDecodeError as error:
        raise StoreOutcomeUnknownError(f"the answer is not JSON: {error}") from error
    if not isinstance(content, dict):
        raise StoreOutcomeUnknownError("the answer is not a JSON object")
    return content


def _read_entry(item: dict[str, Any]) -> Entry | None:
    """Decodes an item; one whose value is not base64 keeps its key with an empty value."""
    key, value = item.get("key"), item.get("value")
    if not isinstance(key, str):
        return None
    try:
        decoded = b64decode(value, validate=True) if isinstance(value, str) else b""
    except Base64Error:
        decoded = b""
    return Entry(key, decoded, int(item.get("rev", 0)))
