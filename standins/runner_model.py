"""What an endpoint of the users' platform does with orders, without a network."""

from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from anyio import Event

from berylproxy.durable.models import EndedRun, EndKind, EndpointInfo, TaskName
from berylproxy.durable.ports import StartOrder, StartOutcome


@dataclass
class ModelRun:
    """A run at a model endpoint."""

    name: TaskName
    run: int
    starts_s: float
    ends_s: float

    def percent(self) -> int:
        """How much of the work is done by now."""
        return int(100 * (monotonic() - self.starts_s) / (self.ends_s - self.starts_s))


@dataclass
class RunnerModel:
    """An endpoint's state, shared by all holders that call it.

    :ivar cut_fences: calls under these fences get no answer and have no effect.
    :ivar lost_starts: how many of the next starts take effect without an answer.
    :ivar late_starts: how many of the next starts take effect later, without an answer.
    :ivar rejected_jobs: identifiers of jobs whose orders are rejected as malformed.
    :ivar on_event: called with each entry of the history.
    :ivar kinds: how the runs of a job end, by its identifier; done unless named.
    """

    info: EndpointInfo
    run_time_s: float = 0.05
    cut_fences: set = field(default_factory=set)
    lost_starts: int = 0
    late_starts: int = 0
    late_by_s: float = 0.3
    fence: int = 0
    lease_s: float = 0.0
    running: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    refused: dict = field(default_factory=dict)
    ends: int = 0
    history: list = field(default_factory=list)
    kinds: dict = field(default_factory=dict)
    rejected_jobs: set = field(default_factory=set)
    changed: Event = field(default_factory=Event)
    on_event: Callable[[tuple], None] | None = None

    def stop(self, name: TaskName, run: int) -> None:
        """Stops a run, also one that has yet to arrive."""
        self.settle()
        self.refused[name] = max(self.refused.get(name, 0), run)
        if (name, run) in self.running:
            self.end((name, run), EndKind.STOPPED, monotonic())

    def acknowledge(self, number: int) -> None:
        """Forgets the ends up to a number."""
        self.ended = [end for end in self.ended if end.number > number]

    def settle(self) -> None:
        """Ends what is over by now."""
        now_s = monotonic()
        for key, run in list(self.running.items()):
            if now_s >= self.lease_s and run.ends_s > self.lease_s:
                self.end(key, EndKind.LAPSED, self.lease_s)
            elif now_s >= run.ends_s:
                kind = self.kinds.get(run.name.job_id, EndKind.DONE)
                self.end(key, kind, run.ends_s)

    def end(self, key: tuple, kind: EndKind, at_s: float) -> None:
        """Ends one run."""
        run = self.running.pop(key)
        self.ends += 1
        self.ended.append(EndedRun(self.ends, run.name, run.run, kind, ""))
        self.refused[run.name] = max(self.refused.get(run.name, 0), run.run)
        self._note(at_s, kind.value, run.name, run.run)
        self.changed.set()
        self.changed = Event()

    def start(self, order: StartOrder, until_s: float) -> StartOutcome:
        """Starts a task, or says why not."""
        self.settle()
        if order.fence < self.fence:
            return StartOutcome.FENCED_OFF
        self.fence = order.fence
        if order.name.job_id in self.rejected_jobs:
            return StartOutcome.INVALID
        if (order.name, order.run) in self.running:
            return StartOutcome.STARTED
        if order.run <= self.refused.get(order.name, 0):
            return StartOutcome.RUN_TOO_OLD
        if monotonic() > until_s:
            return StartOutcome.TOO_LATE
        self.lease_s = max(self.lease_s, until_s)
        self.refused[order.name] = order.run
        run = ModelRun(order.name, order.run, monotonic(), monotonic() + self.run_time_s)
        self.running[order.name, order.run] = run
        self._note(monotonic(), "start", order.name, order.run)
        return StartOutcome.STARTED

    def _note(self, *event: object) -> None:
        self.history.append(event)
        if self.on_event is not None:
            self.on_event(event)
