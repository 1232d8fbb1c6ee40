"""Callers that submit job after job to daemons that are ready."""

from concurrent.futures import Future
from random import Random
from threading import Event, Lock
from time import monotonic
from typing import Any

from httpx import HTTPError

from tests.support.history import LostCall, SubmittedJob
from tests.support.recording_caller import RecordingCaller

READINESS_MAX_AGE_S = 0.1  # how often a balancer looks
SEED = 1


class SteadyLoad:
    """Runs callers that take an identifier from one ready daemon and submit to another one.

    :param callers: how many submit at once.
    :param payloads: of each job.
    """

    def __init__(self, caller: RecordingCaller, callers: int, payloads: dict[str, Any]) -> None:
        self._caller = caller
        self._callers = callers
        self._payloads = payloads
        self._stopped = Event()
        self._lock = Lock()
        self._random = Random(SEED)
        self._ready: list[int] = []
        self._checked_s = 0.0
        self._runs: list[Future] = []

    def start(self) -> None:
        """Starts the callers."""
        self._runs = [self._caller.begin(self._submit_jobs, name) for name in range(self._callers)]

    def stop(self) -> list[Future]:
        """Lets the callers end after their present job; returns what to wait for."""
        self._stopped.set()
        return self._runs

    def _submit_jobs(self, name: int) -> None:
        number = 0
        while not self._stopped.is_set():
            number += 1
            home, daemon = self._choose(), self._choose()
            try:
                job_id = self._caller.mint(home)
            except HTTPError as error:
                self._note_lost(home, error)
                continue
            job = SubmittedJob(job_id, f"{name}-{number}", self._payloads)
            self._caller.submit(self._caller.note_job(job), daemon)

    def _choose(self) -> int:
        with self._lock:
            if monotonic() - self._checked_s > READINESS_MAX_AGE_S:
                daemons = range(len(self._caller.cluster.daemons))
                self._ready = [each for each in daemons if self._caller.cluster.is_ready(each)]
                self._checked_s = monotonic()
            return self._random.choice(self._ready)

    def _note_lost(self, daemon: int, error: HTTPError) -> None:
        now_s = monotonic()
        lost = LostCall("", f"d{daemon}", now_s, now_s, repr(error))
        self._caller.history.lost_calls.append(lost)
