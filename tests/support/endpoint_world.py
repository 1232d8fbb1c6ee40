"""Endpoints and a transactional store in memory, for tests of the holder."""

from dataclasses import dataclass, field
from time import monotonic

from anyio import Event, move_on_after, sleep

from berylproxy.durable.models import (
    EndedRun,
    EndKind,
    EndpointFacts,
    EndpointLife,
    EndpointReport,
    Needs,
    RunningTask,
    TaskName,
)
from berylproxy.durable.ports import (
    EndpointCallError,
    FencedOffError,
    StartOrder,
    StartOutcome,
    Transaction,
    TransactionConflictError,
)
from berylproxy.store.port import Entry, StoreUnavailableError

LEASE_S = 1.0


@dataclass
class FakeRun:
    """A run at a fake endpoint."""

    name: TaskName
    run: int
    ends_s: float


@dataclass
class FakeEndpoint:
    """An endpoint's state, shared by all holders that call it.

    :ivar cut_fences: calls under these fences get no answer and have no effect.
    :ivar lost_starts: how many of the next starts take effect without an answer.
    :ivar late_starts: how many of the next starts take effect later, without an answer.
    :ivar kinds: how the runs of a job end, by its identifier; done unless named.
    """

    facts: EndpointFacts
    run_time_s: float = 0.05
    cut_fences: set = field(default_factory=set)
    lost_starts: int = 0
    late_starts: int = 0
    late_by_s: float = 0.3
    fence: int = 0
    lease_s: float = 0.0
    running: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    refused: dict = field(default_factory=dict)
    ends: int = 0
    history: list = field(default_factory=list)
    kinds: dict = field(default_factory=dict)
    changed: Event = field(default_factory=Event)

    def settle(self) -> None:
        """Ends what is over by now."""
        now_s = monotonic()
        for key, run in list(self.running.items()):
            if now_s >= self.lease_s and run.ends_s > self.lease_s:
                self.end(key, EndKind.LAPSED, self.lease_s)
            elif now_s >= run.ends_s:
                kind = self.kinds.get(run.name.job_id, EndKind.DONE)
                self.end(key, kind, run.ends_s)

    def end(self, key: tuple, kind: EndKind, at_s: float) -> None:
        """Ends one run."""
        run = self.running.pop(key)
        self.ends += 1
        self.ended.append(EndedRun(self.ends, run.name, run.run, kind, ""))
        self.refused[run.name] = max(self.refused.get(run.name, 0), run.run)
        self.history.append((at_s, kind.value, run.name, run.run))
        self.changed.set()
        self.changed = Event()

    def start(self, order: StartOrder, until_s: float) -> StartOutcome:
        """Starts a task, or says why not."""
        self.settle()
        if order.fence < self.fence:
            return StartOutcome.FENCED_OFF
        self.fence = order.fence
        if (order.name, order.run) in self.running:
            return StartOutcome.STARTED
        if order.run <= self.refused.get(order.name, 0):
            return StartOutcome.RUN_TOO_OLD
        if monotonic() > until_s:
            return StartOutcome.TOO_LATE
        self.lease_s = max(self.lease_s, until_s)
        self.refused[order.name] = order.run
        run = FakeRun(order.name, order.run, monotonic() + self.run_time_s)
        self.running[order.name, order.run] = run
        self.history.append((monotonic(), "start", order.name, order.run))
        return StartOutcome.STARTED


class FakeEndpointCalls:
    """Implements the calls of one holder to a fake endpoint."""

    def __init__(self, endpoint: FakeEndpoint) -> None:
        self.endpoint = endpoint
        self._granted_s = 0.0

    def lease_end_s(self) -> float:
        """Monotonic time after which nothing granted so far runs any more."""
        return self._granted_s + 0.01

    async def start(self, order: StartOrder) -> StartOutcome:
        """Orders the start of a task."""
        endpoint = self.endpoint
        await sleep(0.001)
        self._granted_s = monotonic() + LEASE_S
        if order.fence in endpoint.cut_fences:
            return StartOutcome.UNKNOWN
        if endpoint.late_starts:
            endpoint.late_starts -= 1
            await sleep(endpoint.late_by_s)
            endpoint.start(order, self._granted_s)
            return StartOutcome.UNKNOWN
        outcome = endpoint.start(order, self._granted_s)
        if endpoint.lost_starts:
            endpoint.lost_starts -= 1
            return StartOutcome.UNKNOWN
        return outcome

    async def stop(self, name: TaskName, run: int, fence: int) -> None:
        """Stops a run, also one that has yet to arrive."""
        await sleep(0.001)
        self._check(fence)
        self.endpoint.refused[name] = max(self.endpoint.refused.get(name, 0), run)
        if (name, run) in self.endpoint.running:
            self.endpoint.end((name, run), EndKind.STOPPED, monotonic())

    async def renew(
        self, fence: int, acknowledged: int, wait_s: float, *, extend: bool
    ) -> EndpointReport:
        """Asks for what runs and what has ended."""
        sent_s = monotonic()
        await sleep(0.001)
        self._check(fence)
        endpoint = self.endpoint
        if extend:
            self._granted_s = monotonic() + LEASE_S
            endpoint.lease_s = max(endpoint.lease_s, self._granted_s)
        endpoint.ended = [end for end in endpoint.ended if end.number > acknowledged]
        until_s = monotonic() + wait_s
        while not endpoint.ended and monotonic() < until_s:
            with move_on_after(0.005):
                await endpoint.changed.wait()
            endpoint.settle()
        self._check(fence)
        running = [RunningTask(r.name, r.run, "", 50) for r in endpoint.running.values()]
        return EndpointReport(0, sent_s, tuple(running), tuple(endpoint.ended))

    async def close(self) -> None:
        """Has nothing to close."""

    def _check(self, fence: int) -> None:
        self.endpoint.settle()
        if fence in self.endpoint.cut_fences:
            raise EndpointCallError("cut off")
        if fence < self.endpoint.fence:
            raise FencedOffError("a higher fence is known")
        self.endpoint.fence = fence


class FakeDirectory:
    """Implements the list of endpoints."""

    def __init__(self, endpoints: list[FakeEndpoint]) -> None:
        self.endpoints = endpoints

    async def fetch(self) -> tuple[EndpointFacts, ...]:
        """Reads the list."""
        return tuple(endpoint.facts for endpoint in self.endpoints)

    def connect(self, facts: EndpointFacts) -> FakeEndpointCalls:
        """Makes the calls to an endpoint."""
        return FakeEndpointCalls(next(e for e in self.endpoints if e.facts.life == facts.life))


class FakeJobStore:
    """Implements the transactional store.

    :ivar is_out: every call fails and nothing is done.
    :ivar lost_answers: how many of the next commits take effect without an answer.
    """

    max_entries = 32

    def __init__(self) -> None:
        self.is_out = False
        self.lost_answers = 0
        self.revision = 10
        self.entries: dict[str, Entry] = {}
        self.commits = 0

    async def commit(self, transaction: Transaction) -> int:
        """Makes the changes and returns their revision."""
        await sleep(0.001)
        if self.is_out:
            raise StoreUnavailableError("out")
        present = {
            key: self.entries[key].revision if key in self.entries else 0
            for key, _ in transaction.expected
        }
        if any(present[key] != revision for key, revision in transaction.expected):
            raise TransactionConflictError("conflict", present)
        self.revision += 1
        self.commits += 1
        for key, value in transaction.written:
            self.entries[key] = Entry(key, value, self.revision)
        for key in transaction.removed:
            self.entries.pop(key, None)
        if self.lost_answers:
            self.lost_answers -= 1
            await sleep(30)
        return self.revision

    async def get(self, key: str) -> Entry | None:
        """Reads one key."""
        await sleep(0.001)
        if self.is_out:
            raise StoreUnavailableError("out")
        return self.entries.get(key)

    async def list_page(self, prefix: str, after_key: str) -> tuple[tuple[Entry, ...], bool]:
        """Reads all entries below a prefix."""
        await sleep(0.001)
        if self.is_out:
            raise StoreUnavailableError("out")
        found = sorted(key for key in self.entries if key.startswith(prefix) and key > after_key)
        return tuple(self.entries[key] for key in found), False


def make_endpoint(name: str, cores: int = 64) -> FakeEndpoint:
    """Makes an endpoint of some size."""
    life = EndpointLife(name, 0)
    capacity = Needs(cores * 1000, 128_000)
    return FakeEndpoint(EndpointFacts(life, "ledger", f"{name}:1", "a", capacity))
