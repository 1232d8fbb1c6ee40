"""Carries out a group's jobs while this daemon holds the claim on its endpoints."""

from collections.abc import Callable, Set
from dataclasses import dataclass
from math import inf
from time import time

from anyio import Event, create_task_group, sleep
from logbook import Logger

from berylproxy.clock import Clock
from berylproxy.durable.acceptance import (
    MAX_OPEN_JOBS,
    SHORTEST_RETRY_AFTER_S,
    TOO_LATE,
    decide_admission,
)
from berylproxy.durable.best_effort import RUN_NUMBERS_PER_TENURE, Admission, BestEffortJobs, Wait
from berylproxy.durable.contention import FENCES_PER_CLAIM
from berylproxy.durable.estimates import RunTimeModel
from berylproxy.durable.fleet import EndpointList
from berylproxy.durable.group import EndpointGroup
from berylproxy.durable.job_log import JobLog
from berylproxy.durable.job_table import Job, JobTable
from berylproxy.durable.ledger import (
    AlreadyThereError,
    Change,
    Ledger,
    NotHolderError,
    TenureLostError,
)
from berylproxy.durable.messages import (
    HolderHeartbeat,
    JobsEnded,
    JobSubmission,
    JobSubmissionReply,
)
from berylproxy.durable.models import (
    JobSpec,
    JobState,
    StoredJob,
)
from berylproxy.durable.outcomes import OutcomeStore
from berylproxy.durable.placement import place_waiting_tasks
from berylproxy.durable.ports import (
    EndpointDirectory,
    JobStore,
)
from berylproxy.durable.records import (
    StoredValueError,
    claim_key,
    decode_final,
    decode_job,
    encode_job,
    encode_model,
    final_key,
    model_key,
    open_key,
    open_prefix,
)
from berylproxy.durable.telemetry import Telemetry
from berylproxy.durable.tenure import Tenure
from berylproxy.pause import PauseDetector
from berylproxy.store.port import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

HEARTBEAT_INTERVAL_S = 0.15  # a third of the silence after which others take over
TICK_S = 0.05
RETRY_PAUSE_S = 0.05
LEASE_LENGTH_S = 1.0  # the longest that endpoints grant
TENURE_CHECK_S = 0.4
MODEL_INTERVAL_S = 2.0  # a successor knows all but the last run times
LONE_TENURE_S = 1.5  # without the store, while some other daemon may have it
OUTAGE_TENURE_S = 10.0  # without the store, while no other daemon has it
FOREIGN_TENURE_S = LONE_TENURE_S + LEASE_LENGTH_S + 0.3  # until a former holder's leases lapsed

logger = Logger(__name__)


@dataclass(frozen=True, slots=True)
class InheritedEndpoints:
    """Endpoints that a former holder used, by its last heartbeat.

    :param fence: of that holder.
    """

    fence: int
    endpoint_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class UnresolvedJob:
    """A job that a former holder may be carrying out at endpoints that are not contacted yet.

    :param former_fence: of that holder; 0 if it is the one before this.
    """

    job: Job
    since_s: float
    former_fence: int


def can_resolve(age_s: float, are_contacted: bool, is_complete: bool) -> bool:
    """Tells whether a task that no endpoint shows is certainly not running.

    :param age_s: time since the job was loaded or handed in again.
    :param are_contacted: whether all listed endpoints follow this holder's fence.
    :param is_complete: whether all endpoints that the former holder used are listed.
    """
    if not are_contacted:
        return age_s >= FOREIGN_TENURE_S
    return is_complete or age_s >= LEASE_LENGTH_S + HEARTBEAT_INTERVAL_S


def covers_former(
    inherited: InheritedEndpoints | None, former_fence: int, listed: Set[str]
) -> bool:
    """Tells whether all endpoints that a former holder used are listed.

    A provisional holder uses endpoints whose entries may have lapsed while its failure domain was
    cut off, more of them than its last heartbeat told.

    :param former_fence: of the holder that may have begun the job; 0 for the one before.
    """
    if inherited is None or former_fence % FENCES_PER_CLAIM:
        return False
    return former_fence in (0, inherited.fence) and inherited.endpoint_ids <= listed


@dataclass(frozen=True, slots=True)
class HolderContext:
    """What every tenure of a daemon shares.

    :param known_list: the list of endpoints as this daemon has last read it.
    :param group_of: names the group of an endpoint, by its service and its identifier.
    :param notify: sends a message without reply to an incarnation.
    :param members: lists the incarnations of the other live daemons.
    :param has_store_elsewhere: tells whether any other daemon may reach the store; ``True`` also
        while too few are heard of.
    :param is_entry_alive: tells whether the daemon that handed a job in was heard just now.
    :param remote_factor: run time of a task away from its data, against near it.
    """

    store: JobStore
    directory: EndpointDirectory
    known_list: EndpointList
    group_of: Callable[[str, str], str]
    clock: Clock
    telemetry: Telemetry
    notify: Callable[[str, object], None]
    members: Callable[[], list[str]]
    has_store_elsewhere: Callable[[], bool]
    is_entry_alive: Callable[[str], bool]
    remote_factor: Callable[[], float]


class Holder:
    """One tenure over one group.

    :param fence: under which endpoints take orders.
    :param claim_revision: revision of the claim; 0 for a provisional holder, which has none.
    :param inherited: ``None`` if nothing is known of the former holder.
    """

    def __init__(
        self,
        group: str,
        fence: int,
        claim_revision: int,
        inherited: InheritedEndpoints | None,
        model: RunTimeModel,
        context: HolderContext,
    ) -> None:
        tenure = Tenure(group, fence, claim_revision, context.clock, context.telemetry)
        self.tenure = tenure
        self.job_table = JobTable()
        self.is_loaded = False
        self.is_leaving = False
        self._model = model
        self._inherited = inherited
        self._context = context
        self._clock = context.clock
        self._store = context.store
        self._telemetry = context.telemetry
        self.group = EndpointGroup(
            tenure,
            context.directory,
            context.known_list,
            self.job_table,
            model,
            lambda info: context.group_of(info.service, info.instance.endpoint_id) == group,
            lambda endpoint, end: self._outcomes.retain_end(endpoint, end),
            self._finish,
        )
        self._ledger = Ledger(self._store, (claim_key(group), claim_revision), tenure.confirm)
        self._outcomes = OutcomeStore(tenure, self._ledger, self.job_table)
        self._log = JobLog(tenure, self.job_table)
        self._best_effort_jobs = BestEffortJobs(
            tenure,
            self.job_table,
            self.group,
            self._log,
            self._admit,
            lambda job, now_s, former: self._unresolved.append(UnresolvedJob(job, now_s, former)),
        )
        self._unresolved: list[UnresolvedJob] = []
        self._handing_in: dict[str, Wait] = {}
        self._uncertain: set[str] = set()
        self._pauses = PauseDetector(context.clock)

    async def run(self) -> None:
        """Works until the tenure ends."""
        try:
            async with create_task_group() as task_group:
                self.tenure.task_group = task_group
                task_group.start_soon(self._send_heartbeats)
                task_group.start_soon(self.group.follow_directory)
                task_group.start_soon(self._keep_placing)
                task_group.start_soon(self._tick)
                if self.tenure.claim_revision:
                    task_group.start_soon(self._ledger.run)
                    task_group.start_soon(self._watch_claim)
                    task_group.start_soon(self._store_model)
                    task_group.start_soon(self._outcomes.sweep, self._store)
                    await self._load_jobs()
        finally:
            self.tenure.task_group = None
            self._outcomes.abandon()
            self._best_effort_jobs.abandon()
            await self.group.close()

    async def _load_jobs(self) -> None:
        after_key, has_more = "", True
        while has_more:
            try:
                entries, has_more = await self._store.list_page(
                    open_prefix(self.tenure.group), after_key
                )
            except StoreError as error:
                logger.info("open jobs can't be listed yet: {}", error.message)
                await sleep(RETRY_PAUSE_S)
                continue
            for entry in entries:
                after_key = entry.key
                self._load_job(entry.key, entry.value)
        self.is_loaded = True
        logger.info(
            "holder of {}: {} open jobs loaded",
            self.tenure.group,
            len(self._unresolved),
            extra=self.tenure.extra(),
        )

    def _load_job(self, key: str, value: bytes) -> None:
        try:
            stored = decode_job(value)
        except StoredValueError as error:
            logger.error("open job {} left alone: {}", key, error.message)
            return
        now_s = self._clock.now_s()
        age_s = max(time() - stored.accepted_unix_s, 0.0)
        first_run = self.tenure.fence * RUN_NUMBERS_PER_TENURE
        job = self.job_table.open(stored, now_s - age_s, first_run=first_run)
        job.expected_s = self._expect(stored.spec)
        self._unresolved.append(UnresolvedJob(job, now_s, 0))

    async def submit(self, message: JobSubmission, entry: str) -> JobSubmissionReply:
        """Stores a job and begins to carry it out, or refuses it; waits for one that isn't kept.

        :raises TenureLostError: if this daemon is not the holder any more.
        :raises StoreError: if it is not known whether the job is stored.
        """
        spec = message.job
        if self.tenure.is_over:
            raise NotHolderError("not the holder")
        if not spec.is_durable:
            return await self._best_effort_jobs.run_best_effort(message, entry)
        if not self.tenure.claim_revision:
            return JobSubmissionReply("the store is not available", SHORTEST_RETRY_AFTER_S)
        if not self.is_loaded:
            raise NotHolderError("the open jobs are not loaded yet")
        if spec.job_id in self._handing_in:
            acceptance = self._handing_in[spec.job_id]
        elif self.job_table.state(spec.job_id) is not None:
            job = self.job_table.jobs.get(spec.job_id)
            if job is not None:
                job.entry = entry
            return JobSubmissionReply()
        else:
            acceptance = self._handing_in[spec.job_id] = Wait()
            self.tenure.spawn(self._conclude, acceptance, spec, entry)
        await acceptance.ended.wait()
        if acceptance.reply is None:
            raise acceptance.error or StoreOutcomeUnknownError("the tenure ended meanwhile")
        return acceptance.reply

    async def _conclude(self, acceptance: Wait, spec: JobSpec, entry: str) -> None:
        try:
            acceptance.reply = await self._accept(spec, entry)
        except (StoreError, TenureLostError) as error:
            # Its transaction may take effect late: from now on the job can't be refused.
            self._uncertain.add(spec.job_id)
            acceptance.error = StoreOutcomeUnknownError(error.message)
        finally:
            self._handing_in.pop(spec.job_id, None)
            acceptance.ended.set()

    async def _accept(self, spec: JobSpec, entry: str) -> JobSubmissionReply:
        now_s = self._clock.now_s()
        is_uncertain = spec.job_id in self._uncertain
        admission = self._admit(spec, inf, is_uncertain)
        if admission.refusal is not None:
            return admission.refusal
        stored = admission.stored
        change = Change(
            absent=(final_key(spec.job_id),),
            written=((open_key(self.tenure.group, spec.job_id), encode_job(stored)),),
        )
        try:
            await self._ledger.make(change)
        except AlreadyThereError:
            return JobSubmissionReply()
        except StoreUnavailableError as error:
            if is_uncertain:
                raise
            self._log.note_not_stored(spec, error.message)
            return JobSubmissionReply("the store is not available", SHORTEST_RETRY_AFTER_S)
        self._uncertain.discard(spec.job_id)
        job = self.job_table.open(stored, now_s, entry=entry)
        job.expected_s = admission.draft.expected_s
        self.group.changed.set()
        return JobSubmissionReply()

    def _admit(self, spec: JobSpec, deadline_s: float, must_take: bool) -> Admission:
        """Judges a job by the load of the moment, unless it must be taken."""
        now_s = self._clock.now_s()
        stored = StoredJob(spec, time())
        draft = JobTable().open(stored, now_s)
        draft.expected_s, draft.deadline_s = self._expect(spec), deadline_s
        retry_after_s = None if must_take else self._judge(draft, now_s)
        if retry_after_s is None:
            return Admission(stored, draft, None)
        self._log.note_refused(spec, retry_after_s)
        return Admission(stored, draft, JobSubmissionReply(TOO_LATE, retry_after_s))

    def _judge(self, draft: Job, now_s: float) -> float | None:
        if len(self.job_table.jobs) >= MAX_OPEN_JOBS:
            return SHORTEST_RETRY_AFTER_S
        if draft.spec.is_durable and now_s - self.tenure.confirmed_s > LONE_TENURE_S:
            return SHORTEST_RETRY_AFTER_S
        if not self.group.has_contacted_endpoints(now_s):
            return None
        return decide_admission(
            draft, self.job_table.jobs.values(), self.group.endpoints.values(), self._model, now_s
        )

    async def find_state(self, job_id: str) -> str:
        """Returns a job's state; empty if there is no such job.

        :raises StoreError: if the store must be asked and does not answer.
        """
        while job_id in self._handing_in:
            await self._handing_in[job_id].ended.wait()
        if self.tenure.is_over or not self.is_loaded:
            raise NotHolderError("not the holder, or not yet")
        state = self.job_table.state(job_id)
        if state is not None:
            return state.value
        entry = await self._store.get(final_key(job_id))
        if entry is None:
            return ""
        state = decode_final(entry.value)
        self.job_table.remember_outcome(job_id, state)
        return state.value

    async def cancel(self, job_id: str) -> str:
        """Cancels a job; returns its state once that is stored, empty if there is no such job.

        :raises BerylproxyError: if the cancellation may not be stored.
        """
        state = await self.find_state(job_id)
        job = self.job_table.jobs.get(job_id)
        if job is None:
            return state
        if not job.is_final:
            logger.info("job cancelled by its caller", extra=self.tenure.extra(job=job_id))
            self.job_table.cancel(job)
            self._finish(job)
        await self._outcomes.wait(job_id)
        if self.tenure.is_over or job_id in self.job_table.jobs:
            raise TenureLostError("not the holder any more")
        return job.state.value

    def count_pending(self, queue: str) -> int:
        """Counts a queue's jobs of which no task has begun."""
        return self.job_table.count_pending(queue)

    def _expect(self, spec: JobSpec) -> float:
        """Expects the run time of a job's longest chain of steps."""
        ends: list[float] = []
        for step in spec.steps:
            begin_s = max((ends[number] for number in step.after if number < len(ends)), default=0)
            ends.append(
                begin_s + self._model.expected_run_time_s(spec.terms.queue, step.estimate_s)
            )
        return max(ends, default=0.0)

    async def _keep_placing(self) -> None:
        while True:
            await self.group.changed.wait()
            self.group.changed = Event()
            self._resolve_jobs()
            place_waiting_tasks(
                self.job_table,
                self.group.endpoints.values(),
                self._model,
                self._clock.now_s(),
                self.group.order_start,
                self._context.remote_factor(),
            )

    def _resolve_jobs(self) -> None:
        """Lets tasks wait for a start once every endpoint that may run them was heard."""
        if not self._unresolved or not self.group.has_read_list:
            return
        now_s = self._clock.now_s()
        are_contacted = all(endpoint.is_contacted for endpoint in self.group.endpoints.values())
        listed = {instance.endpoint_id for instance in self.group.endpoints}
        left = []
        for unresolved in self._unresolved:
            age_s = now_s - unresolved.since_s
            is_complete = covers_former(self._inherited, unresolved.former_fence, listed)
            if not unresolved.job.is_final and not can_resolve(age_s, are_contacted, is_complete):
                left.append(unresolved)
            elif not unresolved.job.is_final:
                self.job_table.resolve(unresolved.job)
        self._unresolved = left

    def _finish(self, job: Job) -> None:
        """Tells a job's outcome to who waits for it, or has it stored."""
        if not job.spec.is_durable:
            self._best_effort_jobs.finish(job)
            return
        self.group.stop_all_runs(job)
        job_id = job.spec.job_id
        if job_id not in self.job_table.jobs or self._outcomes.is_storing(job_id):
            return
        self._log.note_ended(job)
        if job.entry and job.state is not JobState.CANCELLED:
            self._context.notify(job.entry, JobsEnded({job_id: job.state.value}))
        self._outcomes.begin(job)

    def drop(self, job_id: str, reason: str) -> None:
        """Gives a job up that isn't kept: nobody waits for it."""
        self._best_effort_jobs.drop(job_id, reason)

    async def _tick(self) -> None:
        while True:
            await sleep(TICK_S)
            now_s = self._clock.now_s()
            self._pauses.note_run()
            self._outcomes.store_old_progress(now_s)
            if not self._pauses.is_refreshing:
                self.group.move_stalled_runs(now_s)
                self._best_effort_jobs.drop_unneeded(now_s, self._context.is_entry_alive)
            self.group.release_orphan_ends(now_s)
            if self._unresolved or any(True for _ in self.job_table.waiting_jobs()):
                self.group.changed.set()

    async def _send_heartbeats(self) -> None:
        while True:
            self.send_heartbeat()
            await sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeat(self) -> None:
        """Tells all daemons that this one is the holder."""
        endpoints = tuple(
            instance.endpoint_id for instance, e in self.group.endpoints.items() if e.runs
        )
        heartbeat = HolderHeartbeat(
            self.tenure.group, self.tenure.fence, endpoints, self.is_leaving
        )
        for incarnation in self._context.members():
            self._context.notify(incarnation, heartbeat)

    async def _watch_claim(self) -> None:
        """Makes sure of the claim while nothing is written."""
        while True:
            await sleep(TENURE_CHECK_S / 2)
            age_s = self._clock.now_s() - self.tenure.confirmed_s
            if age_s < TENURE_CHECK_S:
                continue
            limit_s = LONE_TENURE_S if self._context.has_store_elsewhere() else OUTAGE_TENURE_S
            if age_s > limit_s:
                self._suspend_kept(age_s)
            sent_s = self._clock.now_s()
            try:
                entry = await self._store.get(claim_key(self.tenure.group))
            except StoreError as error:
                logger.debug("the claim can't be checked: {}", error.message)
                continue
            if entry is None or entry.revision != self.tenure.claim_revision:
                self.tenure.end("the claim is another daemon's")
                return
            self.tenure.confirm(sent_s)

    async def _store_model(self) -> None:
        """Stores what has been learnt of run times, so that a successor need not begin anew."""
        while True:
            await sleep(MODEL_INTERVAL_S)
            written = ((model_key(self.tenure.group), encode_model(self._model)),)
            try:
                await self._ledger.make(Change(written=written))
            except TenureLostError:
                self.tenure.end("the claim is another daemon's")
            except StoreError as error:
                logger.debug("learnt run times not stored: {}", error.message)

    def _suspend_kept(self, age_s: float) -> None:
        """Stops the kept jobs and ends the tenure: another holder may be carrying them out."""
        kept = [
            job for job in self.job_table.jobs.values() if job.spec.is_durable and not job.is_final
        ]
        if not kept:
            return
        for job in kept:
            logger.info("job suspended", extra=self.tenure.extra(job=job.spec.job_id))
            self.group.stop_all_runs(job)
        self.tenure.end(f"the store has not confirmed the claim for {age_s:.1f} s")
