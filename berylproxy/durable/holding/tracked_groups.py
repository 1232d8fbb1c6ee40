"""Which groups a daemon tracks: those that may have jobs, whether their services are configured."""

from collections.abc import Set
from enum import StrEnum

from berylproxy.durable.holding.groups import service_of_group


class GroupState(StrEnum):
    """What a daemon knows of a group.

    A FORMER group differs from a FOLLOWED one by the configuration only, which does not name its
    service. A RELEASED one has no holder and no open jobs.
    """

    UNKNOWN = "unknown"
    FOLLOWED = "followed"
    FORMER = "former"
    RELEASED = "released"


class GroupEvent(StrEnum):
    """What changes the state of a group.

    CLAIM_READ: its claim was read to follow its holder. RELEASED: its claim is released, and its
    service is not configured. HELD: a holder is known.
    """

    CLAIM_READ = "claim_read"
    RELEASED = "released"
    HELD = "held"


# Events that aren't listed leave the state as it is. What makes a followed group a former one, and
# the reverse, is the configuration.
TRANSITIONS = {
    (GroupState.UNKNOWN, GroupEvent.CLAIM_READ): GroupState.FOLLOWED,
    (GroupState.RELEASED, GroupEvent.CLAIM_READ): GroupState.FOLLOWED,
    (GroupState.UNKNOWN, GroupEvent.RELEASED): GroupState.RELEASED,
    (GroupState.FOLLOWED, GroupEvent.RELEASED): GroupState.RELEASED,
    (GroupState.RELEASED, GroupEvent.HELD): GroupState.FOLLOWED,
}


class TrackedGroups:
    """The state of each group, as this daemon knows it."""

    def __init__(self) -> None:
        self._states: dict[str, GroupState] = {}
        self._configured_services: Set[str] = frozenset()

    def note_configuration(self, services: Set[str]) -> None:
        """Records which services are configured."""
        self._configured_services = services

    def is_configured(self, service: str) -> bool:
        """Returns whether a service is in the configuration."""
        return service in self._configured_services

    def is_former(self, group: str) -> bool:
        """Returns whether a group's service is not in the configuration, if there is one."""
        configured = self._configured_services
        return bool(configured) and service_of_group(group) not in configured

    def apply(self, group: str, event: GroupEvent) -> None:
        """Changes the state of a group."""
        state = self._states.get(group, GroupState.UNKNOWN)
        self._states[group] = TRANSITIONS.get((state, event), state)

    def state(self, group: str) -> GroupState:
        """Returns the state of a group."""
        state = self._states.get(group, GroupState.UNKNOWN)
        is_former = state is GroupState.FOLLOWED and self.is_former(group)
        return GroupState.FORMER if is_former else state

    def is_followed(self, group: str) -> bool:
        """Returns whether the holder of a group is followed, configured or not."""
        return self.state(group) in (GroupState.FOLLOWED, GroupState.FORMER)

    def is_released(self, group: str) -> bool:
        """Returns whether a group is released."""
        return self.state(group) is GroupState.RELEASED

    def list_followed(self) -> list[str]:
        """Lists the groups whose holders are followed."""
        return [group for group in self._states if self.is_followed(group)]
