"""What callers and endpoints saw of a run, and the conditions that it must meet."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

DONE, NOT_RUN, FAILED, UNKNOWN = "done", "not_run", "failed", "outcome_unknown"
# Said of other content than the job's, so they tell nothing of the job itself.
FOREIGN_CODES = ("id_reused",)
# Codes of "outcome unknown" that a home gives for good; others come from daemons that can't ask it.
HOME_UNKNOWN_CODES = ("timeout", "answer_lost", "answer_timeout")


@dataclass(frozen=True)
class SubmittedJob:
    """A job as its caller wrote it.

    :param request: what the caller wants done, whatever identifiers it submits it under.
    :param payloads: by task, in the order of submission.
    """

    job_id: str
    request: str
    payloads: dict[str, Any]
    repeatable: bool = False


@dataclass(frozen=True)
class CallerAnswer:
    """One answer to one call about a job.

    :param daemon: the daemon that was called.
    :param outcome: empty while the job runs.
    :param results: payloads in the order of the answer.
    """

    job_id: str
    daemon: str
    submitted_s: float
    answered_s: float
    outcome: str
    code: str = ""
    results: tuple[tuple[str, Any], ...] = ()


@dataclass(frozen=True)
class LostCall:
    """A call that ended without an answer, which proves nothing.

    :param problem: what its caller saw.
    """

    job_id: str
    daemon: str
    submitted_s: float
    ended_s: float
    problem: str


@dataclass(frozen=True)
class EndpointEvent:
    """A line of an endpoint's own log.

    :param event: ``start``, ``end`` or ``refuse``.
    :param task: ``<job id>/<task id>``.
    """

    event: str
    task: str
    endpoint: str
    time_s: float
    status: int | None = None


@dataclass(frozen=True)
class LeavingMark:
    """A time from which an endpoint must get no new work.

    :param until_s: when it was put back to work.
    """

    endpoint: str
    from_s: float
    until_s: float = float("inf")


@dataclass
class History:
    """All that was seen of a run; times are of the machine's monotonic clock."""

    jobs: dict[str, SubmittedJob] = field(default_factory=dict)
    answers: list[CallerAnswer] = field(default_factory=list)
    lost_calls: list[LostCall] = field(default_factory=list)
    events: list[EndpointEvent] = field(default_factory=list)
    leaving: list[LeavingMark] = field(default_factory=list)

    def starts(self) -> Iterator[EndpointEvent]:
        """Yields the starts of tasks of this history's jobs."""
        for event in self.events:
            if event.event == "start" and _job_of(event.task) in self.jobs:
                yield event

    def answers_of(self, job_id: str) -> list[CallerAnswer]:
        """Lists a job's answers, without those that say that it runs, in the order of time."""
        answers = [answer for answer in self.answers if answer.job_id == job_id and answer.outcome]
        return sorted(answers, key=lambda answer: answer.answered_s)


def find_repeated_starts(history: History) -> list[str]:
    """No task of a submission starts twice, unless it may be repeated after a finished failure."""
    violations = []
    runs: dict[str, list[EndpointEvent]] = defaultdict(list)
    for event in history.events:
        if event.event in ("start", "end") and _job_of(event.task) in history.jobs:
            runs[event.task].append(event)
    for task, events in runs.items():
        starts = [event for event in events if event.event == "start"]
        if len(starts) < 2:
            continue
        if history.jobs[_job_of(task)].repeatable and _is_each_start_after_failure(events):
            continue
        where = ", ".join(f"{start.endpoint} at {start.time_s:.3f}" for start in starts)
        violations.append(f"task {task} started {len(starts)} times: {where}")
    return violations


def find_repeated_requests(history: History) -> list[str]:
    """A request that may not be repeated runs at most once under all of its identifiers."""
    started = Counter(
        (history.jobs[_job_of(start.task)].request, start.task.partition("/")[2])
        for start in history.starts()
        if not history.jobs[_job_of(start.task)].repeatable
    )
    return [
        f"request {request}, task {task}: started {count} times"
        for (request, task), count in started.items()
        if count > 1
    ]


def find_damaged_answers(history: History) -> list[str]:
    """A job that is done is answered whole, in order and with its own content."""
    violations = []
    for answer in history.answers:
        if answer.outcome != DONE or answer.code in FOREIGN_CODES:
            continue
        expected = [
            (task_id, (f"{answer.job_id}/{task_id}", payload))
            for task_id, payload in history.jobs[answer.job_id].payloads.items()
        ]
        got = [(task_id, _read_own_content(payload)) for task_id, payload in answer.results]
        if got != expected:
            violations.append(
                f"job {answer.job_id}: {answer.daemon} answered {_shorten(got)}, "
                f"not {_shorten(expected)}"
            )
    return violations


def find_partial_answers(history: History) -> list[str]:
    """An answer that is not "done" carries no results."""
    return [
        f"job {answer.job_id}: {answer.outcome!r} of {answer.daemon} has "
        f"{len(answer.results)} results"
        for answer in history.answers
        if answer.outcome != DONE and answer.results
    ]


def find_changed_answers(history: History) -> list[str]:
    """A job's answer never changes.

    A daemon that has lost the home may say "outcome unknown" before or after the home's own answer.
    """
    violations = []
    for job_id in history.jobs:
        answers = [
            answer
            for answer in history.answers_of(job_id)
            if answer.code not in FOREIGN_CODES
            and (answer.outcome != UNKNOWN or answer.code in HOME_UNKNOWN_CODES)
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


def find_false_refusals(history: History) -> list[str]:
    """No task of a job that was "not run" ever starts, before or after that was said."""
    started = {_job_of(start.task) for start in history.starts()}
    return [
        f"job {answer.job_id}: {answer.daemon} said not_run/{answer.code}, but tasks have started"
        for answer in history.answers
        if answer.outcome == NOT_RUN
        and answer.code not in FOREIGN_CODES
        and answer.job_id in started
    ]


def find_unstarted_results(history: History) -> list[str]:
    """A job that is done has run: each of its tasks has a start and a finished end."""
    finished = {event.task for event in history.events if event.event == "end" and event.status}
    return [
        f"job {answer.job_id}: done, but task {task_id} has not ended at any endpoint"
        for answer in history.answers
        if answer.outcome == DONE
        for task_id in history.jobs[answer.job_id].payloads
        if f"{answer.job_id}/{task_id}" not in finished
    ]


def find_work_while_leaving(history: History) -> list[str]:
    """An endpoint that is leaving gets no new work, not even to refuse it."""
    return [
        f"{event.event} of task {event.task} at {event.endpoint} "
        f"{event.time_s - mark.from_s:.3f} s after the bound"
        for mark in history.leaving
        for event in history.events
        if event.event in ("start", "refuse")
        and event.endpoint == mark.endpoint
        and mark.from_s <= event.time_s < mark.until_s
    ]


CONDITIONS: dict[str, Callable[[History], list[str]]] = {
    "no task of a submission starts twice": find_repeated_starts,
    "what may not be repeated runs at most once": find_repeated_requests,
    "a done answer is whole and the job's own": find_damaged_answers,
    "an answer that is not done has no results": find_partial_answers,
    "an answer never changes": find_changed_answers,
    "not run is true": find_false_refusals,
    "done has run": find_unstarted_results,
    "a leaving endpoint gets no new work": find_work_while_leaving,
}


def check_history(history: History) -> dict[str, list[str]]:
    """Checks the conditions; returns the violations by condition, empty lists included.

    Endpoints that leave are judged only where the run has noted from when on they do.
    """
    return {
        name: find(history)
        for name, find in CONDITIONS.items()
        if find is not find_work_while_leaving or history.leaving
    }


def _job_of(task: str) -> str:
    return task.partition("/")[0]


def _is_each_start_after_failure(events: list[EndpointEvent]) -> bool:
    ordered = sorted(events, key=lambda event: event.time_s)
    return all(
        previous.event == "end" and previous.status not in (0, 200, None)
        for previous, event in zip(ordered, ordered[1:], strict=False)
        if event.event == "start"
    )


def _read_own_content(payload: Any) -> Any:
    if not isinstance(payload, dict):
        return payload
    return payload.get("task_id"), payload.get("echo")


def _shorten(value: object) -> str:
    text = repr(value)
    return text if len(text) < 300 else f"{text[:300]}..."
