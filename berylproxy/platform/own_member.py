"""A daemon's own record in the store's list of members."""

from typing import Protocol

from logbook import Logger

from berylproxy.durable.jobs.ports import TransactionConflictError
from berylproxy.store.errors import StoreLeaseLapsedError
from berylproxy.store.port import Entry

MEMBER_LEASE_S = 6.0  # a lost VM is removed from the list within this time

logger = Logger(__name__)


class LeaseStore(Protocol):
    """The operations of the platform's store that a record under a lease needs."""

    async def get(self, key: str) -> Entry | None:
        """Reads one key; ``None`` if it does not exist."""

    async def put_with_lease(
        self, key: str, value: bytes, lease_id: int, expected_revision: int
    ) -> None:
        """Writes a key, if it has the expected revision, to be removed when the lease ends.

        :raises TransactionConflictError: if the key has another revision.
        :raises StoreLeaseLapsedError: if the lease has ended.
        """

    async def grant_lease(self, ttl_s: float) -> int:
        """Creates a lease and returns its identifier."""

    async def renew_lease(self, lease_id: int) -> bool:
        """Renews a lease; returns ``False`` if it has ended."""


class OwnMemberRecord:
    """Keeps this daemon's record in the store while it renews the record's lease.

    A lost write of this process or of a former one, under a lease that ends, may be carried out
    late. So each write replaces the revision that was read, and a record that is missing in the
    list is written again.
    """

    def __init__(self, store: LeaseStore, key: str, value: bytes) -> None:
        self._store = store
        self._key = key
        self._value = value
        self._lease_id = 0
        self._is_written = False

    async def renew(self) -> bool:
        """Renews the lease, and writes the record unless it is known to be in the store.

        :return: whether the record is in the store; if not, call again soon.
        :raises StoreError: if the store did not answer or refused a call.
        """
        if not self._lease_id or not await self._store.renew_lease(self._lease_id):
            self._is_written = False
            self._lease_id = await self._store.grant_lease(MEMBER_LEASE_S)
        if not self._is_written:
            self._is_written = await self._write()
        return self._is_written

    async def _write(self) -> bool:
        entry = await self._store.get(self._key)
        revision = entry.revision if entry is not None else 0
        try:
            await self._store.put_with_lease(self._key, self._value, self._lease_id, revision)
        except TransactionConflictError:
            logger.debug("the record {} was written meanwhile", self._key)
            return False
        except StoreLeaseLapsedError:
            self._lease_id = 0
            return False
        return True

    def note_listed(self, entries: tuple[Entry, ...], *, is_complete: bool) -> None:
        """Takes note of a read of the list: a record that it lacks is written again."""
        is_listed = any(entry.key == self._key for entry in entries)
        if self._is_written and is_complete and not is_listed:
            logger.info("the record {} is not listed; writing it again", self._key)
            self._is_written = False
