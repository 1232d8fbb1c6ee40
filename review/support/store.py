"""Stand-in for the platform's metadata store, by PROTOCOL.md.

Each daemon gets a port of its own, so that the store can turn single machines away.
"""

import asyncio
from base64 import b64decode, b64encode
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from time import monotonic
from typing import Any

from support.record import Record
from support.wire import Answer, NoAnswerError, Request, ResetError, Server

ANSWER_S = 0.004
MAX_ITEMS = 500
MAX_ENTRIES = 32
LEASE_CHECK_S = 0.05
RESERVED_PREFIXES = ("op/", "servers/")


class BusyError(Exception):
    """The store answers 503 and does nothing."""


@dataclass(frozen=True, slots=True)
class Item:
    """A stored value."""

    key: str
    value: bytes
    rev: int
    created: int
    lease: int


@dataclass(slots=True)
class Lost:
    """Writes of which a share gets no answer.

    :param share: share of the writes, which is never exceeded.
    :param late_s: shortest and longest delay after which such a write is carried out, if its
        condition still holds.
    :ivar writes: writes so far.
    :ivar unanswered: those that got no answer.
    """

    share: float
    late_s: tuple[float, float]
    random: Random
    writes: int = 0
    unanswered: int = 0

    def chooses_next(self) -> bool:
        """Counts a write, and returns whether it gets no answer."""
        self.writes += 1
        is_chosen = self.random.random() < self.share
        if not is_chosen or self.unanswered + 1 > self.share * self.writes:
            return False
        self.unanswered += 1
        return True


class Store:
    """The store and its faults.

    :ivar down: how calls of a daemon (all, under the empty name) are treated: ``silent``, ``busy``
        or ``reset``.
    :ivar lost: which writes get no answer; ``None`` for none.
    :ivar last_writer: name of the daemon that last wrote under a condition.
    """

    def __init__(self, record: Record) -> None:
        self.down: dict[str, str] = {}
        self.lost: Lost | None = None
        self.last_writer = ""
        self._record = record
        self._items: dict[str, Item] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 7000
        self._rev = 1
        self._changed = asyncio.Event()
        self._servers: list[Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, daemon: str) -> int:
        """Opens a port for a daemon and returns it."""
        server = Server(lambda request: self._handle_or_refuse(daemon, request))
        await server.start()
        self._servers.append(server)
        return server.port

    def close(self) -> None:
        """Stops serving."""
        for server in self._servers:
            server.stop()
        for task in self._tasks:
            task.cancel()

    def put(self, key: str, value: bytes) -> None:
        """Writes a key for the operator or a runner."""
        self._rev += 1
        self._set(key, value, 0)

    def remove(self, key: str) -> None:
        """Removes a key for the operator or a runner."""
        if key in self._items:
            self._rev += 1
            self._delete(key)

    def keys(self, prefix: str) -> list[str]:
        """Lists the keys under a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    async def expire_leases(self) -> None:
        """Ends leases whose time is over, until cancelled; they pause while the store is down."""
        last_s = monotonic()
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now_s = monotonic()
            if "" in self.down:
                for lease, (ttl_s, end_s) in self._leases.items():
                    self._leases[lease] = (ttl_s, end_s + now_s - last_s)
            last_s = now_s
            for lease in [n for n, (_, end_s) in self._leases.items() if end_s <= now_s]:
                self._end_lease(lease)

    async def _handle_or_refuse(self, daemon: str, request: Request) -> Answer:
        try:
            return await self._handle(daemon, request)
        except BusyError:
            return Answer(503)

    async def _handle(self, daemon: str, request: Request) -> Answer:
        await asyncio.sleep(ANSWER_S)
        self._fail_if_down(daemon)
        if request.path == "/-/kv-txn":
            self._lose(request.body)
            if request.body.get("expect"):
                self.last_writer = daemon
            return self._txn(request.body)
        if request.path == "/-/kv-watch":
            return await self._watch(daemon, request.query)
        handlers: dict[str, Callable[[], Answer]] = {
            "/-/kv-key": lambda: self._key(request.query["key"]),
            "/-/kv-range": lambda: self._range(request.query),
            "/-/kv-lease": lambda: self._grant(request.body["ttl-ms"] / 1000),
        }
        if request.path in handlers:
            return handlers[request.path]()
        call, _, lease = request.path.rpartition("/")
        if call == "/-/kv-keep":
            return self._keep(int(lease))
        if call == "/-/kv-lease-end":
            self._end_lease(int(lease))
            return Answer(200)
        return Answer(404)

    def _fail_if_down(self, daemon: str) -> None:
        how = self.down.get("") or self.down.get(daemon)
        if how == "silent":
            raise NoAnswerError
        if how == "reset":
            raise ResetError
        if how == "busy":
            raise BusyError

    def _lose(self, body: dict[str, Any]) -> None:
        lost = self.lost
        if lost is None or not lost.chooses_next():
            return
        delay_s = lost.random.uniform(*lost.late_s)
        task = asyncio.get_running_loop().create_task(self._carry_out_late(body, delay_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        raise NoAnswerError

    async def _carry_out_late(self, body: dict[str, Any], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        answer = self._txn(body)
        keys = [row["key"] for row in body.get("set-keys", ())]
        self._record.note(f"store: unanswered write after {delay_s:.1f} s: {answer.status} {keys}")

    def _txn(self, body: dict[str, Any]) -> Answer:
        expect, writes = body.get("expect", []), body.get("set-keys", [])
        removals = body.get("remove", [])
        if len(expect) + len(writes) + len(removals) > MAX_ENTRIES:
            return Answer(400)
        keys = [*(row["key"] for row in writes), *removals]
        if any(key.startswith(RESERVED_PREFIXES) for key in keys):
            return Answer(403)
        current = [(row, self._items.get(row["key"])) for row in expect]
        if any((item.rev if item else 0) != row["rev"] for row, item in current):
            return self._answer({"items": [_encode(item) for _, item in current if item]}, 412)
        if any(row.get("lease", 0) not in (0, *self._leases) for row in writes):
            return Answer(404)
        self._rev += 1
        for row in writes:
            self._set(row["key"], b64decode(row["value"]), row.get("lease", 0))
        for key in removals:
            if key in self._items:
                self._delete(key)
        return self._answer({"rev": self._rev})

    def _key(self, key: str) -> Answer:
        item = self._items.get(key)
        return self._answer(_encode(item)) if item else self._answer({}, 404)

    def _range(self, query: dict[str, str]) -> Answer:
        names = [key for key in self.keys(query["prefix"]) if key > query.get("after", "")]
        items = [_encode(self._items[key]) for key in names[:MAX_ITEMS]]
        return self._answer({"items": items, "more-pages": len(names) > MAX_ITEMS})

    async def _watch(self, daemon: str, query: dict[str, str]) -> Answer:
        prefix, after = query["prefix"], int(query["after"])
        end_s = monotonic() + int(query["wait-ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = end_s - monotonic()
            if events or remaining_s <= 0:
                self._fail_if_down(daemon)
                return self._answer({"events": events})
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await changed.wait()

    def _grant(self, ttl_s: float) -> Answer:
        self._next_lease += 1
        self._leases[self._next_lease] = (ttl_s, monotonic() + ttl_s)
        return self._answer({"lease": self._next_lease, "ttl-ms": int(ttl_s * 1000)})

    def _keep(self, lease: int) -> Answer:
        if lease not in self._leases:
            return Answer(404)
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, monotonic() + ttl_s)
        return self._answer({"ttl-ms": int(ttl_s * 1000)})

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [item.key for item in self._items.values() if item.lease == lease]
        if keys:
            self._rev += 1
        for key in keys:
            self._delete(key)

    def _set(self, key: str, value: bytes, lease: int) -> None:
        former = self._items.get(key)
        created = former.created if former else self._rev
        item = self._items[key] = Item(key, value, self._rev, created, lease)
        self._note_change(_encode(item))

    def _delete(self, key: str) -> None:
        del self._items[key]
        self._note_change({"key": key, "rev": self._rev, "deleted": True})

    def _note_change(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _answer(self, content: dict[str, Any], status: int = 200) -> Answer:
        return Answer(status, {"store-revision": self._rev, **content})


def _encode(item: Item) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": b64encode(item.value).decode(),
        "rev": item.rev,
        "created": item.created,
        "lease": item.lease,
    }
