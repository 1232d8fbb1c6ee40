"""Messages that daemons exchange about records.

All fields are plain msgpack values. An entry is ``[key, value, revision]`` and a tombstone
``[key, revision]``.
"""

from typing import Any

from msgspec import Struct

from berylproxy.records.envelope import KEY_PREFIX
from berylproxy.records.errors import RecordError
from berylproxy.store.port import Entry

MAX_MESSAGE_BYTES = 256 * 1024
ITEM_OVERHEAD_BYTES = 32  # msgpack headers of the list, strings and integer of one item


class RecordMessageInvalidError(RecordError):
    """Another daemon sent a malformed message about records."""

    code = "record_message_invalid"


class FetchRecords(Struct, frozen=True):
    """Requests the records in which the receiver differs from the sender.

    :param bucket_digests: the sender's digests; empty to request all records.
    :param after_key: the last key of the previous chunk; empty for the first chunk.
    """

    bucket_digests: bytes
    after_key: str


class Records(Struct, frozen=True):
    """One chunk of the answer to :class:`FetchRecords`, sorted by key.

    :param is_loaded: whether the sender's view is complete.
    :param revision: the sender's highest revision.
    :param forgotten_revision: the revision up to which the sender may have dropped tombstones.
    :param next_after_key: ``after_key`` of the next chunk; empty after the last one.
    """

    entries: list[Any]
    tombstones: list[Any]
    is_loaded: bool
    revision: int
    forgotten_revision: int
    next_after_key: str


class RecordsAccepted(Struct, frozen=True):
    """Notifies other daemons of changes that the store has accepted."""

    entries: list[Any]
    tombstones: list[Any]


def pack_entries(entries: tuple[Entry, ...]) -> list[Any]:
    """Packs entries for a message."""
    return [[entry.key, entry.value, entry.revision] for entry in entries]


def pack_tombstones(deletions: tuple[Entry, ...]) -> list[Any]:
    """Packs deletions for a message."""
    return [[deletion.key, deletion.revision] for deletion in deletions]


def unpack_entries(items: Any) -> list[Entry]:
    """Unpacks the entries of a message.

    :raises RecordMessageInvalidError: if an entry is malformed or cannot come from the store.
    """
    return [unpack_item(item, 3) for item in check_list(items)]


def unpack_tombstones(items: Any) -> list[Entry]:
    """Unpacks the deletions of a message.

    :raises RecordMessageInvalidError: as in :func:`unpack_entries`.
    """
    return [unpack_item(item, 2) for item in check_list(items)]


def check_list(items: Any) -> list[Any]:
    """Returns the items as a list; msgpack libraries return arrays as lists or as tuples.

    :raises RecordMessageInvalidError: if ``items`` is neither.
    """
    if not isinstance(items, list | tuple):
        raise RecordMessageInvalidError("not a list of records")
    return list(items)


def unpack_item(item: Any, length: int) -> Entry:
    """Validates and unpacks an entry of three fields or a tombstone of two."""
    if not isinstance(item, list | tuple) or len(item) != length:
        raise RecordMessageInvalidError(f"not a record of {length} fields")
    key, revision = item[0], item[-1]
    value = item[1] if length == 3 else b""
    if not isinstance(key, str) or not key.startswith(KEY_PREFIX):
        raise RecordMessageInvalidError("not the key of a record")
    if not isinstance(value, bytes):
        raise RecordMessageInvalidError(f"{key}: the value is not a byte string")
    if type(revision) is not int or revision <= 0:
        raise RecordMessageInvalidError(f"{key}: the revision is not a positive integer")
    return Entry(key, value, revision)
