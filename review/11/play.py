"""The daemon that gave the last orders is killed, three times, after runners were added."""

import asyncio
import sys
from pathlib import Path

from review.support_3.rules import find_doubles
from review.support_3.runner import Runner, TaskPlan
from review.support_3.world import CannotRunError, SentJob, World, run_case

RUNNERS = 48  # the site file's, of which the bench plays half
ADDED = 8  # a rack
IN_A_RACK = 8
NEW_RACK = f"r1-{RUNNERS // IN_A_RACK}"
JOBS = 8
WORK_S = 0.9
SETTLED_S = 12.0  # from the addition to the jobs
ORDERED_S = 0.01  # from the first start at an added runner to the kill
DOWN_S = 1.0
ROUNDS = 3
ROUND_S = 8.0  # until all jobs of a round are completed


async def play(world: World, has_trouble: bool) -> list[str]:
    """Plays the case; returns what broke the rule."""
    for number in range(RUNNERS):
        add_runner(world, number, f"r1-{number // IN_A_RACK}")
    await world.start(6)
    await asyncio.sleep(2.0)
    world.note(f"{ADDED} empty runners are added")
    added = [add_runner(world, RUNNERS + number, NEW_RACK) for number in range(ADDED)]
    for runner in added:
        await runner.start()
    await asyncio.sleep(SETTLED_S)
    jobs: list[SentJob] = []
    for _ in range(ROUNDS):
        jobs += await play_round(world, added, has_trouble)
    for job in jobs:
        await world.repeat(job, "GET", 3.0)
    return find_doubles(world, jobs)


async def play_round(world: World, added: list[Runner], has_trouble: bool) -> list[SentJob]:
    """Sends jobs, and kills the daemon that has just started tasks at added runners."""
    step = {
        "count": 2,
        "cpu": 13_000,
        "mem-mb": 64,
        "estimate-ms": int(1000 * WORK_S),
        "affinity": NEW_RACK,
    }
    jobs = [world.make_job([step], [TaskPlan(WORK_S)]) for _ in range(JOBS)]
    submissions = [asyncio.create_task(world.submit(job)) for job in jobs]
    runner = await wait_for_run(added)
    if has_trouble:
        await asyncio.sleep(ORDERED_S)
        daemon = world.holder_under(runner.fence)
        world.note(f"{daemon.name} is killed")
        daemon.kill()
        await asyncio.sleep(DOWN_S)
        await world.start_daemon(daemon)
    await asyncio.gather(*submissions)
    await asyncio.sleep(ROUND_S)
    return jobs


def add_runner(world: World, number: int, rack: str) -> Runner:
    """Adds a runner of a rack."""
    name = f"s{number:02d}x{world.random.getrandbits(24):06x}"
    return world.add_runner(name, ["b" if number % 3 == 2 else "a", rack], (64_000, 131_072, 0))


async def wait_for_run(runners: list[Runner]) -> Runner:
    """Waits until one of some runners has a run, and returns it."""
    for _ in range(1000):
        for runner in runners:
            if runner.runs:
                return runner
        await asyncio.sleep(0.002)
    raise CannotRunError("no task was started at an added runner")


sys.exit(run_case(play, Path(__file__).parent))
