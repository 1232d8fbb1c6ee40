"""The entry daemon's side: sends callers' requests to the holders and waits for the answers."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from anyio import (
    CancelScope,
    Event,
    create_task_group,
    fail_after,
    get_cancelled_exc_class,
    sleep,
)
from anyio.abc import TaskGroup
from logbook import Logger
from msgspec.structs import replace

from berylproxy.clock import Clock
from berylproxy.durable.holding.coordinator import GroupCoordinator
from berylproxy.durable.holding.errors import JobAbandonedError
from berylproxy.durable.holding.ledger import NotHolderError, TenureLostError
from berylproxy.durable.holding.records import (
    StoredValueError,
    decode_final,
    final_key,
    open_key,
)
from berylproxy.durable.holding.tombstones import TooManyTombstonesError
from berylproxy.durable.jobs.messages import (
    NO_ROOM,
    TOO_LATE,
    AskPending,
    AskState,
    CancelStored,
    DropJob,
    JobSubmission,
    JobSubmissionReply,
    PendingReply,
    StateReply,
)
from berylproxy.durable.jobs.models import JobSpec, JobState
from berylproxy.durable.jobs.ports import JobStore
from berylproxy.durable.orders.telemetry import Telemetry
from berylproxy.errors import BerylproxyError
from berylproxy.peers.membership import PeerUnreachableError
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.store.port import StoreError, StoreUnavailableError

MAX_CACHED_STATES = 20_000
HOLDER_REPLY_TIMEOUT_S = 0.5  # a holder answers within a few ms unless it has just failed
SUBMIT_TIMEOUT_S = 1.0  # includes a write to the store, for which a slow store takes some 0.3 s
RETRY_PAUSE_S = 0.03
FORMER_HOLDER_REPLY_WAIT_S = 0.02  # a former holder that is still alive replies within this time
# By then a successor has taken over the runs at the endpoints that it reaches, and the former
# holder has not yet started them elsewhere (UNREACHABLE_GRACE_S).
FORMER_HOLDER_DROP_DELAY_S = 0.5
NO_HOLDER_WAIT_S = 1.0  # a new holder is found within this time unless the store is unavailable


logger = Logger("berylproxy.durable.frontend")

JobQuery = AskState | CancelStored


class NotAcceptedError(BerylproxyError):
    """The job was refused: it is not stored and never runs."""

    code = "not_accepted"


class OverloadedError(NotAcceptedError):
    """The job was refused because the endpoints can't finish all the work in time."""

    code = "overloaded"


class ResultUnknownError(BerylproxyError):
    """The result of the request is unknown at present; repeating the request is safe."""

    code = "not_known_now"


@dataclass(slots=True, eq=False)
class OpenCall:
    """A caller's request for a best-effort job.

    :param number: distinguishes it from the other calls at this daemon.
    :param task_group: runs the submissions; its cancellation ends the call.
    :ivar submitted: newest attempt by group and incarnation of the holders that may have the job.
    :ivar state: state that the caller is told; ``None`` until it is known.
    :ivar error: error that the caller gets if there is no state.
    """

    number: int
    job_id: str
    task_group: TaskGroup
    submitted: dict[tuple[str, str], int] = field(default_factory=dict)
    state: JobState | None = None
    error: BerylproxyError | None = None

    def forget_holder(self, holder: tuple[str, str], attempt: int) -> None:
        """Records that a holder doesn't have the job, unless it has got it by a later attempt.

        :param holder: its group and incarnation.
        """
        if self.submitted.get(holder) == attempt:
            del self.submitted[holder]

    def list_drops(self) -> list[tuple[str, DropJob]]:
        """Lists the incarnations of the holders that may have the job, and the drops for them."""
        return [
            (incarnation, DropJob(group, self.job_id, self.number, attempt))
            for (group, incarnation), attempt in self.submitted.items()
        ]


@dataclass(slots=True, eq=False)
class Submission:
    """A best-effort job on its way to a holder.

    :param message: what is sent.
    :param holder_changed: set once another daemon has become the holder.
    :ivar ended: set once ``reply`` or ``error`` is.
    :ivar is_superseded: whether the job is submitted to another holder because of the change.
    """

    message: JobSubmission
    holder_changed: Event
    ended: Event = field(default_factory=Event)
    is_superseded: bool = False
    reply: JobSubmissionReply | None = None
    error: BerylproxyError | None = None


class JobFrontend:
    """Serves callers' requests about jobs by sending them to the holders of the groups."""

    def __init__(
        self,
        network: TcpPeerNetwork,
        coordinator: GroupCoordinator,
        store: JobStore,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self._network = network
        self._coordinator = coordinator
        self._store = store
        self._clock = clock
        self._telemetry = telemetry
        self._cached_states: OrderedDict[str, JobState] = OrderedDict()
        self._pending: dict[str, int] = {}
        self._call_numbers = count(1)

    def record_ended_jobs(self, states: dict[str, str]) -> None:
        """Caches the final states that holders report for durable jobs.

        :param states: state by job.
        """
        for job_id, state in states.items():
            self._cache_state(job_id, JobState(state))

    async def run_best_effort(self, spec: JobSpec, wait_s: float) -> JobState:
        """Runs a best-effort job and returns its final state.

        The job is submitted again to each new holder while the caller waits. It is dropped when
        the caller disconnects, which cancels this call, or when the wait has ended.

        :param wait_s: how long the caller waits for an answer.
        :raises NotAcceptedError: if the job has not run and never will.
        :raises ResultUnknownError: if the job may have run.
        """
        async with create_task_group() as task_group:
            call = OpenCall(next(self._call_numbers), spec.job_id, task_group)
            try:
                call.state = await self._submit_until_answered(call, spec, wait_s)
            except BerylproxyError as error:
                call.error = error
            task_group.cancel_scope.cancel()
        if call.state is None:
            raise call.error or ResultUnknownError("the call was cancelled")
        return call.state

    async def _submit_until_answered(
        self, call: OpenCall, spec: JobSpec, wait_s: float
    ) -> JobState:
        """Submits a best-effort job to its holder, and to each new one until it is answered."""
        started_s = self._clock.now_s()
        attempt, group, former_fence = 0, "", 0
        refused_by: set[str] = set()
        refusals: dict[str, JobSubmissionReply] = {}
        try:
            while True:
                elapsed_s = self._clock.now_s() - started_s
                if elapsed_s >= wait_s or (not attempt and elapsed_s > NO_HOLDER_WAIT_S):
                    break
                only_if_room = False
                if not attempt:  # a job that may have begun stays in its group
                    choice = self._coordinator.route_job(spec, refused_by)
                    group, only_if_room = choice.group, choice.only_if_room
                    if group in refusals:
                        raise _make_refusal_error(refusals[group])
                self._coordinator.waiting_callers.note_waiting(call.number, group, spec.job_id)
                message = JobSubmission(
                    group,
                    spec,
                    attempt,
                    wait_s - elapsed_s,
                    former_fence,
                    only_if_room,
                    call.number,
                )
                fence = self._coordinator.known_fence(group)
                try:
                    reply = await self._submit_until_holder_changes(call, message)
                except PeerUnreachableError:
                    await sleep(RETRY_PAUSE_S)
                    continue
                except BerylproxyError as error:
                    if error.code == JobAbandonedError.code:
                        raise ResultUnknownError(error.message) from error
                    logger.info(
                        "job submitted again: {}",
                        error.message,
                        extra={"job": spec.job_id, "attempt": attempt, "code": error.code},
                    )
                    self._telemetry.count("jobs_handed_in_again")
                    attempt += 1
                    former_fence = max(former_fence, fence)
                    await sleep(RETRY_PAUSE_S)
                    continue
                if not reply.refusal:
                    return JobState(reply.state)
                if attempt:
                    raise ResultUnknownError("a former holder may have begun the job")
                refused_by.add(group)
                if reply.refusal == NO_ROOM:
                    self._coordinator.note_refused(group, reply.room_millicores)
                elif not self._coordinator.has_room_elsewhere(spec, refused_by):
                    raise _make_refusal_error(reply)
                else:
                    refusals[group] = reply
        except get_cancelled_exc_class():
            self._drop_job(call)
            raise
        finally:
            self._coordinator.waiting_callers.note_ended(call.number)
        self._drop_job(call)
        self._log_unanswered(spec, started_s, attempt > 0)
        if attempt:
            raise ResultUnknownError("it is not known whether the job has run")
        raise NotAcceptedError("no daemon can carry out the job now", retry_after_s=1.0)

    async def submit_durable(self, spec: JobSpec, wait_s: float) -> None:
        """Submits a durable job; returns once the job is stored.

        :param wait_s: how long the caller waits for an answer.
        :raises NotAcceptedError: if the job is not stored and never will be.
        :raises ResultUnknownError: if the job may be stored.
        """
        started_s = self._clock.now_s()
        may_be_stored = False
        while True:
            elapsed_s = self._clock.now_s() - started_s
            remaining_s = wait_s - elapsed_s
            if remaining_s <= 0 or (not may_be_stored and elapsed_s > NO_HOLDER_WAIT_S):
                break
            message = JobSubmission(
                self._coordinator.divisions.group_of_job(spec.terms.service, spec.job_id), spec
            )
            try:
                reply = await self._send_submission(message, min(remaining_s, SUBMIT_TIMEOUT_S))
            except (TenureLostError, PeerUnreachableError, StoreUnavailableError):
                await sleep(RETRY_PAUSE_S)  # this attempt has certainly not stored the job
                continue
            except BerylproxyError as error:
                may_be_stored = may_be_stored or error.code not in (
                    TenureLostError.code,
                    NotHolderError.code,
                )
                await sleep(RETRY_PAUSE_S)
                continue
            if reply.refusal:
                if may_be_stored:
                    raise ResultUnknownError("an earlier attempt may have stored the job")
                if not await self._is_refused_job_stored(spec, reply):
                    raise _make_refusal_error(reply)
            self._cache_state(spec.job_id, JobState.QUEUED)
            return
        self._log_unanswered(spec, started_s, may_be_stored)
        if may_be_stored:
            raise ResultUnknownError("it is not known whether the job is stored")
        # Another daemon may have stored the job for an earlier submission.
        if not await self._is_stored(spec):
            raise NotAcceptedError("no daemon can store the job now", retry_after_s=1.0)

    async def _is_refused_job_stored(self, spec: JobSpec, reply: JobSubmissionReply) -> bool:
        """Returns whether a job that a holder has refused is stored nevertheless.

        A refusal because the store is away is passed on while this daemon doesn't reach it either.

        :raises ResultUnknownError: if the store answers the holder and not this daemon.
        """
        try:
            return await self._is_stored(spec)
        except ResultUnknownError as error:
            if reply.refusal == TOO_LATE:
                raise
            logger.debug("job {} refused unchecked: {}", spec.job_id, error.message)
            return False

    async def _is_stored(self, spec: JobSpec) -> bool:
        """Returns whether a job is stored although the holder of its group doesn't say so.

        It may have ended under a former holder, or belong to the service that its queue had before;
        a provisional holder doesn't know the open jobs.

        :raises ResultUnknownError: if the store doesn't answer.
        """
        groups = self._known_groups(self._list_candidates([spec.terms.service]), spec.job_id)
        return await self._find_stored_state(groups, spec.job_id) is not None

    async def _send_submission(
        self, message: JobSubmission, timeout_s: float
    ) -> JobSubmissionReply:
        return await self._call_holder(
            message.group,
            message,
            lambda holder: holder.submit(message, self._coordinator.own_incarnation),
            timeout_s,
        )

    def _log_unanswered(self, spec: JobSpec, started_s: float, may_have_arrived: bool) -> None:
        """Logs that a submission is abandoned because no holder replied in time."""
        group = self._coordinator.divisions.group_of_job(spec.terms.service, spec.job_id)
        logger.info(
            "job abandoned: no holder answered in time",
            extra={
                "job": spec.job_id,
                "group": group,
                "holder": self._coordinator.holder_incarnation(group),
                "waited_s": round(self._clock.now_s() - started_s, 3),
                "may_have_arrived": may_have_arrived,
            },
        )

    def _drop_job(self, call: OpenCall) -> None:
        """Tells all holders that may have a best-effort job that its caller no longer waits.

        They need not be the present holders as far as this daemon knows.
        """
        for incarnation, message in call.list_drops():
            if incarnation != self._coordinator.own_incarnation:
                self._coordinator.withdrawals.send(incarnation, message)
                continue
            holder = self._coordinator.holders.get(message.group)
            if holder is not None:
                reason = "its caller at this daemon no longer waits"
                holder.withdraw(message, incarnation, reason)

    def _drop_at_former_holders(self, call: OpenCall, holder: str) -> None:
        """Tells the former holders that a job is submitted to another one.

        One that doesn't hear of its successor would go on with the job while it hears this daemon.
        """
        own = self._coordinator.own_incarnation
        for incarnation, message in call.list_drops() if holder else ():
            if incarnation not in (holder, own):
                self._coordinator.withdrawals.send(incarnation, message, FORMER_HOLDER_DROP_DELAY_S)
                del call.submitted[message.group, incarnation]

    async def _submit_to_holder(self, call: OpenCall, message: JobSubmission) -> JobSubmissionReply:
        """Submits a best-effort job to the present holder, and records that it may have the job."""
        incarnation = self._coordinator.holder_incarnation(message.group)
        key = message.group, incarnation
        self._drop_at_former_holders(call, incarnation)
        former_attempt = call.submitted.get(key)
        if incarnation:
            call.submitted[key] = message.attempt
        try:
            reply = await self._send_submission(message, message.wait_s)
        except BerylproxyError as error:
            is_absent = isinstance(error, PeerUnreachableError) or error.code == NotHolderError.code
            if is_absent and former_attempt is None:
                call.forget_holder(key, message.attempt)
            raise
        call.forget_holder(key, message.attempt)  # it has ended, or was refused before it began
        return reply

    async def _submit_until_holder_changes(
        self, call: OpenCall, message: JobSubmission
    ) -> JobSubmissionReply:
        """Submits a job to the holder and waits for its reply while the holder stays the same.

        :raises PeerUnreachableError: if the message has certainly not reached a holder.
        :raises BerylproxyError: if the message may have reached a holder.
        """
        known = self._coordinator.known_holders.get(message.group)
        if known is None:
            raise PeerUnreachableError(f"no holder of {message.group} is known")
        submission = Submission(message, known.changed)
        call.task_group.start_soon(self._submit, call, submission)
        async with create_task_group() as task_group:
            task_group.start_soon(self._cancel_after_change, submission, task_group.cancel_scope)
            await submission.ended.wait()
            task_group.cancel_scope.cancel()
        if submission.reply is not None:
            return submission.reply
        error = submission.error
        if error is not None and error.code == NotHolderError.code:
            raise PeerUnreachableError("the receiving daemon is not the holder") from error
        if error is not None:
            raise error
        submission.is_superseded = True
        raise ResultUnknownError("another daemon has become the holder")

    async def _cancel_after_change(self, submission: Submission, scope: CancelScope) -> None:
        await submission.holder_changed.wait()
        await sleep(FORMER_HOLDER_REPLY_WAIT_S)
        scope.cancel()

    async def _submit(self, call: OpenCall, submission: Submission) -> None:
        """Submits a best-effort job; ends the call if a former holder says that it is completed.

        The former holder has seen all tasks end, so that its word holds also under the next one.
        """
        try:
            if submission.holder_changed.is_set():
                raise PeerUnreachableError("the holder has changed before the job was sent")
            submission.reply = await self._submit_to_holder(call, submission.message)
        except BerylproxyError as error:
            submission.error = error
        submission.ended.set()
        reply = submission.reply
        if not submission.is_superseded or reply is None or reply.refusal:
            return
        if reply.state == JobState.COMPLETED:
            call.state = JobState.COMPLETED
            call.task_group.cancel_scope.cancel()

    async def find_state(self, services: list[str], job_id: str, wait_s: float) -> JobState | None:
        """Returns a job's state; ``None`` if there is no such job.

        :param services: services that may have the job, the likeliest first.
        :raises ResultUnknownError: if the state can't be determined at present.
        """
        cached_state = self._cached_states.get(job_id)
        if cached_state is not None and cached_state in _FINAL_STATES:
            return cached_state
        try:
            return await self._query_services(services, AskState("", job_id), wait_s)
        except ResultUnknownError:
            if cached_state is not None:
                return cached_state
            groups = self._known_groups(self._list_candidates(services), job_id)
            state = await self._find_stored_state(groups, job_id)
            if state is None:  # the holder might know the job nevertheless
                raise ResultUnknownError("no holder answers") from None
            return state

    async def cancel(self, services: list[str], job_id: str, wait_s: float) -> JobState | None:
        """Cancels a job and returns its stored state; ``None`` if there is no such job.

        :param services: services that may have the job, the likeliest first.
        :raises ResultUnknownError: if the cancellation may not be stored.
        """
        started_s = self._clock.now_s()
        groups = self._known_groups(self._list_candidates(services), job_id)
        state = await self._query_groups(groups, CancelStored("", job_id), wait_s)
        if state is not None:
            return state
        # A submission that was sent before may yet arrive, or be accepted in a group that has just
        # answered.
        await self._store_tombstone(job_id, wait_s - (self._clock.now_s() - started_s))
        remaining_s = wait_s - (self._clock.now_s() - started_s)
        message = CancelStored("", job_id, has_tombstone=True)
        return await self._query_services(services, message, remaining_s)

    async def _store_tombstone(self, job_id: str, wait_s: float) -> None:
        """Keeps a job that nobody has from being accepted from now on.

        :raises ResultUnknownError: if it may be accepted.
        """
        try:
            await self._coordinator.tombstones.store(job_id, wait_s)
        except TooManyTombstonesError as error:
            raise ResultUnknownError(error.message) from error
        except TimeoutError as error:
            raise ResultUnknownError("the cancellation isn't stored in time") from error

    def _list_candidates(self, services: list[str]) -> list[str]:
        """Lists the services that may have a job, as far as known; those not configured go last."""
        return list(dict.fromkeys([*services, *self._coordinator.divisions.list_services()]))

    def _known_groups(self, services: list[str], job_id: str) -> list[str]:
        """Lists the group that the job would belong to in each service whose division is known.

        Released ones are left out.
        """
        tracked, groups = self._coordinator.tracked_groups, self._list_groups(services, job_id)
        return [group for group in groups if not tracked.is_released(group)]

    def _list_groups(self, services: list[str], job_id: str) -> list[str]:
        """Lists the group that the job would belong to in each service whose division is known."""
        divisions = self._coordinator.divisions
        groups = [divisions.group_of_job(service, job_id) for service in services]
        return [group for group in groups if group]

    async def _query_services(
        self, services: list[str], message: JobQuery, wait_s: float
    ) -> JobState | None:
        """Sends a request about a job to the holders that may have it; see :meth:`_query_groups`.

        Services whose division isn't known, and those that aren't configured before the stored
        divisions are listed, matter only if no other one has the job.

        :raises ResultUnknownError: if the job may be where no answer comes from.
        """
        started_s = self._clock.now_s()
        asked = self._known_groups(self._list_candidates(services), message.job_id)
        state = await self._query_groups(asked, message, wait_s)
        if state is not None:
            return state
        remaining_s = wait_s - (self._clock.now_s() - started_s)
        found = await self._find_other_groups(services, asked, message.job_id, remaining_s)
        remaining_s = wait_s - (self._clock.now_s() - started_s)
        state = await self._query_groups(found, message, remaining_s)
        if state is not None:
            return state
        remaining_s = wait_s - (self._clock.now_s() - started_s)
        return await self._query_released_groups(services, message, remaining_s)

    async def _query_released_groups(
        self, services: list[str], message: JobQuery, wait_s: float
    ) -> JobState | None:
        """Returns the state of a job that was in a group that counts as released.

        Nobody holds such a group, but the outcomes of its jobs are kept. It may be held again by
        now, and have new jobs.

        :raises ResultUnknownError: if the store doesn't tell, or the group's holder doesn't.
        """
        started_s, tracked = self._clock.now_s(), self._coordinator.tracked_groups
        groups = self._list_groups(self._list_candidates(services), message.job_id)
        released = [group for group in groups if tracked.is_released(group)]
        if not released:
            return None
        try:
            with fail_after(max(wait_s, 0.0)):
                await self._coordinator.follow_former_services()
        except StoreError as error:
            raise ResultUnknownError(f"the claims are not known: {error.message}") from error
        except TimeoutError as error:
            raise ResultUnknownError("the claims are not known in time") from error
        held = [group for group in released if not tracked.is_released(group)]
        remaining_s = wait_s - (self._clock.now_s() - started_s)
        state = await self._query_groups(held, message, remaining_s)
        return state if state is not None else await self._find_stored_state([], message.job_id)

    async def _find_other_groups(
        self, services: list[str], asked: list[str], job_id: str, wait_s: float
    ) -> list[str]:
        """Lists the job's groups in services whose division wasn't known; others can't have it.

        :param asked: the groups in services whose division was known.
        :raises ResultUnknownError: if the store doesn't tell.
        """
        divisions = self._coordinator.divisions
        try:
            with fail_after(max(wait_s, 0.0)):
                if not divisions.are_listed:
                    await divisions.list_stored()
                groups = [
                    await divisions.find_group_of_job(service, job_id)
                    for service in self._list_candidates(services)
                ]
        except (StoreError, StoredValueError) as error:
            raise ResultUnknownError(
                f"the groups of a service are not known: {error.message}"
            ) from error
        except TimeoutError as error:
            raise ResultUnknownError("the groups of a service are not known in time") from error
        tracked = self._coordinator.tracked_groups
        return [
            group
            for group in groups
            if group and group not in asked and not tracked.is_released(group)
        ]

    async def count_pending(self, services: list[str], queue: str, wait_s: float) -> int:
        """Counts a queue's jobs of which no task has started, over all groups that may have some.

        Jobs stay in the service that the queue had when they were accepted.

        :param services: services that may have such jobs, that of the queue first.
        :raises ResultUnknownError: if the number can't be determined at present.
        """
        divisions = self._coordinator.divisions
        if not divisions.groups_of(services[0]) or not divisions.are_listed:
            raise ResultUnknownError("the groups of a service are not known yet")
        groups = [
            group
            for service in self._list_candidates(services)
            for group in divisions.groups_of(service)
            if not self._coordinator.tracked_groups.is_released(group)
        ]
        return sum([await self._count_pending_in(group, queue, wait_s) for group in groups])

    async def _count_pending_in(self, group: str, queue: str, wait_s: float) -> int:
        started_s = self._clock.now_s()
        while self._clock.now_s() - started_s < min(wait_s, NO_HOLDER_WAIT_S):
            try:
                reply = await self._call_holder(
                    group,
                    AskPending(group, queue),
                    self._make_count_call(queue),
                    HOLDER_REPLY_TIMEOUT_S,
                )
                return reply.pending
            except BerylproxyError as error:
                logger.debug("cannot count the pending jobs: {}", error.message)
                await sleep(RETRY_PAUSE_S)
        raise ResultUnknownError("no holder answers")

    def _make_count_call(self, queue: str) -> Callable[[Any], Awaitable[PendingReply]]:
        """Returns the call that counts pending jobs if this daemon is the holder itself."""

        async def count(holder: Any) -> PendingReply:
            if not holder.is_loaded:
                raise TenureLostError("the open jobs are not loaded yet")
            return PendingReply(holder.count_pending(queue))

        return count

    async def _query_groups(
        self, groups: list[str], message: JobQuery, wait_s: float
    ) -> JobState | None:
        """Sends a request about a job to the holders of groups until one has the job.

        :return: the job's state; ``None`` if no group has the job.
        :raises ResultUnknownError: if a holder did not answer and no other has the job.
        """
        started_s = self._clock.now_s()
        limit_s = min(wait_s, NO_HOLDER_WAIT_S)
        unanswered = list(groups)
        while unanswered and self._clock.now_s() - started_s < limit_s:
            for group in list(unanswered):
                state = await self._query_group(group, message)
                if state is None:
                    continue
                unanswered.remove(group)
                if state:
                    self._cache_state(message.job_id, JobState(state))
                    return JobState(state)
            if unanswered:
                await sleep(RETRY_PAUSE_S)
        if unanswered:
            raise ResultUnknownError("no holder answers")
        return None

    async def _query_group(self, group: str, message: JobQuery) -> str | None:
        """Sends a request about a job to one holder.

        :return: the job's state, empty if there is no such job; ``None`` without an answer.
        """

        async def call(holder: Any) -> StateReply:
            if isinstance(message, AskState):
                return StateReply(await holder.find_state(message.job_id))
            state = await holder.cancel(message.job_id, has_tombstone=message.has_tombstone)
            return StateReply(state)

        addressed = replace(message, group=group)
        try:
            reply = await self._call_holder(group, addressed, call, HOLDER_REPLY_TIMEOUT_S)
        except BerylproxyError as error:
            logger.debug("no answer about job {}: {}", message.job_id, error.message)
            return None
        return reply.state

    async def _find_stored_state(self, groups: list[str], job_id: str) -> JobState | None:
        """Reads a job's state from the store, for use while its holder is unavailable.

        :return: ``None`` if the store has no such job.
        :raises ResultUnknownError: if the store is unavailable too.
        """
        try:
            # A job's outcome replaces its open record, so one that ends between reads is found.
            for group in groups:
                if await self._store.get(open_key(group, job_id)) is not None:
                    return JobState.QUEUED
            entry = await self._store.get(final_key(job_id))
            if entry is not None:
                return decode_final(entry.value)
        except StoreError as error:
            raise ResultUnknownError(
                f"neither holder nor store answers: {error.message}"
            ) from error
        return None

    async def _call_holder(
        self, group: str, message: Any, call: Callable[[Any], Awaitable[Any]], timeout_s: float
    ) -> Any:
        """Sends a request to the holder of a group and returns its reply.

        :param call: serves the request if this daemon is the holder itself.
        :raises PeerUnreachableError: if no holder is known or reached.
        :raises BerylproxyError: if the holder reports an error or does not answer in time.
        """
        incarnation = self._coordinator.holder_incarnation(group)
        if incarnation == self._coordinator.own_incarnation:
            try:
                with fail_after(timeout_s):
                    return await call(self._coordinator.require_holder(group))
            except TimeoutError as error:
                raise ResultUnknownError(f"no answer in {timeout_s} s") from error
        if not incarnation:
            raise PeerUnreachableError(f"no holder of {group} is known")
        return await self._network.request(incarnation, message, timeout_s)

    def _cache_state(self, job_id: str, state: JobState) -> None:
        """Caches a job's last known state; the oldest entries go first."""
        self._cached_states[job_id] = state
        while len(self._cached_states) > MAX_CACHED_STATES:
            self._cached_states.popitem(last=False)


def _make_refusal_error(reply: JobSubmissionReply) -> NotAcceptedError:
    error_type = OverloadedError if reply.refusal == TOO_LATE else NotAcceptedError
    return error_type(reply.refusal, retry_after_s=reply.retry_after_s)


_FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})
