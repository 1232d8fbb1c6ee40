"""The platform's runners: their list in the store, and the calls to them."""

from time import monotonic
from typing import Any

import orjson
from logbook import Logger

from berylproxy.durable.leases import LeaseClock
from berylproxy.durable.models import (
    EndedRun,
    EndKind,
    EndpointInfo,
    EndpointInstance,
    EndpointReport,
    Resources,
    RunningTask,
    TaskName,
)
from berylproxy.durable.ports import (
    EndpointCallError,
    FencedOffError,
    OtherInstanceError,
    StartOrder,
    StartOutcome,
)
from berylproxy.http_exchange import AnswerLostError, HttpAnswer, HttpExchange, NotSentError
from berylproxy.platform.store import PlatformStore
from berylproxy.store.port import Entry

LIST_PREFIX = "servers/"
CALL_TIMEOUT_S = 0.25  # a runner answers in some 4 ms
CONNECT_TIMEOUT_S = 0.2
INSTANCE_HEADER = "Berylproxy-Expect-Instance"
OTHER_LIFE_STATUS = 421
STATES = ("ready", "draining")
UNHEALTHY_STATUSES = (429, 503)  # nothing was done
RACK_LABEL_START = "r"  # labels name the kind, and the rack as r<room>-<rack>

REFUSALS = {
    "fence": StartOutcome.FENCED_OFF,
    "old": StartOutcome.RUN_TOO_OLD,
    "late": StartOutcome.TOO_LATE,
    "room": StartOutcome.NO_ROOM,
}

logger = Logger(__name__)


class PlatformEndpoints:
    """Implements :class:`berylproxy.durable.ports.EndpointDirectory`.

    :ivar longest_lease_s: the longest lease that runners grant; holds for later connections.
    """

    def __init__(self, store: PlatformStore, longest_lease_s: float) -> None:
        self._store = store
        self.longest_lease_s = longest_lease_s
        self._reported: set[str] = set()

    async def fetch(self) -> tuple[EndpointInfo, ...]:
        """Reads the list; entries that can't be read are left out and logged once."""
        info, after_key, has_more = [], "", True
        while has_more:
            page = await self._store.read_page(LIST_PREFIX, after_key)
            for entry in page.entries:
                after_key = entry.key
                decoded = decode_entry(entry)
                if decoded is not None:
                    info.append(decoded)
                elif entry.key not in self._reported:
                    self._reported.add(entry.key)
                    logger.warning("list entry {} names no endpoint", entry.key)
            has_more = page.has_more and bool(page.entries)
        return tuple(info)

    def connect(self, info: EndpointInfo) -> "PlatformEndpoint":
        """Makes the calls to a runner."""
        return PlatformEndpoint(info, self.longest_lease_s)


class PlatformEndpoint:
    """Implements :class:`berylproxy.durable.ports.EndpointClient`."""

    def __init__(self, info: EndpointInfo, longest_lease_s: float) -> None:
        self._http = HttpExchange(info.address, CONNECT_TIMEOUT_S)
        self._headers = {INSTANCE_HEADER: info.instance.endpoint_id}
        self._lease_s = longest_lease_s
        self._clock = LeaseClock()

    def lease_end_s(self) -> float:
        """Monotonic time after which nothing granted so far runs any more."""
        return self._clock.lapsed_at_s()

    async def start(self, order: StartOrder) -> StartOutcome:
        """Orders the start of a task."""
        body = {
            "task": _format_name(order.name),
            "run": order.run,
            "spec": order.payload,
            "until-ms": self._end_of_lease_ms(),
            "fence": order.fence,
        }
        if order.saved:
            body["checkpoint-data"] = order.saved
        try:
            answer = await self._post("/-/run-start", body, CALL_TIMEOUT_S)
        except NotSentError:
            return StartOutcome.NOT_SENT
        except AnswerLostError:
            return StartOutcome.UNKNOWN
        return decode_start(answer)

    async def stop(self, name: TaskName, run: int, fence: int) -> None:
        """Stops a run, also one that has yet to arrive."""
        body = {"task": _format_name(name), "run": run, "fence": fence}
        self._check(await self._call("/-/run-stop", body, CALL_TIMEOUT_S))

    async def renew(
        self, fence: int, acknowledged: int, wait_s: float, *, extend: bool
    ) -> EndpointReport:
        """Asks for what runs and what has ended."""
        body: dict[str, Any] = {"fence": fence, "last-seen": acknowledged}
        if extend and self._clock.is_known:
            body["until-ms"] = self._end_of_lease_ms()
        if wait_s > 0:
            body["wait-ms"] = int(wait_s * 1000)
        answer = await self._call("/-/hold", body, wait_s + CALL_TIMEOUT_S)
        content = self._check(answer)
        return decode_report(content, answer.sent_s)

    async def close(self) -> None:
        """Closes its connections."""
        self._http.close_idle()

    def _end_of_lease_ms(self) -> int:
        return self._clock.end_of_lease_ms(monotonic(), self._lease_s)

    async def _post(self, target: str, body: dict[str, Any], timeout_s: float) -> HttpAnswer:
        answer = await self._http.call(
            "POST", target, orjson.dumps(body), timeout_s=timeout_s, headers=self._headers
        )
        if answer.status in (200, 409):
            clock_ms = _read_object(answer).get("clock-ms")
            if isinstance(clock_ms, int):
                self._clock.read(clock_ms, answer.sent_s, answer.received_s)
        return answer

    async def _call(self, target: str, body: dict[str, Any], timeout_s: float) -> HttpAnswer:
        try:
            return await self._post(target, body, timeout_s)
        except (NotSentError, AnswerLostError) as error:
            raise EndpointCallError(f"{target}: {error.message}") from error

    def _check(self, answer: HttpAnswer) -> dict[str, Any]:
        if answer.status == OTHER_LIFE_STATUS:
            raise OtherInstanceError("another life of the runner answers")
        if answer.status not in (200, 409):
            raise EndpointCallError(f"the runner answered {answer.status}")
        content = _read_object(answer)
        if answer.status == 409 and content.get("reason") == "fence":
            raise FencedOffError("the runner follows a higher fence")
        return content


def decode_entry(entry: Entry) -> EndpointInfo | None:
    """Decodes an entry of the list; ``None`` if it names no endpoint to use."""
    try:
        content = orjson.loads(entry.value)
        state, service = content["state"], content["service"]
        address, zone = content["address"], content["zone"]
        labels = content.get("labels", [])
        capacity = decode_needs(content["capacity"])
        host, _, port = address.rpartition(":")
        valid = (
            state in STATES
            and all(isinstance(text, str) and text for text in (service, host, zone))
            and 0 < int(port) < 65_536
            and all(isinstance(label, str) for label in labels)
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
    if not valid:
        return None
    # "born" is the Unix millisecond of the runner's start; one id may have several lives.
    born = content.get("born", 0)
    return EndpointInfo(
        EndpointInstance(entry.key.removeprefix(LIST_PREFIX), born if isinstance(born, int) else 0),
        service,
        address,
        zone,
        capacity,
        leaving=state == "draining",
        labels=frozenset(labels),
        rack=next((label for label in labels if _is_rack(label)), ""),
        kind=next((label for label in labels if not _is_rack(label)), ""),
    )


def decode_needs(content: dict[str, Any]) -> Resources:
    """Decodes resources; those that are left out are 0.

    :raises ValueError: if one is not a whole number of 0 or more.
    """
    values = [content.get(name, 0) for name in ("cpu", "mem-mb", "gpu")]
    if not all(type(value) is int and value >= 0 for value in values):
        raise ValueError("resources must be whole numbers of 0 or more")
    return Resources(*values)


def decode_start(answer: HttpAnswer) -> StartOutcome:
    """Decodes a runner's answer to an order; one that the pages don't name leaves it open."""
    if answer.status == 200:
        return StartOutcome.STARTED
    if answer.status == OTHER_LIFE_STATUS:
        return StartOutcome.OTHER_INSTANCE
    if answer.status in UNHEALTHY_STATUSES:
        return StartOutcome.UNHEALTHY
    if answer.status == 409:
        return REFUSALS.get(str(_read_object(answer).get("reason")), StartOutcome.INVALID)
    if answer.status == 400:
        return StartOutcome.INVALID
    logger.warning("a start was answered {}, taken as unknown", answer.status)
    return StartOutcome.UNKNOWN


def decode_report(content: dict[str, Any], sent_s: float) -> EndpointReport:
    """Decodes a runner's lists; rows that can't be read are counted."""
    unreadable = 0
    running, ended = [], []
    for row in _list_rows(content, "running"):
        try:
            name = _parse_name(row[0])
            running.append(RunningTask(name, int(row[1]), _read_text(row[2]), int(row[3])))
        except (ValueError, TypeError, IndexError, KeyError, AttributeError):
            unreadable += 1
    for row in _list_rows(content, "ended"):
        try:
            name = _parse_name(row[1])
            kind, saved = EndKind(row[3]), _read_text(row[4])
            ended.append(EndedRun(int(row[0]), name, int(row[2]), kind, saved))
        except (ValueError, TypeError, IndexError, KeyError, AttributeError):
            unreadable += 1
    born = content.get("born", 0)
    return EndpointReport(
        born if isinstance(born, int) else 0, sent_s, tuple(running), tuple(ended), unreadable
    )


def _list_rows(content: dict[str, Any], name: str) -> list[Any]:
    rows = content.get(name)
    return rows if isinstance(rows, list) else []


def _read_text(value: Any) -> str:
    return value if isinstance(value, str) else ""


def _format_name(name: TaskName) -> str:
    return f"{name.job_id}.0.{name.step}.{name.index}"


def _parse_name(text: str) -> TaskName:
    job_id, _, step, index = text.rsplit(".", 3)
    return TaskName(job_id, int(step), int(index))


def _is_rack(label: str) -> bool:
    return label.startswith(RACK_LABEL_START) and "-" in label


def _read_object(answer: HttpAnswer) -> dict[str, Any]:
    try:
        content = orjson.loads(answer.body) if answer.body else {}
    except orjson.JSONDecodeError as error:
        raise AnswerLostError(f"the answer is not JSON: {error}") from error
    return content if isinstance(content, dict) else {}
