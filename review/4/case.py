"""The operator adds a service whose machines are off; then callers cancel jobs and ask for them."""

import asyncio
import sys
from pathlib import Path
from time import monotonic

from support.deployment import Deployment, Job
from support.play import CannotRunError, play
from support.record import Record
from support.runner import Run

RUNNERS = 24
JOBS = 6
STEPS = 8
STEP_S = 2.0
CONFIG_S = 2.0
ACK_S = 4.0
CANCEL_S = 3.0
RETRY_S = 1.0
FINISH_S = 14.0


async def run(record: Record, has_trouble: bool) -> list[str]:
    """Hands in jobs, changes the configuration, cancels half of the jobs and asks for the rest."""
    async with Deployment(record, daemons=6, runners=RUNNERS, seed=6) as system:
        if has_trouble:
            record.note("the operator adds a service in standby")
            system.configure(8, standby=("reserve",))
        await asyncio.sleep(CONFIG_S + 1.0)
        step = {"count": 2, "cpu": 2_000, "mem-mb": 256, "s": STEP_S}
        steps = [{**step, "after": [n - 1]} if n else step for n in range(STEPS)]
        jobs = [system.make_job(steps) for _ in range(JOBS)]
        await asyncio.gather(*(system.submit(job, system.pick_daemon()) for job in jobs))
        if not all(job.accepted_s for job in jobs):
            raise CannotRunError("not all jobs were accepted")
        await asyncio.sleep(1.0)
        cancelled, kept = jobs[: JOBS // 2], jobs[JOBS // 2 :]
        cancelled_s = monotonic()
        confirmed = await asyncio.gather(*(_cancel(system, job) for job in cancelled))
        await asyncio.sleep(STEPS * STEP_S + FINISH_S - (monotonic() - cancelled_s))
        broken = [
            f"Acks: no 2xx or 410 for the cancelling of job {job.job_id} in {ACK_S} s"
            for job, is_confirmed in zip(cancelled, confirmed, strict=True)
            if not is_confirmed
        ]
        broken += _find_unasked(system.runs, cancelled, cancelled_s + ACK_S + CANCEL_S)
        for job in kept:  # for the record
            await system.get_state(job, system.pick_daemon())
        return broken


async def _cancel(system: Deployment, job: Job) -> bool:
    """Cancels a job, again and again while there is no confirmation; returns whether there was."""
    end_s = monotonic() + ACK_S
    while monotonic() < end_s:
        answer = await system.cancel(job, system.pick_daemon(), wait_ms=1500)
        if answer.status // 100 == 2 or answer.status == 410:
            return True
        await asyncio.sleep(RETRY_S)
    return False


def _find_unasked(runs: list[Run], jobs: list[Job], from_s: float) -> list[str]:
    """Returns what breaks UNASKED: starts of cancelled jobs from a moment on."""
    return [
        f"UNASKED: {run.task} run {run.number} began {run.started_s - from_s:.1f} s after "
        "ack-ms and cancel_ms"
        for run in runs
        for job in jobs
        if run.task.startswith(job.job_id + ".") and run.started_s > from_s
    ]


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, run))
