"""Commits a holder's changes to the store in batches, on condition that its claim is in force."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from time import monotonic

from anyio import Event, create_task_group, move_on_after
from anyio.abc import TaskGroup
from logbook import Logger

from berylproxy.durable.jobs.ports import JobStore, Transaction, TransactionConflictError
from berylproxy.errors import BerylproxyError
from berylproxy.store.port import StoreError, StoreOutcomeUnknownError, StoreUnavailableError

CONCURRENT_COMMITS = 6  # keeps a slow store busy; at 4 ms a commit one is nearly enough
FIRST_HEDGE_S = 0.06  # lower bound of the hedging delay, some ten times the store's usual latency
HEDGE_FACTOR = 4.0  # of the average latency, so that a slow store rarely gets second copies
LATENCY_LEARNING_RATE = 0.2
MAX_COPIES = 6  # of one transaction, in flight or lost

logger = Logger("berylproxy.durable.ledger")


class TenureLostError(BerylproxyError):
    """The tenure has ended, usually because another daemon has become the holder."""

    code = "tenure_lost"


class NotHolderError(TenureLostError):
    """This daemon is not the holder; the request has had no effect."""

    code = "not_holder"


class KeyExistsError(BerylproxyError):
    """A key that must be absent for a change exists in the store."""

    code = "already_there"


class RecordChangedError(BerylproxyError):
    """A key has another revision than a change expects; nothing was written."""

    code = "record_changed"


@dataclass(slots=True, eq=False)
class Change:
    """Writes and removals that belong together, as a part of a batch's transaction.

    :param absent: keys that must not exist for the change to be made.
    :param unchanged: keys with the revision that each must have for the change to be made.
    :param written: pairs of key and value; each is written over the key's newest revision only.
    :param constant: pairs of key and value that are written whatever is there; during a tenure the
        key gets no other value.
    :param removed: keys to remove.
    :ivar may_be_applied: whether an earlier transaction with the change may take effect.
    :ivar done: set once the change is committed or has failed.
    :ivar error: the reason of a failure; ``None`` if the change is committed.
    """

    absent: tuple[str, ...] = ()
    unchanged: tuple[tuple[str, int], ...] = ()
    written: tuple[tuple[str, bytes], ...] = ()
    constant: tuple[tuple[str, bytes], ...] = ()
    removed: tuple[str, ...] = ()
    may_be_applied: bool = False
    done: Event = field(default_factory=Event)
    error: BerylproxyError | None = None

    @property
    def size(self) -> int:
        """Number of entries that the change takes in a transaction."""
        pairs = 2 * len(self.written) + len(self.constant)  # a written key's revision is expected
        return len(self.absent) + len(self.unchanged) + pairs + len(self.removed)

    @property
    def keys(self) -> set[str]:
        """The keys that the change writes or removes."""
        return {*self.removed, *(key for key, _ in (*self.written, *self.constant))}

    def complete(self, error: BerylproxyError | None = None) -> None:
        """Marks the change as committed, or as failed with an error."""
        if self.may_be_applied and isinstance(error, StoreUnavailableError):
            error = StoreOutcomeUnknownError(f"an earlier copy was lost: {error.message}")
        self.error = error
        self.done.set()


class Ledger:
    """Commits the changes of one tenure to the store, conditional on the holder's claim.

    Every transaction expects the claim's revision, so that nothing is written once another daemon
    has replaced the claim. While some transactions are in flight, further changes queue up and are
    committed together.

    A transaction whose answer is late or lost is sent again as a copy, and a lost copy may take
    effect seconds later. So each transaction also expects the newest known revision of the keys
    that it writes: once one is committed, no copy of an earlier one can take effect. A conflict
    means that an earlier one did meanwhile, as nobody else writes under the claim; the transaction
    is then sent again, over the revision that it made.

    :param claim: key and revision of the claim.
    :param on_confirmed: called after each commit with a monotonic time, before the commit, at which
        the claim was certainly still in force.
    """

    def __init__(
        self, store: JobStore, claim: tuple[str, int], on_confirmed: Callable[[float], None]
    ) -> None:
        self._store = store
        self._claim = claim
        self._on_confirmed = on_confirmed
        self._queue: list[Change] = []
        self._in_flight = 0
        self._wakeup = Event()
        self._latency_s = 0.0
        self._unfinished: set[Change] = set()
        self._revisions: dict[str, int] = {}
        self._keys_in_flight: set[str] = set()
        self._has_ended = False

    def note_revision(self, key: str, revision: int) -> None:
        """Records the revision that a key had after the claim was made."""
        self._revisions[key] = revision

    async def run(self) -> None:
        """Commits queued changes until cancelled; then fails those that are unfinished."""
        try:
            async with create_task_group() as task_group:
                while True:
                    await self._wakeup.wait()
                    self._wakeup = Event()
                    while self._in_flight < CONCURRENT_COMMITS and (batch := self._pop_batch()):
                        self._in_flight += 1
                        task_group.start_soon(self._commit, batch)
        finally:
            self._has_ended = True
            for change in list(self._unfinished):
                change.complete(TenureLostError("the tenure has ended"))

    async def apply(self, change: Change) -> None:
        """Queues a change and returns once it is committed.

        :raises KeyExistsError: if one of the keys that must be absent exists.
        :raises RecordChangedError: if one of the keys that must be unchanged has another revision.
        :raises StoreUnavailableError: if the change was certainly not committed.
        :raises StoreOutcomeUnknownError: if the change may have been committed.
        :raises TenureLostError: if the claim is no longer in force or the tenure has ended.
        """
        if self._has_ended:
            raise TenureLostError("the tenure has ended")
        self._unfinished.add(change)
        self._queue.append(change)
        self._wakeup.set()
        try:
            await change.done.wait()
        finally:
            self._unfinished.discard(change)
        if change.error is not None:
            raise change.error

    def _pop_batch(self) -> list[Change]:
        """Removes as many changes from the queue as fit into one transaction.

        A change waits while an earlier one of the same key is in flight, so that the newest value
        is committed last.
        """
        batch, size, taken = [], 1, set(self._keys_in_flight)  # the claim is one entry
        for change in self._queue:
            if size + change.size > self._store.max_entries:
                break
            if taken.isdisjoint(change.keys):
                batch.append(change)
                size += change.size
            taken |= change.keys
        if batch:
            self._queue = [change for change in self._queue if change not in batch]
            self._keys_in_flight |= _list_keys(batch)
        return batch

    async def _commit(self, batch: list[Change]) -> None:
        try:
            await self._commit_batch(batch)
        finally:
            self._keys_in_flight -= _list_keys(batch)
            self._in_flight -= 1
            self._wakeup.set()

    async def _commit_batch(self, batch: list[Change]) -> None:
        """Commits a batch; repeats that without the changes that caused a conflict."""
        while batch:
            started_s = monotonic()
            call = _HedgedCall(partial(self._store.commit, self._make_transaction(batch)))
            try:
                revision = await self._commit_hedged(call)
            except TransactionConflictError as conflict:
                for change in batch:
                    change.may_be_applied |= call.may_be_applied
                batch = self._resolve_conflict(batch, conflict)
                continue
            except StoreError as error:
                for change in batch:
                    change.complete(error)
                return
            took_s = monotonic() - started_s
            self._latency_s += LATENCY_LEARNING_RATE * (took_s - self._latency_s)
            self._on_confirmed(started_s)
            for change in batch:
                self._revisions |= {key: revision for key, _ in change.written}
                for key in change.removed:
                    self._revisions.pop(key, None)
                change.complete()
            return

    def _make_transaction(self, batch: list[Change]) -> Transaction:
        absent = [(key, 0) for change in batch for key in change.absent]
        written = [pair for change in batch for pair in change.written]
        constant = [pair for change in batch for pair in change.constant]
        unchanged = [pair for change in batch for pair in change.unchanged]
        revisions = [(key, self._revisions.get(key, 0)) for key, _ in written]
        return Transaction(
            (self._claim, *absent, *unchanged, *revisions),
            (*written, *constant),
            tuple(key for change in batch for key in change.removed),
        )

    def _resolve_conflict(
        self, batch: list[Change], conflict: TransactionConflictError
    ) -> list[Change]:
        """Fails the changes that can't be made, and returns the others, to be committed again.

        All changes fail if the claim has been replaced.
        """
        claim_key, claim_revision = self._claim
        if conflict.revisions.get(claim_key, claim_revision) != claim_revision:
            error = TenureLostError("another daemon holds the claim")
            for change in batch:
                change.complete(error)
            return []
        remaining, is_explained = [], False
        for change in batch:
            if any(conflict.revisions.get(key) for key in change.absent):
                change.complete(KeyExistsError("a key that must be absent exists"))
                is_explained = True
                continue
            if any(conflict.revisions.get(key, 0) != rev for key, rev in change.unchanged):
                change.complete(RecordChangedError("a key has another revision than expected"))
                is_explained = True
                continue
            remaining.append(change)
            if self._learn_revisions(change, conflict.revisions):
                change.may_be_applied = is_explained = True
        if is_explained:
            return remaining
        for change in remaining:
            change.complete(
                StoreUnavailableError("the store reports a conflict but no conflicting key")
            )
        return []

    def _learn_revisions(self, change: Change, revisions: Mapping[str, int]) -> bool:
        """Learns the revisions of the keys that a change writes; returns whether any is new."""
        has_new = False
        for key, _ in change.written:
            known, revision = self._revisions.get(key, 0), revisions.get(key, 0)
            if revision == known:
                continue
            has_new = True
            self._revisions[key] = revision
            if known:
                logger.info("{} was replaced: revision {}, not {}", key, revision, known)
        return has_new

    async def _commit_hedged(self, hedged_call: "_HedgedCall") -> int:
        """Commits a transaction, and sends further copies while no answer arrives in time.

        :return: revision of the written keys.
        """
        hedge_s = max(FIRST_HEDGE_S, HEDGE_FACTOR * self._latency_s)
        async with create_task_group() as task_group:
            for _ in range(MAX_COPIES):
                hedged_call.start(task_group)
                with move_on_after(hedge_s):
                    await hedged_call.answered.wait()
                if hedged_call.answered.is_set() or hedged_call.has_certainly_failed:
                    break
            else:
                await hedged_call.wait_for_any_answer()
            task_group.cancel_scope.cancel()
        return hedged_call.result()


def _list_keys(batch: list[Change]) -> set[str]:
    return {key for change in batch for key in change.keys}


class _HedgedCall:
    """A call of which several copies may be in flight; the first answer counts.

    :ivar answered: set once a copy has succeeded or found a conflict.
    """

    def __init__(self, call: Callable[[], Awaitable[int]]) -> None:
        self._call = call
        self._result = 0
        self._error: TransactionConflictError | None = None
        self._in_flight = 0
        self._copy_ended = Event()
        self.answered = Event()
        self._without_refusal = 0

    @property
    def may_be_applied(self) -> bool:
        """Whether any copy may have taken effect, or may do so later."""
        return self._without_refusal > 0

    @property
    def has_certainly_failed(self) -> bool:
        """Whether all copies have ended and none can have taken effect."""
        return not self._in_flight and not self.may_be_applied and not self.answered.is_set()

    def start(self, task_group: TaskGroup) -> None:
        """Sends another copy."""
        self._in_flight += 1
        self._without_refusal += 1
        task_group.start_soon(self._run)

    async def wait_for_any_answer(self) -> None:
        """Waits until a copy is answered or all have failed."""
        while self._in_flight and not self.answered.is_set():
            await self._copy_ended.wait()

    def result(self) -> int:
        """Returns the result of the first copy that was answered, or raises its error."""
        if self._error is not None:
            raise self._error
        if not self.answered.is_set():
            if self.has_certainly_failed:
                raise StoreUnavailableError("the store refused the call")
            raise StoreOutcomeUnknownError("no copy of the transaction was answered")
        return self._result

    async def _run(self) -> None:
        try:
            revision = await self._call()
            if not self.answered.is_set():
                self._result = revision
            self.answered.set()
        except TransactionConflictError as error:
            self._without_refusal -= 1
            if not self.answered.is_set():
                self._error = error
            self.answered.set()
        except StoreUnavailableError:
            self._without_refusal -= 1
        except StoreError as error:
            logger.debug("no answer to a copy of a transaction: {}", error.message)
        finally:
            self._in_flight -= 1
            self._copy_ended.set()
            self._copy_ended = Event()
