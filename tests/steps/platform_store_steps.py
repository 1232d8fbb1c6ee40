"""Steps that play answers of the platform's store to its client."""

import json
from base64 import b64encode
from time import monotonic
from typing import Any
from unittest.mock import Mock, patch
from urllib.parse import parse_qs, urlsplit

from anyio import create_task_group, run, sleep
from anyio.lowlevel import checkpoint
from behave import given, then, when

from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.http_exchange import HttpResponse
from berylproxy.platform import operator_watch
from berylproxy.platform.daemon import PlatformDaemon
from berylproxy.platform.endpoints import PlatformEndpoints
from berylproxy.platform.members import MemberList
from berylproxy.platform.operator_watch import EVACUATION_PREFIX, OperatorWatch
from berylproxy.platform.store import PlatformStore
from berylproxy.store.port import StoreUnavailableError
from tests.steps.platform_wire_steps import VALID_ENTRY

WATCH_S = 0.05


class PlayedCalls:
    """Takes the place of the HTTP client; watches last for :data:`WATCH_S`.

    :ivar status: status of the answers to other calls.
    """

    def __init__(self) -> None:
        self.status = 200

    async def call(self, method: str, target: str, *_: Any, **__: Any) -> HttpResponse:
        sent_s = monotonic()
        if "kv-watch" in target:
            await sleep(WATCH_S)
            return HttpResponse(200, b"{}", sent_s, monotonic())
        await checkpoint()
        return HttpResponse(self.status, b'{"store-revision": 1}', sent_s, monotonic())


async def play(context) -> None:
    """Plays the actions of the steps and notes after each whether the store is reachable."""
    calls = PlayedCalls()
    store = PlatformStore("127.0.0.1:1")
    store._http = store._watches = calls  # type: ignore[assignment]

    async def read(status: int) -> None:
        calls.status = status
        try:
            await store.read_page("a/")
        except StoreUnavailableError:
            assert status != 200

    async with create_task_group() as task_group:
        for action in context.store_actions:
            if action == "watch":
                task_group.start_soon(store.wait_for_changes, "a/", 1, WATCH_S)
                await checkpoint()
            elif action == "end of watch":
                await sleep(2 * WATCH_S)
            else:
                await read(200 if action == "answer" else 503)
        context.is_reachable = store.is_reachable


@given("a client of the platform's store that watches for changes")
def step_impl(context):
    context.store_actions = ["watch"]


@given("a client of the platform's store")
def step_impl(context):
    context.store_actions = []


@when("the store refuses two calls")
def step_impl(context):
    context.store_actions += ["refusal", "refusal"]


@when("the client watches for changes")
def step_impl(context):
    context.store_actions.append("watch")


@when("the watch ends without changes")
def step_impl(context):
    context.store_actions.append("end of watch")


@when("the store answers a call")
def step_impl(context):
    context.store_actions.append("answer")


@then("the store counts as {state}")
def step_impl(context, state):
    run(play, context)
    assert context.is_reachable is (state == "reachable"), context.is_reachable


class PagedAnswers:
    """Takes the place of the HTTP client; lists entries on pages by the key that they begin after.

    :ivar cut_page: number of the page that comes without entries although more follow, from 1.
    """

    def __init__(self, page_count: int, entries: int) -> None:
        self.page_count, self.entries, self.cut_page = page_count, entries, 0
        self.body: bytes | None = None

    async def call(self, method: str, target: str, *_: Any, **__: Any) -> HttpResponse:
        await checkpoint()
        query = parse_qs(urlsplit(target).query)
        prefix, after = query["prefix"][0], query.get("after", [""])[0]
        first = int(after.removeprefix(prefix + "k")) + 1 if after else 0
        numbers = range(first, first + self.entries)
        page = first // self.entries + 1
        items = [self._make_item(f"{prefix}k{number}", number) for number in numbers]
        content = {
            "items": items if page != self.cut_page else [],
            "more-pages": page == self.cut_page or page < self.page_count,
            "store-revision": 9,
        }
        body = self.body if self.body is not None else json.dumps(content).encode()
        return HttpResponse(200, body, 1.0, 1.1)

    def _make_item(self, key: str, number: int) -> dict[str, Any]:
        member = {"peer_address": f"10.0.0.{number}:80", "failure_domain": "a"}
        value = json.dumps({**VALID_ENTRY, **member}).encode()
        return {"key": key, "value": b64encode(value).decode(), "rev": 5}


class Readers:
    """What reads lists from the store; each returns the names that it knows afterwards."""

    def __init__(self, store: PlatformStore) -> None:
        self.store = store
        self.evacuations = EvacuatedDomains(frozenset({"before"}), revision=1)
        self.members = PlatformDaemon.__new__(PlatformDaemon)
        self.members._store, self.members._member_domains = store, {"before": "a"}
        self.members._identity, self.members._network = Mock(), Mock()
        self.members._member_list = MemberList()

    async def read_endpoints(self) -> list[str]:
        listed = await PlatformEndpoints(self.store, 1.0).fetch()
        return [info.instance.endpoint_id for info in listed]

    async def read_operator_keys(self) -> list[str]:
        watch = OperatorWatch(self.store, lambda value: None, self.evacuations)
        with patch.object(operator_watch, "OPERATOR_PREFIX", EVACUATION_PREFIX):
            await watch._read()
        return sorted(self.evacuations.names)

    async def read_members(self) -> list[str]:
        await self.members._refresh_members(Mock())
        return list(self.members._member_domains)

    async def read_jobs(self) -> list[str]:
        keys, has_more = [], True
        while has_more:
            entries, has_more = await self.store.list_page("jobs/", keys[-1] if keys else "")
            keys += [entry.key for entry in entries]
            assert entries or not has_more, "it would read the same page again at once"
        return keys


@given("the store lists {pages:d} pages of {entries:d} entries")
def step_pages(context, pages, entries):
    context.paged_answers = PagedAnswers(pages, entries)


@given("the store lists {pages:d} pages of {entries:d} entries, of which it cuts the {cut} short")
def step_cut_pages(context, pages, entries, cut):
    context.paged_answers = PagedAnswers(pages, entries)
    context.paged_answers.cut_page = ("first", "second").index(cut) + 1


@given("the store answers reads with an empty object")
def step_no_page(context):
    context.paged_answers = PagedAnswers(1, 1)
    context.paged_answers.body = b"{}"


@when("the {reader} reads them")
def step_read(context, reader):
    store = PlatformStore("127.0.0.1:1")
    store._http = context.paged_answers  # type: ignore[assignment]
    context.readers = Readers(store)
    read = {
        "list of endpoints": context.readers.read_endpoints,
        "operator watch": context.readers.read_operator_keys,
        "list of members": context.readers.read_members,
        "reader of open jobs": context.readers.read_jobs,
    }[reader]
    try:
        context.known = run(read)
    except StoreUnavailableError:
        context.known = None


@then("it fails, and what it knew before stays in force")
def step_unchanged(context):
    assert context.known is None, context.known
    assert context.readers.evacuations.names == {"before"}, context.readers.evacuations
    assert context.readers.members._member_domains == {"before": "a"}


@then("it knows all {count:d} entries")
def step_all_known(context, count):
    assert len(context.known) == count, context.known
