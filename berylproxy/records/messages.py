"""What daemons tell one another about records.

All fields are plain msgpack values. An entry is ``[key, value, revision]`` and a tombstone
``[key, revision]``.
"""

from dataclasses import dataclass
from typing import Any

from berylproxy.records.envelope import KEY_PREFIX
from berylproxy.records.errors import RecordError
from berylproxy.store.port import Entry

MAX_MESSAGE_BYTES = 256 * 1024
ITEM_OVERHEAD_BYTES = 32  # list, length and integer headers of one item


class RecordMessageInvalidError(RecordError):
    """Another daemon sent something that is no message about records."""

    code = "record_message_invalid"


@dataclass(frozen=True, slots=True)
class FetchRecords:
    """Asks for the records in which the receiver differs.

    :param bucket_digests: the sender's digests; empty for all records.
    :param after_key: the last key of the chunk before; empty for the first chunk.
    """

    bucket_digests: bytes
    after_key: str


@dataclass(frozen=True, slots=True)
class Records:
    """One chunk of the answer to :class:`FetchRecords`, in the order of keys.

    :param is_loaded: whether the sender has a whole view.
    :param revision: the sender's highest revision.
    :param forgotten_revision: up to where the sender may have dropped tombstones.
    :param next_after_key: ``after_key`` of the next chunk; empty after the last one.
    """

    entries: list[Any]
    tombstones: list[Any]
    is_loaded: bool
    revision: int
    forgotten_revision: int
    next_after_key: str


@dataclass(frozen=True, slots=True)
class RecordsAccepted:
    """Tells of changes that the store has just accepted."""

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

    :raises RecordMessageInvalidError: if one is malformed or the store cannot have accepted it.
    """
    return [unpack_item(item, 3) for item in check_list(items)]


def unpack_tombstones(items: Any) -> list[Entry]:
    """Unpacks the deletions of a message.

    :raises RecordMessageInvalidError: as in :func:`unpack_entries`.
    """
    return [unpack_item(item, 2) for item in check_list(items)]


def check_list(items: Any) -> list[Any]:
    """Accepts a list or tuple, the two forms in which msgpack libraries return arrays."""
    if not isinstance(items, list | tuple):
        raise RecordMessageInvalidError("not a list of records")
    return list(items)


def unpack_item(item: Any, length: int) -> Entry:
    """Checks and unpacks one entry of three fields or one tombstone of two."""
    if not isinstance(item, list | tuple) or len(item) != length:
        raise RecordMessageInvalidError(f"not a record of {length} fields")
    key, revision = item[0], item[-1]
    value = item[1] if length == 3 else b""
    if not isinstance(key, str) or not key.startswith(KEY_PREFIX):
        raise RecordMessageInvalidError("not a key of a record")
    if not isinstance(value, bytes):
        raise RecordMessageInvalidError(f"{key}: not a value")
    if type(revision) is not int or revision <= 0:
        raise RecordMessageInvalidError(f"{key}: not a revision of the store")
    return Entry(key, value, revision)
