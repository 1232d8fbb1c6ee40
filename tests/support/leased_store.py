"""A store in memory whose keys are under leases, and which refuses or loses writes as told."""

from typing import NamedTuple

from berylproxy.durable.jobs.ports import TransactionConflictError
from berylproxy.store.port import Entry, StoreOutcomeUnknownError, StoreUnavailableError


class Write(NamedTuple):
    """A conditional write of a key under a lease."""

    key: str
    value: bytes
    lease_id: int
    expected_revision: int


class LeasedStore:
    """Implements :class:`berylproxy.platform.own_member.LeaseStore`; leases never end.

    :ivar fate: what happens to the next write: ``refused``, ``lost``, or empty to carry it out.
    :ivar late: lost writes that are yet to be carried out.
    :ivar lease_ids: lease by key.
    :ivar writes: number of writes that were carried out.
    """

    def __init__(self) -> None:
        self.fate = ""
        self.late: list[Write] = []
        self.entries: dict[str, Entry] = {}
        self.lease_ids: dict[str, int] = {}
        self.writes = 0
        self.newest_lease_id = 0
        self._revision = 10

    async def get(self, key: str) -> Entry | None:
        """Reads one key."""
        return self.entries.get(key)

    async def put_with_lease(
        self, key: str, value: bytes, lease_id: int, expected_revision: int
    ) -> None:
        """Writes a key, unless the write is refused or lost."""
        fate, self.fate = self.fate, ""
        write = Write(key, value, lease_id, expected_revision)
        if fate == "refused":
            raise StoreUnavailableError("refused")
        if fate == "lost":
            self.late.append(write)
            raise StoreOutcomeUnknownError("no answer")
        self._carry_out(write)

    def _carry_out(self, write: Write) -> None:
        entry = self.entries.get(write.key)
        if (entry.revision if entry is not None else 0) != write.expected_revision:
            raise TransactionConflictError("conflict", {})
        self._revision += 1
        self.writes += 1
        self.entries[write.key] = Entry(write.key, write.value, self._revision)
        self.lease_ids[write.key] = write.lease_id

    def carry_out_late(self) -> None:
        """Carries out the lost writes whose condition still holds."""
        for write in self.late:
            try:
                self._carry_out(write)
            except TransactionConflictError:
                continue

    def remove(self, key: str) -> None:
        """Removes a key, as the end of its lease does."""
        del self.entries[key], self.lease_ids[key]

    async def grant_lease(self, ttl_s: float) -> int:
        """Creates a lease."""
        self.newest_lease_id += 1
        return self.newest_lease_id

    async def renew_lease(self, lease_id: int) -> bool:
        """Renews a lease."""
        return True
