"""Runs ``python -m tools.soak --seed N``."""

import os
import signal
import sys
from argparse import ArgumentParser, Namespace
from itertools import count
from pathlib import Path
from tempfile import mkdtemp
from threading import Thread
from time import monotonic, sleep

from httpx import HTTPError

from tests.support.faults import Fault
from tests.support.platform_cluster import PREFIX, make_configuration
from tools.soak.callers import SoakCallers, SoakJob
from tools.soak.judge import count_answers, judge
from tools.soak.regressions import FAILED_SEEDS
from tools.soak.schedule import make_schedule
from tools.soak.world import SoakWorld

DAEMONS = 4
RUNNERS = 5
CALLERS = 10
RUN_TIME_S = 0.3
DEFAULT_LENGTH_S = 20.0
HEALED_WITHIN_S = 15.0  # all daemons serve, and each accepted kept job has ended everywhere
SHOWN_PROBLEMS = 8
FIRST_SUBNET, SUBNETS = 2, 250  # of 127.0.x.0, so that soaks can run side by side
LAST_VERSION = 99  # of the configuration, above that of the start
FINAL_IDS = count(1)


def play(seed: int, length_s: float, folder: Path) -> list[str]:
    """Plays one seed and returns what was not kept."""
    subnet = FIRST_SUBNET + os.getpid() % SUBNETS
    world = SoakWorld(folder, DAEMONS, RUNNERS, RUN_TIME_S, subnet=subnet)
    try:
        world.start()
        callers = SoakCallers(seed, CALLERS, DAEMONS, world.url_of)
        callers.start()
        schedule = make_schedule(seed, length_s, DAEMONS, RUNNERS)
        try:
            problems = bring_about(world, schedule)
            world.heal()
        finally:
            callers.stop()
        problems += check_healed(world)
        kept = [job for job in callers.jobs if job.is_kept and job.is_accepted]
        states = read_final_states(world, kept)
        problems += judge(callers.jobs, world.read_history(), world.down, world.stopped, states)
        problems += [f"d{who} ended with status {s}" for who, s in world.statuses if s]
        problems += find_crashes(world)
        print(f"seed {seed}: {len(schedule)} faults, {len(callers.jobs)} jobs, ", end="")
        print(f"{len(kept)} kept; {count_answers(callers.jobs)}; {len(problems)} problems")
        if problems:
            print("\n".join(map(str, schedule)))
        return problems
    finally:
        world.close()


def bring_about(world: SoakWorld, schedule: list[Fault]) -> list[str]:
    """Plays the faults, each in a thread of its own as some take their time."""
    problems: list[str] = []
    started_s = monotonic()

    def play_one(fault: Fault) -> None:
        try:
            sleep(max(started_s + fault.begin_s - monotonic(), 0))
            world.begin(fault)
            sleep(max(started_s + fault.end_s - monotonic(), 0))
            world.end(fault)
        except Exception as error:  # a fault that can't be played is a finding of its own
            problems.append(f"{fault}: {error!r}")

    threads = [Thread(target=play_one, args=(fault,)) for fault in schedule]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return problems


def check_healed(world: SoakWorld) -> list[str]:
    """Every daemon serves again."""
    problems = []
    world.configure(make_configuration(LAST_VERSION, [PREFIX]))
    until_s = monotonic() + HEALED_WITHIN_S
    for number in range(DAEMONS):
        answer = None
        while answer is None or (answer.status_code != 200 and monotonic() < until_s):
            try:
                answer = world.submit(number, f"{next(FINAL_IDS):016x}", 2, **{"best-effort": True})
            except HTTPError as error:
                if monotonic() > until_s:
                    problems.append(f"d{number} does not serve after the faults: {error!r}")
                    break
        if answer is not None and answer.status_code != 200:
            problems.append(f"d{number} answers {answer.status_code} after the faults")
    return problems


def read_final_states(world: SoakWorld, kept: list[SoakJob]) -> dict[str, set[str]]:
    """Asks every daemon for each kept job until it has ended."""
    until_s = monotonic() + HEALED_WITHIN_S
    states: dict[str, set[str]] = {}
    for job in kept:
        while states.get(job.job_id) != {"completed"}:
            states[job.job_id] = {
                read_state(world, number, job.job_id) for number in range(DAEMONS)
            }
            if monotonic() > until_s:
                break
            sleep(0.05)
    return states


def read_state(world: SoakWorld, number: int, job_id: str) -> str:
    """Asks a daemon for a job."""
    try:
        answer = world.request(number, "GET", PREFIX + job_id)
    except HTTPError as error:
        return repr(error)
    return answer.json()["state"] if answer.status_code == 200 else str(answer.status_code)


def find_crashes(world: SoakWorld) -> list[str]:
    """Finds daemons that ended by a fault of their own."""
    return [
        f"{daemon.name} logged {line['level']}: {line['message']}"
        for daemon in world.daemons
        for line in world.read_log(daemon)
        if line.get("level") in ("error", "critical")
    ]


def parse_arguments() -> Namespace:
    """Parses the command line."""
    parser = ArgumentParser(description="Plays random faults on the platform's daemons.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many, from --seed on")
    parser.add_argument("--length-s", type=float, default=DEFAULT_LENGTH_S)
    parser.add_argument("--regressions", action="store_true", help="seeds that have failed once")
    return parser.parse_args()


def main() -> int:
    """Plays the seeds; 1 if something was not kept."""
    arguments = parse_arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # ends what was started, too
    failed = []
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    lengths_s = FAILED_SEEDS if arguments.regressions else dict.fromkeys(seeds, arguments.length_s)
    for seed, length_s in lengths_s.items():
        folder = Path(mkdtemp(prefix=f"berylproxy-soak-{seed}-"))
        problems = play(seed, length_s, folder)
        for problem in problems[:SHOWN_PROBLEMS]:
            print(f"  {problem}")
        if problems:
            failed.append(seed)
            print(f"  logs: {folder}")
    print(f"{len(lengths_s)} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
