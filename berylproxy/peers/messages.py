"""The control messages, in which daemons report their own state and that of other daemons."""

from typing import Any

from msgspec import Struct

from berylproxy.models import DaemonIdentity
from berylproxy.peers.membership import MemberStatus


class MemberUpdate(Struct, frozen=True):
    """The sender's view of another member.

    :param refutations: number of times that the member has refuted a suspicion; an update with a
        higher number is newer.
    :param final: whether the incarnation has certainly ended.
    """

    identity: DaemonIdentity
    status: MemberStatus
    refutations: int
    final: bool = False


class Heartbeat(Struct, frozen=True):
    """A daemon's state, sent as a request and answered with the receiver's own heartbeat.

    :param ready: whether the sender accepts new work.
    :param refutations: number of times that the sender has refuted a suspicion.
    :param state_version: number of the current version of ``state``.
    :param known_state_version: version of the receiver's state that the sender has; 0 for none.
    :param state: the state by component; ``None`` if the receiver already has this version.
    :param updates: recent updates on other members.
    """

    ready: bool
    refutations: int
    state_version: int
    known_state_version: int
    state: dict[str, Any] | None
    updates: tuple[MemberUpdate, ...]


class IndirectProbe(Struct, frozen=True):
    """Asks the receiver to send a heartbeat to another member.

    :param timeout_s: time for that member to reply.
    """

    incarnation: str
    timeout_s: float


class IndirectProbeResult(Struct, frozen=True):
    """The reply to an :class:`IndirectProbe`.

    :param reached: whether the probed member replied in time.
    """

    reached: bool


class MemberListRequest(Struct, frozen=True):
    """Asks for the members that the receiver considers alive."""


class MemberList(Struct, frozen=True):
    """The members that the sender considers alive, without itself; long lists are truncated."""

    members: tuple[MemberUpdate, ...]


class LeaveNotice(Struct, frozen=True):
    """The sender is stopping: it accepts no new work and exits when its requests are answered."""


CONTROL_MESSAGES = (
    Heartbeat,
    IndirectProbe,
    IndirectProbeResult,
    MemberListRequest,
    MemberList,
    LeaveNotice,
)
