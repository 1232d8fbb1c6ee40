"""Runs a random schedule of faults against real processes and checks the recorded history."""

import sys
from argparse import ArgumentParser
from collections import Counter
from pathlib import Path
from tempfile import mkdtemp

from tests.support.cluster import EndpointPlan
from tests.support.fault_schedule import make_schedule, run_schedule
from tests.support.history import History, SubmittedJob, check_history
from tests.support.proving_cluster import ProvingCluster
from tests.support.random_load import RandomLoad
from tests.support.recording_caller import RecordingCaller

DOMAINS = ["a", "b", "c"]
SLOTS = 4
LENGTH_S = 45.0
FAULT_COUNT = 14
CALLER_COUNT = 8
CALL_TIMEOUT_S = 12.0
FINAL_TASKS = 12
RECOVERY_CONDITION = "after the faults every daemon serves and every slot is free again"
CONFIGURATION_CONDITION = "an accepted configuration is in force everywhere and never reverts"
MAX_SHOWN_VIOLATIONS = 5


def make_cluster(folder: Path) -> ProvingCluster:
    """Creates the cluster under test."""
    plans = [EndpointPlan(domain, slots=SLOTS) for domain in DOMAINS]
    return ProvingCluster(folder, DOMAINS, plans, service={"max_run_time_s": 4.0})


def check_recovery(cluster: ProvingCluster, caller: RecordingCaller) -> list[str]:
    """Submits a job to each daemon after the faults and checks that all slots become free."""
    violations = []
    for number in range(len(cluster.daemons)):
        payloads = {f"t{task}": {"run_time_s": 0.1} for task in range(FINAL_TASKS)}
        job = SubmittedJob(caller.mint(number), f"final-{number}", payloads)
        answer = caller.submit(caller.note_job(job), number)
        if getattr(answer, "outcome", "") != "done":
            violations.append(f"final job at d{number}: {answer}")
    try:
        cluster.wait_until(lambda: not count_used_slots(cluster), "all slots are free")
    except AssertionError:
        violations.append(f"{count_used_slots(cluster)} slots stay in use")
    return violations


def count_used_slots(cluster: ProvingCluster) -> int:
    """Counts the slots that the holders report as in use."""
    return sum(
        endpoint["in_use"] or 0
        for number in range(len(cluster.daemons))
        for endpoint in cluster.read_status(number)["endpoints"]
    )


class ConfigurationRace:
    """Operators at all daemons that concurrently change one record at the same revision."""

    def __init__(self, cluster: ProvingCluster, caller: RecordingCaller) -> None:
        self._cluster = cluster
        self._caller = caller
        self._accepted: list[tuple[int, float]] = []
        self._violations: list[str] = []

    def run(self, rounds: int) -> None:
        """Runs rounds in which one operator per daemon tries to change the record."""
        for number in range(rounds):
            self._race(number)

    def _race(self, number: int) -> None:
        url = f"{self._cluster.url(0)}/v1/records/services/enquiry"
        read = self._cluster.client.get(url)
        writers = [
            self._caller.start_in_background(self._write, daemon, read, 0.1 + number + daemon / 10)
            for daemon in range(len(self._cluster.daemons))
        ]
        accepted = [result for result in (writer.result() for writer in writers) if result]
        if len(accepted) > 1:
            self._violations.append(f"{len(accepted)} concurrent changes were accepted: {accepted}")
        self._accepted += accepted

    def _write(self, daemon: int, read, run_time_s: float) -> tuple[int, float] | None:
        url = f"{self._cluster.url(daemon)}/v1/records/services/enquiry"
        record = read.json()["record"] | {"run_time_s": run_time_s}
        headers = {"If-Match": read.headers["ETag"]}
        response = self._cluster.client.put(url, json=record, headers=headers)
        return (response.json()["revision"], run_time_s) if response.status_code == 200 else None

    def check(self) -> list[str]:
        """Waits until all daemons have the last accepted record and returns all violations."""
        revision, run_time_s = max(self._accepted)
        for number in range(len(self._cluster.daemons)):
            try:
                self._cluster.wait_until(
                    lambda number=number: self._read(number) == (revision, run_time_s),
                    f"d{number}",
                    10.0,
                )
            except AssertionError:
                self._violations.append(
                    f"d{number} has {self._read(number)}, not {(revision, run_time_s)}"
                )
        return self._violations

    def _read(self, daemon: int) -> tuple[int, float]:
        url = f"{self._cluster.url(daemon)}/v1/records/services/enquiry"
        content = self._cluster.client.get(url).json()
        return content["revision"], content["record"]["run_time_s"]


def run_seed(seed: int, folder: Path) -> dict[str, list[str]]:
    """Runs the schedule of a seed and returns the violations by condition."""
    cluster = make_cluster(folder)
    history = History()
    schedule = make_schedule(seed, LENGTH_S, FAULT_COUNT, len(DOMAINS))
    for fault in schedule:
        print(fault)
    try:
        cluster.start()
        caller = RecordingCaller(cluster, history, CALL_TIMEOUT_S)
        race = ConfigurationRace(cluster, caller)
        race.run(rounds=3)
        load = RandomLoad(caller, CALLER_COUNT, seed)
        load.start()
        run_schedule(cluster, schedule, LENGTH_S)
        load.stop()
        cluster.undo_failures()
        race.run(rounds=1)
        violations = {RECOVERY_CONDITION: check_recovery(cluster, caller)}
        violations[CONFIGURATION_CONDITION] = race.check()
        cluster.collect_events(history)
        caller.close()
    finally:
        cluster.stop()
    outcomes = Counter(answer.outcome or "running" for answer in history.answers)
    print(
        f"jobs {len(history.jobs)}, answers {dict(outcomes)}, lost {len(history.unanswered_calls)}"
    )
    return check_history(history) | violations


def main(arguments: list[str]) -> int:
    """Runs one seed and returns the exit status."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    seed = parser.parse_args(arguments).seed
    folder = Path(mkdtemp(prefix=f"berylproxy-prove-{seed}-"))
    print(f"seed {seed}, logs in {folder}")
    violations = run_seed(seed, folder)
    broken = {condition: lines for condition, lines in violations.items() if lines}
    for condition, lines in broken.items():
        print(f"broken: {condition} ({len(lines)})")
        for line in lines[:MAX_SHOWN_VIOLATIONS]:
            print(f"  {line}")
    print(
        f"prove: seed {seed}: {len(violations) - len(broken)} conditions held, {len(broken)} broken"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
