"""Checks the answers to callers against the runs at the runners. Pure."""

from collections import Counter, defaultdict
from collections.abc import Hashable, Iterable

from tests.support.runs import Run, find_overlaps
from tools.soak.callers import NOT_RUN_STATUSES, SoakJob

NO_ANSWER_PROBLEMS = ("not connected", "ReadTimeout", "WriteTimeout", "PoolTimeout")
# Longest time between the last bytes that a stopping daemon sends and the end of its process.
PROCESS_END_TOLERANCE_S = 0.5
MAX_ANSWER_TIME_S = 6.0  # the queue's timeout is 5 s

KILLED_PREFIX = "killed with runner "  # of the kind of an end; the runner's number follows
# Different runners that crash under a task, after which its job may be given up.
CRASHES_TO_GIVE_UP = 2

Span = tuple[int, float, float]


def find_violations(
    jobs: Iterable[SoakJob],
    runs: list[Run],
    down_spans: list[Span],
    stop_spans: list[Span],
    final_states: dict[str, set[str]],
) -> list[str]:
    """Lists the violated guarantees.

    :param down_spans: numbers of daemons that were killed or frozen, with the start and the end.
    :param stop_spans: numbers of daemons that were stopped, with the times of the signal and of the
        end of the process.
    :param final_states: the states of each accepted durable job, as reported by all daemons after
        the faults.
    """
    by_job: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_job[run[2][0]].append(run)
    problems = []
    for job in jobs:
        job_runs = by_job[job.job_id]
        problems += [f"{job.job_id}: {text}" for text in _find_overlapping_runs(job_runs)]
        problems += [f"{job.job_id}: {text}" for text in _find_false_answers(job, job_runs)]
        problems += [
            f"{job.job_id}: {text}" for text in _find_broken_calls(job, down_spans, stop_spans)
        ]
        if job.is_durable and job.is_accepted:
            states = final_states.get(job.job_id, set())
            if states != {"completed"} and not (states == {"failed"} and _may_give_up(job_runs)):
                problems.append(
                    f"{job.job_id}: durable, but reported as {sorted(states)} in the end"
                )
    return problems


def _may_give_up(runs: list[Run]) -> bool:
    """Returns whether enough different runners were killed under a task of a job.

    Several instances of one runner count once, as they run at one address.
    """
    killed_by_task: dict[Hashable, set[str]] = defaultdict(set)
    for _, kind, task, _ in runs:
        if kind.startswith(KILLED_PREFIX):
            killed_by_task[task].add(kind)
    return any(len(runners) >= CRASHES_TO_GIVE_UP for runners in killed_by_task.values())


def _find_overlapping_runs(runs: list[Run]) -> list[str]:
    """Finds runs of a task that started before its previous run had ended."""
    return [
        f"task {overlap.task[1:]} run {overlap.next_run} started at {overlap.next_start_s:.3f} s, "
        f"run {overlap.first_run} of {overlap.first_start_s:.3f} s was still running"
        for overlap in find_overlaps(runs)
    ]


def _find_false_answers(job: SoakJob, runs: list[Run]) -> list[str]:
    """Finds answers about a job that its runs contradict, and unexpected statuses and states."""
    problems = []
    done = {name for _, kind, name, _ in runs if kind == "done"}
    for call in job.calls:
        if call.state == "completed" and len(done) < job.tasks:
            problems.append(
                f"reported as completed by d{call.daemon} with {len(done)} of {job.tasks} done"
            )
        is_given_up = call.state == "failed" and _may_give_up(runs)
        is_expected = is_given_up or call.state in ("", "completed", "queued", "running")
        if call.status == 200 and not is_expected:
            problems.append(f"answered 200 as {call.state!r} by d{call.daemon}")
        if call.status not in (0, 200, 504, *NOT_RUN_STATUSES):
            problems.append(f"answered {call.status} by d{call.daemon}")
    if job.calls and job.calls[-1].status in NOT_RUN_STATUSES and not job.is_accepted and runs:
        problems.append(
            f"refused as not run by d{job.calls[-1].daemon}, but has {len(runs)} events of runs"
        )
    return problems


def _find_broken_calls(job: SoakJob, down_spans: list[Span], stop_spans: list[Span]) -> list[str]:
    """Finds calls that a running daemon answered late, or not at all, or cut off."""
    problems = []
    for call in job.calls:
        was_down = any(
            daemon == call.daemon and since_s <= call.ended_s and call.sent_s <= until_s
            for daemon, since_s, until_s in down_spans
        )
        was_stopping = any(
            daemon == call.daemon
            and call.sent_s >= since_s
            and abs(call.ended_s - end_s) < PROCESS_END_TOLERANCE_S
            for daemon, since_s, end_s in stop_spans
        )
        if was_down or was_stopping:
            continue
        elapsed_s = call.ended_s - call.sent_s
        if call.problem and call.problem not in NO_ANSWER_PROBLEMS:
            problems.append(
                f"d{call.daemon} closed the connection during a request: {call.problem}"
            )
        elif call.status and elapsed_s > MAX_ANSWER_TIME_S:
            problems.append(f"d{call.daemon} answered after {elapsed_s:.1f} s")
        elif call.problem.endswith("Timeout"):
            problems.append(f"d{call.daemon} did not answer in {elapsed_s:.1f} s: {call.problem}")
    return problems


def count_answers(jobs: Iterable[SoakJob]) -> dict[str, int]:
    """Counts the answers by status and state, and the failed calls by problem."""
    counts = Counter(
        call.problem or f"{call.status} {call.state}".strip() for job in jobs for call in job.calls
    )
    return dict(sorted(counts.items()))
