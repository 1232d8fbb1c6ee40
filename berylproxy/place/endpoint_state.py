"""State of one endpoint at its holder: slots in use, health and observed capacity."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from berylproxy.place.health import EndpointHealth
from berylproxy.place.schedule import EndpointForecast
from berylproxy.records.models import Endpoint

LOST_SLOT_RUN_TIMES = 4  # a dead home's slot stays in use for this many expected run times
LOST_SLOT_MARGIN_S = 1.0
SHORTEST_LOST_RUN_TIME_S = 0.3
OVERRUN_SHARE = 0.3  # expected remaining time of an overdue task, as a share of its time so far
FULL_PAUSE_S = 0.05  # no grants for this long after an endpoint has refused a task as full
LIMIT_GROWTH = 0.1  # growth of a lowered limit while as many tasks finish as the limit allows


class SlotResult(StrEnum):
    """Result of the use of a slot."""

    DONE = "done"
    FAILED = "failed"
    NO_ANSWER = "no_answer"
    ABANDONED = "abandoned"
    UNREACHABLE = "unreachable"
    FULL = "full"
    LEAVING = "leaving"
    UNUSED = "unused"


# The endpoint may still be running the task after these results.
STILL_BUSY_RESULTS = (SlotResult.NO_ANSWER, SlotResult.ABANDONED)
UNHEALTHY_RESULTS = (SlotResult.FAILED, SlotResult.NO_ANSWER, SlotResult.UNREACHABLE)


@dataclass(frozen=True, slots=True)
class SlotKey:
    """Identifies one use of a slot, also after the group's holder has changed."""

    issuer: str
    sequence: int


@dataclass(slots=True)
class SlotUse:
    """A slot in use.

    :param free_at_s: expected time at which the slot becomes free.
    :param lost_until_s: time at which the slot is reclaimed after its home has died or has stopped
        waiting for the task; 0 otherwise.
    """

    home: str
    team: str
    start_s: float
    free_at_s: float
    lost_until_s: float = 0.0

    def predict_end_s(self, now_s: float) -> float:
        """Predicts the end of the use, also for a task that runs longer than expected."""
        if self.free_at_s > now_s:
            return self.free_at_s
        return now_s + OVERRUN_SHARE * (now_s - self.start_s)

    def mark_lost(self, now_s: float) -> None:
        """Schedules the slot to be reclaimed after the death of its home.

        The task may still run for a while, so the slot is not free at once.
        """
        if not self.lost_until_s:
            expected_s = max(self.free_at_s - self.start_s, SHORTEST_LOST_RUN_TIME_S)
            self.lost_until_s = now_s + LOST_SLOT_RUN_TIMES * expected_s + LOST_SLOT_MARGIN_S


@dataclass(slots=True)
class EndpointState:
    """An endpoint with its slots in use and its health.

    :param limit: observed number of slots, where the endpoint has refused a task as full although
        its record says that it has more.
    :param full_until_s: time before which no slot is granted.
    """

    endpoint: Endpoint
    uses: dict[SlotKey, SlotUse] = field(default_factory=dict)
    health: EndpointHealth = field(default_factory=EndpointHealth)
    limit: float = float("inf")
    full_until_s: float = 0.0

    def count_free(self, now_s: float) -> int:
        """Returns the number of slots that may be granted now."""
        may_receive_task = self.health.may_receive_task(now_s, len(self.uses))
        if not self.endpoint.accepts_tasks or not may_receive_task:
            return 0
        if now_s < self.full_until_s:
            return 0
        free = max(0, int(min(self.endpoint.slots, self.limit)) - len(self.uses))
        return min(free, 1) if self.health.on_probation else free

    def note_result(self, result: SlotResult, now_s: float) -> None:
        """Updates health and limit by the result of the use of a slot."""
        if result is SlotResult.DONE:
            self.health.note_success()
            self._raise_limit()
        elif result is SlotResult.FULL:
            self._lower_limit(now_s)
        elif result is SlotResult.LEAVING:
            self.health.note_leaving(now_s)
        elif result in UNHEALTHY_RESULTS:
            self.health.note_failure(now_s)

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the endpoint may be sent tasks as soon as it has a free slot."""
        return self.endpoint.accepts_tasks and now_s >= self.health.ejected_until_s

    def forecast(self, now_s: float) -> EndpointForecast:
        """Predicts when the endpoint's slots will be free."""
        free_at_s = sorted(use.predict_end_s(now_s) for use in self.uses.values())
        return EndpointForecast(self.count_free(now_s), free_at_s)

    def can_ever_run(self, needs: Iterable[tuple[str, int]]) -> bool:
        """Returns whether the endpoint has the resources that a task needs."""
        resources = self.endpoint.resources
        return all(amount <= resources.get(name, 0) for name, amount in needs)

    def _lower_limit(self, now_s: float) -> None:
        # The endpoint refused one more task, so the slots still in use are its observed capacity.
        self.limit = max(1.0, len(self.uses))
        self.full_until_s = now_s + FULL_PAUSE_S

    def _raise_limit(self) -> None:
        self.limit += LIMIT_GROWTH / self.limit
