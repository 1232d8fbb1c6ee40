"""Validates the runners' entries in the store, which any writer may have left there.

Whatever passes can be called, counted in 64 bits, logged and told to other daemons.
"""

from ipaddress import AddressValueError, IPv4Address, IPv6Address
from typing import Annotated, Literal

from msgspec import Meta
from orjson import JSONDecodeError, loads

from berylproxy.durable.jobs.models import (
    Amount,
    Count,
    EndpointInfo,
    EndpointInstance,
    Resources,
)
from berylproxy.errors import BerylproxyError
from berylproxy.store.port import Entry
from berylproxy.tables import Table, TableInvalidError, convert_table

LIST_PREFIX = "servers/"
RACK_LABEL_PREFIX = "r"  # a label is either the kind or the rack, written as r<room>-<rack>
LEAVING_STATE = "draining"
MAX_TEXT_CHARACTERS = 200
MAX_LABELS = 64
MAX_COLD_MS = 24 * 3600 * 1000
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_PROBLEM_CHARACTERS = 200

Text = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_CHARACTERS)]


class EntryInvalidError(BerylproxyError):
    """An entry of the list names no usable runner."""

    code = "entry_invalid"


class _Capacity(Table):
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class _RunnerEntry(Table):
    service: Text
    address: Text
    zone: Text
    state: Literal["ready", "draining"]
    capacity: _Capacity
    labels: Annotated[tuple[Text, ...], Meta(max_length=MAX_LABELS)] = ()
    # A runner that is warm may write a negative time.
    cold_left_ms: Annotated[float, Meta(ge=-MAX_COLD_MS, le=MAX_COLD_MS)] = 0.0
    # The start of the runner's process in Unix milliseconds. An id may be reused, so that only both
    # together identify an instance.
    born: Count = 0


def decode_entry(entry: Entry) -> EndpointInfo:
    """Decodes an entry of the list.

    :raises EntryInvalidError: if it names no usable runner.
    """
    try:
        content = convert_table(loads(entry.value), _RunnerEntry, strict=True)
    except JSONDecodeError as error:
        raise EntryInvalidError(f"not JSON: {error}"[:MAX_PROBLEM_CHARACTERS]) from error
    except TableInvalidError as error:
        raise EntryInvalidError(error.problems[0][:MAX_PROBLEM_CHARACTERS]) from error
    _check_address(content.address)
    labels, capacity = content.labels, content.capacity
    return EndpointInfo(
        EndpointInstance(_decode_id(entry.key), content.born),
        content.service,
        content.address,
        content.zone,
        Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        leaving=content.state == LEAVING_STATE,
        labels=frozenset(labels),
        rack=next((label for label in labels if _is_rack_label(label)), ""),
        kind=next((label for label in labels if not _is_rack_label(label)), ""),
        cold_left_s=max(content.cold_left_ms, 0.0) / 1000,
        revision=entry.revision,
    )


def _decode_id(key: str) -> str:
    """Returns the id that a key names; calls carry it in a header."""
    endpoint_id = key.removeprefix(LIST_PREFIX)
    is_visible = endpoint_id.isascii() and endpoint_id.isprintable() and " " not in endpoint_id
    if not endpoint_id or not is_visible or "/" in endpoint_id:
        raise EntryInvalidError("the key has no id of visible ASCII characters")
    return endpoint_id


def _check_address(address: str) -> None:
    """Checks for a port and a numeric IP address, in brackets for IPv6, of one machine."""
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise EntryInvalidError("address: the port is not a number from 1 to 65535")
    try:
        ip = IPv6Address(host[1:-1]) if host[:1] + host[-1:] == "[]" else IPv4Address(host)
    except AddressValueError as error:
        raise EntryInvalidError("address: the host is not an IP address") from error
    # A scope names an interface of the machine that wrote it.
    if ip.is_unspecified or ip.is_multicast or getattr(ip, "scope_id", None) is not None:
        raise EntryInvalidError("address: the host is not the IP address of a machine")


def _is_rack_label(label: str) -> bool:
    return label.startswith(RACK_LABEL_PREFIX) and "-" in label
