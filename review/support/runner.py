"""Stand-in for a runner, by PROTOCOL.md: it does what orders say, and notes what it does.

A task's ``spec`` tells the stand-in how long its tasks run and what they take, as JSON: a list with
one object for each step, with the fields ``s`` (seconds), ``cpu``, ``mem-mb`` and, where runs fail
by their own fault, ``fails``.
"""

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass, field
from math import inf
from time import monotonic, time
from typing import Any

from support.record import Record
from support.store import Store
from support.wire import Answer, Request, Server

HOLD_MAX_S = 1.0
STOP_S = 0.02  # at most 50 ms
MAX_LISTED_ENDS = 500
HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task, and what became of it.

    :ivar ended_s: monotonic time of its end; infinite while it runs.
    :ivar how: how it ended; ``lost`` if it went with its runner.
    :ivar noted_s: monotonic time at which its end was taken note of; infinite if it wasn't, or the
        lease lapsed between the two.
    """

    task: str
    number: int
    runner: str
    started_s: float
    cpu: int
    mem_mb: int
    ends_s: float
    will_fail: bool = False
    ended_s: float = inf
    how: str = ""
    noted_s: float = inf
    stops_s: float = inf


@dataclass(slots=True, eq=False)
class End:
    """An entry of the list of ends, and whether the lease has lapsed since."""

    number: int
    run: Run
    has_lapsed: bool = False


@dataclass(slots=True, eq=False)
class Life:
    """What one incarnation holds and knows."""

    born_ms: int = field(default_factory=lambda: int(time() * 1000))
    began_s: float = field(default_factory=monotonic)
    fence: int = 0
    lease_end_s: float = 0.0
    has_lapsed: bool = True
    running: dict[tuple[str, int], Run] = field(default_factory=dict)
    ends: list[End] = field(default_factory=list)
    end_count: int = 0
    highest: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Runner:
    """A runner with its entry in the store.

    :param capacity: ``cpu`` and ``mem-mb``; the runner rejects what does not fit.
    :param runs: receives each run that starts, for the checks.
    :ivar former_names: identifiers of earlier processes, with the time of their last entry.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        labels: list[str],
        capacity: dict[str, int],
        store: Store,
        record: Record,
        runs: list[Run],
    ) -> None:
        self.name = name
        self.former_names: dict[str, float] = {}
        self._service, self._zone, self._labels = service, zone, labels
        self._capacity = capacity
        self._store, self._record, self._runs = store, record, runs
        self._server = Server(self._handle)
        self._port = 0
        self._life: Life | None = None
        self._seq = 0
        self._ticker: asyncio.Task[None] | None = None
        self._publisher: asyncio.Task[None] | None = None
        self._last_entry_s = 0.0

    async def start(self, name: str = "") -> None:
        """Starts a process; a later one keeps the address, and its identifier if none is given."""
        if name:
            self.former_names[self.name] = self._last_entry_s
            self.name = name
        self._life, self._seq = Life(), 0
        await self._server.start(port=self._port)
        self._port = self._server.port
        self._ticker = asyncio.create_task(self._tick())
        self._publisher = asyncio.create_task(self._publish())

    def crash(self) -> None:
        """Ends the process: all that runs is gone, and nothing is known any more."""
        assert self._life is not None
        now_s = monotonic()
        lost = list(self._life.running.values())
        for run in lost:
            run.ended_s, run.how = now_s, "lost"
        self._record.note(f"{self.name}: crashes with {[(r.task, r.number) for r in lost]}")
        self.close()

    def close(self) -> None:
        """Stops serving."""
        self._server.stop()
        for task in (self._ticker, self._publisher):
            if task is not None:
                task.cancel()
        self._life = None

    def running_tasks(self) -> list[Run]:
        """Lists what runs now."""
        return list(self._life.running.values()) if self._life is not None else []

    def is_up(self) -> bool:
        """Returns whether a process runs."""
        return self._life is not None

    async def _publish(self) -> None:
        while self._life is not None:
            if "" not in self._store.down:
                self._seq += 1
                entry = {
                    "service": self._service,
                    "address": f"127.0.0.1:{self._port}",
                    "zone": self._zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "capacity": self._capacity,
                    "labels": self._labels,
                    "clock-ms": self._clock_ms(self._life),
                    "born": self._life.born_ms,
                    "seq": self._seq,
                }
                self._store.put(f"servers/{self.name}", json.dumps(entry).encode())
                self._last_entry_s = monotonic()
                await asyncio.sleep(HEARTBEAT_S)
            else:
                await asyncio.sleep(0.1)

    def list_silent(self) -> list[str]:
        """Lists the identifiers for which three ping intervals have passed without an entry."""
        last_entries = {**self.former_names, self.name: self._last_entry_s}
        limit_s = monotonic() - SILENT_HEARTBEATS * HEARTBEAT_S
        return [name for name, at_s in last_entries.items() if at_s < limit_s]

    def _clock_ms(self, life: Life) -> int:
        return int((monotonic() - life.began_s) * 1000)

    async def _handle(self, request: Request) -> Answer:
        life = self._life
        if life is None:
            return Answer(503)
        if request.headers.get("berylproxy-expect-instance", self.name) != self.name:
            return Answer(421)
        self._advance(life)
        if request.body.get("fence", 0) < life.fence:
            return self._answer(life, {"reason": "fence"}, 409)
        life.fence = request.body.get("fence", 0)
        if request.path == "/-/run-start":
            return self._start_run(life, request.body)
        if request.path == "/-/run-stop":
            return self._stop_run(life, request.body)
        if request.path == "/-/hold":
            return await self._hold(life, request.body)
        return Answer(404)

    def _start_run(self, life: Life, body: dict[str, Any]) -> Answer:
        task, number, now_s = body["task"], body["run"], monotonic()
        if (task, number) in life.running:
            self._extend(life, body["until-ms"])
            return self._answer(life, {})
        if body["until-ms"] <= self._clock_ms(life):
            return self._answer(life, {"reason": "late"}, 409)
        self._extend(life, body["until-ms"])
        if number <= life.highest.get(task, 0):
            return self._answer(life, {"reason": "old"}, 409)
        step = json.loads(body["spec"])[int(task.split(".")[2])]
        cpu, mem_mb = step["cpu"], step["mem-mb"]
        used_cpu = sum(run.cpu for run in life.running.values())
        used_mb = sum(run.mem_mb for run in life.running.values())
        if used_cpu + cpu > self._capacity["cpu"] or used_mb + mem_mb > self._capacity["mem-mb"]:
            return self._answer(life, {"reason": "room"}, 409)
        run = Run(
            task, number, self.name, now_s, cpu, mem_mb, now_s + step["s"], bool(step.get("fails"))
        )
        life.running[task, number] = run
        self._runs.append(run)
        self._record.note(f"{self.name}: starts {task} run {number} fence {life.fence}")
        return self._answer(life, {})

    def _stop_run(self, life: Life, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        life.highest[task] = max(life.highest.get(task, 0), number)
        run = life.running.get((task, number))
        if run is not None:
            run.stops_s = min(run.stops_s, monotonic() + STOP_S)
        return self._answer(life, {})

    async def _hold(self, life: Life, body: dict[str, Any]) -> Answer:
        self._take_note(life, body["last-seen"])
        if "until-ms" in body:
            self._extend(life, body["until-ms"])
        end_s = monotonic() + min(body.get("wait-ms", 0), 2_000) / 1000
        while not life.ends and monotonic() < end_s and life is self._life:
            changed = life.changed
            with suppress(TimeoutError):
                async with asyncio.timeout(end_s - monotonic()):
                    await changed.wait()
        now_s = monotonic()
        running = [
            [run.task, run.number, "", _percent(run, now_s), run.cpu]
            for run in life.running.values()
        ]
        ended = [
            [end.number, end.run.task, end.run.number, end.run.how, ""]
            for end in life.ends[:MAX_LISTED_ENDS]
        ]
        return self._answer(life, {"running": running, "ended": ended})

    def _take_note(self, life: Life, last_seen: int) -> None:
        now_s = monotonic()
        while life.ends and life.ends[0].number <= last_seen:
            end = life.ends.pop(0)
            lapsed = " (the lease had lapsed)" if end.has_lapsed else ""
            if not end.has_lapsed:
                end.run.noted_s = now_s
            task, number, how = end.run.task, end.run.number, end.run.how
            self._record.note(f"{self.name}: end {how} of {task} run {number} is noted{lapsed}")

    def _extend(self, life: Life, until_ms: int) -> None:
        now_s = monotonic()
        end_s = min(life.began_s + until_ms / 1000, now_s + HOLD_MAX_S)
        if end_s > now_s:
            life.has_lapsed = False
        life.lease_end_s = max(life.lease_end_s, end_s)

    def _answer(self, life: Life, content: dict[str, Any], status: int = 200) -> Answer:
        clock = {"clock-ms": self._clock_ms(life), "born": life.born_ms}
        return Answer(status, {**clock, **content})

    async def _tick(self) -> None:
        while self._life is not None:
            self._advance(self._life)
            await asyncio.sleep(0.005)

    def _advance(self, life: Life) -> None:
        """Ends the runs that are over, stopped or without a lease."""
        now_s = monotonic()
        for run in list(life.running.values()):
            if run.ends_s <= min(now_s, run.stops_s, life.lease_end_s):
                self._end_run(life, run, "failed" if run.will_fail else "done", run.ends_s)
            elif run.stops_s <= min(now_s, life.lease_end_s):
                self._end_run(life, run, "stopped", run.stops_s)
            elif life.lease_end_s <= now_s:
                self._end_run(life, run, "lapsed", life.lease_end_s)
        if life.lease_end_s <= now_s and not life.has_lapsed:
            life.has_lapsed = True
            for end in life.ends:
                end.has_lapsed = True

    def _end_run(self, life: Life, run: Run, how: str, at_s: float) -> None:
        del life.running[run.task, run.number]
        life.highest[run.task] = max(life.highest.get(run.task, 0), run.number)
        run.ended_s, run.how = at_s, how
        life.end_count += 1
        life.ends.append(End(life.end_count, run))
        self._record.note(f"{self.name}: {run.task} run {run.number} ends {how}")
        changed, life.changed = life.changed, asyncio.Event()
        changed.set()


def _percent(run: Run, now_s: float) -> int:
    length_s = run.ends_s - run.started_s
    return min(int(100 * (now_s - run.started_s) / length_s), 100) if length_s > 0 else 100
