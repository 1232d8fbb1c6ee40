"""Counts the waiting tasks for which homes have requested slots from a holder."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from berylproxy.collect.job import DemandKey
from berylproxy.place.messages import DemandEntry
from berylproxy.place.schedule import HomeDemand

GRANT_TRANSIT_S = 3.0  # a grant that its home has not acknowledged by then counts as lost


@dataclass(frozen=True, slots=True)
class UnacknowledgedGrant:
    """A grant that is not reflected in its home's counts yet."""

    key: DemandKey
    granted_s: float


class DemandTable:
    """Waiting tasks by key and home, as absolute counts that the homes report.

    Each message of a home replaces its earlier counts. Grants that were in transit when the home
    counted are subtracted, so that no task is granted a slot twice.

    :ivar by_key: the demand of each home by key; every key has at least one home.
    """

    def __init__(self) -> None:
        self.by_key: dict[DemandKey, dict[str, HomeDemand]] = {}
        # By home and number of the grant.
        self._unacknowledged_grants: dict[str, dict[int, UnacknowledgedGrant]] = {}

    def replace(
        self, home: str, entries: Iterable[DemandEntry], last_grant: int, now_s: float
    ) -> None:
        """Replaces a home's counts by newer ones.

        :param last_grant: number of the last grant that the home had received when it counted.
        """
        unacknowledged = self._count_unacknowledged_grants(home, last_grant, now_s)
        self._drop(home)
        for entry in entries:
            key = DemandKey(entry.service, entry.team, entry.needs)
            waiting = entry.waiting - unacknowledged[key]
            if waiting > 0:
                demand = HomeDemand(waiting, now_s - entry.oldest_age_s)
                self.by_key.setdefault(key, {})[home] = demand

    def forget(self, home: str) -> None:
        """Drops a home's demand and its unacknowledged grants."""
        self._drop(home)
        self._unacknowledged_grants.pop(home, None)

    def note_grant(self, home: str, key: DemandKey, number: int, now_s: float) -> None:
        """Removes one waiting task, for which a grant is sent to its home."""
        homes = self.by_key[key]
        homes[home].waiting -= 1
        if not homes[home].waiting:
            del homes[home]
        if not homes:
            del self.by_key[key]
        self._unacknowledged_grants.setdefault(home, {})[number] = UnacknowledgedGrant(key, now_s)

    def count_waiting(self) -> int:
        """Returns the number of waiting tasks of all homes."""
        return sum(demand.waiting for homes in self.by_key.values() for demand in homes.values())

    def _drop(self, home: str) -> None:
        for homes in self.by_key.values():
            homes.pop(home, None)
        self.by_key = {key: homes for key, homes in self.by_key.items() if homes}

    def _count_unacknowledged_grants(
        self, home: str, last_grant: int, now_s: float
    ) -> Counter[DemandKey]:
        remaining = {
            number: grant
            for number, grant in self._unacknowledged_grants.get(home, {}).items()
            if number > last_grant and now_s < grant.granted_s + GRANT_TRANSIT_S
        }
        self._unacknowledged_grants[home] = remaining
        return Counter(grant.key for grant in remaining.values())
