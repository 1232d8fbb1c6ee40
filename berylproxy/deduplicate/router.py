"""Routes submissions from the entry daemon to their home, and the answers back."""

from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import TypeVar

from anyio import move_on_after, sleep
from msgspec.structs import replace

from berylproxy.clock import Clock
from berylproxy.collect.job import Job
from berylproxy.deduplicate.claims import ClaimRegistry, choose_bucket, hash_key
from berylproxy.deduplicate.errors import (
    DeduplicateError,
    HomeGoneError,
    HomeUnreachableError,
    IdentifierMalformedError,
)
from berylproxy.deduplicate.identifiers import IdentifierMint, parse_identifier
from berylproxy.deduplicate.messages import CancelJob, FetchJob, JobState, SubmitJob
from berylproxy.deduplicate.registry import JobRegistry
from berylproxy.errors import BerylproxyError
from berylproxy.models import JobAnswer, Outcome, Submission
from berylproxy.peers.membership import (
    Member,
    MemberStatus,
    PeerError,
    PeerNetwork,
)
from berylproxy.tracing import Tracer

HOME_RETRY_INTERVAL_S = 0.2
HOME_REPLY_MARGIN_S = 2.0
UNREACHABLE_RETRY_AFTER_S = 2.0
HOME_GONE_AFTER_S = 10.0  # a home dead for longer counts as ended, although it may be partitioned

Message = TypeVar("Message", SubmitJob, FetchJob, CancelJob)


def make_refusal(job_id: str, error: BerylproxyError, outcome: Outcome) -> JobAnswer:
    """Makes the answer of a job that ends with an error."""
    return JobAnswer(job_id, outcome, error.code, error.message, error.hint, error.retry_after_s)


def choose_claimant(bucket: int, own_incarnation: str, members: Iterable[Member]) -> str:
    """Chooses the live daemon that claims the keys of a bucket, by rendezvous hashing."""
    live = [
        member.identity.incarnation
        for member in members
        if member.status is MemberStatus.ALIVE and member.ready
    ]
    return max(
        (own_incarnation, *live),
        key=lambda incarnation: blake2b(f"{bucket}\0{incarnation}".encode()).digest(),
    )


class JobRouter:
    """Serves jobs whose home is this daemon and forwards all others to their home.

    Only the home named by the identifier ever starts the tasks, so a message to the home may be
    repeated over a new stream: the home finds the job that it has registered.

    :param check_admission: raises an error if a submission would be refused now.
    :param submit: accepts a submission at its home.
    :param cancel: cancels a job at its home.
    """

    def __init__(
        self,
        incarnation: str,
        clock: Clock,
        mint: IdentifierMint,
        registry: JobRegistry,
        network: PeerNetwork,
        claims: ClaimRegistry,
        tracer: Tracer,
        check_admission: Callable[[Submission], None],
        submit: Callable[[Submission], Job],
        cancel: Callable[[Job], None],
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._mint = mint
        self._registry = registry
        self._network = network
        self._claims = claims
        self._tracer = tracer
        self._check_admission = check_admission
        self._submit = submit
        self._cancel = cancel

    def mint(self, count: int, team: str) -> list[str]:
        """Mints identifiers for a team; their home is this daemon."""
        return self._mint.mint(count, team)

    async def submit(self, submission: Submission, wait_s: float) -> JobState:
        """Submits to the home; returns the job's state after its end or after ``wait_s``.

        A refusal and an unreachable home are reported as the job's answer.
        """
        if not submission.job_id and submission.idempotency_key:
            return await self._submit_keyed(submission, wait_s)
        return await self._route(submission.job_id, SubmitJob(submission, wait_s), wait_s)

    async def fetch(self, job_id: str, team: str, wait_s: float) -> JobState:
        """Fetches a job's state after its end or after ``wait_s``."""
        return await self._route(job_id, FetchJob(job_id, team, wait_s), wait_s)

    async def cancel(self, job_id: str, team: str) -> JobState:
        """Cancels a job and returns its state."""
        return await self._route(job_id, CancelJob(job_id, team), 0.0)

    async def handle(self, message: Message) -> JobState:
        """Serves a message at the job's home; an error is returned as the job's answer."""
        try:
            return await self._serve(message)
        except BerylproxyError as error:
            job_id = message.submission.job_id if isinstance(message, SubmitJob) else message.job_id
            outcome = error.outcome if isinstance(error, DeduplicateError) else Outcome.NOT_RUN
            return JobState(job_id, make_refusal(job_id, error, outcome))

    async def _serve(self, message: Message) -> JobState:
        match message:
            case SubmitJob(submission, wait_s) if not submission.job_id:
                return await self._claim(submission, wait_s)
            case SubmitJob(submission, wait_s):
                with self._tracer.span(
                    "serve", submission.traceparent, job_id=submission.job_id
                ) as span:
                    traced = replace(submission, traceparent=span.traceparent)
                    return await self._wait(self._submit(traced), wait_s)
            case FetchJob(job_id, team, wait_s):
                return await self._wait(self._registry.find(job_id, team), wait_s)
            case CancelJob(job_id, team):
                job = self._registry.cancel_before_submission(job_id, team)
                if job is None:
                    job = self._registry.find(job_id, team)
                    self._cancel(job)
                return await self._wait(job, 0.0)
        raise TypeError(f"{type(message).__name__} is not a job message")

    async def _submit_keyed(self, submission: Submission, wait_s: float) -> JobState:
        """Sends the submission to the daemon that usually claims the keys of its bucket."""
        bucket = choose_bucket(hash_key(submission.team, submission.idempotency_key))
        claimant = choose_claimant(bucket, self._incarnation, self._network.members())
        message = SubmitJob(submission, wait_s)
        if claimant != self._incarnation:
            try:
                return await self._request(claimant, message, wait_s + HOME_REPLY_MARGIN_S)
            except PeerError:
                pass  # the claim in the store keeps two daemons from both starting the job
        return await self.handle(message)

    async def _claim(self, submission: Submission, wait_s: float) -> JobState:
        key_hash = hash_key(submission.team, submission.idempotency_key)
        try:
            self._check_admission(submission)
        except BerylproxyError:
            # Refused before its key is claimed, so that the key can be used later. The outcome
            # "not run" is true only if the key has not been claimed by an earlier submission.
            job_id = await self._claims.find(key_hash)
            if not job_id:
                raise
        else:
            job_id = await self._claims.claim(key_hash, self._mint.mint(1, submission.team)[0])
        claimed = replace(submission, job_id=job_id)
        return await self._route(job_id, SubmitJob(claimed, wait_s), wait_s)

    async def _route(self, job_id: str, message: Message, wait_s: float) -> JobState:
        identifier = parse_identifier(job_id)
        if identifier is not None and identifier.incarnation == self._incarnation:
            return await self.handle(message)
        try:
            if identifier is None:
                raise IdentifierMalformedError(
                    f"{job_id[:64]!r} is not an id", hint="request ids from POST /v1/job-ids"
                )
            return await self._forward(identifier.incarnation, message, wait_s)
        except DeduplicateError as error:
            return JobState(job_id, make_refusal(job_id, error, error.outcome))

    async def _forward(self, home: str, message: Message, wait_s: float) -> JobState:
        end_s = self._clock.now_s() + wait_s + HOME_REPLY_MARGIN_S
        while True:
            self._check_home(home)
            remaining_s = end_s - self._clock.now_s()
            if remaining_s <= 0:
                raise HomeUnreachableError(
                    "the job's home does not answer: its tasks may have run",
                    hint="retry with the same id",
                    retry_after_s=UNREACHABLE_RETRY_AFTER_S,
                )
            try:
                return await self._request(home, message, remaining_s)
            except PeerError:
                # The stream may be re-established; the home finds the job by its identifier.
                await sleep(HOME_RETRY_INTERVAL_S)

    async def _request(self, incarnation: str, message: Message, timeout_s: float) -> JobState:
        if not isinstance(message, SubmitJob):
            return await self._network.request(incarnation, message, timeout_s)
        submission = message.submission
        with self._tracer.span("forward", submission.traceparent, to=incarnation) as span:
            traced = replace(submission, traceparent=span.traceparent)
            forwarded = replace(message, submission=traced)
            return await self._network.request(incarnation, forwarded, timeout_s)

    def _check_home(self, home: str) -> None:
        for member in self._network.members():
            if member.identity.incarnation != home:
                continue
            is_dead = member.status is MemberStatus.DEAD
            dead_for_s = self._clock.now_s() - member.status_changed_s if is_dead else 0.0
            if member.is_final or dead_for_s > HOME_GONE_AFTER_S:
                break
            if is_dead:
                raise HomeUnreachableError(
                    "the job's home cannot be reached: its tasks may have run",
                    hint="retry with the same id",
                    retry_after_s=UNREACHABLE_RETRY_AFTER_S,
                )
            return
        raise HomeGoneError(
            "the job's home has ended or is unknown to this daemon: its tasks may have run",
            hint="submit again with a new id only if running the tasks twice does no harm",
        )

    async def _wait(self, job: Job, wait_s: float) -> JobState:
        with move_on_after(max(0.0, wait_s)):
            await job.finished.wait()
        if job.is_finished:
            job.delivered.set()
        return JobState(job.job_id, job.answer)
