"""Checks of rules, as RULES.md states them, from what clients and runners have seen."""

import asyncio
from time import monotonic

from review.support_3.runner import Event, Resources, Runner
from review.support_3.world import SERVICE, SentJob, World

FINISH_S = 14.0  # finish_s: from the end of the traffic on
STALL_S = 3.0
VISIBLE_S = 3.0  # visible_ms
SAMPLE_S = 0.05


def find_false_failure(world: World, job: SentJob, max_attempts: int) -> list[str]:
    """Tells if a job is shown as failed without cause: only ends ``failed`` count as attempts."""
    failed = [at for at, state in job.states if state == "failed"]
    if not failed:
        return []
    ends: dict[str, int] = {}
    for event in world.runs_of(job):
        if event.how == "failed":
            ends[event.task] = ends.get(event.task, 0) + 1
    most = max(ends.values(), default=0)
    if most >= max_attempts:
        return []
    return [
        f"LOST: {job.job_id} is shown as failed at {failed[0] - world.began_s:.3f} s,"
        f" after {most} ends failed of {max_attempts}"
    ]


def find_doubles(world: World, jobs: list[SentJob]) -> list[str]:
    """Tells of tasks with two runs at the same time, on runners that were up."""
    found = []
    for job in jobs:
        active: dict[str, dict[int, Event]] = {}
        for event in world.runs_of(job):
            runs = active.setdefault(event.task, {})
            if event.how == "start":
                runs[event.run] = event
                continue
            begun = runs.pop(event.run, None)
            for other in runs.values():
                if begun is None:
                    continue
                overlap_s = event.at_s - max(begun.at_s, other.at_s)
                found.append(
                    f"TWICE: {event.task} ran at {begun.runner} (run {begun.run}) and at"
                    f" {other.runner} (run {other.run}) at the same time, for"
                    f" {1000 * overlap_s:.0f} ms"
                )
    return found


def find_forgotten(world: World, jobs: list[SentJob]) -> list[str]:
    """Tells of accepted jobs that nobody has cancelled and a GET for which is answered 410."""
    found = []
    for job in jobs:
        accepted_s = job.first_s("POST", 200)
        times = [
            at
            for at, method, status, _ in job.answers
            if (method, status) == ("GET", 410) and at > accepted_s + VISIBLE_S
        ]
        if times and job.cancel_sent_s == float("inf"):
            found.append(
                f"LOST: GET of {job.job_id} is answered 410 {len(times)} times,"
                f" first {times[0] - accepted_s:.1f} s after its confirmation"
            )
    return found


async def find_stalls(world: World, jobs: list[SentJob], length_s: float) -> list[str]:
    """Watches from ``finish_s`` after the last submission on, and tells of stalled jobs.

    A job is stalled if for 3 s it has nothing running while a task's turn has come, there is
    capacity for it twice over, and under half of the service's capacity is in use.

    :param length_s: how long to watch.
    """
    last_s = max(at for job in world.jobs.values() for at, m, _, _ in job.answers if m == "POST")
    await asyncio.sleep(max(last_s + FINISH_S - monotonic(), 0.0))
    end_s = monotonic() + length_s
    since_s: dict[str, float] = {}
    longest_s: dict[str, float] = {}
    while (now_s := monotonic()) < end_s:
        for job in jobs:
            if _is_stalled(world, job):
                since_s.setdefault(job.job_id, now_s)
                stalled_s = now_s - since_s[job.job_id]
                longest_s[job.job_id] = max(stalled_s, longest_s.get(job.job_id, 0.0))
            else:
                since_s.pop(job.job_id, None)
        await asyncio.sleep(SAMPLE_S)
    return [
        f"LOST: {job_id} had nothing running for {stalled_s:.1f} s, though there was capacity"
        " for it twice over and under half of the service's was in use"
        for job_id, stalled_s in longest_s.items()
        if stalled_s > STALL_S
    ]


def _is_stalled(world: World, job: SentJob) -> bool:
    runs = world.runs_of(job)
    active = {(e.task, e.run) for e in runs if e.how == "start"}
    active -= {(e.task, e.run) for e in runs if e.how != "start"}
    if active or job.first_s("POST", 200) == float("inf"):
        return False
    done = {event.task for event in runs if event.how == "done"}
    serving = [r for r in world.runners if r.is_up and r.service == SERVICE]
    used = sum(runner.used[0] for runner in serving)
    if 2 * used >= sum(runner.capacity[0] for runner in serving):
        return False
    for number, (step, plan) in enumerate(zip(job.steps, job.plans, strict=True)):
        names = {f"{job.job_id}.0.{number}.{index}" for index in range(step["count"])}
        is_due = not any(
            f"{job.job_id}.0.{earlier}.{index}" not in done
            for earlier in step.get("after", [])
            for index in range(job.steps[earlier]["count"])
        )
        room = sum(
            _count_fitting(runner, plan.needs)
            for runner in serving
            if runner.state == "ready" and step.get("requires", "") in ("", *runner.labels)
        )
        if names - done and is_due and room >= 2:
            return True
    return False


def _count_fitting(runner: Runner, needs: Resources) -> int:
    free = [c - u for c, u in zip(runner.capacity, runner.used, strict=True)]
    return min((f // n for f, n in zip(free, needs, strict=True) if n), default=1)
