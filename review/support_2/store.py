"""Stand-in for the platform's store.

Everything under ``/standin/`` is for the operator, the runners and the test.
"""

import asyncio
import sys
from base64 import b64encode
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from review.support_2.http import Request, start_server

ANSWER_S = 0.004
PAGE_ITEMS = 500
TRANSACTION_ENTRIES = 32
WATCH_CHECK_S = 0.02
LEASE_CHECK_S = 0.1
OPERATOR_PREFIXES = ("op/", "servers/")

Item = dict[str, Any]


@dataclass
class Store:
    """The keys, their history and the leases.

    :ivar leases: time to live in seconds and monotonic time of the end, by lease.
    :ivar refuses_all: whether each call of a daemon gets 503.
    """

    revision: int = 10
    items: dict[str, Item] = field(default_factory=dict)
    history: list[Item] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    entry_ends_s: dict[str, float] = field(default_factory=dict)
    next_lease: int = 7000
    refuses_all: bool = False

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Writes a key at the present revision."""
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "rev": self.revision, "created": created}
        self.items[key] = item | {"lease": lease}
        self.history.append(self.items[key])

    def remove(self, key: str) -> None:
        """Removes a key, if it exists, at the present revision."""
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "rev": self.revision, "deleted": True})

    async def handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        """Serves a call."""
        if request.path.startswith("/standin/"):
            return 200, self.serve_test(request)
        if self.refuses_all:
            return 503, {}
        if request.path == "/-/kv-watch":
            return await self.watch(request.query)
        await asyncio.sleep(ANSWER_S)
        status, content = self.serve(request)
        return status, content | {"store-revision": self.revision}

    def serve(self, request: Request) -> tuple[int, dict[str, Any]]:
        """Serves a call that is answered at once."""
        path, query, body = request.path, request.query, request.body
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item is not None else (404, {})
        if path == "/-/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {"items": items, "more-pages": len(keys) > PAGE_ITEMS}
        if path == "/-/kv-txn":
            return self.run_transaction(body)
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl_s = body["ttl-ms"] / 1000
            self.leases[self.next_lease] = ttl_s, monotonic() + ttl_s
            return 200, {"lease": self.next_lease, "ttl-ms": body["ttl-ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            ttl_s, _ = self.leases[lease]
            self.leases[lease] = ttl_s, monotonic() + ttl_s
            return 200, {"ttl-ms": int(ttl_s * 1000)}
        self.end_lease(lease)
        return 200, {}

    def run_transaction(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Makes all changes of a transaction, or none."""
        expected, written, removed = body["expect"], body["set-keys"], body["remove"]
        if len(expected) + len(written) + len(removed) > TRANSACTION_ENTRIES:
            return 400, {}
        current = [(row, self.items.get(row["key"])) for row in expected]
        if any((item["rev"] if item else 0) != row["rev"] for row, item in current):
            return 412, {"items": [item for _, item in current if item]}
        if any(row.get("lease", 0) not in (0, *self.leases) for row in written):
            return 404, {}
        keys = [*(row["key"] for row in written), *removed]
        if any(key.startswith(OPERATOR_PREFIXES) for key in keys):
            return 403, {}
        self.revision += 1
        for row in written:
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in removed:
            self.remove(key)
        return 200, {"rev": self.revision}

    async def watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Answers as soon as there is a change after a revision, or when the wait is over."""
        prefix, after = query["prefix"], int(query["after"])
        end_s = monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = []
            for item in reversed(self.history):
                if item["rev"] <= after:
                    break
                if item["key"].startswith(prefix):
                    events.append(item)
            if events or monotonic() >= end_s:
                return 200, {"events": events[::-1], "store-revision": self.revision}
            await asyncio.sleep(WATCH_CHECK_S)

    def serve_test(self, request: Request) -> dict[str, Any]:
        """Serves the operator, the runners and the test."""
        body = request.body
        if request.path == "/standin/put":
            self.revision += 1
            self.put(body["key"], b64encode(body["text"].encode()).decode())
            if "ttl-s" in body:  # a runner's entry, which is removed after a silence
                self.entry_ends_s[body["key"]] = monotonic() + body["ttl-s"]
        elif request.path == "/standin/switch":
            self.refuses_all = body["refuses-all"]
        return {"items": self.items if request.path == "/standin/items" else {}}

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        del self.leases[lease]
        self.revision += 1
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def expire(self) -> None:
        """Ends leases and entries whose time is over."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now_s = monotonic()
            for lease, (_, end_s) in list(self.leases.items()):
                if now_s >= end_s:
                    self.end_lease(lease)
            for key, end_s in list(self.entry_ends_s.items()):
                if now_s >= end_s:
                    del self.entry_ends_s[key]
                    self.revision += 1
                    self.remove(key)


async def run(port: int) -> None:
    """Serves until killed."""
    store = Store()
    await start_server("127.0.0.1", port, store.handle)
    await store.expire()


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1])))
