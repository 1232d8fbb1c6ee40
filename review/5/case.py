"""Answers to writes are lost and the writes carried out late; later the leader is killed."""

import asyncio
import random
import sys
from pathlib import Path

from support.deployment import Deployment, Job
from support.play import CannotRunError, play
from support.record import Record
from support.rules import find_twice
from support.store import Lost

RUNNERS = 24
JOBS = 40
LOST_SHARE = 0.35
LATE_S = (1.0, 6.0)
LOST_FOR_S = 4.5
FINISH_S = 20.0


async def run(record: Record, has_trouble: bool) -> list[str]:
    """Hands in jobs of two steps while answers are lost, and kills the leader later."""
    async with Deployment(record, daemons=6, runners=RUNNERS, seed=4) as system:
        steps = [
            {"count": 4, "cpu": 2_000, "mem-mb": 256, "s": 0.8},
            {"count": 4, "cpu": 2_000, "mem-mb": 256, "s": 14.0, "after": [0]},
        ]
        jobs = [system.make_job([dict(step) for step in steps]) for _ in range(JOBS)]
        if has_trouble:
            record.note("answers of the store are lost")
            system.store.lost = Lost(LOST_SHARE, LATE_S, random.Random(4))
        callers = asyncio.gather(*(_hand_in(system, job) for job in jobs))
        await asyncio.sleep(LOST_FOR_S)
        lost, system.store.lost = system.store.lost, None
        if lost is not None:
            record.note(f"no more answers are lost: {lost.unanswered} of {lost.writes} were")
        await callers
        if not any(job.accepted_s for job in jobs):
            raise CannotRunError("no job was accepted")
        await asyncio.sleep(LATE_S[1])
        if has_trouble:
            system.spawn(system.kill_and_restart(system.find_leader()))
        await asyncio.sleep(FINISH_S)
        for job in jobs:
            await system.get_state(job, system.pick_daemon())
        return find_twice(system.runs, jobs)


async def _hand_in(system: Deployment, job: Job) -> None:
    """Hands a job in at some moment of the first half of the disruption."""
    await asyncio.sleep(system.random.uniform(0, LOST_FOR_S / 2))
    await system.submit(job, system.pick_daemon())


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, run))
