"""A small deployment: the project's daemons as processes, with stand-ins for all others."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import tomllib
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

from support.record import Record
from support.runner import Run, Runner
from support.store import Store
from support.wire import Answer, call

ROOT = Path(__file__).resolve().parent.parent.parent
SERVICES = ("desk", "annex")  # the queue's first, and one that an operator may send it to
SERVICE = SERVICES[0]
HOST = "jobs.example"
PREFIX = "/rota/"
ZONES = ("a", "b", "c")
READY_TIMEOUT_S = 30.0
SETTLE_S = 3.0  # contact-ms, so that all machines are in touch
METRICS_PORT = 9464
RESTART_AFTER_S = 3.5

SETTINGS = """
node-name = "{name}"
role = "daemon"
machine-class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal-ports = [{peer_port},{last_port}]
heartbeat-ms = 1500
contracts = [
  "base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"
]
orders = "invocation"
[zones]
a = "r"
b = "r"
c = "r"
[listen]
frontend-addr = "{ip}:{callers_port}"
ready-addr = "{ip}:{ready_port}"
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
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
lost-ms = 200
config-ms = 2000
recover-s = 12
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


@dataclass(slots=True, eq=False)
class Daemon:
    """One machine with the project's daemon."""

    name: str
    ip: str
    callers_port: int
    ready_port: int
    settings_path: Path
    log_path: Path
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["daemon"]["run"].split(" ")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BERYLPROXY_NODE_FILE"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process that was started here."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@dataclass(slots=True)
class Job:
    """A job as a client knows it.

    :ivar answers: status of each attempt to hand it in.
    :ivar accepted_s: monotonic time of the first 2xx; 0 without one.
    :ivar shown: states as they were shown, with the time.
    """

    job_id: str
    body: dict[str, Any]
    answers: list[int] = field(default_factory=list)
    accepted_s: float = 0.0
    shown: list[tuple[float, str]] = field(default_factory=list)


class Deployment:
    """Starts and ends everything, and is the platform, the operator and the clients.

    :ivar runs: all runs that any runner has begun.
    """

    def __init__(
        self, record: Record, daemons: int, runners: int, seed: int, services: int = 1
    ) -> None:
        self.record = record
        self.store = Store(record)
        self.daemons: list[Daemon] = []
        self.runners: list[Runner] = []
        self.runs: list[Run] = []
        self.random = random.Random(seed)
        self._daemon_count, self._runner_count = daemons, runners
        self._services = SERVICES[:services]
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._tasks: list[asyncio.Task[Any]] = []

    async def __aenter__(self) -> "Deployment":
        """Starts everything and waits until each daemon is ready and in touch."""
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends all processes."""
        await self._stop()

    async def _start(self) -> None:
        self.configure(3)
        self.spawn(self.store.expire_leases())
        self.spawn(self._expire_entries())
        for number in range(self._runner_count):
            zone = number % len(ZONES)
            labels = ["aab"[number // 3 % 3], f"r{zone + 1}-{number // 24 + 1}"]
            capacity = {"cpu": 64_000, "mem-mb": 131_072, "gpu": 0}
            runner = Runner(
                f"i-{number:04x}",
                self._services[number // len(ZONES) % len(self._services)],
                ZONES[zone],
                labels,
                capacity,
                self.store,
                self.record,
                self.runs,
            )
            self.runners.append(runner)
            await runner.start()
        network = _pick_network()
        for number in range(self._daemon_count):
            await self._add_daemon(number, f"{network}.{number + 1}")
        for daemon in self.daemons:
            await daemon.start()
        end_s = monotonic() + READY_TIMEOUT_S
        for daemon in self.daemons:
            while not await self._is_serving(daemon):
                if monotonic() > end_s:
                    raise RuntimeError(f"{daemon.name} is not ready: {self.read_log(daemon)}")
                await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)
        self.record.note("all daemons are ready and in touch")

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.kill()
        for runner in self.runners:
            if runner.is_up():
                runner.close()
        self.store.close()
        log_folder = os.environ.get("REVIEW_LOGS")
        for daemon in self.daemons if log_folder else ():
            shutil.copy(daemon.log_path, log_folder)
        self._folder.cleanup()

    def spawn(self, work: Any) -> None:
        """Runs a coroutine until the end."""
        self._tasks.append(asyncio.ensure_future(work))

    def configure(self, version: int, standby: tuple[str, ...] = (), **queue: Any) -> None:
        """Writes a configuration as the operator.

        :param standby: names of further services, whose machines are off.
        :param queue: fields of the queue that differ from the usual ones.
        """
        route = {
            "name": "r-rota",
            "host": HOST,
            "prefix": PREFIX,
            "type": "unsafe",
            "timeout-ms": 4000,
            "target-latency-ms": 5000,
            "priority": 0,
            "service": SERVICE,
            "max-attempts": 4,
            "stretch": 3.0,
            **queue,
        }
        services = [
            {
                "name": name,
                "max-conns": 64,
                "enforces-capacity": True,
                "standby": name in standby,
            }
            for name in (*self._services, *standby)
        ]
        config = {
            "version": version,
            "routes": [route],
            "services": services,
            "limits": {"max-body-bytes": 262_144},
        }
        self.store.put("op/config", json.dumps(config).encode())

    def find_leader(self) -> Daemon:
        """Returns the machine that last wrote to the store under a condition."""
        return next(d for d in self.daemons if d.name == self.store.last_writer)

    async def kill_and_restart(self, daemon: Daemon, down_s: float = RESTART_AFTER_S) -> None:
        """Kills a daemon; the platform starts it again after a while."""
        self.record.note(f"SIGKILL to {daemon.name}")
        await daemon.kill()
        await asyncio.sleep(down_s)
        await daemon.start()
        self.record.note(f"{daemon.name} is started again")

    async def submit(
        self, job: Job, daemon: Daemon, wait_ms: int = 4000, timeout_s: float = 10.0
    ) -> Answer:
        """Hands a job in."""
        answer = await self._ask(daemon, "POST", job.job_id, job.body, wait_ms, timeout_s)
        job.answers.append(answer.status)
        if answer.status // 100 == 2 and not job.accepted_s:
            job.accepted_s = monotonic()
        return answer

    async def get_state(self, job: Job, daemon: Daemon, wait_ms: int = 4000) -> Answer:
        """Asks for a job's state."""
        answer = await self._ask(daemon, "GET", job.job_id, None, wait_ms, 10.0)
        shown = answer.content.get("state", "") if answer.status == 200 else str(answer.status)
        job.shown.append((monotonic(), shown))
        return answer

    async def cancel(self, job: Job, daemon: Daemon, wait_ms: int = 4000) -> Answer:
        """Cancels a job."""
        return await self._ask(daemon, "DELETE", job.job_id, None, wait_ms, 10.0)

    async def serve_callers(self, jobs_per_s: float, step: dict[str, Any]) -> None:
        """Sends best-effort jobs of one step until cancelled, as callers at a counter do."""
        callers: set[asyncio.Task[None]] = set()
        while True:
            job = self.make_job([dict(step)], **{"best-effort": True})
            caller = asyncio.create_task(self._wait_for_end(job))
            callers.add(caller)
            caller.add_done_callback(callers.discard)
            await asyncio.sleep(1 / jobs_per_s)

    async def _wait_for_end(self, job: Job) -> None:
        await self.submit(job, self.pick_daemon(), wait_ms=1500, timeout_s=2.0)

    def pick_daemon(self) -> Daemon:
        """Returns a running daemon, as the platform's address does."""
        return self.random.choice([d for d in self.daemons if d.is_running()])

    def make_job(self, steps: list[dict[str, Any]], **fields: Any) -> Job:
        """Returns a job; each step has the fields of the page, and ``s`` for the stand-in."""
        needs = [
            {
                "s": step["s"],
                "cpu": step["cpu"],
                "mem-mb": step.get("mem-mb", 0),
                **({"fails": True} if step.get("fails") else {}),
            }
            for step in steps
        ]
        rows = [{k: v for k, v in step.items() if k not in ("s", "fails")} for step in steps]
        for row, need in zip(rows, needs, strict=True):
            row.setdefault("estimate-ms", int(need["s"] * 1000))
        job_id = f"{self.random.getrandbits(64):016x}"
        return Job(job_id, {"spec": json.dumps(needs), "steps": rows, **fields})

    def read_log(self, daemon: Daemon) -> str:
        """Returns the end of a daemon's log."""
        return daemon.log_path.read_text(errors="replace")[-2000:]

    async def _ask(
        self,
        daemon: Daemon,
        method: str,
        job_id: str,
        body: dict[str, Any] | None,
        wait_ms: int,
        timeout_s: float,
    ) -> Answer:
        headers = {"Host": HOST, "Berylproxy-Deadline-Ms": str(wait_ms)}
        address = daemon.ip, daemon.callers_port
        answer = await call(address, method, PREFIX + job_id, body, headers, timeout_s)
        self.record.note(
            f"client: {method} {job_id or 'pending'} at {daemon.name}: "
            f"{answer.status} {answer.content or ''}"
        )
        return answer

    async def _is_serving(self, daemon: Daemon) -> bool:
        ready = await call((daemon.ip, daemon.ready_port), "GET", "/-/ready", timeout_s=1.0)
        if ready.status != 200:
            return False
        headers = {"Host": HOST, "Berylproxy-Deadline-Ms": "500"}
        address = daemon.ip, daemon.callers_port
        answer = await call(address, "GET", PREFIX, None, headers, 2.0)
        return answer.status == 200

    async def _add_daemon(self, number: int, ip: str) -> None:
        zone = ZONES[number % len(ZONES)]
        name = f"front-{zone}-{number // len(ZONES) + 1}"
        peer_port, callers_port, ready_port = _pick_ports(ip, 3)
        path = Path(self._folder.name) / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                peer_port=peer_port,
                last_port=peer_port + 15,
                callers_port=callers_port,
                ready_port=ready_port,
                store_port=await self.store.listen(name),
            )
        )
        log_path = Path(self._folder.name) / f"{name}.log"
        log_path.touch()
        self.daemons.append(Daemon(name, ip, callers_port, ready_port, path, log_path))

    async def _expire_entries(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            for runner in self.runners:
                for name in runner.list_silent() if "" not in self.store.down else ():
                    self.store.remove(f"servers/{name}")


def _pick_network() -> str:
    """Returns the start of loopback addresses on which the port for metrics is free."""
    system_random = random.SystemRandom()
    while True:
        network = f"127.{system_random.randrange(1, 255)}.{system_random.randrange(1, 255)}"
        with socket.socket() as probe, suppress(OSError):
            probe.bind((f"{network}.1", METRICS_PORT))
            return network


def _pick_ports(ip: str, count: int) -> list[int]:
    """Returns ports that are free at this moment."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for opened in sockets:
            opened.bind((ip, 0))
        return [opened.getsockname()[1] for opened in sockets]
    finally:
        for opened in sockets:
            with suppress(OSError):
                opened.close()
