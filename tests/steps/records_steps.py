"""Steps for daemons with records, which all features of the records share."""

from behave import given, then, when

from berylproxy.records.envelope import Envelope, encode_envelope, make_key
from berylproxy.records.messages import (
    RecordsAccepted,
)
from tests.support.records_world import POOL, RecordsCluster, attempt

ALL = 1_000_000


@given('a record store with a pool "{name:w}"')
def step_store(context, name):
    context.cluster = RecordsCluster()
    context.add_cleanup(context.cluster.close)
    context.cluster.write("pools", name, POOL)


@given('a records daemon "{name:w}"')
@when('a records daemon "{name:w}" starts')
def step_daemon(context, name):
    context.cluster.add_daemon(name)


@when('records daemon "{name:w}" is sent pool "{pool:w}" at revision {revision:d} by a peer')
def step_sent_by_peer(context, name, pool, revision):
    value = encode_envelope(Envelope("change", 0, POOL))
    message = RecordsAccepted([[make_key("pools", pool), value, revision]], [])
    context.cluster.call(context.cluster.daemons[name].replicator.handle_accepted, message)


@given("the record store is unavailable")
def step_store_unavailable(context):
    context.cluster.call(context.cluster.store.set_outage, True)


@when("the record store is available again")
def step_store_available(context):
    context.cluster.call(context.cluster.store.set_outage, False)


@when('records daemon "{name:w}" applies pool "{pool:w}"')
def step_apply_pool(context, name, pool):
    context.key = make_key("pools", pool)
    attempt(context, context.cluster.put, name, "pools", pool, POOL)


@when('records daemon "{name:w}" deletes pool "{pool:w}"')
def step_delete_pool(context, name, pool):
    editor = context.cluster.daemons[name].editor
    revision = context.cluster.store.find(make_key("pools", pool)).revision
    attempt(context, context.cluster.run, editor.delete, "pools", pool, revision)


@then('the record change is refused with "{code:w}"')
def step_refused(context, code):
    assert context.error is not None, "accepted"
    assert context.error.code == code, context.error.code


@then('the record store has no pool "{pool:w}"')
def step_not_stored(context, pool):
    assert context.cluster.store.find(make_key("pools", pool)) is None


@given('records daemon "{name:w}" has pool "{pool:w}" in force')
@then('records daemon "{name:w}" has pool "{pool:w}" in force')
def step_has_pool(context, name, pool):
    context.cluster.wait_until(name, lambda configuration: pool in configuration.pools)


@then('records daemon "{name:w}" still has pool "{pool:w}" in force')
def step_still_has_pool(context, name, pool):
    assert pool in context.cluster.daemons[name].view.configuration.pools


@then('records daemon "{name:w}" still has no pool "{pool:w}"')
def step_still_has_no_pool(context, name, pool):
    assert pool not in context.cluster.daemons[name].view.configuration.pools


@then('records daemon "{name:w}" has no pool "{pool:w}"')
def step_has_no_pool(context, name, pool):
    context.cluster.wait_until(name, lambda configuration: pool not in configuration.pools)


@given('records daemon "{name:w}" has {count:d} pools in force')
@then('records daemon "{name:w}" has {count:d} pools in force')
def step_has_pools(context, name, count):
    context.cluster.wait_until(name, lambda configuration: len(configuration.pools) == count)
    context.cluster.run(context.cluster.daemons[name].view.wait_loaded)
