"""The callers' client."""

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
from berylproxy.client.connection import Call, Connections
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
from berylproxy.client.submission import Exchange, Submitter
from berylproxy.constants import (
    JSON_CONTENT_TYPE,
    REPEATABLE_HEADER,
    REQUEST_ID_HEADER,
    TEAM_HEADER,
    TIMEOUT_HEADER,
)

DEFAULT_TEAM = "default"  # the team of a system without team records
DEFAULT_TIMEOUT_S = 30.0
POLL_WAIT_S = 5.0  # one call's wait for the answer; bounds the harm of a silent connection
POLL_PAUSE_S = 0.05
REQUEST_ATTEMPT_S = 10.0  # then the request is sent again under its identifier, to attach to it
ANSWER_GRACE_S = 2.0  # time for the daemon's final answer after the work's own timeout
JOB_NOT_FOUND_CODE = "job_not_found"


class Client:
    """Submits work to the daemons and brings back whole answers only.

    :param base_urls: the daemons, in order of preference.
    :param team: the submitting team.
    :param token: the team's token; empty if it has none.
    :param retry_policy: how often and how fast calls are repeated.
    :param random: source of the jitter.
    :param clock: replaces time in tests.
    :param transport: replaces the network in tests.

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
            raise CannotConnectError("no daemon is named", hint="give at least one base URL")
        self._base_urls = tuple(dict.fromkeys(base_urls))
        self._policy = retry_policy or RetryPolicy()
        self._random = random or Random()
        self._clock = clock or EventLoopClock()
        self._connections = Connections(_make_headers(team, token), transport)
        identifiers = IdentifierSource(self._base_urls, self._connections, self._clock)
        self._submitter = Submitter(self._base_urls, self._connections, identifiers)

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
        """Closes the connections."""
        await self._connections.close()

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

        :param timeout_s: time after which the job is given up on.
        :param wait_s: longest wait for the answer; ``None`` waits until it is there.
        :param repeatable: whether a task may run again after a finished failure.
        :param job_id: identifier of an earlier submission of this same job, to attach to it.
        :returns: the answer, ``DONE``; or a running one if ``wait_s`` is over.
        :raises NotRunError: no task has started.
        :raises JobFailedError: at least one task failed.
        :raises OutcomeUnknownError: tasks may have run.
        :raises CannotConnectError: nothing was sent.
        """
        started_at_s = self._clock.now_s()
        total_wait_s = timeout_s + ANSWER_GRACE_S if wait_s is None else wait_s
        task_ids = tuple(task.task_id for task in tasks)
        content = _make_submission(service, tasks, timeout_s, repeatable)

        def make_call(identifier: str, remaining_s: float) -> Call:
            poll_s = min(POLL_WAIT_S, remaining_s, total_wait_s)
            body = json.dumps({"id": identifier, "wait_s": poll_s, **content}).encode()
            headers = {"Content-Type": JSON_CONTENT_TYPE}
            return Call("POST", "/v1/jobs", poll_s + ANSWER_GRACE_S, headers, body)

        exchange = Exchange(make_call, lambda reply, key: read_job_answer(reply, key, task_ids))
        answer, base_url = await self._submitter.run(exchange, self._budget(timeout_s), job_id)
        left_s = total_wait_s - (self._clock.now_s() - started_at_s)
        if answer.state is JobState.FINISHED or left_s <= 0:
            return answer
        answer = await self._wait_for_submitted(answer.job_id, base_url, left_s, task_ids)
        if answer.state is JobState.RUNNING and wait_s is None:
            raise OutcomeUnknownError(
                f"the job is still running after {timeout_s:g} s",
                hint="ask for the job again",
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
        """Sends a single request and returns the endpoint's whole answer.

        :param request_id: identifier of an earlier sending of this same request, to attach to it.
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
            attempt_s = min(REQUEST_ATTEMPT_S, remaining_s + ANSWER_GRACE_S)
            return Call("POST", path, attempt_s, headers, body)

        exchange = Exchange(make_call, read_request_answer)
        answer, _ = await self._submitter.run(exchange, self._budget(timeout_s), request_id)
        return answer

    async def fetch_job(self, job_id: str, *, wait_s: float = 0.0) -> JobAnswer:
        """Asks for a job's answer or state.

        :param wait_s: longest wait for the answer.
        :raises ClientError: the same errors as :meth:`submit`.
        """
        return await self._wait_for(job_id, self._base_urls[0], wait_s, None)

    async def cancel(self, job_id: str) -> JobAnswer:
        """Cancels a job and returns its answer if it was done already.

        :raises ClientError: the answer of the cancelled job, as its error.
        """
        call = Call("DELETE", _job_path(job_id), POLL_WAIT_S, {})
        return await self._ask(call, self._base_urls[0], job_id, None, self._budget(POLL_WAIT_S))

    async def _wait_for_submitted(
        self, job_id: str, base_url: str, wait_s: float, task_ids: tuple[str, ...]
    ) -> JobAnswer:
        try:
            return await self._wait_for(job_id, base_url, wait_s, task_ids)
        except (CannotConnectError, AnswerLostError) as error:
            raise OutcomeUnknownError(error.message, hint=error.hint, job_id=job_id) from error
        except NotRunError as error:
            # Only the job's own answer proves that it has not run; a refusal of the question does
            # not, and neither does a daemon that does not know the job.
            if error.job_id and error.code != JOB_NOT_FOUND_CODE:
                raise
            raise OutcomeUnknownError(
                error.message, hint=error.hint, code=error.code, job_id=job_id
            ) from error

    async def _wait_for(
        self, job_id: str, base_url: str, wait_s: float, task_ids: tuple[str, ...] | None
    ) -> JobAnswer:
        """Polls a job until it is finished or the wait is over."""
        deadline_s = self._clock.now_s() + wait_s
        while True:
            left_s = max(0.0, deadline_s - self._clock.now_s())
            poll_s = min(POLL_WAIT_S, left_s)
            path = f"{_job_path(job_id)}?wait_s={ceil(poll_s * 1000) / 1000:g}"
            call = Call("GET", path, poll_s + ANSWER_GRACE_S, {})
            budget = self._budget(left_s + ANSWER_GRACE_S)
            answer = await self._ask(call, base_url, job_id, task_ids, budget)
            if answer.state is JobState.FINISHED or self._clock.now_s() >= deadline_s:
                return answer
            # A daemon that answers before the wait is over must not be asked without end.
            await self._clock.sleep(POLL_PAUSE_S)

    async def _ask(
        self,
        call: Call,
        base_url: str,
        job_id: str,
        task_ids: tuple[str, ...] | None,
        budget: RetryBudget,
    ) -> JobAnswer:
        """Makes a call about a submitted job, which any daemon may answer and which may repeat."""
        position = self._base_urls.index(base_url)
        repeated = False
        while True:
            url = self._base_urls[position % len(self._base_urls)]
            try:
                reply = await self._connections.exchange(url, call, new_connection=repeated)
                return read_job_answer(reply, job_id, task_ids)
            except (CannotConnectError, AnswerLostError) as error:
                if not await budget.wait():
                    raise _name_job(error, job_id) from error
            position += 1
            repeated = True

    def _budget(self, timeout_s: float) -> RetryBudget:
        return RetryBudget(self._policy, self._clock, self._random, timeout_s)


def _make_headers(team: str, token: str) -> Mapping[str, str]:
    headers = {TEAM_HEADER: team}
    return {**headers, "Authorization": f"Bearer {token}"} if token else headers


def _make_submission(
    service: str, tasks: Sequence[JobTask], timeout_s: float, repeatable: bool
) -> dict[str, object]:
    """Makes the part of the body that is the same under every identifier and attempt."""
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


def _name_job(error: ClientError, job_id: str) -> ClientError:
    return type(error)(error.message, hint="ask for the job again", code=error.code, job_id=job_id)
