"""Encodes keys, events and errors in the format of etcd's JSON gateway."""

from base64 import b64decode, b64encode
from typing import Any

from starlette.responses import JSONResponse

from standins.key_values import StoredValue

Message = dict[str, Any]


class GatewayError(Exception):
    """A failed call, with its HTTP status and gRPC code."""

    def __init__(self, message: str, status: int, code: int) -> None:
        super().__init__(message)
        self.message = message
        self.status = status
        self.code = code


def decode_field(message: Message, name: str) -> bytes:
    """Decodes a base64 field of a message; an absent field gives empty bytes."""
    return b64decode(message.get(name, ""), validate=True)


def encode_key_value(stored: StoredValue) -> Message:
    """Encodes a key-value pair as the gateway does, omitting fields that are zero or empty."""
    fields = {
        "key": b64encode(stored.key).decode(),
        "value": b64encode(stored.value or b"").decode(),
        "create_revision": stored.create_revision and str(stored.create_revision),
        "mod_revision": str(stored.mod_revision),
        "lease": stored.lease_id and str(stored.lease_id),
    }
    return {name: value for name, value in fields.items() if value}


def encode_event(change: StoredValue) -> Message:
    """Encodes a watch event; the type is omitted for PUT, its default value."""
    event = {"kv": encode_key_value(change)}
    return event | {"type": "DELETE"} if change.value is None else event


def invalid_argument(message: str) -> GatewayError:
    """Returns the gRPC error ``INVALID_ARGUMENT``."""
    return GatewayError(message, status=400, code=3)


def not_found(message: str) -> GatewayError:
    """Returns the gRPC error ``NOT_FOUND``."""
    return GatewayError(message, status=404, code=5)


def unavailable(message: str) -> GatewayError:
    """Returns the gRPC error ``UNAVAILABLE``."""
    return GatewayError(message, status=503, code=14)


def build_error_response(error: GatewayError) -> JSONResponse:
    """Returns the gateway's response to a failed call."""
    body = {"error": error.message, "message": error.message, "code": error.code}
    return JSONResponse(body, error.status)
