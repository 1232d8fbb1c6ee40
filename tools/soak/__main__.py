"""Runs the soak test: ``python -m tools.soak --seed N``."""

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
from tools.soak.judge import count_answers, find_violations
from tools.soak.regressions import FAILED_SEEDS
from tools.soak.schedule import make_schedule
from tools.soak.world import SoakCluster

DAEMONS = 4
RUNNERS = 5
CALLERS = 10
RUN_TIME_S = 0.3
DEFAULT_LENGTH_S = 20.0
# Time after the faults within which all daemons must serve again, and all must report each accepted
# durable job as completed.
RECOVERY_TIMEOUT_S = 15.0
MAX_SHOWN_PROBLEMS = 8
FINAL_CONFIGURATION_VERSION = 99  # above the version at the start
FINAL_JOB_IDS = count(1)


def run_seed(seed: int, length_s: float, folder: Path) -> list[str]:
    """Runs the schedule of one seed and returns the violated guarantees."""
    cluster = SoakCluster(folder, DAEMONS, RUNNERS, RUN_TIME_S)
    try:
        cluster.start()
        callers = SoakCallers(seed, CALLERS, DAEMONS, cluster.url_of)
        callers.start()
        schedule = make_schedule(seed, length_s, DAEMONS, RUNNERS)
        try:
            problems = inject_faults(cluster, schedule)
            cluster.undo_all_faults()
        finally:
            callers.stop()
        problems += check_recovery(cluster)
        durable_jobs = [job for job in callers.jobs if job.is_durable and job.is_accepted]
        states = read_final_states(cluster, durable_jobs)
        problems += find_violations(
            callers.jobs, cluster.read_history(), cluster.down_spans, cluster.stop_spans, states
        )
        problems += [f"d{daemon} ended with status {s}" for daemon, s in cluster.exit_statuses if s]
        problems += find_logged_errors(cluster)
        print(f"seed {seed}: {len(schedule)} faults, {len(callers.jobs)} jobs, ", end="")
        print(
            f"{len(durable_jobs)} durable; {count_answers(callers.jobs)}; "
            f"{len(problems)} problems"
        )
        if problems:
            print("\n".join(map(str, schedule)))
        return problems
    finally:
        cluster.close()


def inject_faults(cluster: SoakCluster, schedule: list[Fault]) -> list[str]:
    """Injects the faults, each in its own thread because some take long to begin or end.

    :return: the faults that could not be injected, with the errors.
    """
    problems: list[str] = []
    started_s = monotonic()

    def inject_fault(fault: Fault) -> None:
        try:
            sleep(max(started_s + fault.begin_s - monotonic(), 0))
            cluster.begin_fault(fault)
            sleep(max(started_s + fault.end_s - monotonic(), 0))
            cluster.end_fault(fault)
        except Exception as error:  # a fault that can't be injected is reported as a problem
            problems.append(f"{fault}: {error!r}")

    threads = [Thread(target=inject_fault, args=(fault,)) for fault in schedule]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return problems


def check_recovery(cluster: SoakCluster) -> list[str]:
    """Returns the daemons that do not serve again within the recovery timeout."""
    problems = []
    cluster.configure(make_configuration(FINAL_CONFIGURATION_VERSION, [PREFIX]))
    until_s = monotonic() + RECOVERY_TIMEOUT_S
    for number in range(DAEMONS):
        answer = None
        while answer is None or (answer.status_code != 200 and monotonic() < until_s):
            try:
                answer = cluster.submit(
                    number, f"{next(FINAL_JOB_IDS):016x}", 2, **{"best-effort": True}
                )
            except HTTPError as error:
                if monotonic() > until_s:
                    problems.append(f"d{number} does not serve after the faults: {error!r}")
                    break
        if answer is not None and answer.status_code != 200:
            problems.append(f"d{number} answers {answer.status_code} after the faults")
    return problems


def read_final_states(cluster: SoakCluster, durable_jobs: list[SoakJob]) -> dict[str, set[str]]:
    """Queries all daemons for each durable job until all report it as completed.

    :return: the last states reported for each job, by its identifier.
    """
    until_s = monotonic() + RECOVERY_TIMEOUT_S
    states: dict[str, set[str]] = {}
    for job in durable_jobs:
        while states.get(job.job_id) != {"completed"}:
            states[job.job_id] = {
                read_state(cluster, number, job.job_id) for number in range(len(cluster.daemons))
            }
            if monotonic() > until_s:
                break
            sleep(0.05)
    return states


def read_state(cluster: SoakCluster, number: int, job_id: str) -> str:
    """Returns the state of a job at a daemon, or the status or error that the daemon answers."""
    try:
        answer = cluster.request(number, "GET", PREFIX + job_id)
    except HTTPError as error:
        return repr(error)
    return answer.json()["state"] if answer.status_code == 200 else str(answer.status_code)


def find_logged_errors(cluster: SoakCluster) -> list[str]:
    """Returns the errors that the daemons logged."""
    return [
        f"{daemon.name} logged {line['level']}: {line['message']}"
        for daemon in cluster.daemons
        for line in cluster.read_log(daemon)
        if line.get("level") in ("error", "critical")
    ]


def parse_arguments() -> Namespace:
    """Parses the command line."""
    parser = ArgumentParser(description="Injects random faults into the platform's daemons.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, from --seed on")
    parser.add_argument("--length-s", type=float, default=DEFAULT_LENGTH_S)
    parser.add_argument("--regressions", action="store_true", help="seeds that have failed before")
    return parser.parse_args()


def main() -> int:
    """Runs the seeds and returns the exit status: 1 if a guarantee was violated."""
    arguments = parse_arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # also ends the started processes
    failed = []
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    lengths_s = FAILED_SEEDS if arguments.regressions else dict.fromkeys(seeds, arguments.length_s)
    for seed, length_s in lengths_s.items():
        folder = Path(mkdtemp(prefix=f"berylproxy-soak-{seed}-"))
        problems = run_seed(seed, length_s, folder)
        for problem in problems[:MAX_SHOWN_PROBLEMS]:
            print(f"  {problem}")
        if problems:
            failed.append(seed)
            print(f"  logs: {folder}")
    print(f"{len(lengths_s)} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
