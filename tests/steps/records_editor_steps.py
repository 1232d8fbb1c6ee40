"""Steps for operators' changes to the records."""

import anyio
from behave import given, then, when

from berylproxy.records.editor import RecordEditor
from berylproxy.records.envelope import make_key
from berylproxy.records.errors import RecordError
from tests.support.records_world import ENDPOINT_V1, POOL, attempt

ALL = 1_000_000


@given("the record store loses the answer to the next write")
def step_lose_answer(context):
    context.cluster.store.lost_answers = 1


@given("the record store loses the answer to the next write of a creation marker")
def step_lose_marker_answer(context):
    context.cluster.store.never_lost_key = ""
    context.cluster.store.lost_answers = 1


@given("the record store loses the answer to the next write and becomes unavailable")
def step_lose_answer_then_outage(context):
    store = context.cluster.store
    store.lost_answers = 1
    store.on_loss = lambda: store.set_outage(True)


@given("the record store loses the next write on an existing pool")
def step_lose_write(context):
    context.cluster.store.lost_writes = 1


@when('records daemon "{name:w}" applies endpoint "{endpoint:w}"')
def step_apply_endpoint(context, name, endpoint):
    context.key = make_key("endpoints", endpoint)
    attempt(context, context.cluster.put, name, "endpoints", endpoint, ENDPOINT_V1)


@when('records daemon "{name:w}" applies an endpoint of the missing pool "{pool:w}"')
def step_apply_dangling(context, name, pool):
    raw = ENDPOINT_V1 | {"pool": pool}
    attempt(context, context.cluster.put, name, "endpoints", "e1", raw)


@when('records daemon "{name:w}" changes pool "{pool:w}"')
def step_change_pool(context, name, pool):
    context.key = make_key("pools", pool)
    revision = context.cluster.store.find(context.key).revision
    attempt(context, context.cluster.put, name, "pools", pool, POOL, revision)


@when(
    'records daemon "{name:w}" changes pool "{pool:w}" and "{other:w}" changes it before the answer'
)
def step_changed_by_other(context, name, pool, other):
    store = context.cluster.store
    stored = store.find(make_key("pools", pool))
    value = stored.value.replace(b"change-of-other", other.encode())
    value = value.replace(b'"replaces_revision":0', b'"replaces_revision":%d' % stored.revision)
    store.on_loss = lambda: store.write(stored.key, value, stored.revision)
    step_change_pool(context, name, pool)


@when('records daemons "{first:w}" and "{second:w}" change pool "{pool:w}" at one revision')
def step_race(context, first, second, pool):
    revision = context.cluster.store.find(make_key("pools", pool)).revision
    context.results, context.errors = [], []

    async def change(editor: RecordEditor) -> None:
        try:
            context.results.append(await editor.put("pools", pool, POOL, revision))
        except RecordError as error:
            context.errors.append(error)

    async def race() -> None:
        async with anyio.create_task_group() as tasks:
            for name in (first, second):
                tasks.start_soon(change, context.cluster.daemons[name].editor)

    context.cluster.run(race)


@then('one record change is accepted and the other is refused with "{code:w}" and its revision')
def step_check_race(context, code):
    assert len(context.results) == 1, context.results
    assert [error.code for error in context.errors] == [code]
    assert context.errors[0].current_revision == context.results[0]


@then("the record change is accepted at the stored revision and was written once")
def step_written_once(context):
    assert context.error is None, context.error
    stored = context.cluster.store.find(context.key)
    assert stored.revision == context.result
    assert b"change-of-a" in stored.value
    created = 1 if context.key == make_key("pools", "oak") else 0  # written by the background
    assert context.cluster.store.count_writes(context.key) == 1 + created


@then('the record change is refused with "{code:w}" and its change id')
def step_refused_unknown(context, code):
    context.execute_steps(f'Then the record change is refused with "{code}"')
    assert context.error.change_id == "change-of-a"
    assert context.error.change_id in context.error.hint


@then('the record deletion is accepted and records daemon "{name:w}" has no pool "{pool:w}"')
def step_deleted(context, name, pool):
    assert context.error is None, context.error
    context.execute_steps(f'Then records daemon "{name}" has no pool "{pool}"')
