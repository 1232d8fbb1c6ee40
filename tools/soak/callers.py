"""Callers that keep their connections open and record their requests and the answers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from threading import Lock, Thread
from time import monotonic, sleep

from httpx import Client, ConnectError, ConnectTimeout, HTTPError, Limits

from tests.support.platform_cluster import HOST, PREFIX

CALL_TIMEOUT_S = 8.0  # longer than the queue's timeout, by which a daemon must have answered
DURABLE_SHARE = 0.3
MAX_TASKS_PER_JOB = 4
MEAN_PAUSE_S = 0.15
MAX_ATTEMPTS = 12
RETRY_DELAY_S = 0.3
NOT_RUN_STATUSES = (429, 503)


@dataclass(slots=True)
class Call:
    """One request and its result.

    :param status: status of the answer; 0 if there was none.
    :param state: state of the job in the answer; empty if there was none.
    :param problem: why there was no answer.
    """

    daemon: int
    sent_s: float
    ended_s: float
    status: int
    state: str = ""
    problem: str = ""


@dataclass(slots=True)
class SoakJob:
    """A job and all requests that submitted it."""

    job_id: str
    tasks: int
    is_durable: bool
    calls: list[Call] = field(default_factory=list)

    @property
    def is_accepted(self) -> bool:
        """Whether a daemon has reported that the job is accepted or completed."""
        return any(call.status == 200 for call in self.calls)


class SoakCallers:
    """A number of callers, each a thread with its own HTTP client.

    :param url_of: returns the URL at which callers reach a daemon.
    """

    def __init__(self, seed: int, count: int, daemons: int, url_of: Callable[[int], str]) -> None:
        self.jobs: list[SoakJob] = []
        self._daemons = daemons
        self._url_of = url_of
        self._lock = Lock()
        self._is_stopping = False
        self._threads = [
            Thread(target=self._run, args=(Random(f"{seed}-{n}"),)) for n in range(count)
        ]

    def start(self) -> None:
        """Starts the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops submitting new jobs and waits for the calls in progress."""
        self._is_stopping = True
        for thread in self._threads:
            thread.join()

    def _run(self, random: Random) -> None:
        limits = Limits(max_keepalive_connections=self._daemons)
        with Client(trust_env=False, timeout=CALL_TIMEOUT_S, limits=limits) as client:
            while not self._is_stopping:
                job = SoakJob(
                    f"{random.getrandbits(64):016x}",
                    random.randint(1, MAX_TASKS_PER_JOB),
                    random.random() < DURABLE_SHARE,
                )
                with self._lock:
                    self.jobs.append(job)
                self._submit_until_accepted(client, random, job)
                sleep(random.expovariate(1 / MEAN_PAUSE_S))

    def _submit_until_accepted(self, client: Client, random: Random, job: SoakJob) -> None:
        """Submits a job once, or a durable job until it is accepted or refused as not run.

        A durable job is submitted at most :data:`MAX_ATTEMPTS` times.
        """
        for _ in range(MAX_ATTEMPTS if job.is_durable else 1):
            call = self._submit(client, random.randrange(self._daemons), job)
            job.calls.append(call)
            if call.status == 200 or call.status in NOT_RUN_STATUSES:
                return
            sleep(RETRY_DELAY_S)

    def _submit(self, client: Client, daemon: int, job: SoakJob) -> Call:
        step = {"count": job.tasks, "cpu": 20000, "mem-mb": 64, "estimate-ms": 100}
        body = {"spec": "soak", "steps": [step], "best-effort": not job.is_durable}
        sent_s = monotonic()
        try:
            answer = client.post(
                f"{self._url_of(daemon)}{PREFIX}{job.job_id}", json=body, headers={"Host": HOST}
            )
        except (ConnectError, ConnectTimeout):
            return Call(daemon, sent_s, monotonic(), 0, problem="not connected")
        except HTTPError as error:
            return Call(daemon, sent_s, monotonic(), 0, problem=type(error).__name__)
        state = str(answer.json().get("state", "")) if answer.status_code == 200 else ""
        return Call(daemon, sent_s, monotonic(), answer.status_code, state)
