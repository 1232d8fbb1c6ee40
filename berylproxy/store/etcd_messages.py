"""Messages of etcd v3's JSON gateway, with the fields that the store uses."""

from base64 import b64decode, b64encode
from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, PlainSerializer


def decode_base64(value: object) -> object:
    """Decodes base64 text; returns other values unchanged."""
    return b64decode(value, validate=True) if isinstance(value, str) else value


def encode_base64(value: bytes) -> str:
    """Encodes with the standard base64 alphabet, the only one that all gateways accept."""
    return b64encode(value).decode()


Base64 = Annotated[bytes, BeforeValidator(decode_base64), PlainSerializer(encode_base64)]
Int64 = Annotated[int, PlainSerializer(str)]  # JSON numbers cannot hold all 64-bit integers


class Header(BaseModel):
    """Header of every response; the gateway omits fields that are zero."""

    revision: Int64 = 0


class KeyValue(BaseModel):
    """A key with its value and the revision of its last write."""

    key: Base64 = b""
    value: Base64 = b""
    mod_revision: Int64 = 0


class RangeRequest(BaseModel):
    """Reads one key, or all keys from ``key`` up to, but without, ``range_end``."""

    key: Base64
    range_end: Base64 = b""


class RangeResponse(BaseModel):
    """Response to :class:`RangeRequest`."""

    header: Header
    kvs: list[KeyValue] = []


class PutRequest(BaseModel):
    """Writes a key."""

    key: Base64
    value: Base64
    lease: Int64 = 0


class DeleteRangeRequest(BaseModel):
    """Deletes a key."""

    key: Base64


class Compare(BaseModel):
    """Condition of a transaction."""

    key: Base64
    target: Literal["MOD", "CREATE"]
    result: Literal["EQUAL"] = "EQUAL"
    mod_revision: Int64 | None = None
    create_revision: Int64 | None = None


class RequestOp(BaseModel):
    """One operation of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None
    request_range: RangeRequest | None = None


class TxnRequest(BaseModel):
    """Runs the operations in ``success`` if all conditions hold, else those in ``failure``."""

    compare: list[Compare]
    success: list[RequestOp]
    failure: list[RequestOp] = []


class TxnResponse(BaseModel):
    """Response to :class:`TxnRequest`."""

    header: Header
    succeeded: bool = False


class LeaseGrantRequest(BaseModel):
    """Creates a lease; with the identifier 0 the service chooses one."""

    TTL: Int64
    ID: Int64 = 0


class LeaseRequest(BaseModel):
    """Renews or revokes a lease."""

    ID: Int64


class LeaseResponse(BaseModel):
    """A lease; ``TTL`` is 0 if it does not exist."""

    ID: Int64 = 0
    TTL: Int64 = 0


class LeaseKeepAliveResponse(BaseModel):
    """One line of the response stream of a lease renewal."""

    result: LeaseResponse


class WatchCreateRequest(BaseModel):
    """Requests the changes from ``start_revision`` on."""

    key: Base64
    range_end: Base64
    start_revision: Int64


class WatchRequest(BaseModel):
    """Opens a watch."""

    create_request: WatchCreateRequest


class Event(BaseModel):
    """One change of a key."""

    type: Literal["PUT", "DELETE"] = "PUT"
    kv: KeyValue


class WatchResult(BaseModel):
    """One message of a watch."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: Int64 = 0
    cancel_reason: str = ""
    events: list[Event] = []


class WatchResponse(BaseModel):
    """One line of the response stream of a watch."""

    result: WatchResult


class ErrorResponse(BaseModel):
    """Body of a response with a status other than 200."""

    message: str = ""
    error: str = ""
    code: int = 0
