"""Which daemon holds the slots of which endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from berylproxy.models import DaemonIdentity
from berylproxy.records.models import Configuration


@dataclass(frozen=True, slots=True)
class SlotGroup:
    """The endpoints of one pool in one failure domain, whose slots have one holder."""

    pool: str
    failure_domain: str


def list_slot_groups(configuration: Configuration) -> set[SlotGroup]:
    """Lists the groups that have endpoints."""
    return {
        SlotGroup(endpoint.pool, endpoint.failure_domain)
        for endpoint in configuration.endpoints.values()
    }


def choose_holder(group: SlotGroup, daemons: Iterable[DaemonIdentity]) -> DaemonIdentity | None:
    """Chooses the holder among the live daemons by rendezvous hashing.

    Daemons of the group's own failure domain go first. A daemon that ends or comes back moves only
    the groups that it held.
    """
    candidates = list(daemons)
    local = [daemon for daemon in candidates if daemon.failure_domain == group.failure_domain]
    return max(local or candidates, key=lambda daemon: _score(group, daemon), default=None)


def _score(group: SlotGroup, daemon: DaemonIdentity) -> bytes:
    text = f"{group.pool}\0{group.failure_domain}\0{daemon.daemon_id}"
    return blake2b(text.encode(), digest_size=8).digest()
