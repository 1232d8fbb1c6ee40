"""A caller that records its calls and their answers."""

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from threading import Lock
from time import monotonic
from typing import Any

from httpx import Client, HTTPError, Limits, Response

from tests.support.cluster import SERVICE, Cluster
from tests.support.history import CallerAnswer, History, SubmittedJob, UnansweredCall

CALL_TIMEOUT_S = 40.0
MAX_CALLS_AT_ONCE = 64
SINGLE_TASK_ID = "request"


class RecordingCaller:
    """Calls any daemon and adds each answer or unanswered call to the history.

    :param timeout_s: time after which the caller stops waiting for an answer.
    """

    def __init__(
        self, cluster: Cluster, history: History, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self.cluster = cluster
        self.history = history
        self._lock = Lock()
        self._executor = ThreadPoolExecutor(MAX_CALLS_AT_ONCE)
        self._client = Client(
            trust_env=False,
            timeout=timeout_s,
            limits=Limits(max_connections=MAX_CALLS_AT_ONCE, max_keepalive_connections=0),
        )

    def close(self) -> None:
        """Waits for all calls to end."""
        self._executor.shutdown()
        self._client.close()

    def start_in_background(self, call: Callable[..., Any], *arguments: Any) -> Future:
        """Runs a call in the background."""
        return self._executor.submit(call, *arguments)

    def mint(self, daemon: int) -> str:
        """Requests an identifier whose home is the daemon."""
        response = self._client.post(f"{self.cluster.url(daemon)}/v1/job-ids", json={})
        response.raise_for_status()
        return response.json()["ids"][0]

    def note_job(self, job: SubmittedJob) -> SubmittedJob:
        """Adds a job to the history; must be called before the job is submitted."""
        with self._lock:
            self.history.jobs[job.job_id] = job
        return job

    def submit(
        self, job: SubmittedJob, daemon: int, timeout_s: float | None = None
    ) -> CallerAnswer | UnansweredCall:
        """Submits or resubmits a job and waits for its answer."""
        tasks = [{"id": task_id, "payload": value} for task_id, value in job.payloads.items()]
        body = {
            "id": job.job_id,
            "service": SERVICE,
            "tasks": tasks,
            "repeatable": job.repeatable,
            "timeout_s": timeout_s,
        }
        return self._call(job, daemon, "POST", "/v1/jobs", json=body)

    def send_request(self, job: SubmittedJob, daemon: int) -> CallerAnswer | UnansweredCall:
        """Sends a single request under an identifier."""
        return self._call(
            job,
            daemon,
            "POST",
            f"/v1/services/{SERVICE}/requests",
            json=job.payloads[SINGLE_TASK_ID],
            headers={"Berylproxy-Request-Id": job.job_id},
        )

    def fetch(
        self, job: SubmittedJob, daemon: int, wait_s: float = 0.0
    ) -> CallerAnswer | UnansweredCall:
        """Requests a job's answer."""
        return self._call(job, daemon, "GET", f"/v1/jobs/{job.job_id}?wait_s={wait_s}")

    def cancel(self, job: SubmittedJob, daemon: int) -> CallerAnswer | UnansweredCall:
        """Cancels a job."""
        return self._call(job, daemon, "DELETE", f"/v1/jobs/{job.job_id}")

    def _call(
        self, job: SubmittedJob, daemon: int, method: str, path: str, **options: Any
    ) -> CallerAnswer | UnansweredCall:
        daemon_name = f"d{daemon}"
        submitted_s = monotonic()
        try:
            response = self._client.request(method, self.cluster.url(daemon) + path, **options)
            answer = _read_answer(job, daemon_name, submitted_s, response)
        except (HTTPError, ValueError) as error:
            unanswered = UnansweredCall(
                job.job_id, daemon_name, submitted_s, monotonic(), repr(error)
            )
            with self._lock:
                self.history.unanswered_calls.append(unanswered)
            return unanswered
        with self._lock:
            self.history.answers.append(answer)
        return answer


def _read_answer(
    job: SubmittedJob, daemon: str, submitted_s: float, response: Response
) -> CallerAnswer:
    content = response.json()
    outcome = response.headers.get("Berylproxy-Outcome", "")
    if "results" in content:
        results = tuple((result["id"], result["payload"]) for result in content["results"])
    else:
        results = ((SINGLE_TASK_ID, content),) if outcome == "done" else ()
    code = response.headers.get("Berylproxy-Code", "")
    return CallerAnswer(job.job_id, daemon, submitted_s, monotonic(), outcome, code, results)
