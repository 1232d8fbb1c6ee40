"""UNASKED: a job is accepted and runs after its cancelling was answered."""

import signal
import sys
from pathlib import Path
from time import sleep, time

from review.support_2.world import World, make_id, make_job, play

WORK_MS = 20_000
LEAVES_AFTER_S = 0.2
FROZEN_S = 2.5
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.05, 3.0


def judge(world: World, has_trouble: bool) -> bool:
    """Freezes the holder; a client submits a job, leaves, and cancels it at another daemon."""
    world.start(3, 8, [{"name": "r-3hwrr6x", "prefix": "/lohu930/"}])
    sleep(2.0)
    frozen = world.find_claimant()
    entry, other = (int(name[6:]) for name in world.daemons if name != frozen)
    path = f"/lohu930/{make_id()}"
    frozen_at = time()
    if has_trouble:
        world.daemons[frozen].send_signal(signal.SIGSTOP)
        world.note("daemon frozen", daemon=frozen)
    job = make_job(1, WORK_MS, 6800)
    submitted = world.request(entry, "POST", path, job, leaves_after_s=LEAVES_AFTER_S)
    world.note("submitted", answer=submitted)
    while True:
        cancelled = world.request(other, "DELETE", path)
        if cancelled is not None and cancelled[0] in (200, 410):
            break
        sleep(0.05)
    acknowledged_at = time()
    world.note("cancelled", answer=cancelled)
    if has_trouble:
        sleep(max(frozen_at + FROZEN_S - time(), 0))
        world.daemons[frozen].send_signal(signal.SIGCONT)
        world.note("daemon goes on", daemon=frozen)
    calm_from = max(acknowledged_at, time() + CONTACT_S)
    sleep(max(calm_from + CANCEL_S + STOP_S + 1.0 - time(), 0))
    state = world.request(other, "GET", path)
    rows = [row for row in world.read_runs() if row.get("task", "").startswith(path[9:])]
    is_running = bool(rows) and rows[-1]["event"] == "start"
    world.note(
        "at the end",
        state=state,
        since_cancelled_s=round(time() - acknowledged_at, 2),
        started=[round(r["at"] - acknowledged_at, 2) for r in rows if r["event"] == "start"],
        is_running=is_running,
    )
    return not is_running


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, judge))
