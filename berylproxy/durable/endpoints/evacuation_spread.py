"""Tells other daemons which failure domains are evacuated, and hears it from them.

Made for a store that turns some daemons away while it serves the operator and the others: a daemon
that is turned away learns an evacuation from any other one. The state changes only with the
evacuations, and a heartbeat carries it only then.
"""

from typing import Any

from logbook import Logger
from msgspec import Struct, ValidationError, convert

from berylproxy.clock import Clock
from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.durable.jobs.models import Count
from berylproxy.peers.membership import Member
from berylproxy.peers.network import TcpPeerNetwork

HEARTBEAT_PART = "evacuation"

logger = Logger("berylproxy.durable.evacuation_spread")


class ToldEvacuations(Struct, frozen=True):
    """A daemon's view in its heartbeats."""

    revision: Count
    failure_domains: list[str]


class EvacuationSpread:
    """Adds this daemon's view to its heartbeats, and applies newer views of others."""

    def __init__(
        self, network: TcpPeerNetwork, evacuations: EvacuatedDomains, clock: Clock
    ) -> None:
        self._evacuations = evacuations
        self._clock = clock
        network.add_heartbeat_part(HEARTBEAT_PART, self.describe)
        network.on_change(self.apply)

    def describe(self) -> dict[str, Any]:
        """Returns this daemon's view for its heartbeats."""
        return {
            "revision": self._evacuations.changed_revision,
            "failure_domains": sorted(self._evacuations.names),
        }

    def apply(self, member: Member) -> None:
        """Applies the view in a member's last heartbeat; one that can't be read is skipped."""
        part = member.heartbeat.get(HEARTBEAT_PART)
        if part is None:  # a daemon of an earlier version
            return
        try:
            told = convert(part, ToldEvacuations)
        except ValidationError as error:
            logger.warning(
                "skipped the evacuations that {} told: {!r}", member.identity.daemon_id, error
            )
            return
        self._evacuations.hear(
            frozenset(told.failure_domains),
            told.revision,
            member.identity.daemon_id,
            self._clock.now_s(),
        )
