"""Remembers when refused callers were told to come back, without a clock or sockets.

Made for overloads after which many callers return: they are told different times, and who comes
back at its time is ordered as if it had waited here. Each call takes constant time; what is
remembered is bounded and lost with the holder, after which a caller counts as a new one.
"""

from collections import OrderedDict
from dataclasses import dataclass
from math import ceil

from berylproxy.durable.jobs.workload import Claimant

SHORTEST_RETRY_AFTER_S = 1.0  # Retry-After counts whole seconds
LONGEST_RETRY_AFTER_S = 10.0
EARLY_S = 0.3  # callers' clocks and the way to the daemon
LATE_S = 1.0  # a place is kept for so long after the time told
MAX_PLACES = 4_000


@dataclass(frozen=True, slots=True)
class Place:
    """A refused caller's place.

    :param refused_s: monotonic time of the first refusal.
    :param return_s: monotonic time at which the caller was told to return.
    """

    refused_s: float
    return_s: float


class ReturnPlaces:
    """The places of refused callers, by the identifiers of their jobs."""

    def __init__(self) -> None:
        self._places: OrderedDict[str, Place] = OrderedDict()
        self._promised_until_s: dict[Claimant, float] = {}

    def waited_s(self, job_id: str, now_s: float) -> float:
        """Returns the time since a caller was refused; 0 unless it returns at the time told."""
        place = self._places.get(job_id)
        if place is None or not place.return_s - EARLY_S <= now_s <= place.return_s + LATE_S:
            return 0.0
        return now_s - place.refused_s

    def forget(self, job_id: str) -> None:
        """Drops the place of a caller that has been accepted."""
        self._places.pop(job_id, None)

    def promise(
        self, job_id: str, claimant: Claimant, wait_s: float, work_s: float, now_s: float
    ) -> float:
        """Returns after how many seconds a refused caller is to return, and keeps its place.

        Callers of one claimant are told times at intervals in which the room for each becomes free.

        :param wait_s: time until there is room for the job.
        :param work_s: time that the endpoints need for the job.
        """
        known = self._places.get(job_id)
        if known is not None and now_s < known.return_s - EARLY_S:
            return max(float(ceil(known.return_s - now_s)), SHORTEST_RETRY_AFTER_S)
        at_s = max(now_s + wait_s, self._promised_until_s.get(claimant, 0.0) + work_s)
        at_s = min(at_s, now_s + LONGEST_RETRY_AFTER_S)
        self._promised_until_s[claimant] = at_s
        after_s = float(max(ceil(at_s - now_s), SHORTEST_RETRY_AFTER_S))
        refused_s = known.refused_s if known is not None else now_s
        self._places[job_id] = Place(refused_s, now_s + after_s)
        self._places.move_to_end(job_id)
        while len(self._places) > MAX_PLACES:
            self._places.popitem(last=False)
        return after_s
