"""Client for callers: submits jobs and single requests, and fetches or cancels jobs."""

import json
from collections.abc import Mapping, Sequence
from math import ceil
from random import Random
from types import TracebackType
from urllib.parse import quote

from httpx import AsyncBaseTransport

from berylproxy.client.answers import (
    read_job_answer,
    read_request_answer,
)
from berylproxy.client.connection import Call, ConnectionPool
from berylproxy.client.errors import (
    AnswerLostError,
    CannotConnectError,
    ClientError,
    NotRunError,
    OutcomeUnknownError,
)
from berylproxy.client.identifiers import IdentifierSource
from berylproxy.client.models import JobAnswer, JobState, JobTask, RequestAnswer
from berylproxy.client.retries import EventLoopClock, RetryBudget, RetryPolicy, WaitingClock
from berylproxy.client.submission import CallCodec, Submitter
from berylproxy.constants import (
    JSON_CONTENT_TYPE,
    REPEATABLE_HEADER,
    REQUEST_ID_HEADER,
    TEAM_HEADER,
    TIMEOUT_HEADER,
)

DEFAULT_TEAM = "default"  # the only valid team where no teams are configured
DEFAULT_TIMEOUT_S = 30.0
POLL_WAIT_S = 5.0  # server-side wait of one poll; bounds the time lost on a dead connection
MIN_POLL_INTERVAL_S = 0.05
# After this time, the request is resent under the same identifier, which attaches to its first run.
REQUEST_ATTEMPT_TIMEOUT_S = 10.0
ANSWER_GRACE_S = 2.0  # time for the daemon's final answer to arrive after the job's own timeout
JOB_NOT_FOUND_CODE = "job_not_found"


class Client:
    """Submits work to the daemons and returns complete answers only.

    :param base_urls: base URLs of the daemons, in order of preference.
    :param team: name of the submitting team.
    :param token: the team's token; empty if it has none.
    :param retry_policy: limits and delays of retries.
    :param random: random source of the retry jitter.
    :param clock: replaces the event loop's clock in tests.
    :param transport: replaces the HTTP transport in tests.

    Example::

        async with Client(["http://10.0.0.4:8080"], team="savinja") as client:
            answer = await client.submit("enquiry", [JobTask("t1", {"branch": 7})])
    """

    def __init__(
        self,
        base_urls: Sequence[str],
        *,
        team: str = DEFAULT_TEAM,
        token: str = "",
        retry_policy: RetryPolicy | None = None,
        random: Random | None = None,
        clock: WaitingClock | None = None,
        transport: AsyncBaseTransport | None = None,
    ) -> None:
        if not base_urls:
            raise CannotConnectError(
                "no daemon's base URL is given", hint="give at least one base URL"
            )
        self._base_urls = tuple(dict.fromkeys(base_urls))
        self._policy = retry_policy or RetryPolicy()
        self._random = random or Random()
        self._clock = clock or EventLoopClock()
        self._connection_pool = ConnectionPool(_make_headers(team, token), transport)
        identifiers = IdentifierSource(self._base_urls, self._connection_pool, self._clock)
        self._submitter = Submitter(self._base_urls, self._connection_pool, identifiers)

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Closes all connections."""
        await self._connection_pool.close()

    async def submit(
        self,
        service: str,
        tasks: Sequence[JobTask],
        *,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        wait_s: float | None = None,
        repeatable: bool = False,
        job_id: str = "",
    ) -> JobAnswer:
        """Submits a job and waits for its answer.

        :param timeout_s: time after which the daemon abandons the job.
        :param wait_s: longest wait for the answer; ``None`` waits until the job has ended.
        :param repeatable: whether a task may run again after a run of it has failed.
        :param job_id: identifier of an earlier submission of the same job, to attach to it.
        :returns: the answer with outcome ``DONE``, or one in state ``RUNNING`` if ``wait_s`` has
            passed before the job ended.
        :raises NotRunError: if no task has started.
        :raises JobFailedError: if at least one task failed.
        :raises OutcomeUnknownError: if tasks may have run.
        :raises CannotConnectError: if nothing was sent.
        """
        started_at_s = self._clock.now_s()
        total_wait_s = timeout_s + ANSWER_GRACE_S if wait_s is None else wait_s
        task_ids = tuple(task.task_id for task in tasks)
        content = _make_submission_body(service, tasks, timeout_s, repeatable)

        def make_call(identifier: str, remaining_s: float) -> Call:
            poll_wait_s = min(POLL_WAIT_S, remaining_s, total_wait_s)
            body = json.dumps({"id": identifier, "wait_s": poll_wait_s, **content}).encode()
            headers = {"Content-Type": JSON_CONTENT_TYPE}
            return Call("POST", "/v1/jobs", poll_wait_s + ANSWER_GRACE_S, headers, body)

        codec = CallCodec(make_call, lambda reply, key: read_job_answer(reply, key, task_ids))
        answer, base_url = await self._submitter.run(
            codec, self._make_retry_budget(timeout_s), job_id
        )
        remaining_wait_s = total_wait_s - (self._clock.now_s() - started_at_s)
        if answer.state is JobState.FINISHED or remaining_wait_s <= 0:
            return answer
        answer = await self._poll_submitted_job(answer.job_id, base_url, remaining_wait_s, task_ids)
        if answer.state is JobState.RUNNING and wait_s is None:
            raise OutcomeUnknownError(
                f"the job is still running after {timeout_s:g} s",
                hint="fetch the job again",
                job_id=answer.job_id,
            )
        return answer

    async def send(
        self,
        service: str,
        body: bytes,
        *,
        repeatable: bool = False,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        content_type: str = JSON_CONTENT_TYPE,
        request_id: str = "",
    ) -> RequestAnswer:
        """Sends a single request and returns the endpoint's complete answer.

        :param body: passed to the endpoint unchanged.
        :param repeatable: whether the request may run more than once.
        :param timeout_s: time after which the daemon abandons the request.
        :param request_id: identifier of an earlier submission of the same request, to attach to
            it.
        :raises ClientError: the same errors as :meth:`submit`.
        """
        path = f"/v1/services/{quote(service, safe='')}/requests"

        def make_call(identifier: str, remaining_s: float) -> Call:
            headers = {
                "Content-Type": content_type,
                REQUEST_ID_HEADER: identifier,
                TIMEOUT_HEADER: f"{timeout_s:g}",
                REPEATABLE_HEADER: "true" if repeatable else "false",
            }
            attempt_timeout_s = min(REQUEST_ATTEMPT_TIMEOUT_S, remaining_s + ANSWER_GRACE_S)
            return Call("POST", path, attempt_timeout_s, headers, body)

        codec = CallCodec(make_call, read_request_answer)
        answer, _ = await self._submitter.run(codec, self._make_retry_budget(timeout_s), request_id)
        return answer

    async def fetch_job(self, job_id: str, *, wait_s: float = 0.0) -> JobAnswer:
        """Fetches a job's answer, or its state while it is running.

        :param wait_s: longest wait for the job's end.
        :raises ClientError: the same errors as :meth:`submit`.
        """
        return await self._poll_job(job_id, self._base_urls[0], wait_s, None)

    async def cancel(self, job_id: str) -> JobAnswer:
        """Cancels a job; returns its answer if the job was already done.

        :raises ClientError: the error that the cancelled job ended with.
        """
        call = Call("DELETE", _job_path(job_id), POLL_WAIT_S, {})
        return await self._query_job(
            call, self._base_urls[0], job_id, None, self._make_retry_budget(POLL_WAIT_S)
        )

    async def _poll_submitted_job(
        self, job_id: str, base_url: str, wait_s: float, task_ids: tuple[str, ...]
    ) -> JobAnswer:
        """Polls a job that a daemon has accepted.

        :raises OutcomeUnknownError: also for errors of polling that do not prove that the job has
            not run.
        """
        try:
            return await self._poll_job(job_id, base_url, wait_s, task_ids)
        except (CannotConnectError, AnswerLostError) as error:
            raise OutcomeUnknownError(error.message, hint=error.hint, job_id=job_id) from error
        except NotRunError as error:
            # Only an answer that names the job proves that it has not run. The refusal of a poll
            # does not, and neither does a daemon that does not know the job.
            if error.job_id and error.code != JOB_NOT_FOUND_CODE:
                raise
            raise OutcomeUnknownError(
                error.message, hint=error.hint, code=error.code, job_id=job_id
            ) from error

    async def _poll_job(
        self, job_id: str, base_url: str, wait_s: float, task_ids: tuple[str, ...] | None
    ) -> JobAnswer:
        """Polls a job until it has finished or ``wait_s`` has passed.

        :param task_ids: identifiers of the job's tasks, to check the results; ``None`` skips this.
        """
        deadline_s = self._clock.now_s() + wait_s
        while True:
            remaining_wait_s = max(0.0, deadline_s - self._clock.now_s())
            poll_wait_s = min(POLL_WAIT_S, remaining_wait_s)
            path = f"{_job_path(job_id)}?wait_s={ceil(poll_wait_s * 1000) / 1000:g}"
            call = Call("GET", path, poll_wait_s + ANSWER_GRACE_S, {})
            budget = self._make_retry_budget(remaining_wait_s + ANSWER_GRACE_S)
            answer = await self._query_job(call, base_url, job_id, task_ids, budget)
            if answer.state is JobState.FINISHED or self._clock.now_s() >= deadline_s:
                return answer
            # Avoids a busy loop with a daemon that answers before the requested wait has passed.
            await self._clock.sleep(MIN_POLL_INTERVAL_S)

    async def _query_job(
        self,
        call: Call,
        base_url: str,
        job_id: str,
        task_ids: tuple[str, ...] | None,
        budget: RetryBudget,
    ) -> JobAnswer:
        """Makes a call about a submitted job; retries it at the next daemon if the answer is lost.

        Any daemon can answer such a call, and repeating it is safe.
        """
        url_index = self._base_urls.index(base_url)
        is_retry = False
        while True:
            url = self._base_urls[url_index % len(self._base_urls)]
            try:
                reply = await self._connection_pool.exchange(url, call, new_connection=is_retry)
                return read_job_answer(reply, job_id, task_ids)
            except (CannotConnectError, AnswerLostError) as error:
                if not await budget.wait():
                    raise _with_job_id(error, job_id) from error
            url_index += 1
            is_retry = True

    def _make_retry_budget(self, timeout_s: float) -> RetryBudget:
        return RetryBudget(self._policy, self._clock, self._random, timeout_s)


def _make_headers(team: str, token: str) -> Mapping[str, str]:
    headers = {TEAM_HEADER: team}
    return {**headers, "Authorization": f"Bearer {token}"} if token else headers


def _make_submission_body(
    service: str, tasks: Sequence[JobTask], timeout_s: float, repeatable: bool
) -> dict[str, object]:
    """Makes the part of the body that does not depend on the identifier or the attempt."""
    return {
        "service": service,
        "timeout_s": timeout_s,
        "repeatable": repeatable,
        "tasks": [
            {"id": task.task_id, "payload": task.payload, "needs": task.needs} for task in tasks
        ],
    }


def _job_path(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe='')}"


def _with_job_id(error: ClientError, job_id: str) -> ClientError:
    return type(error)(error.message, hint="fetch the job again", code=error.code, job_id=job_id)
