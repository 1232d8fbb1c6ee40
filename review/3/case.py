"""Idle runners crash and are back under other identifiers; then jobs come."""

import asyncio
import sys
from pathlib import Path

from support.deployment import Deployment
from support.play import CannotRunError, play
from support.record import Record
from support.rules import find_failed_without_cause

RUNNERS = 24
CRASHED = 3  # 0.125 of the runners
DOWN_S = 2.0
JOBS = 6
MAX_ATTEMPTS = 4
FINISH_S = 10.0
STEP = {"count": 8, "cpu": 6_000, "mem-mb": 256, "s": 0.5}


async def run(record: Record, has_trouble: bool) -> list[str]:
    """Lets runners crash that have run jobs and are idle, and hands in jobs once they are back."""
    async with Deployment(record, daemons=6, runners=RUNNERS, seed=7) as system:
        early = [system.make_job([dict(STEP)]) for _ in range(CRASHED)]
        await asyncio.gather(*(system.submit(job, system.pick_daemon()) for job in early))
        await asyncio.sleep(3.0)
        used = {run.runner for run in system.runs}
        crashed = [runner for runner in system.runners if runner.name in used][:CRASHED]
        if any(runner.running_tasks() for runner in system.runners):
            raise CannotRunError("the first jobs have not ended")
        if has_trouble:
            for runner in crashed:
                runner.crash()
        await asyncio.sleep(DOWN_S)
        if has_trouble:
            for number, runner in enumerate(crashed):
                await runner.start(f"i-{RUNNERS + number:04x}")
                record.note(f"{runner.name}: started at the address of a crashed runner")
        await asyncio.sleep(0.3)
        jobs = [system.make_job([dict(STEP)]) for _ in range(JOBS)]
        for job in jobs:
            await system.submit(job, system.pick_daemon())
            await asyncio.sleep(0.1)
        if not all(job.accepted_s for job in jobs):
            raise CannotRunError("not all jobs were accepted")
        await asyncio.sleep(FINISH_S)
        for job in jobs:
            await system.get_state(job, system.pick_daemon())
        return find_failed_without_cause(system.runs, jobs, MAX_ATTEMPTS)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, run))
