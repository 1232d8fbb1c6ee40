"""What daemons tell each other about themselves and about other daemons."""

from dataclasses import dataclass
from typing import Any

from berylproxy.models import DaemonIdentity
from berylproxy.peers.membership import MemberStatus


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What a daemon believes about another.

    :param refutations: how often the member has denied being suspect; a higher count is newer.
    :param final: whether the incarnation is certainly over.
    """

    identity: DaemonIdentity
    status: MemberStatus
    refutations: int
    final: bool = False


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A daemon's state, sent as a request and answered with the other's own.

    :param state_version: counts the changes of ``state``.
    :param known_state_version: version of the receiver's state that the sender holds; 0 for none.
    :param state: the state by provider; ``None`` if the receiver holds this version.
    :param updates: recent news of other members.
    """

    ready: bool
    refutations: int
    state_version: int
    known_state_version: int
    state: dict[str, Any] | None
    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks the receiver to send a heartbeat to another member."""

    incarnation: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class IndirectProbeResult:
    """Tells whether that member replied."""

    reached: bool


@dataclass(frozen=True, slots=True)
class MemberListRequest:
    """Asks for all members."""


@dataclass(frozen=True, slots=True)
class MemberList:
    """All members that the sender knows, itself excluded."""

    members: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """The sender is stopping: it takes no new work and ends when its requests are answered."""


CONTROL_MESSAGES = (
    Heartbeat,
    IndirectProbe,
    IndirectProbeResult,
    MemberListRequest,
    MemberList,
    LeaveNotice,
)
