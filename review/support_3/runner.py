"""Stand-in for the platform's runners, after PROTOCOL.md; each is one life of a machine."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic, time
from typing import Any

from review.support_3.store import Store
from review.support_3.wire import Answer, Request, Server

PING_INTERVAL_S = 1.5
SILENT_PINGS = 3  # after so many missing pings the entry is removed
LONGEST_LEASE_S = 1.0
STOP_S = 0.02
SAVE_S = 2.0
RESTORE_S = 0.1
MAX_LISTED_ENDS = 500
Resources = tuple[int, int, int]


@dataclass
class TaskPlan:
    """What a task does, as its image would; ``fails`` counts the runs that will fail.

    :ivar work_s: run time at a usual runner.
    """

    work_s: float
    needs: Resources = (0, 0, 0)
    saves: bool = False
    fails: int = 0


@dataclass
class Run:
    """A run in progress."""

    task: str
    number: int
    plan: TaskPlan
    began_s: float
    ends_s: float
    stops_s: float = float("inf")
    first_work_s: float = 0.0

    def work_s(self, now_s: float) -> float:
        """Returns the work that is done."""
        return self.first_work_s + max(now_s - self.began_s, 0.0)

    def saved(self, now_s: float) -> str:
        """Returns the last checkpoint."""
        steps = int(self.work_s(now_s) / SAVE_S)
        return f"{self.task}|{steps * SAVE_S}" if self.plan.saves and steps else ""

    def percent(self, now_s: float) -> int:
        """Returns the progress."""
        return min(int(100 * self.work_s(now_s) / self.plan.work_s), 99)


@dataclass
class Event:
    """A start or an end at a runner.

    :ivar how: ``start``, or how the run ended; ``crashed`` if its runner did.
    :ivar noted_s: when the end was taken note of.
    """

    at_s: float
    runner: str
    task: str
    run: int
    how: str
    noted_s: float = float("inf")
    lapsed: bool = False
    details: dict[str, Any] = field(default_factory=dict)


class Runner:
    """One runner at one address; :meth:`crash` and :meth:`restart` begin another life.

    :param plan_of: returns the plan of a task by its name.
    :param record: gets all starts and ends.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        labels: list[str],
        capacity: Resources,
        store: Store,
        plan_of: Callable[[str], TaskPlan],
        record: list[Event],
        *,
        guards: bool = True,
    ) -> None:
        self.name, self.service, self.zone, self.labels = name, service, zone, labels
        self.capacity, self.guards = capacity, guards
        self.record = record
        self.server = Server(self._answer)
        self.state = "ready"
        self.is_up = False
        self.cut_fences: set[int] = set()
        self.is_dark = self.is_unhealthy = False
        self.late_orders = 0
        self.late_by_s = 3.0
        self._store, self._plan_of = store, plan_of
        self._tasks: list[asyncio.Task[None]] = []
        self._silent_s = 0.0

    async def start(self) -> None:
        """Begins a life; one under a former identifier knows nothing of before."""
        self.born_ms, self._began_s = int(time() * 1000), monotonic()
        self.runs: dict[tuple[str, int], Run] = {}
        self.ends: list[tuple[int, Event, str]] = []
        self.highest: dict[str, int] = {}
        self.fence = self.end_count = 0
        self.lease_end_s = 0.0
        self.seq = 0
        self._changed = asyncio.Event()
        await self.server.start()
        self.is_up = True
        self._tasks = [asyncio.create_task(self._ping()), asyncio.create_task(self._tick())]

    def crash(self) -> None:
        """Ends the process; its entry goes after three missing pings."""
        now_s = monotonic()
        self._end_due(now_s)
        for run in self.runs.values():
            self.record.append(Event(now_s, self.life, run.task, run.number, "crashed"))
        self.runs = {}
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self.server.stop()
        self._removal = asyncio.create_task(self._remove_entry_later())

    async def leave(self, drain_s: float) -> None:
        """Drains for a while and leaves: what still runs ends."""
        self.state = "draining"
        self._publish()
        await asyncio.sleep(drain_s)
        self.crash()
        self._removal.cancel()
        self._store.remove(f"servers/{self.name}")

    async def restart(self) -> None:
        """Starts again under the same identifier and address."""
        self._removal.cancel()
        await self.start()

    @property
    def life(self) -> str:
        """Names this life in the record."""
        return f"{self.name}@{self.born_ms}"

    @property
    def used(self) -> Resources:
        """What the runs take."""
        needs = [run.plan.needs for run in self.runs.values()]
        return tuple(sum(amounts) for amounts in zip(*needs, strict=True)) or (0, 0, 0)  # type: ignore

    async def _remove_entry_later(self) -> None:
        await asyncio.sleep(SILENT_PINGS * PING_INTERVAL_S)
        self._store.remove(f"servers/{self.name}")

    async def _ping(self) -> None:
        while True:
            self._publish()
            await asyncio.sleep(PING_INTERVAL_S)

    def _publish(self) -> None:
        self.seq += 1
        cpu, memory_mb, gpu = self.capacity
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold-left-ms": 0,
            "seq": self.seq,
            "born": self.born_ms,
            "capacity": {"cpu": cpu, "mem-mb": memory_mb, "gpu": gpu},
            "labels": self.labels,
        }
        if self.state == "draining":
            entry["remaining-ms"] = 2000
        self._store.put(f"servers/{self.name}", entry)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self._end_due(monotonic())

    def _end_due(self, now_s: float) -> None:
        for key, run in list(self.runs.items()):
            ends = [(run.ends_s, "done"), (run.stops_s, "stopped"), (self.lease_end_s, "lapsed")]
            at_s, how = min(ends)
            if now_s < at_s:
                continue
            if how == "done" and run.plan.fails > 0:
                run.plan.fails -= 1
                how = "failed"
            del self.runs[key]
            self.end_count += 1
            event = Event(at_s, self.life, run.task, run.number, how)
            self.record.append(event)
            self.ends.append((self.end_count, event, run.saved(at_s)))
            self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
            changed, self._changed = self._changed, asyncio.Event()
            changed.set()
        if now_s >= self.lease_end_s:
            for _, event, _ in self.ends:
                event.lapsed = True

    def _clock_ms(self, now_s: float) -> int:
        return int((now_s - self._began_s) * 1000)

    def _extend(self, until_ms: int | None, now_s: float) -> None:
        if until_ms is not None:
            end_s = min(self._began_s + until_ms / 1000, now_s + LONGEST_LEASE_S)
            self.lease_end_s = max(self.lease_end_s, end_s)

    async def _answer(self, request: Request) -> Answer | None:
        if request.headers.get("berylproxy-expect-instance", self.name) != self.name:
            return 421, {}
        if request.path.startswith("/-/run") and self.late_orders:
            self.late_orders -= 1
            self._late = asyncio.create_task(self._handle_late(request))
            return None
        return await self._handle(request)

    async def _handle_late(self, request: Request) -> None:
        life = self.life
        await asyncio.sleep(self.late_by_s)
        if self.is_up and self.life == life:  # what a process has not done ends with it
            await self._handle(request)

    async def _handle(self, request: Request) -> Answer | None:
        body, now_s = request.body, monotonic()
        if self.is_dark or body.get("fence", 0) in self.cut_fences:
            return None
        if self.is_unhealthy and request.path == "/-/run-start":
            return 503, {}
        self._end_due(now_s)
        if body.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self._clock_ms(now_s), "reason": "fence"}
        self.fence = body.get("fence", 0)
        if request.path == "/-/run-start":
            reason = self._start_run(body, now_s)
            answer = {"clock-ms": self._clock_ms(now_s), "born": self.born_ms}
            return (409, answer | {"reason": reason}) if reason else (200, answer)
        if request.path == "/-/run-stop":
            run = self.runs.get((body["task"], body["run"]))
            if run is not None:
                run.stops_s = min(run.stops_s, now_s + STOP_S)
            self.highest[body["task"]] = max(self.highest.get(body["task"], 0), body["run"])
            return 200, {"clock-ms": self._clock_ms(now_s), "born": self.born_ms}
        return await self._hold(body)

    def _start_run(self, body: dict[str, Any], now_s: float) -> str:
        task, number = body["task"], body["run"]
        if (task, number) in self.runs:
            self._extend(body["until-ms"], now_s)
            return ""
        if number <= self.highest.get(task, 0):
            self._extend(body["until-ms"], now_s)
            return "old"
        if body["until-ms"] <= self._clock_ms(now_s):
            return "late"
        plan = self._plan_of(task)
        used = self.used
        is_over = any(u + n > c for u, n, c in zip(used, plan.needs, self.capacity, strict=True))
        self._extend(body["until-ms"], now_s)
        if is_over and self.guards:
            return "room"
        saved = body.get("checkpoint-data", "")
        work_s = float(saved.partition("|")[2]) if saved else 0.0
        rest_s = plan.work_s - work_s + (RESTORE_S if saved else 0.0)
        self.runs[task, number] = Run(
            task, number, plan, now_s, now_s + rest_s, first_work_s=work_s
        )
        self.highest[task] = number
        details = {
            "fence": self.fence,
            "spec": body["spec"],
            "saved": saved,
            "labels": self.labels,
            "service": self.service,
            "over": is_over,
            "state": self.state,
        }
        self.record.append(Event(now_s, self.life, task, number, "start", details=details))
        return ""

    async def _hold(self, body: dict[str, Any]) -> Answer:
        now_s = monotonic()
        for number, event, _ in self.ends:
            if number <= body.get("last-seen", 0) and not event.lapsed:
                event.noted_s = min(event.noted_s, now_s)
        self.ends = [row for row in self.ends if row[0] > body.get("last-seen", 0)]
        self._extend(body.get("until-ms"), now_s)
        end_s = now_s + min(body.get("wait-ms", 0), 2000) / 1000
        while not self.ends and monotonic() < end_s:
            try:
                await asyncio.wait_for(self._changed.wait(), end_s - monotonic())
            except TimeoutError:
                break
        now_s = monotonic()
        return 200, {
            "clock-ms": self._clock_ms(now_s),
            "born": self.born_ms,
            "running": [
                [r.task, r.number, r.saved(now_s), r.percent(now_s), r.plan.needs[0]]
                for r in self.runs.values()
            ],
            "ended": [
                [number, event.task, event.run, event.how, saved]
                for number, event, saved in self.ends[:MAX_LISTED_ENDS]
            ],
        }
