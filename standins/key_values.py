"""An in-memory key-value store with etcd's revisions, leases and history."""

import time
from bisect import bisect_left
from dataclasses import dataclass, field

import anyio

MAX_HISTORY = 100_000
FIRST_LEASE_ID = 7_000


class CompactedError(Exception):
    """The requested revision is older than the retained history."""


class LeaseNotFoundError(Exception):
    """The lease does not exist or has expired."""


@dataclass(frozen=True, slots=True)
class StoredValue:
    """One version of a key; the value ``None`` marks a deletion in the history."""

    key: bytes
    value: bytes | None
    create_revision: int
    mod_revision: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease, its TTL and the time of its expiry on the store's clock."""

    ttl_s: int
    expires_at_s: float


@dataclass(slots=True)
class State:
    """The complete state of the store, which a snapshot copies."""

    revision: int = 1
    compact_revision: int = 0
    values: dict[bytes, StoredValue] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    history: list[StoredValue] = field(default_factory=list)

    def copy(self) -> "State":
        """Returns a copy of the state; the entries are immutable and therefore shared."""
        values, leases, history = dict(self.values), dict(self.leases), list(self.history)
        return State(self.revision, self.compact_revision, values, leases, history)


class KeyValues:
    """The key-value store.

    :ivar changed: event that is set and replaced by a new one at each change.
    """

    def __init__(self) -> None:
        self.state = State()
        self.snapshot = State()
        self.next_lease_id = FIRST_LEASE_ID
        self.clock_offset_s = 0.0
        self.changed = anyio.Event()

    def now_s(self) -> float:
        """Returns the time on the store's clock, which tests can advance."""
        return time.monotonic() + self.clock_offset_s

    def select(self, key: bytes, range_end: bytes) -> list[StoredValue]:
        """Returns the values of a key or a range, sorted by key."""
        if not range_end:
            return [self.state.values[key]] if key in self.state.values else []
        keys = sorted(name for name in self.state.values if in_range(name, key, range_end))
        return [self.state.values[name] for name in keys]

    def put(self, key: bytes, value: bytes, lease_id: int) -> None:
        """Writes a key at a new revision.

        :param lease_id: lease that the key is attached to; 0 for none.
        :raises LeaseNotFoundError: if the lease does not exist.
        """
        if lease_id and lease_id not in self.state.leases:
            raise LeaseNotFoundError
        revision = self.state.revision + 1
        old = self.state.values.get(key)
        created = old.create_revision if old else revision
        self.record(StoredValue(key, value, created, revision, lease_id))

    def delete(self, key: bytes, range_end: bytes = b"") -> int:
        """Deletes a key or a range at one new revision and returns the number of deleted keys.

        The revision stays the same if there is no such key.
        """
        keys_to_delete = [stored.key for stored in self.select(key, range_end)]
        self.delete_keys(keys_to_delete)
        return len(keys_to_delete)

    def delete_keys(self, keys: list[bytes]) -> None:
        """Deletes existing keys at one new revision."""
        revision = self.state.revision + 1
        for key in keys:
            self.record(StoredValue(key, None, 0, revision))

    def record(self, stored: StoredValue) -> None:
        """Applies one change, appends it to the history and wakes the waiting watches."""
        self.state.revision = stored.mod_revision
        if stored.value is None:
            del self.state.values[stored.key]
        else:
            self.state.values[stored.key] = stored
        self.state.history.append(stored)
        if len(self.state.history) > MAX_HISTORY:
            self.compact(self.state.history[MAX_HISTORY // 2].mod_revision)
        self.notify_watches()

    def notify_watches(self) -> None:
        """Wakes all waiting watches."""
        self.changed.set()
        self.changed = anyio.Event()

    def compact(self, revision: int) -> None:
        """Discards the history before a revision."""
        start = bisect_left(self.state.history, revision, key=lambda entry: entry.mod_revision)
        del self.state.history[:start]
        self.state.compact_revision = revision

    def changes_from(self, revision: int, key: bytes, range_end: bytes) -> list[StoredValue]:
        """Returns the changes in a range, starting at a revision.

        :raises CompactedError: if the history from that revision is no longer complete.
        """
        if revision < self.state.compact_revision:
            raise CompactedError
        start = bisect_left(self.state.history, revision, key=lambda entry: entry.mod_revision)
        later = self.state.history[start:]
        return [change for change in later if in_range(change.key, key, range_end)]

    def grant_lease(self, ttl_s: int) -> int:
        """Creates a lease and returns its identifier."""
        self.next_lease_id += 1
        self.state.leases[self.next_lease_id] = Lease(ttl_s, self.now_s() + ttl_s)
        return self.next_lease_id

    def renew_lease(self, lease_id: int) -> int:
        """Renews a lease and returns its TTL in seconds; 0 if it does not exist."""
        lease = self.state.leases.get(lease_id)
        if lease is None:
            return 0
        self.state.leases[lease_id] = Lease(lease.ttl_s, self.now_s() + lease.ttl_s)
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and deletes its keys.

        :raises LeaseNotFoundError: if the lease does not exist.
        """
        if self.state.leases.pop(lease_id, None) is None:
            raise LeaseNotFoundError
        values = self.state.values.values()
        self.delete_keys([stored.key for stored in values if stored.lease_id == lease_id])

    def expire_leases(self) -> None:
        """Revokes the leases whose TTL has elapsed."""
        now_s = self.now_s()
        for lease_id, lease in list(self.state.leases.items()):
            if lease.expires_at_s <= now_s:
                self.revoke_lease(lease_id)

    def take_snapshot(self) -> None:
        """Saves the state for :meth:`restore_snapshot`."""
        self.snapshot = self.state.copy()

    def restore_snapshot(self) -> None:
        """Restores the state of the last snapshot, including its revision."""
        self.state = self.snapshot.copy()
        self.notify_watches()


def in_range(name: bytes, key: bytes, range_end: bytes) -> bool:
    """Returns whether a key is in a range; the end ``\\0`` means all keys from ``key`` on."""
    if not range_end:
        return name == key
    return name >= key and (range_end == b"\0" or name < range_end)
