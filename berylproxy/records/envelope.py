"""The encoding of records in the store."""

import json
from dataclasses import dataclass
from typing import Any

from berylproxy.records.errors import FieldProblem, JsonMalformedError, RecordInvalidError

KEY_PREFIX = "berylproxy/records/"

# Written before each new record. A store restored from a backup that lacks the new record also
# lacks this write, so daemons do not mistake the missing record for a deleted one.
CREATION_MARKER_KEY = "berylproxy/records/marks/created"


def make_key(kind: str, name: str) -> str:
    """Returns the key of a record in the store."""
    return f"{KEY_PREFIX}{kind}/{name}"


def split_key(key: str) -> tuple[str, str]:
    """Returns the kind and name in a key; both may be invalid if another program wrote the key."""
    kind, _, name = key.removeprefix(KEY_PREFIX).partition("/")
    return kind, name


@dataclass(frozen=True, slots=True)
class Envelope:
    """A record with the metadata that is stored with it.

    :param change_id: random identifier by which the writer recognizes its own change.
    :param replaces_revision: the revision that the change replaces, 0 for a new record.
    """

    change_id: str
    replaces_revision: int
    record: Any


def reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds a JSON object; raises :class:`ValueError` if a name occurs twice."""
    built = dict(pairs)
    if len(built) != len(pairs):
        raise ValueError("an object contains a field twice")
    return built


def reject_constant(constant: str) -> None:
    """Raises :class:`ValueError` for ``NaN`` and ``Infinity``, which are not valid JSON."""
    raise ValueError(f"{constant} is not JSON")


def parse_json(text: bytes) -> Any:
    """Parses strict JSON: without ``NaN``, ``Infinity`` and duplicate names.

    :raises JsonMalformedError: if the text is not strict JSON.
    """
    try:
        return json.loads(
            text, object_pairs_hook=reject_duplicate_names, parse_constant=reject_constant
        )
    except (ValueError, RecursionError) as error:
        raise JsonMalformedError(f"not valid JSON: {error}") from None


def encode_envelope(envelope: Envelope) -> bytes:
    """Encodes an envelope as the value of a store entry."""
    fields = {
        "change_id": envelope.change_id,
        "replaces_revision": envelope.replaces_revision,
        "record": envelope.record,
    }
    return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()


def decode_envelope(key: str, value: bytes) -> Envelope:
    """Decodes the value of a store entry.

    :raises RecordInvalidError: if the value is not an envelope.
    :raises JsonMalformedError: if the value is not strict JSON.
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
