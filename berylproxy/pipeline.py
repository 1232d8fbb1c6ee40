"""Connects the stages of the task pipeline: deduplicate, waiting, place, send and collect."""

from collections import Counter
from collections.abc import Callable

from anyio import Event, move_on_after, sleep
from anyio.abc import TaskGroup

from berylproxy.clock import Clock
from berylproxy.collect.job import Job, TaskRun
from berylproxy.deduplicate.registry import JobRegistry
from berylproxy.models import DaemonIdentity, Outcome, Submission, TaskResult
from berylproxy.pause import PauseDetector
from berylproxy.place.endpoint_state import SlotResult
from berylproxy.place.holder import Holder
from berylproxy.place.messages import (
    GrantSlots,
    HeldSlot,
    HolderSummary,
    ReleaseSlots,
    UpdateDemand,
)
from berylproxy.place.requester import SlotRequester
from berylproxy.records.models import Configuration
from berylproxy.send.dispatcher import Dispatcher
from berylproxy.send.sender import TaskSender
from berylproxy.tracing import Tracer
from berylproxy.usage.counters import UsageCounters
from berylproxy.waiting.admission import AdmissionControl
from berylproxy.waiting.limits import AdmissionError
from berylproxy.waiting.queue import WaitingQueue

TICK_INTERVAL_S = 0.05
MAX_FLUSH_ROUNDS = 8
UNDELIVERED_TIMEOUT_S = 10.0


class Pipeline:
    """The pipeline of tasks of one daemon, in its roles as a home and as a holder of slots.

    :param notify: sends a one-way message to another daemon, by incarnation.
    :param is_reachable: returns whether there is a stream to another daemon, by incarnation.
    """

    def __init__(
        self,
        identity: DaemonIdentity,
        clock: Clock,
        registry: JobRegistry,
        sender: TaskSender,
        tracer: Tracer,
        usage: UsageCounters,
        notify: Callable[[str, object], None],
        is_reachable: Callable[[str], bool],
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._registry = registry
        self._notify = notify
        self._queue = WaitingQueue()
        self._dispatcher = Dispatcher(
            clock, sender, tracer, usage, self._release, self._requeue, self._finish_task
        )
        self.holder = Holder(identity, clock, self._send)
        self.requester = SlotRequester(
            identity,
            clock,
            self._queue,
            self._send,
            self._start_task,
            lambda incarnation: incarnation == identity.incarnation or is_reachable(incarnation),
        )
        self.admission = AdmissionControl(self._queue, self.requester)
        self._pause = PauseDetector(clock)
        self._configuration = Configuration()
        self.is_stopping = False
        self._changed = Event()
        self._task_group: TaskGroup | None = None
        self._sent_messages: Counter[str] = Counter()

    @property
    def configuration(self) -> Configuration:
        """The configuration in force, with the endpoints on leaving VMs marked."""
        return self._configuration

    @property
    def waiting_tasks(self) -> int:
        """Number of tasks that wait for a slot."""
        return len(self._queue)

    @property
    def retained_jobs(self) -> int:
        """Number of jobs in memory, finished ones included."""
        return len(self._registry)

    @property
    def running_tasks(self) -> int:
        """Number of tasks that have been sent to endpoints and have not ended."""
        return self._dispatcher.in_flight

    def count_sent_messages(self) -> Counter[str]:
        """Returns the number of slot messages sent to other daemons, by message type."""
        return self._sent_messages

    def count_wasted_messages(self) -> dict[str, int]:
        """Returns the number of messages that carried no useful work, by kind."""
        return {
            "unused_grant": self.requester.unused_grants,
            "ignored_grant": self.requester.ignored_grants,
            "unchanged_report": self.requester.unchanged_reports,
            "refused_send": self._dispatcher.refused_sends,
        }

    def count_finished_jobs(self) -> Counter[str]:
        """Returns the number of jobs that have finished at this daemon, by outcome."""
        return self._registry.finished_jobs

    def count_task_sends(self) -> Counter[str]:
        """Returns the number of tasks sent to endpoints, by the result of the slot's use."""
        return self._dispatcher.sends

    def configure(self, configuration: Configuration) -> None:
        """Applies a new configuration to all stages."""
        self._configuration = configuration
        self.admission.configure(configuration)
        self._dispatcher.configure(configuration)
        self.holder.configure(configuration)
        self.requester.configure(configuration)
        self._wake()

    def update_members(self, live: list[DaemonIdentity]) -> None:
        """Applies the list of live daemons that are not leaving."""
        self.holder.update_members(live)
        self.requester.update_members(live)
        self._wake()

    def forget_home(self, incarnation: str) -> None:
        """Drops the demand of a dead daemon; its slots stay in use while its tasks may run."""
        self.holder.forget_home(incarnation)
        self._wake()

    def receive(self, sender: str, message: object) -> None:
        """Handles a slot message from a daemon, this one included."""
        self._pause.note_run()
        match message:
            case UpdateDemand():
                self.holder.receive_demand(sender, message)
            case ReleaseSlots():
                self.holder.receive_releases(message)
            case GrantSlots():
                self.requester.receive_grants(sender, message)
            case HolderSummary():
                self.requester.receive_summary(message)
        self._wake()

    def submit(self, submission: Submission) -> Job:
        """Accepts a submission whose home is this daemon; returns its new or existing job.

        A job that admission control refuses is finished at once, with the refusal as its answer.

        :raises DeduplicateError: if the identifier cannot be used.
        """
        job, is_new = self._registry.register(
            submission, self.admission.resolve_timeout_s(submission)
        )
        if not is_new:
            return job
        try:
            self.admission.check(submission)
        except AdmissionError as error:
            # The refusal is final for this id: a retry of the submission must not run after it.
            job.refuse(error, self._clock.now_s())
            self._registry.note_finished(job)
            return job
        for run in job.runs:
            self._queue.push(run)
        self._task_group.start_soon(self._watch_job, job)
        self._wake()
        return job

    def cancel(self, job: Job) -> None:
        """Cancels a job at its caller's request."""
        job.cancel(self._clock.now_s())

    async def run(self, task_group: TaskGroup) -> None:
        """Processes waiting tasks and slot messages until cancelled."""
        self._task_group = task_group
        self._dispatcher.set_task_group(task_group)
        task_group.start_soon(self._tick)
        while True:
            await self._changed.wait()
            self._changed = Event()
            if not self._pause.is_refreshing:
                self._flush()

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Waits until all jobs have finished and their answers have been delivered.

        As a caller may never fetch its answer, undelivered answers are waited for at most
        :data:`UNDELIVERED_TIMEOUT_S`.

        :returns: whether the wait ended within ``timeout_s``.
        """
        with move_on_after(timeout_s):
            while jobs := self._registry.list_unfinished():
                await jobs[0].finished.wait()
            with move_on_after(UNDELIVERED_TIMEOUT_S):
                while jobs := self._registry.list_undelivered():
                    await jobs[0].delivered.wait()
            return True
        return False

    async def _watch_job(self, job: Job) -> None:
        with move_on_after(max(0.0, job.deadline_s - self._clock.now_s())):
            await job.finished.wait()
        if not job.is_finished:
            outcome = Outcome.UNKNOWN if job.may_have_run else Outcome.NOT_RUN
            job.fail(outcome, "timeout", "not finished in time", self._clock.now_s(), 1.0)
        self._queue.discard(job.runs)
        self._dispatcher.cancel(job.runs)
        self._registry.note_finished(job)
        self._wake()

    async def _tick(self) -> None:
        while True:
            await sleep(TICK_INTERVAL_S)
            self._pause.note_run()
            self.holder.mark_waiting_groups()
            self._wake()

    def _flush(self) -> None:
        for _ in range(MAX_FLUSH_ROUNDS):
            self.requester.flush()
            self.holder.flush()
            if not self.requester.has_releases():
                return

    def _start_task(self, run: TaskRun, slot: HeldSlot) -> None:
        if self._pause.is_refreshing:
            # The slot was granted before this process was paused. The endpoint may have started
            # to leave since, so the slot is released unused and the task waits for another one.
            self.requester.release(slot, SlotResult.UNUSED)
            self._requeue(run)
        else:
            self._dispatcher.start(run, slot)

    def _send(self, incarnation: str, message: object) -> None:
        if incarnation == self._identity.incarnation:
            self.receive(incarnation, message)
        else:
            self._sent_messages[type(message).__name__] += 1
            self._notify(incarnation, message)

    def _release(self, slot: HeldSlot, result: SlotResult, run_time_s: float) -> None:
        self.requester.release(slot, result, run_time_s)
        self._wake()

    def _requeue(self, run: TaskRun) -> None:
        if not run.job.is_finished:
            self._queue.push_front(run)
            self._wake()

    def _finish_task(self, run: TaskRun, result: TaskResult) -> None:
        run.job.add_result(result, self._clock.now_s())

    def _wake(self) -> None:
        self._changed.set()
