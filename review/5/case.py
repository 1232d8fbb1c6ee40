"""The operator sends a queue to another service; then requests for jobs at work arrive again."""

import asyncio
import sys
from pathlib import Path

from support.deployment import SERVICES, Deployment
from support.play import CannotRunError, play
from support.record import Record
from support.rules import find_twice

RUNNERS = 24  # of two services
JOBS = 6
TASK_S = 12.0
CONFIG_S = 2.0
FINISH_S = 16.0


async def run(record: Record, has_trouble: bool) -> list[str]:
    """Hands in jobs, changes the configuration, and hands the same jobs in again."""
    async with Deployment(record, daemons=6, runners=RUNNERS, seed=5, services=2) as system:
        step = {"count": 4, "cpu": 2_000, "mem-mb": 256, "s": TASK_S}
        jobs = [system.make_job([dict(step)]) for _ in range(JOBS)]
        await asyncio.gather(*(system.submit(job, system.pick_daemon()) for job in jobs))
        if not all(job.accepted_s for job in jobs):
            raise CannotRunError("not all jobs were accepted")
        await asyncio.sleep(1.0)
        if has_trouble:
            record.note(f"the operator sends the queue to {SERVICES[1]}")
            system.configure(8, name="r-rota-2", service=SERVICES[1])
        await asyncio.sleep(CONFIG_S + 1.0)
        for job in jobs:
            await system.submit(job, system.pick_daemon())
        await asyncio.sleep(FINISH_S)
        for job in jobs:
            await system.get_state(job, system.pick_daemon())
        return find_twice(system.runs, jobs)


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, run))
