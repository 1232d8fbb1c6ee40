"""The form in which records are kept in the store."""

import json
from dataclasses import dataclass
from typing import Any

from berylproxy.records.errors import FieldProblem, JsonMalformedError, RecordInvalidError

KEY_PREFIX = "berylproxy/records/"

# Written before each new record. A store restored from a backup that lacks the new record also
# lacks this write, so that the record is not taken for a deleted one.
MARK_KEY = "berylproxy/records/marks/created"


def make_key(kind: str, name: str) -> str:
    """Makes the store's key of a record."""
    return f"{KEY_PREFIX}{kind}/{name}"


def split_key(key: str) -> tuple[str, str]:
    """Returns the kind and the name in a key; both may be wrong if another program wrote it."""
    kind, _, name = key.removeprefix(KEY_PREFIX).partition("/")
    return kind, name


@dataclass(frozen=True, slots=True)
class Envelope:
    """A record with what is kept beside it.

    :param change_id: random name of the change, by which its author knows it again.
    :param replaces_revision: the revision that the change was made on, 0 for a new record.
    """

    change_id: str
    replaces_revision: int
    record: Any


def refuse_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds an object and refuses a name that occurs twice."""
    built = dict(pairs)
    if len(built) != len(pairs):
        raise ValueError("an object names a field twice")
    return built


def refuse_constant(constant: str) -> None:
    """Refuses ``NaN`` and ``Infinity``, which JSON does not have."""
    raise ValueError(f"{constant} is not JSON")


def parse_json(text: bytes) -> Any:
    """Parses strict JSON.

    :raises JsonMalformedError: if it is not.
    """
    try:
        return json.loads(text, object_pairs_hook=refuse_duplicates, parse_constant=refuse_constant)
    except (ValueError, RecursionError) as error:
        raise JsonMalformedError(f"not a JSON text: {error}") from None


def encode_envelope(envelope: Envelope) -> bytes:
    """Encodes for the store."""
    fields = {
        "change_id": envelope.change_id,
        "replaces_revision": envelope.replaces_revision,
        "record": envelope.record,
    }
    return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()


def decode_envelope(key: str, value: bytes) -> Envelope:
    """Decodes a value of the store.

    :raises RecordInvalidError: if it is no envelope.
    :raises JsonMalformedError: if it is no JSON.
    """
    fields = parse_json(value)
    if not isinstance(fields, dict) or "record" not in fields:
        raise RecordInvalidError(key, (FieldProblem("record", "must be given"),))
    change_id = fields.get("change_id")
    replaces_revision = fields.get("replaces_revision")
    return Envelope(
        change_id=change_id if isinstance(change_id, str) else "",
        replaces_revision=replaces_revision if type(replaces_revision) is int else -1,
        record=fields["record"],
    )
