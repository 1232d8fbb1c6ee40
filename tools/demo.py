"""Runs a job of 310 tasks through three daemons and eight endpoints, each in its own process.

All processes listen on the loopback interface, on ports chosen by the kernel, and are stopped at
the end.
"""

import json
import os
import subprocess
import sys
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Any

from berylproxy.exit_status import ExitStatus
from standins.process import ManagedProcess, ProcessStartError

ROOT = Path(__file__).resolve().parent.parent
TASK_COUNT = 310
RUN_TIME_S = "0.05:1"
SEED = 1
FAILURE_DOMAINS = ("domain-a", "domain-b")
DAEMON_DOMAINS = ("domain-a", "domain-a", "domain-b")
ENDPOINT_SPEEDS = (1.0, 2.0, 3.0, 4.0)  # of each failure domain
SLOTS = 8
CONNECTIONS = 64
POOL = "runners"
SERVICE = "enquiry"
CONVERGENCE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
COMMAND_TIMEOUT_S = 90.0
JOB_TIMEOUT_S = 60.0


class DemoError(Exception):
    """A step of the demonstration failed."""


@dataclass(frozen=True, slots=True)
class EndpointPlan:
    """An endpoint to start."""

    name: str
    failure_domain: str
    speed: float


class Demo:
    """The demonstration: starts the processes, applies the records and submits a job.

    :param start: starts ``python`` under a name, with arguments and environment variables, and
        returns the JSON object that it announces.
    """

    def __init__(self, start: Callable[[str, list[str], dict[str, str]], dict[str, Any]]) -> None:
        self._start = start
        self.urls: list[str] = []

    def run(self, folder: Path) -> None:
        """Starts all processes, applies the records and submits the job.

        :raises DemoError: if any step fails.
        """
        store = self._start("store", ["-m", "standins.store"], {})
        plans = plan_endpoints()
        ports = [self._start_endpoint(plan) for plan in plans]
        self._start_daemons(f"http://127.0.0.1:{store['port']}")
        print(f"demo: {len(self.urls)} daemons and {len(plans)} endpoints started")
        records = folder / "records.json"
        records.write_text(json.dumps(make_records(plans, ports), indent=2))
        self.call_berylctl("apply", str(records))
        self._wait_until_converged(len(plans))
        self._submit()

    def call_berylctl(self, *arguments: str) -> str:
        """Runs berylctl and returns its output.

        :raises DemoError: if it fails, with the last line of its error output.
        """
        command = [sys.executable, "-m", "berylproxy.cli", *arguments, "--output", "json"]
        environment = {"BERYLPROXY_URL": ",".join(self.urls)}
        done = subprocess.run(
            command,
            cwd=ROOT,
            env=os.environ | environment,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            check=False,
            timeout=COMMAND_TIMEOUT_S,
        )
        if done.returncode != ExitStatus.SUCCESS:
            lines = done.stderr.strip().splitlines() or [f"exit status {done.returncode}"]
            raise DemoError(lines[-1])
        return done.stdout

    def _start_endpoint(self, plan: EndpointPlan) -> int:
        arguments = ["-m", "standins.endpoint", "--name", plan.name]
        arguments += ["--speed", f"{plan.speed:g}", "--slots", str(SLOTS)]
        arguments += ["--connections", str(CONNECTIONS)]
        return self._start(plan.name, arguments, {})["port"]

    def _start_daemons(self, store_url: str) -> None:
        peers: list[str] = []
        for number, failure_domain in enumerate(DAEMON_DOMAINS):
            environment = {
                "BERYLPROXY_DAEMON_ID": f"daemon-{number}",
                "BERYLPROXY_FAILURE_DOMAIN": failure_domain,
                "BERYLPROXY_HTTP_ADDRESS": "127.0.0.1:0",
                "BERYLPROXY_PEER_ADDRESS": "127.0.0.1:0",
                "BERYLPROXY_PEERS": ",".join(peers),
                "BERYLPROXY_STORE_URLS": store_url,
            }
            announced = self._start(f"daemon-{number}", ["-m", "berylproxy.daemon"], environment)
            peers.append(announced["peer_address"])
            self.urls.append(f"http://{announced['http_address']}")

    def _wait_until_converged(self, endpoint_count: int) -> None:
        """Waits until every daemon sees all its peers and has applied the records."""
        end_s = monotonic() + CONVERGENCE_TIMEOUT_S
        for url in self.urls:
            while not self._has_converged(url, endpoint_count):
                if monotonic() >= end_s:
                    raise DemoError(f"{url} has not converged within {CONVERGENCE_TIMEOUT_S:g} s")
                sleep(POLL_INTERVAL_S)

    def _has_converged(self, url: str, endpoint_count: int) -> bool:
        status = json.loads(self.call_berylctl("daemon", "status", "--url", url))
        alive = [peer for peer in status["peers"] if peer["status"] == "alive"]
        has_endpoints = len(status["endpoints"]) == endpoint_count
        return status["daemon"]["ready"] and has_endpoints and len(alive) == len(self.urls) - 1

    def _submit(self) -> None:
        started_s = monotonic()
        arguments = ["--service", SERVICE, "--count", str(TASK_COUNT), "--seed", str(SEED)]
        arguments += ["--run-time-s", RUN_TIME_S, "--timeout-s", f"{JOB_TIMEOUT_S:g}"]
        job = json.loads(self.call_berylctl("submit", *arguments))
        elapsed_s = monotonic() - started_s
        answered = len({result["id"] for result in job["results"]})
        tasks_by_endpoint = Counter(result["payload"]["endpoint"] for result in job["results"])
        print(f"demo: job {job['id']}: {job['outcome']} after {elapsed_s:.1f} s")
        for name, count in sorted(tasks_by_endpoint.items()):
            print(f"demo: {name}: {count} tasks")
        if answered != TASK_COUNT:
            raise DemoError(f"{answered}/{TASK_COUNT} tasks answered")


def plan_endpoints() -> list[EndpointPlan]:
    """Returns the endpoints to start: one of each speed in each failure domain."""
    return [
        EndpointPlan(f"{domain}-speed-{speed:g}", domain, speed)
        for domain in FAILURE_DOMAINS
        for speed in ENDPOINT_SPEEDS
    ]


def make_records(plans: list[EndpointPlan], ports: list[int]) -> list[dict[str, Any]]:
    """Builds the records, ordered so that each refers only to earlier ones."""
    service = {
        "schema_version": 1,
        "pools": [POOL],
        "timeout_s": JOB_TIMEOUT_S,
        "run_time_s": 0.5,
        "max_run_time_s": 10.0,
        "max_body_bytes": 100_000,
    }
    return [
        {"kind": "pools", "name": POOL, "record": {"schema_version": 1}},
        {"kind": "services", "name": SERVICE, "record": service},
        *(make_endpoint_record(plan, port) for plan, port in zip(plans, ports, strict=True)),
    ]


def make_endpoint_record(plan: EndpointPlan, port: int) -> dict[str, Any]:
    """Builds the record of one endpoint."""
    record = {
        "schema_version": 2,
        "pool": POOL,
        "url": f"http://127.0.0.1:{port}",
        "takes": {
            "slots": SLOTS,
            "connections": CONNECTIONS,
            "memory_mb": 1024,
            "accelerators": 0,
        },
        "owner": "owner-a",
        "cost_bearer": "owner-a",
        "failure_domain": plan.failure_domain,
    }
    return {"kind": "endpoints", "name": plan.name, "record": record}


def main() -> int:
    """Runs the demonstration and returns the exit status."""
    with TemporaryDirectory(prefix="berylproxy-demo-") as name, ExitStack() as stack:
        folder = Path(name)

        def start(name: str, arguments: list[str], environment: dict[str, str]) -> dict[str, Any]:
            process = ManagedProcess(name, arguments, folder, environment=environment)
            return stack.enter_context(process).announced

        try:
            Demo(start).run(folder)
        except (DemoError, ProcessStartError, subprocess.TimeoutExpired) as error:
            print(f"demo: failed: {' '.join(str(error).split())}", file=sys.stderr)
            return 1
        except KeyboardInterrupt:
            print("demo: failed: interrupted", file=sys.stderr)
            return 1
    print(f"demo: {TASK_COUNT}/{TASK_COUNT} tasks answered")
    return 0


if __name__ == "__main__":
    sys.exit(main())
