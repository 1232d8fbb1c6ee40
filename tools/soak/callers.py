"""Callers that keep their connections open and record what they ask and are told."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from threading import Lock, Thread
from time import monotonic, sleep

from httpx import Client, ConnectError, ConnectTimeout, HTTPError, Limits

from tests.support.platform_cluster import HOST, PREFIX

CALL_TIMEOUT_S = 8.0  # above the queue's timeout, after which a daemon must have answered
KEPT_SHARE = 0.3
MOST_TASKS = 4
MEAN_PAUSE_S = 0.15
MOST_TRIES = 12
RETRY_PAUSE_S = 0.3
NOT_RUN_STATUSES = (429, 503)


@dataclass(slots=True)
class Call:
    """One request and what came of it.

    :param status: of the answer; 0 if none came.
    :param problem: why none came.
    """

    daemon: int
    sent_s: float
    ended_s: float
    status: int
    state: str = ""
    problem: str = ""


@dataclass(slots=True)
class SoakJob:
    """A job and all requests that handed it in."""

    job_id: str
    tasks: int
    is_kept: bool
    calls: list[Call] = field(default_factory=list)

    @property
    def is_accepted(self) -> bool:
        """Whether a daemon has answered that it is taken, or done."""
        return any(call.status == 200 for call in self.calls)


class SoakCallers:
    """Some callers, each a thread with a client of its own.

    :param url_of: gives the URL of a daemon's callers' address.
    """

    def __init__(self, seed: int, count: int, daemons: int, url_of: Callable[[int], str]) -> None:
        self.jobs: list[SoakJob] = []
        self._daemons = daemons
        self._url_of = url_of
        self._lock = Lock()
        self._is_over = False
        self._threads = [
            Thread(target=self._run, args=(Random(f"{seed}-{n}"),)) for n in range(count)
        ]

    def start(self) -> None:
        """Begins to call."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Begins no new job and waits for those under way."""
        self._is_over = True
        for thread in self._threads:
            thread.join()

    def _run(self, random: Random) -> None:
        limits = Limits(max_keepalive_connections=self._daemons)
        with Client(trust_env=False, timeout=CALL_TIMEOUT_S, limits=limits) as client:
            while not self._is_over:
                job = SoakJob(
                    f"{random.getrandbits(64):016x}",
                    random.randint(1, MOST_TASKS),
                    random.random() < KEPT_SHARE,
                )
                with self._lock:
                    self.jobs.append(job)
                self._submit_until_accepted(client, random, job)
                sleep(random.expovariate(1 / MEAN_PAUSE_S))

    def _submit_until_accepted(self, client: Client, random: Random, job: SoakJob) -> None:
        """Hands a job in; one that is kept again and again until its fate is known."""
        for _ in range(MOST_TRIES if job.is_kept else 1):
            call = self._submit(client, random.randrange(self._daemons), job)
            job.calls.append(call)
            if call.status == 200 or call.status in NOT_RUN_STATUSES:
                return
            sleep(RETRY_PAUSE_S)

    def _submit(self, client: Client, daemon: int, job: SoakJob) -> Call:
        step = {"count": job.tasks, "cpu": 20000, "mem-mb": 64, "estimate-ms": 100}
        body = {"spec": "soak", "steps": [step], "best-effort": not job.is_kept}
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
