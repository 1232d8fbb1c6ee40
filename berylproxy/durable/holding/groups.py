"""Divides a service's endpoints and jobs into groups, each with a holder of its own.

One daemon can't order the task starts of a large fleet, and one on a small VM not even those of a
small fleet. All functions are pure.
"""

from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil

ENDPOINTS_PER_GROUP = 48  # a holder orders some 500 task starts a second with half a core
# An endpoint gets up to 14 task starts a second, of 1 ms of a core and 1.2 KB each; half of the VM
# is left for callers.
ENDPOINTS_PER_CORE = 36.0
ENDPOINTS_PER_MBPS = 3.5
MAX_GROUPS = 256  # of one service; bounds the effect of a damaged stored value
GROUP_SEPARATOR = "~"  # between a service's name, which can't contain it, and the group's number
# Assignments of endpoints that are no longer listed are dropped beyond this number, so that the
# stored division stays below 100 KB more than the list needs.
MAX_UNLISTED_ASSIGNMENTS = 4_000


@dataclass(frozen=True, slots=True)
class Division:
    """The stored division of a service.

    :param count: number of groups.
    :param assigned: number of the group by endpoint; ``None`` if endpoints belong to groups by a
        hash of their identifiers, as in divisions of earlier versions or of one group.
    :param revision: store revision of the record.
    """

    count: int
    assigned: Mapping[str, int] | None = None
    revision: int = 0


def count_carried_endpoints(cores: float, link_mbps: float) -> int:
    """Returns the number of endpoints whose orders a VM can carry as their holder; at least 1."""
    carried = min(cores * ENDPOINTS_PER_CORE, link_mbps * ENDPOINTS_PER_MBPS, ENDPOINTS_PER_GROUP)
    return max(int(carried), 1)


def count_groups(endpoints: int, carried: Sequence[int]) -> int:
    """Returns the number of groups for a service with a number of endpoints.

    It is the smallest number for which enough VMs can carry a group each. If none is, further VMs
    like the strongest one are assumed.

    :param carried: number of endpoints that each known VM can carry.
    """
    strongest_first = sorted(carried, reverse=True)
    for count, least_carried in enumerate(strongest_first, start=1):
        if ceil(endpoints / count) <= least_carried:
            return min(count, MAX_GROUPS)
    return min(max(ceil(endpoints / strongest_first[0]), 1), MAX_GROUPS)


def assign_endpoints(
    assigned: Mapping[str, int],
    listed: Mapping[str, int],
    count: int,
    vanished: Set[str] = frozenset(),
) -> dict[str, int]:
    """Assigns the listed endpoints that have no group yet, each to the group with least capacity.

    Of groups with equal capacity, the one with the fewest listed endpoints is chosen: endpoints
    that have no capacity for the moment are spread, too. An endpoint never changes its group: two
    holders would order it under different fences.

    :param assigned: number of the group by endpoint.
    :param listed: capacity of the listed endpoints by identifier, in any unit.
    :param count: number of groups.
    :param vanished: endpoints that have left the list lately; their assignments are kept. They may
        come back with runs that their group's holder has ordered.
    """
    result = dict(assigned)
    unlisted = [name for name in assigned if name not in listed and name not in vanished]
    for endpoint_id in unlisted[: max(len(unlisted) - MAX_UNLISTED_ASSIGNMENTS, 0)]:
        del result[endpoint_id]
    capacities, counts = [0] * count, [0] * count
    for endpoint_id, capacity in listed.items():
        if endpoint_id in result:
            capacities[result[endpoint_id]] += capacity
            counts[result[endpoint_id]] += 1
    unassigned = [endpoint_id for endpoint_id in listed if endpoint_id not in result]
    for endpoint_id in sorted(unassigned, key=lambda name: (-listed[name], name)):
        number = min(range(count), key=lambda group: (capacities[group], counts[group]))
        result[endpoint_id] = number
        capacities[number] += listed[endpoint_id]
        counts[number] += 1
    return result


def list_groups(service: str, count: int) -> list[str]:
    """Lists the groups of a service; a single group has the service's name."""
    return [_name_group(service, count, number) for number in range(count)]


def service_of_group(group: str) -> str:
    """Returns the service that a group belongs to."""
    return group.partition(GROUP_SEPARATOR)[0]


def group_of_endpoint(service: str, division: Division, endpoint_id: str) -> str | None:
    """Returns the group of an endpoint; ``None`` if the division assigns it to none."""
    if division.assigned is None:
        return choose_group(service, division.count, endpoint_id)
    number = division.assigned.get(endpoint_id)
    return None if number is None else _name_group(service, division.count, number)


def choose_group(service: str, count: int, name: str) -> str:
    """Returns the group of a job or an endpoint, by a hash of its identifier."""
    digest = blake2b(name.encode(), digest_size=8).digest()
    return _name_group(service, count, int.from_bytes(digest) % count)


def is_list_stable(counts: Iterable[int]) -> bool:
    """Returns whether two reads of the endpoint list gave the same number, so that it is complete.

    The number of groups is stored once, so it must not derive from a list that is still filling.
    """
    first, second = counts
    return first == second > 0


def _name_group(service: str, count: int, number: int) -> str:
    return service if count == 1 else f"{service}{GROUP_SEPARATOR}{number}"
