"""LOST: accepted jobs aren't known any more after their service has left the configuration."""

import signal
import subprocess
import sys
from pathlib import Path
from time import monotonic, sleep

from review.support_2.world import ZONES, NotPlayableError, World, make_id, make_job, play

OLD, NEW = "rota-desk", "rota-night"
JOBS = 6
WORK_MS = 12_000
CONFIG_S, CONTACT_S, FINISH_S = 2.0, 3.0, 14.0
GRACE_S, GAP_S = 6.0, 2.0
JOB_LIMIT_S = 60.0


def roll(world: World) -> None:
    """Stops the daemons one after the other with SIGTERM, and starts each one again."""
    for number in range(1, 4):
        daemon = world.daemons[f"front-{number}"]
        daemon.send_signal(signal.SIGTERM)
        try:
            daemon.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            daemon.kill()
        world.start_daemon(number)
        world.wait_ready("/lohu930/")
        world.note("daemon stopped and started", number=number)
        sleep(GAP_S)


def read_states(world: World, paths: list[str]) -> list[str]:
    """Asks each daemon for the state of each job."""
    states = []
    for path in paths:
        for number in range(1, 4):
            answer = world.request(number, "GET", path)
            if answer is not None and answer[0] in (200, 410):
                states.append("410" if answer[0] == 410 else answer[1]["state"])
    return states


def judge(world: World, has_trouble: bool) -> bool:
    """Sends a queue to a new service and drops the old one; stops and starts the daemons."""
    route = {"name": "r-3hwrr6x", "prefix": "/lohu930/", "target-latency-ms": 20_000}
    world.start_store()
    world.configure(1, [route], (OLD, NEW))
    for number in range(1, 5):
        service = OLD if number < 3 else NEW
        world.start_runner(f"i-{number}", ZONES[number % 3], "--service", service)
    for number in range(1, 4):
        world.start_daemon(number)
    world.wait_ready("/lohu930/")
    sleep(2.0)
    paths = []
    for number in range(JOBS):
        path = f"/lohu930/{make_id()}"
        answer = world.request(number % 3 + 1, "POST", path, make_job(1, WORK_MS, 15_000))
        if answer is not None and answer[0] == 200:
            paths.append(path)
    if not paths:
        raise NotPlayableError("no job was accepted")
    sleep(1.0)
    if has_trouble:
        world.configure(7, [route | {"service": NEW}], (NEW,))
        sleep(CONFIG_S + 1.0)
        roll(world)
    sleep(CONTACT_S + 1.0)
    states = read_states(world, paths)
    world.note("states", accepted=len(paths), states=states)
    if "410" not in states:
        end_s = monotonic() + JOB_LIMIT_S
        while monotonic() < end_s and set(states) != {"completed"}:
            sleep(1.0)
            states = read_states(world, paths)
        world.note("states at the end", states=states)
        return set(states) == {"completed"}
    sleep(FINISH_S)
    rows = [row for row in world.read_runs() if row["event"] in ("start", "end")]
    done = {row["task"] for row in rows if row.get("how") == "done"}
    last = max(row["at"] for row in rows) - world.began
    world.note("runs", tasks_done=len(done), of=len(paths), last_start_or_end_at_s=round(last, 1))
    return False


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, judge))
