"""LOST: a job is shown as failed because runners crashed under it, though no run has failed."""

import sys
from pathlib import Path
from time import monotonic, sleep

from review.support_2.world import ZONES, World, make_id, make_job, play

WORK_MS = 12_000
CRASHES = 3
BEGUN_FOR_S = 1.5
DOWN_S = 1.0
JOB_LIMIT_S = 80.0


def find_run(world: World, job_id: str, after: int) -> dict | None:
    """Returns the newest start of the job's task if there were more than ``after``."""
    starts = [
        row
        for row in world.read_runs()
        if row["event"] == "start" and row["task"].startswith(job_id)
    ]
    return starts[-1] if len(starts) > after else None


def judge(world: World, has_trouble: bool) -> bool:
    """Crashes the runner of a job's task up to three times; the runner is back a second later."""
    world.start(3, 8, [{"name": "r-3hwrr6x", "prefix": "/lohu930/"}])
    sleep(2.0)
    path = f"/lohu930/{(job_id := make_id())}"
    while (answer := world.request(1, "POST", path, make_job(1, WORK_MS, 6800))) is None or (
        answer[0] != 200
    ):
        sleep(0.3)
    for number in range(CRASHES if has_trouble else 0):
        world.wait_for(
            lambda number=number: find_run(world, job_id, number) is not None
            or read_state(world, path) == "failed",
            "the task's next run",
        )
        if read_state(world, path) == "failed":
            break
        sleep(BEGUN_FOR_S)
        name = find_run(world, job_id, number)["runner"]
        world.runners[name].kill()
        world.runners[name].wait()
        world.note("runner crashed", runner=name)
        sleep(DOWN_S)
        world.start_runner(name, ZONES[int(name[2:]) % len(ZONES)])
        world.note("runner is back under its id", runner=name)
    end_s, state = monotonic() + JOB_LIMIT_S, ""
    while monotonic() < end_s and state not in ("completed", "failed", "cancelled"):
        sleep(0.5)
        state = read_state(world, path)
    failed_ends = [
        row
        for row in world.read_runs()
        if row["event"] == "end" and row["task"].startswith(job_id) and row["how"] == "failed"
    ]
    world.note("the job's state", state=state, ends_failed=len(failed_ends), max_attempts=4)
    return state == "completed"


def read_state(world: World, path: str) -> str:
    """Asks for the job's state."""
    answer = world.request(2, "GET", path)
    return answer[1].get("state", "") if answer is not None and answer[0] == 200 else ""


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, judge))
