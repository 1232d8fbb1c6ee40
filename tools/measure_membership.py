"""Measures the cost of the membership and how fast it detects failures, over real sockets.

Usage: python -m tools.measure_membership cost|cost-of-full-mesh|detect <daemons>|codec

``cost`` runs each daemon in its own process, so that processor time is counted per daemon. Bytes
are those of the streams' payload; an estimate that includes packet headers is printed next to them.
"""

import json
import os
import resource
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, replace
from random import Random
from statistics import mean
from timeit import timeit

import anyio
from anyio import create_task_group, current_time, sleep
from logbook import Logger, NullHandler

from berylproxy.models import DaemonIdentity
from berylproxy.peers.codec import MessageCodec, RequestFrame
from berylproxy.peers.membership import MemberStatus
from berylproxy.peers.messages import CONTROL_MESSAGES, Heartbeat, MemberUpdate
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.peers.settings import PeerSettings

KEY = b"a key of the measurement"
DAEMON_COUNTS = (4, 8, 16, 24)
PROJECTED_COUNTS = (64, 160)
SETTLE_S = 6.0
COST_WINDOW_S = 20.0
SEGMENT_HEADER_BYTES = 66  # Ethernet, IP and TCP with time stamps
SEGMENTS_PER_WRITE = 1.5  # half of the writes are acknowledged by the reply's segment
FREEZES_S = (0.3, 1.0)
FREEZE_ROUNDS = 10
LOSS_RATE = 0.01
LOSS_WINDOW_S = 60.0
SEED = 11
LOSS_VARIABLE = "BERYLPROXY_MEASURE_LOSS"
FULL_MESH_VARIABLE = "BERYLPROXY_MEASURE_FULL_MESH"
CODEC_ROUNDS = 20_000
THROUGHPUT_REQUESTS = 20_000
THROUGHPUT_WORKERS = 100


@dataclass(frozen=True, slots=True)
class Echo:
    """A small request."""

    text: str


def make_network(
    number: int, addresses: tuple[str, ...], loss: Random | None = None
) -> TcpPeerNetwork:
    """Creates a network whose state changes in every round, as that of a loaded daemon does."""
    name = f"daemon-{number}"
    identity = DaemonIdentity(name, os.urandom(6).hex(), f"domain-{number % 4}", "")
    settings = PeerSettings(f"127.0.0.{number + 1}:0", addresses=addresses, keys=(KEY,))
    if FULL_MESH_VARIABLE in os.environ:
        settings = replace(settings, heartbeats_per_interval=max(DAEMON_COUNTS))
    network = TcpPeerNetwork(identity, settings, MessageCodec((Echo,)), Logger(name))
    network.add_heartbeat_part("config", lambda: {"revision": 1234})
    network.add_heartbeat_part("place", lambda: {"waiting": time.time_ns() % 1000, "free": 64})
    if loss is not None:
        lose_heartbeats(network, loss)
    return network


def lose_heartbeats(network: TcpPeerNetwork, random: Random) -> None:
    """Makes the network drop a random share ``LOSS_RATE`` of the heartbeats that it sends."""
    exchange = network._membership.exchange_heartbeat

    async def exchange_or_lose(entry, timeout_s: float) -> bool:
        if random.random() < LOSS_RATE:
            await sleep(timeout_s)
            return False
        return await exchange(entry, timeout_s)

    network._membership.exchange_heartbeat = exchange_or_lose


async def run_daemon(number: int, seed_address: str) -> None:
    """Runs one daemon; prints its address, status changes and, on each input line, its counters."""
    loss = Random(SEED + number) if LOSS_VARIABLE in os.environ else None
    network = make_network(number, (seed_address,) if seed_address else (), loss)

    def print_change(member) -> None:
        print_line(change=member.identity.daemon_id, status=member.status.value)

    statuses: dict[str, MemberStatus] = {}

    def print_new_status(member) -> None:
        if statuses.get(member.identity.incarnation) is not member.status:
            statuses[member.identity.incarnation] = member.status
            print_change(member)

    network.on_change(print_new_status)
    async with create_task_group() as task_group:
        address = await task_group.start(network.run)
        print_line(address=address)
        async for _ in anyio.wrap_file(sys.stdin):
            print_counters(network)
        task_group.cancel_scope.cancel()


def print_line(**values) -> None:
    """Prints values as one JSON line with the current time."""
    print(json.dumps({"now_s": time.monotonic(), **values}), flush=True)


def print_counters(network: TcpPeerNetwork) -> None:
    """Prints the daemon's traffic, processor time and memory use so far."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    print_line(
        sent_bytes=network.counters.sent_bytes,
        writes=network.counters.writes,
        cpu_s=usage.ru_utime + usage.ru_stime,
        memory_kb=usage.ru_maxrss,
        alive=sum(m.status is MemberStatus.ALIVE for m in network.members()),
    )


class Fleet:
    """Daemon processes started by this one."""

    def __init__(self, count: int, *variants: str) -> None:
        self._environment = os.environ | dict.fromkeys(variants, "1")
        self.daemons: list[subprocess.Popen] = []
        self.changes: list[dict] = []
        seed_address = ""
        for number in range(count):
            daemon = self._start(number, seed_address)
            self.daemons.append(daemon)
            address = self._read(daemon, "address")["address"]
            seed_address = seed_address or address

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_) -> None:
        for daemon in self.daemons:
            daemon.kill()
            daemon.wait()

    def read_counters(self, daemon: subprocess.Popen) -> dict:
        """Requests a daemon's counters and returns them."""
        daemon.stdin.write("\n")
        daemon.stdin.flush()
        return self._read(daemon, "cpu_s")

    def collect_changes(self, daemons: list[subprocess.Popen]) -> list[dict]:
        """Returns all changes that the daemons have printed since the last call."""
        for daemon in daemons:
            self.read_counters(daemon)
        changes, self.changes = self.changes, []
        return changes

    def _start(self, number: int, seed_address: str) -> subprocess.Popen:
        command = [sys.executable, "-m", "tools.measure_membership", "daemon", str(number)]
        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
        command.append(seed_address)
        return subprocess.Popen(command, text=True, env=self._environment, **pipes)

    def _read(self, daemon: subprocess.Popen, key: str) -> dict:
        """Returns a daemon's next line that has a key; records the changes read until then."""
        while True:
            line = json.loads(daemon.stdout.readline())
            if "change" in line:
                self.changes.append(line)
            if key in line:
                return line


def measure_cost(*variants: str) -> None:
    """Prints bytes and processor time per daemon, with the slope over the number of daemons."""
    rows = []
    for count in DAEMON_COUNTS:
        with Fleet(count, *variants) as fleet:
            time.sleep(SETTLE_S)
            before = [fleet.read_counters(daemon) for daemon in fleet.daemons]
            time.sleep(COST_WINDOW_S)
            after = [fleet.read_counters(daemon) for daemon in fleet.daemons]
        rows.append((count, *average_rates(before, after)))
        alive = min(line["alive"] for line in after)
        memory_mb = max(line["memory_kb"] for line in after) / 1024
        print(
            f"{count} daemons: sent {rows[-1][1]:.0f} B/s payload, {rows[-1][2]:.0f} B/s with"
            f" headers, {rows[-1][3]:.2f}% of a core, {memory_mb:.0f} MB, at least {alive} alive"
        )
    for first in (0, 1):
        print(f"by the slope from {rows[first][0]} daemons on:")
        print_slopes(rows[first:])


def print_slopes(rows: list[tuple[float, ...]]) -> None:
    """Prints the slope of each figure over the number of daemons, projected to larger clusters."""
    for label, column in (("payload B/s", 1), ("B/s with headers", 2), ("% of a core", 3)):
        slope, start = fit_line([row[0] for row in rows], [row[column] for row in rows])
        projected = [f"{start + slope * n:.2f} at {n}" for n in PROJECTED_COUNTS]
        print(f"{label}: {start:.2f} + {slope:.3f} per daemon, so {', '.join(projected)}")


def average_rates(before: list[dict], after: list[dict]) -> tuple[float, float, float]:
    """Averages payload bytes, bytes with headers and processor per cent over the daemons."""
    payloads, totals, cpus = [], [], []
    for old, new in zip(before, after, strict=True):
        elapsed_s = new["now_s"] - old["now_s"]
        payload = (new["sent_bytes"] - old["sent_bytes"]) / elapsed_s
        writes = (new["writes"] - old["writes"]) / elapsed_s
        payloads.append(payload)
        totals.append(payload + writes * SEGMENT_HEADER_BYTES * SEGMENTS_PER_WRITE)
        cpus.append(100 * (new["cpu_s"] - old["cpu_s"]) / elapsed_s)
    return mean(payloads), mean(totals), mean(cpus)


def fit_line(xs: list[float], ys: list[float]) -> tuple[float, float]:
    """Fits a line by least squares; returns slope and intercept."""
    x_mean, y_mean = mean(xs), mean(ys)
    spread = sum((x - x_mean) ** 2 for x in xs)
    slope = sum((x - x_mean) * (y - y_mean) for x, y in zip(xs, ys, strict=True)) / spread
    return slope, y_mean - slope * x_mean


def measure_detection(count: int) -> None:
    """Prints false suspicions under short freezes and loss, and the time to detect failures."""
    with Fleet(count) as fleet:
        time.sleep(SETTLE_S)
        fleet.collect_changes(fleet.daemons)
        for freeze_s in FREEZES_S:
            measure_freezes(fleet, freeze_s)
        measure_failure(fleet, fleet.daemons[-1], signal.SIGSTOP)
        measure_failure(fleet, fleet.daemons[-2], signal.SIGKILL)
    with Fleet(count, LOSS_VARIABLE) as fleet:
        time.sleep(SETTLE_S)
        fleet.collect_changes(fleet.daemons)
        time.sleep(LOSS_WINDOW_S)
        changes = fleet.collect_changes(fleet.daemons)
    suspicions = sum(change["status"] != "alive" for change in changes)
    print(f"loss of {LOSS_RATE:.0%} for {LOSS_WINDOW_S:.0f} s: {suspicions} false suspicions")


def measure_freezes(fleet: Fleet, freeze_s: float) -> None:
    """Freezes one daemon after another for a short time and prints the false suspicions."""
    for number in range(FREEZE_ROUNDS):
        daemon = fleet.daemons[number % len(fleet.daemons)]
        daemon.send_signal(signal.SIGSTOP)
        time.sleep(freeze_s)
        daemon.send_signal(signal.SIGCONT)
        time.sleep(1.0)
    time.sleep(SETTLE_S)
    changes = fleet.collect_changes(fleet.daemons)
    suspicions = sum(change["status"] != "alive" for change in changes)
    print(f"{FREEZE_ROUNDS} freezes of {freeze_s} s: {suspicions} false suspicions")


def measure_failure(fleet: Fleet, victim: subprocess.Popen, stop_signal: signal.Signals) -> None:
    """Stops a daemon by a signal and prints when the others detected it."""
    started_s = time.monotonic()
    victim.send_signal(stop_signal)
    fleet.daemons.remove(victim)
    time.sleep(3 * SETTLE_S)
    changes = fleet.collect_changes(fleet.daemons)
    victim.kill()
    victim.wait()
    for status in ("suspect", "dead"):
        times = sorted(c["now_s"] - started_s for c in changes if c["status"] == status)
        seen = f"first {times[0]:.2f} s, last {times[-1]:.2f} s" if times else "never"
        print(f"{stop_signal.name}: {status} at {len(times)} of {len(fleet.daemons)}, {seen}")


def measure_codec() -> None:
    """Prints the time to encode and decode a heartbeat, and requests per second of one core."""
    identity = DaemonIdentity("daemon-1", "0123456789ab", "domain-1", "10.0.0.1:7000")
    update = MemberUpdate(identity, MemberStatus.ALIVE, 0)
    state = {"config": {"revision": 1234}, "place": {"waiting": 17, "free": 64}}
    for updates in ((), (update,)):
        message = Heartbeat(True, 0, 9, 8, state, updates)
        measure_message(f"heartbeat with {len(updates)} updates", message)
    measure_message("small request", Echo("a short text"))
    anyio.run(measure_throughput)


def measure_message(label: str, message: Echo | Heartbeat) -> None:
    """Prints the size of one message and the time to encode and decode it."""
    codec = MessageCodec((Echo, *CONTROL_MESSAGES))
    frame = RequestFrame(1, message)
    data = codec.encode(frame)
    decoder = codec.make_decoder(1_000_000)
    encode_us = timeit(lambda: codec.encode(frame), number=CODEC_ROUNDS) / CODEC_ROUNDS * 1e6
    decode_us = timeit(lambda: list(decoder.feed(data)), number=CODEC_ROUNDS) / CODEC_ROUNDS * 1e6
    print(f"{label}: {len(data)} bytes, encode {encode_us:.1f} us, decode {decode_us:.1f} us")


async def measure_throughput() -> None:
    """Prints the request rate between two networks in this process."""

    async def echo(_: DaemonIdentity, message: Echo) -> Echo:
        return message

    async with create_task_group() as task_group:
        first = make_network(0, ())
        address = await task_group.start(first.run)
        second = make_network(1, (address,))
        first.handle_request(Echo, echo)
        await task_group.start(second.run)
        incarnation = first.identity.incarnation
        while await second.wait_for_link(incarnation, 1.0) is None:
            pass
        await send_requests(second, incarnation)
        task_group.cancel_scope.cancel()


async def send_requests(network: TcpPeerNetwork, incarnation: str) -> None:
    """Sends requests from many tasks at once and prints their rate."""

    async def work() -> None:
        for _ in range(THROUGHPUT_REQUESTS // THROUGHPUT_WORKERS):
            await network.request(incarnation, Echo("a short text"), 30.0)

    frames, writes = network.counters.sent_frames, network.counters.writes
    started_cpu_s, started_s = time.process_time(), current_time()
    async with create_task_group() as task_group:
        for _ in range(THROUGHPUT_WORKERS):
            task_group.start_soon(work)
    cpu_s, elapsed_s = time.process_time() - started_cpu_s, current_time() - started_s
    frames_per_write = (network.counters.sent_frames - frames) / (network.counters.writes - writes)
    print(
        f"{THROUGHPUT_REQUESTS} requests and replies, both ends in one process:"
        f" {THROUGHPUT_REQUESTS / cpu_s:.0f} per second of one core,"
        f" {elapsed_s:.1f} s in all, {frames_per_write:.0f} frames per write"
    )


def main(arguments: list[str]) -> None:
    """Runs the requested measurement, or one of its daemons."""
    NullHandler().push_application()
    match arguments:
        case ["daemon", number, seed_address]:
            anyio.run(run_daemon, int(number), seed_address)
        case ["cost"]:
            measure_cost()
        case ["cost-of-full-mesh"]:
            measure_cost(FULL_MESH_VARIABLE)
        case ["detect", count]:
            measure_detection(int(count))
        case ["codec"]:
            measure_codec()
        case _:
            sys.exit(__doc__)


if __name__ == "__main__":
    main(sys.argv[1:])
