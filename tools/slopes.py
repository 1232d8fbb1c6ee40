"""Measures how the costs of a daemon's roles scale with size, for docs/CAPACITY.md.

Usage: python -m tools.slopes [--only NAME]

Each cost is measured at three or more sizes on this machine and fitted with a line by least
squares. The last line of the output is a JSON object.
"""

import gc
import json
import time
import tracemalloc
from argparse import ArgumentParser
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from itertools import count
from mmap import PAGESIZE
from pathlib import Path
from random import Random
from statistics import median
from tempfile import TemporaryDirectory

import anyio
from logbook import NullHandler

from berylproxy.clock import MonotonicClock
from berylproxy.collect.job import Job
from berylproxy.deduplicate.claims import KEY_PREFIX, ClaimRegistry, hash_key
from berylproxy.models import DaemonIdentity, Outcome, Submission, Task, TaskResult
from berylproxy.peers.codec import MessageCodec, NoticeFrame
from berylproxy.place.holder import Holder
from berylproxy.place.ledger import SlotLedger
from berylproxy.place.messages import (
    PLACE_MESSAGES,
    DemandEntry,
    GrantSlots,
    HeldSlot,
    HolderSummary,
    ReleaseSlots,
    SlotGrant,
    SlotRelease,
    UpdateDemand,
)
from berylproxy.records.envelope import Envelope, encode_envelope, make_key
from berylproxy.records.messages import FetchRecords, Records
from berylproxy.records.models import Endpoint, Service
from berylproxy.records.spread import RecordReplicator
from berylproxy.records.view import RecordView
from berylproxy.store.port import Entry, Listing
from standins.cluster import Cluster, EndpointPlan
from tests.support.memory_store import MemoryStore
from tests.support.records_world import ENDPOINT_V2, POOL, TEAM
from tools.bench.throughput import JOBS_AT_ONCE, read_processor_s, run_jobs
from tools.measure_membership import SETTLE_S, Fleet, average_rates, fit_line

DAEMON_COUNTS = (4, 8, 16)
MEMBERSHIP_WINDOW_S = 10.0
RECORD_COUNTS = (200, 800, 1_861)
RECORDS_PER_TEAM = 7
FAILURE_DOMAINS = 4
CHANGE_ROUNDS = 10
ENDPOINT_COUNTS = (8, 32, 128, 400)
SLOTS = 8
LEDGER_LOAD = 0.7
LEDGER_DECISIONS = 256
LEDGER_BATCHES = (1, 16, 128)
RUN_TIME_S = 0.3
MESSAGE_SIZES = (1, 8, 32)
TASKS_PER_JOB = (10, 100, 310)
TASK_STARTS = 3_100
TASK_ENDPOINTS = 4
TASK_SLOTS = 16
ANSWER_BODY = b"x" * 100
ANSWER_JOBS = 100
CLAIM_RATES_PER_S = (10, 50, 200)
CLAIM_WINDOW_S = 5.0
REPEATS = 5
US_PER_S = 1e6
BYTES_PER_MB = 1024 * 1024

Points = dict[str, list[float]]


@dataclass(frozen=True, slots=True)
class Slope:
    """A line fitted to the costs at several sizes.

    :param quantity: name of the cost.
    :param per: unit of the sizes.
    :param largest_residual: largest distance of a cost from the line.
    """

    quantity: str
    per: str
    sizes: list[float]
    costs: list[float]
    slope: float
    intercept: float
    largest_residual: float


def fit_slope(quantity: str, per: str, sizes: list[float], costs: list[float]) -> Slope:
    """Fits a line to the costs and determines the largest residual."""
    slope, intercept = fit_line(sizes, costs)
    residuals = [
        abs(cost - intercept - slope * size) for size, cost in zip(sizes, costs, strict=True)
    ]
    return Slope(quantity, per, sizes, costs, slope, intercept, max(residuals))


def fit_points(per: str, sizes: tuple[int, ...], points: Points) -> list[Slope]:
    """Fits a line to the costs of each quantity."""
    return [fit_slope(quantity, per, list(sizes), costs) for quantity, costs in points.items()]


def add_point(points: Points, **costs: float) -> None:
    """Appends the costs of the next size."""
    for quantity, cost in costs.items():
        points.setdefault(quantity, []).append(cost)


def measure_cpu_us(action: Callable[[], object]) -> float:
    """Runs an action :data:`REPEATS` times and returns the median of its processor times."""
    times_s = []
    for _ in range(REPEATS):
        gc.collect()
        start_s = time.process_time()
        action()
        times_s.append(time.process_time() - start_s)
    return median(times_s) * US_PER_S


def measure_memory_bytes(make: Callable[[], object]) -> int:
    """Creates an object and returns the memory that it retains."""
    gc.collect()
    tracemalloc.start()
    created = make()
    gc.collect()
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return memory_bytes


def read_resident_mb(pid: int) -> float:
    """Returns the current resident memory of a process.

    The kernel's maximum isn't used, as it starts at the value of the parent process.
    """
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGESIZE / BYTES_PER_MB


def measure_daemons() -> list[Slope]:
    """Measures control traffic, processor time and memory of idle members, one process each."""
    points: Points = {}
    for daemons in DAEMON_COUNTS:
        with Fleet(daemons) as fleet:
            time.sleep(SETTLE_S)
            before = [fleet.read_counters(daemon) for daemon in fleet.daemons]
            time.sleep(MEMBERSHIP_WINDOW_S)
            after = [fleet.read_counters(daemon) for daemon in fleet.daemons]
            resident_mb = max(read_resident_mb(daemon.pid) for daemon in fleet.daemons)
        payload, with_headers, processor_percent = average_rates(before, after)
        add_point(
            points,
            sent_payload_bytes_per_s=payload,
            sent_bytes_per_s_with_headers=with_headers,
            processor_percent=processor_percent,
            resident_mb=resident_mb,
        )
    return fit_points("daemon", DAEMON_COUNTS, points)


def make_record(number: int, revision: int) -> Entry:
    """Builds the record of an endpoint or, for every :data:`RECORDS_PER_TEAM`-th number, a team."""
    if number % RECORDS_PER_TEAM == 0:
        kind, name, record = "teams", f"team-{number}", TEAM
    else:
        domain = f"domain-{number % FAILURE_DOMAINS}"
        kind, name = "endpoints", f"endpoint-{number}"
        record = ENDPOINT_V2 | {"failure_domain": domain}
    value = encode_envelope(Envelope("0123456789abcdef", 0, record))
    return Entry(make_key(kind, name), value, revision)


def make_listing(records: int) -> Listing:
    """Builds a listing of the store with the given number of records."""
    pool = encode_envelope(Envelope("0123456789abcdef", 0, POOL))
    entries = [Entry(make_key("pools", "oak"), pool, 1)]
    entries += [make_record(number, number + 1) for number in range(1, records)]
    return Listing(records, tuple(entries))


def load_view(listing: Listing) -> RecordView:
    """Creates a view and applies a full listing to it."""
    view = RecordView()
    view.apply_listing(listing)
    return view


def count_full_fetch_bytes(view: RecordView) -> int:
    """Returns the payload bytes of a full fetch of all records by another daemon."""
    codec = MessageCodec((FetchRecords, Records))
    replicator = RecordReplicator(view, None, Random(1))
    fetched_bytes = 0
    after_key = ""
    while True:
        reply = replicator.handle_fetch(FetchRecords(b"", after_key))
        fetched_bytes += len(codec.encode(NoticeFrame(reply)))
        after_key = reply.next_after_key
        if not after_key:
            return fetched_bytes


def measure_change_us(view: RecordView, revisions: Iterator[int]) -> float:
    """Applies single changes and returns the processor time of one."""

    def apply_changes() -> None:
        for _ in range(CHANGE_ROUNDS):
            view.apply([make_record(1, next(revisions))], [])

    return measure_cpu_us(apply_changes) / CHANGE_ROUNDS


def measure_records() -> list[Slope]:
    """Measures a view's full load, a single change, its memory and a full fetch."""
    points: Points = {}
    for records in RECORD_COUNTS:
        listing = make_listing(records)
        load_us = measure_cpu_us(lambda listing=listing: load_view(listing))
        memory_bytes = measure_memory_bytes(lambda listing=listing: load_view(listing))
        view = load_view(listing)
        revisions = count(records + 1)
        change_us = measure_change_us(view, revisions)
        identity = DaemonIdentity("d", "0123456789ab", "domain-0", "")
        holder = Holder(identity, MonotonicClock(), lambda *_: None)
        view.subscribe(holder.configure)
        add_point(
            points,
            full_load_us=load_us,
            one_change_us=change_us,
            one_change_us_with_all_groups_held=measure_change_us(view, revisions),
            view_memory_bytes_beside_values=memory_bytes,
            stored_bytes=sum(len(entry.key) + len(entry.value) for entry in listing.entries),
            full_fetch_bytes=count_full_fetch_bytes(view),
        )
    return fit_points("record", RECORD_COUNTS, points)


class LoadedLedger:
    """A slot ledger under a constant load, on a simulated clock.

    :param batch: number of tasks that end, and of tasks requested, between two decisions.
    """

    def __init__(self, endpoints: int, batch: int) -> None:
        names = [f"e{number}" for number in range(endpoints)]
        self._ledger = SlotLedger("f" * 12, "p", "fd", count(1))
        self._ledger.configure(
            {
                name: Endpoint(name, "p", "http://[::1]:1", SLOTS, 64, {}, "o", "o", "fd", False)
                for name in names
            },
            {"s": Service("s", ("p",), 30.0, RUN_TIME_S, 1000, False, 10.0)},
            {},
            {},
        )
        self._busy_slots = int(endpoints * SLOTS * LEDGER_LOAD)
        self.batch = min(batch, self._busy_slots)
        self._running: deque[SlotGrant] = deque()
        self._last_grant = 0
        self._now_s = 100.0
        while len(self._running) < self._busy_slots:
            self._update_demand(self._busy_slots - len(self._running))

    def step(self) -> None:
        """Releases a batch of slots, requests as many and grants slots, as a holder does."""
        self._now_s += self.batch * RUN_TIME_S / self._busy_slots
        for _ in range(min(self.batch, len(self._running))):
            grant = self._running.popleft()
            release = SlotRelease("f" * 12, grant.sequence, grant.endpoint, "s", "done", RUN_TIME_S)
            self._ledger.release(release, self._now_s)
        self._update_demand(self._busy_slots - len(self._running))

    def _update_demand(self, tasks: int) -> None:
        demand = [DemandEntry("s", "t", (), tasks, 0.0)]
        self._ledger.update_demand("home", demand, self._last_grant, self._now_s)
        grants = [addressed.grant for addressed in self._ledger.grant_slots(self._now_s)]
        if grants:
            self._last_grant = grants[-1].sequence
        self._running += grants
        self._ledger.summarize(self._now_s)


def measure_ledger() -> list[Slope]:
    """Measures the memory of a ledger and the processor time of a placement decision.

    The time includes the update of the demand, the release and the summary.
    """
    points: Points = {}
    for endpoints in ENDPOINT_COUNTS:
        for batch in LEDGER_BATCHES:
            ledger = LoadedLedger(endpoints, batch)
            steps = LEDGER_DECISIONS // ledger.batch

            def run_steps(ledger: LoadedLedger = ledger, steps: int = steps) -> None:
                for _ in range(steps):
                    ledger.step()

            decision_us = measure_cpu_us(run_steps) / (steps * ledger.batch)
            add_point(points, **{f"decision_us_in_batches_of_{batch}": decision_us})
        memory_bytes = measure_memory_bytes(lambda endpoints=endpoints: LoadedLedger(endpoints, 1))
        add_point(points, ledger_memory_bytes=memory_bytes)
    return fit_points("endpoint", ENDPOINT_COUNTS, points)


def measure_messages() -> list[Slope]:
    """Measures the payload bytes of the messages about slots."""
    codec = MessageCodec(PLACE_MESSAGES)
    issuer = "f" * 12
    summary = HolderSummary("pool", "domain-1", 9, 0, 192, 640.5, (0.3123,) * 8)
    held_slot = HeldSlot(issuer, 1_000_000, "endpoint-100", "enquiry", "team-100")
    grant = SlotGrant(1_000_000, "endpoint-100", "enquiry", "team-100", ())
    release = SlotRelease(issuer, 1_000_000, "endpoint-100", "enquiry", "done", 0.3123)
    entry = DemandEntry("enquiry", "team-100", (), 9, 0.0123)
    points: Points = {}
    for size in MESSAGE_SIZES:
        messages = {
            "demand_bytes": UpdateDemand("pool", "domain-1", (entry,) * size, 1_000_000),
            "held_report_bytes": UpdateDemand(
                "pool", "domain-1", (), 1_000_000, (held_slot,) * size
            ),
            "grants_bytes": GrantSlots("pool", "domain-1", (grant,) * size, summary),
            "releases_bytes": ReleaseSlots("pool", "domain-1", (release,) * size),
        }
        lengths = {name: len(codec.encode(NoticeFrame(m))) for name, m in messages.items()}
        add_point(points, **lengths, summary_bytes=len(codec.encode(NoticeFrame(summary))))
    return fit_points("item", MESSAGE_SIZES, points)


def measure_job_us(cluster: Cluster, tasks_per_job: int) -> float:
    """Returns a daemon's processor time for one job."""
    pid = cluster.daemons[0].pid
    jobs = TASK_STARTS // tasks_per_job
    start_s = read_processor_s(pid)
    anyio.run(run_jobs, cluster.url(0), tasks_per_job, jobs)
    return (read_processor_s(pid) - start_s) * US_PER_S / jobs


def make_finished_jobs(tasks_per_job: int) -> list[Job]:
    """Creates finished jobs as their home retains them."""
    jobs = []
    for number in range(ANSWER_JOBS):
        tasks = tuple(Task(f"t{task}", b"", "", {}) for task in range(tasks_per_job))
        submission = Submission(f"job-{number}", "", "t", "s", tasks, 30.0, False, "")
        job = Job(submission, 0.0, 30.0)
        for task in tasks:
            body = bytes(bytearray(ANSWER_BODY))
            job.add_result(TaskResult(task.task_id, Outcome.DONE, body=body), 1.0)
        job.drop_tasks()
        jobs.append(job)
    return jobs


def measure_tasks() -> list[Slope]:
    """Measures a job's processor time and the memory of its retained answer by task count."""
    points: Points = {}
    plans = [EndpointPlan("fd-a", slots=TASK_SLOTS) for _ in range(TASK_ENDPOINTS)]
    with TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), ["fd-a"], plans)
        try:
            cluster.start()
            anyio.run(run_jobs, cluster.url(0), max(TASKS_PER_JOB), JOBS_AT_ONCE)
            for tasks_per_job in TASKS_PER_JOB:
                add_point(points, job_us=measure_job_us(cluster, tasks_per_job))
                resident_mb = read_resident_mb(cluster.daemons[0].pid)
                add_point(points, daemon_resident_mb=resident_mb)
        finally:
            cluster.stop()
    for tasks_per_job in TASKS_PER_JOB:
        retained_bytes = measure_memory_bytes(lambda tasks=tasks_per_job: make_finished_jobs(tasks))
        add_point(points, kept_answer_bytes=retained_bytes / ANSWER_JOBS)
    return fit_points("task", TASKS_PER_JOB, points)


class MeteredStore(MemoryStore):
    """An in-memory store that counts the written bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.written_bytes = 0

    def write(self, key: str, value: bytes, expected_revision: int) -> int:
        """Counts the bytes and writes the value."""
        self.written_bytes += len(value)
        return super().write(key, value, expected_revision)


async def claim_at_rate(store: MeteredStore, rate_per_s: int) -> None:
    """Claims keys at a constant rate for :data:`CLAIM_WINDOW_S`."""
    registry = ClaimRegistry(store, MonotonicClock())
    async with anyio.create_task_group() as group:
        for number in range(int(rate_per_s * CLAIM_WINDOW_S)):
            key_hash = hash_key("team", str(number))
            group.start_soon(registry.claim, key_hash, f"0123456789ab-{number}-0123456789abcdef")
            await anyio.sleep(1 / rate_per_s)


async def measure_claim_rate(rate_per_s: int) -> dict[str, float]:
    """Returns the load that claims at a rate put on the store."""
    store = MeteredStore()
    start_s, start_cpu_s = time.monotonic(), time.process_time()
    await claim_at_rate(store, rate_per_s)
    elapsed_s, cpu_s = time.monotonic() - start_s, time.process_time() - start_cpu_s
    listing = await store.list_prefix(KEY_PREFIX)
    claims = rate_per_s * CLAIM_WINDOW_S
    return {
        "store_writes_per_s": store.calls["compare_and_swap"] / elapsed_s,
        "store_written_bytes_per_s": store.written_bytes / elapsed_s,
        "kept_bytes_of_all_claims": sum(len(entry.value) for entry in listing.entries),
        "kept_bytes_per_claim": sum(len(entry.value) for entry in listing.entries) / claims,
        "processor_percent": 100 * cpu_s / elapsed_s,
        "reached_claims_per_s": claims / elapsed_s,
    }


def measure_claims() -> list[Slope]:
    """Measures the store's load by the rate of keyed jobs, starting with empty buckets."""
    points: Points = {}
    for rate_per_s in CLAIM_RATES_PER_S:
        add_point(points, **anyio.run(measure_claim_rate, rate_per_s))
    return fit_points("keyed job/s", CLAIM_RATES_PER_S, points)


MEASUREMENTS = {
    "records": measure_records,
    "ledger": measure_ledger,
    "messages": measure_messages,
    "claims": measure_claims,
    "tasks": measure_tasks,
    "daemons": measure_daemons,
}


def print_slopes(name: str, slopes: list[Slope]) -> None:
    """Prints the fitted costs of one measurement."""
    print(f"{name}, at {', '.join(f'{size:g}' for size in slopes[0].sizes)}:", flush=True)
    for slope in slopes:
        costs = ", ".join(f"{cost:,.4g}" if cost < 1e4 else f"{cost:,.0f}" for cost in slope.costs)
        print(
            f"  {slope.quantity}: {costs}; fit {slope.intercept:,.4g} + {slope.slope:,.4g}"
            f" per {slope.per}, largest residual {slope.largest_residual:,.3g}",
            flush=True,
        )


def main() -> None:
    """Parses the command line, runs the measurements and prints their results."""
    parser = ArgumentParser(prog="python -m tools.slopes", description=__doc__)
    parser.add_argument("--only", choices=MEASUREMENTS)
    arguments = parser.parse_args()
    NullHandler().push_application()
    report = {}
    for name in [arguments.only] if arguments.only else MEASUREMENTS:
        slopes = MEASUREMENTS[name]()
        print_slopes(name, slopes)
        report[name] = [asdict(slope) for slope in slopes]
    print(json.dumps(report))


if __name__ == "__main__":
    main()
