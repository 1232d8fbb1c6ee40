"""A key-value service in memory whose failures are controlled by the test."""

from collections import Counter
from collections.abc import Callable

import anyio

from berylproxy.store.port import (
    ChangeBatch,
    Entry,
    Listing,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)


class StoreCompactedError(StoreError):
    """The requested changes have been compacted."""

    code = "store_compacted"


class MemoryStore:
    """Implements :class:`berylproxy.store.port.Store`.

    :ivar is_unavailable: whether every call fails.
    :ivar lost_answers: how many of the next writes take effect but get no answer.
    :ivar lost_writes: how many of the next writes do not take effect and get no answer.
    :ivar never_lost_key: a key whose writes and answers are not lost.
    :ivar on_loss: called when a write or an answer is lost.
    :ivar max_batch_changes: maximum number of changes that one watch returns; 0 for no limit.
    :ivar calls: number of calls by method.
    """

    def __init__(self) -> None:
        self.is_unavailable = False
        self.lost_answers = 0
        self.lost_writes = 0
        self.never_lost_key = ""
        self.on_loss: Callable[[], None] = lambda: None
        self.max_batch_changes = 0
        self.calls: Counter[str] = Counter()
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._log: list[Entry] = []  # a deletion has an empty value
        self._compacted_revision = 0
        self._restore_count = 0
        self._leases: dict[int, set[str]] = {}
        self._changed = anyio.Event()
        self._called = anyio.Event()

    def set_outage(self, is_unavailable: bool) -> None:
        """Starts or ends an outage; an outage fails waiting watches at once."""
        self.is_unavailable = is_unavailable
        self._notify_watchers()

    def compact(self) -> None:
        """Drops all past changes; waiting watches fail at once."""
        self._compacted_revision = self.revision
        self._log.clear()
        self._notify_watchers()

    def make_backup(self) -> tuple[int, dict[str, Entry]]:
        """Returns a copy of the current state."""
        return self.revision, dict(self._entries)

    def restore(self, backup: tuple[int, dict[str, Entry]], *, breaks_watches: bool = True) -> None:
        """Restores an earlier state.

        :param breaks_watches: whether waiting watches fail; otherwise they return without changes.
        """
        self._restore_count += breaks_watches
        self.revision, self._entries = backup[0], dict(backup[1])
        self._log = [entry for entry in self._log if entry.revision <= self.revision]
        self._notify_watchers()

    async def get(self, key: str) -> Entry | None:
        self._count("get")
        return self._entries.get(key)

    async def list_prefix(self, prefix: str) -> Listing:
        self._count("list_prefix")
        entries = (self._entries[key] for key in sorted(self._entries) if key.startswith(prefix))
        return Listing(self.revision, tuple(entries))

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, *, lease_id: int = 0
    ) -> int:
        self._count("compare_and_swap")
        if lease_id:
            self._leases[lease_id].add(key)
        return self.write(key, value, expected_revision)

    async def delete(self, key: str, expected_revision: int) -> int:
        self._count("delete")
        return self.write(key, b"", expected_revision)

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> ChangeBatch:
        self._count("wait_for_changes")
        restore_count = self._restore_count
        with anyio.move_on_after(wait_s):
            while after_revision >= self._compacted_revision:
                self._check_available()
                if self._restore_count != restore_count:
                    raise StoreUnavailableError("restored")
                if self.revision != after_revision:
                    return self._collect(prefix, after_revision)
                await self._changed.wait()
            raise StoreCompactedError("compacted")
        return ChangeBatch(after_revision, (), ())

    async def grant_lease(self, ttl_s: int) -> int:
        self._count("grant_lease")
        lease_id = len(self._leases) + 1
        self._leases[lease_id] = set()
        return lease_id

    async def renew_lease(self, lease_id: int) -> bool:
        self._count("renew_lease")
        return lease_id in self._leases

    async def revoke_lease(self, lease_id: int) -> None:
        self._count("revoke_lease")
        for key in self._leases.pop(lease_id, set()):
            if key in self._entries:
                self.write(key, b"", self._entries[key].revision)

    def _count(self, method: str) -> None:
        self.calls[method] += 1
        self._called.set()
        self._called = anyio.Event()
        self._check_available()

    async def wait_for_calls(self, method: str, count: int) -> None:
        """Waits until a method has been called ``count`` times."""
        while self.calls[method] < count:
            await self._called.wait()

    def find(self, key: str) -> Entry | None:
        """Returns an entry without counting a call, also during an outage."""
        return self._entries.get(key)

    def count_writes(self, key: str) -> int:
        """Returns how many writes of a key took effect."""
        return sum(entry.key == key for entry in self._log)

    def _check_available(self) -> None:
        if self.is_unavailable:
            raise StoreUnavailableError("outage")

    def write(self, key: str, value: bytes, expected_revision: int) -> int:
        """Writes without counting a call, also during an outage; an empty value deletes."""
        if self.lost_writes and key != self.never_lost_key:
            self.lost_writes -= 1
            raise self._report_loss()
        stored = self._entries.get(key)
        if (stored.revision if stored else 0) != expected_revision:
            raise StoreConflictError("the key has another revision")
        self.revision += 1
        entry = Entry(key, value, self.revision)
        if value:
            self._entries[key] = entry
        else:
            del self._entries[key]
        self._log.append(entry)
        self._notify_watchers()
        if self.lost_answers and key != self.never_lost_key:
            self.lost_answers -= 1
            raise self._report_loss()
        return self.revision

    def _report_loss(self) -> StoreOutcomeUnknownError:
        self.on_loss()
        return StoreOutcomeUnknownError("no answer")

    def _collect(self, prefix: str, after_revision: int) -> ChangeBatch:
        revision = self.revision
        changes = [entry for entry in self._log if entry.revision > after_revision]
        if self.max_batch_changes and len(changes) > self.max_batch_changes:
            changes = changes[: self.max_batch_changes]
            revision = changes[-1].revision
        last = {entry.key: entry for entry in changes if entry.key.startswith(prefix)}
        updates = tuple(entry for entry in last.values() if entry.value)
        deletions = tuple(entry for entry in last.values() if not entry.value)
        return ChangeBatch(revision, updates, deletions)

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
