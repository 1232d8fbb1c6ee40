"""Interfaces of the key-value service and of the list of VMs."""

from typing import Protocol

from msgspec import Struct

from berylproxy.errors import BerylproxyError

ABSENT_REVISION = 0  # expected revision of a key that must not exist


class StoreError(BerylproxyError):
    """Base class of the key-value service's errors."""

    code = "store_error"


class StoreUnavailableError(StoreError):
    """The call did not reach the service, or the service refused it; nothing was written."""

    code = "store_unavailable"


class StoreOutcomeUnknownError(StoreError):
    """The answer was lost; the write may have taken effect."""

    code = "store_outcome_unknown"


class StoreConflictError(StoreError):
    """The key's revision is not the expected one; nothing was written."""

    code = "store_conflict"


class Entry(Struct, frozen=True):
    """A key with its value.

    :param revision: the store-wide revision of the write.
    """

    key: str
    value: bytes
    revision: int


class Listing(Struct, frozen=True):
    """The entries below a prefix at one store-wide revision."""

    revision: int
    entries: tuple[Entry, ...]


class ChangeBatch(Struct, frozen=True):
    """Changes below a prefix.

    :param revision: the store's revision up to which the batch contains all changes.
    :param updates: the last new value of each changed key.
    :param deletions: deleted keys, with the revision of the deletion in ``revision`` and no value.
    """

    revision: int
    updates: tuple[Entry, ...]
    deletions: tuple[Entry, ...]


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Every method raises :class:`StoreUnavailableError` if a call fails and certainly wrote nothing.
    Methods that write raise :class:`StoreOutcomeUnknownError` if the write may have taken effect.
    """

    async def get(self, key: str) -> Entry | None:
        """Reads one key; ``None`` if it does not exist."""

    async def list_prefix(self, prefix: str) -> Listing:
        """Reads all keys that start with ``prefix``."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, *, lease_id: int = 0
    ) -> int:
        """Writes ``value`` if the key's revision is the expected one; returns the new revision.

        :param expected_revision: :data:`ABSENT_REVISION` if the key must not exist.
        :param lease_id: lease with whose end the key is deleted; 0 for none.
        :raises StoreConflictError: if the key has another revision.
        """

    async def delete(self, key: str, expected_revision: int) -> int:
        """Deletes the key if its revision is the expected one; returns the store's new revision.

        :raises StoreConflictError: if the key has another revision.
        """

    async def wait_for_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> ChangeBatch:
        """Waits for changes below ``prefix`` later than a revision, for at most ``wait_s``.

        Returns an empty batch if there is no change within that time.
        """

    async def grant_lease(self, ttl_s: int) -> int:
        """Creates a lease and returns its identifier."""

    async def renew_lease(self, lease_id: int) -> bool:
        """Renews a lease; returns ``False`` if it has expired."""

    async def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""


class VirtualMachine(Struct, frozen=True):
    """One row of the platform's list of VMs.

    :param host: the VM's address.
    :param leaving: whether the platform is about to remove the VM.
    """

    name: str
    host: str
    failure_domain: str
    leaving: bool


class VirtualMachineList(Protocol):
    """The platform's list of VMs, which lags behind the actual VMs."""

    async def fetch(self) -> tuple[VirtualMachine, ...]:
        """Reads the list.

        :raises StoreUnavailableError: if the platform is unavailable.
        """
