"""Carries out a group's jobs while this daemon holds the claim on its endpoints."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from time import time

from anyio import Event, create_task_group, move_on_after, sleep
from anyio.abc import TaskGroup
from logbook import Logger

from berylproxy.clock import Clock
from berylproxy.durable.acceptance import MAX_OPEN_JOBS, SHORTEST_RETRY_AFTER_S, judge
from berylproxy.durable.book import ACTIVE_STATUSES, Job, JobBook, Task, TaskStatus
from berylproxy.durable.estimates import RunTimeModel
from berylproxy.durable.fleet import EndpointList, EndpointState, PresentRun
from berylproxy.durable.ledger import (
    AlreadyThereError,
    Change,
    Ledger,
    NotHolderError,
    TenureLostError,
)
from berylproxy.durable.messages import HandIn, HandInReply, HolderHeartbeat, JobsEnded
from berylproxy.durable.models import (
    EndedRun,
    EndKind,
    EndpointFacts,
    EndpointLife,
    EndpointReport,
    JobSpec,
    JobState,
    RunningTask,
    StoredJob,
    TaskName,
)
from berylproxy.durable.placement import last_useful_s, place_waiting
from berylproxy.durable.ports import (
    EndpointCallError,
    EndpointCalls,
    EndpointDirectory,
    FencedOffError,
    JobStore,
    OtherLifeError,
    StartOrder,
    StartOutcome,
)
from berylproxy.durable.records import (
    StoredValueError,
    claim_key,
    decode_final,
    decode_job,
    encode_final,
    encode_job,
    final_key,
    open_key,
    open_prefix,
)
from berylproxy.pause import PauseDetector
from berylproxy.store.port import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

HEARTBEAT_INTERVAL_S = 0.15  # a third of the silence after which others take over
TICK_S = 0.05
DIRECTORY_INTERVAL_S = 0.7  # a leaving endpoint gets no task 2 s after the list names it
RENEWAL_WAIT_S = 0.3  # leaves two more tries within a lease of 1 s
END_POLL_S = 0.025  # while an endpoint keeps ends whose jobs are open, it answers at once
RETRY_PAUSE_S = 0.05
MEETING_S = 0.4  # endpoints answer in some 4 ms, those that are cut off never
ORPHAN_GRACE_S = 0.8  # in which entry daemons hand unfinished jobs in again
TOO_LATE = "its answer would come too late"
LEASE_LENGTH_S = 1.0  # the longest that endpoints grant
PROGRESS_AGE_S = 1.0  # ends that are kept longer are stored with their unfinished job
UNLISTED_GRACE_S = 2.5  # after an outage the platform's list is complete within 2 s
TENURE_CHECK_S = 0.4
LONE_TENURE_S = 1.5  # without the store, while some other daemon may have it
OUTAGE_TENURE_S = 10.0  # without the store, while no other daemon has it
FOREIGN_TENURE_S = LONE_TENURE_S + LEASE_LENGTH_S + 0.3  # until a former holder's leases lapsed
STALL_FACTOR = 4.0  # expected run times without progress after which a task is moved
SHORTEST_STALL_S = 0.6
RUN_NUMBERS_PER_TENURE = 64  # run numbers of a tenure lie above those of all earlier ones

logger = Logger(__name__)


@dataclass(frozen=True, slots=True)
class KeptEnd:
    """An end that its endpoint must remember until the job's end is stored."""

    endpoint: EndpointState
    number: int
    seen_s: float


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


@dataclass(slots=True, eq=False)
class Acceptance:
    """A job that is being stored; its caller may give up meanwhile."""

    ended: Event = field(default_factory=Event)
    reply: HandInReply | None = None
    error: StoreError | None = None


class Holder:
    """One tenure over one group.

    :param fence: under which endpoints take orders.
    :param claim_revision: revision of the claim; 0 for a provisional holder, which has none.
    :param is_entry_alive: tells whether the daemon that handed a job in was heard just now.
    :param inherited: identifiers of endpoints that the former holder used; ``None`` if unknown.
    :param has_store_elsewhere: tells whether any other daemon may reach the store; ``True`` also
        while too few are heard of.
    :param members: lists the incarnations of the other live daemons.
    """

    def __init__(
        self,
        group: str,
        fence: int,
        store: JobStore,
        directory: EndpointDirectory,
        known_list: EndpointList,
        clock: Clock,
        notify: Callable[[str, object], None],
        members: Callable[[], list[str]],
        has_store_elsewhere: Callable[[], bool],
        inherited: frozenset[str] | None,
        model: RunTimeModel,
        is_entry_alive: Callable[[str], bool],
        claim_revision: int,
    ) -> None:
        self.group = group
        self.fence = fence
        self.book = JobBook()
        self.model = model
        self.endpoints: dict[EndpointLife, EndpointState] = {}
        self.is_loaded = False
        self.is_leaving = False
        self.counters: dict[str, int] = {}
        self._store = store
        self._directory = directory
        self._known_list = known_list
        self._clock = clock
        self._notify = notify
        self._members = members
        self._has_store_elsewhere = has_store_elsewhere
        self._inherited = inherited
        self._is_entry_alive = is_entry_alive
        self._claim_revision = claim_revision
        self._waits: dict[str, Wait] = {}
        self._calls: dict[EndpointLife, EndpointCalls] = {}
        self._wakeups: dict[EndpointLife, Event] = {}
        self._missing_since_s: dict[EndpointLife, float] = {}
        self._kept_ends: dict[str, list[KeptEnd]] = {}
        self._orphan_ends: list[KeptEnd] = []
        self._stored: dict[str, Event] = {}
        self._began_s = clock.now_s()
        self._confirmed_s = self._began_s
        self._listed_s = self._began_s
        self._has_list = False
        self._unresolved: list[UnresolvedJob] = []
        self._handing_in: dict[str, Acceptance] = {}
        self._uncertain: set[str] = set()
        self._storing_progress: set[str] = set()
        self._dispatch = Event()
        self._pauses = PauseDetector(clock)
        self._ledger = Ledger(store, (claim_key(group), claim_revision), self._note_confirmed)
        self._task_group: TaskGroup | None = None

    # Life

    async def run(self) -> None:
        """Works until the tenure ends."""
        try:
            async with create_task_group() as task_group:
                self._task_group = task_group
                task_group.start_soon(self._send_heartbeats)
                task_group.start_soon(self._follow_directory)
                task_group.start_soon(self._keep_placing)
                task_group.start_soon(self._tick)
                if self._claim_revision:
                    task_group.start_soon(self._ledger.run)
                    task_group.start_soon(self._watch_claim)
                    await self._load_jobs()
        finally:
            self._task_group = None
            for event in self._stored.values():
                event.set()
            for wait in self._waits.values():
                wait.ended.set()
            for calls in self._calls.values():
                await calls.close()

    def end(self, reason: str) -> None:
        """Ends the tenure; nothing is ordered after that."""
        if self._task_group is not None:
            logger.warning("tenure over {} ends: {}", self.group, reason, extra=self._extra())
            self._task_group.cancel_scope.cancel()

    @property
    def is_over(self) -> bool:
        """Whether the tenure has ended."""
        return self._task_group is None

    def _extra(self, **fields: object) -> dict[str, object]:
        return {"group": self.group, "fence": self.fence, **fields}

    async def _load_jobs(self) -> None:
        after_key, has_more = "", True
        while has_more:
            try:
                entries, has_more = await self._store.list_page(open_prefix(self.group), after_key)
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
            self.group,
            len(self._unresolved),
            extra=self._extra(),
        )

    def _load_job(self, key: str, value: bytes) -> None:
        try:
            stored = decode_job(value)
        except StoredValueError as error:
            logger.error("open job {} left alone: {}", key, error.message)
            return
        now_s = self._clock.now_s()
        age_s = max(time() - stored.accepted_unix_s, 0.0)
        first_run = self.fence * RUN_NUMBERS_PER_TENURE
        job = self.book.open(stored, now_s - age_s, first_run=first_run)
        job.expected_s = self._expect(stored.spec)
        self._unresolved.append(UnresolvedJob(job, now_s))

    # Callers' requests

    async def hand_in(self, message: HandIn, entry: str) -> HandInReply:
        """Stores a job and begins to carry it out, or refuses it; waits for one that isn't kept.

        :raises TenureLostError: if this daemon is not the holder any more.
        :raises StoreError: if it is not known whether the job is stored.
        """
        spec = message.job
        if self._task_group is None:
            raise NotHolderError("not the holder")
        if not spec.is_kept:
            return await self._carry_out(message, entry)
        if not self._claim_revision:
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
            self._task_group.start_soon(self._conclude, acceptance, spec, entry)
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
        retry_after_s = self._judge(draft, now_s)
        if retry_after_s is not None:
            self._note_refused(spec, retry_after_s)
            return HandInReply(TOO_LATE, retry_after_s)
        first_run = message.attempt * RUN_NUMBERS_PER_TENURE
        job = self.book.open(stored, now_s, entry=entry, first_run=first_run)
        job.expected_s, job.deadline_s = draft.expected_s, draft.deadline_s
        self._count("accepted")
        self._adopt_orphans(job, now_s)
        if job.is_final:
            return HandInReply(state=job.state.value)
        if message.attempt:
            self._unresolved.append(UnresolvedJob(job, now_s))
        self._dispatch.set()
        return None

    def _adopt_orphans(self, job: Job, now_s: float) -> None:
        """Finds what a former holder has left of a job at the endpoints."""
        for endpoint in self.endpoints.values():
            for end in list(endpoint.ends.values()):
                if end.name.job_id == job.spec.job_id and not job.is_final:
                    task = self.book.find_task(end.name)
                    if task is not None:
                        self.book.note_end(task, end, endpoint.facts.life)
            for name, run in list(endpoint.present):
                task = self.book.find_task(name) if name.job_id == job.spec.job_id else None
                if task is not None and self._may_adopt(task, endpoint.facts.life, run):
                    endpoint.vacate(name, run)
                    endpoint.occupy(name, run, task.step.needs).answered_s = now_s
                    self.book.note_running(task, endpoint.facts.life, run, now_s)
        if job.is_final:
            self._finish(job, [])

    def _may_have_orphans(self, endpoint: EndpointState, now_s: float) -> bool:
        """Tells whether a former holder's jobs there may still be handed in again."""
        return endpoint.contacted_s is None or now_s - endpoint.contacted_s < ORPHAN_GRACE_S

    def drop(self, job_id: str, reason: str) -> None:
        """Gives a job up that isn't kept: nobody waits for it."""
        job = self.book.jobs.get(job_id)
        if job is None or job.is_final or job.spec.is_kept:
            return
        logger.info("job dropped: {}", reason, extra=self._extra(job=job_id, started=job.started))
        self._finish(job, self.book.cancel(job))

    def _note_refused(self, spec: JobSpec, retry_after_s: float) -> None:
        self._count("refused")
        logger.info(
            "job refused: its answer would come too late",
            extra=self._extra(
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
            written=((open_key(self.group, spec.job_id), encode_job(stored)),),
        )
        try:
            await self._ledger.make(change)
        except AlreadyThereError:
            return HandInReply()
        except StoreUnavailableError as error:
            if is_uncertain:
                raise
            self._count("store_refused")
            logger.info(
                "job refused: not stored: {}", error.message, extra=self._extra(job=spec.job_id)
            )
            return HandInReply("the store is not available", SHORTEST_RETRY_AFTER_S)
        self._uncertain.discard(spec.job_id)
        job = self.book.open(stored, now_s, entry=entry)
        job.expected_s = draft.expected_s
        self._count("accepted")
        self._dispatch.set()
        return HandInReply()

    def _judge(self, draft: Job, now_s: float) -> float | None:
        if len(self.book.jobs) >= MAX_OPEN_JOBS:
            return SHORTEST_RETRY_AFTER_S
        if draft.spec.is_kept and now_s - self._confirmed_s > LONE_TENURE_S:
            return SHORTEST_RETRY_AFTER_S
        if not self._has_met_endpoints(now_s):
            return None
        return judge(draft, self.book.jobs.values(), self.endpoints.values(), self.model, now_s)

    def _has_met_endpoints(self, now_s: float) -> bool:
        """Whether the endpoints of a new tenure have had the time to answer."""
        if now_s - self._began_s > MEETING_S:
            return True
        return self._has_list and all(e.is_contacted for e in self.endpoints.values())

    async def find_state(self, job_id: str) -> str:
        """Returns a job's state; empty if there is no such job.

        :raises StoreError: if the store must be asked and does not answer.
        """
        while job_id in self._handing_in:
            await self._handing_in[job_id].ended.wait()
        if self.is_over or not self.is_loaded:
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
            logger.info("job cancelled by its caller", extra=self._extra(job=job_id))
            active = self.book.cancel(job)
            self._finish(job, active)
        stored = self._stored.get(job_id)
        if stored is not None:
            await stored.wait()
        if self.is_over or job_id in self.book.jobs:
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
            ends.append(begin_s + self.model.expect_s(spec.terms.queue, step.estimate_s))
        return max(ends, default=0.0)

    # Endpoints

    async def _follow_directory(self) -> None:
        if self._known_list.read_s:
            self._take_directory(self._known_list.facts)
        while True:
            try:
                facts = await self._directory.fetch()
                self._known_list.update(facts, self._clock.now_s())
                self._take_directory(facts)
            except StoreUnavailableError as error:
                logger.debug("the list of endpoints is not available: {}", error.message)
            with move_on_after(DIRECTORY_INTERVAL_S):
                await sleep(DIRECTORY_INTERVAL_S if self._has_list else RETRY_PAUSE_S)

    def _take_directory(self, listed: tuple[EndpointFacts, ...]) -> None:
        now_s = self._clock.now_s()
        was_away = now_s - self._listed_s > 2 * DIRECTORY_INTERVAL_S + 1
        self._listed_s = now_s
        lives = {facts.life: facts for facts in listed if facts.service == self.group}
        for life, facts in lives.items():
            self._missing_since_s.pop(life, None)
            endpoint = self.endpoints.get(life)
            if endpoint is None:
                self._meet(facts)
                continue
            if facts.leaving and not endpoint.facts.leaving:
                logger.info("endpoint is leaving", extra=self._extra(endpoint=life.endpoint_id))
            endpoint.facts = facts
            endpoint.is_listed = True
        grace_s = UNLISTED_GRACE_S if was_away else 0.0
        for life, endpoint in self.endpoints.items():
            if life not in lives:
                since_s = self._missing_since_s.setdefault(life, now_s + grace_s)
                if now_s >= since_s:
                    endpoint.is_listed = False
        self._has_list = True
        self._dispatch.set()

    def _meet(self, facts: EndpointFacts) -> None:
        endpoint = EndpointState(facts)
        self.endpoints[facts.life] = endpoint
        self._calls[facts.life] = self._directory.connect(facts)
        self._wakeups[facts.life] = Event()
        if self._task_group is not None:
            self._task_group.start_soon(self._follow_endpoint, endpoint)

    async def _follow_endpoint(self, endpoint: EndpointState) -> None:
        life = endpoint.facts.life
        calls = self._calls[life]
        while life in self.endpoints:
            if endpoint.is_contacted and not endpoint.present and not endpoint.ends:
                if not endpoint.is_listed:
                    self._forget(endpoint, "it is not listed and runs nothing")
                    break
                await self._wakeups[life].wait()
            self._wakeups[life] = Event()
            wait_s = 0.0 if self._must_look_at_once(endpoint) else RENEWAL_WAIT_S
            acknowledged = endpoint.next_acknowledgement()
            try:
                report = await calls.renew(
                    self.fence, acknowledged, wait_s, extend=bool(endpoint.present)
                )
            except FencedOffError:
                self.end("an endpoint has a newer holder")
                return
            except OtherLifeError:
                self._forget(endpoint, "another life answers at its address")
                return
            except EndpointCallError as error:
                self._note_missed(endpoint, calls, error)
                await sleep(RETRY_PAUSE_S)
                continue
            if report.born_ms != life.born_ms and report.born_ms and life.born_ms:
                self._forget(endpoint, "it was started anew")
                return
            self._take_report(endpoint, report)
            await self._settle_uncertain(endpoint, calls)
            if endpoint.ends:
                with move_on_after(END_POLL_S):
                    await self._wakeups[life].wait()

    def _must_look_at_once(self, endpoint: EndpointState) -> bool:
        return (
            not endpoint.is_contacted
            or bool(endpoint.ends)
            or any(run.is_uncertain for run in endpoint.present.values())
        )

    def _note_missed(
        self, endpoint: EndpointState, calls: EndpointCalls, error: EndpointCallError
    ) -> None:
        now_s = self._clock.now_s()
        if not endpoint.missed_calls:
            logger.info(
                "endpoint does not answer: {}",
                error.message,
                extra=self._extra(endpoint=endpoint.facts.life.endpoint_id),
            )
        endpoint.missed_calls += 1
        if endpoint.present and now_s > calls.lease_end_s():
            self._lapse_all(endpoint)

    def _lapse_all(self, endpoint: EndpointState) -> None:
        """Lets the tasks of an endpoint wait again whose leases have certainly lapsed."""
        for name, run in list(endpoint.present):
            self._drop_run(endpoint, name, run, "its lease has lapsed")
        self._dispatch.set()

    def _drop_run(self, endpoint: EndpointState, name: TaskName, run: int, reason: str) -> None:
        endpoint.vacate(name, run)
        task = self.book.find_task(name)
        if task is None or task.life != endpoint.facts.life or task.run != run:
            return
        if task.status in ACTIVE_STATUSES:
            logger.info(
                "task waits again: {}",
                reason,
                extra=self._extra(
                    job=name.job_id, task=list(name[1:]), run=run, endpoint=task.life.endpoint_id
                ),
            )
            self.book.note_not_running(task)

    def _forget(self, endpoint: EndpointState, reason: str) -> None:
        life = endpoint.facts.life
        logger.info("endpoint forgotten: {}", reason, extra=self._extra(endpoint=life.endpoint_id))
        self._lapse_all(endpoint)
        self.endpoints.pop(life, None)
        self.model.forget(life.endpoint_id)
        self._missing_since_s.pop(life, None)

    def _take_report(self, endpoint: EndpointState, report: EndpointReport) -> None:
        now_s = self._clock.now_s()
        if endpoint.missed_calls:
            logger.info(
                "endpoint answers again",
                extra=self._extra(endpoint=endpoint.facts.life.endpoint_id),
            )
        endpoint.missed_calls = 0
        for end in report.ended:
            if endpoint.take_end(end):
                self._take_end(endpoint, end, now_s)
        shown = set()
        for running in report.running:
            shown.add((running.name, running.run))
            self._take_running(endpoint, running, now_s)
        for (name, run), present in list(endpoint.present.items()):
            if (name, run) not in shown and present.is_over(report.sent_s):
                self._drop_run(endpoint, name, run, "its endpoint does not run it")
        if endpoint.contacted_s is None:
            endpoint.contacted_s = now_s
        self._dispatch.set()

    def _take_running(self, endpoint: EndpointState, running: RunningTask, now_s: float) -> None:
        life = endpoint.facts.life
        task = self.book.find_task(running.name)
        present = endpoint.present.get((running.name, running.run))
        if present is None:
            needs = task.step.needs if task is not None else endpoint.facts.capacity
            present = endpoint.occupy(running.name, running.run, needs)
        present.answered_s = min(present.answered_s, now_s)
        present.is_uncertain = False
        if (
            task is None
            and running.name.job_id not in self.book.jobs
            and self._may_have_orphans(endpoint, now_s)
        ):
            return  # its job may be handed in again
        if task is None or not self._may_adopt(task, life, running.run):
            self._stop_soon(endpoint, running.name, running.run)
            return
        self.book.note_running(task, life, running.run, now_s)
        task.saved = running.saved or task.saved
        if running.progress_percent != task.progress_percent:
            task.progress_percent = running.progress_percent
            task.progressed_s = now_s

    def _may_adopt(self, task: Task, life: EndpointLife, run: int) -> bool:
        if task.status in ACTIVE_STATUSES:
            return task.life == life and task.run == run
        if task.status is TaskStatus.UNRESOLVED:
            return True
        return task.status is TaskStatus.WAITING and run >= task.run

    def _take_end(self, endpoint: EndpointState, end: EndedRun, now_s: float) -> None:
        endpoint.vacate(end.name, end.run)
        task = self.book.find_task(end.name)
        job = self.book.jobs.get(end.name.job_id)
        if job is None and self._may_have_orphans(endpoint, now_s):
            self._orphan_ends.append(KeptEnd(endpoint, end.number, now_s))
        elif job is None or not job.spec.is_kept:
            endpoint.release(end.number)
        else:
            kept = KeptEnd(endpoint, end.number, now_s)
            self._kept_ends.setdefault(end.name.job_id, []).append(kept)
        if task is None or job is None:
            return
        is_own = task.life == endpoint.facts.life and task.run == end.run
        if end.kind is EndKind.FAILED:
            self._note_failed(endpoint, task, end, now_s)
        elif end.kind is EndKind.DONE:
            endpoint.note_success()
            if is_own and task.status in ACTIVE_STATUSES:
                self.model.learn(
                    job.spec.terms.queue,
                    task.step.estimate_s,
                    endpoint.facts.life.endpoint_id,
                    now_s - task.started_s,
                )
        elif end.kind is not EndKind.STOPPED:
            logger.info(
                "run ended as {}",
                end.kind.value,
                extra=self._extra(job=end.name.job_id, task=list(end.name[1:]), run=end.run),
            )
        self.book.note_end(task, end, endpoint.facts.life)
        if job.is_final:
            active = [task for task in job.tasks.values() if task.status in ACTIVE_STATUSES]
            self._finish(job, active)

    def _note_failed(
        self, endpoint: EndpointState, task: Task, end: EndedRun, now_s: float
    ) -> None:
        life = endpoint.facts.life
        is_closed = not task.failed_at and endpoint.note_failure(now_s)
        self._count("failed_runs")
        logger.info(
            "run failed",
            extra=self._extra(
                job=end.name.job_id,
                task=list(end.name[1:]),
                run=end.run,
                endpoint=life.endpoint_id,
                failures_of_task=len(task.failed_runs) + 1,
                failures_of_endpoint=endpoint.failures_in_row,
                endpoint_closed=is_closed,
            ),
        )

    async def _settle_uncertain(self, endpoint: EndpointState, calls: EndpointCalls) -> None:
        """Stops the runs whose start was not answered and that the endpoint does not show."""
        for (name, run), present in list(endpoint.present.items()):
            if present.is_uncertain and present.stop_answered_s == inf:
                try:
                    await calls.stop(name, run, self.fence)
                    present.stop_answered_s = self._clock.now_s()
                except FencedOffError:
                    self.end("an endpoint has a newer holder")
                except EndpointCallError as error:
                    logger.debug("a stop was not answered: {}", error.message)

    def _stop_soon(self, endpoint: EndpointState, name: TaskName, run: int) -> None:
        if self._task_group is not None:
            self._task_group.start_soon(self._stop, endpoint, name, run)

    async def _stop(self, endpoint: EndpointState, name: TaskName, run: int) -> None:
        calls = self._calls[endpoint.facts.life]
        try:
            await calls.stop(name, run, self.fence)
        except FencedOffError:
            self.end("an endpoint has a newer holder")
            return
        except EndpointCallError as error:
            logger.debug("a stop was not answered: {}", error.message)  # the next report shows it
            return
        present = endpoint.present.get((name, run))
        if present is not None:
            present.stop_answered_s = min(present.stop_answered_s, self._clock.now_s())
        self._wakeups[endpoint.facts.life].set()

    # Starting tasks

    async def _keep_placing(self) -> None:
        while True:
            await self._dispatch.wait()
            self._dispatch = Event()
            self._resolve_jobs()
            place_waiting(
                self.book,
                self.endpoints.values(),
                self.model,
                self._clock.now_s(),
                self._order,
            )

    def _resolve_jobs(self) -> None:
        """Lets tasks wait for a start once every endpoint that may run them was heard."""
        if not self._unresolved or not self._has_list:
            return
        now_s = self._clock.now_s()
        are_contacted = all(endpoint.is_contacted for endpoint in self.endpoints.values())
        listed = {life.endpoint_id for life in self.endpoints}
        is_complete = self._inherited is not None and self._inherited <= listed
        left = []
        for unresolved in self._unresolved:
            age_s = now_s - unresolved.since_s
            if not unresolved.job.is_final and not can_resolve(age_s, are_contacted, is_complete):
                left.append(unresolved)
            elif not unresolved.job.is_final:
                self.book.resolve(unresolved.job)
        self._unresolved = left

    def _order(self, task: Task, endpoint: EndpointState) -> None:
        now_s = self._clock.now_s()
        self.book.note_ordered(task, endpoint.facts.life, now_s)
        endpoint.occupy(task.name, task.run, task.step.needs)
        self._count("orders")
        if self._task_group is not None:
            self._task_group.start_soon(self._start, task, endpoint, task.run)

    async def _start(self, task: Task, endpoint: EndpointState, run: int) -> None:
        life = endpoint.facts.life
        payload = self.book.jobs[task.name.job_id].spec.payload
        order = StartOrder(task.name, run, payload, self.fence, task.saved)
        self._wakeups[life].set()
        outcome = await self._calls[life].start(order)
        now_s = self._clock.now_s()
        present = endpoint.present.get((task.name, run))
        if outcome is StartOutcome.STARTED:
            if present is not None:
                present.answered_s = min(present.answered_s, now_s)
                is_current = task.life == life and task.run == run
                if is_current and task.status is TaskStatus.STARTING:
                    task.status = TaskStatus.RUNNING
                if self.book.find_task(task.name) is None:
                    self._stop_soon(endpoint, task.name, run)
            self._wakeups[life].set()
            return
        logger.info(
            "start not confirmed: {}",
            outcome.value,
            extra=self._extra(
                job=task.name.job_id, task=list(task.name[1:]), run=run, endpoint=life.endpoint_id
            ),
        )
        self._count("starts_" + outcome.value)
        self._take_unstarted(task, endpoint, run, outcome, present, now_s)

    def _take_unstarted(
        self,
        task: Task,
        endpoint: EndpointState,
        run: int,
        outcome: StartOutcome,
        present: PresentRun | None,
        now_s: float,
    ) -> None:
        if outcome is StartOutcome.FENCED_OFF:
            self.end("an endpoint has a newer holder")
            return
        if outcome is StartOutcome.UNKNOWN:
            if present is not None and present.answered_s == inf:
                present.is_uncertain = True
                if task.life == endpoint.facts.life and task.run == run:
                    task.status = TaskStatus.UNCERTAIN
            self._wakeups[endpoint.facts.life].set()
            return
        if outcome is StartOutcome.OTHER_LIFE:
            self._forget(endpoint, "another life answers at its address")
            return
        if outcome is StartOutcome.NO_ROOM:
            endpoint.note_no_room(now_s)
        elif outcome is not StartOutcome.RUN_TOO_OLD:
            endpoint.close(now_s)
        self._drop_run(endpoint, task.name, run, f"not started: {outcome.value}")
        self._dispatch.set()

    # Ends of jobs

    def _finish(self, job: Job, active: list[Task], reply: HandInReply | None = None) -> None:
        """Stores a job's outcome and tells the daemon that handed it in."""
        for task in active:
            endpoint = self.endpoints.get(task.life) if task.life is not None else None
            if endpoint is not None:
                self._stop_soon(endpoint, task.name, task.run)
        job_id = job.spec.job_id
        if job_id in self._stored or job_id not in self.book.jobs:
            return
        self._count(job.state.value)
        logger.info(
            "job {}",
            job.state.value,
            extra=self._extra(
                job=job_id,
                queue=job.spec.terms.queue,
                age_s=round(self._clock.now_s() - job.accepted_s, 3),
            ),
        )
        if not job.spec.is_kept:
            self.book.close(job)
            wait = self._waits.pop(job_id, None)
            if wait is not None:
                wait.reply = reply or HandInReply(state=job.state.value)
                wait.ended.set()
            return
        self._stored[job_id] = Event()
        if job.entry and job.state is not JobState.CANCELLED:
            self._notify(job.entry, JobsEnded({job_id: job.state.value}))
        if self._task_group is not None:
            self._task_group.start_soon(self._store_outcome, job)

    async def _store_outcome(self, job: Job) -> None:
        job_id = job.spec.job_id
        change_parts = (
            ((final_key(job_id), encode_final(job.state, time())),),
            (open_key(self.group, job_id),),
        )
        while True:
            try:
                await self._ledger.make(Change(written=change_parts[0], removed=change_parts[1]))
                break
            except TenureLostError:
                self.end("the claim is another daemon's")
                return
            except StoreError as error:
                logger.debug("outcome of {} not stored yet: {}", job_id, error.message)
                await sleep(RETRY_PAUSE_S)
        self.book.close(job)
        for kept in self._kept_ends.pop(job_id, ()):
            kept.endpoint.release(kept.number)
        self._stored.pop(job_id).set()

    def _store_old_progress(self, now_s: float) -> None:
        """Begins to store what endpoints would otherwise have to remember for long."""
        for job_id, ends in self._kept_ends.items():
            job = self.book.jobs.get(job_id)
            if job is None or job.is_final or job_id in self._storing_progress:
                continue
            if ends and now_s - ends[0].seen_s > PROGRESS_AGE_S and self._task_group is not None:
                self._storing_progress.add(job_id)
                self._task_group.start_soon(self._store_progress, job)

    async def _store_progress(self, job: Job) -> None:
        job_id = job.spec.job_id
        kept = list(self._kept_ends.get(job_id, ()))
        stored = StoredJob(job.spec, job.accepted_unix_s, job.progress())
        change = Change(
            absent=(final_key(job_id),),
            written=((open_key(self.group, job_id), encode_job(stored)),),
        )
        try:
            await self._ledger.make(change)
        except TenureLostError:
            self.end("the claim is another daemon's")
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
            end.endpoint.release(end.number)

    # Upkeep

    async def _tick(self) -> None:
        while True:
            await sleep(TICK_S)
            now_s = self._clock.now_s()
            self._pauses.note_run()
            self._store_old_progress(now_s)
            if not self._pauses.is_refreshing:
                self._move_stalled(now_s)
                self._give_up_unkept(now_s)
            self._release_orphan_ends(now_s)
            if (
                any(endpoint.closed_until_s for endpoint in self.endpoints.values())
                or self._unresolved
            ):
                self._dispatch.set()

    def _release_orphan_ends(self, now_s: float) -> None:
        left = []
        for kept in self._orphan_ends:
            if self._may_have_orphans(kept.endpoint, now_s):
                left.append(kept)
            else:
                kept.endpoint.release(kept.number)
        self._orphan_ends = left

    def _give_up_unkept(self, now_s: float) -> None:
        """Ends the jobs that nobody waits for, or that would end too late if they began now."""
        for job in list(self.book.jobs.values()):
            if job.spec.is_kept or job.is_final:
                continue
            if not self._is_entry_alive(job.entry):
                self.drop(job.spec.job_id, "its entry daemon is not heard")
            elif not job.started and now_s + job.expected_s > last_useful_s(job):
                retry_after_s = SHORTEST_RETRY_AFTER_S
                self._note_refused(job.spec, retry_after_s)
                self.book.cancel(job)
                self._finish(job, [], HandInReply(TOO_LATE, retry_after_s))

    def _move_stalled(self, now_s: float) -> None:
        """Stops tasks that make no progress, so that they start elsewhere."""
        for endpoint in self.endpoints.values():
            if endpoint.missed_calls:
                continue
            for name, run in list(endpoint.present):
                task = self.book.find_task(name)
                if task is None or task.run != run or task.status is not TaskStatus.RUNNING:
                    continue
                queue = self.book.jobs[name.job_id].spec.terms.queue
                expected_s = self.model.expect_s(queue, task.step.estimate_s)
                limit_s = max(SHORTEST_STALL_S, STALL_FACTOR * expected_s / 20)
                if now_s - task.progressed_s > limit_s:
                    logger.info(
                        "task makes no progress and is moved",
                        extra=self._extra(
                            job=name.job_id,
                            task=list(name[1:]),
                            run=run,
                            endpoint=endpoint.facts.life.endpoint_id,
                            progress_percent=task.progress_percent,
                            silent_s=round(now_s - task.progressed_s, 3),
                        ),
                    )
                    task.progressed_s = now_s
                    self._count("stalled_runs")
                    endpoint.close(now_s)
                    self._stop_soon(endpoint, name, run)

    async def _send_heartbeats(self) -> None:
        while True:
            self.send_heartbeat()
            await sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeat(self) -> None:
        """Tells all daemons that this one is the holder."""
        endpoints = tuple(life.endpoint_id for life, e in self.endpoints.items() if e.present)
        heartbeat = HolderHeartbeat(self.group, self.fence, endpoints, self.is_leaving)
        for incarnation in self._members():
            self._notify(incarnation, heartbeat)

    async def _watch_claim(self) -> None:
        """Makes sure of the claim while nothing is written."""
        while True:
            await sleep(TENURE_CHECK_S / 2)
            age_s = self._clock.now_s() - self._confirmed_s
            if age_s < TENURE_CHECK_S:
                continue
            limit_s = LONE_TENURE_S if self._has_store_elsewhere() else OUTAGE_TENURE_S
            if age_s > limit_s:
                self._suspend_kept(age_s)
            sent_s = self._clock.now_s()
            try:
                entry = await self._store.get(claim_key(self.group))
            except StoreError as error:
                logger.debug("the claim can't be checked: {}", error.message)
                continue
            if entry is None or entry.revision != self._claim_revision:
                self.end("the claim is another daemon's")
                return
            self._note_confirmed(sent_s)

    def _suspend_kept(self, age_s: float) -> None:
        """Stops the kept jobs: another holder may be carrying them out."""
        for job in self.book.jobs.values():
            if not job.spec.is_kept and not job.is_final:
                continue
            for task in job.tasks.values():
                endpoint = self.endpoints.get(task.life) if task.life is not None else None
                if endpoint is not None and task.status in ACTIVE_STATUSES:
                    logger.info(
                        "run stopped: the store has not confirmed the claim",
                        extra=self._extra(job=job.spec.job_id, silent_s=round(age_s, 3)),
                    )
                    self._stop_soon(endpoint, task.name, task.run)
            job.waiting.clear()
        if any(job.spec.is_kept for job in self.book.jobs.values()):
            self.end(f"the store has not confirmed the claim for {age_s:.1f} s")

    def _note_confirmed(self, at_s: float) -> None:
        self._confirmed_s = max(self._confirmed_s, at_s)

    @property
    def store_age_s(self) -> float:
        """Time since the store confirmed the claim."""
        return self._clock.now_s() - self._confirmed_s

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1
