"""Tells other daemons which endpoints have changed their capacity, and hears it from them.

Made for daemons that take a group over with a list that is some seconds old, and for a store that
turns a holder away while it serves the others: they must not reckon with room that has shrunk. A
heartbeat carries changes of capacity only, and each of them until every daemon has read the list
anew.
"""

from collections.abc import Callable
from typing import Any

from logbook import Logger
from msgspec import Struct, ValidationError, convert

from berylproxy.clock import Clock
from berylproxy.durable.endpoints.fleet import EndpointList
from berylproxy.durable.jobs.models import (
    Amount,
    Count,
    EndpointInfo,
    EndpointInstance,
    Resources,
)
from berylproxy.peers.membership import Member
from berylproxy.peers.network import TcpPeerNetwork

HEARTBEAT_PART = "capacities"
TOLD_FOR_S = 12.0  # daemons without a group read the list each 10 s

logger = Logger("berylproxy.durable.capacity_spread")


class ToldCapacity(Struct, frozen=True, array_like=True):
    """The row for an endpoint in a heartbeat.

    :param revision: revision of the entry that showed the capacity.
    """

    endpoint_id: str
    born_ms: Count
    revision: Count
    cpu_millicores: Amount
    memory_mb: Amount
    accelerators: Amount


class CapacitySpread:
    """Adds changed capacities to this daemon's heartbeats, and applies those of others.

    :param is_reader: returns whether this daemon reads an endpoint's entry often enough to tell
        others of it.
    """

    def __init__(
        self,
        network: TcpPeerNetwork,
        endpoint_list: EndpointList,
        clock: Clock,
        is_reader: Callable[[EndpointInfo], bool],
    ) -> None:
        self._endpoint_list = endpoint_list
        self._clock = clock
        self._is_reader = is_reader
        network.add_heartbeat_part(HEARTBEAT_PART, self.describe)
        network.on_change(self.apply)

    def describe(self) -> dict[str, Any]:
        """Returns the changed capacities for this daemon's heartbeats."""
        self._endpoint_list.forget_changes(self._clock.now_s() - TOLD_FOR_S)
        changed = [info for info in self._endpoint_list.list_changed() if self._is_reader(info)]
        return {"changed": [_encode(info) for info in changed]}

    def apply(self, member: Member) -> None:
        """Applies the capacities in a member's last heartbeat; skips rows that can't be read."""
        part = member.heartbeat.get(HEARTBEAT_PART)
        rows = part.get("changed") if isinstance(part, dict) else None
        for row in rows if isinstance(rows, list | tuple) else ():
            try:
                told = convert(row, ToldCapacity)
            except ValidationError as error:
                logger.warning(
                    "skipped a capacity that {} told: {!r}", member.identity.daemon_id, error
                )
                continue
            instance = EndpointInstance(told.endpoint_id, told.born_ms)
            capacity = Resources(told.cpu_millicores, told.memory_mb, told.accelerators)
            self._endpoint_list.hear_capacity(instance, told.revision, capacity)


def _encode(info: EndpointInfo) -> list[Any]:
    """Returns the row for an endpoint: identifier, start, revision of the entry and amounts."""
    capacity = info.capacity
    return [
        *info.instance,
        info.revision,
        capacity.cpu_millicores,
        capacity.memory_mb,
        capacity.accelerators,
    ]
