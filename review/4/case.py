"""Single runners crash and come back, while a long task of one job runs there."""

import asyncio
import sys
from pathlib import Path

from support.deployment import Deployment
from support.play import CannotRunError, play
from support.record import Record
from support.rules import find_failed_without_cause

RUNNERS = 24
MAX_ATTEMPTS = 4
TASK_S = 12.0
RUNS_FOR_S = 2.0
DOWN_S = 4.0
CRASHES = 2


async def run(record: Record, has_trouble: bool) -> list[str]:
    """Hands in a job of one long task, and lets the runner that runs it crash, twice."""
    async with Deployment(record, daemons=6, runners=RUNNERS, seed=2) as system:
        job = system.make_job([{"count": 1, "cpu": 16_000, "mem-mb": 512, "s": TASK_S}])
        await system.submit(job, system.pick_daemon())
        if not job.accepted_s:
            raise CannotRunError("the job was not accepted")
        for _ in range(CRASHES if has_trouble else 0):
            await _crash_runner(system)
            state = (await system.get_state(job, system.pick_daemon())).content.get("state")
            if state == "failed":
                break
        for _ in range(40):
            await asyncio.sleep(1.0)
            state = (await system.get_state(job, system.pick_daemon())).content.get("state")
            if state in ("failed", "completed"):
                break
        return find_failed_without_cause(system.runs, [job], MAX_ATTEMPTS)


async def _crash_runner(system: Deployment) -> None:
    """Waits until the task runs, ends its runner's process, and starts it again."""
    for _ in range(200):
        busy = [runner for runner in system.runners if runner.running_tasks()]
        if busy:
            break
        await asyncio.sleep(0.1)
    else:
        return
    await asyncio.sleep(RUNS_FOR_S)
    busy[0].crash()
    await asyncio.sleep(DOWN_S)
    await busy[0].start()
    system.record.note(f"{busy[0].name}: started again")


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, run))
