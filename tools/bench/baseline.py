"""A baseline daemon without coordination: it chooses endpoints randomly or by round robin.

It uses at most its share of each endpoint's connections. A task that an endpoint refuses is sent to
the next choice, with a short pause after each round of refusals.
"""

import json
from argparse import ArgumentParser, Namespace
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random

import anyio
from httpcore import ConnectError, ReadError, RemoteProtocolError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.serving import announce, open_listener, port_of, serve_app
from tools.bench.caller import Answer, HttpClient

RETRY_ROUND_PAUSE_S = 0.005
TASK_TIMEOUT_S = 30.0
STATUS_OK, STATUS_FAILED, STATUS_UNAVAILABLE = 200, 502, 503


class Endpoint:
    """An endpoint, with the requests that this daemon has in progress there.

    :param connections: limit of this daemon's concurrent requests to the endpoint.
    """

    def __init__(self, url: str, connections: int) -> None:
        self.http_client = HttpClient(url)
        self.connections = connections
        self.active_requests = 0


def make_chooser(policy: str, seed: int, endpoints: int) -> Callable[[], int]:
    """Returns the function that chooses the number of the next endpoint to try."""
    if policy == "random":
        random = Random(seed)
        return lambda: random.randrange(endpoints)
    numbers = count(seed)
    return lambda: next(numbers) % endpoints


class BaselineDaemon:
    """Serves requests and jobs like a berylproxy daemon, with a simple choice of endpoints."""

    def __init__(self, endpoints: list[Endpoint], choose: Callable[[], int]) -> None:
        self._endpoints = endpoints
        self._choose = choose
        self._task_numbers = count()
        self._counts: Counter[str] = Counter()

    def routes(self) -> list[Route]:
        """Returns the routes of the HTTP API."""
        return [
            Route("/v1/services/{service}/requests", self.request, methods=["POST"]),
            Route("/v1/jobs", self.submit, methods=["POST"]),
            Route("/counts", self.show_counts, methods=["GET"]),
        ]

    async def request(self, request: Request) -> Response:
        """Handles a single request."""
        answer = await self._run_task(await request.body())
        outcome = {STATUS_OK: "done", STATUS_UNAVAILABLE: "not_run"}.get(answer.status, "failed")
        return Response(answer.body, answer.status, {"Berylproxy-Outcome": outcome})

    async def submit(self, request: Request) -> Response:
        """Handles a job."""
        tasks = json.loads(await request.body())["tasks"]
        answers: dict[str, Answer] = {}

        async def run(task: dict) -> None:
            answers[task["id"]] = await self._run_task(json.dumps(task["payload"]).encode())

        async with anyio.create_task_group() as group:
            for task in tasks:
                group.start_soon(run, task)
        if any(answer.status != STATUS_OK for answer in answers.values()):
            return JSONResponse({"outcome": "failed", "results": []}, STATUS_FAILED)
        results = [
            {"id": task["id"], "payload": json.loads(answers[task["id"]].body)} for task in tasks
        ]
        return JSONResponse({"outcome": "done", "results": results})

    async def show_counts(self, _request: Request) -> Response:
        """Returns the numbers of messages that carried no useful work, by kind."""
        return JSONResponse(self._counts)

    async def _run_task(self, body: bytes) -> Answer:
        headers = {"Berylproxy-Task-Id": f"{id(self)}/{next(self._task_numbers)}"}
        with anyio.move_on_after(TASK_TIMEOUT_S):
            while True:
                for _ in self._endpoints:
                    answer = await self._try_endpoint(
                        self._endpoints[self._choose()], body, headers
                    )
                    if answer is not None:
                        return answer
                await anyio.sleep(RETRY_ROUND_PAUSE_S)
        return Answer(STATUS_FAILED, {}, b"")

    async def _try_endpoint(
        self, endpoint: Endpoint, body: bytes, headers: dict[str, str]
    ) -> Answer | None:
        if endpoint.active_requests >= endpoint.connections:
            return None
        endpoint.active_requests += 1
        try:
            answer = await endpoint.http_client.send("POST", "/v1/tasks", body, headers)
        except (ConnectError, ReadError, RemoteProtocolError):
            # The stand-ins close connections beyond their limit before a task has run.
            self._counts["closed_connection"] += 1
            return None
        finally:
            endpoint.active_requests -= 1
        if answer.headers.get("berylproxy-outcome") == "not_run":
            self._counts["refused_send"] += 1
            return None
        return answer


async def main(arguments: Namespace) -> None:
    """Runs the daemon."""
    endpoints = [Endpoint(url, arguments.connections) for url in arguments.endpoints.split(",")]
    choose = make_chooser(arguments.policy, arguments.seed, len(endpoints))
    daemon = BaselineDaemon(endpoints, choose)
    listener = open_listener("127.0.0.1", 0)
    announce(port=port_of(listener))
    await serve_app(Starlette(routes=daemon.routes()), listener)


def run() -> None:
    """Parses the command line and runs the daemon."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--policy", choices=("random", "round_robin"), required=True)
    parser.add_argument("--endpoints", required=True)
    parser.add_argument("--connections", type=int, required=True)
    parser.add_argument("--seed", type=int, required=True)
    anyio.run(main, parser.parse_args())


if __name__ == "__main__":
    run()
