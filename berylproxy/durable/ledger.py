"""Writes jobs to the store, many with one transaction, each only while the claim stands."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from time import monotonic

from anyio import Event, create_task_group, move_on_after
from anyio.abc import TaskGroup
from logbook import Logger

from berylproxy.durable.ports import JobStore, Transaction, TransactionConflictError
from berylproxy.errors import BerylproxyError
from berylproxy.store.port import StoreError, StoreOutcomeUnknownError, StoreUnavailableError

CONCURRENT_COMMITS = 6  # keeps a slow store busy; at 4 ms a commit one is nearly enough
FIRST_HEDGE_S = 0.06  # some ten times the store's usual answer
HEDGE_FACTOR = 4.0  # of the usual answer time, so that a slow store is not asked twice as a rule
LATENCY_LEARNING_RATE = 0.2
MAX_ATTEMPTS = 6  # copies of one transaction under way or lost

logger = Logger(__name__)


class TenureLostError(BerylproxyError):
    """Another daemon has become the holder."""

    code = "tenure_lost"


class NotHolderError(TenureLostError):
    """This daemon is not the holder: the request has had no effect."""

    code = "not_holder"


class AlreadyThereError(BerylproxyError):
    """A key that must not exist is there."""

    code = "already_there"


@dataclass(slots=True, eq=False)
class Change:
    """One job's part of a transaction.

    :param absent: keys that must not exist.
    """

    absent: tuple[str, ...] = ()
    written: tuple[tuple[str, bytes], ...] = ()
    removed: tuple[str, ...] = ()
    done: Event = field(default_factory=Event)
    error: BerylproxyError | None = None

    @property
    def size(self) -> int:
        """Number of entries that it takes."""
        return len(self.absent) + len(self.written) + len(self.removed)

    def settle(self, error: BerylproxyError | None = None) -> None:
        """Ends the wait for it."""
        self.error = error
        self.done.set()


class Ledger:
    """Commits changes under a claim, in batches while earlier ones are on their way.

    Every change can be made twice with the same effect, so that a lost answer is asked for again.

    :param claim: key and revision of the claim that every transaction expects.
    :param on_confirmed: called with the time from which the claim was certainly in force.
    """

    def __init__(
        self, store: JobStore, claim: tuple[str, int], on_confirmed: Callable[[float], None]
    ) -> None:
        self._store = store
        self._claim = claim
        self._on_confirmed = on_confirmed
        self._queue: list[Change] = []
        self._running = 0
        self._wakeup = Event()
        self._latency_s = 0.0
        self._open: set[Change] = set()
        self._is_over = False

    async def run(self) -> None:
        """Commits until cancelled."""
        try:
            async with create_task_group() as task_group:
                while True:
                    await self._wakeup.wait()
                    self._wakeup = Event()
                    while self._queue and self._running < CONCURRENT_COMMITS:
                        self._running += 1
                        task_group.start_soon(self._commit, self._take_batch())
        finally:
            self._is_over = True
            for change in list(self._open):
                change.settle(TenureLostError("the tenure has ended"))

    async def make(self, change: Change) -> None:
        """Makes a change.

        :raises AlreadyThereError: if one of its absent keys exists.
        :raises StoreUnavailableError: if it was certainly not made.
        :raises StoreOutcomeUnknownError: if that is not known.
        :raises TenureLostError: if the claim is not in force any more.
        """
        if self._is_over:
            raise TenureLostError("the tenure has ended")
        self._open.add(change)
        self._queue.append(change)
        self._wakeup.set()
        try:
            await change.done.wait()
        finally:
            self._open.discard(change)
        if change.error is not None:
            raise change.error

    def _take_batch(self) -> list[Change]:
        batch, size = [], 1  # the claim
        while self._queue and size + self._queue[0].size <= self._store.max_entries:
            change = self._queue.pop(0)
            size += change.size
            batch.append(change)
        return batch

    async def _commit(self, batch: list[Change]) -> None:
        try:
            await self._commit_batch(batch)
        finally:
            self._running -= 1
            self._wakeup.set()

    async def _commit_batch(self, batch: list[Change]) -> None:
        while batch:
            started_s = monotonic()
            try:
                await self._commit_hedged(self._join(batch))
            except TransactionConflictError as conflict:
                batch = self._drop_conflicting(batch, conflict)
                continue
            except StoreError as error:
                for change in batch:
                    change.settle(error)
                return
            took_s = monotonic() - started_s
            self._latency_s += LATENCY_LEARNING_RATE * (took_s - self._latency_s)
            self._on_confirmed(started_s)
            for change in batch:
                change.settle()
            return

    def _join(self, batch: list[Change]) -> Transaction:
        absent = [(key, 0) for change in batch for key in change.absent]
        return Transaction(
            (self._claim, *absent),
            tuple(pair for change in batch for pair in change.written),
            tuple(key for change in batch for key in change.removed),
        )

    def _drop_conflicting(
        self, batch: list[Change], conflict: TransactionConflictError
    ) -> list[Change]:
        claim_key, claim_revision = self._claim
        if conflict.revisions.get(claim_key, claim_revision) != claim_revision:
            error = TenureLostError("another daemon holds the claim")
            for change in batch:
                change.settle(error)
            return []
        left = []
        for change in batch:
            if any(conflict.revisions.get(key) for key in change.absent):
                change.settle(AlreadyThereError("it is stored already"))
            else:
                left.append(change)
        if len(left) == len(batch):
            for change in batch:
                change.settle(StoreUnavailableError("a conflict without a conflicting key"))
            return []
        return left

    async def _commit_hedged(self, transaction: Transaction) -> None:
        """Sends copies of a transaction until one is answered."""
        race = _Race(lambda: self._store.commit(transaction))
        hedge_s = max(FIRST_HEDGE_S, HEDGE_FACTOR * self._latency_s)
        async with create_task_group() as task_group:
            for _ in range(MAX_ATTEMPTS):
                race.start(task_group)
                with move_on_after(hedge_s):
                    await race.won.wait()
                if race.won.is_set() or race.is_surely_refused:
                    break
            else:
                await race.wait_all()
            task_group.cancel_scope.cancel()
        race.conclude()


class _Race:
    """Copies of one call, of which the first answer counts."""

    def __init__(self, call: Callable[[], Awaitable[int]]) -> None:
        self._call = call
        self._error: StoreError | TransactionConflictError | None = None
        self._running = 0
        self._ended = Event()
        self.won = Event()
        self._is_unknown = False

    @property
    def is_surely_refused(self) -> bool:
        """Whether no copy can have taken effect."""
        return not self._running and not self._is_unknown and not self.won.is_set()

    def start(self, task_group: TaskGroup) -> None:
        """Sends another copy."""
        self._running += 1
        task_group.start_soon(self._run)

    async def wait_all(self) -> None:
        """Waits for an answer or the failure of all copies."""
        while self._running and not self.won.is_set():
            await self._ended.wait()

    def conclude(self) -> None:
        """Raises what the call ended with, if it did not succeed."""
        if self._error is not None:
            raise self._error
        if not self.won.is_set():
            if self.is_surely_refused:
                raise StoreUnavailableError("the store refused the call")
            raise StoreOutcomeUnknownError("no copy of the transaction was answered")

    async def _run(self) -> None:
        was_unknown, self._is_unknown = self._is_unknown, True  # so it is if cancelled
        try:
            await self._call()
            self.won.set()
        except TransactionConflictError as error:
            if not self.won.is_set():
                self._error = error
            self.won.set()
        except StoreUnavailableError:
            self._is_unknown = was_unknown
        except StoreError as error:
            logger.debug("a transaction was not answered: {}", error.message)
        finally:
            self._running -= 1
            self._ended.set()
            self._ended = Event()
