"""Endpoints and a transactional store in memory, for tests of the holder."""

from collections import Counter
from time import monotonic

from anyio import move_on_after, sleep

from berylproxy.durable.jobs.models import (
    CompleteReport,
    EndpointInfo,
    EndpointInstance,
    EndpointReport,
    Resources,
    RunningTask,
    TaskName,
)
from berylproxy.durable.jobs.ports import (
    EndpointCallError,
    EndpointRefusedError,
    FencedOffError,
    OtherInstanceError,
    StartOrder,
    StartOutcome,
    Transaction,
    TransactionConflictError,
)
from berylproxy.store.port import Entry, StoreOutcomeUnknownError, StoreUnavailableError
from standins.runner_model import RunnerModel

LEASE_S = 1.0
CALL_TIMEOUT_S = 0.25
FIRST_BORN_MS = 1_000


class FakeEndpointClient:
    """Implements a holder's client of a fake endpoint."""

    def __init__(self, endpoint: RunnerModel, instance: EndpointInstance) -> None:
        self.endpoint = endpoint
        self.instance = instance
        self.renewals = 0
        self._lease_end_s = 0.0

    def lease_end_s(self) -> float:
        """Returns the monotonic time after which all granted leases have lapsed."""
        return self._lease_end_s + 0.01

    async def start(self, order: StartOrder) -> StartOutcome:
        """Sends an order to start a task."""
        endpoint = self.endpoint
        await sleep(0.001)
        self._lease_end_s = monotonic() + LEASE_S
        if order.fence in endpoint.cut_fences:
            return StartOutcome.UNKNOWN
        if endpoint.late_starts:
            endpoint.late_starts -= 1
            await sleep(endpoint.late_by_s)
            endpoint.start(order, self._lease_end_s)
            return StartOutcome.UNKNOWN
        if endpoint.is_down and endpoint.is_silent_when_down:
            await sleep(CALL_TIMEOUT_S)
            return StartOutcome.UNKNOWN
        if self._is_rejected():
            return StartOutcome.OTHER_INSTANCE
        if endpoint.crashing_starts:
            endpoint.crashing_starts -= 1
            endpoint.crash()
            await sleep(endpoint.late_answer_s)
            return StartOutcome.UNKNOWN
        outcome = endpoint.start(order, self._lease_end_s)
        if endpoint.lost_starts:
            endpoint.lost_starts -= 1
            return StartOutcome.UNKNOWN
        await sleep(endpoint.late_answer_s)
        return outcome

    async def stop(self, name: TaskName, run: int, fence: int) -> None:
        """Stops a run, also one whose start order has not arrived yet."""
        await sleep(0.001)
        await self._lose("stop", 0.0)
        self._check(fence)
        self.endpoint.stop(name, run)

    async def renew(
        self, fence: int, acknowledged: int, wait_s: float, *, extend: bool
    ) -> EndpointReport:
        """Requests a report of active and ended runs."""
        sent_s = monotonic()
        self.renewals += 1
        if extend:
            self._lease_end_s = sent_s + LEASE_S  # the request may arrive even if no answer does
        await sleep(0.001)
        await self._lose("renew", wait_s)
        self._check(fence)
        endpoint = self.endpoint
        if extend:
            endpoint.extend_lease(self._lease_end_s)
        endpoint.acknowledge(acknowledged)
        born_ms = endpoint.info.instance.born_ms
        until_s = monotonic() + wait_s
        while not endpoint.ended and monotonic() < until_s:
            with move_on_after(0.005):
                await endpoint.changed.wait()
            endpoint.end_due_runs()
        self._check(fence)
        if endpoint.info.instance.born_ms != born_ms:
            raise EndpointCallError("the connection was reset")
        running = [RunningTask(r.name, r.run, "", r.percent()) for r in endpoint.running.values()]
        ended = endpoint.list_ends()
        if endpoint.has_unreadable_rows:
            return EndpointReport(born_ms, sent_s, (), (), len(running) + len(ended))
        report_type = CompleteReport if len(ended) < endpoint.max_listed_ends else EndpointReport
        return report_type(born_ms, sent_s, tuple(running), tuple(ended))

    async def close(self) -> None:
        """Does nothing: there are no connections."""

    async def _lose(self, kind: str, wait_s: float) -> None:
        if kind in self.endpoint.lost_calls:
            await sleep(wait_s + CALL_TIMEOUT_S)
            raise EndpointCallError("no answer")

    def _is_rejected(self) -> bool:
        endpoint = self.endpoint
        if endpoint.is_down or not endpoint.rejects_former:
            return False
        return endpoint.info.instance != self.instance

    def _check(self, fence: int) -> None:
        self.endpoint.end_due_runs()
        if self.endpoint.refused_calls:
            self.endpoint.refused_calls -= 1
            raise EndpointRefusedError("the connection was refused")
        if fence in self.endpoint.cut_fences:
            raise EndpointCallError("cut off")
        if self.endpoint.is_down:
            if self.endpoint.is_silent_when_down:
                raise EndpointCallError("no answer")
            raise EndpointRefusedError("the connection was refused")
        if self._is_rejected():
            raise OtherInstanceError("another instance answered")
        if fence < self.endpoint.fence:
            raise FencedOffError("a higher fence is known")
        self.endpoint.fence = fence


class FakeDirectory:
    """Implements the platform's list of endpoints.

    :ivar max_listed_ends: what the holder is told of the endpoints' reports.
    """

    max_listed_ends = 499

    def __init__(self, endpoints: list[RunnerModel]) -> None:
        self.endpoints = endpoints
        self.delay_s = 0.0
        self.outdated_list: tuple[EndpointInfo, ...] | None = None
        self.clients: list[FakeEndpointClient] = []

    async def fetch(self) -> tuple[EndpointInfo, ...]:
        """Reads the list."""
        await sleep(self.delay_s)
        if self.outdated_list is not None:
            return self.outdated_list
        for endpoint in self.endpoints:
            endpoint.end_due_runs()
        return tuple(endpoint.info for endpoint in self.endpoints if not endpoint.is_down)

    def connect(self, info: EndpointInfo) -> FakeEndpointClient:
        """Creates the client of an endpoint."""
        endpoint = next(e for e in self.endpoints if e.info.address == info.address)
        self.clients.append(FakeEndpointClient(endpoint, info.instance))
        return self.clients[-1]


class FakeJobStore:
    """Implements the transactional store.

    :ivar is_out: whether every call fails without an effect.
    :ivar lost_answers: how many of the next commits take effect without an answer.
    :ivar page_delay_s: time that a read of several keys takes longer than usual.
    :ivar key_delays_s: time that a read of one key takes longer than usual, by key.
    :ivar commits: number of commits that took effect.
    :ivar reads: number of reads by kind: single keys, pages and stale pages.
    """

    max_entries = 32

    def __init__(self) -> None:
        self.is_out = False
        self.lost_answers = 0
        self.page_delay_s = 0.0
        self.key_delays_s: dict[str, float] = {}
        self.revision = 10
        self.entries: dict[str, Entry] = {}
        self.commits = 0
        self.reads: Counter[str] = Counter()

    async def commit(self, transaction: Transaction) -> int:
        """Applies the changes and returns their revision."""
        await sleep(0.001)
        if self.is_out:
            raise StoreUnavailableError("out")
        current = {
            key: self.entries[key].revision if key in self.entries else 0
            for key, _ in transaction.expected
        }
        if any(current[key] != revision for key, revision in transaction.expected):
            raise TransactionConflictError("conflict", current)
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
        await sleep(0.001 + self.key_delays_s.get(key, 0.0))
        self.reads["key"] += 1
        if self.is_out:
            raise StoreUnavailableError("out")
        return self.entries.get(key)

    async def list_page(
        self, prefix: str, after_key: str, *, may_be_stale: bool = False
    ) -> tuple[tuple[Entry, ...], bool]:
        """Reads all entries below a prefix."""
        await sleep(0.001 + self.page_delay_s)
        self.reads["stale page" if may_be_stale else "page"] += 1
        if self.is_out:
            raise StoreUnavailableError("out")
        found = sorted(key for key in self.entries if key.startswith(prefix) and key > after_key)
        return tuple(self.entries[key] for key in found), False


class StoreAccess:
    """One holder's access to the store that all share; the store may turn this holder away.

    :ivar silence_s: time for which each call gets no answer before it fails; 0 for none.
    """

    def __init__(self, store: FakeJobStore) -> None:
        self.max_entries = store.max_entries
        self.is_cut = False
        self.silence_s = 0.0
        self._store = store

    async def commit(self, transaction: Transaction) -> int:
        """Applies the changes and returns their revision."""
        await self._check()
        return await self._store.commit(transaction)

    async def get(self, key: str) -> Entry | None:
        """Reads one key."""
        await self._check()
        return await self._store.get(key)

    async def list_page(
        self, prefix: str, after_key: str, *, may_be_stale: bool = False
    ) -> tuple[tuple[Entry, ...], bool]:
        """Reads all entries below a prefix."""
        await self._check()
        return await self._store.list_page(prefix, after_key, may_be_stale=may_be_stale)

    async def _check(self) -> None:
        if self.is_cut:
            raise StoreUnavailableError("turned away")
        if self.silence_s:
            await sleep(self.silence_s)
            raise StoreOutcomeUnknownError("no answer")


def make_endpoint(name: str, cores: int = 64) -> RunnerModel:
    """Creates an endpoint with a given number of cores."""
    instance = EndpointInstance(name, FIRST_BORN_MS)
    capacity = Resources(cores * 1000, 128_000)
    return RunnerModel(EndpointInfo(instance, "ledger", f"{name}:1", "a", capacity))
