"""Generates the random schedule of faults for a seed. Pure."""

from random import Random

from tests.support.faults import Fault

FIRST_FAULT_S = 0.5
MEAN_PAUSE_S = 0.6  # shorter than most faults, so that they overlap
LONGEST_FAULT_S = 3.0  # well above the 1 s after which leases lapse
SERIES_SHARE = 0.2  # share of faults that are repeated immediately on the same target
SERIES_PAUSE_S = 0.3

# With weights: faults that are frequent on the platform are drawn more often.
DAEMON_KINDS = {
    "kill daemon": 3,
    "freeze daemon": 3,
    "stop daemon": 3,
    "reload daemon": 2,
    "cut store from daemon": 2,
    "silence store to daemon": 2,
    "delay store to daemon": 1,
}
RUNNER_KINDS = {
    "kill runner": 2,
    "freeze runner": 2,
    "cut runner": 2,
    "silence runner": 2,
    "delay runner": 2,
    "lose bytes of runner": 2,
}
SHARED_KINDS = {"store is busy": 2, "store loses answers": 2, "kill all daemons": 1}


def make_schedule(seed: int, length_s: float, daemons: int, runners: int) -> list[Fault]:
    """Draws the faults of a run, ordered by their start.

    :param length_s: time by which all faults have ended.
    """
    random = Random(seed)
    kinds = DAEMON_KINDS | RUNNER_KINDS | SHARED_KINDS
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < length_s - 1:
        [kind] = random.choices(list(kinds), list(kinds.values()))
        target = random.randrange(runners if kind in RUNNER_KINDS else daemons)
        times = 3 if random.random() < SERIES_SHARE else 1
        for _ in range(times):
            end_s = min(at_s + random.uniform(0.1, LONGEST_FAULT_S / times), length_s)
            faults.append(Fault(kind, target, at_s, end_s))
            at_s = end_s + SERIES_PAUSE_S if times > 1 else at_s
        at_s += random.expovariate(1 / MEAN_PAUSE_S)
    return [fault for fault in faults if fault.begin_s < length_s]
