"""Measures the processor time of the platform's daemons by part, on real processes.

Usage: python -m tools.daemon_cost [--daemons N] [--runners N] [--jobs-per-s R] [--seconds S]

Starts stand-ins and daemons on loopback addresses and submits jobs to each daemon in turn. Prints
the processor time by part, in % of a core, of the daemon that holds the group and in the mean of
the others, and the time that a start takes.
"""

import json
from argparse import ArgumentParser
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic

import anyio
from httpx import AsyncClient, HTTPError, Limits

from berylproxy.platform.settings import SETTINGS_VARIABLE
from standins.process import ManagedProcess
from tests.support.platform_cluster import HOST, PREFIX, SERVICE, LoggedDaemon, PlatformCluster
from tools.daemon_cost.sampler import START_UP

RUNNER_CORES = 16
RUN_TIME_S = 0.2
# Tasks of each job in turn, of 8 cores each.
TASKS_OF_JOBS = (2, 2, 8, 2, 2, 4, 2, 2, 8, 2)
TASK_MILLICORES = 8000
PROBE_INTERVAL_S = 1.0


@dataclass
class SampledCluster(PlatformCluster):
    """A platform whose daemons run under the sampler."""

    def start_named_runner(self, name: str, *extra_options: str) -> ManagedProcess:
        """Starts a runner of a fixed size."""
        return super().start_named_runner(name, "--cores", str(RUNNER_CORES), *extra_options)

    def start_daemon(self, number: int) -> ManagedProcess:
        """Starts a daemon under the sampler."""
        self.write_settings(number)
        environment = {SETTINGS_VARIABLE: str(self.settings_path(number))}
        arguments = ["-m", "tools.daemon_cost.sampled_daemon", str(self.report_path(number))]
        daemon = LoggedDaemon(f"d{number}", arguments, self.folder, environment=environment)
        return self.stack.enter_context(daemon)

    def report_path(self, number: int) -> Path:
        """Returns the path of a daemon's report."""
        return self.folder / f"d{number}.json"


class Load:
    """Submits jobs at a fixed rate and probes the daemons as the load balancer does."""

    def __init__(self, cluster: SampledCluster, jobs_per_s: float, seconds: float) -> None:
        self._cluster = cluster
        self._interval_s = 1 / jobs_per_s
        self._seconds = seconds
        self.statuses: Counter[str] = Counter()
        self.tasks = 0

    async def run(self) -> None:
        """Submits jobs until the time is over and waits for their answers."""
        limits = Limits(max_connections=None, max_keepalive_connections=None)
        async with (
            AsyncClient(trust_env=False, timeout=5.0, limits=limits) as client,
            anyio.create_task_group() as task_group,
        ):
            started_s, count, probes = monotonic(), 0, 0
            while monotonic() - started_s < self._seconds:
                task_group.start_soon(self._submit, client, count)
                if monotonic() - started_s >= probes * PROBE_INTERVAL_S:
                    probes += 1
                    for number in range(self._cluster.daemon_count):
                        task_group.start_soon(self._probe, client, number)
                count += 1
                await anyio.sleep(max(started_s + count * self._interval_s - monotonic(), 0.0))

    async def _submit(self, client: AsyncClient, number: int) -> None:
        tasks = TASKS_OF_JOBS[number % len(TASKS_OF_JOBS)]
        step = {"count": tasks, "cpu": TASK_MILLICORES, "mem-mb": 64, "estimate-ms": 200}
        body = {"spec": "payload", "steps": [step], "best-effort": True}
        url = self._cluster.url_of(number % self._cluster.daemon_count)
        try:
            response = await client.post(
                f"{url}{PREFIX}{number:016x}", json=body, headers={"Host": HOST}
            )
        except HTTPError as error:
            self.statuses[type(error).__name__] += 1
            return
        self.statuses[str(response.status_code)] += 1
        self.tasks += tasks if response.status_code == 200 else 0

    async def _probe(self, client: AsyncClient, number: int) -> None:
        host, port = self._cluster.host(number), self._cluster.ports[number][3]
        try:
            await client.get(f"http://{host}:{port}/-/ready", headers={"Connection": "close"})
        except HTTPError:
            self.statuses["probe unanswered"] += 1


def print_parts(holder: dict, others: list[dict]) -> None:
    """Prints the processor time by part of the holder and of the others in the mean."""
    parts = sorted(set(holder["parts"]).union(*(other["parts"] for other in others)))
    rows = []
    for part in parts:
        of_holder = holder["parts"].get(part, 0.0)
        of_others = sum(other["parts"].get(part, 0.0) for other in others) / len(others)
        if part == START_UP:
            print(f"{START_UP}: {of_holder:.2f} s, {of_others:.2f} s in the mean of the others")
            continue
        rows.append((100 * of_holder / holder["ran_s"], 100 * of_others / holder["ran_s"], part))
    print("| part | holder, % of a core | another daemon, % of a core |\n| --- | --- | --- |")
    for of_holder, of_others, part in sorted(rows, reverse=True):
        print(f"| {part} | {of_holder:.2f} | {of_others:.2f} |")
    sums = [sum(column) for column in list(zip(*rows, strict=True))[:2]]
    print(f"| sum | {sums[0]:.2f} | {sums[1]:.2f} |")


def main() -> None:
    """Runs the measurement with the arguments of the command line."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=6)
    parser.add_argument("--runners", type=int, default=16)
    parser.add_argument("--jobs-per-s", type=float, default=25.0)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--functions", action="store_true", help="also list samples by function")
    arguments = parser.parse_args()
    with TemporaryDirectory() as folder:
        cluster = SampledCluster(Path(folder), arguments.daemons, arguments.runners, RUN_TIME_S)
        try:
            cluster.start()
            load = Load(cluster, arguments.jobs_per_s, arguments.seconds)
            anyio.run(load.run)
            holder = cluster.find_holder()
            for daemon in cluster.daemons:
                daemon.send_signal(15)
            for daemon in cluster.daemons:
                daemon.wait(30.0)
            paths = [cluster.report_path(number) for number in range(arguments.daemons)]
            reports = [json.loads(path.read_text()) for path in paths]
        finally:
            cluster.close()
    print(f"answers: {dict(load.statuses)}; tasks completed: {load.tasks}; service {SERVICE}")
    others = [report for number, report in enumerate(reports) if number != holder]
    print_parts(reports[holder], others)
    if arguments.functions:
        for title, report in (("holder", reports[holder]), ("another daemon", others[0])):
            print(f"samples by function, {title}:")
            for function, count in report["functions"]:
                print(f"  {count:6} {function}")


if __name__ == "__main__":
    main()
