"""Callers that continuously submit jobs to daemons that are ready."""

from concurrent.futures import Future
from random import Random
from threading import Event, Lock
from time import monotonic
from typing import Any

from httpx import HTTPError

from tests.support.history import SubmittedJob, UnansweredCall
from tests.support.recording_caller import RecordingCaller

READINESS_MAX_AGE_S = 0.1  # interval of a load balancer's readiness checks
SEED = 1


class SteadyLoad:
    """Runs callers that request an identifier from one ready daemon and submit to another one.

    :param callers: number of callers that submit concurrently.
    :param payloads: payloads of each job by task identifier.
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
        self._caller_runs: list[Future] = []

    def start(self) -> None:
        """Starts the callers."""
        self._caller_runs = [
            self._caller.start_in_background(self._submit_jobs, caller_number)
            for caller_number in range(self._callers)
        ]

    def stop(self) -> list[Future]:
        """Stops the callers after their current jobs; returns futures that end with the callers."""
        self._stopped.set()
        return self._caller_runs

    def _submit_jobs(self, caller_number: int) -> None:
        number = 0
        while not self._stopped.is_set():
            number += 1
            home, daemon = self._choose_ready_daemon(), self._choose_ready_daemon()
            try:
                job_id = self._caller.mint(home)
            except HTTPError as error:
                self._note_unanswered_call(home, error)
                continue
            job = SubmittedJob(job_id, f"{caller_number}-{number}", self._payloads)
            self._caller.submit(self._caller.note_job(job), daemon)

    def _choose_ready_daemon(self) -> int:
        with self._lock:
            if monotonic() - self._checked_s > READINESS_MAX_AGE_S:
                daemons = range(len(self._caller.cluster.daemons))
                self._ready = [
                    daemon for daemon in daemons if self._caller.cluster.is_ready(daemon)
                ]
                self._checked_s = monotonic()
            return self._random.choice(self._ready)

    def _note_unanswered_call(self, daemon: int, error: HTTPError) -> None:
        now_s = monotonic()
        unanswered = UnansweredCall("", f"d{daemon}", now_s, now_s, repr(error))
        self._caller.history.unanswered_calls.append(unanswered)
