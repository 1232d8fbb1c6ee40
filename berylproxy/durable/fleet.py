"""The endpoints of a group as their holder sees them: room, trust, ends to acknowledge."""

from dataclasses import dataclass, field
from math import inf

from berylproxy.durable.models import EndedRun, EndpointInfo, Needs, TaskName

FIRST_QUARANTINE_S = 0.5  # one task of a second or less may show whether it works again
LONGEST_QUARANTINE_S = 4.0
FAILURES_BEFORE_QUARANTINE = 2  # in a row, of tasks that have not failed elsewhere
NO_ROOM_PAUSE_S = 0.05  # the longest stop of a run, whose room the holder counted as free


@dataclass(slots=True)
class EndpointList:
    """The platform's list as it was last read.

    :ivar read_s: monotonic time of that; 0 before the first.
    """

    info: tuple[EndpointInfo, ...] = ()
    read_s: float = 0.0

    def update(self, info: tuple[EndpointInfo, ...], now_s: float) -> None:
        """Takes a list that was just read."""
        self.info, self.read_s = info, now_s


@dataclass(slots=True, eq=False)
class PresentRun:
    """A run that an endpoint may have.

    :ivar answered_s: when the endpoint confirmed it; infinite until then.
    :ivar stop_answered_s: when the endpoint confirmed a stop; infinite until then.
    :ivar is_uncertain: whether the order to start it was not answered.
    :ivar is_orphan: whether a former holder ordered it for a job that is not known here. Its lease
        must not be extended: the former holder may count on its lapse.
    """

    needs: Needs
    answered_s: float = inf
    stop_answered_s: float = inf
    is_uncertain: bool = False
    is_orphan: bool = False

    def is_over(self, report_sent_s: float) -> bool:
        """Tells whether a report that doesn't show the run means that it is not there."""
        return min(self.answered_s, self.stop_answered_s) < report_sent_s


@dataclass(slots=True, eq=False)
class EndpointState:
    """What the holder knows of one life of an endpoint.

    :ivar present: what may run there, by task and run, with the room it takes.
    :ivar contacted_s: when it first answered under this holder's fence; ``None`` until then.
    :ivar missed_calls: calls in a row without an answer.
    :ivar heard_s: monotonic time of its last answer to a renewal.
    :ivar is_listed: whether the platform's list names it.
    :ivar closed_until_s: monotonic time before which nothing is started there.
    """

    info: EndpointInfo
    present: dict[tuple[TaskName, int], PresentRun] = field(default_factory=dict)
    ends: dict[int, EndedRun] = field(default_factory=dict)
    released: set[int] = field(default_factory=set)
    acknowledged: int = 0
    contacted_s: float | None = None
    is_listed: bool = True
    missed_calls: int = 0
    heard_s: float = 0.0
    closed_until_s: float = 0.0
    failures_in_row: int = 0
    quarantine_s: float = FIRST_QUARANTINE_S
    used: Needs = field(default_factory=Needs)

    @property
    def has_orphans(self) -> bool:
        """Whether it runs something whose lease must not be extended, as an order would do."""
        return any(run.is_orphan for run in self.present.values())

    @property
    def is_contacted(self) -> bool:
        """Whether it takes orders under this holder's fence only."""
        return self.contacted_s is not None

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to ask it: it answered last time, runs and remembers nothing."""
        return self.is_contacted and not (self.present or self.ends or self.missed_calls)

    @property
    def room(self) -> Needs:
        """What is left of its capacity; stopping runs still count."""
        return self.info.capacity - self.used

    @property
    def free_millicores(self) -> int:
        """What is left of its processor, in thousandths of a core."""
        return self.info.capacity.cpu_millicores - self.used.cpu_millicores

    def may_start(self, now_s: float) -> bool:
        """Tells whether tasks may be started there now."""
        return self.is_serving(now_s) and not self.has_orphans

    def is_serving(self, now_s: float) -> bool:
        """Tells whether its room counts for jobs to come."""
        return (
            self.is_contacted
            and self.is_listed
            and not self.info.leaving
            and not self.missed_calls
            and now_s >= self.closed_until_s
        )

    def occupy(self, name: TaskName, run: int, needs: Needs) -> PresentRun:
        """Counts a run as present."""
        present = self.present.get((name, run))
        if present is None:
            present = self.present[name, run] = PresentRun(needs)
            self.used = self.used + needs
        return present

    def vacate(self, name: TaskName, run: int) -> None:
        """Counts a run as gone."""
        present = self.present.pop((name, run), None)
        if present is not None:
            self.used = self.used - present.needs

    def note_failure(self, now_s: float) -> bool:
        """Counts a failed task that did not fail elsewhere; returns whether it is now closed."""
        self.failures_in_row += 1
        if self.failures_in_row < FAILURES_BEFORE_QUARANTINE:
            return False
        self.close(now_s)
        return True

    def close(self, now_s: float) -> None:
        """Starts nothing there for a while, twice as long each time."""
        self.closed_until_s = now_s + self.quarantine_s
        self.quarantine_s = min(2 * self.quarantine_s, LONGEST_QUARANTINE_S)

    def note_success(self) -> None:
        """Trusts the endpoint again."""
        self.failures_in_row = 0
        self.quarantine_s = FIRST_QUARANTINE_S

    def note_no_room(self, now_s: float) -> None:
        """Waits for what the endpoint still has to free."""
        self.closed_until_s = max(self.closed_until_s, now_s + NO_ROOM_PAUSE_S)

    def take_end(self, end: EndedRun) -> bool:
        """Keeps an end until it may be forgotten; returns whether it is news."""
        if end.number <= self.acknowledged or end.number in self.ends:
            return False
        self.ends[end.number] = end
        return True

    def release(self, number: int) -> None:
        """Notes that an end need not be remembered by the endpoint."""
        if number in self.ends:
            self.released.add(number)

    def next_acknowledgement(self) -> int:
        """Returns the number up to which all ends may be forgotten, and drops them here."""
        while self.ends:
            first = min(self.ends)
            if first not in self.released:
                break
            self.ends.pop(first)
            self.released.discard(first)
            self.acknowledged = first
        return self.acknowledged
