"""A model of an endpoint of the users' platform: how it handles orders, without a network."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from time import monotonic

from anyio import Event
from msgspec.structs import replace

from berylproxy.durable.jobs.models import (
    EndedRun,
    EndKind,
    EndpointInfo,
    EndpointInstance,
    Resources,
    TaskName,
)
from berylproxy.durable.jobs.ports import StartOrder, StartOutcome
from berylproxy.platform.endpoints import REFUSALS

NOTED = "noted"


@dataclass
class ModelRun:
    """A run in progress at the modelled endpoint.

    :ivar ends_s: time at which the run will be complete.
    :ivar stops_s: time at which it will have been stopped.
    """

    name: TaskName
    run: int
    started_s: float
    ends_s: float
    stops_s: float = inf

    def percent(self) -> int:
        """Returns the progress of the run in percent."""
        return int(100 * (monotonic() - self.started_s) / (self.ends_s - self.started_s))


@dataclass
class RunnerModel:
    """An endpoint's state, shared by all holders that call it.

    :ivar cut_fences: calls with these fences get no answer and have no effect.
    :ivar lost_starts: number of the next starts that take effect but get no answer.
    :ivar late_starts: number of the next starts that take effect late and get no answer.
    :ivar crashing_starts: number of the next starts that arrive as the process ends, and have no
        effect and no answer.
    :ivar late_answer_s: time by which the outcomes of starts are late that do not take effect late.
    :ivar lost_calls: kinds of calls, ``"stop"`` and ``"renew"``, that have no effect and no answer.
    :ivar late_by_s: delay of the late starts.
    :ivar lease_end_s: time at which runs lapse unless the lease is extended.
    :ivar lease_began_s: time since which the lease has been extended before each end of it.
    :ivar ended: ends of runs that the holder has not acknowledged yet.
    :ivar max_listed_ends: largest number of ends in one report, the first ones.
    :ivar has_unreadable_rows: whether no row of its reports can be read.
    :ivar highest_runs: highest run number by task that was started or stopped; a start needs a
        higher one.
    :ivar rejected_jobs: identifiers of jobs whose orders are rejected as malformed.
    :ivar ticket_jobs: identifiers of jobs whose orders are rejected for want of a ticket.
    :ivar refused_starts: number of the next starts that are refused for an unknown reason.
    :ivar rejections: number of orders that were rejected as malformed or for want of a ticket.
    :ivar failing_runs: number of the next runs of a job that fail, by its identifier.
    :ivar changed: event that is set and replaced by a new one at each end of a run.
    :ivar on_event: called with each entry of the history, and with an entry ``noted`` for each end
        that a holder has acknowledged without a lapse of the lease since.
    :ivar end_kinds_by_job: how the runs of a job end, by its identifier; done by default.
    :ivar stop_time_s: how long a stop takes.
    :ivar needs_by_job: what each task of a job takes; nothing by default.
    :ivar shrink_grace_s: how long a capacity counts after it has shrunk.
    :ivar overfills: starts that brought the endpoint over its capacity, which it doesn't guard, as
        (time, task, run).
    :ivar crashing_jobs: identifiers of jobs whose runs end the process of the endpoint.
    :ivar crashes_left: how often such runs may yet end the process.
    :ivar crash_after_s: time from the start of such a run to the end of the process.
    :ivar down_s: time from the end of the process to the start of the next one.
    :ivar is_silent_when_down: whether its host answers no calls meanwhile, not even by refusing.
    :ivar refused_calls: number of calls that its host is yet to refuse although the process runs.
    :ivar crashes: number of ends of the process.
    :ivar rejects_former: whether a new process has another identifier, and rejects calls that are
        meant for the former one.
    :ivar back_at_s: time at which the next process starts; infinite while one runs.
    """

    info: EndpointInfo
    run_time_s: float = 0.05
    cut_fences: set = field(default_factory=set)
    lost_starts: int = 0
    late_starts: int = 0
    late_answer_s: float = 0.0
    crashing_starts: int = 0
    lost_calls: set = field(default_factory=set)
    late_by_s: float = 0.3
    fence: int = 0
    lease_end_s: float = 0.0
    lease_began_s: float = 0.0
    running: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    max_listed_ends: int = 500
    has_unreadable_rows: bool = False
    highest_runs: dict = field(default_factory=dict)
    end_count: int = 0
    history: list = field(default_factory=list)
    end_kinds_by_job: dict = field(default_factory=dict)
    rejected_jobs: set = field(default_factory=set)
    ticket_jobs: set = field(default_factory=set)
    refused_starts: int = 0
    rejections: int = 0
    failing_runs: dict = field(default_factory=dict)
    changed: Event = field(default_factory=Event)
    on_event: Callable[[tuple], None] | None = None
    stop_time_s: float = 0.0
    needs_by_job: dict = field(default_factory=dict)
    shrink_grace_s: float = 0.0
    overfills: list = field(default_factory=list)
    _former_capacities: list = field(default_factory=list)
    _ended_at_s: dict = field(default_factory=dict)

    def resize(self, capacity: Resources) -> None:
        """Changes the capacity, which the next entry of the list shows."""
        counts_until_s = monotonic() + self.shrink_grace_s
        self._former_capacities.append((counts_until_s, self.info.capacity))
        self.info = replace(self.info, capacity=capacity)

    crashing_jobs: set = field(default_factory=set)
    crashes_left: float = inf
    crash_after_s: float = 0.05
    down_s: float = 3.0
    is_silent_when_down: bool = False
    refused_calls: int = 0
    crashes: int = 0
    rejects_former: bool = False
    back_at_s: float = inf

    @property
    def is_down(self) -> bool:
        """Whether no process runs; starts the next one if it is time."""
        if monotonic() >= self.back_at_s:
            self.back_at_s = inf
            former = self.info.instance
            endpoint_id = former.endpoint_id + ("x" if self.rejects_former else "")
            instance = EndpointInstance(endpoint_id, former.born_ms + 1)
            self.info = replace(self.info, instance=instance)
        return self.back_at_s < inf

    def crash(self) -> None:
        """Ends the process, which forgets all runs, ends and fences."""
        now_s = monotonic()
        for run in self.running.values():
            self._note(now_s, "crashed", run.name, run.run)
        self.running, self.ended, self.highest_runs = {}, [], {}
        self.fence = self.end_count = 0
        self.lease_end_s = 0.0
        self.crashes += 1
        self.back_at_s = now_s + self.down_s
        self.changed.set()
        self.changed = Event()

    def slow_down(self, factor: float) -> None:
        """Multiplies the remaining time of all runs, and the time of later ones."""
        now_s = monotonic()
        self.run_time_s *= factor
        for run in self.running.values():
            done = (now_s - run.started_s) / (run.ends_s - run.started_s)
            run.ends_s = now_s + (run.ends_s - now_s) * factor
            run.started_s = now_s - done / (1 - done) * (run.ends_s - now_s)

    def stop(self, name: TaskName, run: int) -> None:
        """Stops a run; an order to start it that arrives later is refused."""
        self.end_due_runs()
        self.highest_runs[name] = max(self.highest_runs.get(name, 0), run)
        stopped = self.running.get((name, run))
        if stopped is not None:
            stopped.stops_s = min(stopped.stops_s, monotonic() + self.stop_time_s)
            self.end_due_runs()

    def restart(self) -> None:
        """Replaces the process at once by another one, which keeps the identifier."""
        self.crash()
        self.back_at_s = monotonic()

    def extend_lease(self, end_s: float) -> None:
        """Extends the lease of all that runs; it never ends sooner than before."""
        now_s = monotonic()
        if now_s >= self.lease_end_s:
            self.lease_began_s = now_s
        self.lease_end_s = max(self.lease_end_s, end_s)

    def acknowledge(self, number: int) -> None:
        """Discards the reported ends up to a number."""
        now_s = monotonic()
        for end in self.ended:
            if end.number > number:
                continue
            ended_s = self._ended_at_s.pop(end.number)
            has_lapsed = now_s >= self.lease_end_s or self.lease_began_s > ended_s
            if not has_lapsed and self.on_event is not None:
                self.on_event((now_s, NOTED, end.name, end.run))
        self.ended = [end for end in self.ended if end.number > number]

    def list_ends(self) -> list[EndedRun]:
        """Returns the ends that a report lists."""
        return self.ended[: self.max_listed_ends]

    def end_due_runs(self) -> None:
        """Ends the runs that are complete or whose lease has lapsed."""
        now_s = monotonic()
        for run in self.running.values():
            is_crashing = run.name.job_id in self.crashing_jobs and self.crashes_left > 0
            if is_crashing and now_s >= run.started_s + self.crash_after_s:
                self.crashes_left -= 1
                self.crash()
                return
        for key, run in list(self.running.items()):
            if now_s >= run.stops_s and run.stops_s < run.ends_s:
                self.end(key, EndKind.STOPPED, run.stops_s)
            elif now_s >= self.lease_end_s and run.ends_s > self.lease_end_s:
                self.end(key, EndKind.LAPSED, self.lease_end_s)
            elif now_s >= run.ends_s:
                kind = self.end_kinds_by_job.get(run.name.job_id, EndKind.DONE)
                if self.failing_runs.get(run.name.job_id, 0):
                    self.failing_runs[run.name.job_id] -= 1
                    kind = EndKind.FAILED
                self.end(key, kind, run.ends_s)

    def end(self, key: tuple, kind: EndKind, at_s: float) -> None:
        """Ends one run and adds it to the ends to report."""
        run = self.running.pop(key)
        self.end_count += 1
        self.ended.append(EndedRun(self.end_count, run.name, run.run, kind, ""))
        self._ended_at_s[self.end_count] = at_s
        self.highest_runs[run.name] = max(self.highest_runs.get(run.name, 0), run.run)
        self._note(at_s, kind.value, run.name, run.run)
        self.changed.set()
        self.changed = Event()

    def start(self, order: StartOrder, new_lease_end_s: float) -> StartOutcome:
        """Starts a run of a task and returns the outcome, or the reason for a refusal."""
        self.end_due_runs()
        if self.is_down:
            return StartOutcome.NOT_SENT
        if order.fence < self.fence:
            return StartOutcome.FENCED_OFF
        self.fence = order.fence
        if self.refused_starts:
            self.refused_starts -= 1
            return StartOutcome.REFUSED
        if order.name.job_id in self.ticket_jobs:
            self.rejections += 1
            return REFUSALS["ticket"]
        if order.name.job_id in self.rejected_jobs:
            self.rejections += 1
            return StartOutcome.INVALID
        if (order.name, order.run) in self.running:
            return StartOutcome.STARTED
        if order.run <= self.highest_runs.get(order.name, 0):
            return StartOutcome.RUN_TOO_OLD
        if monotonic() > new_lease_end_s:
            return StartOutcome.TOO_LATE
        self.extend_lease(new_lease_end_s)
        self.highest_runs[order.name] = order.run
        run = ModelRun(order.name, order.run, monotonic(), monotonic() + self.run_time_s)
        self.running[order.name, order.run] = run
        self._note(monotonic(), "start", order.name, order.run)
        self._check_capacity(order)
        return StartOutcome.STARTED

    def _check_capacity(self, order: StartOrder) -> None:
        """Records a start that has brought the endpoint over its capacity."""
        now_s, used = monotonic(), Resources()
        for name, _ in self.running:
            used += self.needs_by_job.get(name.job_id, Resources())
        counting = [capacity for until_s, capacity in self._former_capacities if now_s < until_s]
        counting.append(self.info.capacity)
        largest = Resources(
            max(capacity.cpu_millicores for capacity in counting),
            max(capacity.memory_mb for capacity in counting),
            max(capacity.accelerators for capacity in counting),
        )
        if not used.fits(largest):
            self.overfills.append((now_s, order.name, order.run))

    def _note(self, *event: object) -> None:
        self.history.append(event)
        if self.on_event is not None:
            self.on_event(event)
