"""Keys and values of durable jobs in the store."""

from collections.abc import Sequence

from msgpack import packb, unpackb
from msgspec import ValidationError, convert, to_builtins

from berylproxy.durable.holding.groups import MAX_GROUPS, Division
from berylproxy.durable.jobs.models import JobState, StoredJob
from berylproxy.durable.learning.estimates import RunTimeModel
from berylproxy.errors import BerylproxyError

ROOT = "berylproxy/"
OPEN_PREFIX = ROOT + "open/"
FINAL_PREFIX = ROOT + "final/"
CLAIM_PREFIX = ROOT + "holders/"
MODEL_PREFIX = ROOT + "run-times/"
DIVISION_PREFIX = ROOT + "divisions/"
SCHEMA_VERSION = 1
FINAL_RETENTION_S = 300.0  # callers may request the state of a job up to 120 s after its end


class StoredValueError(BerylproxyError):
    """A value in the store can't be decoded."""

    code = "stored_value_unreadable"


def open_prefix(group: str) -> str:
    """Returns the key prefix of an endpoint group's unfinished jobs."""
    return f"{OPEN_PREFIX}{group}/"


def open_key(group: str, job_id: str) -> str:
    """Returns the key of an unfinished job."""
    return open_prefix(group) + job_id


def final_key(job_id: str) -> str:
    """Returns the key of a finished job's state."""
    return FINAL_PREFIX + job_id


def claim_key(group: str) -> str:
    """Returns the key of an endpoint group's claim, which names its holder.

    The fence of the holder derives from the revision of this key.
    """
    return CLAIM_PREFIX + group


def encode_claim(daemon_id: str, incarnation: str) -> bytes:
    """Encodes the claim of a daemon on a group."""
    return packb({"daemon_id": daemon_id, "incarnation": incarnation})


def encode_released_claim() -> bytes:
    """Encodes a claim that nobody holds, on a group without jobs."""
    return encode_claim("", "")


def is_claim_released(value: bytes) -> bool:
    """Returns whether a claim is one that nobody holds; not so if it can't be decoded."""
    return value == encode_released_claim()


def encode_job(job: StoredJob) -> bytes:
    """Encodes an unfinished job."""
    return packb({"schema_version": SCHEMA_VERSION, **to_builtins(job)})


def decode_job(value: bytes) -> StoredJob:
    """Decodes an unfinished job.

    :raises StoredValueError: if the value is not an encoded job.
    """
    try:
        return convert(unpackb(value), StoredJob, strict=False)
    except (ValueError, TypeError, ValidationError) as error:
        raise StoredValueError(f"not a stored job: {error}") from error


def division_key(service: str) -> str:
    """Returns the key of a service's division into groups."""
    return DIVISION_PREFIX + service


def encode_division(division: Division) -> bytes:
    """Encodes a service's division into groups.

    One with assigned endpoints lacks "groups", so that daemons of earlier versions, which would
    assign endpoints by their hash, reject it.
    """
    if division.assigned is None:
        return packb({"schema_version": SCHEMA_VERSION, "groups": division.count})
    return packb(
        {
            "schema_version": SCHEMA_VERSION,
            "group_count": division.count,
            "assigned": dict(division.assigned),
        }
    )


def decode_division(value: bytes, revision: int = 0) -> Division:
    """Decodes a service's division into groups.

    :param revision: store revision of the record.
    :raises StoredValueError: if the value is not an encoded division within its bounds.
    """
    try:
        fields = unpackb(value)
        assigned = fields.get("assigned")
        count = fields["groups"] if assigned is None else fields["group_count"]
        numbers = [] if assigned is None else list(assigned.values())
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise StoredValueError(f"not a division: {error!r}") from error
    if type(count) is not int or not 0 < count <= MAX_GROUPS:
        raise StoredValueError(f"not a valid number of groups: {count!r}")
    if not all(type(number) is int and 0 <= number < count for number in numbers):
        raise StoredValueError(f"an endpoint is assigned to none of the {count} groups")
    return Division(count, assigned, revision)


def model_key(group: str) -> str:
    """Returns the key of the run times that a group's holders have learned."""
    return MODEL_PREFIX + group


def encode_model(model: RunTimeModel, pairs: Sequence[Sequence[str | float]] = ()) -> bytes:
    """Encodes the learned run times of a model.

    :param pairs: the kinds of task that slow each other down, as
        :meth:`~berylproxy.durable.endpoints.neighbours.NeighbourModel.describe` lists them.
    """
    fields = {"schema_version": SCHEMA_VERSION, **model.describe()}
    return packb(fields | {"pairs": list(pairs)} if pairs else fields)


def decode_pairs(value: bytes) -> list[object]:
    """Returns the pairs stored with learned run times; daemons of earlier versions store none.

    :raises StoredValueError: if the value is not an encoded model.
    """
    try:
        return unpackb(value).get("pairs", [])
    except (ValueError, TypeError, AttributeError) as error:
        raise StoredValueError(f"not learned run times: {error!r}") from error


def adopt_model(model: RunTimeModel, value: bytes) -> None:
    """Decodes learned run times; they replace those of a model that rests on fewer tasks.

    :raises StoredValueError: if the value is not an encoded model.
    """
    try:
        model.adopt(unpackb(value))
    except (ValueError, TypeError) as error:
        raise StoredValueError(f"not learned run times: {error}") from error


def encode_final(state: JobState, ended_unix_s: float) -> bytes:
    """Encodes a finished job's state."""
    return packb({"schema_version": SCHEMA_VERSION, "state": state.value, "ended": ended_unix_s})


def encode_tombstone(cancelled_unix_s: float) -> bytes:
    """Encodes the outcome of a job that was cancelled while nobody had it.

    Daemons of earlier versions read it as that of a cancelled job.
    """
    return packb(
        {
            "schema_version": SCHEMA_VERSION,
            "state": JobState.CANCELLED.value,
            "ended": cancelled_unix_s,
            "is_tombstone": True,
        }
    )


def is_final_expired(value: bytes, now_unix_s: float) -> bool:
    """Returns whether a finished job's stored state is older than its retention time.

    :raises StoredValueError: if the value is not an encoded state.
    """
    try:
        return now_unix_s - float(unpackb(value)["ended"]) > FINAL_RETENTION_S
    except (ValueError, TypeError, KeyError) as error:
        raise StoredValueError(f"not a finished job: {error!r}") from error


def decode_final(value: bytes) -> JobState | None:
    """Decodes a finished job's state; ``None`` for a tombstone, as there is no such job.

    :raises StoredValueError: if the value is not an encoded state.
    """
    try:
        fields = unpackb(value)
        return None if fields.get("is_tombstone") else JobState(fields["state"])
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise StoredValueError(f"not a finished job: {error!r}") from error
