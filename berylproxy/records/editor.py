"""Operators' changes to the records."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import anyio

from berylproxy.records.envelope import (
    MARK_KEY,
    Envelope,
    decode_envelope,
    encode_envelope,
    make_key,
)
from berylproxy.records.errors import (
    RecordConflictError,
    RecordError,
    RecordNotFoundError,
    RecordOutcomeUnknownError,
    RecordStoreUnavailableError,
    StoreRevertedError,
)
from berylproxy.records.references import check_references, check_unused
from berylproxy.records.schemas import Record, check_name, parse_kind, parse_record
from berylproxy.records.view import RecordView
from berylproxy.store.port import (
    ABSENT_REVISION,
    Entry,
    Store,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

CALL_TIMEOUT_S = 3.0
OUTCOME_TIMEOUT_S = 6.0  # bounds the search for the truth after a lost answer
READ_BACK_INTERVAL_S = 0.25
UNAVAILABLE_RETRY_AFTER_S = 5.0
REVERTED_RETRY_AFTER_S = 60.0


class ChangePublisher(Protocol):
    """Tells other daemons of accepted changes."""

    def publish(self, updates: tuple[Entry, ...], deletions: tuple[Entry, ...]) -> None:
        """Notifies all other daemons."""


@dataclass(frozen=True, slots=True)
class EditPace:
    """Bounds on an edit's time."""

    call_timeout_s: float = CALL_TIMEOUT_S
    outcome_timeout_s: float = OUTCOME_TIMEOUT_S
    read_back_interval_s: float = READ_BACK_INTERVAL_S


@dataclass(frozen=True, slots=True)
class Change:
    """One change on its way to the store.

    :param value: the new value; ``None`` for a deletion.
    """

    key: str
    value: bytes | None
    expected_revision: int
    change_id: str


def make_change_id() -> str:
    """Makes a random change identifier of 16 hexadecimal digits."""
    return secrets.token_hex(8)


class RecordEditor:
    """Checks operators' changes whole and writes each with one compare-and-swap.

    :param accepts_writes: tells whether the store may be written to.
    """

    def __init__(
        self,
        store: Store,
        view: RecordView,
        publisher: ChangePublisher,
        accepts_writes: Callable[[], bool],
        *,
        pace: EditPace | None = None,
        new_change_id: Callable[[], str] = make_change_id,
    ) -> None:
        self._store = store
        self._view = view
        self._publisher = publisher
        self._accepts_writes = accepts_writes
        self._pace = pace or EditPace()
        self._new_change_id = new_change_id

    def validate(self, kind: str, name: str, raw: Any) -> Record:
        """Checks a record against its schema and the other records in force."""
        record = parse_record(kind, name, raw)
        check_references(kind, record, self._view.configuration)
        return record

    async def put(self, kind: str, name: str, raw: Any, expected_revision: int) -> int:
        """Writes a record and returns its revision.

        :param expected_revision: the record's revision now; 0 if it must not exist.
        :raises RecordError: the subclass tells whether anything can have been written.
        """
        self._check_writable()
        self.validate(kind, name, raw)
        change_id = self._new_change_id()
        value = encode_envelope(Envelope(change_id, expected_revision, raw))
        change = Change(make_key(kind, name), value, expected_revision, change_id)
        revision = await self._write(change)
        self._accept((Entry(change.key, value, revision),), ())
        return revision

    async def delete(self, kind: str, name: str, expected_revision: int) -> int:
        """Deletes a record and returns the revision of the deletion."""
        parse_kind(kind)
        check_name(kind, name)
        key = make_key(kind, name)
        if expected_revision == ABSENT_REVISION:
            raise RecordNotFoundError(f"{kind}/{name}: a record that does not exist")
        self._check_writable()
        check_unused(kind, name, self._view.configuration)
        change = Change(key, None, expected_revision, self._new_change_id())
        revision = await self._write(change)
        self._accept((), (Entry(key, b"", revision),))
        return revision

    def _accept(self, updates: tuple[Entry, ...], deletions: tuple[Entry, ...]) -> None:
        """Puts an accepted change in force here and sends it on, without the store."""
        self._view.apply(updates, deletions)
        self._publisher.publish(updates, deletions)

    def _check_writable(self) -> None:
        if not self._accepts_writes():
            raise StoreRevertedError(
                "the store is older than the configuration in force; nothing was written",
                hint="see docs/configuration.md on a store restored from a backup",
                retry_after_s=REVERTED_RETRY_AFTER_S,
            )
        if not self._view.is_loaded:
            raise RecordStoreUnavailableError(
                "this daemon has no configuration yet; nothing was written",
                hint="ask another daemon or come back",
                retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
            )

    async def _write(self, change: Change) -> int:
        try:
            is_new = self._view.find(change.key) is None
            if is_new and change.expected_revision == ABSENT_REVISION:
                await self._write_mark(change.change_id)
            return await self._swap(change)
        except StoreConflictError:
            raise await self._explain_conflict(change) from None
        except StoreOutcomeUnknownError:
            return await self._find_outcome(change)
        except StoreError as error:
            raise make_unavailable(error) from None

    async def _write_mark(self, change_id: str) -> None:
        """Marks that a record is about to be created."""
        value = encode_envelope(Envelope(change_id, ABSENT_REVISION, None))
        try:
            with anyio.fail_after(self._pace.call_timeout_s):
                held = await self._store.get(MARK_KEY)
                revision = held.revision if held else ABSENT_REVISION
                await self._store.compare_and_swap(MARK_KEY, value, revision)
        except StoreConflictError:
            pass  # another new record has just been marked, which serves as well
        except StoreOutcomeUnknownError as error:
            raise make_unavailable(error) from None  # of the record itself nothing is written
        except TimeoutError:
            raise StoreUnavailableError("the store did not answer") from None

    async def _swap(self, change: Change) -> int:
        with anyio.move_on_after(self._pace.call_timeout_s):
            if change.value is None:
                return await self._store.delete(change.key, change.expected_revision)
            return await self._store.compare_and_swap(
                change.key, change.value, change.expected_revision
            )
        raise StoreOutcomeUnknownError("the store did not answer the write")

    async def _explain_conflict(self, change: Change) -> RecordError:
        revision = None
        try:
            with anyio.move_on_after(self._pace.call_timeout_s):
                entry = await self._store.get(change.key)
                revision = entry.revision if entry else ABSENT_REVISION
        except StoreError:
            pass
        if revision is None:
            held = self._view.find(change.key)
            revision = held.entry.revision if held else ABSENT_REVISION
        return make_conflict(change, revision)

    async def _find_outcome(self, change: Change) -> int:
        """Learns whether a write whose answer was lost took effect; repeats it if it did not."""
        with anyio.move_on_after(self._pace.outcome_timeout_s):
            while True:
                try:
                    revision = await self._read_back(change)
                    if revision is not None:
                        return revision
                    return await self._swap(change)
                except StoreError:
                    # A conflict means that the first write or another's came in between, and
                    # anything else tells nothing: the next reading shows which.
                    await anyio.sleep(self._pace.read_back_interval_s)
        raise make_outcome_unknown(change, "the store stayed silent")

    async def _read_back(self, change: Change) -> int | None:
        """Returns the revision of the change if it took effect, ``None`` if it may be repeated.

        :raises StoreOutcomeUnknownError: if a later reading may tell.
        :raises RecordConflictError: if another change won: this one certainly was not written.
        :raises RecordOutcomeUnknownError: if later changes hide what became of it.
        """
        listing = await self._store.list_prefix(change.key)
        entry = next((entry for entry in listing.entries if entry.key == change.key), None)
        if entry is None:
            if change.value is None:
                return listing.revision
            if change.expected_revision == ABSENT_REVISION:
                # Repeating could undo a deletion of the record by another operator.
                raise StoreOutcomeUnknownError("the record does not exist")
            raise make_outcome_unknown(change, "the record has been deleted since")
        if entry.revision == change.expected_revision:
            return None
        try:
            envelope = decode_envelope(change.key, entry.value)
        except RecordError:
            raise make_outcome_unknown(change, "the record has been overwritten since") from None
        if envelope.change_id == change.change_id:
            return entry.revision
        if envelope.replaces_revision == change.expected_revision != ABSENT_REVISION:
            raise make_conflict(change, entry.revision)
        raise make_outcome_unknown(change, "the record has been changed again since")


def make_conflict(change: Change, revision: int) -> RecordConflictError:
    """Makes the error of an operator who was second."""
    state = f"at revision {revision}" if revision else "absent"
    message = f"{change.key}: expected revision {change.expected_revision}, but it is {state}"
    return RecordConflictError(message, revision)


def make_unavailable(error: StoreError) -> RecordStoreUnavailableError:
    """Makes the error of a change of which nothing was written."""
    return RecordStoreUnavailableError(
        f"nothing was written: {error.message}",
        hint="the configuration in force stays as it is",
        retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
    )


def make_outcome_unknown(change: Change, reason: str) -> RecordOutcomeUnknownError:
    """Makes the error of a write that may have taken effect."""
    return RecordOutcomeUnknownError(
        f"{change.key}: the answer to the write was lost and {reason}",
        change.change_id,
        hint=f"get the record: it was written if its change_id is {change.change_id}",
        retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
    )
