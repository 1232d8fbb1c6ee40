"""Judges a soak by what callers were told and what the runners did. Pure."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from tests.support.runs import Run, find_overlaps
from tools.soak.callers import NOT_RUN_STATUSES, SoakJob

SILENT_PROBLEMS = ("not connected", "ReadTimeout", "WriteTimeout", "PoolTimeout")
RACE_S = 0.5  # between a daemon's last bytes and the end of its process
LATEST_ANSWER_S = 6.0  # the queue's timeout is 5 s

Span = tuple[int, float, float]


def judge(
    jobs: Iterable[SoakJob],
    runs: list[Run],
    down: list[Span],
    stopped: list[Span],
    final_states: dict[str, set[str]],
) -> list[str]:
    """Lists what was promised and not kept.

    :param down: daemons that were killed or frozen, with the times.
    :param stopped: daemons that were told to stop, and when their process had ended.
    :param final_states: what all daemons told of each accepted kept job after the faults.
    """
    by_job: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_job[run[2][0]].append(run)
    problems = []
    for job in jobs:
        mine = by_job[job.job_id]
        problems += [f"{job.job_id}: {text}" for text in _judge_runs(mine)]
        problems += [f"{job.job_id}: {text}" for text in _judge_answers(job, mine)]
        problems += [f"{job.job_id}: {text}" for text in _judge_calls(job, down, stopped)]
        if job.is_kept and job.is_accepted:
            states = final_states.get(job.job_id, set())
            if states != {"completed"}:
                problems.append(f"{job.job_id}: kept, and shown as {sorted(states)} in the end")
    return problems


def _judge_runs(runs: list[Run]) -> list[str]:
    """No task runs twice at the same time."""
    return [
        f"task {overlap.task[1:]} run {overlap.next_run} began at {overlap.next_start_s:.3f} s, "
        f"run {overlap.first_run} of {overlap.first_start_s:.3f} s was still there"
        for overlap in find_overlaps(runs)
    ]


def _judge_answers(job: SoakJob, runs: list[Run]) -> list[str]:
    """What is said of a job is true."""
    problems = []
    done = {name for _, kind, name, _ in runs if kind == "done"}
    for call in job.calls:
        if call.state == "completed" and len(done) < job.tasks:
            problems.append(f"completed by d{call.daemon} with {len(done)} of {job.tasks} done")
        if call.status == 200 and call.state not in ("", "completed", "queued", "running"):
            problems.append(f"answered 200 as {call.state!r} by d{call.daemon}")
        if call.status not in (0, 200, 504, *NOT_RUN_STATUSES):
            problems.append(f"answered {call.status} by d{call.daemon}")
    if job.calls and job.calls[-1].status in NOT_RUN_STATUSES and not job.is_accepted and runs:
        problems.append(f"refused as not run by d{job.calls[-1].daemon}, and {len(runs)} events")
    return problems


def _judge_calls(job: SoakJob, down: list[Span], stopped: list[Span]) -> list[str]:
    """A daemon that lives answers in time and cuts no request."""
    problems = []
    for call in job.calls:
        was_down = any(
            who == call.daemon and since_s <= call.ended_s and call.sent_s <= until_s
            for who, since_s, until_s in down
        )
        was_ending = any(
            who == call.daemon and call.sent_s >= since_s and abs(call.ended_s - end_s) < RACE_S
            for who, since_s, end_s in stopped
        )
        if was_down or was_ending:
            continue
        took_s = call.ended_s - call.sent_s
        if call.problem and call.problem not in SILENT_PROBLEMS:
            problems.append(f"d{call.daemon} broke the request off: {call.problem}")
        elif call.status and took_s > LATEST_ANSWER_S:
            problems.append(f"d{call.daemon} answered after {took_s:.1f} s")
        elif call.problem.endswith("Timeout"):
            problems.append(f"d{call.daemon} did not answer in {took_s:.1f} s: {call.problem}")
    return problems


def count_answers(jobs: Iterable[SoakJob]) -> dict[str, int]:
    """Counts the answers by what they say."""
    counts = Counter(
        call.problem or f"{call.status} {call.state}".strip() for job in jobs for call in job.calls
    )
    return dict(sorted(counts.items()))
