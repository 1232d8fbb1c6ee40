"""History of a run as callers and endpoints recorded it, and the conditions that it must meet."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

DONE, NOT_RUN, FAILED, UNKNOWN = "done", "not_run", "failed", "outcome_unknown"
# These codes reject different content under a job's identifier and don't describe the job itself.
OTHER_CONTENT_CODES = ("id_reused",)
# Codes with which the home itself finally answers "outcome unknown"; other codes come from daemons
# that can't reach the home.
FINAL_UNKNOWN_CODES = ("timeout", "answer_lost", "answer_timeout")


@dataclass(frozen=True)
class SubmittedJob:
    """A job as its caller submitted it.

    :param request: name of the caller's request; the same for all identifiers that it is submitted
        under.
    :param payloads: payloads by task identifier, in the order of submission.
    """

    job_id: str
    request: str
    payloads: dict[str, Any]
    repeatable: bool = False


@dataclass(frozen=True)
class CallerAnswer:
    """One answer to one call about a job.

    :param daemon: the daemon that was called.
    :param outcome: empty if the job was still running.
    :param results: task identifiers and payloads in the order of the answer.
    """

    job_id: str
    daemon: str
    submitted_s: float
    answered_s: float
    outcome: str
    code: str = ""
    results: tuple[tuple[str, Any], ...] = ()


@dataclass(frozen=True)
class UnansweredCall:
    """A call that ended without an answer, so that nothing is known about the job's outcome.

    :param problem: the error at the caller.
    """

    job_id: str
    daemon: str
    submitted_s: float
    ended_s: float
    problem: str


@dataclass(frozen=True)
class EndpointEvent:
    """One line of an endpoint's event log.

    :param event: ``start``, ``end`` or ``refuse``.
    :param task: ``<job id>/<task id>``.
    """

    event: str
    task: str
    endpoint: str
    time_s: float
    status: int | None = None


@dataclass(frozen=True)
class LeavingPeriod:
    """A period in which an endpoint must get no new work.

    :param until_s: time at which the endpoint may get new work again.
    """

    endpoint: str
    from_s: float
    until_s: float = float("inf")


@dataclass
class History:
    """Calls and events of a run; times are those of the machine's monotonic clock."""

    jobs: dict[str, SubmittedJob] = field(default_factory=dict)
    answers: list[CallerAnswer] = field(default_factory=list)
    unanswered_calls: list[UnansweredCall] = field(default_factory=list)
    events: list[EndpointEvent] = field(default_factory=list)
    leaving: list[LeavingPeriod] = field(default_factory=list)

    def starts(self) -> Iterator[EndpointEvent]:
        """Yields the start events of the tasks of this history's jobs."""
        for event in self.events:
            if event.event == "start" and _get_job_id(event.task) in self.jobs:
                yield event

    def list_final_answers(self, job_id: str) -> list[CallerAnswer]:
        """Returns a job's answers in order of time, without those given while it was running."""
        answers = [answer for answer in self.answers if answer.job_id == job_id and answer.outcome]
        return sorted(answers, key=lambda answer: answer.answered_s)


def find_repeated_starts(history: History) -> list[str]:
    """Finds tasks of a submission that started twice.

    A repeatable task may start again after each run that ended in failure.
    """
    violations = []
    runs: dict[str, list[EndpointEvent]] = defaultdict(list)
    for event in history.events:
        if event.event in ("start", "end") and _get_job_id(event.task) in history.jobs:
            runs[event.task].append(event)
    for task, events in runs.items():
        starts = [event for event in events if event.event == "start"]
        if len(starts) < 2:
            continue
        if history.jobs[_get_job_id(task)].repeatable and _is_each_start_after_failure(events):
            continue
        where = ", ".join(f"{start.endpoint} at {start.time_s:.3f}" for start in starts)
        violations.append(f"task {task} started {len(starts)} times: {where}")
    return violations


def find_repeated_requests(history: History) -> list[str]:
    """Finds requests that ran more than once, over all identifiers, but aren't repeatable."""
    started = Counter(
        (history.jobs[_get_job_id(start.task)].request, start.task.partition("/")[2])
        for start in history.starts()
        if not history.jobs[_get_job_id(start.task)].repeatable
    )
    return [
        f"request {request}, task {task}: started {count} times"
        for (request, task), count in started.items()
        if count > 1
    ]


def find_wrong_results(history: History) -> list[str]:
    """Finds done answers that are incomplete, out of order or have another task's content."""
    violations = []
    for answer in history.answers:
        if answer.outcome != DONE or answer.code in OTHER_CONTENT_CODES:
            continue
        expected = [
            (task_id, (f"{answer.job_id}/{task_id}", payload))
            for task_id, payload in history.jobs[answer.job_id].payloads.items()
        ]
        actual = [(task_id, _extract_task_content(payload)) for task_id, payload in answer.results]
        if actual != expected:
            violations.append(
                f"job {answer.job_id}: {answer.daemon} answered {_shorten(actual)}, "
                f"not {_shorten(expected)}"
            )
    return violations


def find_partial_answers(history: History) -> list[str]:
    """Finds answers that are not "done" but have results."""
    return [
        f"job {answer.job_id}: {answer.outcome!r} of {answer.daemon} has "
        f"{len(answer.results)} results"
        for answer in history.answers
        if answer.outcome != DONE and answer.results
    ]


def find_changed_answers(history: History) -> list[str]:
    """Finds jobs whose answer changed.

    A daemon that can't reach the home may answer "outcome unknown" before or after the home's own
    answer; this does not count as a change.
    """
    violations = []
    for job_id in history.jobs:
        answers = [
            answer
            for answer in history.list_final_answers(job_id)
            if answer.code not in OTHER_CONTENT_CODES
            and (answer.outcome != UNKNOWN or answer.code in FINAL_UNKNOWN_CODES)
        ]
        for answer in answers[1:]:
            first = answers[0]
            if (answer.outcome, answer.code, answer.results) != (
                first.outcome,
                first.code,
                first.results,
            ):
                violations.append(
                    f"job {job_id}: {first.outcome}/{first.code} of {first.daemon}, then "
                    f"{answer.outcome}/{answer.code} of {answer.daemon}"
                )
    return violations


def find_false_not_run_answers(history: History) -> list[str]:
    """Finds jobs answered as "not run" of which a task started before or after the answer."""
    started = {_get_job_id(start.task) for start in history.starts()}
    return [
        f"job {answer.job_id}: {answer.daemon} answered not_run/{answer.code}, but tasks started"
        for answer in history.answers
        if answer.outcome == NOT_RUN
        and answer.code not in OTHER_CONTENT_CODES
        and answer.job_id in started
    ]


def find_unstarted_results(history: History) -> list[str]:
    """Finds tasks of "done" jobs without a finished run at any endpoint."""
    finished = {event.task for event in history.events if event.event == "end" and event.status}
    return [
        f"job {answer.job_id}: done, but task {task_id} has not ended at any endpoint"
        for answer in history.answers
        if answer.outcome == DONE
        for task_id in history.jobs[answer.job_id].payloads
        if f"{answer.job_id}/{task_id}" not in finished
    ]


def find_work_while_leaving(history: History) -> list[str]:
    """Finds tasks that were sent to a leaving endpoint, even if the endpoint refused them."""
    return [
        f"{event.event} of task {event.task} at {event.endpoint} "
        f"{event.time_s - period.from_s:.3f} s after the bound"
        for period in history.leaving
        for event in history.events
        if event.event in ("start", "refuse")
        and event.endpoint == period.endpoint
        and period.from_s <= event.time_s < period.until_s
    ]


CONDITIONS: dict[str, Callable[[History], list[str]]] = {
    "no task of a submission starts twice": find_repeated_starts,
    "what may not be repeated runs at most once": find_repeated_requests,
    "a done answer is whole and the job's own": find_wrong_results,
    "an answer that is not done has no results": find_partial_answers,
    "an answer never changes": find_changed_answers,
    "not run is true": find_false_not_run_answers,
    "done has run": find_unstarted_results,
    "a leaving endpoint gets no new work": find_work_while_leaving,
}


def check_history(history: History) -> dict[str, list[str]]:
    """Returns the violations by condition, with empty lists for conditions that are met.

    The condition on leaving endpoints is only checked if the run has recorded leaving periods.
    """
    return {
        name: find(history)
        for name, find in CONDITIONS.items()
        if find is not find_work_while_leaving or history.leaving
    }


def _get_job_id(task: str) -> str:
    return task.partition("/")[0]


def _is_each_start_after_failure(events: list[EndpointEvent]) -> bool:
    ordered = sorted(events, key=lambda event: event.time_s)
    return all(
        previous.event == "end" and previous.status not in (0, 200, None)
        for previous, event in zip(ordered, ordered[1:], strict=False)
        if event.event == "start"
    )


def _extract_task_content(payload: Any) -> Any:
    if not isinstance(payload, dict):
        return payload
    return payload.get("task_id"), payload.get("echo")


def _shorten(value: object) -> str:
    text = repr(value)
    return text if len(text) < 300 else f"{text[:300]}..."
