"""Assigns each group of endpoints to the daemon that grants its slots."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from berylproxy.models import DaemonIdentity
from berylproxy.records.models import Configuration


@dataclass(frozen=True, slots=True)
class SlotGroup:
    """The endpoints of one pool in one failure domain; a single holder grants all their slots."""

    pool: str
    failure_domain: str


def list_slot_groups(configuration: Configuration) -> set[SlotGroup]:
    """Returns the groups that have at least one endpoint."""
    return {
        SlotGroup(endpoint.pool, endpoint.failure_domain)
        for endpoint in configuration.endpoints.values()
    }


def choose_holder(group: SlotGroup, daemons: Iterable[DaemonIdentity]) -> DaemonIdentity | None:
    """Chooses a group's holder among the live daemons by rendezvous hashing.

    Daemons in the group's own failure domain are preferred. When a daemon stops or returns, only
    its own groups change their holder.

    :returns: the holder; ``None`` if ``daemons`` is empty.
    """
    candidates = list(daemons)
    local = [daemon for daemon in candidates if daemon.failure_domain == group.failure_domain]
    return max(local or candidates, key=lambda daemon: _score(group, daemon), default=None)


def _score(group: SlotGroup, daemon: DaemonIdentity) -> bytes:
    text = f"{group.pool}\0{group.failure_domain}\0{daemon.daemon_id}"
    return blake2b(text.encode(), digest_size=8).digest()
