"""Generates seeded arrivals of requests and jobs, identical for every policy."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

SHORTEST_RUN_TIME_S = 0.05  # on the fastest endpoint
MEAN_EXTRA_RUN_TIME_S = 0.1
LONGEST_RUN_TIME_S = 1.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request or job.

    :param at_s: time since the start of the run.
    :param daemon: number of the daemon that the arrival is sent to.
    :param work_s: run time of each task at speed 1; one task is sent as a single request.
    """

    at_s: float
    daemon: int
    work_s: tuple[float, ...]


def draw_run_time_s(random: Random) -> float:
    """Draws a run time on the fastest endpoint: 50 ms plus an exponential part, at most 1 s."""
    extra_s = random.expovariate(1 / MEAN_EXTRA_RUN_TIME_S)
    return min(SHORTEST_RUN_TIME_S + extra_s, LONGEST_RUN_TIME_S)


def compute_mean_run_time_s() -> float:
    """Returns the mean of :func:`draw_run_time_s`, ignoring its upper limit."""
    return SHORTEST_RUN_TIME_S + MEAN_EXTRA_RUN_TIME_S


def draw_arrivals(
    seed: int,
    *,
    tasks_per_s: float,
    duration_s: float,
    daemon_weights: tuple[float, ...],
    fastest_speed: float,
    tasks_per_job: int = 1,
) -> list[Arrival]:
    """Draws Poisson arrivals at randomly chosen daemons."""
    random = Random(seed)
    daemons = range(len(daemon_weights))
    arrivals = []
    at_s = 0.0
    while True:
        at_s += random.expovariate(tasks_per_s / tasks_per_job)
        if at_s >= duration_s:
            return arrivals
        daemon = random.choices(daemons, daemon_weights)[0]
        work_s = tuple(draw_run_time_s(random) * fastest_speed for _ in range(tasks_per_job))
        arrivals.append(Arrival(at_s, daemon, work_s))


def write_arrivals(path: Path, arrivals: list[Arrival]) -> None:
    """Writes arrivals for the load program."""
    path.write_text(json.dumps([asdict(arrival) for arrival in arrivals]))


def read_arrivals(path: Path) -> list[Arrival]:
    """Reads arrivals written by :func:`write_arrivals`."""
    rows = json.loads(path.read_text())
    return [Arrival(row["at_s"], row["daemon"], tuple(row["work_s"])) for row in rows]
