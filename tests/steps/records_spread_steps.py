"""Steps for the replication of records between daemons."""

import json

import msgpack
from behave import given, then, when

from berylproxy.records.envelope import make_key
from berylproxy.records.messages import (
    FetchRecords,
    RecordMessageInvalidError,
    Records,
    RecordsAccepted,
)
from berylproxy.records.spread import ViewState
from tests.support.records_world import POOL, attempt

ALL = 1_000_000


@when('records daemons "{first:w}" and "{second:w}" start')
def step_daemons(context, first, second):
    context.cluster.add_daemon(first)
    context.cluster.add_daemon(second)


@given('a records daemon "{name:w}" that cannot reach the store')
def step_daemon_without_store(context, name):
    context.cluster.add_daemon(name, follows_store=False)


@given('only records daemons "{first:w}" and "{second:w}" without background tasks')
def step_idle_daemons(context, first, second):
    step_no_other_daemon(context)
    for name in (first, second):
        context.cluster.add_daemon(name, follows_store=False, replicates=False)
        context.cluster.daemons[name].view.mark_loaded("peer")


@given('only records daemon "{name:w}" that has loaded nothing')
def step_unloaded_daemon(context, name):
    step_no_other_daemon(context)
    context.cluster.add_daemon(name, follows_store=False, replicates=False)


@given('a records daemon "{name:w}" whose peers receive {answer}')
def step_wrong_answers(context, name, answer):
    context.cluster.add_daemon(name, follows_store=False, replicates=False)
    context.cluster.daemons[name].view.mark_loaded("store")
    answers = {
        "an answer without a view": Records([], [], False, 9, 0, ""),
        "the same chunk again": Records([], [], True, 9, 0, "key"),
        "something else": "text",
    }
    context.cluster.wrong_reply = answers[answer]


@then('records daemon "{name:w}" has loaded nothing after {count:d} requests')
def step_nothing_loaded(context, name, count):
    assert not context.cluster.daemons[name].view.is_loaded
    assert len(context.cluster.requests) == count, len(context.cluster.requests)


@given('records daemon "{name:w}" has forgotten deletions up to revision {revision:d}')
def step_forgotten(context, name, revision):
    context.cluster.daemons[name].view.raise_forgotten_revision(revision)


@given("no other records daemon runs")
def step_no_other_daemon(context):
    for name in list(context.cluster.daemons):
        context.cluster.stop_daemon(name)


@given('records daemon "{name:w}" applied {count:d} more pools')
def step_many_pools(context, name, count):
    for position in range(count):
        context.cluster.put(name, "pools", f"pool-{position}", POOL)


@given('records daemon "{name:w}" alone has pool "{pool:w}"')
def step_has_alone(context, name, pool):
    revision = context.cluster.write("pools", pool, POOL)
    entry = context.cluster.store.find(make_key("pools", pool))
    assert entry.revision == revision
    context.cluster.call(context.cluster.daemons[name].view.apply, (entry,), ())


@when('records daemon "{name:w}" compares the digests {count:d} times')
def step_compare_digests(context, name, count):
    for _ in range(count):
        context.cluster.run(context.cluster.daemons[name].replicator.reconcile)


@then("{count:d} record fetch was made")
@then("{count:d} record fetches were made")
def step_count_fetches(context, count):
    assert len(context.cluster.requests) == count, len(context.cluster.requests)


@then('records daemon "{name:w}" is "{state:w}" from "{source:w}"')
def step_loaded(context, name, state, source):
    daemon = context.cluster.daemons[name]
    context.cluster.run(daemon.view.wait_loaded)
    assert (daemon.replicator.state, daemon.view.source) == (ViewState(state), source)


@then('records daemon "{name:w}" changes to the state "{state:w}"')
def step_reaches_state(context, name, state):
    daemon = context.cluster.daemons[name]
    context.cluster.run(daemon.replicator.wait_for_source_timeout)
    assert daemon.replicator.state is ViewState(state)
    assert not context.cluster.daemons[name].view.is_loaded


@when('records daemon "{name:w}" applies pool "{pool:w}" and the store becomes unavailable at once')
def step_apply_then_outage(context, name, pool):
    cluster = context.cluster

    async def apply() -> None:
        await cluster.daemons[name].editor.put("pools", pool, POOL, 0)
        cluster.store.set_outage(True)

    cluster.run(apply)


@when('records daemon "{name:w}" applies pool "{pool:w}" and the notification is lost')
def step_apply_lost(context, name, pool):
    context.cluster.daemons[name].network.lost_notifications = 1
    context.execute_steps(f'When records daemon "{name}" applies pool "{pool}"')


@when('records daemon "{name:w}" applies pool "{lost:w}" unannounced and then pool "{pool:w}"')
def step_apply_two(context, name, lost, pool):
    step_apply_lost(context, name, lost)
    context.execute_steps(f'When records daemon "{name}" applies pool "{pool}"')


@when('records daemon "{name:w}" deletes pool "{pool:w}" and the notification is lost')
def step_delete_lost(context, name, pool):
    context.cluster.daemons[name].network.lost_notifications = 1
    context.execute_steps(f'When records daemon "{name}" deletes pool "{pool}"')
    assert context.error is None


@then("the peers' record messages were several, each below {size:d} bytes")
def step_chunks(context, size):
    assert len(context.cluster.replies) > 1
    for reply in context.cluster.replies:
        packed = msgpack.packb([getattr(reply, name) for name in reply.__struct_fields__])
        assert len(packed) < size, len(packed)


@then("the last record fetch carried at most {count:d} records")
def step_small_fetch(context, count):
    carrying = [reply for reply in context.cluster.replies if reply.entries]
    assert len(carrying[-1].entries) <= count, carrying[-1]


@when('records daemon "{name:w}" is notified of the items {items}')
def step_notify(context, name, items):
    entries = json.loads(items)
    for item in entries or []:
        if item[1:2] == ["bytes"]:
            item[1] = b"{}"
    daemon = context.cluster.daemons[name]
    before = daemon.view.take_snapshot()
    context.refused = False
    try:
        context.cluster.call(daemon.replicator.handle_accepted, RecordsAccepted(entries, []))
    except RecordMessageInvalidError:
        context.refused = True
    context.is_unchanged = daemon.view.take_snapshot() == before


@then("the record notification is refused and changes nothing")
def step_notification_refused(context):
    assert context.refused
    assert context.is_unchanged


@then('records daemon "{name:w}" refuses requests for records with wrong fields')
def step_wrong_requests(context, name):
    replicator = context.cluster.daemons[name].replicator
    for request in (FetchRecords(b"", 1), FetchRecords("text", "")):
        attempt(context, context.cluster.call, replicator.handle_fetch, request)
        assert context.error is not None
