"""Runs the platform's store, endpoints and daemons as processes on one machine."""

import json
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic, sleep

from httpx import Client, HTTPError, Response

from standins.process import ManagedProcess

POOL = "pool"
SERVICE = "enquiry"
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
REQUEST_TIMEOUT_S = 60.0
MAX_STARTS_AT_ONCE = 8


@dataclass(frozen=True)
class EndpointPlan:
    """An endpoint to start.

    :param speed: factor by which tasks run faster than their bodies request.
    """

    failure_domain: str
    speed: float = 1.0
    slots: int = 8


@dataclass
class Cluster:
    """Starts the processes, writes the records and ends the processes that it started.

    :param daemon_domains: the failure domain of each daemon.
    :param service: fields of the service's record that replace the defaults.
    :param environment: environment variables added for all daemons.
    """

    folder: Path
    daemon_domains: list[str]
    endpoint_plans: list[EndpointPlan]
    service: dict = field(default_factory=dict)
    environment: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.stack = ExitStack()
        self.store: ManagedProcess | None = None
        self.endpoints: list[ManagedProcess] = []
        self.daemons: list[ManagedProcess] = []
        self.client = Client(trust_env=False, timeout=REQUEST_TIMEOUT_S)

    def start(self) -> None:
        """Starts all processes and waits until each daemon is ready and sees all its peers."""
        self.store = self._start("store", ["-m", "standins.store"])
        with ThreadPoolExecutor(MAX_STARTS_AT_ONCE) as pool:
            plans = list(enumerate(self.endpoint_plans))
            endpoints = pool.map(lambda numbered: self._start_endpoint(*numbered), plans)
            self.daemons.append(self.start_daemon(0, self.daemon_domains[0]))
            others = list(enumerate(self.daemon_domains))[1:]
            daemons = pool.map(lambda numbered: self.start_daemon(*numbered), others)
            self.endpoints.extend(endpoints)
            self.daemons.extend(list(daemons))
        self.wait_until(lambda: self.is_ready(0), "the first configuration")
        self.write_records()
        for daemon in self.daemons:
            self.wait_until(lambda daemon=daemon: self._has_converged(daemon), daemon.name)

    def stop(self) -> None:
        """Ends all processes."""
        self.client.close()
        self.stack.close()

    def start_daemon(self, number: int, domain: str, name: str = "") -> ManagedProcess:
        """Starts a daemon with the addresses of the daemons that are already running."""
        peers = ",".join(daemon.announced["peer_address"] for daemon in self.daemons)
        variables = {
            "BERYLPROXY_DAEMON_ID": f"d{number}",
            "BERYLPROXY_FAILURE_DOMAIN": domain,
            "BERYLPROXY_HTTP_ADDRESS": "127.0.0.1:0",
            "BERYLPROXY_PEER_ADDRESS": "127.0.0.1:0",
            "BERYLPROXY_PEERS": peers,
            "BERYLPROXY_STORE_URLS": self.store.url,
            "BERYLPROXY_VM_LIST_URL": self.store.url,
            "BERYLPROXY_DRAIN_GRACE_S": "0.5",
            **self.environment,
        }
        name = name or f"d{number}"
        return self._start(name, ["-m", "berylproxy.daemon"], environment=variables)

    def write_records(self) -> None:
        """Creates the records of one pool, one service and all endpoints."""
        service = {
            "schema_version": 1,
            "pools": [POOL],
            "timeout_s": 30.0,
            "run_time_s": 0.3,
            "max_body_bytes": 100_000,
            "max_run_time_s": 10.0,
            **self.service,
        }
        self.apply("pools", POOL, {"schema_version": 1})
        self.apply("services", SERVICE, service)
        for number, plan in enumerate(self.endpoint_plans):
            self.apply("endpoints", f"e{number}", self.make_endpoint_record(number, plan))

    def make_endpoint_record(self, number: int, plan: EndpointPlan) -> dict:
        """Builds the record of an endpoint."""
        return {
            "schema_version": 1,
            "pool": POOL,
            "url": self.endpoints[number].url,
            "slots": plan.slots,
            "connections": 64,
            "owner": "owner",
            "failure_domain": plan.failure_domain,
        }

    def apply(self, kind: str, name: str, record: dict, daemon: int = 0) -> Response:
        """Creates a record through the daemon with the given number."""
        url = f"{self.url(daemon)}/v1/records/{kind}/{name}"
        response = self.client.put(url, json=record, headers={"If-None-Match": "*"})
        assert response.status_code == 200, response.text
        return response

    def url(self, daemon: int) -> str:
        """Returns the base URL of a daemon's HTTP API."""
        return f"http://{self.daemons[daemon].announced['http_address']}"

    def is_ready(self, daemon: int) -> bool:
        """Returns whether a daemon's readiness check, as a load balancer uses it, succeeds."""
        return self.client.get(f"{self.url(daemon)}/readyz").status_code == 200

    def read_status(self, daemon: int) -> dict:
        """Returns a daemon's status report."""
        return self.client.get(f"{self.url(daemon)}/v1/status").json()

    def control(self, process: ManagedProcess, **switches: object) -> None:
        """Sets fault switches of a stand-in."""
        response = self.client.put(f"{process.control_url}/control", json=switches)
        assert response.status_code == 200, response.text

    def read_events(self) -> Iterator[dict]:
        """Yields the logged events of all endpoints, endpoint by endpoint."""
        for number in range(len(self.endpoints)):
            path = self.folder / f"e{number}.log"
            if path.exists():
                for line in path.read_text().splitlines():
                    yield json.loads(line)

    def count_starts(self) -> Counter[str]:
        """Counts how often each task was started at any endpoint."""
        return Counter(
            event["task_id"] for event in self.read_events() if event["event"] == "start"
        )

    def wait_until(
        self, condition: Callable[[], bool], description: str, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Polls until a condition holds.

        :param description: names the condition in the error.
        :raises AssertionError: if the condition does not hold within ``timeout_s``.
        """
        end_s = monotonic() + timeout_s
        while monotonic() < end_s:
            if condition():
                return
            sleep(POLL_INTERVAL_S)
        raise AssertionError(f"timed out waiting for: {description}")

    def _has_converged(self, daemon: ManagedProcess) -> bool:
        url = f"http://{daemon.announced['http_address']}/v1"
        try:
            status = self.client.get(f"{url}/status").json()
            # Records reach a daemon one by one, so endpoints may be known before their service.
            service = self.client.get(f"{url}/records/services/{SERVICE}")
        except HTTPError:
            return False
        alive = [peer for peer in status["peers"] if peer["status"] == "alive"]
        has_endpoints = len(status["endpoints"]) == len(self.endpoint_plans)
        complete = has_endpoints and service.status_code == 200
        return status["daemon"]["ready"] and complete and len(alive) == len(self.daemons) - 1

    def _start_endpoint(self, number: int, plan: EndpointPlan) -> ManagedProcess:
        arguments = ["-m", "standins.endpoint", "--name", f"e{number}"]
        arguments += ["--slots", str(plan.slots), "--speed", str(plan.speed)]
        arguments += ["--log", str(self.folder / f"e{number}.log")]
        return self._start(f"e{number}", arguments)

    def _start(self, name: str, arguments: list[str], **options) -> ManagedProcess:
        return self.stack.enter_context(ManagedProcess(name, arguments, self.folder, **options))
