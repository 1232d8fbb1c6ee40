"""Runs tasks in granted slots.

A task is sent again only if it certainly did not start, or if it failed and may be repeated.
"""

from collections import Counter
from collections.abc import Callable

from anyio import CancelScope
from anyio.abc import TaskGroup

from berylproxy.clock import Clock
from berylproxy.collect.job import TaskRun
from berylproxy.models import Outcome, TaskResult
from berylproxy.place.endpoint_state import SlotResult
from berylproxy.place.messages import HeldSlot
from berylproxy.records.models import Configuration, Endpoint
from berylproxy.send.errors import EndpointFullError, SendError
from berylproxy.send.sender import TaskSender
from berylproxy.tracing import Tracer
from berylproxy.usage.counters import UsageCounters

MAX_ATTEMPTS = 5  # sends of one task, not counting those refused because the endpoint was full


class Dispatcher:
    """Starts granted tasks and reports how they ended.

    :param release: releases a slot, given the result of its use and the run time in seconds.
    :param requeue: puts a task that is to be sent again back into the queue.
    :param finish: accepts a task's result.
    """

    def __init__(
        self,
        clock: Clock,
        sender: TaskSender,
        tracer: Tracer,
        usage: UsageCounters,
        release: Callable[[HeldSlot, SlotResult, float], None],
        requeue: Callable[[TaskRun], None],
        finish: Callable[[TaskRun, TaskResult], None],
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._tracer = tracer
        self._usage = usage
        self._release = release
        self._requeue = requeue
        self._finish = finish
        self._configuration = Configuration()
        self._task_group: TaskGroup | None = None
        self._scopes: dict[TaskRun, CancelScope] = {}
        self.refused_sends = 0
        self.sends: Counter[str] = Counter()

    @property
    def in_flight(self) -> int:
        """Number of tasks that are at endpoints now."""
        return len(self._scopes)

    def set_task_group(self, task_group: TaskGroup) -> None:
        """Sets the task group in which tasks are sent."""
        self._task_group = task_group

    def configure(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        self._configuration = configuration

    def start(self, run: TaskRun, slot: HeldSlot) -> None:
        """Starts a task in a granted slot; releases the slot if it can't be used."""
        endpoint = self._configuration.endpoints.get(slot.endpoint)
        is_unusable = endpoint is None or not endpoint.accepts_tasks or run.job.is_finished
        if is_unusable or self._clock.now_s() >= run.job.deadline_s:
            self._release(slot, SlotResult.UNUSED, 0.0)
            if not run.job.is_finished:
                self._requeue(run)
            return
        # Counted before the first await: from here on the job can't be reported as not run.
        run.job.note_start()
        run.attempts += 1
        self._scopes[run] = CancelScope()
        self._task_group.start_soon(self._run, run, slot, endpoint)

    def cancel(self, runs: list[TaskRun]) -> None:
        """Abandons tasks whose job is finished; their connections are closed."""
        for run in runs:
            scope = self._scopes.get(run)
            if scope is not None:
                scope.cancel()

    async def _run(self, run: TaskRun, slot: HeldSlot, endpoint: Endpoint) -> None:
        service = self._configuration.services.get(run.key.service)
        started_s = self._clock.now_s()
        timeout_s = run.job.deadline_s - started_s
        if service is not None:
            timeout_s = min(timeout_s, service.max_run_time_s)
        result = SlotResult.ABANDONED
        run_time_s = 0.0
        try:
            with (
                self._scopes[run],
                self._tracer.span(
                    "send", run.job.submission.traceparent, task_id=run.task.task_id, slot=slot
                ) as span,
            ):
                answer = await self._sender.send(run, endpoint, timeout_s, span.traceparent)
                result = SlotResult.DONE
                run_time_s = self._clock.now_s() - started_s
                self._note_answer(run, endpoint, run_time_s, failed=False)
                self._finish(run, answer)
        except SendError as error:
            result = error.slot_result
            if error.was_answered:
                run_time_s = self._clock.now_s() - started_s
                self._note_answer(run, endpoint, run_time_s, failed=True)
            self._handle_send_error(run, slot, error)
        finally:
            del self._scopes[run]
            self.sends[result.value] += 1
            self._release(slot, result, run_time_s)

    def _note_answer(
        self, run: TaskRun, endpoint: Endpoint, run_time_s: float, *, failed: bool
    ) -> None:
        self._usage.note_answer(endpoint, run.key.team, run.key.service, run_time_s, failed=failed)

    def _handle_send_error(self, run: TaskRun, slot: HeldSlot, error: SendError) -> None:
        if error.outcome is Outcome.NOT_RUN:
            self.refused_sends += 1
            run.job.note_refusal()
            if isinstance(error, EndpointFullError):
                run.attempts -= 1  # a full endpoint may have room again at any time
            if run.attempts < MAX_ATTEMPTS:
                self._requeue(run)
                return
        elif error.outcome is Outcome.FAILED and self._may_repeat(run):
            self._requeue(run)
            return
        self._finish(run, TaskResult(run.task.task_id, error.outcome, error.code, error.message))

    def _may_repeat(self, run: TaskRun) -> bool:
        service = self._configuration.services.get(run.key.service)
        allowed = service is not None and service.repeat_after_failure
        return allowed and run.job.submission.repeatable and run.attempts < MAX_ATTEMPTS
