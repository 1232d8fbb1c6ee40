"""Messages between homes and the holders of slots."""

from msgspec import Struct


class DemandEntry(Struct, frozen=True):
    """Tasks of one service and team with the same needs that wait at a home.

    :param needs: resources by name, sorted.
    :param waiting: number of waiting tasks; an absolute count.
    :param oldest_age_s: time since the job of the oldest waiting task was accepted.
    """

    service: str
    team: str
    needs: tuple[tuple[str, int], ...]
    waiting: int
    oldest_age_s: float


class HeldSlot(Struct, frozen=True):
    """A slot in use at a home.

    :param issuer: incarnation of the holder that granted it.
    :param sequence: the issuer's number of the grant.
    """

    issuer: str
    sequence: int
    endpoint: str
    service: str
    team: str


class UpdateDemand(Struct, frozen=True):
    """Home to holder: absolute counts of the tasks that wait for slots of a group.

    :param pool: the pool whose slots are requested.
    :param failure_domain: the failure domain of the endpoints.
    :param last_grant: number of the last grant that the home has received from this holder.
    :param held: all slots of the group in use at the home; ``None`` if the message does not report
        them.
    """

    pool: str
    failure_domain: str
    entries: tuple[DemandEntry, ...]
    last_grant: int
    held: tuple[HeldSlot, ...] | None = None


class SlotGrant(Struct, frozen=True):
    """One slot of one endpoint for one task."""

    sequence: int
    endpoint: str
    service: str
    team: str
    needs: tuple[tuple[str, int], ...]


class SlotRelease(Struct, frozen=True):
    """The end of the use of a slot.

    :param result: a value of :class:`berylproxy.place.endpoint_state.SlotResult`.
    :param run_time_s: time from sending the task to its complete answer; 0 without an answer.
    """

    issuer: str
    sequence: int
    endpoint: str
    service: str
    result: str
    run_time_s: float


class ReleaseSlots(Struct, frozen=True):
    """Home to holder: slots that the home has stopped using."""

    pool: str
    failure_domain: str
    releases: tuple[SlotRelease, ...]


class HolderSummary(Struct, frozen=True):
    """Holder to homes: the load of a group's endpoints.

    :param free: number of slots that may be granted now.
    :param waiting: number of tasks that wait for a slot of the group.
    :param slots: number of slots of all usable endpoints.
    :param turnover_per_s: slots that become free per second when all are in use.
    :param costs_s: costs of the next few tasks in their order; a task's cost is its expected run
        time plus its weighted wait.
    """

    pool: str
    failure_domain: str
    free: int
    waiting: int
    slots: int
    turnover_per_s: float
    costs_s: tuple[float, ...] = ()


class GrantSlots(Struct, frozen=True):
    """Holder to home: slots that the home may use now.

    :param summary: the load of the group's endpoints after these grants.
    """

    pool: str
    failure_domain: str
    grants: tuple[SlotGrant, ...]
    summary: HolderSummary | None = None


PLACE_MESSAGES = (UpdateDemand, GrantSlots, ReleaseSlots, HolderSummary)
