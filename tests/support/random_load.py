"""Callers that resubmit, duplicate and cancel jobs at random while faults begin and end."""

from concurrent.futures import Future
from random import Random
from threading import Event

from httpx import HTTPError

from tests.support.history import NOT_RUN, UNKNOWN, SubmittedJob, UnansweredCall
from tests.support.recording_caller import RecordingCaller

JOB_TIMEOUT_S = 8.0
MAX_SUBMISSIONS = 4  # of one request, under one or several identifiers
MAX_TASKS = 6
RUN_TIMES_S = (0.02, 0.1, 0.3, 0.6)
DUPLICATE_PROBABILITY, CANCEL_PROBABILITY = 0.2, 0.1
PAUSE_S = 0.05


class RandomLoad:
    """Runs callers that use a new identifier for a request only after the answer "not run".

    :param callers: number of callers that submit concurrently.
    """

    def __init__(self, caller: RecordingCaller, callers: int, seed: int) -> None:
        self._caller = caller
        self._daemons = len(caller.cluster.daemons)
        self._randoms = [Random(seed * 1000 + number) for number in range(callers)]
        self._stopped = Event()
        self._caller_runs: list[Future] = []

    def start(self) -> None:
        """Starts the callers."""
        self._caller_runs = [
            self._caller.start_in_background(self._run, caller_number, random)
            for caller_number, random in enumerate(self._randoms)
        ]

    def stop(self) -> None:
        """Stops the callers and waits until their current requests have ended."""
        self._stopped.set()
        for run in self._caller_runs:
            run.result()

    def _run(self, caller_number: int, random: Random) -> None:
        number = 0
        while not self._stopped.wait(PAUSE_S):
            number += 1
            payloads = {
                f"t{task}": {
                    "run_time_s": random.choice(RUN_TIMES_S),
                    "n": f"{caller_number}-{number}",
                }
                for task in range(random.randint(1, MAX_TASKS))
            }
            self._run_request(f"{caller_number}-{number}", payloads, random)

    def _run_request(self, request: str, payloads: dict, random: Random) -> None:
        job: SubmittedJob | None = None
        for _ in range(MAX_SUBMISSIONS):
            job = job or self._make_job(request, payloads, random)
            if job is None:
                continue
            answer = self._submit(job, random)
            if isinstance(answer, UnansweredCall) or answer.outcome == UNKNOWN:
                continue
            if answer.outcome != NOT_RUN:
                return
            job = None

    def _make_job(self, request: str, payloads: dict, random: Random) -> SubmittedJob | None:
        try:
            job_id = self._caller.mint(random.randrange(self._daemons))
        except HTTPError:
            return None
        return self._caller.note_job(SubmittedJob(job_id, request, payloads))

    def _submit(self, job: SubmittedJob, random: Random):
        concurrent_call = None
        if random.random() < DUPLICATE_PROBABILITY:
            daemon = random.randrange(self._daemons)
            concurrent_call = self._caller.start_in_background(
                self._caller.submit, job, daemon, JOB_TIMEOUT_S
            )
        elif random.random() < CANCEL_PROBABILITY:
            daemon = random.randrange(self._daemons)
            concurrent_call = self._caller.start_in_background(self._caller.cancel, job, daemon)
        answer = self._caller.submit(job, random.randrange(self._daemons), JOB_TIMEOUT_S)
        if concurrent_call is not None:
            concurrent_call.result()
        return answer
