"""Validates the changes that operators make to records, and writes them to the store."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import anyio

from berylproxy.records.envelope import (
    CREATION_MARKER_KEY,
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
OUTCOME_TIMEOUT_S = 6.0  # bounds reading back and retrying a write whose answer was lost
READ_BACK_INTERVAL_S = 0.25
UNAVAILABLE_RETRY_AFTER_S = 5.0
REVERTED_RETRY_AFTER_S = 60.0


class ChangePublisher(Protocol):
    """Sends accepted changes to other daemons."""

    def publish(self, updates: tuple[Entry, ...], deletions: tuple[Entry, ...]) -> None:
        """Notifies all other daemons."""


@dataclass(frozen=True, slots=True)
class EditTimeouts:
    """Timeouts of an edit.

    :param call_timeout_s: timeout of each call to the store.
    :param outcome_timeout_s: time for finding out whether a write without an answer took effect.
    :param read_back_interval_s: pause between two attempts to read the record back.
    """

    call_timeout_s: float = CALL_TIMEOUT_S
    outcome_timeout_s: float = OUTCOME_TIMEOUT_S
    read_back_interval_s: float = READ_BACK_INTERVAL_S


@dataclass(frozen=True, slots=True)
class Change:
    """A change to be written to the store.

    :param value: the new value; ``None`` for a deletion.
    :param expected_revision: the record's current revision; 0 if the record must not exist.
    :param change_id: identifier that is stored with the record.
    """

    key: str
    value: bytes | None
    expected_revision: int
    change_id: str


def make_change_id() -> str:
    """Returns a random change identifier of 16 hexadecimal digits."""
    return secrets.token_hex(8)


class RecordEditor:
    """Validates operators' changes and writes each with one compare-and-swap.

    :param accepts_writes: returns whether writes to the store are allowed.
    :param new_change_id: returns the identifier of the next change.
    """

    def __init__(
        self,
        store: Store,
        view: RecordView,
        publisher: ChangePublisher,
        accepts_writes: Callable[[], bool],
        *,
        timeouts: EditTimeouts | None = None,
        new_change_id: Callable[[], str] = make_change_id,
    ) -> None:
        self._store = store
        self._view = view
        self._publisher = publisher
        self._accepts_writes = accepts_writes
        self._timeouts = timeouts or EditTimeouts()
        self._new_change_id = new_change_id

    def validate(self, kind: str, name: str, raw: Any) -> Record:
        """Validates a record against its schema and the other records in force."""
        record = parse_record(kind, name, raw)
        check_references(kind, record, self._view.configuration)
        return record

    async def put(self, kind: str, name: str, raw: Any, expected_revision: int) -> int:
        """Writes a record and returns its revision.

        :param expected_revision: the record's current revision; 0 if the record must not exist.
        :raises RecordOutcomeUnknownError: if the record may have been written.
        :raises RecordError: any other subclass, if nothing was written.
        """
        self._check_writable()
        self.validate(kind, name, raw)
        change_id = self._new_change_id()
        value = encode_envelope(Envelope(change_id, expected_revision, raw))
        change = Change(make_key(kind, name), value, expected_revision, change_id)
        revision = await self._write(change)
        self._apply_accepted((Entry(change.key, value, revision),), ())
        return revision

    async def delete(self, kind: str, name: str, expected_revision: int) -> int:
        """Deletes a record and returns the revision of the deletion.

        :raises RecordOutcomeUnknownError: if the record may have been deleted.
        :raises RecordError: any other subclass, if nothing was deleted.
        """
        parse_kind(kind)
        check_name(kind, name)
        key = make_key(kind, name)
        if expected_revision == ABSENT_REVISION:
            raise RecordNotFoundError(
                f"{kind}/{name}: a record that is expected not to exist cannot be deleted"
            )
        self._check_writable()
        check_unused(kind, name, self._view.configuration)
        change = Change(key, None, expected_revision, self._new_change_id())
        revision = await self._write(change)
        self._apply_accepted((), (Entry(key, b"", revision),))
        return revision

    def _apply_accepted(self, updates: tuple[Entry, ...], deletions: tuple[Entry, ...]) -> None:
        """Applies an accepted change to the view and publishes it, without reading the store."""
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
                hint="use another daemon or retry later",
                retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
            )

    async def _write(self, change: Change) -> int:
        try:
            is_new = self._view.find(change.key) is None
            if is_new and change.expected_revision == ABSENT_REVISION:
                await self._write_creation_marker(change.change_id)
            return await self._send_change(change)
        except StoreConflictError:
            raise await self._explain_conflict(change) from None
        except StoreOutcomeUnknownError:
            return await self._resolve_outcome(change)
        except StoreError as error:
            raise make_unavailable(error) from None

    async def _write_creation_marker(self, change_id: str) -> None:
        """Writes the marker that a record is about to be created."""
        value = encode_envelope(Envelope(change_id, ABSENT_REVISION, None))
        try:
            with anyio.fail_after(self._timeouts.call_timeout_s):
                marker = await self._store.get(CREATION_MARKER_KEY)
                revision = marker.revision if marker else ABSENT_REVISION
                await self._store.compare_and_swap(CREATION_MARKER_KEY, value, revision)
        except StoreConflictError:
            pass  # the marker was just written for another new record, which has the same effect
        except StoreOutcomeUnknownError as error:
            raise make_unavailable(error) from None  # the record itself has not been written
        except TimeoutError:
            raise StoreUnavailableError("the store did not answer") from None

    async def _send_change(self, change: Change) -> int:
        with anyio.move_on_after(self._timeouts.call_timeout_s):
            if change.value is None:
                return await self._store.delete(change.key, change.expected_revision)
            return await self._store.compare_and_swap(
                change.key, change.value, change.expected_revision
            )
        raise StoreOutcomeUnknownError("the store did not answer the write")

    async def _explain_conflict(self, change: Change) -> RecordError:
        revision = None
        try:
            with anyio.move_on_after(self._timeouts.call_timeout_s):
                entry = await self._store.get(change.key)
                revision = entry.revision if entry else ABSENT_REVISION
        except StoreError:
            pass
        if revision is None:
            viewed_record = self._view.find(change.key)
            revision = viewed_record.entry.revision if viewed_record else ABSENT_REVISION
        return make_conflict(change, revision)

    async def _resolve_outcome(self, change: Change) -> int:
        """Finds out whether a write without an answer took effect, and repeats it if it did not.

        Returns the revision of the change.

        :raises RecordConflictError: if another change was written instead.
        :raises RecordOutcomeUnknownError: if the outcome cannot be determined.
        """
        with anyio.move_on_after(self._timeouts.outcome_timeout_s):
            while True:
                try:
                    revision = await self._read_back(change)
                    if revision is not None:
                        return revision
                    return await self._send_change(change)
                except StoreError:
                    # A conflict means that the first write or another operator's took effect in the
                    # meantime; the next read shows which. Any other error proves nothing.
                    await anyio.sleep(self._timeouts.read_back_interval_s)
        raise make_outcome_unknown(change, "the store did not answer in time")

    async def _read_back(self, change: Change) -> int | None:
        """Returns the revision of the change if it took effect, ``None`` if it may be repeated.

        :raises StoreOutcomeUnknownError: if a later read may determine the outcome.
        :raises RecordConflictError: if another change replaced the expected revision, so that
            this one was certainly not written.
        :raises RecordOutcomeUnknownError: if later changes hide the outcome.
        """
        listing = await self._store.list_prefix(change.key)
        entry = next((entry for entry in listing.entries if entry.key == change.key), None)
        if entry is None:
            if change.value is None:
                return listing.revision
            if change.expected_revision == ABSENT_REVISION:
                # Repeating the write could undo a deletion of the record by another operator.
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
    """Builds the error for a change whose expected revision is outdated."""
    state = f"at revision {revision}" if revision else "absent"
    message = (
        f"{change.key}: expected revision {change.expected_revision}, but the record is {state}"
    )
    return RecordConflictError(message, revision)


def make_unavailable(error: StoreError) -> RecordStoreUnavailableError:
    """Builds the error for a change that was certainly not written."""
    return RecordStoreUnavailableError(
        f"nothing was written: {error.message}",
        hint="the configuration in force has not changed",
        retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
    )


def make_outcome_unknown(change: Change, reason: str) -> RecordOutcomeUnknownError:
    """Builds the error for a write that may have taken effect."""
    return RecordOutcomeUnknownError(
        f"{change.key}: the answer to the write was lost and {reason}",
        change.change_id,
        hint=f"get the record: it was written if its change_id is {change.change_id}",
        retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
    )
