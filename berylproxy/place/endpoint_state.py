"""One endpoint as its holder sees it: slots in use, health, and the room that it has shown."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from berylproxy.place.health import EndpointHealth
from berylproxy.place.schedule import EndpointForecast
from berylproxy.records.models import Endpoint

LOST_SLOT_RUN_TIMES = 4  # a dead home's slot is kept for that many expected run times
LOST_SLOT_MARGIN_S = 1.0
SHORTEST_LOST_RUN_TIME_S = 0.3
OVERRUN_SHARE = 0.3  # a task that overran its expected time is taken to need that share more
FULL_PAUSE_S = 0.05  # no grants to an endpoint that has just refused a task as full
LIMIT_GROWTH = 0.1  # by which a lowered limit grows while as many tasks finish as it allows


class SlotResult(StrEnum):
    """How the use of a slot ended."""

    DONE = "done"
    FAILED = "failed"
    NO_ANSWER = "no_answer"
    ABANDONED = "abandoned"
    UNREACHABLE = "unreachable"
    FULL = "full"
    LEAVING = "leaving"
    UNUSED = "unused"


# After these the endpoint may go on running the task.
STILL_BUSY_RESULTS = (SlotResult.NO_ANSWER, SlotResult.ABANDONED)
UNHEALTHY_RESULTS = (SlotResult.FAILED, SlotResult.NO_ANSWER, SlotResult.UNREACHABLE)


@dataclass(frozen=True, slots=True)
class SlotKey:
    """Names one use of a slot over changes of the holder."""

    issuer: str
    sequence: int


@dataclass(slots=True)
class SlotUse:
    """A slot in use.

    :param free_at_s: when it is expected to be free again.
    :param lost_until_s: when it is given up, if its home has died; 0 while the home lives.
    """

    home: str
    team: str
    since_s: float
    free_at_s: float
    lost_until_s: float = 0.0

    def predict_end_s(self, now_s: float) -> float:
        """Predicts when it ends, also for a task that takes longer than expected."""
        if self.free_at_s > now_s:
            return self.free_at_s
        return now_s + OVERRUN_SHARE * (now_s - self.since_s)

    def mark_lost(self, now_s: float) -> None:
        """Its home has died: the task may still run for a while."""
        if not self.lost_until_s:
            expected_s = max(self.free_at_s - self.since_s, SHORTEST_LOST_RUN_TIME_S)
            self.lost_until_s = now_s + LOST_SLOT_RUN_TIMES * expected_s + LOST_SLOT_MARGIN_S


@dataclass(slots=True)
class EndpointState:
    """An endpoint with its slots in use and its health.

    :param limit: slots that it has shown to have, where that is fewer than its record says.
    :param full_until_s: no grants before that time.
    """

    endpoint: Endpoint
    uses: dict[SlotKey, SlotUse] = field(default_factory=dict)
    health: EndpointHealth = field(default_factory=EndpointHealth)
    limit: float = float("inf")
    full_until_s: float = 0.0

    def count_free(self, now_s: float) -> int:
        """Counts the slots that may be granted now."""
        if self.endpoint.leaving or not self.health.may_take(now_s, len(self.uses)):
            return 0
        if now_s < self.full_until_s:
            return 0
        free = max(0, int(min(self.endpoint.slots, self.limit)) - len(self.uses))
        return min(free, 1) if self.health.on_probation else free

    def note_result(self, result: SlotResult, now_s: float) -> None:
        """Learns from how the use of a slot ended."""
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
        """Tells whether it may get tasks as soon as it has a free slot."""
        return not self.endpoint.leaving and now_s >= self.health.ejected_until_s

    def forecast(self, now_s: float) -> EndpointForecast:
        """Predicts when its slots will be free."""
        free_at_s = sorted(use.predict_end_s(now_s) for use in self.uses.values())
        return EndpointForecast(self.count_free(now_s), free_at_s)

    def can_ever_take(self, needs: Iterable[tuple[str, int]]) -> bool:
        """Tells whether a task with these needs fits the endpoint."""
        resources = self.endpoint.resources
        return all(amount <= resources.get(name, 0) for name, amount in needs)

    def _lower_limit(self, now_s: float) -> None:
        # The slots that are still in use are all that it has shown to have.
        self.limit = max(1.0, len(self.uses))
        self.full_until_s = now_s + FULL_PAUSE_S

    def _raise_limit(self) -> None:
        self.limit += LIMIT_GROWTH / self.limit
