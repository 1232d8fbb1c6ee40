"""The messages of etcd v3's JSON gateway, as far as the store uses them."""

from base64 import b64decode, b64encode
from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, PlainSerializer


def decode_base64(value: object) -> object:
    """Decodes text; passes bytes on as they are."""
    return b64decode(value, validate=True) if isinstance(value, str) else value


def encode_base64(value: bytes) -> str:
    """Encodes with the standard alphabet, the only one that all gateways read."""
    return b64encode(value).decode()


Base64 = Annotated[bytes, BeforeValidator(decode_base64), PlainSerializer(encode_base64)]
Int64 = Annotated[int, PlainSerializer(str)]  # JSON numbers cannot hold all 64-bit integers


class Header(BaseModel):
    """Header of every answer; the gateway leaves out fields that are zero."""

    revision: Int64 = 0


class KeyValue(BaseModel):
    """A stored key."""

    key: Base64 = b""
    value: Base64 = b""
    mod_revision: Int64 = 0


class RangeRequest(BaseModel):
    """Reads one key, or all from ``key`` up to ``range_end`` exclusively."""

    key: Base64
    range_end: Base64 = b""


class RangeResponse(BaseModel):
    """Answer to :class:`RangeRequest`."""

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
    """Runs ``success`` if all conditions hold, else ``failure``."""

    compare: list[Compare]
    success: list[RequestOp]
    failure: list[RequestOp] = []


class TxnResponse(BaseModel):
    """Answer to :class:`TxnRequest`."""

    header: Header
    succeeded: bool = False


class LeaseGrantRequest(BaseModel):
    """Makes a lease; identifier 0 lets the service choose."""

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
    """One line of the stream of renewals."""

    result: LeaseResponse


class WatchCreateRequest(BaseModel):
    """Asks for the changes from ``start_revision`` on."""

    key: Base64
    range_end: Base64
    start_revision: Int64


class WatchRequest(BaseModel):
    """Opens a watch."""

    create_request: WatchCreateRequest


class Event(BaseModel):
    """One change."""

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
    """One line of a watch's stream."""

    result: WatchResult


class ErrorResponse(BaseModel):
    """Body of an answer that is not 200."""

    message: str = ""
    error: str = ""
    code: int = 0
