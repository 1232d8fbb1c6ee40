"""Stand-in for the platform's metadata store, after PROTOCOL.md.

It has a listening address for each daemon, so that a case can turn one away.
"""

import asyncio
import json
from base64 import b64decode, b64encode
from contextlib import suppress
from random import random, uniform
from time import monotonic
from typing import Any

from review.support_3.wire import Answer, Request, Server

PAGE_ITEMS = 500
LATENCY_S = 0.004
SLOW_LATENCY_S = 0.24
LOST_SHARE = 0.3
LATE_S = (1.0, 6.0)  # after which a write that wasn't answered is carried out


class Store:
    """The items, leases and history; each change has the next revision.

    :ivar modes: by daemon: ``busy`` answers 503, ``silent`` not at all, ``slow`` after a
        while; of some writes, ``lost`` loses the answer, and ``late`` carries them out later, too.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.modes: dict[str, str] = {}
        self.servers: dict[str, Server] = {}
        self._late: set[asyncio.Task[None]] = set()
        self._compacted = 0
        self._changed = asyncio.Event()

    async def listen(self, daemon: str) -> str:
        """Returns the address at which a daemon reaches the store."""
        if daemon not in self.servers:
            server = Server(lambda request: self._answer(daemon, request))
            await server.start()
            self.servers[daemon] = server
        return self.servers[daemon].address

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Writes a value, JSON unless it is bytes, at a new revision."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._set(key, b64encode(content).decode(), lease)
        return self.revision

    def remove(self, *keys: str) -> None:
        """Removes keys at a new revision."""
        self.revision += 1
        self._delete(keys)

    def compact(self) -> None:
        """Drops the history: watches of former revisions are answered with 410."""
        self._compacted, self.history = self.revision, []
        self._notify()

    async def run(self) -> None:
        """Ends leases in time."""
        while True:
            await asyncio.sleep(0.05)
            now_s = monotonic()
            for lease, (_, end_s) in list(self.leases.items()):
                if now_s >= end_s:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.remove(*keys)

    def _set(self, key: str, value: str, lease: int) -> None:
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "rev": self.revision, "created": created}
        self.items[key] = item | {"lease": lease}
        self._note(self.items[key])

    def _delete(self, keys: tuple[str, ...]) -> None:
        for key in keys:
            if self.items.pop(key, None) is not None:
                self._note({"key": key, "rev": self.revision, "deleted": True})

    def _note(self, event: dict[str, Any]) -> None:
        self.history.append((self.revision, event))
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _answer(self, daemon: str, request: Request) -> Answer | None:
        mode = self.modes.get(daemon, "")
        if mode == "busy":
            return 503, {}
        if mode == "silent":
            return None
        if mode in ("lost", "late") and request.path == "/-/kv-txn" and random() < LOST_SHARE:
            if mode == "late":
                self._late.add(asyncio.create_task(self._handle_late(request)))
            else:
                await self._handle(request)
            return None
        await asyncio.sleep(SLOW_LATENCY_S if mode == "slow" else LATENCY_S)
        status, content = await self._handle(request)
        return status, {"store-revision": self.revision, **content}

    async def _handle_late(self, request: Request) -> None:
        await asyncio.sleep(uniform(*LATE_S))
        await self._handle(request)

    async def _handle(self, request: Request) -> Answer:
        query = request.query
        if request.path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if request.path == "/-/kv-range":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query["prefix"]) and k > query.get("after", "")
            )
            items = [self.items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {"items": items, "more-pages": len(keys) > PAGE_ITEMS}
        if request.path == "/-/kv-watch":
            return await self._watch(query)
        if request.path == "/-/kv-txn":
            return self._commit(request.body)
        if request.path == "/-/kv-lease":
            ttl_ms = request.body["ttl-ms"]
            lease = len(self.leases) + self.revision * 1000
            self.leases[lease] = (ttl_ms / 1000, monotonic() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl_ms}
        lease = int(request.path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if request.path.startswith("/-/kv-keep/"):
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, monotonic() + ttl_s)
            return 200, {"ttl-ms": int(ttl_s * 1000)}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> Answer:
        end_s = monotonic() + int(query["wait-ms"]) / 1000
        after = int(query["after"])
        while True:
            changed = self._changed
            if after < self._compacted:
                return 410, {}
            events = [
                event
                for revision, event in self.history
                if revision > after and event["key"].startswith(query["prefix"])
            ]
            if events or monotonic() >= end_s:
                return 200, {"events": events}
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), end_s - monotonic())

    def _commit(self, body: dict[str, Any]) -> Answer:
        expected = body.get("expect") or []
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        for row in expected:
            item = current[row["key"]]
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item for item in current.values() if item]}
        rows, removed = body.get("set-keys") or [], body.get("remove") or []
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in rows):
            return 404, {}
        self.revision += 1
        for row in rows:
            self._set(row["key"], row["value"], row.get("lease", 0))
        self._delete(tuple(removed))
        return 200, {"rev": self.revision}


def decode_value(item: dict[str, Any]) -> bytes:
    """Returns the value of an item."""
    return b64decode(item["value"])
