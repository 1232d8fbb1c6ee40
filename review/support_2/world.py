"""A small deployment on loopback addresses: daemons by the deploy file, and the stand-ins."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from base64 import b64decode
from collections.abc import Callable
from pathlib import Path
from threading import Lock, Timer
from time import monotonic, sleep, time
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "nony24.example"
ZONES = ("kushiro", "obihiro", "abashiri")
START_LIMIT_S = 25.0
CASE_LIMIT_S = 110.0  # a case ends within 120 s
FRONTEND_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT = 8161, 8167, 8166, 9464
FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT = 7720, 7735

SETTINGS = """
node-name = "{name}"
role = "daemon"
machine-class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "doto"
internal-ports = [{first_port},{last_port}]
seeds = []
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform",
  "advice","upkeep","sharing"]
orders = "invocation"
[zones]
kushiro = "doto"
obihiro = "doto"
abashiri = "doto"
[listen]
frontend-addr = "{ip}:{frontend_port}"
ready-addr = "{ip}:{ready_port}"
control-addr = "{ip}:{control_port}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
config-ms = 2000
hold-max-ms = 1000
stop-ms = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
remote-factor = 2
resend-ms = 1300
[platform]
address = "127.0.0.1:{store_port}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


class NotPlayableError(Exception):
    """The case couldn't be run."""


def pick_port() -> int:
    """Returns a port that is free at this moment."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return bound.getsockname()[1]


def pick_network() -> str:
    """Returns the first three bytes of loopback addresses whose fixed ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONTEND_PORT, READY_PORT, METRICS_PORT, FIRST_INTERNAL_PORT):
                socket.create_server((f"{network}.1", port)).close()
        except OSError:
            continue
        return network
    raise NotPlayableError("no loopback addresses are free")


class World:
    """The processes of a case.

    :param record: path of the file that says what was sent, answered and run.
    :ivar requests: all requests of clients, with their answers.
    """

    def __init__(self, record: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = pick_network()
        self.store_port = pick_port()
        self.daemons: dict[str, subprocess.Popen] = {}
        self.runners: dict[str, subprocess.Popen] = {}
        self.runner_options: dict[str, list[str]] = {}
        self.requests: list[dict[str, Any]] = []
        self._processes: list[subprocess.Popen] = []
        self._record = record.open("w", buffering=1)
        self._lock = Lock()
        self.began = time()

    def __enter__(self) -> "World":
        return self

    def __exit__(self, *_: object) -> None:
        self.end_processes()
        for event in self.read_runs():
            self.write_row(event)
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def end_processes(self) -> None:
        """Ends all processes that were started."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def give_up(self) -> None:
        """Ends the case when it takes too long."""
        self.note("not played", reason=f"not over within {CASE_LIMIT_S} s")
        self.end_processes()
        os._exit(2)

    def note(self, event: str, **fields: Any) -> None:
        """Writes what the test does or finds."""
        self.write_row({"at": time(), "event": event} | fields)
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{time() - self.began:7.2f} {event} {shown}", flush=True)

    def write_row(self, row: dict[str, Any]) -> None:
        """Writes a line of the record, with the time since the start of the case."""
        at_s = round(row["at"] - self.began, 3)
        rest = {name: value for name, value in row.items() if name != "at"}
        with self._lock:
            self._record.write(json.dumps({"at": at_s} | rest) + "\n")

    # Processes

    def _spawn(
        self, arguments: list[str], environment: dict[str, str], log: str
    ) -> subprocess.Popen:
        with (self.folder / log).open("ab") as output:
            process = subprocess.Popen(
                arguments,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._processes.append(process)
        return process

    def start_store(self) -> None:
        """Starts the store."""
        arguments = [sys.executable, "-m", "review.support_2.store", str(self.store_port)]
        self._spawn(arguments, dict(os.environ), "store.log")
        self.wait_for(lambda: self.call_store("/standin/items") is not None, "the store")

    def start_runner(self, name: str, zone: str, *options: str, port: int = 0) -> None:
        """Starts a life of a runner, at the address that it had before if it had one."""
        if name not in self.runner_options:
            self.runner_options[name] = ["--id", name, "--zone", zone, "--port", str(pick_port())]
        arguments = [sys.executable, "-m", "review.support_2.runner", *self.runner_options[name]]
        arguments += ["--store-port", str(self.store_port), "--log", str(self.folder / "runs.log")]
        if "--service" not in options:
            arguments += ["--service", "rota-desk"]
        process = self._spawn([*arguments, *options], dict(os.environ), f"{name}.log")
        self.runners[name] = process

    def start_daemon(self, number: int) -> None:
        """Starts a daemon by the run line of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        name, ip = f"front-{number}", f"{self.network}.{number}"
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=ZONES[(number - 1) % len(ZONES)],
                first_port=FIRST_INTERNAL_PORT,
                last_port=LAST_INTERNAL_PORT,
                frontend_port=FRONTEND_PORT,
                ready_port=READY_PORT,
                control_port=CONTROL_PORT,
                store_port=self.store_port,
            )
        )
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "BERYLPROXY_NODE_FILE": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        if not (ROOT / "target/deps").is_dir():
            raise NotPlayableError(
                "target/deps is missing: the build of the deploy file has to run"
            )
        arguments = deploy["roles"]["daemon"]["run"].split()
        self.daemons[name] = self._spawn(arguments, environment, f"{name}.log")

    def start(self, daemons: int, runners: int, routes: list[dict[str, Any]]) -> None:
        """Starts all processes, and waits until each daemon serves."""
        self.start_store()
        self.configure(1, routes)
        for number in range(1, runners + 1):
            self.start_runner(f"i-{number}", ZONES[number % len(ZONES)])
        for number in range(1, daemons + 1):
            self.start_daemon(number)
        self.wait_ready(routes[0]["prefix"])

    def wait_ready(self, prefix: str) -> None:
        """Waits until each daemon is ready and answers for a queue."""
        for name in self.daemons:
            number = int(name.rpartition("-")[2])

            def is_ready(number: int = number) -> bool:
                ready = self._call(f"{self.network}.{number}", READY_PORT, "GET", "/-/ready")
                if ready is None or ready[0] != 200:
                    return False
                answer = self.request(number, "GET", prefix, is_recorded=False)
                return answer is not None and answer[0] == 200

            self.wait_for(is_ready, f"daemon {name}")

    def wait_for(
        self, check: Callable[[], bool], what: str, limit_s: float = START_LIMIT_S
    ) -> None:
        """Waits until a check holds.

        :raises NotPlayableError: if it doesn't in time.
        """
        end_s = monotonic() + limit_s
        while not check():
            if monotonic() > end_s:
                raise NotPlayableError(f"{what}: not within {limit_s} s")
            sleep(0.02)

    # The operator and the platform

    def configure(
        self, version: int, routes: list[dict[str, Any]], services: tuple[str, ...] = ("rota-desk",)
    ) -> None:
        """Writes a version of the configuration."""
        rows = [
            {"host": HOST, "type": "unsafe", "timeout-ms": 5000, "target-latency-ms": 60}
            | {"priority": 1, "service": "rota-desk", "max-attempts": 4, "stretch": 1.6}
            | route
            for route in routes
        ]
        listed = [
            {"name": name, "health-path": "/health", "max-conns": 64, "protocol": "h1"}
            | {"tls": False, "enforces-capacity": True, "standby": False}
            for name in services
        ]
        limits = {"max-header-bytes": 16384, "max-body-bytes": 262144}
        value = {"version": version, "routes": rows, "services": listed, "limits": limits}
        self.call_store("/standin/put", {"key": "op/config", "text": json.dumps(value)})
        self.note("configuration confirmed", version=version, routes=rows)

    def call_store(self, path: str, body: dict[str, Any] | None = None) -> Any:
        """Calls the store as the operator or the test."""
        answer = self._call("127.0.0.1", self.store_port, "POST", path, body or {})
        return answer[1] if answer is not None else None

    def find_claimant(self) -> str:
        """Returns the daemon that last wrote the condition of all others' writes.

        It is the one that a disturbance "first that which last wrote to the store" would hit.
        """
        items = self.call_store("/standin/items")["items"]
        holders = [i for k, i in items.items() if "/holders/" in k]
        newest = max(holders, key=lambda item: item["rev"])
        value = b64decode(newest["value"])
        return next(name for name in self.daemons if name.encode() in value)

    # Clients

    def _call(
        self,
        host: str,
        port: int,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> tuple[int, Any] | None:
        connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
        try:
            data = json.dumps(body) if body is not None else None
            connection.request(method, path, data, headers or {})
            response = connection.getresponse()
            content = response.read()
            return response.status, json.loads(content) if content else {}
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def request(
        self,
        number: int,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        limit_s: float = 5.0,
        leaves_after_s: float | None = None,
        is_recorded: bool = True,
    ) -> tuple[int, Any] | None:
        """Sends a client's request to a daemon; ``None`` without an answer.

        :param limit_s: how long the client says that it waits.
        :param leaves_after_s: when the client closes the connection, if that is earlier.
        """
        sent = time()
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Berylproxy-Deadline-Ms": str(int(limit_s * 1000)),
        }
        answer = self._call(
            f"{self.network}.{number}",
            FRONTEND_PORT,
            method,
            path,
            body,
            headers,
            leaves_after_s or limit_s,
        )
        row = {
            "at": sent,
            "event": "request",
            "daemon": number,
            "method": method,
            "path": path,
            "body": body,
            "answered": round(time() - self.began, 3),
            "status": answer[0] if answer else None,
            "answer": answer[1] if answer else None,
        }
        if is_recorded:
            with self._lock:
                self.requests.append(row)
            self.write_row(row)
        return answer

    def read_runs(self) -> list[dict[str, Any]]:
        """Returns what the runners have seen so far, in order of time."""
        path = self.folder / "runs.log"
        lines = path.read_text().splitlines() if path.exists() else []
        return sorted((json.loads(line) for line in lines), key=lambda row: row["at"])


def make_id() -> str:
    """Returns a new identifier of a job."""
    return f"{random.getrandbits(64):016x}"


def make_job(
    tasks: int, work_ms: int, cpu: int, *, estimate_ms: int = 0, **step: Any
) -> dict[str, Any]:
    """Returns the body of a job with one step.

    :param estimate_ms: by default the time that a task takes.
    """
    fields = {"count": tasks, "cpu": cpu, "mem-mb": 64, "estimate-ms": estimate_ms or work_ms}
    return {"spec": f"work-ms={work_ms} cpu={cpu}", "steps": [fields | step]}


def play(case: Path, judge: Callable[[World, bool], bool]) -> int:
    """Plays a case; returns the exit status.

    :param judge: plays it in a world, with or without the disruption, and returns whether the rule
        was kept.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with World(case / "record.txt") as world:
            limit = Timer(CASE_LIMIT_S, world.give_up)
            limit.daemon = True
            limit.start()
            try:
                is_kept = judge(world, has_trouble)
            except Exception as error:  # only a verdict may end the case with 0 or 1
                world.note("not played", reason=repr(error))
                return 2
            finally:
                limit.cancel()
            world.note("rule kept" if is_kept else "RULE BROKEN", trouble=has_trouble)
            return 0 if is_kept else 1
    except Exception as error:
        print(f"not played: {error!r}", flush=True)
        return 2
