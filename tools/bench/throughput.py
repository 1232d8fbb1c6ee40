"""Task starts a processor second through a daemon, against direct calls in the same run.

``python -m tools.bench.throughput``: jobs of tasks without run time go in by one call each and out
to stand-in endpoints. The daemon's processor time is read from the system.
"""

import json
from argparse import ArgumentParser
from collections.abc import Awaitable, Callable
from os import sysconf
from pathlib import Path
from tempfile import TemporaryDirectory
from time import process_time

import anyio
from httpx import AsyncClient, Limits

from standins.cluster import SERVICE, Cluster, EndpointPlan
from tools.bench.caller import Caller

ENDPOINTS = 4
SLOTS = 16
TASKS_PER_JOB = 310
JOBS_AT_ONCE = 3
DIRECT_CALLS = 3_000
CALLS_AT_ONCE = 32
BODY = json.dumps({"run_time_s": 0.0}).encode()
TASKS_PATH = "/v1/tasks"
JSON_HEADERS = {"Content-Type": "application/json"}
CLOCK_TICKS_PER_S = sysconf("SC_CLK_TCK")
TICK_FIELDS = slice(11, 13)  # of /proc/<pid>/stat after the name: user and system time


def read_processor_s(pid: int) -> float:
    """Reads how much processor time a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return sum(int(ticks) for ticks in fields[TICK_FIELDS]) / CLOCK_TICKS_PER_S


async def call_many(call: Callable[[], Awaitable[None]]) -> float:
    """Makes all calls, some at once, and returns how many a processor second this made."""
    remaining = DIRECT_CALLS

    async def work() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            await call()

    began_s = process_time()
    async with anyio.create_task_group() as group:
        for _ in range(CALLS_AT_ONCE):
            group.start_soon(work)
    return DIRECT_CALLS / (process_time() - began_s)


async def measure_httpcore(url: str) -> float:
    """Calls an endpoint over single httpcore connections."""
    caller = Caller(url)

    async def call() -> None:
        await caller.send("POST", TASKS_PATH, BODY)

    return await call_many(call)


async def measure_httpx(url: str) -> float:
    """Calls an endpoint with httpx and its pool."""
    limits = Limits(max_connections=CALLS_AT_ONCE, max_keepalive_connections=CALLS_AT_ONCE)
    async with AsyncClient(trust_env=False, limits=limits) as client:

        async def call() -> None:
            await client.post(url + TASKS_PATH, content=BODY, headers=JSON_HEADERS)

        return await call_many(call)


async def run_jobs(url: str, tasks_per_job: int, jobs: int) -> None:
    """Submits jobs without run time, some at once."""
    tasks = [{"id": f"t{number}", "payload": {}} for number in range(tasks_per_job)]
    body = json.dumps({"service": SERVICE, "tasks": tasks}).encode()
    caller = Caller(url)
    remaining = jobs

    async def work() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            answer = await caller.send("POST", "/v1/jobs", body)
            assert json.loads(answer.body)["outcome"] == "done", answer.body[:500]

    async with anyio.create_task_group() as group:
        for _ in range(JOBS_AT_ONCE):
            group.start_soon(work)


def measure_daemon(cluster: Cluster, jobs: int) -> float:
    """Runs jobs through the only daemon."""
    pid = cluster.daemons[0].pid
    anyio.run(run_jobs, cluster.url(0), TASKS_PER_JOB, JOBS_AT_ONCE)
    began_s = read_processor_s(pid)
    anyio.run(run_jobs, cluster.url(0), TASKS_PER_JOB, jobs)
    return jobs * TASKS_PER_JOB / (read_processor_s(pid) - began_s)


def measure(folder: Path, jobs: int) -> dict[str, float]:
    """Measures all ways on one set of endpoints."""
    plans = [EndpointPlan("fd-a", slots=SLOTS) for _ in range(ENDPOINTS)]
    cluster = Cluster(folder, ["fd-a"], plans)
    try:
        cluster.start()
        daemon_per_s = measure_daemon(cluster, jobs)
        url = cluster.endpoints[0].url
        direct_per_s = anyio.run(measure_httpcore, url)
        httpx_per_s = anyio.run(measure_httpx, url)
    finally:
        cluster.stop()
    return {
        "daemon_task_starts_per_processor_s": round(daemon_per_s),
        "httpcore_calls_per_processor_s": round(direct_per_s),
        "httpx_calls_per_processor_s": round(httpx_per_s),
        "daemon_per_httpcore": round(daemon_per_s / direct_per_s, 3),
    }


def main() -> None:
    """Parses the command line, measures and prints one JSON object."""
    parser = ArgumentParser(prog="python -m tools.bench.throughput", description=__doc__)
    parser.add_argument("--jobs", type=int, default=30)
    arguments = parser.parse_args()
    with TemporaryDirectory() as folder:
        print(json.dumps(measure(Path(folder), arguments.jobs)))


if __name__ == "__main__":
    main()
