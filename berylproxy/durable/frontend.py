"""The entry daemon's side: finds the holder for a caller's request and waits for its answer."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any

from anyio import create_task_group, fail_after, get_cancelled_exc_class, sleep
from logbook import Logger

from berylproxy.clock import Clock
from berylproxy.durable.acceptance import TOO_LATE
from berylproxy.durable.best_effort import JobAbandonedError
from berylproxy.durable.coordinator import GroupCoordinator
from berylproxy.durable.ledger import NotHolderError, TenureLostError
from berylproxy.durable.messages import (
    AskPending,
    AskState,
    CancelStored,
    DropJob,
    JobSubmission,
    JobSubmissionReply,
    PendingReply,
    StateReply,
)
from berylproxy.durable.models import JobSpec, JobState
from berylproxy.durable.ports import JobStore
from berylproxy.durable.records import decode_final, final_key, open_key
from berylproxy.durable.telemetry import Telemetry
from berylproxy.errors import BerylproxyError
from berylproxy.peers.membership import PeerUnreachableError
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.store.port import StoreError, StoreUnavailableError

REMEMBERED_STATES = 20_000
ASK_TIMEOUT_S = 0.5  # a holder answers in a few ms unless it has just gone silent
HAND_IN_TIMEOUT_S = 1.0  # a slow store takes some 0.3 s
RETRY_PAUSE_S = 0.03
LAST_REPLY_S = 0.02  # in which a former holder that lives tells what became of a job
NO_HOLDER_WAIT_S = 1.0  # a new holder is found in that time unless the store is away


logger = Logger(__name__)


class NotAcceptedError(BerylproxyError):
    """The job is not stored and never runs."""

    code = "not_accepted"


class OverloadedError(NotAcceptedError):
    """There is more work than the endpoints can do in time."""

    code = "overloaded"


class NotKnownError(BerylproxyError):
    """The answer can't be given now; asking again is safe."""

    code = "not_known_now"


class JobFrontend:
    """Answers callers' requests about durable jobs."""

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
        self._states: OrderedDict[str, JobState] = OrderedDict()
        self._pending: dict[str, int] = {}

    def record_ended_jobs(self, states: dict[str, str]) -> None:
        """Keeps the outcomes that holders tell of."""
        for job_id, state in states.items():
            self._remember(job_id, JobState(state))

    async def run_best_effort(self, spec: JobSpec, wait_s: float) -> JobState:
        """Has a job carried out that isn't kept; returns how it ended.

        It is handed in again to each new holder while the caller waits. When the caller goes away,
        which cancels this call, or its time is over, the job is dropped.

        :raises NotAcceptedError: if it has not run and never will.
        :raises NotKnownError: if it may have run.
        """
        started_s = self._clock.now_s()
        attempt, group, former_fence = 0, "", 0
        try:
            while True:
                elapsed_s = self._clock.now_s() - started_s
                if elapsed_s >= wait_s or (not attempt and elapsed_s > NO_HOLDER_WAIT_S):
                    break
                group = self._coordinator.group_of(spec.terms.service, spec.job_id)
                message = JobSubmission(group, spec, attempt, wait_s - elapsed_s, former_fence)
                fence = self._coordinator.known_fence(group)
                try:
                    reply = await self._ask_while_held(group, message, wait_s - elapsed_s)
                except PeerUnreachableError:
                    await sleep(RETRY_PAUSE_S)
                    continue
                except BerylproxyError as error:
                    if error.code == JobAbandonedError.code:
                        raise NotKnownError(error.message) from error
                    logger.info(
                        "job handed in again: {}",
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
                    raise NotKnownError("a former holder may have begun it")
                raise _make_refusal(reply)
        except get_cancelled_exc_class():
            self._drop(group, spec.job_id)
            raise
        self._drop(group, spec.job_id)
        self._log_unanswered(spec, started_s, attempt > 0)
        if attempt:
            raise NotKnownError("it is not known whether the job has run")
        raise NotAcceptedError("no daemon can carry out the job now", retry_after_s=1.0)

    async def submit_durable(self, spec: JobSpec, wait_s: float) -> None:
        """Has a job stored; returns once it is.

        :param wait_s: how long the caller waits for an answer.
        :raises NotAcceptedError: if it is not stored and never will be.
        :raises NotKnownError: if it may be stored.
        """
        started_s = self._clock.now_s()
        may_be_stored = False
        while True:
            elapsed_s = self._clock.now_s() - started_s
            left_s = wait_s - elapsed_s
            if left_s <= 0 or (not may_be_stored and elapsed_s > NO_HOLDER_WAIT_S):
                break
            message = JobSubmission(
                self._coordinator.group_of(spec.terms.service, spec.job_id), spec
            )
            try:
                reply = await self._ask_to_store(message, min(left_s, HAND_IN_TIMEOUT_S))
            except (TenureLostError, PeerUnreachableError, StoreUnavailableError):
                await sleep(RETRY_PAUSE_S)  # certainly not stored by this try
                continue
            except BerylproxyError as error:
                may_be_stored = may_be_stored or error.code not in (
                    TenureLostError.code,
                    NotHolderError.code,
                )
                await sleep(RETRY_PAUSE_S)
                continue
            if reply.refusal:
                raise _make_refusal(reply)
            self._remember(spec.job_id, JobState.QUEUED)
            return
        self._log_unanswered(spec, started_s, may_be_stored)
        if may_be_stored:
            raise NotKnownError("it is not known whether the job is stored")
        raise NotAcceptedError("no daemon can store the job now", retry_after_s=1.0)

    async def _ask_to_store(self, message: JobSubmission, timeout_s: float) -> JobSubmissionReply:
        return await self._ask(
            message.group,
            message,
            lambda holder: holder.submit(message, self._coordinator.own_incarnation),
            timeout_s,
        )

    def _log_unanswered(self, spec: JobSpec, started_s: float, may_have_arrived: bool) -> None:
        group = self._coordinator.group_of(spec.terms.service, spec.job_id)
        logger.info(
            "job given up: no holder answered in time",
            extra={
                "job": spec.job_id,
                "group": group,
                "holder": self._coordinator.holder_incarnation(group),
                "waited_s": round(self._clock.now_s() - started_s, 3),
                "may_have_arrived": may_have_arrived,
            },
        )

    def _drop(self, group: str, job_id: str) -> None:
        incarnation = self._coordinator.holder_incarnation(group)
        if incarnation == self._coordinator.own_incarnation:
            holder = self._coordinator.holders.get(group)
            if holder is not None:
                holder.drop(job_id, "its caller here has gone")
        elif incarnation:
            self._network.notify(incarnation, DropJob(group, job_id))

    async def _ask_while_held(
        self, group: str, message: JobSubmission, timeout_s: float
    ) -> JobSubmissionReply:
        """Asks the holder and waits for its answer for as long as it is the holder.

        :raises PeerUnreachableError: if the message certainly did not reach a holder.
        :raises BerylproxyError: if it may have.
        """
        known = self._coordinator.known.get(group)
        if known is None:
            raise PeerUnreachableError(f"no holder of {group} is known")
        changed, replies, errors = known.changed, [], []

        async def ask() -> None:
            try:
                reply = await self._ask(
                    group,
                    message,
                    lambda holder: holder.submit(message, self._coordinator.own_incarnation),
                    timeout_s,
                )
                replies.append(reply)
            except BerylproxyError as error:
                errors.append(error)
            task_group.cancel_scope.cancel()

        async with create_task_group() as task_group:
            task_group.start_soon(ask)
            await changed.wait()
            await sleep(LAST_REPLY_S)
            task_group.cancel_scope.cancel()
        if replies:
            return replies[0]
        if errors and errors[0].code == NotHolderError.code:
            raise PeerUnreachableError("the daemon asked is not the holder") from errors[0]
        raise errors[0] if errors else NotKnownError("another daemon has become the holder")

    async def find_state(self, services: list[str], job_id: str, wait_s: float) -> JobState | None:
        """Finds a job's state; ``None`` if there is no such job.

        :param services: whose groups may have it, the likeliest first.
        :raises NotKnownError: if that can't be found out now.
        """
        remembered = self._states.get(job_id)
        if remembered is not None and remembered in _FINAL:
            return remembered
        message = AskState("", job_id)
        groups = self._groups_of(services, job_id)
        try:
            return await self._find(groups, message, "find_state", wait_s)
        except NotKnownError:
            if remembered is not None:
                return remembered
            return await self._read_state(groups, job_id)

    def _groups_of(self, services: list[str], job_id: str) -> list[str]:
        groups = [self._coordinator.group_of(service, job_id) for service in services]
        if not all(groups):
            raise NotKnownError("the groups of a service are not known yet")
        return groups

    async def cancel(self, services: list[str], job_id: str, wait_s: float) -> JobState | None:
        """Cancels a job and waits until that is stored; ``None`` if there is no such job.

        :param services: whose groups may have it, the likeliest first.
        :raises NotKnownError: if it may not be stored.
        """
        groups = self._groups_of(services, job_id)
        return await self._find(groups, CancelStored("", job_id), "cancel", wait_s)

    async def count_pending(self, service: str, queue: str, wait_s: float) -> int:
        """Counts a queue's jobs of which no task has begun, over all groups of its service.

        :raises NotKnownError: if that can't be found out now.
        """
        groups = self._coordinator.groups_of(service)
        if not groups:
            raise NotKnownError("the groups of a service are not known yet")
        return sum([await self._count_in(group, queue, wait_s) for group in groups])

    async def _count_in(self, group: str, queue: str, wait_s: float) -> int:
        started_s = self._clock.now_s()
        while self._clock.now_s() - started_s < min(wait_s, NO_HOLDER_WAIT_S):
            try:
                reply = await self._ask(
                    group, AskPending(group, queue), self._count_here(queue), ASK_TIMEOUT_S
                )
                return reply.pending
            except BerylproxyError as error:
                logger.debug("pending jobs not counted: {}", error.message)
                await sleep(RETRY_PAUSE_S)
        raise NotKnownError("no holder answers")

    def _count_here(self, queue: str) -> Callable[[Any], Awaitable[PendingReply]]:
        async def count(holder: Any) -> PendingReply:
            if not holder.is_loaded:
                raise TenureLostError("the open jobs are not loaded yet")
            return PendingReply(holder.count_pending(queue))

        return count

    async def _find(
        self, groups: list[str], message: Any, method: str, wait_s: float
    ) -> JobState | None:
        started_s = self._clock.now_s()
        limit_s = min(wait_s, NO_HOLDER_WAIT_S)
        missing = set(groups)
        while missing and self._clock.now_s() - started_s < limit_s:
            for group in list(missing):
                state = await self._find_in(group, message, method)
                if state is None:
                    continue
                missing.discard(group)
                if state:
                    self._remember(message.job_id, JobState(state))
                    return JobState(state)
            if missing:
                await sleep(RETRY_PAUSE_S)
        if missing:
            raise NotKnownError("no holder answers")
        return None

    async def _find_in(self, group: str, message: Any, method: str) -> str | None:
        """Asks one holder; ``None`` without an answer, empty if it doesn't know the job."""

        async def call(holder: Any) -> StateReply:
            return StateReply(await getattr(holder, method)(message.job_id))

        addressed = type(message)(group, message.job_id)
        try:
            reply = await self._ask(group, addressed, call, ASK_TIMEOUT_S)
        except BerylproxyError as error:
            logger.debug("state of {} not found: {}", message.job_id, error.message)
            return None
        return reply.state

    async def _read_state(self, groups: list[str], job_id: str) -> JobState | None:
        """Reads what the store tells of a job while its holder is away."""
        try:
            entry = await self._store.get(final_key(job_id))
            if entry is not None:
                return decode_final(entry.value)
            for group in groups:
                if await self._store.get(open_key(group, job_id)) is not None:
                    return JobState.QUEUED
        except StoreError as error:
            raise NotKnownError(f"neither holder nor store answers: {error.message}") from error
        raise NotKnownError("no holder answers")

    async def _ask(
        self, group: str, message: Any, call: Callable[[Any], Awaitable[Any]], timeout_s: float
    ) -> Any:
        """Asks the holder of a group, here or at another daemon."""
        incarnation = self._coordinator.holder_incarnation(group)
        if incarnation == self._coordinator.own_incarnation:
            try:
                with fail_after(timeout_s):
                    return await call(self._coordinator.require_holder(group))
            except TimeoutError as error:
                raise NotKnownError(f"no answer in {timeout_s} s") from error
        if not incarnation:
            raise PeerUnreachableError(f"no holder of {group} is known")
        return await self._network.request(incarnation, message, timeout_s)

    def _remember(self, job_id: str, state: JobState) -> None:
        self._states[job_id] = state
        while len(self._states) > REMEMBERED_STATES:
            self._states.popitem(last=False)


def _make_refusal(reply: JobSubmissionReply) -> NotAcceptedError:
    error_type = OverloadedError if reply.refusal == TOO_LATE else NotAcceptedError
    return error_type(reply.refusal, retry_after_s=reply.retry_after_s)


_FINAL = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})
