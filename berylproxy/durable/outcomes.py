"""Stores how kept jobs end, and lets endpoints forget the runs of jobs whose end is stored."""

from dataclasses import dataclass
from time import time

from anyio import Event, sleep
from logbook import Logger

from berylproxy.durable.fleet import EndpointState
from berylproxy.durable.job_table import Job, JobTable
from berylproxy.durable.ledger import AlreadyThereError, Change, Ledger, TenureLostError
from berylproxy.durable.models import EndedRun, StoredJob
from berylproxy.durable.ports import JobStore
from berylproxy.durable.records import (
    FINAL_PREFIX,
    StoredValueError,
    encode_final,
    encode_job,
    final_key,
    is_forgettable,
    open_key,
)
from berylproxy.durable.tenure import Tenure
from berylproxy.store.port import Entry, StoreError

PROGRESS_AGE_S = 1.0  # ends that are kept longer are stored with their unfinished job
RETRY_PAUSE_S = 0.05
SWEEP_INTERVAL_S = 60.0  # a fifth of the time for which outcomes are kept

logger = Logger(__name__)


@dataclass(frozen=True, slots=True)
class RetainedEnd:
    """An end that its endpoint must remember until the job's end is stored."""

    endpoint: EndpointState
    number: int
    seen_s: float


class OutcomeStore:
    """The outcomes of a tenure's kept jobs on their way into the store."""

    def __init__(self, tenure: Tenure, ledger: Ledger, job_table: JobTable) -> None:
        self._tenure = tenure
        self._ledger = ledger
        self._job_table = job_table
        self._kept_ends: dict[str, list[RetainedEnd]] = {}
        self._waiting: dict[str, Event] = {}
        self._storing_progress: set[str] = set()

    def retain_end(self, endpoint: EndpointState, end: EndedRun) -> None:
        """Notes that an endpoint is the memory of an end."""
        kept = RetainedEnd(endpoint, end.number, self._tenure.clock.now_s())
        self._kept_ends.setdefault(end.name.job_id, []).append(kept)

    def begin(self, job: Job) -> None:
        """Begins to store a job's outcome."""
        job_id = job.spec.job_id
        if job_id not in self._waiting:
            self._waiting[job_id] = Event()
            self._tenure.spawn(self.store, job)

    def is_storing(self, job_id: str) -> bool:
        """Tells whether a job's outcome is on its way."""
        return job_id in self._waiting

    async def wait(self, job_id: str) -> None:
        """Waits until a job's outcome is stored, or the tenure ends."""
        event = self._waiting.get(job_id)
        if event is not None:
            await event.wait()

    def abandon(self) -> None:
        """Ends all waits: the tenure is over."""
        for event in self._waiting.values():
            event.set()

    async def sweep(self, store: JobStore) -> None:
        """Removes outcomes that nobody may ask for any more, until cancelled."""
        while True:
            await sleep(SWEEP_INTERVAL_S)
            try:
                await self._sweep_once(store)
            except TenureLostError:
                self._tenure.end("the claim is another daemon's")
            except StoreError as error:
                logger.debug("old outcomes not removed: {}", error.message)

    async def _sweep_once(self, store: JobStore) -> None:
        after_key, has_more = "", True
        while has_more:
            entries, has_more = await store.list_page(FINAL_PREFIX, after_key)
            for entry in entries:
                after_key = entry.key
                if self._is_forgettable(entry):
                    await self._ledger.make(Change(removed=(entry.key,)))
            has_more = has_more and bool(entries)

    def _is_forgettable(self, entry: Entry) -> bool:
        try:
            return is_forgettable(entry.value, time())
        except StoredValueError as error:
            logger.warning("{} is left alone: {}", entry.key, error.message)
            return False

    async def store(self, job: Job) -> None:
        """Stores a job's outcome, however long that takes, and closes it."""
        job_id = job.spec.job_id
        change_of_outcome = (
            ((final_key(job_id), encode_final(job.state, time())),),
            (open_key(self._tenure.group, job_id),),
        )
        while True:
            try:
                await self._ledger.make(Change((), *change_of_outcome))
                break
            except TenureLostError:
                self._tenure.end("the claim is another daemon's")
                return
            except StoreError as error:
                logger.debug("outcome of {} not stored yet: {}", job_id, error.message)
                await sleep(RETRY_PAUSE_S)
        self._job_table.close(job)
        for kept in self._kept_ends.pop(job_id, ()):
            kept.endpoint.release_end(kept.number)
        self._waiting.pop(job_id).set()

    def store_old_progress(self, now_s: float) -> None:
        """Begins to store what endpoints would otherwise have to remember for long."""
        for job_id, ends in self._kept_ends.items():
            job = self._job_table.jobs.get(job_id)
            if job is None or job.is_final or job_id in self._storing_progress:
                continue
            if ends and now_s - ends[0].seen_s > PROGRESS_AGE_S:
                self._storing_progress.add(job_id)
                self._tenure.spawn(self._store_progress, job)

    async def _store_progress(self, job: Job) -> None:
        job_id = job.spec.job_id
        kept = list(self._kept_ends.get(job_id, ()))
        stored = StoredJob(job.spec, job.accepted_unix_s, job.progress())
        change = Change(
            absent=(final_key(job_id),),
            written=((open_key(self._tenure.group, job_id), encode_job(stored)),),
        )
        try:
            await self._ledger.make(change)
        except TenureLostError:
            self._tenure.end("the claim is another daemon's")
            return
        except (StoreError, AlreadyThereError) as error:
            logger.debug("progress of {} not stored: {}", job_id, error.message)
            return
        finally:
            self._storing_progress.discard(job_id)
        left = [end for end in self._kept_ends.get(job_id, ()) if end not in kept]
        if job_id in self._kept_ends:
            self._kept_ends[job_id] = left
        for end in kept:
            end.endpoint.release_end(end.number)
