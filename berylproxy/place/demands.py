"""What the homes ask a holder for."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from berylproxy.collect.job import DemandKey
from berylproxy.place.messages import DemandEntry
from berylproxy.place.schedule import HomeDemand

GRANT_TRANSIT_S = 3.0  # a grant that its home has not seen by then is lost


@dataclass(frozen=True, slots=True)
class UnseenGrant:
    """A grant that its home has not counted yet."""

    key: DemandKey
    since_s: float


class DemandTable:
    """Waiting tasks by key and home, as absolute counts told by the homes.

    A home counts again with each message. Grants that were on their way to it then are taken off
    its count, so that no task is granted a slot twice.

    :ivar by_key: the demand of each home by key; no key without a home.
    """

    def __init__(self) -> None:
        self.by_key: dict[DemandKey, dict[str, HomeDemand]] = {}
        self._unseen_grants: dict[str, dict[int, UnseenGrant]] = {}  # by home and number

    def replace(
        self, home: str, entries: Iterable[DemandEntry], last_grant: int, now_s: float
    ) -> None:
        """Takes a home's counts in place of its earlier ones.

        :param last_grant: the last grant that the home had seen when it counted.
        """
        unseen = self._count_unseen_grants(home, last_grant, now_s)
        self._drop(home)
        for entry in entries:
            key = DemandKey(entry.service, entry.team, entry.needs)
            waiting = entry.waiting - unseen[key]
            if waiting > 0:
                demand = HomeDemand(waiting, now_s - entry.oldest_age_s)
                self.by_key.setdefault(key, {})[home] = demand

    def forget(self, home: str) -> None:
        """Drops all that is known of a home."""
        self._drop(home)
        self._unseen_grants.pop(home, None)

    def note_grant(self, home: str, key: DemandKey, number: int, now_s: float) -> None:
        """Takes one waiting task off, for which a grant goes out."""
        homes = self.by_key[key]
        homes[home].waiting -= 1
        if not homes[home].waiting:
            del homes[home]
        if not homes:
            del self.by_key[key]
        self._unseen_grants.setdefault(home, {})[number] = UnseenGrant(key, now_s)

    def count_waiting(self) -> int:
        """Counts all waiting tasks."""
        return sum(demand.waiting for homes in self.by_key.values() for demand in homes.values())

    def _drop(self, home: str) -> None:
        for homes in self.by_key.values():
            homes.pop(home, None)
        self.by_key = {key: homes for key, homes in self.by_key.items() if homes}

    def _count_unseen_grants(self, home: str, last_grant: int, now_s: float) -> Counter[DemandKey]:
        remaining = {
            number: grant
            for number, grant in self._unseen_grants.get(home, {}).items()
            if number > last_grant and now_s < grant.since_s + GRANT_TRANSIT_S
        }
        self._unseen_grants[home] = remaining
        return Counter(grant.key for grant in remaining.values())
