"""Steps on answers of runners and of the store that make no sense."""

import contextlib
import json
from base64 import b64encode
from time import monotonic

from anyio import run
from behave import given, then, use_step_matcher, when
from hypothesis import strategies
from msgspec.msgpack import Encoder

from berylproxy.durable.jobs.models import EndpointInfo, EndpointInstance, Resources, TaskName
from berylproxy.durable.jobs.ports import (
    EndpointCallError,
    StartOrder,
    StartOutcome,
    Transaction,
    TransactionConflictError,
)
from berylproxy.durable.learning.response_times import ResponseTimes
from berylproxy.http_exchange import HttpResponse
from berylproxy.platform.endpoints import PlatformEndpoint
from berylproxy.platform.store import PlatformStore
from berylproxy.store.port import StoreError
from tests.support.odd_values import fuzz, json_values, make_rows, make_variants, nest
from tests.support.platform_cluster import SERVICE

ANSWER_FIELDS = ("store-revision", "more-pages", "rev", "lease", "key", "value")
TASK = TaskName("00000000000000aa", 0, 0)


class PlayedAnswers:
    """Takes the place of an HTTP client that gets the same answer to each call."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status, self.body = status, body

    async def call(self, *_: object, **__: object) -> HttpResponse:
        now_s = monotonic()
        return HttpResponse(self.status, self.body, now_s, now_s)


use_step_matcher("re")


async def call_and_repeat(answer_body, status=200):
    """Makes each call to a runner, and further ones with what its report says."""
    info = EndpointInfo(EndpointInstance("e1", 0), SERVICE, "10.0.0.1:80", "a", Resources())
    client = PlatformEndpoint(info, 1.0, ResponseTimes())
    client._http = PlayedAnswers(status, answer_body)
    outcome = await client.start(StartOrder(TASK, 1, "", 1))
    assert isinstance(outcome, StartOutcome), outcome
    try:
        report = await client.renew(1, 0, 0.0, extend=True)
        for end in report.ended:
            assert end.number >= 0 and end.run >= 0, end
            await client.renew(1, end.number, 0.0, extend=True)
        for running in report.running:
            assert 0 <= running.progress_percent <= 100, running
            await client.stop(running.name, running.run, 1)
        await client.start(StartOrder(TASK, 1, "", 1))
        Encoder().encode(report)
    except EndpointCallError:
        return None
    return report


@then(r"arbitrary answers of a runner end no call but by the error of a call")
def step_impl(context):
    running, ended = ["a.0.1.2", 1, "", 5], [1, "a.0.1.2", 1, "done", ""]
    rows = strategies.lists(make_rows(running), max_size=3)
    ends = strategies.lists(make_rows(ended), max_size=3)
    reports = strategies.fixed_dictionaries(
        {"running": rows | json_values, "ended": ends | json_values},
        optional={"clock-ms": json_values, "born": json_values, "reason": json_values},
    )

    @fuzz(answer=reports | json_values, status=strategies.sampled_from([200, 409, 421, 503, 600]))
    def check(answer, status):
        run(call_and_repeat, json.dumps(answer).encode(), status)

    check()
    for depth in (1000, 2000):
        run(call_and_repeat, b'{"reason": %s}' % nest(depth).encode(), 409)


@given(r"a runner that answers its renewals with (?P<answer>.+)")
def step_impl(context, answer):
    context.runner_answer = answer.encode()


@when(r"its lease is renewed, with what the report says acknowledged and stopped")
def step_impl(context):
    context.runner_report = run(call_and_repeat, context.runner_answer)


@then(r"the calls are made or refused as calls to a runner")
def step_impl(context):
    report = context.runner_report
    if report is not None:
        for row in (*report.running, *report.ended):
            assert (row.name, row.run) == (TASK, 1), row


@then(r"arbitrary answers of the store end no call but by the error of a store")
def step_impl(context):
    item = {"key": "a/b", "value": b64encode(b"x").decode(), "rev": 1}
    items = strategies.lists(make_variants(item) | json_values, max_size=3) | json_values
    answers = strategies.fixed_dictionaries(
        {"items": items, "events": items},
        optional=dict.fromkeys(
            ("store-revision", "more-pages", "rev", "lease", "key", "value"), json_values
        ),
    )

    async def make_calls(answer: bytes, status: int) -> None:
        store = PlatformStore("127.0.0.1:1")
        store._http = store._watches = PlayedAnswers(status, answer)
        for call in (
            lambda: store.get("a/b"),
            lambda: store.list_page("a/", ""),
            lambda: store.wait_for_changes("a/", 1, 0.1),
            lambda: store.commit(Transaction((("a/b", 1),), (("a/b", b""),))),
            lambda: store.grant_lease(1.0),
            lambda: store.renew_lease(1),
        ):
            with contextlib.suppress(StoreError):
                check_entries(await call())

    def check_entries(result) -> None:
        if isinstance(result, tuple):
            assert all(isinstance(entry.key, str) for entry in result[0]), result
            assert all(0 <= entry.revision < 2**63 for entry in result[0]), result

    async def conflict(answer: bytes) -> None:
        store = PlatformStore("127.0.0.1:1")
        store._http = PlayedAnswers(412, answer)
        with contextlib.suppress(TransactionConflictError, StoreError):
            await store.commit(Transaction((("a/b", 1),), (("a/b", b""),)))

    @fuzz(answer=answers | json_values, status=strategies.sampled_from([200, 404, 503]))
    def check(answer, status):
        body = json.dumps(answer).encode()
        run(make_calls, body, status)
        run(conflict, body)

    check()


use_step_matcher("parse")
