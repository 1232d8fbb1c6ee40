"""Stand-in for the key-value service of the users' platform, with fault switches."""

import json
from argparse import ArgumentParser
from base64 import b64decode, b64encode
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.key_values import CompactedError, KeyValues, StoredValue
from standins.serving import announce, open_listener, port_of, serve_app

MAX_PAGE_ITEMS = 500
MAX_TRANSACTION_ENTRIES = 32
OPERATOR_PREFIXES = (b"op/", b"servers/")
LEASE_CHECK_INTERVAL_S = 0.05


class PlatformStoreStandin:
    """The handlers of the service's HTTP calls.

    :ivar busy: whether every call is refused with 503.
    :ivar hides_changes: whether watches report no changes.
    :ivar lost_answers: number of the next writes that take effect but get no response.
    """

    def __init__(self) -> None:
        self.values = KeyValues()
        self.busy = False
        self.hides_changes = False
        self.lost_answers = 0

    async def get_key(self, request: Request) -> Response:
        """Returns the entry of one key."""
        stored = self.values.state.values.get(request.query_params["key"].encode())
        if self.busy:
            return Response(status_code=503)
        if stored is None:
            return self.answer({}, 404)
        return self.answer(encode_entry(stored))

    async def get_range(self, request: Request) -> Response:
        """Returns one page of the keys with a prefix."""
        if self.busy:
            return Response(status_code=503)
        prefix = request.query_params["prefix"].encode()
        after = request.query_params.get("after", "").encode()
        names = sorted(n for n in self.values.state.values if n.startswith(prefix) and n > after)
        items = [encode_entry(self.values.state.values[name]) for name in names[:MAX_PAGE_ITEMS]]
        return self.answer({"items": items, "more-pages": len(names) > MAX_PAGE_ITEMS})

    async def watch(self, request: Request) -> Response:
        """Long-polls for changes of keys with a prefix."""
        if self.busy:
            return Response(status_code=503)
        prefix = request.query_params["prefix"].encode()
        after = int(request.query_params["after"])
        events: list[StoredValue] = []
        with anyio.move_on_after(int(request.query_params["wait-ms"]) / 1000):
            while not events:
                changed = self.values.changed
                try:
                    changes = self.values.changes_from(after + 1, b"", b"\0")
                except CompactedError:
                    return self.answer({}, 410)
                if not self.hides_changes:
                    events = [change for change in changes if change.key.startswith(prefix)]
                if not events:
                    await changed.wait()
        return self.answer({"events": [encode_entry(event) for event in events]})

    async def run_transaction(self, request: Request) -> Response:
        """Writes and removes keys if all expected revisions match."""
        if self.busy:
            return Response(status_code=503)
        body = await request.json()
        expected, writes, deletions = body["expect"], body["set-keys"], body["remove"]
        if len(expected) + len(writes) + len(deletions) > MAX_TRANSACTION_ENTRIES:
            return Response(status_code=400)
        state = self.values.state
        current = [(row, state.values.get(row["key"].encode())) for row in expected]
        if any((stored.mod_revision if stored else 0) != row["rev"] for row, stored in current):
            return self.answer(
                {"items": [encode_entry(stored) for _, stored in current if stored]}, 412
            )
        if any(row["key"].encode().startswith(OPERATOR_PREFIXES) for row in writes):
            return Response(status_code=403)
        if any(row.get("lease", 0) not in (0, *state.leases) for row in writes):
            return self.answer({}, 404)
        for row in writes:
            self.values.put(row["key"].encode(), b64decode(row["value"]), row.get("lease", 0))
        keys_to_delete = [key.encode() for key in deletions if key.encode() in state.values]
        self.values.delete_keys(keys_to_delete)
        if self.lost_answers:
            self.lost_answers -= 1
            await anyio.sleep_forever()
        return self.answer({"rev": state.revision})

    async def create_lease(self, request: Request) -> Response:
        """Creates a lease."""
        if self.busy:
            return Response(status_code=503)
        ttl_ms = (await request.json())["ttl-ms"]
        return self.answer({"lease": self.values.grant_lease(ttl_ms / 1000), "ttl-ms": ttl_ms})

    async def extend_lease(self, request: Request) -> Response:
        """Renews a lease."""
        if self.busy:
            return Response(status_code=503)
        ttl_s = self.values.renew_lease(int(request.path_params["lease"]))
        return self.answer({"ttl-ms": int(ttl_s * 1000)}, 200 if ttl_s else 404)

    async def control_put(self, request: Request) -> Response:
        """Writes a key on behalf of an operator or a runner, with a JSON value or any text."""
        body = await request.json()
        text = body["text"] if "text" in body else json.dumps(body["value"])
        self.values.put(body["key"].encode(), text.encode(), 0)
        return self.answer({})

    async def control_remove(self, request: Request) -> Response:
        """Removes a key on behalf of an operator or a runner."""
        self.values.delete_keys([(await request.json())["key"].encode()])
        return self.answer({})

    async def control_compact(self, _: Request) -> Response:
        """Forgets the history up to the current revision."""
        self.values.compact(self.values.state.revision)
        return self.answer({})

    async def control_switch(self, request: Request) -> Response:
        """Sets the fault switches given in the request."""
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return self.answer({})

    def answer(self, content: dict[str, Any], status: int = 200) -> Response:
        """Returns a JSON response that includes the store's revision."""
        return JSONResponse({"store-revision": self.values.state.revision, **content}, status)

    async def run_lease_expiry(self) -> None:
        """Periodically revokes expired leases until cancelled."""
        while True:
            await anyio.sleep(LEASE_CHECK_INTERVAL_S)
            self.values.expire_leases()


def encode_entry(stored: StoredValue) -> dict[str, Any]:
    """Encodes a value or a deletion in the service's format."""
    if stored.value is None:
        return {"key": stored.key.decode(), "rev": stored.mod_revision, "deleted": True}
    return {
        "key": stored.key.decode(),
        "value": b64encode(stored.value).decode(),
        "rev": stored.mod_revision,
        "created": stored.create_revision,
        "lease": stored.lease_id,
    }


async def run(port: int) -> None:
    """Serves until killed."""
    store = PlatformStoreStandin()
    routes = [
        Route("/-/kv-key", store.get_key, methods=["GET"]),
        Route("/-/kv-range", store.get_range, methods=["GET"]),
        Route("/-/kv-watch", store.watch, methods=["GET"]),
        Route("/-/kv-txn", store.run_transaction, methods=["POST"]),
        Route("/-/kv-lease", store.create_lease, methods=["POST"]),
        Route("/-/kv-keep/{lease}", store.extend_lease, methods=["POST"]),
        Route("/control/put", store.control_put, methods=["POST"]),
        Route("/control/remove", store.control_remove, methods=["POST"]),
        Route("/control/compact", store.control_compact, methods=["POST"]),
        Route("/control/switch", store.control_switch, methods=["POST"]),
    ]
    listener = open_listener("127.0.0.1", port)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(store.run_lease_expiry)
        announce(port=port_of(listener))
        await serve_app(Starlette(routes=routes), listener)


def main() -> None:
    """Runs the stand-in."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    anyio.run(run, parser.parse_args().port)


if __name__ == "__main__":
    main()
