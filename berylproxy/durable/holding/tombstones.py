"""Stores that jobs which nobody has are cancelled, so that they aren't accepted later.

A submission may be on its way when its caller cancels the job: in the socket of a daemon that is
stopped, behind a cut, or with a former holder. No daemon can tell how old it is. So the cancel is
confirmed only once the store holds a tombstone, an outcome under which no holder accepts the job.
"""

from collections import deque
from dataclasses import dataclass, field
from itertools import islice
from time import time

from anyio import Event, fail_after, sleep
from logbook import Logger

from berylproxy.clock import Clock
from berylproxy.durable.holding.records import FINAL_RETENTION_S, encode_tombstone, final_key
from berylproxy.durable.jobs.ports import JobStore, Transaction, TransactionConflictError
from berylproxy.errors import BerylproxyError
from berylproxy.store.port import StoreError, StoreUnavailableError

WRITE_INTERVAL_S = 0.1
ENTRIES_PER_TOMBSTONE = 2  # its key is expected to be absent, and written
RETRY_PAUSE_S = 0.05
MAX_KEPT = 20_000  # of this daemon, within the time for which outcomes are kept

logger = Logger("berylproxy.durable.tombstones")


class TooManyTombstonesError(BerylproxyError):
    """This daemon has written as many tombstones as it may; later ones are possible again."""

    code = "too_many_tombstones"


@dataclass(slots=True, eq=False)
class PendingTombstone:
    """A tombstone that callers wait for.

    :ivar ended: set once it, or another outcome of the job, is stored, or ``error`` is set.
    """

    ended: Event = field(default_factory=Event)
    error: StoreError | None = None


class Tombstones:
    """Writes this daemon's tombstones, those of a short time in one transaction.

    Cancels of jobs that never were may come by the hundred a second, more than the store takes as
    single writes.
    """

    def __init__(self, store: JobStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._pending: dict[str, PendingTombstone] = {}
        self._wanted = Event()
        self._kept_from_s: deque[float] = deque()

    async def run(self) -> None:
        """Writes tombstones until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = Event()
            pending, self._pending = self._pending, {}
            rows = iter(pending.items())
            while batch := dict(islice(rows, self._store.max_entries // ENTRIES_PER_TOMBSTONE)):
                await self._write(batch)
            await sleep(WRITE_INTERVAL_S)

    async def store(self, job_id: str, wait_s: float) -> None:
        """Returns once no holder accepts a job any more, as an outcome of it is stored.

        :raises TimeoutError: if that isn't known in time.
        :raises TooManyTombstonesError: if this daemon has written too many.
        """
        with fail_after(max(wait_s, 0.0)):
            while True:
                self._check_room()
                pending = self._pending.setdefault(job_id, PendingTombstone())
                self._wanted.set()
                await pending.ended.wait()
                if pending.error is None:
                    return
                logger.debug("no tombstone of job {} yet: {}", job_id, pending.error.message)
                await sleep(RETRY_PAUSE_S)

    def _check_room(self) -> None:
        now_s = self._clock.now_s()
        while self._kept_from_s and now_s - self._kept_from_s[0] > FINAL_RETENTION_S:
            self._kept_from_s.popleft()
        if len(self._kept_from_s) + len(self._pending) >= MAX_KEPT:
            raise TooManyTombstonesError(f"{MAX_KEPT} cancelled jobs that nobody had are kept")

    async def _write(self, batch: dict[str, PendingTombstone]) -> None:
        """Writes a batch; jobs that have an outcome are left out of it."""
        try:
            while batch:
                try:
                    await self._store.commit(_make_transaction(batch))
                    self._kept_from_s.extend([self._clock.now_s()] * len(batch))
                    break
                except TransactionConflictError as conflict:
                    ended = [i for i in batch if conflict.revisions.get(final_key(i))]
                    if not ended:
                        raise StoreUnavailableError(
                            "a conflict without a conflicting key"
                        ) from None
                    for job_id in ended:
                        batch.pop(job_id).ended.set()
        except StoreError as error:
            for pending in batch.values():
                pending.error = error
        for pending in batch.values():
            pending.ended.set()


def _make_transaction(job_ids: dict[str, PendingTombstone]) -> Transaction:
    keys, value = [final_key(job_id) for job_id in job_ids], encode_tombstone(time())
    return Transaction(tuple((key, 0) for key in keys), tuple((key, value) for key in keys))
