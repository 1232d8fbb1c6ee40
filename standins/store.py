"""Stand-in for the platform: etcd's JSON gateway in memory and the list of VMs."""

import json
from argparse import ArgumentParser
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Literal

import anyio
from pydantic import BaseModel
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from standins.gateway import (
    Message,
    RefusedError,
    build_error,
    decode,
    describe,
    describe_event,
    invalid_argument,
    not_found,
    unavailable,
)
from standins.key_values import CompactedError, KeyValues, LeaseNotFoundError
from standins.relay import Relay
from standins.serving import announce, open_listener, port_of, serve_app

MAX_VALUE_BYTES = 1_048_576
LEASE_CHECK_INTERVAL_S = 0.1

Handler = Callable[[Message], Message]


class Switches(BaseModel):
    """What goes wrong, or is asked for once; ``None`` leaves a switch as it is.

    :param outage: whether calls are refused or, with the mode ``silent``, hang.
    :param delay_s: time by which each call takes effect later.
    :param lose_answers: how many of the next writes take effect without an answer.
    :param revision_rollback: restores the state of the last ``POST /control/snapshot``.
    :param vms: rows of the list of VMs.
    :param vms_lag_s: time after which a new list of VMs shows.
    :param advance_s: moves the clock of the leases ahead.
    """

    outage: bool | None = None
    outage_mode: Literal["refuse", "silent"] | None = None
    delay_s: float | None = None
    lose_answers: int | None = None
    revision_rollback: bool | None = None
    vms: list[Message] | None = None
    vms_lag_s: float | None = None
    advance_s: float | None = None


class StoreApp:
    """The application with its switches."""

    def __init__(self) -> None:
        self.values = KeyValues()
        self.relay: Relay | None = None
        self.switches = Switches(
            outage=False, outage_mode="refuse", delay_s=0.0, lose_answers=0, vms_lag_s=0.0
        )
        self.vms_shown: list[Message] = []
        self.vms_versions: list[tuple[float, list[Message]]] = []
        self.counts: Counter[str] = Counter()
        self.watches_open = 0
        self.outage_changed = anyio.Event()

    def routes(self) -> list[Route]:
        """Lists all paths."""
        calls: dict[str, tuple[str, Handler]] = {
            "/v3/kv/range": ("range", self.run_range),
            "/v3/kv/txn": ("txn", self.run_txn),
            "/v3/kv/compaction": ("compaction", self.compact),
            "/v3/lease/grant": ("lease_grant", self.grant_lease),
            "/v3/lease/keepalive": ("lease_keepalive", self.renew_lease),
            "/v3/lease/revoke": ("lease_revoke", self.revoke_lease),
        }
        routes = [
            Route(path, self.build_endpoint(kind, handler), methods=["POST"])
            for path, (kind, handler) in calls.items()
        ]
        return routes + [
            Route("/v3/watch", self.watch, methods=["POST"]),
            Route("/v1/vms", self.list_vms),
            Route("/control", self.control, methods=["PUT"]),
            Route("/control/snapshot", self.take_snapshot, methods=["POST"]),
            Route("/control/counts", self.show_counts),
        ]

    def build_endpoint(
        self, kind: str, handler: Handler
    ) -> Callable[[Request], Awaitable[Response]]:
        """Wraps a call into what all calls have in common."""

        async def endpoint(request: Request) -> Response:
            message = json.loads(await request.body())
            refusal = await self.meet_outage(kind, request)
            if refusal is not None:
                return refusal
            try:
                self.values.end_lapsed_leases()
                response = handler(message)
            except RefusedError as error:
                return build_error(error)
            except LeaseNotFoundError:
                return build_error(not_found("etcdserver: requested lease not found"))
            if took_effect(kind, response) and self.switches.lose_answers:
                self.switches.lose_answers -= 1
                self.drop_connection(request)
            return JSONResponse(response)

        return endpoint

    async def meet_outage(self, kind: str, request: Request) -> Response | None:
        """Counts a call, then delays it, hangs or returns the refusal, as the switches say."""
        self.counts[kind] += 1
        if self.switches.delay_s:
            await anyio.sleep(self.switches.delay_s)
        if not self.switches.outage:
            return None
        if self.switches.outage_mode == "silent":
            await wait_for_disconnect(request)
        return build_error(unavailable("etcdserver: no leader"))

    def drop_connection(self, request: Request) -> None:
        """Resets the caller's connection."""
        assert self.relay is not None and request.client is not None
        self.relay.connections[request.client.port].reset()

    def header(self) -> Message:
        """Builds the header of an answer."""
        return {"revision": str(self.values.state.revision), "raft_term": "2"}

    def run_range(self, message: Message) -> Message:
        """Reads a key or a range."""
        found = self.values.select(decode(message, "key"), decode(message, "range_end"))
        answer = {"header": self.header(), "count": str(len(found))}
        return answer | {"kvs": [describe(stored) for stored in found]} if found else answer

    def run_txn(self, message: Message) -> Message:
        """Runs a transaction."""
        succeeded = all(self.holds(compare) for compare in message.get("compare", []))
        operations = message.get("success" if succeeded else "failure", [])
        responses = [self.run_operation(operation) for operation in operations]
        answer = {"header": self.header(), "responses": responses}
        return answer | {"succeeded": True} if succeeded else answer

    def holds(self, compare: Message) -> bool:
        """Tells whether a condition holds; an absent key has the revision 0."""
        found = self.values.select(decode(compare, "key"), b"")
        match compare["target"]:
            case "MOD":
                actual = found[0].mod_revision if found else 0
                return actual == int(compare.get("mod_revision", 0))
            case "CREATE":
                actual = found[0].create_revision if found else 0
                return actual == int(compare.get("create_revision", 0))
        raise invalid_argument("unknown target")

    def run_operation(self, operation: Message) -> Message:
        """Runs one operation of a transaction."""
        if "request_put" in operation:
            self.put(operation["request_put"])
            return {"response_put": {"header": self.header()}}
        if "request_delete_range" in operation:
            request = operation["request_delete_range"]
            deleted = self.values.delete(decode(request, "key"), decode(request, "range_end"))
            return {"response_delete_range": {"header": self.header(), "deleted": str(deleted)}}
        return {"response_range": self.run_range(operation["request_range"])}

    def put(self, request: Message) -> None:
        """Writes a key unless its value is too large."""
        value = decode(request, "value")
        if len(value) > MAX_VALUE_BYTES:
            raise invalid_argument("etcdserver: request is too large")
        self.values.put(decode(request, "key"), value, int(request.get("lease", 0)))

    def compact(self, message: Message) -> Message:
        """Forgets the changes below a revision."""
        self.values.compact(int(message["revision"]))
        return {"header": self.header()}

    def grant_lease(self, message: Message) -> Message:
        """Makes a lease."""
        lease_id = self.values.grant_lease(int(message["TTL"]))
        return {"header": self.header(), "ID": str(lease_id), "TTL": message["TTL"]}

    def renew_lease(self, message: Message) -> Message:
        """Renews a lease; the answer has no TTL if it has lapsed."""
        ttl_s = self.values.renew_lease(int(message["ID"]))
        result = {"header": self.header(), "ID": message["ID"]}
        return {"result": result | {"TTL": str(ttl_s)} if ttl_s else result}

    def revoke_lease(self, message: Message) -> Message:
        """Ends a lease."""
        self.values.revoke_lease(int(message["ID"]))
        return {"header": self.header()}

    async def watch(self, request: Request) -> Response:
        """Streams the changes in a range."""
        message = json.loads(await request.body())["create_request"]
        refusal = await self.meet_outage("watch", request)
        if refusal is not None:
            return refusal
        return StreamingResponse(self.stream_changes(message), media_type="application/json")

    async def stream_changes(self, message: Message) -> AsyncIterator[str]:
        """Yields the lines of a watch until an outage refuses calls."""
        key, range_end = decode(message, "key"), decode(message, "range_end")
        revision = int(message.get("start_revision", 0)) or self.values.state.revision + 1
        self.watches_open += 1
        try:
            yield self.watch_line(created=True)
            while not self.is_refusing():
                changed = self.values.changed
                if changes := self.values.changes_from(revision, key, range_end):
                    revision = changes[-1].mod_revision + 1
                    if self.switches.outage:
                        await anyio.sleep_forever()
                    yield self.watch_line(events=[describe_event(each) for each in changes])
                await changed.wait()
        except CompactedError:
            compacted = str(self.values.state.compact_revision)
            yield self.watch_line(canceled=True, compact_revision=compacted)
        finally:
            self.watches_open -= 1

    def is_refusing(self) -> bool:
        """Tells whether calls are refused at present."""
        return bool(self.switches.outage) and self.switches.outage_mode == "refuse"

    def watch_line(self, **result: Any) -> str:
        """Builds one line of a watch's stream."""
        return json.dumps({"result": {"header": self.header(), **result}}) + "\n"

    async def list_vms(self, request: Request) -> Response:
        """Shows the newest list of VMs that has passed the lag."""
        refusal = await self.meet_outage("vms", request)
        if refusal is not None:
            return refusal
        while self.vms_versions and self.vms_versions[0][0] <= anyio.current_time():
            self.vms_shown = self.vms_versions.pop(0)[1]
        return JSONResponse({"vms": self.vms_shown})

    async def control(self, request: Request) -> Response:
        """Merges switches."""
        given = Switches.model_validate_json(await request.body())
        self.switches = self.switches.model_copy(update=given.model_dump(exclude_none=True))
        if given.vms is not None:
            shown_at_s = anyio.current_time() + (self.switches.vms_lag_s or 0.0)
            self.vms_versions.append((shown_at_s, given.vms))
        if given.revision_rollback:
            self.values.restore_snapshot()
        self.values.clock_ahead_s += given.advance_s or 0.0
        self.values.end_lapsed_leases()
        self.values.notify_watches()
        return JSONResponse({})

    async def take_snapshot(self, _request: Request) -> Response:
        """Keeps the state for a later rollback."""
        self.values.take_snapshot()
        return JSONResponse({})

    async def show_counts(self, _request: Request) -> Response:
        """Shows how many calls of each kind came; each watch is one call."""
        return JSONResponse({"calls": self.counts, "watches_open": self.watches_open})

    async def end_lapsed_leases(self) -> None:
        """Ends lapsed leases while no call comes."""
        while True:
            await anyio.sleep(LEASE_CHECK_INTERVAL_S)
            self.values.end_lapsed_leases()


async def wait_for_disconnect(request: Request) -> None:
    """Waits until the caller goes away."""
    while (await request.receive())["type"] != "http.disconnect":
        pass


def took_effect(kind: str, response: Message) -> bool:
    """Tells whether a call has written something."""
    return kind in ("lease_grant", "lease_revoke") or bool(response.get("succeeded"))


async def main(host: str, port: int) -> None:
    """Runs the stand-in behind a relay, which can end single connections."""
    store = StoreApp()
    listener = open_listener(host, 0)
    store.relay = Relay(host, port, host, port_of(listener))
    announce(port=store.relay.port)
    async with anyio.create_task_group() as group:
        group.start_soon(store.relay.run)
        group.start_soon(store.end_lapsed_leases)
        group.start_soon(serve_app, Starlette(routes=store.routes()), listener)


def run() -> None:
    """Parses the command line and runs the stand-in."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()
    anyio.run(main, arguments.host, arguments.port)


if __name__ == "__main__":
    run()
