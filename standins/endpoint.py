"""Stand-in for an endpoint: runs tasks by sleeping, with switches for what goes wrong."""

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
NO_ANSWER = 0  # status in the log of a task whose answer was not sent


class TaskBody(BaseModel):
    """What a task asks the stand-in to do; other fields are echoed.

    :param run_time_s: run time at speed 1.
    :param fail: whether the task ends with status 500.
    """

    model_config = ConfigDict(extra="allow")

    run_time_s: float = 0.0
    fail: bool = False


class Switches(BaseModel):
    """What goes wrong; ``None`` leaves a switch as it is.

    :param speed: factor by which tasks run faster.
    :param fail_everything: answers 500 at once.
    :param freeze: accepts, starts nothing and never answers what it met while frozen.
    :param silent: silences the connections open at the time of the switch, for good.
    :param leaving: refuses with ``leaving``.
    :param truncate: sends half of the body that its length announces, then closes.
    :param oversize_bytes: pads the answer by this length.
    :param late_s: answers later by this.
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
    """Appends one JSON line for each event; a line is in the file once ``write`` returns."""

    def __init__(self, path: Path | None, endpoint: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.descriptor = None if path is None else os.open(path, flags, 0o644)
        self.endpoint = endpoint

    def write(self, event: str, request: Request, status: int | None = None) -> None:
        """Writes an event of a task."""
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
    """Announces the length of the whole body, sends half of it and ends the connection."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Sends the first half."""
        headers = self.raw_headers
        await send({"type": "http.response.start", "status": self.status_code, "headers": headers})
        half = self.body[: len(self.body) // 2]
        await send({"type": "http.response.body", "body": half, "more_body": True})


class EndpointApp:
    """The application with its switches."""

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
        """Builds the application that daemons call."""
        return Starlette(
            routes=[
                Route("/v1/tasks", self.take_task, methods=["POST"]),
                Route("/healthz", self.show_health),
            ]
        )

    def build_control_app(self) -> Starlette:
        """Builds the application that tests call."""
        return Starlette(routes=[Route("/control", self.control, methods=["PUT"])])

    async def take_task(self, request: Request) -> Response:
        """Refuses or runs a task and answers."""
        raw_body = await request.body()
        if self.switches.freeze:
            return await self.never_answer(request)
        if refusal := self.find_refusal():
            return self.refuse(request, refusal)
        try:
            body = TaskBody.model_validate_json(raw_body)
        except ValidationError:
            return PlainTextResponse("body is not a task", HTTP_BAD_REQUEST)
        status = await self.run_task(request, body)
        if status == NO_ANSWER:
            return await self.never_answer(request)
        await anyio.sleep(self.switches.late_s or 0.0)
        return self.build_answer(request, raw_body, status)

    def find_refusal(self) -> str:
        """Returns the code with which a task is to be refused; empty if it may start."""
        if self.switches.leaving:
            return "leaving"
        return "full" if self.running >= self.slots else ""

    def refuse(self, request: Request, code: str) -> Response:
        """Refuses a task that has not started."""
        self.log.write("refuse", request, HTTP_UNAVAILABLE)
        headers = NOT_RUN_HEADER | {CODE_HEADER: code}
        return PlainTextResponse(f"not run: {code}", HTTP_UNAVAILABLE, headers)

    async def run_task(self, request: Request, body: TaskBody) -> int:
        """Runs a task in a slot and returns the status of its answer."""
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
        """Builds a finished task's answer."""
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

    async def never_answer(self, request: Request) -> Response:
        """Waits until the caller goes away."""
        while (await request.receive())["type"] != "http.disconnect":
            pass
        return Response()

    async def show_health(self, request: Request) -> Response:
        """Answers unless the endpoint is frozen."""
        if self.switches.freeze:
            return await self.never_answer(request)
        return JSONResponse({"endpoint": self.name, "running": self.running})

    async def control(self, request: Request) -> Response:
        """Merges switches."""
        given = Switches.model_validate_json(await request.body())
        self.switches = self.switches.model_copy(update=given.model_dump(exclude_none=True))
        assert self.relay is not None
        await self.relay.apply(RelaySwitches(silent=given.silent))
        return JSONResponse({})


async def main(arguments: Namespace) -> None:
    """Runs the stand-in behind a relay, which limits and silences connections."""
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
