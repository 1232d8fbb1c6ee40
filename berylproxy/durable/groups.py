"""Divides a service's endpoints and jobs into groups, each with a holder of its own.

One daemon can't order the task starts of a large fleet. All functions are pure.
"""

from collections.abc import Iterable
from hashlib import blake2b
from math import ceil

ENDPOINTS_PER_GROUP = 48  # a holder orders some 500 task starts a second with half a core
MAX_GROUPS = 256  # of one service; bounds the effect of a damaged stored value
GROUP_SEPARATOR = "~"  # between a service's name, which can't contain it, and the group's number


def count_groups(endpoints: int) -> int:
    """Returns the number of groups for a service with a number of endpoints."""
    return min(max(ceil(endpoints / ENDPOINTS_PER_GROUP), 1), MAX_GROUPS)


def list_groups(service: str, count: int) -> list[str]:
    """Lists the groups of a service; a single group has the service's name."""
    return [_name_group(service, count, number) for number in range(count)]


def choose_group(service: str, count: int, name: str) -> str:
    """Returns the group of an endpoint or a job, by a hash of its identifier."""
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
