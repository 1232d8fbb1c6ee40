"""Stand-in for a runner: one life of it, in one process.

It keeps to the section "Running tasks" of PROTOCOL.md. What a task needs and how long it takes
stands in the job's spec, as ``work-ms=60 cpu=6800``.
"""

import asyncio
import json
from argparse import ArgumentParser, Namespace
from dataclasses import dataclass
from http.client import HTTPConnection
from time import monotonic, time
from typing import Any

from review.support_2.http import AnswerLostError, Request, start_server

LONGEST_LEASE_S = 1.0  # hold-max-ms
HEARTBEAT_S = 1.5
ENTRY_TTL_S = 4.5  # three intervals of silence
TICK_S = 0.005
REPORTED_ENDS = 500


@dataclass
class Run:
    """A run in progress."""

    task: str
    run: int
    cpu: int
    started_s: float
    work_s: float

    def percent(self) -> int:
        """Returns how much of the work is done."""
        return min(int(100 * (monotonic() - self.started_s) / self.work_s), 100)


class Runner:
    """The state of one life of a runner."""

    def __init__(self, arguments: Namespace) -> None:
        self.arguments = arguments
        self.born_ms = int(time() * 1000)
        self.began_s = monotonic()
        self.fence = 0
        self.lease_end_s = 0.0
        self.has_lease = False
        self.running: dict[tuple[str, int], Run] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self.highest: dict[str, int] = {}  # newest run that was stopped or has ended, by task
        self.changed = asyncio.Event()
        self.sequence = 0
        self.lost_answers = arguments.lose_hold_answers
        self.log = open(arguments.log, "a", buffering=1)  # noqa: SIM115

    def note(self, event: str, **fields: Any) -> None:
        """Writes what the runner sees."""
        row = {"at": time(), "runner": self.arguments.id, "born": self.born_ms, "event": event}
        self.log.write(json.dumps(row | fields) + "\n")

    def clock_ms(self) -> int:
        """Returns the runner's own steady clock."""
        return int((monotonic() - self.began_s) * 1000)

    def extend(self, until_ms: int) -> None:
        """Extends the lease of all that runs."""
        remaining_s = min((until_ms - self.clock_ms()) / 1000, LONGEST_LEASE_S)
        self.lease_end_s = max(self.lease_end_s, monotonic() + remaining_s)
        self.has_lease = self.lease_end_s > monotonic()

    def end(self, run: Run, how: str) -> None:
        """Ends a run and lists its end."""
        del self.running[run.task, run.run]
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.run, how, ""])
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.note("end", task=run.task, run=run.run, how=how, number=self.end_count)
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self) -> None:
        """Ends what is complete or whose lease has expired."""
        now_s = monotonic()
        if self.has_lease and now_s >= self.lease_end_s:
            self.has_lease = False
            self.note("lease lapsed")
        for run in list(self.running.values()):
            if now_s >= run.started_s + run.work_s:
                self.end(run, "done")
            elif now_s >= self.lease_end_s:
                self.end(run, "lapsed")

    async def handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        """Serves a call."""
        if request.path == "/health":
            return 200, {}
        if request.headers.get("berylproxy-expect-instance") not in (None, self.arguments.id):
            return 421, {}
        self.advance()
        fence = request.body.get("fence", 0)
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        if request.path == "/-/run-start":
            return self.start(request.body)
        if request.path == "/-/run-stop":
            return self.stop(request.body)
        return await self.hold(request.body)

    def answer(self, status: int, **fields: Any) -> tuple[int, dict[str, Any]]:
        """Returns an answer with the runner's clock."""
        return status, {"clock-ms": self.clock_ms()} | fields

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Starts a run, or says why not."""
        task, number = body["task"], body["run"]
        if (task, number) in self.running:
            return self.answer(200)
        if body["until-ms"] <= self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(body["until-ms"])
        if number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        needs = dict(word.split("=") for word in body["spec"].split())
        cpu = int(needs["cpu"])
        if sum(run.cpu for run in self.running.values()) + cpu > self.arguments.cpu:
            return self.answer(409, reason="room")
        work_s = int(needs["work-ms"]) / 1000
        self.running[task, number] = Run(task, number, cpu, monotonic(), work_s)
        labels = self.arguments.labels.split(",")
        self.note("start", task=task, run=number, fence=body["fence"], labels=labels)
        return self.answer(200)

    def stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stops a run; one that isn't there yet will be refused."""
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get((task, number))
        if run is not None:
            self.end(run, "stopped")
        return self.answer(200)

    async def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Extends the lease, forgets the ends that were seen, and lists the others."""
        seen = body["last-seen"]
        forgotten = [end for end in self.ended if end[0] <= seen]
        if forgotten:
            self.note("seen", last_seen=seen, ends=forgotten)
        self.ended = [end for end in self.ended if end[0] > seen]
        if "until-ms" in body:
            self.extend(body["until-ms"])
        end_s = monotonic() + body.get("wait-ms", 0) / 1000
        if self.lost_answers:
            self.lost_answers -= 1
            self.note("answer lost", last_seen=seen)
            raise AnswerLostError
        while not self.ended and monotonic() < end_s:
            try:
                await asyncio.wait_for(self.changed.wait(), end_s - monotonic())
            except TimeoutError:
                break
        running = [[r.task, r.run, "", r.percent(), r.cpu] for r in self.running.values()]
        ends = self.ended[:REPORTED_ENDS]
        return self.answer(200, running=running, ended=ends, born=self.born_ms)

    def publish(self) -> None:
        """Writes the runner's entry to the store."""
        arguments = self.arguments
        self.sequence += 1
        entry = {
            "service": arguments.service,
            "address": f"127.0.0.1:{arguments.port}",
            "zone": arguments.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "capacity": {"cpu": arguments.cpu, "mem-mb": 65536, "gpu": 0},
            "labels": arguments.labels.split(","),
            "clock-ms": self.clock_ms(),
            "born": self.born_ms,
            "seq": self.sequence,
        }
        key = f"servers/{arguments.id}"
        body = json.dumps({"key": key, "text": json.dumps(entry), "ttl-s": ENTRY_TTL_S})
        connection = HTTPConnection("127.0.0.1", arguments.store_port, timeout=2)
        try:
            connection.request("POST", "/standin/put", body)
            connection.getresponse().read()
        finally:
            connection.close()

    async def run(self) -> None:
        """Serves until killed."""
        await start_server("127.0.0.1", self.arguments.port, self.handle)
        self.note("born")
        loop = asyncio.get_running_loop()
        published_s = 0.0
        while True:
            if monotonic() - published_s >= HEARTBEAT_S:
                published_s = monotonic()
                loop.run_in_executor(None, self.publish)
            self.advance()
            await asyncio.sleep(TICK_S)


def main() -> None:
    """Runs the stand-in."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store-port", type=int, required=True)
    parser.add_argument("--cpu", type=int, default=16000)
    parser.add_argument("--labels", default="a,r1-1")
    parser.add_argument("--lose-hold-answers", type=int, default=0)
    parser.add_argument("--log", required=True)
    runner = parser.parse_args()

    async def run() -> None:
        await Runner(runner).run()

    asyncio.run(run())


if __name__ == "__main__":
    main()
