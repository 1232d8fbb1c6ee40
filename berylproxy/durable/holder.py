"""Carries out a group's jobs while this daemon holds the claim on its endpoints."""

from collections.abc import Callable
from dataclasses import dataclass, field
from time import time

from anyio import Event, create_task_group, sleep
from logbook import Logger

from berylproxy.clock import Clock
from berylproxy.durable.acceptance import (
    MAX_OPEN_JOBS,
    SHORTEST_RETRY_AFTER_S,
    TOO_LATE,
    judge,
)
from berylproxy.durable.book import Job, JobBook
from berylproxy.durable.estimates import RunTimeModel
from berylproxy.durable.fleet import EndpointList
from berylproxy.durable.group import EndpointGroup
from berylproxy.durable.ledger import (
    AlreadyThereError,
    Change,
    Ledger,
    NotHolderError,
    TenureLostError,
)
from berylproxy.durable.messages import HandIn, HandInReply, HolderHeartbeat, JobsEnded
from berylproxy.durable.models import (
    JobSpec,
    JobState,
    StoredJob,
)
from berylproxy.durable.outcomes import OutcomeStore
from berylproxy.durable.placement import is_hopeless, objective_s, place_waiting
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
from berylproxy.errors import BerylproxyError
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
RUN_NUMBERS_PER_TENURE = 64  # run numbers of a tenure lie above those of all earlier ones

logger = Logger(__name__)


class JobGivenUpError(BerylproxyError):
    """The job has begun and will not be completed."""

    code = "job_given_up"


class JobInterruptedError(BerylproxyError):
    """The job was dropped although its caller may still wait: it may be handed in again."""

    code = "job_interrupted"


@dataclass(frozen=True, slots=True)
class UnresolvedJob:
    """A job that a former holder may be carrying out at endpoints that are not contacted yet."""

    job: Job
    since_s: float


def can_resolve(age_s: float, are_contacted: bool, is_complete: bool) -> bool:
    """Tells whether a task that no endpoint shows is certainly not running.

    :param age_s: time since the job was loaded or handed in again.
    :param are_contacted: whether all listed endpoints follow this holder's fence.
    :param is_complete: whether all endpoints that the former holder used are listed.
    """
    if not are_contacted:
        return age_s >= FOREIGN_TENURE_S
    return is_complete or age_s >= LEASE_LENGTH_S + HEARTBEAT_INTERVAL_S


@dataclass(slots=True, eq=False)
class Wait:
    """Callers that wait for the end of a job that isn't kept."""

    ended: Event = field(default_factory=Event)
    reply: HandInReply | None = None
    error: BerylproxyError | None = None


@dataclass(slots=True, eq=False)
class Acceptance:
    """A job that is being stored; its caller may give up meanwhile."""

    ended: Event = field(default_factory=Event)
    reply: HandInReply | None = None
    error: StoreError | None = None


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
    :param inherited: identifiers of endpoints that the former holder used; ``None`` if unknown.
    """

    def __init__(
        self,
        group: str,
        fence: int,
        claim_revision: int,
        inherited: frozenset[str] | None,
        model: RunTimeModel,
        context: HolderContext,
    ) -> None:
        tenure = Tenure(group, fence, claim_revision, context.clock, context.telemetry)
        self.tenure = tenure
        self.book = JobBook()
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
            self.book,
            model,
            lambda facts: context.group_of(facts.service, facts.life.endpoint_id) == group,
            lambda endpoint, end: self._outcomes.keep_end(endpoint, end),
            self._finish,
        )
        self._ledger = Ledger(self._store, (claim_key(group), claim_revision), tenure.confirm)
        self._outcomes = OutcomeStore(tenure, self._ledger, self.book)
        self._waits: dict[str, Wait] = {}
        self._unresolved: list[UnresolvedJob] = []
        self._handing_in: dict[str, Acceptance] = {}
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
            for wait in self._waits.values():
                wait.ended.set()
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
        job = self.book.open(stored, now_s - age_s, first_run=first_run)
        job.expected_s = self._expect(stored.spec)
        self._unresolved.append(UnresolvedJob(job, now_s))

    async def hand_in(self, message: HandIn, entry: str) -> HandInReply:
        """Stores a job and begins to carry it out, or refuses it; waits for one that isn't kept.

        :raises TenureLostError: if this daemon is not the holder any more.
        :raises StoreError: if it is not known whether the job is stored.
        """
        spec = message.job
        if self.tenure.is_over:
            raise NotHolderError("not the holder")
        if not spec.is_kept:
            return await self._carry_out(message, entry)
        if not self.tenure.claim_revision:
            return HandInReply("the store is not available", SHORTEST_RETRY_AFTER_S)
        if not self.is_loaded:
            raise NotHolderError("the open jobs are not loaded yet")
        if spec.job_id in self._handing_in:
            acceptance = self._handing_in[spec.job_id]
        elif self.book.state(spec.job_id) is not None:
            job = self.book.jobs.get(spec.job_id)
            if job is not None:
                job.entry = entry
            return HandInReply()
        else:
            acceptance = self._handing_in[spec.job_id] = Acceptance()
            self.tenure.spawn(self._conclude, acceptance, spec, entry)
        await acceptance.ended.wait()
        if acceptance.reply is None:
            raise acceptance.error or StoreOutcomeUnknownError("the tenure ended meanwhile")
        return acceptance.reply

    async def _carry_out(self, message: HandIn, entry: str) -> HandInReply:
        """Carries out a job that isn't kept and waits for its end."""
        job_id = message.job.job_id
        job, outcome = self.book.jobs.get(job_id), self.book.state(job_id)
        if job is not None:
            job.entry = entry
        elif outcome is not None and not message.attempt:
            return HandInReply(state=outcome.value)
        else:
            reply = self._open_unkept(message, entry)
            if reply is not None:
                return reply
        wait = self._waits.setdefault(job_id, Wait())
        await wait.ended.wait()
        if wait.error is not None:
            raise wait.error
        if wait.reply is not None:
            return wait.reply
        job = self.book.jobs.get(job_id)
        if job is not None and not job.started and not message.attempt:
            raise NotHolderError("the tenure ended before the job began")
        raise TenureLostError("the tenure ended before the job")

    def _open_unkept(self, message: HandIn, entry: str) -> HandInReply | None:
        spec, now_s = message.job, self._clock.now_s()
        stored = StoredJob(spec, time())
        draft = JobBook().open(stored, now_s)
        draft.expected_s = self._expect(spec)
        draft.deadline_s = now_s + message.wait_s
        # A job that an earlier holder took is not refused for a change of holder.
        retry_after_s = None if message.attempt else self._judge(draft, now_s)
        if retry_after_s is not None:
            self._note_refused(spec, retry_after_s)
            return HandInReply(TOO_LATE, retry_after_s)
        first_run = message.attempt * RUN_NUMBERS_PER_TENURE
        job = self.book.open(stored, now_s, entry=entry, first_run=first_run)
        job.expected_s, job.deadline_s = draft.expected_s, draft.deadline_s
        self.group.adopt_orphans(job, now_s)
        if job.is_final:
            return HandInReply(state=job.state.value)
        if message.attempt:
            self._unresolved.append(UnresolvedJob(job, now_s))
        self.group.changed.set()
        return None

    def drop(self, job_id: str, reason: str) -> None:
        """Gives a job up that isn't kept: nobody waits for it, as far as this daemon knows.

        An entry that is heard again must not take it for its caller's own cancellation.
        """
        job = self.book.jobs.get(job_id)
        if job is None or job.is_final or job.spec.is_kept:
            return
        logger.info(
            "job dropped: {}", reason, extra=self.tenure.extra(job=job_id, started=job.started)
        )
        self.book.cancel(job)
        self._finish(job, error=JobInterruptedError("its entry daemon was not heard"))

    def _note_refused(self, spec: JobSpec, retry_after_s: float) -> None:
        self._telemetry.count("jobs_refused", queue=spec.terms.queue, reason="late")
        logger.info(
            "job refused: its answer would come too late",
            extra=self.tenure.extra(
                job=spec.job_id,
                queue=spec.terms.queue,
                open_jobs=len(self.book.jobs),
                retry_after_s=retry_after_s,
            ),
        )

    async def _conclude(self, acceptance: "Acceptance", spec: JobSpec, entry: str) -> None:
        try:
            acceptance.reply = await self._accept(spec, entry)
        except (StoreError, TenureLostError) as error:
            # Its transaction may take effect late: from now on the job can't be refused.
            self._uncertain.add(spec.job_id)
            acceptance.error = StoreOutcomeUnknownError(error.message)
        finally:
            self._handing_in.pop(spec.job_id, None)
            acceptance.ended.set()

    async def _accept(self, spec: JobSpec, entry: str) -> HandInReply:
        now_s = self._clock.now_s()
        stored = StoredJob(spec, time())
        draft = JobBook().open(stored, now_s)
        draft.expected_s = self._expect(spec)
        is_uncertain = spec.job_id in self._uncertain
        retry_after_s = None if is_uncertain else self._judge(draft, now_s)
        if retry_after_s is not None:
            self._note_refused(spec, retry_after_s)
            return HandInReply(TOO_LATE, retry_after_s)
        change = Change(
            absent=(final_key(spec.job_id),),
            written=((open_key(self.tenure.group, spec.job_id), encode_job(stored)),),
        )
        try:
            await self._ledger.make(change)
        except AlreadyThereError:
            return HandInReply()
        except StoreUnavailableError as error:
            if is_uncertain:
                raise
            self._telemetry.count("jobs_refused", queue=spec.terms.queue, reason="store")
            logger.info(
                "job refused: not stored: {}",
                error.message,
                extra=self.tenure.extra(job=spec.job_id),
            )
            return HandInReply("the store is not available", SHORTEST_RETRY_AFTER_S)
        self._uncertain.discard(spec.job_id)
        job = self.book.open(stored, now_s, entry=entry)
        job.expected_s = draft.expected_s
        self.group.changed.set()
        return HandInReply()

    def _judge(self, draft: Job, now_s: float) -> float | None:
        if len(self.book.jobs) >= MAX_OPEN_JOBS:
            return SHORTEST_RETRY_AFTER_S
        if draft.spec.is_kept and now_s - self.tenure.confirmed_s > LONE_TENURE_S:
            return SHORTEST_RETRY_AFTER_S
        if not self.group.has_met_endpoints(now_s):
            return None
        return judge(
            draft, self.book.jobs.values(), self.group.endpoints.values(), self._model, now_s
        )

    async def find_state(self, job_id: str) -> str:
        """Returns a job's state; empty if there is no such job.

        :raises StoreError: if the store must be asked and does not answer.
        """
        while job_id in self._handing_in:
            await self._handing_in[job_id].ended.wait()
        if self.tenure.is_over or not self.is_loaded:
            raise NotHolderError("not the holder, or not yet")
        state = self.book.state(job_id)
        if state is not None:
            return state.value
        entry = await self._store.get(final_key(job_id))
        if entry is None:
            return ""
        state = decode_final(entry.value)
        self.book.remember_outcome(job_id, state)
        return state.value

    async def cancel(self, job_id: str) -> str:
        """Cancels a job; returns its state once that is stored, empty if there is no such job.

        :raises BerylproxyError: if the cancellation may not be stored.
        """
        state = await self.find_state(job_id)
        job = self.book.jobs.get(job_id)
        if job is None:
            return state
        if not job.is_final:
            logger.info("job cancelled by its caller", extra=self.tenure.extra(job=job_id))
            self.book.cancel(job)
            self._finish(job)
        await self._outcomes.wait(job_id)
        if self.tenure.is_over or job_id in self.book.jobs:
            raise TenureLostError("not the holder any more")
        return job.state.value

    def count_pending(self, queue: str) -> int:
        """Counts a queue's jobs of which no task has begun."""
        return self.book.count_pending(queue)

    def _expect(self, spec: JobSpec) -> float:
        """Expects the run time of a job's longest chain of steps."""
        ends: list[float] = []
        for step in spec.steps:
            begin_s = max((ends[number] for number in step.after if number < len(ends)), default=0)
            ends.append(begin_s + self._model.expect_s(spec.terms.queue, step.estimate_s))
        return max(ends, default=0.0)

    async def _keep_placing(self) -> None:
        while True:
            await self.group.changed.wait()
            self.group.changed = Event()
            self._resolve_jobs()
            place_waiting(
                self.book,
                self.group.endpoints.values(),
                self._model,
                self._clock.now_s(),
                self.group.order,
                self._context.remote_factor(),
            )

    def _resolve_jobs(self) -> None:
        """Lets tasks wait for a start once every endpoint that may run them was heard."""
        if not self._unresolved or not self.group.has_list:
            return
        now_s = self._clock.now_s()
        are_contacted = all(endpoint.is_contacted for endpoint in self.group.endpoints.values())
        listed = {life.endpoint_id for life in self.group.endpoints}
        is_complete = self._inherited is not None and self._inherited <= listed
        left = []
        for unresolved in self._unresolved:
            age_s = now_s - unresolved.since_s
            if not unresolved.job.is_final and not can_resolve(age_s, are_contacted, is_complete):
                left.append(unresolved)
            elif not unresolved.job.is_final:
                self.book.resolve(unresolved.job)
        self._unresolved = left

    def _finish(
        self,
        job: Job,
        reply: HandInReply | None = None,
        error: BerylproxyError | None = None,
    ) -> None:
        """Tells a job's outcome to who waits for it, and has it stored if the job is kept.

        :param reply: for a job that isn't kept, if its state is not the whole answer.
        :param error: for a job that isn't kept, if there is no answer.
        """
        self.group.stop_active(job)
        job_id = job.spec.job_id
        if job_id not in self.book.jobs or self._outcomes.is_storing(job_id):
            return
        self._note_ended(job)
        if job.spec.is_kept:
            if job.entry and job.state is not JobState.CANCELLED:
                self._context.notify(job.entry, JobsEnded({job_id: job.state.value}))
            self._outcomes.begin(job)
            return
        self.book.close(job)
        wait = self._waits.pop(job_id, None)
        if wait is not None:
            wait.reply = reply or HandInReply(state=job.state.value)
            wait.error = error
            wait.ended.set()

    def _note_ended(self, job: Job) -> None:
        queue, took_s = job.spec.terms.queue, self._clock.now_s() - job.accepted_s
        is_late = took_s > objective_s(job)
        self._telemetry.count("jobs_ended", queue=queue, state=job.state.value)
        self._telemetry.observe_job(queue, took_s)
        if is_late:
            self._telemetry.count("jobs_late", queue=queue)
        starts_s = [
            task.ordered_s - job.accepted_s for task in job.tasks.values() if task.ordered_s
        ]
        logger.info(
            "job {}",
            job.state.value,
            extra=self.tenure.extra(
                job=job.spec.job_id,
                queue=queue,
                entry=job.entry,
                took_s=round(took_s, 3),
                objective_s=round(objective_s(job), 3),
                expected_s=round(job.expected_s, 3),
                late=is_late,
                tasks=len(job.tasks),
                runs=sum(task.orders for task in job.tasks.values()),
                first_start_s=round(min(starts_s), 3) if starts_s else None,
                last_start_s=round(max(starts_s), 3) if starts_s else None,
            ),
        )

    async def _tick(self) -> None:
        while True:
            await sleep(TICK_S)
            now_s = self._clock.now_s()
            self._pauses.note_run()
            self._outcomes.store_old_progress(now_s)
            if not self._pauses.is_refreshing:
                self.group.move_stalled(now_s)
                self._give_up_unkept(now_s)
            self.group.release_orphan_ends(now_s)
            if self._unresolved or any(True for _ in self.book.waiting_jobs()):
                self.group.changed.set()

    def _give_up_unkept(self, now_s: float) -> None:
        """Ends the jobs that nobody waits for, or that would end too late if they began now."""
        for job in list(self.book.jobs.values()):
            if job.spec.is_kept or job.is_final:
                continue
            if not self._context.is_entry_alive(job.entry):
                self.drop(job.spec.job_id, "its entry daemon is not heard")
            elif is_hopeless(job, now_s):
                self._give_up(job, now_s)

    def _give_up(self, job: Job, now_s: float) -> None:
        """Answers a job at once that can't be of use any more, as refused if it has not begun."""
        waiting = len(job.waiting)
        self.book.cancel(job)
        if not job.started:
            self._note_refused(job.spec, SHORTEST_RETRY_AFTER_S)
            self._finish(job, HandInReply(TOO_LATE, SHORTEST_RETRY_AFTER_S))
            return
        self._telemetry.count("jobs_given_up", queue=job.spec.terms.queue)
        logger.info(
            "job given up: it has begun and its answer would come too late",
            extra=self.tenure.extra(
                job=job.spec.job_id,
                queue=job.spec.terms.queue,
                age_s=round(now_s - job.accepted_s, 3),
                objective_s=round(objective_s(job), 3),
                expected_s=round(job.expected_s, 3),
                tasks=len(job.tasks),
                waiting=waiting,
                open_jobs=len(self.book.jobs),
            ),
        )
        self._finish(job, error=JobGivenUpError("it has begun and its answer would come too late"))

    async def _send_heartbeats(self) -> None:
        while True:
            self.send_heartbeat()
            await sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeat(self) -> None:
        """Tells all daemons that this one is the holder."""
        endpoints = tuple(life.endpoint_id for life, e in self.group.endpoints.items() if e.present)
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
        kept = [job for job in self.book.jobs.values() if job.spec.is_kept and not job.is_final]
        if not kept:
            return
        for job in kept:
            logger.info("job suspended", extra=self.tenure.extra(job=job.spec.job_id))
            self.group.stop_active(job)
        self.tenure.end(f"the store has not confirmed the claim for {age_s:.1f} s")
