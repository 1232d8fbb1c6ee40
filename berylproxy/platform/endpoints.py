"""Lists the platform's runners (endpoints) from the store and calls them."""

from time import monotonic
from typing import Any, NamedTuple

import orjson
from logbook import Logger

from berylproxy.durable.endpoints.leases import LeaseClock
from berylproxy.durable.jobs.models import (
    MAX_NUMBER,
    CompleteReport,
    EndedRun,
    EndKind,
    EndpointInfo,
    EndpointReport,
    Resources,
    RunningTask,
    TaskName,
)
from berylproxy.durable.jobs.ports import (
    EndpointCallError,
    EndpointRefusedError,
    FencedOffError,
    OtherInstanceError,
    StartOrder,
    StartOutcome,
)
from berylproxy.durable.learning.response_times import ResponseTimes
from berylproxy.http_exchange import (
    AnswerLostError,
    Hedge,
    HttpClient,
    HttpResponse,
    NotSentError,
    RefusedError,
)
from berylproxy.platform.runner_entries import (
    LIST_PREFIX,
    EntryInvalidError,
    decode_entry,
)
from berylproxy.platform.store import PlatformStore

CALL_TIMEOUT_S = 0.25  # a runner normally responds in about 4 ms
CONNECT_TIMEOUT_S = 0.2
INSTANCE_HEADER = "Berylproxy-Expect-Instance"
OTHER_INSTANCE_STATUS = 421
REPORT_ENDS = 500  # a runner lists as many at a time, and others once it has forgotten these
UNHEALTHY_STATUSES = (429, 503)  # the request had no effect
MAX_TASK_NUMBER_DIGITS = 9

REFUSALS = {
    "fence": StartOutcome.FENCED_OFF,
    "old": StartOutcome.RUN_TOO_OLD,
    "late": StartOutcome.TOO_LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}

# Outcomes of a start order that hold whatever becomes of another copy of the order.
CERTAIN_OUTCOMES = (
    StartOutcome.STARTED,
    StartOutcome.FENCED_OFF,
    StartOutcome.OTHER_INSTANCE,
)

logger = Logger(__name__)


class _Answer(NamedTuple):
    """A runner's response with its decoded body, which is empty for an error status."""

    response: HttpResponse
    content: dict[str, Any]


class PlatformEndpoints:
    """Implements :class:`berylproxy.durable.jobs.ports.EndpointDirectory`.

    :ivar longest_lease_s: longest lease that runners grant, in seconds; applies to new connections.
    """

    max_listed_ends = REPORT_ENDS - 1

    def __init__(self, store: PlatformStore, longest_lease_s: float) -> None:
        self._store = store
        self.longest_lease_s = longest_lease_s
        self._response_times = ResponseTimes()
        self._logged_problems: set[tuple[str, str]] = set()

    async def fetch(self) -> tuple[EndpointInfo, ...]:
        """Reads the list of runners; entries that name no usable runner are skipped."""
        entries = (await self._store.read_all(LIST_PREFIX)).entries
        endpoints = []
        problems: set[tuple[str, str]] = set()
        for entry in entries:
            try:
                endpoints.append(decode_entry(entry))
            except EntryInvalidError as error:
                problems.add((entry.key, error.message))
        self._log_problems(problems, {entry.key for entry in entries})
        return tuple(endpoints)

    def _log_problems(self, problems: set[tuple[str, str]], keys: set[str]) -> None:
        """Logs each problem of an entry once for as long as the entry is listed."""
        for key, problem in sorted(problems - self._logged_problems):
            logger.warning("skipped list entry {!r}: {}", key, problem)
        logged = {(key, problem) for key, problem in self._logged_problems if key in keys}
        self._logged_problems = logged | problems

    def connect(self, info: EndpointInfo) -> "PlatformEndpoint":
        """Returns a client for one runner."""
        return PlatformEndpoint(info, self.longest_lease_s, self._response_times)


class PlatformEndpoint:
    """Implements :class:`berylproxy.durable.jobs.ports.EndpointClient` for one runner.

    On the wire the platform calls a lease "hold", its end "until-ms" and the number of the last
    acknowledged end "last-seen".

    A call is sent again while its answer is overdue. A runner answers a repeated call like the
    first one, and refuses an order for a run that has ended or was stopped there.

    :param response_times: response times of all runners.
    """

    def __init__(
        self, info: EndpointInfo, longest_lease_s: float, response_times: ResponseTimes
    ) -> None:
        self._http = HttpClient(info.address, CONNECT_TIMEOUT_S)
        self._headers = {INSTANCE_HEADER: info.instance.endpoint_id}
        self._lease_s = longest_lease_s
        self._clock = LeaseClock()
        self._response_times = response_times

    def lease_end_s(self) -> float:
        """Returns the monotonic time by which every run under a lease granted so far has ended."""
        return self._clock.lapsed_at_s()

    async def start(self, order: StartOrder) -> StartOutcome:
        """Orders the runner to start a task."""
        body = {
            "task": _format_task_name(order.name),
            "run": order.run,
            "spec": order.payload,
            "until-ms": self._next_lease_end_ms(),
            "fence": order.fence,
        }
        if order.saved:
            body["checkpoint-data"] = order.saved
        try:
            response, _ = await self._post("/-/run-start", body, CALL_TIMEOUT_S)
        except NotSentError:
            return StartOutcome.NOT_SENT
        except AnswerLostError:
            return StartOutcome.UNKNOWN
        outcome = decode_start(response)
        if response.was_hedged and outcome not in CERTAIN_OUTCOMES:
            return StartOutcome.UNKNOWN
        return outcome

    async def stop(self, name: TaskName, run: int, fence: int) -> None:
        """Stops a run, even if the order to start it has yet to arrive."""
        body = {"task": _format_task_name(name), "run": run, "fence": fence}
        self._require_success(await self._call("/-/run-stop", body, CALL_TIMEOUT_S))

    async def renew(
        self, fence: int, acknowledged: int, wait_s: float, *, extend: bool
    ) -> EndpointReport:
        """Returns the runs in progress and those that ended; optionally extends the lease."""
        body: dict[str, Any] = {"fence": fence, "last-seen": acknowledged}
        if extend and self._clock.is_known:
            body["until-ms"] = self._next_lease_end_ms()
        # A copy may reach the runner's next process, whose ends have low numbers.
        answer = await self._call(
            "/-/hold", body, CALL_TIMEOUT_S, wait_s, copy={**body, "last-seen": 0}
        )
        content = self._require_success(answer)
        if answer.response.status != 200 or "clock-ms" not in content:
            raise EndpointCallError("the runner's answer is not a report")
        return decode_report(content, answer.response.sent_s)

    async def close(self) -> None:
        """Closes the idle connections."""
        self._http.close_idle()

    def _next_lease_end_ms(self) -> int:
        return self._clock.grant_lease_until_ms(monotonic(), self._lease_s)

    async def _post(
        self,
        target: str,
        body: dict[str, Any],
        timeout_s: float,
        wait_s: float = 0.0,
        copy: dict[str, Any] | None = None,
    ) -> _Answer:
        """Sends a call, and copies of it while the answer is overdue.

        :param wait_s: how long the runner may wait for an end before it answers; it answers
            copies at once.
        :param copy: body of the copies; by default that of the call.
        """
        patience_s = self._response_times.patience_s
        first = {**body, "wait-ms": int(wait_s * 1000)} if wait_s > 0 else body
        response = await self._http.call(
            "POST",
            target,
            orjson.dumps(first),
            timeout_s=wait_s + timeout_s,
            stall_timeout_s=timeout_s,
            headers=self._headers,
            hedge=Hedge(wait_s + patience_s, patience_s, orjson.dumps(copy or body)),
        )
        if not wait_s and not response.was_hedged:
            self._response_times.add(response.received_s - response.sent_s)
        content = _decode_object(response) if response.status in (200, 409) else {}
        clock_ms = content.get("clock-ms")
        if _is_count(clock_ms):
            self._clock.update(clock_ms, response.sent_s, response.received_s)
        return _Answer(response, content)

    async def _call(
        self,
        target: str,
        body: dict[str, Any],
        timeout_s: float,
        wait_s: float = 0.0,
        copy: dict[str, Any] | None = None,
    ) -> _Answer:
        try:
            return await self._post(target, body, timeout_s, wait_s, copy)
        except RefusedError as error:
            raise EndpointRefusedError(f"{target}: {error.message}") from error
        except (NotSentError, AnswerLostError) as error:
            raise EndpointCallError(f"{target}: {error.message}") from error

    def _require_success(self, answer: _Answer) -> dict[str, Any]:
        """Returns the content of an answer, or raises the error that it reports."""
        response, content = answer
        if response.status == OTHER_INSTANCE_STATUS:
            raise OtherInstanceError("another instance of the runner answered")
        if response.status not in (200, 409):
            raise EndpointCallError(f"the runner answered {response.status}")
        if response.status == 409 and content.get("reason") == "fence":
            raise FencedOffError("the runner has accepted a higher fence")
        return content


def decode_resources(content: dict[str, Any]) -> Resources:
    """Decodes resource amounts; a missing one is 0.

    :raises ValueError: if an amount is not a non-negative integer.
    """
    values = [content.get(name, 0) for name in ("cpu", "mem-mb", "gpu")]
    if not all(type(value) is int and value >= 0 for value in values):
        raise ValueError("resources must be whole numbers of 0 or more")
    return Resources(*values)


def decode_start(response: HttpResponse) -> StartOutcome:
    """Decodes the response to a start order; an undocumented status leaves the outcome unknown."""
    if response.status == 200:
        return StartOutcome.STARTED
    if response.status == OTHER_INSTANCE_STATUS:
        return StartOutcome.OTHER_INSTANCE
    if response.status in UNHEALTHY_STATUSES:
        return StartOutcome.UNHEALTHY
    if response.status == 409:
        reason = _decode_object(response).get("reason")
        return REFUSALS.get(reason if isinstance(reason, str) else "", StartOutcome.REFUSED)
    if response.status == 400:
        return StartOutcome.INVALID
    logger.warning(
        "unexpected status {} for a start order; its outcome is unknown", response.status
    )
    return StartOutcome.UNKNOWN


def decode_report(content: dict[str, Any], sent_s: float) -> EndpointReport:
    """Decodes a runner's report; rows that can't be decoded are skipped and counted.

    An empty list may be missing. What is no list counts as one such row.
    """
    unreadable = 0
    running, ended = [], []
    for row in _list_rows(content, "running"):
        try:
            running.append(_decode_running(row))
        except (ValueError, TypeError, IndexError, KeyError, AttributeError):
            unreadable += 1
    for row in _list_rows(content, "ended"):
        try:
            ended.append(_decode_ended(row))
        except (ValueError, TypeError, IndexError, KeyError, AttributeError):
            unreadable += 1
    born = content.get("born", 0)
    is_complete = not unreadable and len(ended) < REPORT_ENDS
    report_type = CompleteReport if is_complete else EndpointReport
    return report_type(
        born if _is_count(born) else 0, sent_s, tuple(running), tuple(ended), unreadable
    )


def _decode_running(row: Any) -> RunningTask:
    """Decodes a run in progress; progress that makes no sense doesn't hide the run."""
    percent = row[3] if type(row[3]) in (int, float) and row[3] >= 0 else 0
    return RunningTask(
        _parse_task_name(row[0]),
        _require_count(row[1]),
        _text_or_empty(row[2]),
        int(min(percent, 100)),
    )


def _decode_ended(row: Any) -> EndedRun:
    return EndedRun(
        _require_count(row[0]),
        _parse_task_name(row[1]),
        _require_count(row[2]),
        EndKind(row[3]),
        _text_or_empty(row[4]),
    )


def _is_count(value: Any) -> bool:
    """Returns whether a decoded value is a whole number that calls and messages can carry."""
    return type(value) is int and 0 <= value <= MAX_NUMBER


def _require_count(value: Any) -> int:
    if not _is_count(value):
        raise ValueError("not a whole number in range")
    return value


def _list_rows(content: dict[str, Any], name: str) -> list[Any]:
    rows = content.get(name) or []
    return rows if isinstance(rows, list) else [rows]


def _text_or_empty(value: Any) -> str:
    return value if isinstance(value, str) else ""


def _format_task_name(name: TaskName) -> str:
    return f"{name.job_id}.0.{name.step}.{name.index}"


def _parse_task_name(text: str) -> TaskName:
    job_id, _, *numbers = text.rsplit(".", 3)
    for number in numbers:
        if len(number) > MAX_TASK_NUMBER_DIGITS or str(int(number)) != number or number[0] == "-":
            raise ValueError("not the name of a task")
    step, index = map(int, numbers)
    return TaskName(job_id, step, index)


def _decode_object(response: HttpResponse) -> dict[str, Any]:
    try:
        content = orjson.loads(response.body) if response.body else {}
    except orjson.JSONDecodeError as error:
        raise AnswerLostError(f"the answer is not JSON: {error}") from error
    return content if isinstance(content, dict) else {}
