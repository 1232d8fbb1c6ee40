"""Runs a small platform: its stand-ins and daemons as processes on loopback addresses."""

import json
import os
import socket
import subprocess
import sys
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic, sleep

from httpx import Client, HTTPError, Response

from berylproxy.platform.settings import SETTINGS_VARIABLE
from standins.process import ROOT, ManagedProcess
from tests.support.loopback import claim_network
from tests.support.runs import Run

SERVICE = "ledger"
HOST = "jobs.example"
PREFIX = "/balance/"
READY_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_S = 20.0

SETTINGS = """
node-name = "{name}"
ip = "{host}"
zone = "a"
internal-ports = [{ports[0]},{ports[1]}]
unknown-field = true
[listen]
frontend-addr = "{host}:{ports[2]}"
ready-addr = "{host}:{ports[3]}"
[platform]
address = "127.0.0.1:{store_port}"
[bounds]
grace-s = {grace_s}
"""


def pick_ports(count: int) -> list[int]:
    """Returns ports that are free at this moment on an address that all processes share."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for bound_socket in sockets:
            bound_socket.bind(("127.0.0.1", 0))
        return [bound_socket.getsockname()[1] for bound_socket in sockets]


def host_of(number: int) -> str:
    """Returns a daemon's own loopback address; the fixed metrics port requires separate ones."""
    return f"{claim_network()}.1.{number + 1}"


def make_configuration(version: int, prefixes: list[str]) -> dict:
    """Returns a version of the operator's configuration."""
    routes = [
        {
            "name": f"queue{number}",
            "host": HOST,
            "prefix": prefix,
            "service": SERVICE,
            "timeout-ms": 5000,
            "target-latency-ms": 3000,
            "max-attempts": 3,
            "stretch": 2,
        }
        for number, prefix in enumerate(prefixes)
    ]
    return {"version": version, "routes": routes, "services": [{"name": SERVICE}]}


class LoggedDaemon(ManagedProcess):
    """A daemon whose standard output goes to ``<folder>/<name>.log``.

    :ivar build: folder that holds the package to run.
    """

    build: Path = ROOT

    def start(self) -> None:
        """Starts the process without waiting for it."""
        folder = self.stderr_path.parent
        with self.stderr_path.open("ab") as stderr, (folder / f"{self.name}.log").open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, *self.arguments],
                cwd=self.build,
                env=os.environ | self.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=stderr,
            )


@dataclass
class PlatformCluster:
    """Starts the processes of a platform and ends them on close.

    :ivar extra_settings: lines that are appended to each settings file.
    :ivar builds: numbers of daemons that run another build, with the folder of its package.
    """

    folder: Path
    daemon_count: int
    runner_count: int
    run_time_s: float
    grace_s: float = 6.0
    extra_settings: str = ""
    stack: ExitStack = field(default_factory=ExitStack)
    daemons: list[ManagedProcess] = field(default_factory=list)
    runners: list[ManagedProcess] = field(default_factory=list)
    ports: list[list[int]] = field(default_factory=list)
    builds: dict[int, Path] = field(default_factory=dict)

    def start(self) -> None:
        """Starts everything and waits until each daemon is ready."""
        self.client = self.stack.enter_context(Client(trust_env=False, timeout=REQUEST_TIMEOUT_S))
        self.store = self._start("store", ["-m", "standins.platform_store"])
        self.configure(make_configuration(3, [PREFIX]))
        for number in range(self.runner_count):
            self.runners.append(self.start_runner(number))
        for number in range(self.daemon_count):
            self.ports.append(pick_ports(4))
            self.daemons.append(self.start_daemon(number))
        for number in range(self.daemon_count):
            self.wait_ready(number)

    def close(self) -> None:
        """Ends all processes."""
        self.stack.close()

    def host(self, number: int) -> str:
        """Returns a daemon's loopback address."""
        return host_of(number)

    def start_runner(self, number: int) -> ManagedProcess:
        """Starts a runner."""
        return self.start_named_runner(f"r{number}")

    def start_named_runner(self, name: str, *extra_options: str) -> ManagedProcess:
        """Starts a runner under the given identifier, with extra options."""
        options = ["--name", name, "--store-url", self.store.url, *extra_options]
        options += ["--run-time-s", str(self.run_time_s), "--service", SERVICE]
        return self._start(name, ["-m", "standins.runner", *options])

    def url_of(self, number: int) -> str:
        """Returns the URL at which a daemon serves callers."""
        return f"http://{self.host(number)}:{self.ports[number][2]}"

    def settings_path(self, number: int) -> Path:
        """Returns the path of a daemon's settings file."""
        return self.folder / f"d{number}.toml"

    def write_settings(self, number: int, *, store_port: int = 0, extra_lines: str = "") -> None:
        """Writes a daemon's settings file.

        :param store_port: loopback port of a relay to the store; 0 for the store itself.
        :param extra_lines: lines that are appended to the file.
        """
        content = SETTINGS.format(
            name=f"d{number}",
            host=self.host(number),
            ports=self.ports[number],
            store_port=store_port or self.store.announced["port"],
            grace_s=self.grace_s,
        )
        self.settings_path(number).write_text(content + self.extra_settings + extra_lines)

    def start_relay(self, name: str, port: int) -> ManagedProcess:
        """Starts a relay to a loopback port."""
        target = f"127.0.0.1:{port}"
        return self._start(f"relay-{name}", ["-m", "standins.relay", "--target", target])

    def start_daemon(self, number: int) -> ManagedProcess:
        """Starts a daemon with a settings file of its own."""
        self.write_settings(number)
        environment = {SETTINGS_VARIABLE: str(self.settings_path(number))}
        arguments = ["-m", "berylproxy.platform"]
        daemon = LoggedDaemon(f"d{number}", arguments, self.folder, environment=environment)
        daemon.build = self.builds.get(number, ROOT)
        return self.stack.enter_context(daemon)

    def wait_ready(self, number: int) -> None:
        """Waits until a daemon is ready and knows a holder."""
        deadline_s = monotonic() + READY_TIMEOUT_S
        url = f"http://{self.host(number)}:{self.ports[number][3]}/-/ready"
        while monotonic() < deadline_s:
            try:
                if (
                    self.client.get(url).status_code == 200
                    and self.get_pending_status(number) == 200
                ):
                    return
            except HTTPError:
                pass
            sleep(0.05)
        raise AssertionError(f"daemon {number} is not ready")

    def get_pending_status(self, number: int) -> int:
        """Requests the number of pending jobs, which succeeds once a holder is known.

        :returns: the HTTP status.
        """
        return self.request(number, "GET", PREFIX).status_code

    def request(self, number: int, method: str, path: str, body: dict | None = None) -> Response:
        """Sends a request to a daemon."""
        url = f"{self.url_of(number)}{path}"
        return self.client.request(method, url, json=body, headers={"Host": HOST})

    def submit(self, number: int, job_id: str, tasks: int, **fields: object) -> Response:
        """Submits a job with one step."""
        step = {"count": tasks, "cpu": 20000, "mem-mb": 64, "estimate-ms": 100}
        body = {"spec": "payload", "steps": [step], **fields}
        return self.request(number, "POST", PREFIX + job_id, body)

    def configure(self, configuration: dict) -> None:
        """Writes a configuration as the operator does."""
        self.write_key("op/config", configuration)

    def write_key(self, key: str, value: object) -> None:
        """Writes a key of the operator."""
        url = f"{self.store.url}/control/put"
        self.client.post(url, json={"key": key, "value": value}).raise_for_status()

    def write_text(self, key: str, text: str) -> None:
        """Writes a key as another writer does, with a value that need not be JSON."""
        url = f"{self.store.url}/control/put"
        self.client.post(url, json={"key": key, "text": text}).raise_for_status()

    def remove_key(self, key: str) -> None:
        """Removes a key of the operator."""
        url = f"{self.store.url}/control/remove"
        self.client.post(url, json={"key": key}).raise_for_status()

    def switch_store(self, **switches: object) -> None:
        """Sets switches of the store."""
        url = f"{self.store.url}/control/switch"
        self.client.post(url, json=switches).raise_for_status()

    def find_holder(self) -> int:
        """Returns the number of the daemon that became the holder last, according to the logs."""
        claims = []
        for number, daemon in enumerate(self.daemons):
            for line in self.read_log(daemon):
                if "claimed" in line.get("message", ""):
                    claims.append((line["fence"], number))
        return max(claims)[1]

    def read_log(self, daemon: ManagedProcess) -> list[dict]:
        """Reads the log lines that a daemon has written so far."""
        path = self.folder / f"{daemon.name}.log"
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        return [json.loads(line) for line in lines if line.startswith("{")]

    def read_history(self) -> list[Run]:
        """Returns the starts and ends of runs at all runners, in order of time."""
        history = []
        for runner in self.runners:
            rows = self.client.get(f"{runner.url}/control/history").json()["history"]
            history += [(at_s, kind, tuple(name), run) for at_s, kind, name, run in rows]
        return sorted(history)

    def _start(self, name: str, arguments: list[str]) -> ManagedProcess:
        return self.stack.enter_context(ManagedProcess(name, arguments, self.folder))
