"""Stores the outcomes of durable jobs, then lets the endpoints discard the ends of their runs."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from time import time

from anyio import Event, sleep
from logbook import Logger

from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.holding.ledger import (
    Change,
    KeyExistsError,
    Ledger,
    RecordChangedError,
    TenureLostError,
)
from berylproxy.durable.holding.records import (
    FINAL_PREFIX,
    StoredValueError,
    encode_final,
    encode_job,
    final_key,
    is_final_expired,
    open_key,
)
from berylproxy.durable.jobs.job_table import Job, JobTable
from berylproxy.durable.jobs.models import EndedRun, JobState, StoredJob
from berylproxy.durable.jobs.ports import JobStore
from berylproxy.durable.orders.tenure import Tenure
from berylproxy.store.port import Entry, StoreError

MAX_RETAINED_END_AGE_S = 1.0  # older ends are stored as progress of their unfinished job
MAX_CROWDING_END_AGE_S = 0.25  # the same where ends begin to keep tasks away
RETRY_PAUSE_S = 0.05
MAX_REMOVED = 15  # in one transaction of 32 entries with the claim, two for each
SWEEP_INTERVAL_S = 60.0  # a fifth of the retention time of outcomes

logger = Logger("berylproxy.durable.outcomes")


@dataclass(frozen=True, slots=True)
class RetainedEnd:
    """The end of a run that its endpoint must retain until the store holds its effect on the job.

    :param number: the endpoint's number of the end.
    :param received_s: monotonic time at which the endpoint reported it.
    """

    endpoint: EndpointState
    number: int
    received_s: float


class OutcomeStore:
    """Writes the outcomes and the progress of a tenure's durable jobs to the store.

    Until these are stored, endpoints retain the ends of the jobs' runs for a possible new holder.

    :param on_stored: called with each job whose outcome has been stored.
    :param on_tombstone: called with an open job of which the store has an outcome: it was
        cancelled before its holder was known to have it.
    """

    def __init__(
        self,
        tenure: Tenure,
        ledger: Ledger,
        job_table: JobTable,
        on_stored: Callable[[Job], None],
        on_tombstone: Callable[[Job], None],
    ) -> None:
        self._tenure = tenure
        self._ledger = ledger
        self._job_table = job_table
        self._on_stored = on_stored
        self._on_tombstone = on_tombstone
        self._retained_ends: dict[str, list[RetainedEnd]] = {}
        self._stored_events: dict[str, Event] = {}
        self._storing_progress: set[str] = set()
        self._changed_progress: set[str] = set()

    def retain_end(self, endpoint: EndpointState, end: EndedRun) -> None:
        """Records that an endpoint must retain an end of a run until it is released."""
        retained = RetainedEnd(endpoint, end.number, self._tenure.clock.now_s())
        self._retained_ends.setdefault(end.name.job_id, []).append(retained)

    def note_progress(self, job: Job) -> None:
        """Records that a job's progress should be stored soon, without an end to release."""
        if job.spec.is_durable:
            self._changed_progress.add(job.spec.job_id)

    def start_storing(self, job: Job) -> None:
        """Starts storing a job's outcome, unless that has been started before."""
        job_id = job.spec.job_id
        if job_id not in self._stored_events:
            self._stored_events[job_id] = Event()
            self._tenure.spawn(self.store, job)

    def is_storing(self, job_id: str) -> bool:
        """Returns whether a job's outcome is being written to the store."""
        return job_id in self._stored_events

    async def wait_until_stored(self, job_id: str) -> None:
        """Waits until a job's outcome is stored, or the tenure ends."""
        event = self._stored_events.get(job_id)
        if event is not None:
            await event.wait()

    def release_waiters(self) -> None:
        """Wakes all tasks that wait for an outcome, because the tenure has ended."""
        for event in self._stored_events.values():
            event.set()

    async def sweep(self, store: JobStore) -> None:
        """Removes outcomes from the store after their retention time, until cancelled."""
        while True:
            await sleep(SWEEP_INTERVAL_S)
            try:
                await self._sweep_once(store)
            except TenureLostError:
                self._tenure.end("another daemon holds the claim")
            except StoreError as error:
                logger.debug("cannot remove expired outcomes: {}", error.message)

    async def _sweep_once(self, store: JobStore) -> None:
        after_key, has_more = "", True
        while has_more:
            entries, has_more = await store.list_page(FINAL_PREFIX, after_key)
            after_key = entries[-1].key if entries else after_key
            expired = iter([entry for entry in entries if self._is_expired(entry)])
            while batch := tuple(islice(expired, MAX_REMOVED)):
                await self._remove(batch)

    async def _remove(self, batch: tuple[Entry, ...]) -> None:
        """Removes outcomes; those of a batch with a changed one are removed singly."""
        unchanged = tuple((entry.key, entry.revision) for entry in batch)
        removed = tuple(entry.key for entry in batch)
        try:
            await self._ledger.apply(Change(unchanged=unchanged, removed=removed))
        except RecordChangedError:
            if len(batch) == 1:
                logger.debug("the outcome at key {} was removed or replaced meanwhile", removed[0])
                return
            for entry in batch:
                await self._remove((entry,))

    def _is_expired(self, entry: Entry) -> bool:
        try:
            return is_final_expired(entry.value, time())
        except StoredValueError as error:
            logger.warning("keeping the unreadable outcome at key {}: {}", entry.key, error.message)
            return False

    async def store(self, job: Job) -> None:
        """Stores a job's outcome, with retries until the tenure ends, and closes the job."""
        job_id = job.spec.job_id
        constant = ((final_key(job_id), encode_final(job.state, time())),)
        removed = (open_key(self._tenure.group, job_id),)
        while True:
            try:
                await self._ledger.apply(Change(constant=constant, removed=removed))
                break
            except TenureLostError:
                self._tenure.end("another daemon holds the claim")
                return
            except StoreError as error:
                logger.debug("cannot store the outcome of job {} yet: {}", job_id, error.message)
                await sleep(RETRY_PAUSE_S)
        self._job_table.close(job)
        self._on_stored(job)
        for retained in self._retained_ends.pop(job_id, ()):
            retained.endpoint.release_end(retained.number)
        self._stored_events.pop(job_id).set()

    async def store_cancellation(self, job_id: str) -> None:
        """Stores as cancelled a job that is not open, but may be stored.

        If it has an outcome already, that stays.

        :raises StoreError: if that may not be stored.
        :raises TenureLostError: if the tenure has ended.
        """
        change = Change(
            absent=(final_key(job_id),),
            constant=((final_key(job_id), encode_final(JobState.CANCELLED, time())),),
            removed=(open_key(self._tenure.group, job_id),),
        )
        try:
            await self._ledger.apply(change)
        except KeyExistsError:
            # It may be a tombstone written after the job, which the next holder would load.
            logger.debug("the outcome of job {} is stored already", job_id)
            await self.remove_open_record(job_id)

    async def remove_open_record(self, job_id: str) -> None:
        """Removes the record of a job that isn't open and has an outcome.

        :raises StoreError: if that may not be done.
        :raises TenureLostError: if the tenure has ended.
        """
        await self._ledger.apply(Change(removed=(open_key(self._tenure.group, job_id),)))

    def store_old_progress(self, now_s: float) -> None:
        """Starts storing progress that has changed, or whose ends are retained for too long.

        The endpoints can then discard these ends before the job has ended.
        """
        for job_id in self._changed_progress.union(self._retained_ends):
            ends = self._retained_ends.get(job_id)
            job = self._job_table.jobs.get(job_id)
            if job is None or job.is_final:
                self._changed_progress.discard(job_id)
                continue
            if job_id in self._storing_progress:
                continue
            is_crowding = any(end.endpoint.needs_fewer_ends for end in ends or ())
            max_age_s = MAX_CROWDING_END_AGE_S if is_crowding else MAX_RETAINED_END_AGE_S
            is_old = bool(ends) and now_s - ends[0].received_s > max_age_s
            if is_old or job_id in self._changed_progress:
                self._storing_progress.add(job_id)
                self._tenure.spawn(self._store_progress, job)

    async def _store_progress(self, job: Job) -> None:
        job_id = job.spec.job_id
        self._changed_progress.discard(job_id)
        retained = list(self._retained_ends.get(job_id, ()))
        stored = StoredJob(job.spec, job.accepted_unix_s, job.progress())
        change = Change(
            absent=(final_key(job_id),),
            written=((open_key(self._tenure.group, job_id), encode_job(stored)),),
        )
        try:
            await self._ledger.apply(change)
        except TenureLostError:
            self._tenure.end("another daemon holds the claim")
            return
        except KeyExistsError:
            self._on_tombstone(job)
            return
        except StoreError as error:
            self._changed_progress.add(job_id)
            logger.debug("cannot store the progress of job {}: {}", job_id, error.message)
            return
        finally:
            self._storing_progress.discard(job_id)
        remaining = [end for end in self._retained_ends.get(job_id, ()) if end not in retained]
        if job_id in self._retained_ends:
            self._retained_ends[job_id] = remaining
        for end in retained:
            end.endpoint.release_end(end.number)
