"""How etcd's JSON gateway writes keys, changes and errors."""

from base64 import b64decode, b64encode
from typing import Any

from starlette.responses import JSONResponse

from standins.key_values import StoredValue

Message = dict[str, Any]


class RefusedError(Exception):
    """A call that fails with an HTTP status and a gRPC code."""

    def __init__(self, message: str, status: int, code: int) -> None:
        super().__init__(message)
        self.message = message
        self.status = status
        self.code = code


def decode(message: Message, name: str) -> bytes:
    """Decodes a base64 field; an absent one is empty."""
    return b64decode(message.get(name, ""), validate=True)


def describe(stored: StoredValue) -> Message:
    """Describes a key as the gateway does, without the fields that are zero."""
    fields = {
        "key": b64encode(stored.key).decode(),
        "value": b64encode(stored.value or b"").decode(),
        "create_revision": stored.create_revision and str(stored.create_revision),
        "mod_revision": str(stored.mod_revision),
        "lease": stored.lease_id and str(stored.lease_id),
    }
    return {name: value for name, value in fields.items() if value}


def describe_event(change: StoredValue) -> Message:
    """Describes a change; the type PUT is the one left out."""
    event = {"kv": describe(change)}
    return event | {"type": "DELETE"} if change.value is None else event


def invalid_argument(message: str) -> RefusedError:
    """Builds the error for a call that is wrong in itself."""
    return RefusedError(message, status=400, code=3)


def not_found(message: str) -> RefusedError:
    """Builds the error for something that does not exist."""
    return RefusedError(message, status=404, code=5)


def unavailable(message: str) -> RefusedError:
    """Builds the error for a service that takes no calls."""
    return RefusedError(message, status=503, code=14)


def build_error(error: RefusedError) -> JSONResponse:
    """Builds the gateway's answer to a call that failed."""
    body = {"error": error.message, "message": error.message, "code": error.code}
    return JSONResponse(body, error.status)
