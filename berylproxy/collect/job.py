"""State of a job at its home daemon, which collects the task results into one answer."""

from dataclasses import dataclass

from anyio import Event
from msgspec.structs import replace

from berylproxy.constants import MAX_ANSWER_BYTES
from berylproxy.errors import BerylproxyError
from berylproxy.models import JobAnswer, Outcome, Submission, Task, TaskResult

ANSWER_TOO_LARGE_CODE = "answer_too_large"
JOB_OVERHEAD_BYTES = 1_500
RESULT_OVERHEAD_BYTES = 200
NEW_ID_HINT = "this id has been used; submit again with a new one"


@dataclass(frozen=True, slots=True)
class DemandKey:
    """Identifies tasks that may use each other's slot grants.

    :param needs: resources by name, sorted.
    """

    service: str
    team: str
    needs: tuple[tuple[str, int], ...] = ()


@dataclass(slots=True, eq=False)
class TaskRun:
    """A task of a job at its home daemon.

    :param attempts: number of times that the task was sent to an endpoint.
    """

    job: "Job"
    task: Task
    key: DemandKey
    attempts: int = 0


class Job:
    """Collects the results of a job's tasks into its single answer.

    The answer is set once and never changes. It is complete or failed, never partial.

    :param accepted_s: time of acceptance, on the daemon's clock.
    :param timeout_s: time after acceptance at which the job is abandoned.
    """

    def __init__(self, submission: Submission, accepted_s: float, timeout_s: float) -> None:
        self.submission = submission
        self.accepted_s = accepted_s
        self.deadline_s = accepted_s + timeout_s
        self.answer: JobAnswer | None = None
        self.finished = Event()
        self.delivered = Event()
        self.finished_s = 0.0
        self.runs = [self._make_run(task) for task in submission.tasks]
        self._results: dict[str, TaskResult] = {}
        self._answer_bytes = 0
        self._started_tasks = 0

    @property
    def job_id(self) -> str:
        """The identifier under which the job runs."""
        return self.submission.job_id

    @property
    def answer_bytes(self) -> int:
        """Approximate memory use of the retained answer."""
        results = self.answer.results if self.answer is not None else ()
        return JOB_OVERHEAD_BYTES + sum(
            len(result.body) + RESULT_OVERHEAD_BYTES for result in results
        )

    @property
    def is_finished(self) -> bool:
        """Whether the answer is set."""
        return self.answer is not None

    @property
    def may_have_run(self) -> bool:
        """Whether any task may have started."""
        return self._started_tasks > 0

    def note_start(self) -> None:
        """Records that a task is about to be sent: the job can no longer end as "not run"."""
        self._started_tasks += 1

    def note_refusal(self) -> None:
        """Records that a task that was sent has certainly not started."""
        self._started_tasks -= 1

    def add_result(self, result: TaskResult, now_s: float) -> None:
        """Adds a task's result; the last one, or the first that is not "done", finishes the job."""
        if self.is_finished:
            return
        if result.outcome is not Outcome.DONE:
            self.fail(
                result.outcome, result.code, f"task {result.task_id}: {result.message}", now_s
            )
            return
        self._answer_bytes += len(result.body)
        if self._answer_bytes > MAX_ANSWER_BYTES:
            message = f"the results are together larger than {MAX_ANSWER_BYTES} bytes"
            self.fail(Outcome.FAILED, ANSWER_TOO_LARGE_CODE, message, now_s)
            return
        self._results[result.task_id] = result
        if len(self._results) == len(self.runs):
            results = tuple(self._results[run.task.task_id] for run in self.runs)
            self._finish(JobAnswer(self.job_id, Outcome.DONE, results=results), now_s)

    def fail(
        self,
        outcome: Outcome,
        code: str,
        message: str,
        now_s: float,
        retry_after_s: float | None = None,
        hint: str = "",
    ) -> None:
        """Finishes the job without results.

        The outcome "not run" becomes "failed" if any task of the job may have started.
        """
        if self.is_finished:
            return
        if outcome is Outcome.NOT_RUN and self.may_have_run:
            outcome = Outcome.FAILED
            retry_after_s = None
        if outcome is Outcome.NOT_RUN:
            hint = f"{hint}; {NEW_ID_HINT}" if hint else NEW_ID_HINT
        answer = JobAnswer(self.job_id, outcome, code, message, hint, retry_after_s)
        self._finish(answer, now_s)

    def cancel(self, now_s: float) -> None:
        """Finishes the job on the caller's request."""
        self.fail(Outcome.NOT_RUN, "cancelled", "cancelled by the caller", now_s)

    def refuse(self, error: BerylproxyError, now_s: float) -> None:
        """Finishes the job before any task has been queued."""
        self.fail(
            Outcome.NOT_RUN, error.code, error.message, now_s, error.retry_after_s, error.hint
        )

    def drop_tasks(self) -> None:
        """Frees the tasks, which only an unfinished job needs."""
        self.runs = []
        self.submission = replace(self.submission, tasks=())

    def _make_run(self, task: Task) -> TaskRun:
        needs = tuple(sorted(task.needs.items()))
        return TaskRun(self, task, DemandKey(self.submission.service, self.submission.team, needs))

    def _finish(self, answer: JobAnswer, now_s: float) -> None:
        self.answer = answer
        self.finished_s = now_s
        self.finished.set()
