"""Fake daemons that answer as docs/api.md specifies, run no tasks and inject faults on demand."""

import json
from collections import deque
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from enum import Enum, auto
from socket import socket
from typing import Any

from anyio import Event
from anyio.from_thread import BlockingPortal, start_blocking_portal
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

RETRY_AFTER_S = 7.0
MISSING_POOL = "nowhere"


class Fault(Enum):
    """Fault that a daemon injects into its answer to one submission, request or record change."""

    DROP = auto()  # accepts the work, then closes the connection without an answer
    TRUNCATE = auto()  # accepts the work, then closes the connection within the answer
    OTHER_JOB = auto()  # answers with the identifier of another job
    OTHER_TASKS = auto()  # leaves out the first result
    WRONG_STATUS = auto()  # sends a complete answer with the status of an error
    REFUSE = auto()  # 503 that names the work, with Retry-After
    REFUSE_UNREAD = auto()  # 503 that names no work, as if it was not read, with Retry-After
    REFUSE_FOR_GOOD = auto()  # 422 without Retry-After
    UNKNOWN = auto()  # 504: the outcome is unknown
    FAIL = auto()  # 502: the work failed
    STAY_RUNNING = auto()  # 202: the job is running
    FORGET = auto()  # 202, but the job is unknown to later calls


class BrokenConnection(Exception):  # noqa: N818 - a signal to the server, not an error of a test
    """Makes the server close the connection."""


class TruncatedResponse(Response):
    """Sends the headers and the first bytes of the body, then closes the connection.

    :ivar sent_bytes: number of bytes of the body that are sent.
    """

    sent_bytes = 0

    async def __call__(self, scope, receive, send) -> None:
        await send(
            {"type": "http.response.start", "status": self.status_code, "headers": self.raw_headers}
        )
        part = self.body[: self.sent_bytes]
        await send({"type": "http.response.body", "body": part, "more_body": True})
        raise BrokenConnection


@dataclass
class FakeCluster:
    """State that all fake daemons share.

    :param arrivals: daemon and identifier of each submission or request received.
    :param minted: number of identifiers minted so far.
    :param mint_calls: daemon of each call for identifiers.
    :param valid_for_s: validity of the identifiers, as the daemons announce it.
    :param jobs: answer of each job that stays running, by identifier.
    :param never_finishes: whether running jobs never end.
    :param records: revision and content of each record, by kind and name.
    :param store_is_down: whether changes of records are refused as in an outage of the store.
    :param contents: body of each submission received.
    :param caller_ports: port at the caller's end of the connection of each submission received.
    :param callers: team and ``Authorization`` header of each submission received.
    """

    arrivals: list[tuple[str, str]] = field(default_factory=list)
    minted: int = 0
    mint_calls: list[str] = field(default_factory=list)
    valid_for_s: float = 600.0
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)
    never_finishes: bool = False
    records: dict[tuple[str, str], tuple[int, dict[str, Any]]] = field(default_factory=dict)
    revision: int = 0
    store_is_down: bool = False
    contents: list[dict[str, Any]] = field(default_factory=list)
    caller_ports: list[int] = field(default_factory=list)
    callers: list[tuple[str, str]] = field(default_factory=list)


class FakeDaemon:
    """One fake daemon.

    :ivar faults: faults to inject, one for each submission, request or record change.
    """

    def __init__(self, name: str, cluster: FakeCluster) -> None:
        self.name = name
        self.cluster = cluster
        self.faults: deque[Fault] = deque()
        self.base_url = ""
        self.app = Starlette(
            routes=[
                Route("/v1/job-ids", self._mint, methods=["POST"]),
                Route("/v1/jobs", self._submit, methods=["POST"]),
                Route("/v1/jobs/{id}", self._fetch, methods=["GET"]),
                Route("/v1/jobs/{id}", self._cancel, methods=["DELETE"]),
                Route("/v1/services/{service}/requests", self._request, methods=["POST"]),
                Route("/v1/records/validate", self._validate, methods=["POST"]),
                Route("/v1/records/{kind}", self._list_records, methods=["GET"]),
                Route("/v1/records/{kind}/{name}", self._get_record, methods=["GET"]),
                Route("/v1/records/{kind}/{name}", self._put_record, methods=["PUT"]),
                Route("/v1/records/{kind}/{name}", self._delete_record, methods=["DELETE"]),
                Route("/v1/status", self._status, methods=["GET"]),
            ]
        )

    async def _mint(self, request: Request) -> Response:
        count = (await request.json())["count"]
        first = self.cluster.minted
        self.cluster.minted += count
        self.cluster.mint_calls.append(self.name)
        ids = [f"{self.name}-{number}" for number in range(first, first + count)]
        return JSONResponse({"ids": ids, "valid_for_s": self.cluster.valid_for_s})

    async def _submit(self, request: Request) -> Response:
        body = await request.json()
        job_id = body["id"]
        self.cluster.arrivals.append((self.name, job_id))
        self.cluster.contents.append(body)
        self.cluster.caller_ports.append(request.client.port)
        headers = request.headers
        self.cluster.callers.append((headers["Berylproxy-Team"], headers.get("Authorization", "")))
        results = [{"id": task["id"], "payload": task["payload"]} for task in body["tasks"]]
        answer = make_answer(job_id, "done", results=results)
        return self._inject_fault(answer) if self.faults else JSONResponse(answer)

    async def _request(self, request: Request) -> Response:
        request_id = request.headers["Berylproxy-Request-Id"]
        self.cluster.arrivals.append((self.name, request_id))
        if self.faults:
            return self._inject_fault(make_answer(request_id, "done"))
        headers = {"Berylproxy-Outcome": "done", "Berylproxy-Request-Id": request_id}
        return Response(await request.body(), headers=headers, media_type="application/json")

    def _inject_fault(self, answer: dict[str, Any]) -> Response:
        """Injects the next fault into an answer."""
        job_id = answer["id"]
        match self.faults.popleft():
            case Fault.DROP:
                return make_truncated_response(answer, 0)
            case Fault.TRUNCATE:
                return make_truncated_response(answer, len(json.dumps(answer)) // 2)
            case Fault.OTHER_JOB:
                headers = {"Berylproxy-Outcome": "done", "Berylproxy-Request-Id": "other"}
                return JSONResponse({**answer, "id": "other"}, headers=headers)
            case Fault.OTHER_TASKS:
                return JSONResponse({**answer, "results": answer["results"][1:]})
            case Fault.WRONG_STATUS:
                return JSONResponse(answer, 502)
            case Fault.REFUSE:
                return make_error(job_id, "not_run", "team_queue_full", 503, RETRY_AFTER_S)
            case Fault.REFUSE_UNREAD:
                return make_error("", "not_run", "not_ready", 503, RETRY_AFTER_S)
            case Fault.REFUSE_FOR_GOOD:
                return make_error(job_id, "not_run", "task_never_fits", 422, None)
            case Fault.UNKNOWN:
                return make_error(job_id, "outcome_unknown", "home_gone", 504, None)
            case Fault.FAIL:
                return make_error(job_id, "failed", "task_failed", 502, None)
            case Fault.STAY_RUNNING:
                self.cluster.jobs[job_id] = answer
                return JSONResponse({"id": job_id, "state": "running", "outcome": None}, 202)
            case Fault.FORGET:
                return JSONResponse({"id": job_id, "state": "running", "outcome": None}, 202)
        raise AssertionError("unknown fault")

    async def _fetch(self, request: Request) -> Response:
        job_id = request.path_params["id"]
        if job_id not in self.cluster.jobs:
            return make_error(job_id, "not_run", "job_not_found", 404, None)
        if self.cluster.never_finishes:
            return JSONResponse({"id": job_id, "state": "running", "outcome": None}, 202)
        return JSONResponse(self.cluster.jobs[job_id])

    async def _cancel(self, request: Request) -> Response:
        job_id = request.path_params["id"]
        if job_id not in self.cluster.jobs:
            return make_error(job_id, "not_run", "job_not_found", 404, None)
        return make_error(job_id, "not_run", "cancelled", 409, None)

    async def _validate(self, request: Request) -> Response:
        body = await request.json()
        return check_record(body["record"]) or JSONResponse({"valid": True})

    async def _list_records(self, request: Request) -> Response:
        kind = request.path_params["kind"]
        keys = sorted(key for key in self.cluster.records if key[0] == kind)
        records = [self._describe(key) for key in keys]
        return JSONResponse({"revision": self.cluster.revision, "records": records})

    async def _get_record(self, request: Request) -> Response:
        key = read_key(request)
        if key not in self.cluster.records:
            return make_error("", "not_run", "record_not_found", 404, None)
        return JSONResponse(self._describe(key))

    async def _put_record(self, request: Request) -> Response:
        record = await request.json()
        refusal = self._refuse_change(request) or check_record(record)
        if refusal:
            return refusal
        self.cluster.revision += 1
        self.cluster.records[read_key(request)] = (self.cluster.revision, record)
        if self.faults:
            return self._inject_fault(make_answer("", "done"))
        return JSONResponse({"revision": self.cluster.revision})

    async def _delete_record(self, request: Request) -> Response:
        refusal = self._refuse_change(request)
        if refusal:
            return refusal
        self.cluster.revision += 1
        del self.cluster.records[read_key(request)]
        return JSONResponse({"revision": self.cluster.revision})

    def _refuse_change(self, request: Request) -> Response | None:
        if self.cluster.store_is_down:
            return make_error("", "not_run", "record_store_unavailable", 503, RETRY_AFTER_S)
        stored = self.cluster.records.get(read_key(request))
        expected = request.headers.get("If-Match")
        if expected != (f'"{stored[0]}"' if stored else None):
            return make_error("", "not_run", "record_conflict", 412, None)
        return None

    async def _status(self, request: Request) -> Response:
        return JSONResponse({"daemon": {"daemon_id": self.name}, "peers": [], "endpoints": []})

    def _describe(self, key: tuple[str, str]) -> dict[str, Any]:
        revision, record = self.cluster.records[key]
        return {"kind": key[0], "name": key[1], "revision": revision, "record": record}


def make_answer(job_id: str, outcome: str, **fields: Any) -> dict[str, Any]:
    """Makes the body of a finished job's answer."""
    return {"id": job_id, "state": "finished", "outcome": outcome, "code": "", **fields}


def make_error(
    job_id: str, outcome: str, code: str, status: int, retry_after_s: float | None
) -> Response:
    """Makes an error response like those of a real daemon."""
    body = make_answer(job_id, outcome, message=f"{code}\nit is", hint="", retry_after_s=None)
    body |= {"code": code, "retry_after_s": retry_after_s}
    headers = {"Berylproxy-Outcome": outcome}
    if retry_after_s is not None:
        headers["Retry-After"] = str(int(retry_after_s))
    return JSONResponse(body, status, headers)


def make_truncated_response(answer: dict[str, Any], sent_bytes: int) -> Response:
    """Makes a response of which only the first bytes of the body are sent."""
    response = TruncatedResponse(json.dumps(answer), media_type="application/json")
    response.sent_bytes = sent_bytes
    return response


def check_record(record: dict[str, Any]) -> Response | None:
    """Returns an error response for a record that refers to a missing pool, else ``None``."""
    if record.get("pool") != MISSING_POOL:
        return None
    return make_error("", "not_run", "record_invalid", 422, None)


def read_key(request: Request) -> tuple[str, str]:
    """Returns a record's kind and name from the request's path."""
    return request.path_params["kind"], request.path_params["name"]


@contextmanager
def serve_daemon(portal: BlockingPortal, daemon: FakeDaemon) -> Iterator[None]:
    """Serves one daemon on a free port of the loopback address."""
    listener = socket()
    listener.bind(("127.0.0.1", 0))
    daemon.base_url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    config = Config()
    listener.listen()  # calls made before the server is ready wait instead of being refused
    config.bind = [f"fd://{listener.detach()}"]  # the server closes it
    config.errorlog = None  # closing connections by an exception is intended
    config.graceful_timeout = 0.1
    stopping = portal.call(Event)
    serving = portal.start_task_soon(
        lambda: serve(daemon.app, config, shutdown_trigger=stopping.wait)
    )
    try:
        yield
    finally:
        portal.call(stopping.set)
        serving.result()


@contextmanager
def serve_daemons(*daemons: FakeDaemon) -> Iterator[None]:
    """Serves daemons from a separate thread."""
    with start_blocking_portal() as portal, ExitStack() as stack:
        for daemon in daemons:
            stack.enter_context(serve_daemon(portal, daemon))
        yield
