"""Stand-in for an endpoint that runs tasks by sleeping, with switches that inject faults."""

import json
import os
import time
from argparse import ArgumentParser, Namespace
from pathlib import Path
from typing import Any

import anyio
from pydantic import BaseModel, ConfigDict, ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from standins.relay import Relay, RelaySwitches
from standins.serving import announce, open_listener, port_of, serve_app

TASK_ID_HEADER = "Berylproxy-Task-Id"
SERVICE_HEADER = "Berylproxy-Service"
NOT_RUN_HEADER = {"Berylproxy-Outcome": "not_run"}
CODE_HEADER = "Berylproxy-Code"
HTTP_OK, HTTP_BAD_REQUEST, HTTP_FAILED, HTTP_UNAVAILABLE = 200, 400, 500, 503
NO_ANSWER = 0  # status logged for a task whose response was not sent


class TaskBody(BaseModel):
    """Body of a task; fields other than these are only echoed.

    :param run_time_s: run time at speed 1.
    :param fail: whether the task ends with status 500.
    """

    model_config = ConfigDict(extra="allow")

    run_time_s: float = 0.0
    fail: bool = False


class Switches(BaseModel):
    """Fault switches; ``None`` leaves a switch unchanged.

    :param speed: factor by which tasks run faster.
    :param fail_everything: starts each task but ends it immediately, with status 500.
    :param freeze: accepts requests but starts no task, and never answers a request that arrived or
        a task that ended while frozen.
    :param silent: permanently drops all bytes of the connections that are open when it is set.
    :param leaving: refuses tasks with the code ``leaving``.
    :param truncate: sends half of the announced body, then closes the connection.
    :param oversize_bytes: length of the padding added to the response of each finished task.
    :param late_s: delay added before the response of each finished task.
    """

    speed: float | None = None
    fail_everything: bool | None = None
    freeze: bool | None = None
    silent: bool | None = None
    leaving: bool | None = None
    truncate: bool | None = None
    oversize_bytes: int | None = None
    late_s: float | None = None


class EventLog:
    """Appends one JSON line per event; the line is in the file when ``write`` returns."""

    def __init__(self, path: Path | None, endpoint: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.descriptor = None if path is None else os.open(path, flags, 0o644)
        self.endpoint = endpoint

    def write(self, event: str, request: Request, status: int | None = None) -> None:
        """Writes one event of the task that a request carries."""
        if self.descriptor is None:
            return
        line = {
            "event": event,
            "task_id": request.headers.get(TASK_ID_HEADER, ""),
            "service": request.headers.get(SERVICE_HEADER, ""),
            "traceparent": request.headers.get("traceparent", ""),
            "time_s": time.monotonic(),
            "endpoint": self.endpoint,
            "status": status,
        }
        os.write(self.descriptor, json.dumps(line).encode() + b"\n")


class TruncatedResponse(Response):
    """Announces the length of the whole body, sends half of it and closes the connection."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Sends the headers and the first half of the body."""
        headers = self.raw_headers
        await send({"type": "http.response.start", "status": self.status_code, "headers": headers})
        half = self.body[: len(self.body) // 2]
        await send({"type": "http.response.body", "body": half, "more_body": True})


class EndpointApp:
    """The endpoint's HTTP applications, their state and the fault switches."""

    def __init__(self, name: str, slots: int, speed: float, log: EventLog) -> None:
        self.name = name
        self.slots = slots
        self.running = 0
        self.log = log
        self.relay: Relay | None = None
        self.switches = Switches(
            speed=speed,
            fail_everything=False,
            freeze=False,
            leaving=False,
            truncate=False,
            oversize_bytes=0,
            late_s=0.0,
        )

    def build_task_app(self) -> Starlette:
        """Returns the application that daemons call."""
        return Starlette(
            routes=[
                Route("/v1/tasks", self.handle_task, methods=["POST"]),
                Route("/healthz", self.show_health),
            ]
        )

    def build_control_app(self) -> Starlette:
        """Returns the application through which tests set the switches."""
        return Starlette(routes=[Route("/control", self.control, methods=["PUT"])])

    async def handle_task(self, request: Request) -> Response:
        """Runs or refuses a task and returns the response."""
        raw_body = await request.body()
        if self.switches.freeze:
            return await self.withhold_response(request)
        if refusal := self.find_refusal():
            return self.refuse(request, refusal)
        try:
            body = TaskBody.model_validate_json(raw_body)
        except ValidationError:
            return PlainTextResponse("body is not a task", HTTP_BAD_REQUEST)
        status = await self.run_task(request, body)
        if status == NO_ANSWER:
            return await self.withhold_response(request)
        await anyio.sleep(self.switches.late_s or 0.0)
        return self.build_answer(request, raw_body, status)

    def find_refusal(self) -> str:
        """Returns the code for refusing a new task, or an empty string if the task may start."""
        if self.switches.leaving:
            return "leaving"
        return "full" if self.running >= self.slots else ""

    def refuse(self, request: Request, code: str) -> Response:
        """Returns the response that refuses a task before its start."""
        self.log.write("refuse", request, HTTP_UNAVAILABLE)
        headers = NOT_RUN_HEADER | {CODE_HEADER: code}
        return PlainTextResponse(f"not run: {code}", HTTP_UNAVAILABLE, headers)

    async def run_task(self, request: Request, body: TaskBody) -> int:
        """Runs a task in a slot and returns the status of its response, or :data:`NO_ANSWER`."""
        self.running += 1
        self.log.write("start", request)
        status = HTTP_FAILED if body.fail else HTTP_OK
        try:
            if self.switches.fail_everything:
                status = HTTP_FAILED
            else:
                await anyio.sleep(body.run_time_s / (self.switches.speed or 1.0))
            if self.switches.freeze:
                status = NO_ANSWER
        finally:
            self.running -= 1
            self.log.write("end", request, status)
        return status

    def build_answer(self, request: Request, raw_body: bytes, status: int) -> Response:
        """Returns the response for a finished task."""
        content: dict[str, Any] = {
            "task_id": request.headers.get(TASK_ID_HEADER, ""),
            "endpoint": self.name,
            "echo": json.loads(raw_body),
        }
        if self.switches.oversize_bytes:
            content["padding"] = "x" * self.switches.oversize_bytes
        if self.switches.truncate:
            return TruncatedResponse(json.dumps(content), status, media_type="application/json")
        return JSONResponse(content, status)

    async def withhold_response(self, request: Request) -> Response:
        """Sends nothing until the client disconnects."""
        while (await request.receive())["type"] != "http.disconnect":
            pass
        return Response()

    async def show_health(self, request: Request) -> Response:
        """Reports the running tasks, unless the endpoint is frozen."""
        if self.switches.freeze:
            return await self.withhold_response(request)
        return JSONResponse({"endpoint": self.name, "running": self.running})

    async def control(self, request: Request) -> Response:
        """Applies the switches given in the request."""
        changes = Switches.model_validate_json(await request.body())
        self.switches = self.switches.model_copy(update=changes.model_dump(exclude_none=True))
        assert self.relay is not None
        await self.relay.apply(RelaySwitches(silent=changes.silent))
        return JSONResponse({})


async def main(arguments: Namespace) -> None:
    """Runs the stand-in behind a relay that limits and silences connections."""
    log = EventLog(arguments.log, arguments.name)
    endpoint = EndpointApp(arguments.name, arguments.slots, arguments.speed, log)
    host = arguments.host
    listener, control = open_listener(host, 0), open_listener(host, 0)
    relay = Relay(host, arguments.port, host, port_of(listener), arguments.connections)
    endpoint.relay = relay
    announce(port=relay.port, control_port=port_of(control))
    async with anyio.create_task_group() as group:
        group.start_soon(relay.run)
        group.start_soon(serve_app, endpoint.build_task_app(), listener)
        group.start_soon(serve_app, endpoint.build_control_app(), control)


def run() -> None:
    """Parses the command line and runs the stand-in."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--log", type=Path)
    anyio.run(main, parser.parse_args())


if __name__ == "__main__":
    run()
