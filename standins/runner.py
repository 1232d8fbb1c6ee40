"""Stand-in for a runner of the users' platform: takes orders, writes its entry in the list."""

import json
from argparse import ArgumentParser, Namespace
from pathlib import Path
from time import monotonic, time

import anyio
from httpx import AsyncClient
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from berylproxy.durable.models import EndpointInfo, EndpointInstance, Resources, TaskName
from berylproxy.durable.ports import StartOrder, StartOutcome
from standins.runner_model import RunnerModel
from standins.serving import announce, open_listener, port_of, serve_app

HEARTBEAT_S = 0.5
LONGEST_LEASE_S = 1.0
WRONG_LIFE = 421
REASONS = {
    StartOutcome.FENCED_OFF: "fence",
    StartOutcome.RUN_TOO_OLD: "old",
    StartOutcome.TOO_LATE: "late",
    StartOutcome.NO_ROOM: "room",
}


class Runner:
    """One runner process."""

    def __init__(self, arguments: Namespace) -> None:
        self.name = arguments.name
        self.service = arguments.service
        self.store_url = arguments.store_url
        self.began_s = monotonic()
        self.born_ms = int(time() * 1000)
        instance = EndpointInstance(arguments.name, self.born_ms)
        capacity = Resources(arguments.cores * 1000, 128_000)
        info = EndpointInfo(instance, arguments.service, "", "a", capacity)
        self.model = RunnerModel(info, run_time_s=arguments.run_time_s)
        self.advertised = arguments.advertise
        if arguments.history_path:
            self.history_path = Path(arguments.history_path)
            self.model.on_event = self.write_event

    def write_event(self, event: tuple) -> None:
        """Writes what was started or ended to the file, which outlives this process."""
        with self.history_path.open("a") as file:
            file.write(json.dumps(event) + "\n")

    def clock_ms(self) -> int:
        """The runner's own steady clock."""
        return int((monotonic() - self.began_s) * 1000)

    def read_until_s(self, until_ms: int) -> float:
        """Translates the end of a lease, which has a longest length, to the process's clock."""
        left_s = (until_ms - self.clock_ms()) / 1000
        return monotonic() + min(left_s, LONGEST_LEASE_S)

    async def start(self, request: Request) -> Response:
        """Starts a task."""
        body = await request.json()
        if self.is_for_another(request):
            return Response(status_code=WRONG_LIFE)
        order = StartOrder(parse_name(body["task"]), body["run"], body["spec"], body["fence"])
        outcome = self.model.start(order, self.read_until_s(body["until-ms"]))
        if outcome is StartOutcome.STARTED:
            return self.answer({})
        if outcome is StartOutcome.INVALID:
            return self.answer({}, 400)
        return self.answer({"reason": REASONS[outcome]}, 409)

    async def stop(self, request: Request) -> Response:
        """Stops a task."""
        body = await request.json()
        if body["fence"] < self.model.fence:
            return self.answer({"reason": "fence"}, 409)
        self.model.fence = body["fence"]
        self.model.stop(parse_name(body["task"]), body["run"])
        return self.answer({})

    async def hold(self, request: Request) -> Response:
        """Extends the lease and lists what runs and what has ended."""
        body = await request.json()
        if self.is_for_another(request):
            return Response(status_code=WRONG_LIFE)
        if body["fence"] < self.model.fence:
            return self.answer({"reason": "fence"}, 409)
        self.model.fence = body["fence"]
        self.model.settle()
        self.model.acknowledge(body["last-seen"])
        if "until-ms" in body:
            until_s = self.read_until_s(body["until-ms"])
            self.model.lease_s = max(self.model.lease_s, until_s)
        ends_s = monotonic() + body.get("wait-ms", 0) / 1000
        while not self.model.ended and monotonic() < ends_s:
            with anyio.move_on_after(0.01):
                await self.model.changed.wait()
            self.model.settle()
        running = [
            [format_name(r.name), r.run, "", r.percent()] for r in self.model.running.values()
        ]
        ended = [
            [end.number, format_name(end.name), end.run, end.kind.value, ""]
            for end in self.model.ended
        ]
        return self.answer({"running": running, "ended": ended, "born": self.born_ms})

    async def describe(self, request: Request) -> Response:
        """Tells a test what has been started and how it ended."""
        history = [[at_s, kind, list(name), run] for at_s, kind, name, run in self.model.history]
        return JSONResponse({"history": history})

    async def write_entries(self, port: int) -> None:
        """Writes the runner's entry into the store, again and again."""
        sequence = 0
        async with AsyncClient(trust_env=False, timeout=5) as client:
            while True:
                sequence += 1
                entry = {
                    "service": self.service,
                    "address": self.advertised or f"127.0.0.1:{port}",
                    "zone": "a",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "capacity": {"cpu": self.model.info.capacity.cpu_millicores, "mem-mb": 128000},
                    "labels": ["a", "r1-1"],
                    "born": self.born_ms,
                    "seq": sequence,
                }
                url = f"{self.store_url}/control/put"
                await client.post(url, json={"key": f"servers/{self.name}", "value": entry})
                await anyio.sleep(HEARTBEAT_S)

    def is_for_another(self, request: Request) -> bool:
        """Tells whether the caller means another life of the runner."""
        return request.headers.get("Berylproxy-Expect-Instance", self.name) != self.name

    def answer(self, content: dict, status: int = 200) -> Response:
        """Answers with the runner's clock."""
        return JSONResponse({"clock-ms": self.clock_ms(), **content}, status)


def parse_name(text: str) -> TaskName:
    """Parses a task's name on the wire."""
    job_id, _, step, index = text.split(".")
    return TaskName(job_id, int(step), int(index))


def format_name(name: TaskName) -> str:
    """Formats a task's name for the wire."""
    return f"{name.job_id}.0.{name.step}.{name.index}"


async def run(arguments: Namespace) -> None:
    """Serves until killed."""
    runner = Runner(arguments)
    routes = [
        Route("/-/run-start", runner.start, methods=["POST"]),
        Route("/-/run-stop", runner.stop, methods=["POST"]),
        Route("/-/hold", runner.hold, methods=["POST"]),
        Route("/control/history", runner.describe, methods=["GET"]),
    ]
    listener = open_listener("127.0.0.1", 0)
    port = port_of(listener)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(runner.write_entries, port)
        announce(port=port)
        await serve_app(Starlette(routes=routes), listener)


def main() -> None:
    """Runs the stand-in."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", default="ledger")
    parser.add_argument("--store-url", required=True)
    parser.add_argument("--cores", type=int, default=64)
    parser.add_argument("--run-time-s", type=float, default=0.05)
    parser.add_argument("--advertise", default="", help="host:port for the list, if not its own")
    parser.add_argument("--history-path", default="", help="file for what it starts and ends")
    anyio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
