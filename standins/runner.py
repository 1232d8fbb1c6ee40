"""Stand-in for a runner of the users' platform.

It runs tasks as daemons order and publishes its entry in the platform's list of runners.
"""

import json
from argparse import ArgumentParser, Namespace
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from time import monotonic, time

import anyio
from anyio.abc import TaskGroup
from httpx import AsyncClient
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from berylproxy.durable.jobs.models import EndpointInfo, EndpointInstance, Resources, TaskName
from berylproxy.durable.jobs.ports import StartOrder, StartOutcome
from standins.runner_model import RunnerModel
from standins.serving import announce, open_listener, port_of, serve_app

HEARTBEAT_INTERVAL_S = 0.5
MAX_LEASE_S = 1.0
WRONG_INSTANCE_STATUS = 421
REASONS = {
    StartOutcome.FENCED_OFF: "fence",
    StartOutcome.RUN_TOO_OLD: "old",
    StartOutcome.TOO_LATE: "late",
    StartOutcome.NO_ROOM: "room",
}

Handler = Callable[[Request], Awaitable[Response]]


class Runner:
    """The runner's HTTP handlers and its publication in the list of runners."""

    def __init__(self, arguments: Namespace) -> None:
        self.name = arguments.name
        self.service = arguments.service
        self.failure_domain = arguments.failure_domain
        self.store_url = arguments.store_url
        self.started_s = monotonic()
        self.born_ms = int(time() * 1000)
        instance = EndpointInstance(arguments.name, self.born_ms)
        capacity = Resources(arguments.cores * 1000, 128_000)
        info = EndpointInfo(instance, self.service, "", self.failure_domain, capacity)
        self.model = RunnerModel(info, run_time_s=arguments.run_time_s)
        self.unanswered_calls: Counter[str] = Counter()
        self.carried_out_after_s = 0.0
        self.task_group: TaskGroup | None = None
        self.advertised_address = arguments.advertise
        if arguments.history_path:
            self.history_path = Path(arguments.history_path)
            self.model.on_event = self.write_event

    def write_event(self, event: tuple) -> None:
        """Appends a start or an end of a task to the history file, which outlives this process."""
        with self.history_path.open("a") as file:
            file.write(json.dumps(event) + "\n")

    def clock_ms(self) -> int:
        """Returns the time since the start on the runner's monotonic clock."""
        return int((monotonic() - self.started_s) * 1000)

    def convert_lease_end_s(self, until_ms: int) -> float:
        """Converts a lease's end from the runner's clock to ``monotonic()`` time.

        The result is at most :data:`MAX_LEASE_S` ahead, the longest lease of a runner.
        """
        remaining_s = (until_ms - self.clock_ms()) / 1000
        return monotonic() + min(remaining_s, MAX_LEASE_S)

    async def start(self, request: Request) -> Response:
        """Handles an order to start a task."""
        body = await request.json()
        if self.is_for_other_instance(request):
            return Response(status_code=WRONG_INSTANCE_STATUS)
        order = StartOrder(parse_name(body["task"]), body["run"], body["spec"], body["fence"])
        outcome = self.model.start(order, self.convert_lease_end_s(body["until-ms"]))
        if outcome is StartOutcome.STARTED:
            return self.answer({})
        if outcome is StartOutcome.INVALID:
            return self.answer({}, 400)
        return self.answer({"reason": REASONS[outcome]}, 409)

    async def stop(self, request: Request) -> Response:
        """Handles an order to stop a task."""
        body = await request.json()
        if body["fence"] < self.model.fence:
            return self.answer({"reason": "fence"}, 409)
        self.model.fence = body["fence"]
        self.model.stop(parse_name(body["task"]), body["run"])
        return self.answer({})

    async def hold(self, request: Request) -> Response:
        """Extends the lease and returns the running tasks and the unacknowledged ends.

        Waits up to ``wait-ms`` for a task to end if there is no unacknowledged end.
        """
        body = await request.json()
        if self.is_for_other_instance(request):
            return Response(status_code=WRONG_INSTANCE_STATUS)
        if body["fence"] < self.model.fence:
            return self.answer({"reason": "fence"}, 409)
        self.model.fence = body["fence"]
        self.model.end_due_runs()
        self.model.acknowledge(body["last-seen"])
        if "until-ms" in body:
            new_lease_end_s = self.convert_lease_end_s(body["until-ms"])
            self.model.lease_end_s = max(self.model.lease_end_s, new_lease_end_s)
        wait_deadline_s = monotonic() + body.get("wait-ms", 0) / 1000
        while not self.model.ended and monotonic() < wait_deadline_s:
            with anyio.move_on_after(0.01):
                await self.model.changed.wait()
            self.model.end_due_runs()
        running = [
            [format_name(r.name), r.run, "", r.percent()] for r in self.model.running.values()
        ]
        ended = [
            [end.number, format_name(end.name), end.run, end.kind.value, ""]
            for end in self.model.list_ends()
        ]
        return self.answer({"running": running, "ended": ended, "born": self.born_ms})

    def may_leave_unanswered(self, handle: Handler) -> Handler:
        """Returns a handler that leaves some calls unanswered and carries them out late."""

        async def handle_late(request: Request) -> None:
            await anyio.sleep(self.carried_out_after_s)
            await handle(request)

        async def handle_or_leave(request: Request) -> Response:
            if not self.unanswered_calls[request.url.path]:
                return await handle(request)
            self.unanswered_calls[request.url.path] -= 1
            await request.body()
            self.task_group.start_soon(handle_late, request)
            return await anyio.sleep_forever()

        return handle_or_leave

    async def leave_unanswered(self, request: Request) -> Response:
        """Sets how many of the next calls to a path are left unanswered, for tests."""
        body = await request.json()
        self.unanswered_calls[body["path"]] = body["calls"]
        self.carried_out_after_s = body["carried_out_after_s"]
        return JSONResponse({})

    async def show_history(self, request: Request) -> Response:
        """Returns the history of started and ended tasks, for tests."""
        history = [[at_s, kind, list(name), run] for at_s, kind, name, run in self.model.history]
        return JSONResponse({"history": history})

    async def publish_entry(self, port: int) -> None:
        """Writes the runner's entry to the store periodically."""
        sequence = 0
        async with AsyncClient(trust_env=False, timeout=5) as client:
            while True:
                sequence += 1
                entry = {
                    "service": self.service,
                    "address": self.advertised_address or f"127.0.0.1:{port}",
                    "zone": self.failure_domain,
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
                await anyio.sleep(HEARTBEAT_INTERVAL_S)

    def is_for_other_instance(self, request: Request) -> bool:
        """Returns whether the request is addressed to another instance of the runner."""
        return request.headers.get("Berylproxy-Expect-Instance", self.name) != self.name

    def answer(self, content: dict, status: int = 200) -> Response:
        """Returns a JSON response that includes the time on the runner's clock."""
        return JSONResponse({"clock-ms": self.clock_ms(), **content}, status)


def parse_name(text: str) -> TaskName:
    """Parses the wire format of a task's name."""
    job_id, _, step, index = text.split(".")
    return TaskName(job_id, int(step), int(index))


def format_name(name: TaskName) -> str:
    """Returns the wire format of a task's name."""
    return f"{name.job_id}.0.{name.step}.{name.index}"


async def run(arguments: Namespace) -> None:
    """Serves until killed."""
    runner = Runner(arguments)
    routes = [
        Route(path, runner.may_leave_unanswered(handle), methods=["POST"])
        for path, handle in (
            ("/-/run-start", runner.start),
            ("/-/run-stop", runner.stop),
            ("/-/hold", runner.hold),
        )
    ]
    routes += [
        Route("/control/unanswered", runner.leave_unanswered, methods=["POST"]),
        Route("/control/history", runner.show_history, methods=["GET"]),
    ]
    listener = open_listener("127.0.0.1", 0)
    port = port_of(listener)
    async with anyio.create_task_group() as task_group:
        runner.task_group = task_group
        task_group.start_soon(runner.publish_entry, port)
        announce(port=port)
        await serve_app(Starlette(routes=routes), listener)


def main() -> None:
    """Runs the stand-in."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", default="ledger")
    parser.add_argument("--failure-domain", default="a")
    parser.add_argument("--store-url", required=True)
    parser.add_argument("--cores", type=int, default=64)
    parser.add_argument("--run-time-s", type=float, default=0.05)
    parser.add_argument("--advertise", default="", help="host:port to publish, if not its own")
    parser.add_argument("--history-path", default="", help="file for the starts and ends of runs")
    anyio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
