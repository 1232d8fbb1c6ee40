"""Who the other daemons are, as this daemon sees them."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from berylproxy.errors import BerylproxyError
from berylproxy.models import DaemonIdentity


class PeerError(BerylproxyError):
    """Base of the errors between daemons."""

    code = "peer_error"


class PeerUnreachableError(PeerError):
    """There is no stream to the daemon: the message was certainly not delivered."""

    code = "peer_unreachable"


class PeerLostError(PeerError):
    """The stream broke or the reply did not come: the message may have been delivered."""

    code = "peer_lost"


class MemberStatus(StrEnum):
    """How a member looks from here."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # silent for longer than the suspicion time, not yet given up
    DEAD = "dead"


@dataclass(slots=True)
class Member:
    """Another daemon.

    :param heartbeat: the state that the member sent with its last heartbeat: plain msgpack values,
        a map per concern (``{"config": {...}, "place": {...}}``).
    :param is_final: whether the incarnation has certainly ended; one that is dead but not final may
        only be cut off.
    :param changed_s: the monotonic clock's time at which the status changed.
    """

    identity: DaemonIdentity
    status: MemberStatus
    ready: bool = True
    heartbeat: dict[str, Any] = field(default_factory=dict)
    is_final: bool = False
    changed_s: float = 0.0


def describe_member(member: Member) -> dict[str, Any]:
    """Describes a member for operators."""
    identity = member.identity
    return {
        "daemon_id": identity.daemon_id,
        "incarnation": identity.incarnation,
        "failure_domain": identity.failure_domain,
        "address": identity.peer_address,
        "status": member.status.value,
        "ready": member.ready,
    }


class PeerNetwork(Protocol):
    """Streams to the other daemons."""

    def members(self) -> list[Member]:
        """Lists all other members ever met in their current incarnation, alive ones first."""

    async def request(self, incarnation: str, message: Any, timeout_s: float) -> Any:
        """Sends a message to one incarnation and waits for the reply.

        :raises PeerUnreachableError: if the message was certainly not delivered.
        :raises PeerLostError: if it may have been.
        """

    def notify(self, incarnation: str, message: Any) -> None:
        """Queues a message without reply, in order with the others; drops it if there is no stream.

        A receiver of notifications must be able to do without any one of them.
        """
