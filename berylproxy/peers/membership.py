"""The other daemons of the cluster, as this daemon sees them."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from berylproxy.errors import BerylproxyError
from berylproxy.models import DaemonIdentity


class PeerError(BerylproxyError):
    """Base class of the errors in the communication between daemons."""

    code = "peer_error"


class PeerUnreachableError(PeerError):
    """The message was certainly not delivered, as there is no usable stream to the daemon."""

    code = "peer_unreachable"


class PeerLostError(PeerError):
    """The message may have been delivered, but the stream broke or no reply arrived."""

    code = "peer_lost"


class MemberStatus(StrEnum):
    """A member's status in the view of this daemon."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # could not be reached, and is not yet declared dead
    DEAD = "dead"


@dataclass(slots=True)
class Member:
    """Another daemon.

    :param heartbeat: the state that the member sent with its last heartbeat: plain msgpack values,
        one map per component (``{"config": {...}, "place": {...}}``).
    :param is_final: whether the incarnation has certainly ended; one that is dead but not final may
        still run behind a network partition.
    :param status_changed_s: time of the last change of the status, on the monotonic clock.
    """

    identity: DaemonIdentity
    status: MemberStatus
    ready: bool = True
    heartbeat: dict[str, Any] = field(default_factory=dict)
    is_final: bool = False
    status_changed_s: float = 0.0


def describe_member(member: Member) -> dict[str, Any]:
    """Returns the fields of a member that operators are shown."""
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
        """Lists the other known members, each in its current incarnation, alive ones first."""

    async def request(self, incarnation: str, message: Any, timeout_s: float) -> Any:
        """Sends a message to one incarnation and waits for the reply.

        :raises PeerUnreachableError: if the message was certainly not delivered.
        :raises PeerLostError: if it may have been delivered.
        """

    def notify(self, incarnation: str, message: Any) -> None:
        """Queues a one-way message, in order with the others; drops it if there is no stream.

        Delivery is not guaranteed, so a receiver must tolerate the loss of any notice.
        """
