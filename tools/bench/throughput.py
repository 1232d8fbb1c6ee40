"""Measures task starts per processor second of a daemon and compares them with direct calls.

``python -m tools.bench.throughput`` submits jobs of tasks without run time, one call per job, which
a daemon sends to stand-in endpoints. The same run measures direct calls to one of the endpoints.
The daemon's processor time is read from ``/proc``.
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
from tools.bench.caller import HttpClient

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
TICK_FIELDS = slice(11, 13)  # user and system time in /proc/<pid>/stat, after the name


def read_processor_s(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return sum(int(ticks) for ticks in fields[TICK_FIELDS]) / CLOCK_TICKS_PER_S


async def call_many(call: Callable[[], Awaitable[None]]) -> float:
    """Makes :data:`DIRECT_CALLS` calls and returns the calls per processor second.

    :data:`CALLS_AT_ONCE` of the calls run concurrently.
    """
    remaining = DIRECT_CALLS

    async def work() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            await call()

    start_s = process_time()
    async with anyio.create_task_group() as group:
        for _ in range(CALLS_AT_ONCE):
            group.start_soon(work)
    return DIRECT_CALLS / (process_time() - start_s)


async def measure_httpcore(url: str) -> float:
    """Returns the calls per processor second over plain httpcore connections."""
    http_client = HttpClient(url)

    async def call() -> None:
        await http_client.send("POST", TASKS_PATH, BODY)

    return await call_many(call)


async def measure_httpx(url: str) -> float:
    """Returns the calls per processor second with httpx and its connection pool."""
    limits = Limits(max_connections=CALLS_AT_ONCE, max_keepalive_connections=CALLS_AT_ONCE)
    async with AsyncClient(trust_env=False, limits=limits) as client:

        async def call() -> None:
            await client.post(url + TASKS_PATH, content=BODY, headers=JSON_HEADERS)

        return await call_many(call)


async def run_jobs(url: str, tasks_per_job: int, jobs: int) -> None:
    """Submits jobs without run time, :data:`JOBS_AT_ONCE` concurrently."""
    tasks = [{"id": f"t{number}", "payload": {}} for number in range(tasks_per_job)]
    body = json.dumps({"service": SERVICE, "tasks": tasks}).encode()
    http_client = HttpClient(url)
    remaining = jobs

    async def work() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            answer = await http_client.send("POST", "/v1/jobs", body)
            assert json.loads(answer.body)["outcome"] == "done", answer.body[:500]

    async with anyio.create_task_group() as group:
        for _ in range(JOBS_AT_ONCE):
            group.start_soon(work)


def measure_daemon(cluster: Cluster, jobs: int) -> float:
    """Returns the task starts per processor second of the only daemon, after a warm-up."""
    pid = cluster.daemons[0].pid
    anyio.run(run_jobs, cluster.url(0), TASKS_PER_JOB, JOBS_AT_ONCE)
    start_s = read_processor_s(pid)
    anyio.run(run_jobs, cluster.url(0), TASKS_PER_JOB, jobs)
    return jobs * TASKS_PER_JOB / (read_processor_s(pid) - start_s)


def measure(folder: Path, jobs: int) -> dict[str, float]:
    """Measures the daemon and the direct calls on the same endpoints."""
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
