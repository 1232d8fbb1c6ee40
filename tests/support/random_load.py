"""Callers that resubmit, duplicate and cancel while faults come and go."""

from concurrent.futures import Future
from random import Random
from threading import Event

from httpx import HTTPError

from tests.support.history import NOT_RUN, UNKNOWN, LostCall, SubmittedJob
from tests.support.recording_caller import RecordingCaller

JOB_TIMEOUT_S = 8.0
MAX_SUBMISSIONS = 4  # of one request, under one or more identifiers
MAX_TASKS = 6
RUN_TIMES_S = (0.02, 0.1, 0.3, 0.6)
DUPLICATE_SHARE, CANCEL_SHARE = 0.2, 0.1
PAUSE_S = 0.05


class RandomLoad:
    """Runs callers that keep to the rules: a new identifier only after "not run".

    :param callers: how many submit at once.
    """

    def __init__(self, caller: RecordingCaller, callers: int, seed: int) -> None:
        self._caller = caller
        self._daemons = len(caller.cluster.daemons)
        self._randoms = [Random(seed * 1000 + number) for number in range(callers)]
        self._stopped = Event()
        self._runs: list[Future] = []

    def start(self) -> None:
        """Starts the callers."""
        self._runs = [
            self._caller.begin(self._run, name, random) for name, random in enumerate(self._randoms)
        ]

    def stop(self) -> None:
        """Waits for the callers' present requests."""
        self._stopped.set()
        for run in self._runs:
            run.result()

    def _run(self, name: int, random: Random) -> None:
        number = 0
        while not self._stopped.wait(PAUSE_S):
            number += 1
            payloads = {
                f"t{task}": {"run_time_s": random.choice(RUN_TIMES_S), "n": f"{name}-{number}"}
                for task in range(random.randint(1, MAX_TASKS))
            }
            self._request(f"{name}-{number}", payloads, random)

    def _request(self, request: str, payloads: dict, random: Random) -> None:
        job: SubmittedJob | None = None
        for _ in range(MAX_SUBMISSIONS):
            job = job or self._make_job(request, payloads, random)
            if job is None:
                continue
            answer = self._submit(job, random)
            if isinstance(answer, LostCall) or answer.outcome == UNKNOWN:
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
        other = None
        if random.random() < DUPLICATE_SHARE:
            daemon = random.randrange(self._daemons)
            other = self._caller.begin(self._caller.submit, job, daemon, JOB_TIMEOUT_S)
        elif random.random() < CANCEL_SHARE:
            daemon = random.randrange(self._daemons)
            other = self._caller.begin(self._caller.cancel, job, daemon)
        answer = self._caller.submit(job, random.randrange(self._daemons), JOB_TIMEOUT_S)
        if other is not None:
            other.result()
        return answer
