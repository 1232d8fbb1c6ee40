"""Starts the processes of a scenario and runs the arrivals through one policy at a time."""

import json
import re
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from subprocess import TimeoutExpired
from time import monotonic, sleep

from httpx import Client

from standins.cluster import Cluster, EndpointPlan
from standins.process import ManagedProcess
from tools.bench.arrivals import Arrival, write_arrivals
from tools.bench.load import START_DELAY_S
from tools.bench.scenarios import Scenario

PRODUCT = "berylproxy"
BASELINES = ("random", "round_robin")
ENDPOINT_CONNECTIONS = 64
LOAD_PROGRAM_TIMEOUT_S = 90.0
CONTROL_PEERS = "control_peers"
CONTROL_STORE = "control_store"
MESSAGE_COUNTER = re.compile(
    r'^berylproxy_(\w+)_messages_total(?:\{\w+="(\w+)"\})? (\S+)$', re.MULTILINE
)


@dataclass(frozen=True, slots=True)
class PolicyRun:
    """The results of one policy's run.

    :param rows: one result of the load program for each arrival.
    :param events: events that the endpoints logged during the run.
    :param wasted: messages that carried no useful work, by kind.
    """

    rows: list[dict]
    events: list[dict]
    wasted: Counter[str]


class BenchSystem:
    """The processes of a scenario: store, endpoints, berylproxy daemons and, in turn, baselines."""

    def __init__(self, scenario: Scenario, arrivals: list[Arrival], folder: Path) -> None:
        self._scenario = scenario
        self._folder = folder
        self._arrivals_path = folder / "arrivals.json"
        write_arrivals(self._arrivals_path, arrivals)
        plans = [
            EndpointPlan(domain, speed, scenario.slots)
            for domain in scenario.domains
            for speed in scenario.speeds
        ]
        service = {
            "run_time_s": scenario.declared_run_time_s,
            "timeout_s": scenario.timeout_s,
            "max_run_time_s": scenario.max_run_time_s,
        }
        self.cluster = Cluster(folder, list(scenario.daemon_domains), plans, service)
        self._client = Client(trust_env=False)
        self._seen_events = 0

    def __enter__(self) -> "BenchSystem":
        try:
            self.cluster.start()
            self.cluster.wait_until(
                self._has_one_configuration, "the same configuration revision on all daemons"
            )
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def _has_one_configuration(self) -> bool:
        daemons = range(len(self.cluster.daemons))
        statuses = [self.cluster.read_status(daemon) for daemon in daemons]
        return len({status["daemon"]["config_revision"] for status in statuses}) == 1

    def stop(self) -> None:
        """Ends all processes."""
        self._client.close()
        self.cluster.stop()

    def run_policy(self, policy: str) -> PolicyRun:
        """Sends all arrivals through one policy's daemons and returns the results."""
        return self._run_product() if policy == PRODUCT else self._run_baseline(policy)

    def _run_product(self) -> PolicyRun:
        daemons = range(len(self.cluster.daemons))
        urls = [self.cluster.url(daemon) for daemon in daemons]
        before = self._count_product_messages(urls)
        rows = self._run_load(PRODUCT, urls)
        messages = self._count_product_messages(urls)
        messages.subtract(before)
        return PolicyRun(rows, self._read_new_events(), messages)

    def _run_baseline(self, policy: str) -> PolicyRun:
        with ExitStack() as stack:
            daemons = [
                stack.enter_context(self._make_baseline(policy, number))
                for number in range(len(self._scenario.daemon_domains))
            ]
            urls = [daemon.url for daemon in daemons]
            rows = self._run_load(policy, urls)
            wasted: Counter[str] = Counter()
            for url in urls:
                wasted.update(self._client.get(f"{url}/counts").json())
        return PolicyRun(rows, self._read_new_events(), wasted)

    def _make_baseline(self, policy: str, number: int) -> ManagedProcess:
        endpoints = ",".join(endpoint.url for endpoint in self.cluster.endpoints)
        connections = ENDPOINT_CONNECTIONS // len(self._scenario.daemon_domains)
        arguments = ["-m", "tools.bench.baseline", "--policy", policy, "--endpoints", endpoints]
        arguments += ["--connections", str(connections), "--seed", str(number)]
        return ManagedProcess(f"{policy}{number}", arguments, self._folder)

    def _run_load(self, policy: str, urls: list[str]) -> list[dict]:
        results = self._folder / f"{policy}.json"
        arguments = ["-m", "tools.bench.load", "--urls", ",".join(urls)]
        arguments += ["--arrivals", str(self._arrivals_path), "--results", str(results)]
        with ManagedProcess(f"load-{policy}", arguments, self._folder) as load:
            try:
                self._set_faults()
                status = load.wait(LOAD_PROGRAM_TIMEOUT_S)
            except TimeoutExpired as error:
                raise RuntimeError(f"{policy}: the load program timed out") from error
            finally:
                self._undo_faults()
        if status:
            raise RuntimeError(f"{policy}: {load.stderr_path.read_text()}")
        return json.loads(results.read_text())

    def _set_faults(self) -> None:
        start_s = monotonic() + START_DELAY_S
        for fault in sorted(self._scenario.faults, key=lambda fault: fault.at_s):
            sleep(max(0.0, start_s + fault.at_s - monotonic()))
            self.cluster.control(self.cluster.endpoints[fault.endpoint], **fault.switches)

    def _undo_faults(self) -> None:
        for fault in self._scenario.faults:
            self.cluster.control(self.cluster.endpoints[fault.endpoint], **fault.undo)

    def _count_product_messages(self, urls: list[str]) -> Counter[str]:
        """Returns the wasted messages by kind, the peer control messages and the store calls."""
        counts: Counter[str] = Counter()
        for url in urls:
            for family, label, value in MESSAGE_COUNTER.findall(
                self._client.get(f"{url}/metrics").text
            ):
                if family == "wasted":
                    counts[label] += int(float(value))
                elif family == "peer":
                    counts[CONTROL_PEERS] += int(float(value))
                elif family == "slot":
                    counts[CONTROL_PEERS] -= int(float(value))
        calls = self._client.get(f"{self.cluster.store.url}/control/counts").json()["calls"]
        counts[CONTROL_STORE] = sum(calls.values())
        return counts

    def _read_new_events(self) -> list[dict]:
        events = sorted(self.cluster.read_events(), key=lambda event: event["time_s"])
        fresh = events[self._seen_events :]
        self._seen_events = len(events)
        return fresh
