"""A job at its home: its tasks' results on the way to one answer."""

from dataclasses import dataclass, replace

from anyio import Event

from berylproxy.constants import MAX_ANSWER_BYTES
from berylproxy.errors import BerylproxyError
from berylproxy.models import JobAnswer, Outcome, Submission, Task, TaskResult

ANSWER_TOO_LARGE_CODE = "answer_too_large"
JOB_OVERHEAD_BYTES = 1_500
RESULT_OVERHEAD_BYTES = 200
NEW_ID_HINT = "this id is used up, take a new one"


@dataclass(frozen=True, slots=True)
class DemandKey:
    """Tasks that may take each other's slot grant.

    :param needs: resources by name, sorted.
    """

    service: str
    team: str
    needs: tuple[tuple[str, int], ...] = ()


@dataclass(slots=True, eq=False)
class TaskRun:
    """One task of a job at its home.

    :param attempts: how many times it has been sent to an endpoint.
    """

    job: "Job"
    task: Task
    key: DemandKey
    attempts: int = 0


class Job:
    """Gathers the results of a job's tasks into its single answer.

    The answer is set once and never changes. It is complete or failed, never partial.

    :param accepted_s: the clock's time of its acceptance.
    :param timeout_s: time from then on after which it is given up on.
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
        """Roughly how much memory the kept answer takes."""
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
        """Notes that a task is about to be sent, after which "not run" can't be said."""
        self._started_tasks += 1

    def note_refusal(self) -> None:
        """Notes that a task that was sent has certainly not started."""
        self._started_tasks -= 1

    def add_result(self, result: TaskResult, now_s: float) -> None:
        """Takes a task's end; the last result, or the first bad one, finishes the job."""
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

        "Not run" becomes "failed" when another task of the job may have started.
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
        """Finishes the job at the caller's wish."""
        self.fail(Outcome.NOT_RUN, "cancelled", "cancelled by the caller", now_s)

    def refuse(self, error: BerylproxyError, now_s: float) -> None:
        """Finishes the job before any task has been queued."""
        self.fail(
            Outcome.NOT_RUN, error.code, error.message, now_s, error.retry_after_s, error.hint
        )

    def drop_tasks(self) -> None:
        """Frees what only an unfinished job needs."""
        self.runs = []
        self.submission = replace(self.submission, tasks=())

    def _make_run(self, task: Task) -> TaskRun:
        needs = tuple(sorted(task.needs.items()))
        return TaskRun(self, task, DemandKey(self.submission.service, self.submission.team, needs))

    def _finish(self, answer: JobAnswer, now_s: float) -> None:
        self.answer = answer
        self.finished_s = now_s
        self.finished.set()
