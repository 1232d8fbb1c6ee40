"""How a service's endpoints and jobs are divided into groups, each with a holder of its own. Pure.

Answers fleets whose task starts are more than one daemon can order.
"""

from collections.abc import Iterable
from hashlib import blake2b
from math import ceil

ENDPOINTS_PER_GROUP = 48  # a holder orders some 500 task starts a second with half a core
MAX_GROUPS = 256  # of one service; bounds what a damaged value can do
MARK = "~"  # between service and number; services are named without it


def count_groups(endpoints: int) -> int:
    """Returns into how many groups a service with so many endpoints is divided."""
    return min(max(ceil(endpoints / ENDPOINTS_PER_GROUP), 1), MAX_GROUPS)


def list_groups(service: str, count: int) -> list[str]:
    """Names all groups of a service; one that isn't divided is named as the service."""
    return [_name_group(service, count, number) for number in range(count)]


def choose_group(service: str, count: int, name: str) -> str:
    """Chooses the group of an endpoint or a job by its name."""
    digest = blake2b(name.encode(), digest_size=8).digest()
    return _name_group(service, count, int.from_bytes(digest) % count)


def is_settled(counts: Iterable[int]) -> bool:
    """Tells whether two looks at the list saw the same endpoints, so that it may be divided."""
    first, second = counts
    return first == second > 0


def _name_group(service: str, count: int, number: int) -> str:
    return service if count == 1 else f"{service}{MARK}{number}"
