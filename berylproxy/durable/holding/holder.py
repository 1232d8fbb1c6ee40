"""The holder of an endpoint group: accepts its jobs and runs them while its claim is in force."""

from collections import Counter
from collections.abc import Set
from dataclasses import dataclass
from math import inf
from time import time

from anyio import Event, create_task_group, fail_after, move_on_after, sleep
from logbook import Logger

from berylproxy.durable.decisions.acceptance import MAX_OPEN_JOBS, Admission, Refusal
from berylproxy.durable.decisions.placement import PlacementPolicies, place_waiting_tasks
from berylproxy.durable.decisions.returns import SHORTEST_RETRY_AFTER_S
from berylproxy.durable.decisions.routing import TypicalNeed, measure_room_millicores
from berylproxy.durable.decisions.shares import ClaimantShare, SharedOrder
from berylproxy.durable.endpoints.group_membership import GroupMembership
from berylproxy.durable.endpoints.neighbours import NeighbourModel
from berylproxy.durable.holding.best_effort import (
    AdmissionDecision,
    BestEffortJobs,
    SharedReply,
)
from berylproxy.durable.holding.contention import (
    FENCES_PER_CLAIM,
    HEARTBEAT_INTERVAL_S,
    HEARTBEATS_PER_BROADCAST,
    SUSPICION_TIMEOUT_S,
)
from berylproxy.durable.holding.context import HolderContext, InheritedEndpoints
from berylproxy.durable.holding.ledger import (
    Change,
    KeyExistsError,
    Ledger,
    NotHolderError,
    TenureLostError,
)
from berylproxy.durable.holding.outcomes import OutcomeStore
from berylproxy.durable.holding.records import (
    StoredValueError,
    claim_key,
    decode_final,
    decode_job,
    encode_job,
    encode_model,
    encode_released_claim,
    final_key,
    model_key,
    open_key,
    open_prefix,
)
from berylproxy.durable.jobs.job_table import Job, JobTable, expect_chain_s
from berylproxy.durable.jobs.messages import (
    TOO_LATE,
    DropJob,
    HolderHeartbeat,
    JobsEnded,
    JobSubmission,
    JobSubmissionReply,
)
from berylproxy.durable.jobs.models import (
    EndpointInfo,
    JobSpec,
    JobState,
    StoredJob,
)
from berylproxy.durable.jobs.run_numbers import first_durable_run
from berylproxy.durable.learning.estimates import RunTimeModel
from berylproxy.durable.orders.group import EndpointGroup
from berylproxy.durable.orders.job_log import JobLog
from berylproxy.durable.orders.orphans import LoadedClaim
from berylproxy.durable.orders.tenure import Tenure
from berylproxy.pause import PauseDetector
from berylproxy.store.port import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

TICK_INTERVAL_S = 0.05
STORED_END_WAIT_S = 0.2  # within the time that an entry daemon waits for a holder's reply
RETRY_PAUSE_S = 0.05
# In one transaction, which has 32 entries at most. A queue that had one of further services may
# have its job run there, too.
MAX_OTHER_GROUPS = 16
LEASE_LENGTH_S = 1.0  # the longest lease that endpoints grant
SURVEY_INTERVAL_S = 0.2
CLAIM_CHECK_INTERVAL_S = 0.4
NEIGHBOUR_REFRESH_INTERVAL_S = 0.5
MODEL_STORE_INTERVAL_S = 2.0  # a successor lacks at most the run times of this period
# Limits of a tenure with durable jobs while the store does not answer this daemon:
UNCONFIRMED_TENURE_S = 1.5  # another daemon may reach the store and replace the claim
OUTAGE_TENURE_S = 10.0  # no other daemon can reach the store either
CLAIM_READ_TIMEOUT_S = 0.7
# After a longer pause of this daemon, others may have found the holder silent and have claimed.
UNNOTICED_PAUSE_S = SUSPICION_TIMEOUT_S - HEARTBEAT_INTERVAL_S
CLAIM_NEWS_S = 0.5  # by then a new holder's heartbeat has arrived, or the claim was checked
LONGEST_UNCONFIRMED_TENURE_S = (
    UNCONFIRMED_TENURE_S + CLAIM_READ_TIMEOUT_S + CLAIM_CHECK_INTERVAL_S / 2
)
# After this time, the leases that a former holder extended have lapsed.
FORMER_TENURE_LIMIT_S = LONGEST_UNCONFIRMED_TENURE_S + LEASE_LENGTH_S + 0.3
# A former holder may have ordered runs at an endpoint for this long after it has left the list,
# besides those that its last heartbeat named: until it read the list, or after an outage waited for
# the endpoint to come back, and sent a heartbeat.
UNNAMED_RUNS_S = 4.0

logger = Logger("berylproxy.durable.holder")


@dataclass(frozen=True, slots=True)
class UnresolvedJob:
    """A job that may still run, for a former holder, at endpoints that have not answered yet.

    :param since_s: monotonic time at which the job was loaded or submitted again.
    :param former_fence: fence of the former holder; 0 for the direct predecessor.
    """

    job: Job
    since_s: float
    former_fence: int


def can_resolve(
    age_s: float,
    are_contacted: bool,
    are_surveyed: bool,
    are_former_listed: bool,
    *,
    is_durable: bool,
) -> bool:
    """Returns whether a task that no endpoint reports certainly neither runs nor has been done.

    :param age_s: time since the job was loaded or submitted again.
    :param are_contacted: whether all listed endpoints have accepted this holder's fence.
    :param are_surveyed: whether those that have are known to hide no runs and ends. Else time
        proves nothing, since this holder may have extended their leases.
    :param are_former_listed: whether all endpoints that the former holder used are listed, and
        known to be in the group. Until it learns of its successor, it may extend the leases at
        those that are not.
    :param is_durable: whether the job is durable; a best-effort job is withdrawn from the former
        holder by its entry daemon.
    """
    if not are_surveyed:
        return False
    if are_contacted and are_former_listed:
        return True
    if are_contacted and not is_durable:
        return age_s >= LEASE_LENGTH_S + HEARTBEAT_INTERVAL_S
    return age_s >= FORMER_TENURE_LIMIT_S


def are_former_endpoints_listed(
    inherited: InheritedEndpoints | None, former_fence: int, listed: Set[str]
) -> bool:
    """Returns whether all endpoints that a former holder used are listed.

    For a provisional holder that is never certain: it may have used more endpoints than its last
    heartbeat named, and their entries may have lapsed while its failure domain was cut off.

    :param inherited: endpoints of the last known holder; ``None`` if they are unknown.
    :param former_fence: fence of the holder that may have begun the job; 0 for the direct
        predecessor.
    :param listed: identifiers of the endpoints in the platform's list.
    """
    if inherited is None or former_fence % FENCES_PER_CLAIM:
        return False
    return former_fence in (0, inherited.fence) and inherited.endpoint_ids <= listed


class Holder:
    """Accepts, places and finishes the jobs of one group during one tenure.

    :param fence: fencing token of the orders to endpoints.
    :param claim_revision: revision of the claim; 0 for a provisional holder, which has none.
    :param inherited: endpoints of the former holder; ``None`` if nothing is known about it.
    :param model: run times learned so far, which this holder goes on learning.
    :param neighbours: what is known of the kinds of task that slow each other down.
    """

    def __init__(
        self,
        group: str,
        fence: int,
        claim_revision: int,
        inherited: InheritedEndpoints | None,
        model: RunTimeModel,
        neighbours: NeighbourModel,
        context: HolderContext,
    ) -> None:
        tenure = Tenure(group, fence, claim_revision, context.clock, context.telemetry)
        self.tenure = tenure
        self.job_table = JobTable(model)
        self._loaded_claim: LoadedClaim | None = None
        self.is_leaving = False
        self.is_released = False
        self._is_releasing = False
        self.admission = Admission(self.job_table, model)
        self._was_scarce = False
        self._model = model
        self.neighbours = neighbours
        self._neighbours_refreshed_s = tenure.began_s
        self._inherited = inherited
        self._context = context
        self._clock = context.clock
        self._store = context.store
        self._telemetry = context.telemetry
        self.group = EndpointGroup(
            tenure,
            context.directory,
            context.endpoint_list,
            context.evacuations,
            self.job_table,
            model,
            neighbours,
            self._membership,
            lambda endpoint, end: self._outcomes.retain_end(endpoint, end),
            self._finish,
            lambda job: self._outcomes.note_progress(job),
            self._may_have_to_end,
        )
        self._policies = PlacementPolicies(SharedOrder(), neighbours, self.group.suspicion)
        self._ledger = Ledger(self._store, (claim_key(group), claim_revision), tenure.confirm)
        self._outcomes = OutcomeStore(
            tenure, self._ledger, self.job_table, self._announce_end, self._cancel
        )
        self._log = JobLog(tenure, self.job_table)
        self._best_effort_jobs = BestEffortJobs(
            tenure,
            self.job_table,
            self.group,
            self._log,
            self._admit,
            lambda spec: expect_chain_s(spec, model),
            self.measure_room_millicores,
            lambda job, now_s, former: self._unresolved.append(UnresolvedJob(job, now_s, former)),
        )
        self._unresolved: list[UnresolvedJob] = []
        self._pending_submissions: dict[str, SharedReply] = {}
        self._possibly_stored: set[str] = set()
        self._typical_need = TypicalNeed()
        self._watchers: list[str] = []
        self._pauses = PauseDetector(context.clock)
        self._short_pauses = PauseDetector(context.clock, UNNOTICED_PAUSE_S, CLAIM_NEWS_S)

    def _membership(self, info: EndpointInfo) -> GroupMembership:
        return self._context.membership(self.tenure.group, info.service, info.instance.endpoint_id)

    async def run(self) -> None:
        """Loads the open jobs and serves the group until the tenure ends."""
        try:
            async with create_task_group() as task_group:
                self.tenure.task_group = task_group
                task_group.start_soon(self._send_heartbeats)
                task_group.start_soon(self.group.follow_directory)
                task_group.start_soon(self.group.follow_heard_capacities)
                task_group.start_soon(self.group.follow_evacuations)
                task_group.start_soon(self._place_tasks)
                task_group.start_soon(self._run_periodic_checks)
                if self.tenure.claim_revision:
                    task_group.start_soon(self._ledger.run)
                    task_group.start_soon(self._recheck_claim)
                    task_group.start_soon(self._store_model)
                    task_group.start_soon(self._outcomes.sweep, self._store)
                    await self._load_jobs()
                    task_group.start_soon(self._survey_callers)
        finally:
            self.tenure.task_group = None
            self._outcomes.release_waiters()
            self._best_effort_jobs.release_callers()
            await self.group.close()

    @property
    def is_loaded(self) -> bool:
        """Whether the open durable jobs are loaded."""
        return self._loaded_claim is not None

    async def _load_jobs(self) -> None:
        """Loads the open jobs from the store; retries until the store answers.

        A job that was stored after this holder's claim is that of a later holder, which may run it.
        """
        after_key, has_more = "", True
        unreadable: set[str] = set()
        while has_more:
            try:
                entries, has_more = await self._store.list_page(
                    open_prefix(self.tenure.group), after_key
                )
            except StoreError as error:
                logger.info("open jobs cannot be listed yet, retrying: {}", error.message)
                await sleep(RETRY_PAUSE_S)
                continue
            for entry in entries:
                after_key = entry.key
                if entry.revision > self.tenure.claim_revision:
                    self.tenure.end("another daemon holds the claim, and has stored an open job")
                    return
                self._ledger.note_revision(entry.key, entry.revision)
                if not self._load_job(entry.key, entry.value):
                    unreadable.add(entry.key.removeprefix(open_prefix(self.tenure.group)))
        self._loaded_claim = LoadedClaim(self.tenure.claim_revision, frozenset(unreadable))
        self.group.clear_orphans(self._loaded_claim)
        logger.info(
            "holder of {}: {} open jobs loaded",
            self.tenure.group,
            len(self._unresolved),
            extra=self.tenure.extra(),
        )

    @property
    def is_unused(self) -> bool:
        """Whether there certainly are no jobs in the group, and no runs of any."""
        return (
            self._loaded_claim is not None
            and self.group.are_members_known
            and not self._loaded_claim.unreadable
            and not self.job_table.jobs
            and not self._pending_submissions
            and not self._possibly_stored
            and not any(endpoint.runs for endpoint in self.group.endpoints.values())
        )

    async def release(self) -> None:
        """Releases the claim of an unused group and ends the tenure.

        Nothing can be accepted under the former claim then, late copies of writes included.
        """
        self._is_releasing = True
        claim = ((claim_key(self.tenure.group), encode_released_claim()),)
        try:
            await self._ledger.apply(Change(constant=claim))
            self.is_released = True
            self.send_heartbeat()
            self.tenure.end("the claim is released, as the service is not configured")
        except (StoreError, TenureLostError) as error:
            self.tenure.end(f"it is not known whether the claim is released: {error.message}")

    async def _survey_callers(self) -> None:
        """Asks the entry daemons which jobs callers await, while endpoints keep unknown ones."""
        while True:
            await self.group.orphans_found.wait()
            self.group.orphans_found = Event()
            survey = await self._context.survey_awaited_jobs(self.tenure.group)
            if survey is not None:
                self.group.note_awaited_jobs(survey)
            await sleep(SURVEY_INTERVAL_S)

    def _load_job(self, key: str, value: bytes) -> bool:
        """Adds a stored open job to the job table; returns whether its record can be decoded."""
        try:
            stored = decode_job(value)
        except StoredValueError as error:
            logger.error(
                "open job {} skipped, its stored record cannot be decoded: {}", key, error.message
            )
            return False
        now_s = self._clock.now_s()
        age_s = max(time() - stored.accepted_unix_s, 0.0)
        job = self.job_table.open(
            stored,
            now_s - age_s,
            first_run=first_durable_run(self.tenure.fence),
            may_have_begun=True,
        )
        self.group.restore_crashes(job, now_s)
        self.group.adopt_orphans(job, now_s)
        if not job.is_final:
            self._unresolved.append(UnresolvedJob(job, now_s, 0))
        return True

    async def submit(self, message: JobSubmission, entry: str) -> JobSubmissionReply:
        """Accepts or refuses a job.

        Returns for a durable job as soon as it is stored, for a best-effort job once it has ended.

        :param entry: incarnation of the entry daemon.
        :raises NotHolderError: if this daemon is not the holder, has not loaded the open jobs, or
            its tenure ended before a best-effort job began.
        :raises TenureLostError: if the tenure ended before a best-effort job did.
        :raises JobAbandonedError: if a best-effort job has begun and cannot end in time.
        :raises JobInterruptedError: if a best-effort job was dropped meanwhile.
        :raises StoreError: if it is not known whether the job is stored.
        """
        spec = message.job
        if self.tenure.is_over or self._is_releasing:
            raise NotHolderError("this daemon is not the holder")
        if not spec.is_durable:
            return await self._best_effort_jobs.run_best_effort(message, entry)
        if not self.tenure.claim_revision:
            return JobSubmissionReply("the store is not available", SHORTEST_RETRY_AFTER_S)
        if not self.is_loaded:
            raise NotHolderError("the open jobs are not loaded yet")
        if spec.job_id in self._pending_submissions:
            shared_reply = self._pending_submissions[spec.job_id]
        elif self.job_table.state(spec.job_id) is not None:
            job = self.job_table.jobs.get(spec.job_id)
            if job is not None:
                job.entry = entry
            return JobSubmissionReply()
        else:
            shared_reply = self._pending_submissions[spec.job_id] = SharedReply()
            self.tenure.spawn(self._complete_submission, shared_reply, spec, entry)
        await shared_reply.answered.wait()
        if shared_reply.reply is None:
            raise shared_reply.error or StoreOutcomeUnknownError(
                "the tenure ended before the job was certainly stored"
            )
        return shared_reply.reply

    async def _complete_submission(
        self, shared_reply: SharedReply, spec: JobSpec, entry: str
    ) -> None:
        """Accepts or refuses a durable job, and answers all submissions of it."""
        try:
            shared_reply.reply = await self._accept(spec, entry)
        except (StoreError, TenureLostError) as error:
            # The transaction may still take effect, so a later submission must not be refused.
            self._possibly_stored.add(spec.job_id)
            shared_reply.error = StoreOutcomeUnknownError(error.message)
        finally:
            self._pending_submissions.pop(spec.job_id, None)
            shared_reply.answered.set()

    async def _accept(self, spec: JobSpec, entry: str) -> JobSubmissionReply:
        """Stores a durable job and adds it to the job table, or refuses it."""
        now_s = self._clock.now_s()
        may_be_stored = spec.job_id in self._possibly_stored
        decision = self._admit(spec, entry, inf, may_be_stored)
        if decision.refusal is not None:
            return decision.refusal
        stored = decision.stored
        other_groups = self._context.other_groups_of_job(spec.terms.service, spec.job_id)
        elsewhere = [open_key(group, spec.job_id) for group in other_groups[:MAX_OTHER_GROUPS]]
        change = Change(
            absent=(final_key(spec.job_id), *elsewhere),
            written=((open_key(self.tenure.group, spec.job_id), encode_job(stored)),),
        )
        try:
            await self._ledger.apply(change)
        except KeyExistsError:
            reply = await self._answer_existing(spec, may_be_stored=may_be_stored)
            # Late copies of earlier writes for the job fail for the same reason.
            self._possibly_stored.discard(spec.job_id)
            return reply
        except StoreUnavailableError as error:
            if may_be_stored:
                raise
            self._log.note_not_stored(spec, error.message)
            return JobSubmissionReply("the store is not available", SHORTEST_RETRY_AFTER_S)
        self._possibly_stored.discard(spec.job_id)
        self.job_table.open(
            stored,
            now_s,
            entry=entry,
            first_run=first_durable_run(self.tenure.fence),
            failure_domain=decision.tentative_job.failure_domain,
            waited_s=decision.waited_s,
            is_excess=decision.tentative_job.is_excess,
        )
        self.group.changed.set()
        return JobSubmissionReply()

    async def _answer_existing(self, spec: JobSpec, *, may_be_stored: bool) -> JobSubmissionReply:
        """Returns the reply to a submission of a job that has an outcome, or is open elsewhere.

        :param may_be_stored: whether an earlier write may have stored the job here.
        :raises StoreError: if the store doesn't tell which.
        """
        entry = await self._store.get(final_key(spec.job_id))
        try:
            is_tombstone = entry is not None and decode_final(entry.value) is None
        except StoredValueError as error:
            raise StoreOutcomeUnknownError(error.message) from error
        if not is_tombstone:
            return JobSubmissionReply()
        if may_be_stored:
            await self._outcomes.remove_open_record(spec.job_id)
        reason = "the job was cancelled before it was submitted"
        self._log.note_not_stored(spec, reason)
        return JobSubmissionReply(reason)

    def _admit(
        self, spec: JobSpec, entry: str, deadline_s: float, must_accept: bool
    ) -> AdmissionDecision:
        """Decides by the present load whether to accept a job.

        :param entry: incarnation of its entry daemon.
        :param deadline_s: monotonic time after which the caller no longer waits for the end.
        :param must_accept: whether the job is accepted whatever the load.
        """
        now_s = self._clock.now_s()
        self._typical_need.learn(spec)
        stored = StoredJob(spec, time())
        tentative_job = self.job_table.prepare(
            stored, now_s, entry=entry, failure_domain=self._context.failure_domain(entry)
        )
        tentative_job.deadline_s = deadline_s
        refusal = None if must_accept else self._decide_refusal(tentative_job, now_s)
        if refusal is None:
            waited_s = now_s - tentative_job.place_s
            if waited_s:
                self._log.note_place_kept(spec, waited_s)
            return AdmissionDecision(stored, tentative_job, waited_s, None)
        self._log.note_refused(tentative_job, refusal)
        reply = JobSubmissionReply(TOO_LATE, refusal.retry_after_s)
        return AdmissionDecision(stored, tentative_job, 0.0, reply)

    def _decide_refusal(self, tentative_job: Job, now_s: float) -> Refusal | None:
        """Returns why a job is refused; ``None`` if it is accepted."""
        if len(self.job_table.jobs) >= MAX_OPEN_JOBS:
            return Refusal("full")
        if tentative_job.spec.is_durable and now_s - self.tenure.confirmed_s > UNCONFIRMED_TENURE_S:
            return Refusal("unconfirmed")
        if not self.group.has_contacted_endpoints(now_s):
            return None
        return self.admission.decide(tentative_job, self.group.endpoints.values(), now_s)

    def _note_scarcity(self, now_s: float) -> None:
        """Logs when room has become scarce or ample."""
        is_scarce = self.admission.update_scarcity(now_s)
        if is_scarce is not self._was_scarce:
            self._was_scarce = is_scarce
            endpoints = Counter(
                endpoint.reason_not_serving(now_s) for endpoint in self.group.endpoints.values()
            )
            self._log.note_scarcity(is_scarce, self.admission.meter, self.list_shares(), endpoints)

    def list_shares(self) -> list[ClaimantShare]:
        """Lists the shares of the claimants that have recently submitted jobs."""
        return self.admission.shares.list_shares(
            self.admission.meter.observed_cores, self._clock.now_s()
        )

    async def find_state(self, job_id: str) -> str:
        """Returns a job's state; empty if there is no such job.

        A job whose end isn't stored soon counts as not ended.

        :raises NotHolderError: if this daemon is not the holder, or has not loaded the open jobs.
        :raises StoreError: if the state has to be read from the store and the read fails, it is
            not known whether the job is stored, or its record can't be decoded.
        """
        while job_id in self._pending_submissions:
            await self._pending_submissions[job_id].answered.wait()
        self._require_loaded()
        job = self.job_table.jobs.get(job_id)
        if job is not None and job.is_final:
            with move_on_after(STORED_END_WAIT_S):
                await self._outcomes.wait_until_stored(job_id)
            if job_id in self.job_table.jobs:
                # The next holder goes on with the job if the store never gets its end.
                return (JobState.RUNNING if job.started else JobState.QUEUED).value
        state = self.job_table.state(job_id)
        if state is not None:
            return state.value
        entry = await self._store.get(final_key(job_id))
        if entry is None:
            if job_id in self._possibly_stored:
                raise StoreOutcomeUnknownError("it is not known whether the job is stored")
            if self._loaded_claim is not None and job_id in self._loaded_claim.unreadable:
                raise StoreOutcomeUnknownError(f"the record of job {job_id} can't be decoded")
            return ""
        state = decode_final(entry.value)
        if state is None:
            return ""
        self.job_table.remember_outcome(job_id, state)
        return state.value

    async def cancel(self, job_id: str, *, has_tombstone: bool = False) -> str:
        """Cancels a job and returns its final state once that is stored.

        The state is empty if there is no such job.

        :param has_tombstone: whether the job can't be accepted any more.
        :raises BerylproxyError: if the cancellation may not be stored.
        """
        while job_id in self._pending_submissions:
            await self._pending_submissions[job_id].answered.wait()
        if job_id in self._possibly_stored and not self.tenure.is_over:
            await self._cancel_possibly_stored(job_id)
        if has_tombstone and self._is_unknown(job_id):
            self._best_effort_jobs.note_cancelled(job_id)
            return ""
        state = await self.find_state(job_id)
        job = self.job_table.jobs.get(job_id)
        if job is None:
            return state
        self._cancel(job)
        await self._outcomes.wait_until_stored(job_id)
        if self.tenure.is_over or job_id in self.job_table.jobs:
            raise TenureLostError("the tenure ended before the cancellation was certainly stored")
        return job.state.value

    def _cancel(self, job: Job) -> None:
        """Cancels a durable or best-effort job unless it has ended."""
        if not job.is_final:
            logger.info("job cancelled by its caller", extra=self.tenure.extra(job=job.spec.job_id))
            self.job_table.cancel(job)
            self._finish(job)

    def _is_unknown(self, job_id: str) -> bool:
        """Returns whether this holder has no such job, and no outcome or unreadable record of it.

        :raises NotHolderError: if this daemon is not the holder, or has not loaded the open jobs.
        """
        self._require_loaded()
        is_unreadable = self._loaded_claim is not None and job_id in self._loaded_claim.unreadable
        return not is_unreadable and self.job_table.state(job_id) is None

    def _require_loaded(self) -> None:
        if self.tenure.is_over or self._is_releasing or not self.is_loaded:
            raise NotHolderError(
                "this daemon is not the holder, or has not loaded the open jobs yet"
            )

    async def _cancel_possibly_stored(self, job_id: str) -> None:
        """Stores the outcome of a job whose record may yet be stored, which this prevents."""
        shared_reply = self._pending_submissions[job_id] = SharedReply()
        self.tenure.spawn(self._store_cancellation, shared_reply, job_id)
        await shared_reply.answered.wait()
        if shared_reply.error is not None:
            raise shared_reply.error

    async def _store_cancellation(self, shared_reply: SharedReply, job_id: str) -> None:
        """Stores the outcome, and answers the submissions that have come meanwhile."""
        try:
            await self._outcomes.store_cancellation(job_id)
            self._possibly_stored.discard(job_id)
            shared_reply.reply = JobSubmissionReply()
        except (StoreError, TenureLostError) as error:
            shared_reply.error = StoreOutcomeUnknownError(error.message)
        finally:
            self._pending_submissions.pop(job_id, None)
            shared_reply.answered.set()

    def count_pending(self, queue: str) -> int:
        """Returns the number of a queue's open jobs of which no task has begun."""
        return self.job_table.count_pending(queue)

    async def _place_tasks(self) -> None:
        """Places waiting tasks after each change in the group, until cancelled."""
        while True:
            await self.group.changed.wait()
            self.group.changed = Event()
            self._resolve_jobs()
            if not self.group.has_read_list:
                continue
            place_waiting_tasks(
                self.job_table,
                self.group.endpoints.values(),
                self._model,
                self._clock.now_s(),
                self.group.order_start,
                self._context.remote_factor(),
                self._policies,
                self.tenure.confirmed_s,
            )
            self.admission.note_placed(self._clock.now_s())

    def _resolve_jobs(self) -> None:
        """Makes unresolved tasks ready to start once no endpoint can be running them."""
        if not self._unresolved or not self.group.has_read_list:
            return
        now_s = self._clock.now_s()
        endpoints = self.group.endpoints.values()
        are_contacted = all(endpoint.is_contacted for endpoint in endpoints)
        are_surveyed = all(e.is_surveyed for e in endpoints if e.is_contacted)
        listed = {instance.endpoint_id for instance in self.group.endpoints}
        vanished = self._context.endpoint_list.list_vanished(self.tenure.began_s - UNNAMED_RUNS_S)
        may_have_unnamed = any(
            self._membership(info) is not GroupMembership.OTHER_GROUP for info in vanished
        )
        still_unresolved = []
        for unresolved in self._unresolved:
            age_s, is_durable = now_s - unresolved.since_s, unresolved.job.spec.is_durable
            are_former_listed = (
                self.group.has_all_used_endpoints
                and are_former_endpoints_listed(self._inherited, unresolved.former_fence, listed)
                and not (is_durable and may_have_unnamed)
            )
            if not unresolved.job.is_final and not can_resolve(
                age_s,
                are_contacted,
                are_surveyed,
                are_former_listed,
                is_durable=is_durable,
            ):
                still_unresolved.append(unresolved)
            elif not unresolved.job.is_final:
                claim_needed_s = -inf
                if is_durable and not (are_contacted and are_former_listed):
                    # Another holder may have learned from an endpoint that a task is done.
                    claim_needed_s = now_s
                    self.tenure.confirmation_wanted.set()
                self.job_table.resolve(unresolved.job, claim_needed_s=claim_needed_s)
        self._unresolved = still_unresolved

    def _finish(self, job: Job) -> None:
        """Handles a job's final state: answers the caller, or begins to store the outcome."""
        if not job.spec.is_durable:
            self._best_effort_jobs.finish(job)
            return
        self.group.stop_all_runs(job)
        job_id = job.spec.job_id
        if job_id not in self.job_table.jobs or self._outcomes.is_storing(job_id):
            return
        self._log.note_ended(job)
        self._outcomes.start_storing(job)

    def _announce_end(self, job: Job) -> None:
        """Tells the entry daemon of a durable job that it has ended."""
        if job.entry and job.state is not JobState.CANCELLED:
            self._context.notify(job.entry, JobsEnded({job.spec.job_id: job.state.value}))

    def drop(self, job_id: str, reason: str) -> None:
        """Drops a best-effort job whose caller no longer waits for it."""
        self._best_effort_jobs.drop(job_id, reason)

    def withdraw(self, message: DropJob, entry: str, reason: str) -> None:
        """Drops a best-effort job unless it was submitted again since the withdrawn attempt.

        :param entry: incarnation of the entry daemon whose caller no longer waits.
        """
        self._best_effort_jobs.withdraw(message, entry, reason)

    async def _run_periodic_checks(self) -> None:
        while True:
            await sleep(TICK_INTERVAL_S)
            now_s = self._clock.now_s()
            self._pauses.note_run()
            self._short_pauses.note_run()
            self._outcomes.store_old_progress(now_s)
            if not self._pauses.is_refreshing:
                self.group.move_stalled_runs(now_s)
                self._best_effort_jobs.drop_unneeded(now_s, self._context.is_entry_alive)
            self.group.release_orphan_ends(now_s)
            self._refresh_neighbours(now_s)
            self._note_scarcity(now_s)
            if self._unresolved or any(True for _ in self.job_table.waiting_jobs()):
                self.group.changed.set()

    def _refresh_neighbours(self, now_s: float) -> None:
        """Logs and counts the pairs of kinds that have begun or ceased to slow each other down."""
        if now_s - self._neighbours_refreshed_s < NEIGHBOUR_REFRESH_INTERVAL_S:
            return
        self._neighbours_refreshed_s = now_s
        for change in self.neighbours.refresh(now_s):
            effect = change.effect
            self._telemetry.count(
                "neighbour_pairs", change="found" if change.is_found else "cleared"
            )
            logger.info(
                "tasks of {} {} by tasks of {} on the same endpoint",
                effect.pair.kind,
                "are slowed down" if change.is_found else "are no longer slowed down",
                effect.pair.neighbour,
                extra=self.tenure.extra(
                    factor=round(effect.factor, 3), certainty=round(effect.certainty, 1)
                ),
            )

    async def _send_heartbeats(self) -> None:
        while True:
            self.group.members_added = Event()
            self.send_heartbeat()
            for number in range(HEARTBEATS_PER_BROADCAST):
                if number:
                    self._send_heartbeat_to(self._watchers, HEARTBEAT_INTERVAL_S)
                with move_on_after(HEARTBEAT_INTERVAL_S):
                    # A new endpoint is named before it can have run anything.
                    await self.group.members_added.wait()
                    break

    def send_heartbeat(self) -> None:
        """Announces to all daemons that this one is the holder."""
        self._watchers = self._context.watchers(self.tenure.group)
        others = [member for member in self._context.members() if member not in self._watchers]
        self._send_heartbeat_to(self._watchers, HEARTBEAT_INTERVAL_S)
        self._send_heartbeat_to(others, HEARTBEATS_PER_BROADCAST * HEARTBEAT_INTERVAL_S)

    def _send_heartbeat_to(self, incarnations: list[str], interval_s: float) -> None:
        endpoint_list = self._context.endpoint_list
        endpoints = tuple(
            instance.endpoint_id
            for instance, endpoint in self.group.endpoints.items()
            if endpoint.runs or endpoint_list.is_new(instance)
        )
        heartbeat = HolderHeartbeat(
            self.tenure.group,
            self.tenure.fence,
            endpoints,
            self.is_leaving,
            self.measure_room_millicores(),
            interval_s,
            self.is_released,
        )
        for incarnation in incarnations:
            self._context.notify(incarnation, heartbeat)

    def measure_room_millicores(self) -> int:
        """Returns the processor share that is free for further jobs; negative if tasks wait."""
        return measure_room_millicores(
            self.group.endpoints.values(),
            self.job_table.waiting_jobs(),
            self._typical_need,
            self._clock.now_s(),
        )

    async def _recheck_claim(self) -> None:
        """Reads the claim while no write confirms it.

        If the claim stays unconfirmed for too long, another daemon may have replaced it: open
        durable jobs are suspended and the tenure ends. A tenure without such jobs goes on.
        """
        while True:
            with move_on_after(CLAIM_CHECK_INTERVAL_S / 2):
                await self.tenure.confirmation_wanted.wait()
            is_wanted = self.tenure.confirmation_wanted.is_set()
            self.tenure.confirmation_wanted = Event()
            age_s = self._clock.now_s() - self.tenure.confirmed_s
            if age_s < CLAIM_CHECK_INTERVAL_S and not is_wanted:
                continue
            limit_s = (
                UNCONFIRMED_TENURE_S if self._context.may_others_reach_store() else OUTAGE_TENURE_S
            )
            if age_s > limit_s:
                self._suspend_durable_jobs(age_s)
            sent_s = self._clock.now_s()
            try:
                with fail_after(CLAIM_READ_TIMEOUT_S):
                    entry = await self._store.get(claim_key(self.tenure.group))
            except TimeoutError:
                logger.debug("the claim can't be checked: no answer in {} s", CLAIM_READ_TIMEOUT_S)
                continue
            except StoreError as error:
                logger.debug("the claim cannot be checked: {}", error.message)
                continue
            if entry is None or entry.revision != self.tenure.claim_revision:
                self.tenure.end("another daemon holds the claim")
                return
            self.tenure.confirm(sent_s)
            self.group.changed.set()

    async def _store_model(self) -> None:
        """Stores the learned run times regularly, so that a successor can start from them."""
        while True:
            await sleep(MODEL_STORE_INTERVAL_S)
            value = encode_model(self._model, self.neighbours.describe())
            written = ((model_key(self.tenure.group), value),)
            try:
                await self._ledger.apply(Change(written=written))
            except TenureLostError:
                self.tenure.end("another daemon holds the claim")
            except StoreError as error:
                logger.debug("learned run times not stored: {}", error.message)

    def _may_have_to_end(self) -> bool:
        """Returns whether the tenure may soon end, as far as this daemon can tell.

        The store doesn't confirm its claim, or it was paused and may have been replaced meanwhile.
        """
        if not self.tenure.claim_revision:
            return False
        self._short_pauses.note_run()
        if self._short_pauses.is_refreshing:
            return True
        age_s = self._clock.now_s() - self.tenure.confirmed_s
        return age_s > UNCONFIRMED_TENURE_S / 2 and bool(self._list_durable_jobs())

    def _list_durable_jobs(self) -> list[Job]:
        """Lists the durable jobs whose outcomes aren't stored."""
        return [job for job in self.job_table.jobs.values() if job.spec.is_durable]

    def _suspend_durable_jobs(self, age_s: float) -> None:
        """Ends the tenure, so that another daemon takes over; has no effect without durable jobs.

        Another holder may be running the jobs. It adopts their runs, which lapse if nobody does.
        """
        durable_jobs = self._list_durable_jobs()
        if not durable_jobs:
            return
        for job in durable_jobs:
            logger.info("durable job suspended", extra=self.tenure.extra(job=job.spec.job_id))
        self.is_leaving = True
        self.send_heartbeat()
        self.tenure.end(f"the store has not confirmed the claim for {age_s:.1f} s")
