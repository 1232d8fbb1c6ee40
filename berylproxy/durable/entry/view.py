"""Describes jobs, holders and endpoints to operators, as one daemon sees them."""

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from berylproxy.clock import Clock
from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.holding.coordinator import GroupCoordinator
from berylproxy.peers.membership import describe_member
from berylproxy.peers.network import TcpPeerNetwork

if TYPE_CHECKING:
    from berylproxy.durable.decisions.shares import ClaimantShare


@dataclass(frozen=True, slots=True)
class DaemonView:
    """Describes a daemon, its peers, the groups and their endpoints for the status page."""

    network: TcpPeerNetwork
    coordinator: GroupCoordinator
    clock: Clock

    def describe(self, daemon_fields: dict[str, Any]) -> dict[str, Any]:
        """Returns the content of ``GET /v1/status``.

        :param daemon_fields: further fields for the description of the daemon itself.
        """
        return {
            "daemon": self._describe_daemon() | daemon_fields,
            "peers": self._describe_peers(),
            "groups": self._describe_groups(),
            "endpoints": self._describe_endpoints(),
            "slowed_pairs": self._describe_slowed_pairs(),
        }

    def _describe_daemon(self) -> dict[str, Any]:
        identity = self.network.identity
        return {
            "daemon_id": identity.daemon_id,
            "incarnation": identity.incarnation,
            "failure_domain": identity.failure_domain,
            "peer_address": identity.peer_address,
            "cores": self.coordinator.cores,
            "stopping": self.coordinator.is_leaving,
            "evacuated_failure_domains": sorted(self.coordinator.evacuations.names),
        }

    def _describe_peers(self) -> list[dict[str, Any]]:
        return [
            {
                **describe_member(member),
                "has_stream": bool(self.network.links(member.identity.incarnation)),
            }
            for member in self.network.members()
        ]

    def _describe_groups(self) -> list[dict[str, Any]]:
        names = {m.identity.incarnation: m.identity.daemon_id for m in self.network.members()}
        names[self.network.identity.incarnation] = self.network.identity.daemon_id
        rows = []
        for group, known in sorted(self.coordinator.known_holders.items()):
            holder = self.coordinator.holders.get(group)
            row = {
                "group": group,
                "holder": names.get(known.incarnation, known.incarnation),
                "fence": known.fence,
                "heard_s_ago": round(self.clock.now_s() - known.last_seen_s, 3),
                "held_here": holder is not None,
            }
            if holder is not None:
                jobs = holder.job_table.jobs.values()
                queues = Counter(job.spec.terms.queue for job in jobs)
                row["open_jobs"] = dict(queues)
                row["waiting_tasks"] = sum(len(job.waiting) for job in jobs)
                row["room_scarce"] = holder.admission.shares.scarcity.is_scarce
                row["shares"] = [_describe_share(share) for share in holder.list_shares()]
            rows.append(row)
        return rows

    def _describe_endpoints(self) -> list[dict[str, Any]]:
        """Describes the endpoints of the groups that this daemon holds."""
        now_s = self.clock.now_s()
        return [
            {
                "group": group,
                **_describe_endpoint(endpoint, now_s),
                "speed": round(holder.group.speed(endpoint), 2),
            }
            for group, holder in sorted(self.coordinator.holders.items())
            for endpoint in holder.group.endpoints.values()
        ]

    def _describe_slowed_pairs(self) -> list[dict[str, Any]]:
        """Describes the kinds of task that slow each other down, in the groups held here."""
        return [
            {
                "group": group,
                "kind": effect.pair.kind,
                "slowed_by": effect.pair.neighbour,
                "factor": round(effect.factor, 2),
                "certainty": round(effect.certainty, 1),
            }
            for group, holder in sorted(self.coordinator.holders.items())
            for effect in holder.neighbours.list_found()
        ]


def _describe_share(share: "ClaimantShare") -> dict[str, Any]:
    return {
        "queue": share.claimant.queue,
        "failure_domain": share.claimant.failure_domain,
        "demand_cores": round(share.demand, 1),
        "share_cores": round(share.share, 1),
        "over": share.is_over,
    }


def _describe_endpoint(endpoint: EndpointState, now_s: float) -> dict[str, Any]:
    return {
        "name": endpoint.info.instance.endpoint_id,
        "failure_domain": endpoint.info.failure_domain,
        "takes_tasks": endpoint.may_start(now_s),
        "listed": endpoint.is_listed,
        "leaving": endpoint.info.leaving,
        "evacuated": endpoint.is_evacuated,
        "missed_calls": endpoint.missed_calls,
        "closed_for_s": round(max(endpoint.quarantined_until_s - now_s, 0.0), 3),
        "failures_in_row": endpoint.failures_in_row,
        "failure_probability": round(endpoint.trust.failure_probability(now_s), 3),
        "runs": len(endpoint.runs),
        "free_cores": endpoint.free_millicores / 1000,
    }
