"""Steps for the usage counts and their records in the store."""

from base64 import b64decode, b64encode
from dataclasses import replace
from io import StringIO
from json import loads

from anyio import run
from behave import given, then, when
from httpx import post

from berylproxy.cli.core import main
from berylproxy.environment import Environment
from berylproxy.exit_status import ExitStatus
from berylproxy.models import DaemonIdentity
from berylproxy.records.models import Endpoint
from berylproxy.usage.counters import UsageCounters
from berylproxy.usage.recorder import UsageRecorder
from berylproxy.usage.report import KEY_PREFIX, UsageReportError, make_report_key, sum_reports
from tests.support.memory_store import MemoryStore

ENDPOINT = Endpoint("e", "p", "http://127.0.0.1:1", 8, 64, {}, "alder", "alder", "fd", False)


def start_incarnation(context, incarnation: str) -> None:
    """Creates the counters and the recorder of a new incarnation."""
    identity = DaemonIdentity("d", incarnation, "fd", "")
    context.counters = UsageCounters()
    context.recorder = UsageRecorder(context.usage_store, identity, context.counters)


def count_answered_tasks(context, count: int, owner: str) -> None:
    """Counts tasks that an endpoint of the owner has answered."""
    endpoint = replace(ENDPOINT, owner=owner, cost_bearer=owner)
    for _ in range(count):
        context.counters.note_answer(endpoint, "team", "service", 0.5, failed=False)


def sum_tasks_by_owner(context) -> dict[str, int]:
    """Returns the number of tasks in the store by owner."""
    listing = run(context.usage_store.list_prefix, KEY_PREFIX)
    return {key.owner: usage.tasks for key, usage in sum_reports(listing.entries)}


@given('a usage recorder with {count:d} answered tasks of "{owner}"')
def step_recorder(context, count, owner):
    context.usage_store = MemoryStore()
    start_incarnation(context, "a" * 12)
    count_answered_tasks(context, count, owner)


@when('{count:d} more tasks of "{owner}" are answered')
def step_answer(context, count, owner):
    count_answered_tasks(context, count, owner)


@when("the answer to the next write is lost")
def step_lose_answer(context):
    context.usage_store.lost_answers = 1


@when("the answer to the next write is lost and the store becomes unavailable")
def step_lose_answer_and_store(context):
    context.usage_store.lost_answers = 1
    context.usage_store.on_loss = lambda: context.usage_store.set_outage(True)


@when("the usage store is available again")
def step_store_back(context):
    context.usage_store.set_outage(False)


@when("the usage is recorded")
def step_record(context):
    run(context.recorder.record)


@when("the daemon restarts")
def step_restart(context):
    start_incarnation(context, "b" * 12)


@when("a report that can't be decoded is written")
def step_write_unreadable_report(context):
    run(context.usage_store.compare_and_swap, make_report_key("c" * 12), b"{}", 0)


@when("all daemons but the last are stopped as planned")
def step_stop(context):
    for daemon in context.cluster.daemons[:-1]:
        assert daemon.terminate() == 0


@then('the sum over all reports is {count:d} tasks of "{owner}"')
def step_sum(context, count, owner):
    assert sum_tasks_by_owner(context) == {owner: count}, sum_tasks_by_owner(context)


@then('adding up the reports fails with code "{code}"')
def step_sum_fails(context, code):
    try:
        sum_tasks_by_owner(context)
    except UsageReportError as error:
        assert error.code == code
    else:
        raise AssertionError("the reports were added up")


@then("the recorded usage of the stopped daemons equals the tasks that their endpoints have ended")
def step_usage_is_exact(context):
    stopped = len(context.cluster.daemons) - 1
    homes = {job_id.split("-")[0] for job_id in context.started_ids[:stopped]}
    ended = sum(
        event["event"] == "end" and event["task_id"].split("-")[0] in homes
        for event in context.cluster.read_events()
    )
    recorded = 0
    for home in homes:
        recorded += sum(row["tasks"] for row in read_report(context, home)["rows"])
    context.recorded = recorded
    assert recorded == ended == stopped * len(context.tasks), (recorded, ended)


@then("berylctl reports the same number of tasks")
def step_berylctl(context):
    url = context.cluster.url(len(context.cluster.daemons) - 1)
    output = StringIO()
    status = main(["--url", url, "usage"], Environment(StringIO(), output, StringIO()))
    assert status is ExitStatus.SUCCESS
    own = [row for row in loads(output.getvalue())["usage"] if row["cost_bearer"] == "owner"]
    # The daemon that is still running has recorded either all or none of its tasks by now.
    expected = (context.recorded, context.recorded + len(context.tasks))
    assert sum(row["tasks"] for row in own) in expected, own


def read_report(context, incarnation: str) -> dict:
    """Returns an incarnation's usage report from the store."""
    key = b64encode(make_report_key(incarnation).encode()).decode()
    response = post(f"{context.cluster.store.url}/v3/kv/range", json={"key": key})
    return loads(b64decode(response.json()["kvs"][0]["value"]))
