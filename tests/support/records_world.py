"""The records' part of several daemons in one event loop, connected by a network in memory."""

from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from random import Random
from typing import Any

import anyio
from anyio.from_thread import start_blocking_portal

from berylproxy.models import DaemonIdentity
from berylproxy.peers.membership import Member, MemberStatus, PeerUnreachableError
from berylproxy.records.editor import EditTimeouts, RecordEditor
from berylproxy.records.envelope import CREATION_MARKER_KEY, Envelope, encode_envelope, make_key
from berylproxy.records.errors import RecordError
from berylproxy.records.messages import FetchRecords
from berylproxy.records.models import Configuration
from berylproxy.records.spread import CONFIG_PART, RecordReplicator, ReplicationLimits
from berylproxy.records.view import RecordView
from berylproxy.records.watcher import RecordWatcher, WatchTimings
from tests.support.memory_store import MemoryStore

STEP_TIMEOUT_S = 60
POOL = {"schema_version": 1}
ENDPOINT_V1 = {
    "schema_version": 1,
    "pool": "oak",
    "url": "http://10.0.3.7:8080",
    "slots": 8,
    "connections": 64,
    "owner": "savinja",
    "failure_domain": "north",
}
ENDPOINT_V2 = {
    "schema_version": 2,
    "pool": "oak",
    "url": "http://10.0.3.7:8080",
    "takes": {"slots": 8, "connections": 64, "memory_mb": 512, "accelerators": 0},
    "owner": "savinja",
    "cost_bearer": "orar",
    "failure_domain": "north",
}
SERVICE = {
    "schema_version": 1,
    "pools": ["oak"],
    "timeout_s": 30,
    "run_time_s": 0.2,
    "max_run_time_s": 10,
    "max_body_bytes": 65536,
}
TEAM = {"schema_version": 1, "max_running_tasks": 100, "max_waiting_tasks": 1000}
TEMPLATES = {
    "pool": ("pools", POOL),
    "endpoint": ("endpoints", ENDPOINT_V1),
    "endpoint v2": ("endpoints", ENDPOINT_V2),
    "service": ("services", SERVICE),
    "team": ("teams", TEAM),
    "failure domain": ("failure-domains", {"schema_version": 1, "evacuated": True}),
}


class MemoryNetwork:
    """Implements :class:`berylproxy.peers.membership.PeerNetwork` for one daemon.

    :ivar lost_notifications: how many of the next notifications are dropped.
    :ivar is_isolated: whether the daemon sees no other daemons.
    """

    def __init__(self, cluster: "RecordsCluster", name: str) -> None:
        self._cluster = cluster
        self._name = name
        self.lost_notifications = 0
        self.is_isolated = False

    def members(self) -> list[Member]:
        if self.is_isolated:
            return []
        others = [daemon for name, daemon in self._cluster.daemons.items() if name != self._name]
        return [daemon.describe() for daemon in others]

    async def request(self, incarnation: str, message: Any, timeout_s: float) -> Any:
        await anyio.lowlevel.checkpoint()
        if incarnation not in self._cluster.daemons:
            raise PeerUnreachableError("no stream")
        assert isinstance(message, FetchRecords)
        self._cluster.requests.append(message)
        if self._cluster.wrong_reply is not None:
            return self._cluster.wrong_reply
        reply = self._cluster.daemons[incarnation].replicator.handle_fetch(message)
        self._cluster.replies.append(reply)
        return reply

    def notify(self, incarnation: str, message: Any) -> None:
        if self.lost_notifications:
            self.lost_notifications -= 1
        else:
            self._cluster.daemons[incarnation].replicator.handle_accepted(message)


class RecordsDaemon:
    """The records' part of one daemon; its name also serves as its incarnation."""

    def __init__(self, cluster: "RecordsCluster", name: str) -> None:
        self.name = name
        self.view = RecordView()
        self.network = MemoryNetwork(cluster, name)
        self.watcher = RecordWatcher(
            cluster.store,
            self.view,
            Random(1),
            timings=WatchTimings(
                wait_s=0.2, min_interval_s=0, first_delay_s=0.01, max_delay_s=0.05
            ),
        )
        self.replicator = RecordReplicator(
            self.view,
            self.network,
            Random(2),
            limits=ReplicationLimits(
                check_interval_s=0.01, source_timeout_s=0.05, max_chunk_bytes=2_000
            ),
        )
        self.editor = RecordEditor(
            cluster.store,
            self.view,
            self.replicator,
            lambda: self.watcher.accepts_writes,
            timeouts=EditTimeouts(outcome_timeout_s=0.3, read_back_interval_s=0.01),
            new_change_id=lambda: f"change-of-{name}",
        )

    def describe(self) -> Member:
        identity = DaemonIdentity(self.name, self.name, "north", "127.0.0.1:1")
        heartbeat = {CONFIG_PART: self.replicator.make_heartbeat_part()}
        return Member(identity, MemberStatus.ALIVE, True, heartbeat)


class RecordsCluster:
    """A store, daemons and the event loop that they run in.

    :ivar wrong_reply: the reply to every request between daemons; ``None`` for the correct one.
    """

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.store.never_lost_key = CREATION_MARKER_KEY
        self.daemons: dict[str, RecordsDaemon] = {}
        self.requests: list[Any] = []
        self.replies: list[Any] = []
        self.wrong_reply: Any = None
        self._stack = ExitStack()
        self._portal = self._stack.enter_context(start_blocking_portal())
        self._tasks: list[tuple[str, Any]] = []

    def close(self) -> None:
        """Stops all daemons and the event loop."""
        for name in list(self.daemons):
            self.stop_daemon(name)
        self._stack.close()

    def stop_daemon(self, name: str) -> None:
        """Stops a daemon and removes it from the network."""
        for owner, task in self._tasks:
            if owner == name:
                task.cancel()
        del self.daemons[name]

    def run(self, function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
        """Runs a coroutine function in the event loop with a timeout."""

        async def bounded() -> Any:
            with anyio.fail_after(STEP_TIMEOUT_S):
                return await function(*arguments)

        return self._portal.call(bounded)

    def add_daemon(self, name: str, *, follows_store: bool = True, replicates: bool = True) -> None:
        """Adds a daemon and starts its watcher and its replication, unless switched off."""
        self.daemons[name] = self._portal.call(RecordsDaemon, self, name)
        if follows_store:
            self._start(name, self.daemons[name].watcher.run)
        if replicates:
            self._start(name, self.daemons[name].replicator.run)

    def _start(self, name: str, function: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append((name, self._portal.start_task_soon(function)))

    def write(self, kind: str, name: str, raw: Any, expected_revision: int = 0) -> int:
        """Writes a record into the store without a daemon; ``None`` deletes it."""
        key = make_key(kind, name)
        envelope = Envelope("change-of-other", expected_revision, raw)
        value = b"" if raw is None else encode_envelope(envelope)
        return self.call(self.store.write, key, value, expected_revision)

    def put(self, daemon: str, kind: str, name: str, raw: Any, expected_revision: int = 0) -> int:
        """Applies a record at one daemon, as an operator does."""
        editor = self.daemons[daemon].editor
        return self.run(editor.put, kind, name, raw, expected_revision)

    def wait_until(self, daemon: str, accepts: Callable[[Configuration], bool]) -> None:
        """Waits until a daemon's configuration satisfies a condition."""

        async def wait() -> None:
            satisfied = anyio.Event()
            view = self.daemons[daemon].view
            view.subscribe(lambda configuration: accepts(configuration) and satisfied.set())
            await satisfied.wait()

        self.run(wait)

    def call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Calls a plain function in the event loop."""
        return self._portal.call(function, *arguments)


def attempt(context: Any, function: Callable[..., Any], *arguments: Any) -> None:
    """Calls a function and stores its result or its record error in the context."""
    context.result = context.error = None
    try:
        context.result = function(*arguments)
    except RecordError as error:
        context.error = error
