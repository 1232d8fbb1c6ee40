"""Tells other daemons which endpoints have changed their capacity, and hears it from them.

Made for daemons that take a group over with a list that is some seconds old, and for a store that
turns a holder away while it serves the others: they must not reckon with room that has shrunk. A
heartbeat carries changes of capacity only, and each of them until every daemon has read the list
anew.
"""

from collections.abc import Callable
from typing import Any

from logbook import Logger

from berylproxy.clock import Clock
from berylproxy.durable.endpoints.fleet import EndpointList
from berylproxy.durable.jobs.models import EndpointInfo, EndpointInstance, Resources
from berylproxy.peers.membership import Member
from berylproxy.peers.network import TcpPeerNetwork

HEARTBEAT_PART = "capacities"
TOLD_FOR_S = 12.0  # daemons without a group read the list each 10 s

logger = Logger("berylproxy.durable.capacity_spread")


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
                endpoint_id, *numbers = row
                born_ms, revision, *amounts = map(int, numbers)
                instance, capacity = EndpointInstance(str(endpoint_id), born_ms), Resources(
                    *amounts
                )
            except (ValueError, TypeError) as error:
                logger.warning(
                    "skipped a capacity that {} told: {!r}", member.identity.daemon_id, error
                )
                continue
            self._endpoint_list.hear_capacity(instance, revision, capacity)


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
