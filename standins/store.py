"""Stand-in for the platform: an in-memory etcd JSON gateway and the list of VMs."""

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
    GatewayError,
    Message,
    build_error_response,
    decode_field,
    encode_event,
    encode_key_value,
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
    """Fault switches and one-time actions; ``None`` leaves a switch unchanged.

    :param outage: whether calls are refused or, with the mode ``silent``, hang.
    :param delay_s: delay before each call takes effect.
    :param lose_answers: number of the next writes that take effect but get no response, as their
        connections are reset.
    :param revision_rollback: restores the state of the last ``POST /control/snapshot``.
    :param vms: rows of the list of VMs.
    :param vms_lag_s: time after which a new list of VMs becomes visible.
    :param advance_s: advances the clock of the leases.
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
    """The gateway's handlers, their state and the fault switches."""

    def __init__(self) -> None:
        self.values = KeyValues()
        self.relay: Relay | None = None
        self.switches = Switches(
            outage=False, outage_mode="refuse", delay_s=0.0, lose_answers=0, vms_lag_s=0.0
        )
        self.visible_vms: list[Message] = []
        self.pending_vm_lists: list[tuple[float, list[Message]]] = []
        self.counts: Counter[str] = Counter()
        self.watches_open = 0
        self.outage_changed = anyio.Event()

    def routes(self) -> list[Route]:
        """Returns the routes of all calls."""
        calls: dict[str, tuple[str, Handler]] = {
            "/v3/kv/range": ("range", self.run_range),
            "/v3/kv/txn": ("txn", self.run_txn),
            "/v3/kv/compaction": ("compaction", self.compact),
            "/v3/lease/grant": ("lease_grant", self.grant_lease),
            "/v3/lease/keepalive": ("lease_keepalive", self.renew_lease),
            "/v3/lease/revoke": ("lease_revoke", self.revoke_lease),
        }
        routes = [
            Route(path, self.build_call_handler(kind, handler), methods=["POST"])
            for path, (kind, handler) in calls.items()
        ]
        return routes + [
            Route("/v3/watch", self.watch, methods=["POST"]),
            Route("/v1/vms", self.list_vms),
            Route("/control", self.control, methods=["PUT"]),
            Route("/control/snapshot", self.take_snapshot, methods=["POST"]),
            Route("/control/counts", self.show_counts),
        ]

    def build_call_handler(
        self, kind: str, handler: Handler
    ) -> Callable[[Request], Awaitable[Response]]:
        """Wraps the handler of a call with parsing, fault injection and error responses."""

        async def handle_call(request: Request) -> Response:
            message = json.loads(await request.body())
            refusal = await self.apply_outage(kind, request)
            if refusal is not None:
                return refusal
            try:
                self.values.expire_leases()
                response = handler(message)
            except GatewayError as error:
                return build_error_response(error)
            except LeaseNotFoundError:
                return build_error_response(not_found("etcdserver: requested lease not found"))
            if has_written(kind, response) and self.switches.lose_answers:
                self.switches.lose_answers -= 1
                self.drop_connection(request)
            return JSONResponse(response)

        return handle_call

    async def apply_outage(self, kind: str, request: Request) -> Response | None:
        """Counts a call and delays, hangs or refuses it, depending on the switches.

        :return: the error response if the call is refused.
        """
        self.counts[kind] += 1
        if self.switches.delay_s:
            await anyio.sleep(self.switches.delay_s)
        if not self.switches.outage:
            return None
        if self.switches.outage_mode == "silent":
            await wait_for_disconnect(request)
        return build_error_response(unavailable("etcdserver: no leader"))

    def drop_connection(self, request: Request) -> None:
        """Resets the client's connection."""
        assert self.relay is not None and request.client is not None
        self.relay.connections[request.client.port].reset()

    def header(self) -> Message:
        """Returns the header of a response."""
        return {"revision": str(self.values.state.revision), "raft_term": "2"}

    def run_range(self, message: Message) -> Message:
        """Returns the values of a key or a range."""
        matches = self.values.select(
            decode_field(message, "key"), decode_field(message, "range_end")
        )
        answer = {"header": self.header(), "count": str(len(matches))}
        return (
            answer | {"kvs": [encode_key_value(stored) for stored in matches]}
            if matches
            else answer
        )

    def run_txn(self, message: Message) -> Message:
        """Runs a transaction: the success or the failure branch, depending on its conditions."""
        succeeded = all(self.is_condition_met(compare) for compare in message.get("compare", []))
        operations = message.get("success" if succeeded else "failure", [])
        responses = [self.run_operation(operation) for operation in operations]
        answer = {"header": self.header(), "responses": responses}
        return answer | {"succeeded": True} if succeeded else answer

    def is_condition_met(self, compare: Message) -> bool:
        """Returns whether a condition of a transaction holds; an absent key has revision 0."""
        matches = self.values.select(decode_field(compare, "key"), b"")
        match compare["target"]:
            case "MOD":
                actual = matches[0].mod_revision if matches else 0
                return actual == int(compare.get("mod_revision", 0))
            case "CREATE":
                actual = matches[0].create_revision if matches else 0
                return actual == int(compare.get("create_revision", 0))
        raise invalid_argument("unknown target")

    def run_operation(self, operation: Message) -> Message:
        """Runs one operation of a transaction."""
        if "request_put" in operation:
            self.put(operation["request_put"])
            return {"response_put": {"header": self.header()}}
        if "request_delete_range" in operation:
            request = operation["request_delete_range"]
            deleted = self.values.delete(
                decode_field(request, "key"), decode_field(request, "range_end")
            )
            return {"response_delete_range": {"header": self.header(), "deleted": str(deleted)}}
        return {"response_range": self.run_range(operation["request_range"])}

    def put(self, request: Message) -> None:
        """Writes a key.

        :raises GatewayError: if the value is too large.
        """
        value = decode_field(request, "value")
        if len(value) > MAX_VALUE_BYTES:
            raise invalid_argument("etcdserver: request is too large")
        self.values.put(decode_field(request, "key"), value, int(request.get("lease", 0)))

    def compact(self, message: Message) -> Message:
        """Discards the history before a revision."""
        self.values.compact(int(message["revision"]))
        return {"header": self.header()}

    def grant_lease(self, message: Message) -> Message:
        """Creates a lease."""
        lease_id = self.values.grant_lease(int(message["TTL"]))
        return {"header": self.header(), "ID": str(lease_id), "TTL": message["TTL"]}

    def renew_lease(self, message: Message) -> Message:
        """Renews a lease; the response has no TTL if the lease has expired."""
        ttl_s = self.values.renew_lease(int(message["ID"]))
        result = {"header": self.header(), "ID": message["ID"]}
        return {"result": result | {"TTL": str(ttl_s)} if ttl_s else result}

    def revoke_lease(self, message: Message) -> Message:
        """Revokes a lease and deletes its keys."""
        self.values.revoke_lease(int(message["ID"]))
        return {"header": self.header()}

    async def watch(self, request: Request) -> Response:
        """Handles a watch: streams the changes in a range."""
        message = json.loads(await request.body())["create_request"]
        refusal = await self.apply_outage("watch", request)
        if refusal is not None:
            return refusal
        return StreamingResponse(self.stream_changes(message), media_type="application/json")

    async def stream_changes(self, message: Message) -> AsyncIterator[str]:
        """Yields the lines of a watch until its changes are compacted or an outage refuses it."""
        key, range_end = decode_field(message, "key"), decode_field(message, "range_end")
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
                    yield self.watch_line(events=[encode_event(each) for each in changes])
                await changed.wait()
        except CompactedError:
            compacted = str(self.values.state.compact_revision)
            yield self.watch_line(canceled=True, compact_revision=compacted)
        finally:
            self.watches_open -= 1

    def is_refusing(self) -> bool:
        """Returns whether an outage currently refuses calls."""
        return bool(self.switches.outage) and self.switches.outage_mode == "refuse"

    def watch_line(self, **result: Any) -> str:
        """Returns one line of a watch's stream."""
        return json.dumps({"result": {"header": self.header(), **result}}) + "\n"

    async def list_vms(self, request: Request) -> Response:
        """Returns the newest list of VMs whose lag has elapsed."""
        refusal = await self.apply_outage("vms", request)
        if refusal is not None:
            return refusal
        while self.pending_vm_lists and self.pending_vm_lists[0][0] <= anyio.current_time():
            self.visible_vms = self.pending_vm_lists.pop(0)[1]
        return JSONResponse({"vms": self.visible_vms})

    async def control(self, request: Request) -> Response:
        """Applies the switches and one-time actions given in the request."""
        changes = Switches.model_validate_json(await request.body())
        self.switches = self.switches.model_copy(update=changes.model_dump(exclude_none=True))
        if changes.vms is not None:
            visible_at_s = anyio.current_time() + (self.switches.vms_lag_s or 0.0)
            self.pending_vm_lists.append((visible_at_s, changes.vms))
        if changes.revision_rollback:
            self.values.restore_snapshot()
        self.values.clock_offset_s += changes.advance_s or 0.0
        self.values.expire_leases()
        self.values.notify_watches()
        return JSONResponse({})

    async def take_snapshot(self, _request: Request) -> Response:
        """Saves the state for a later rollback."""
        self.values.take_snapshot()
        return JSONResponse({})

    async def show_counts(self, _request: Request) -> Response:
        """Returns the number of calls of each kind; a watch counts as one call."""
        return JSONResponse({"calls": self.counts, "watches_open": self.watches_open})

    async def run_lease_expiry(self) -> None:
        """Periodically revokes expired leases, also while no calls arrive, until cancelled."""
        while True:
            await anyio.sleep(LEASE_CHECK_INTERVAL_S)
            self.values.expire_leases()


async def wait_for_disconnect(request: Request) -> None:
    """Waits until the client disconnects."""
    while (await request.receive())["type"] != "http.disconnect":
        pass


def has_written(kind: str, response: Message) -> bool:
    """Returns whether a call is a write: a change of a lease or a transaction that succeeded."""
    return kind in ("lease_grant", "lease_revoke") or bool(response.get("succeeded"))


async def main(host: str, port: int) -> None:
    """Runs the stand-in behind a relay that can reset single connections."""
    store = StoreApp()
    listener = open_listener(host, 0)
    store.relay = Relay(host, port, host, port_of(listener))
    announce(port=store.relay.port)
    async with anyio.create_task_group() as group:
        group.start_soon(store.relay.run)
        group.start_soon(store.run_lease_expiry)
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
