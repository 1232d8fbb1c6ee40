"""Messages between homes and the holders of slots."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DemandEntry:
    """Tasks of one kind that wait at a home.

    :param needs: resources by name, sorted.
    :param waiting: how many wait now; an absolute count.
    :param oldest_age_s: how long ago the oldest one's job was accepted.
    """

    service: str
    team: str
    needs: tuple[tuple[str, int], ...]
    waiting: int
    oldest_age_s: float


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """A slot in use at a home.

    :param issuer: incarnation of the holder that granted it.
    :param sequence: the issuer's number of the grant.
    """

    issuer: str
    sequence: int
    endpoint: str
    service: str
    team: str


@dataclass(frozen=True, slots=True)
class UpdateDemand:
    """Home to holder: what waits, as absolute counts.

    :param pool: the pool whose slots are asked for.
    :param failure_domain: the failure domain of the endpoints.
    :param last_grant: number of the last grant that the home has seen from this holder.
    :param held: all slots in use at the home, where it tells them; ``None`` otherwise.
    """

    pool: str
    failure_domain: str
    entries: tuple[DemandEntry, ...]
    last_grant: int
    held: tuple[HeldSlot, ...] | None = None


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """One slot of one endpoint for one task."""

    sequence: int
    endpoint: str
    service: str
    team: str
    needs: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class SlotRelease:
    """The end of a slot's use.

    :param result: a value of :class:`berylproxy.place.ledger.SlotResult`.
    :param run_time_s: time from sending to the whole answer; 0 where there was none.
    """

    issuer: str
    sequence: int
    endpoint: str
    service: str
    result: str
    run_time_s: float


@dataclass(frozen=True, slots=True)
class ReleaseSlots:
    """Home to holder: slots that are free again."""

    pool: str
    failure_domain: str
    releases: tuple[SlotRelease, ...]


@dataclass(frozen=True, slots=True)
class HolderSummary:
    """Holder to homes: how busy its endpoints are.

    :param free: slots that nobody uses.
    :param waiting: tasks that wait for a slot here.
    :param slots: all usable slots.
    :param turnover_per_s: slots that become free in a second when all are in use.
    :param costs_s: what each of the next few tasks would cost, the first one's first: its expected
        run time and its weighted wait.
    """

    pool: str
    failure_domain: str
    free: int
    waiting: int
    slots: int
    turnover_per_s: float
    costs_s: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GrantSlots:
    """Holder to home: slots that the home may use now.

    :param summary: how busy the holder's endpoints are after these grants.
    """

    pool: str
    failure_domain: str
    grants: tuple[SlotGrant, ...]
    summary: HolderSummary | None = None


PLACE_MESSAGES = (UpdateDemand, GrantSlots, ReleaseSlots, HolderSummary)
