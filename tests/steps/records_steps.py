"""Steps for records in daemons with a store and a network."""

import json
from random import Random

import anyio
import msgpack
from behave import given, then, when

from berylproxy.platform.store import Entry, Listing
from berylproxy.records.backoff import Backoff
from berylproxy.records.editor import RecordEditor
from berylproxy.records.envelope import Envelope, encode_envelope, make_key
from berylproxy.records.errors import RecordError
from berylproxy.records.messages import (
    FetchRecords,
    RecordMessageInvalidError,
    Records,
    RecordsAccepted,
)
from berylproxy.records.spread import ViewState
from berylproxy.records.view import RecordView
from berylproxy.records.watcher import StoreState, find_reversal
from tests.support.records_world import ENDPOINT_V1, POOL, RecordsWorld

ALL = 1_000_000


def attempt(context, function, *arguments):
    """Calls a function and keeps its result or its record error."""
    context.result = context.error = None
    try:
        context.result = function(*arguments)
    except RecordError as error:
        context.error = error


@given('a record store with a pool "{name:w}"')
def step_store(context, name):
    context.world = RecordsWorld()
    context.add_cleanup(context.world.close)
    context.world.write("pools", name, POOL)


@given('a records daemon "{name:w}"')
@when('a records daemon "{name:w}" starts')
def step_daemon(context, name):
    context.world.add_daemon(name)


@when('records daemons "{first:w}" and "{second:w}" start')
def step_daemons(context, first, second):
    context.world.add_daemon(first)
    context.world.add_daemon(second)


@given('a records daemon "{name:w}" without a network')
def step_daemon_cut(context, name):
    context.world.add_daemon(name, spreads=False)
    context.world.daemons[name].network.is_cut = True


@given('a records daemon "{name:w}" that cannot reach the store')
def step_daemon_without_store(context, name):
    context.world.add_daemon(name, follows_store=False)


@given('only records daemons "{first:w}" and "{second:w}" that do not run by themselves')
def step_idle_daemons(context, first, second):
    step_no_other(context)
    for name in (first, second):
        context.world.add_daemon(name, follows_store=False, spreads=False)
        context.world.daemons[name].view.mark_loaded("peer")


@given('only records daemon "{name:w}" that has loaded nothing')
def step_unloaded_daemon(context, name):
    step_no_other(context)
    context.world.add_daemon(name, follows_store=False, spreads=False)


@given('a records daemon "{name:w}" whose peers get {answer}')
def step_wrong_answers(context, name, answer):
    context.world.add_daemon(name, follows_store=False, spreads=False)
    context.world.daemons[name].view.mark_loaded("store")
    answers = {
        "an answer without a view": Records([], [], False, 9, 0, ""),
        "the same chunk again": Records([], [], True, 9, 0, "key"),
        "something else": "text",
    }
    context.world.wrong_reply = answers[answer]


@then('records daemon "{name:w}" has loaded nothing after {count:d} requests')
def step_nothing_loaded(context, name, count):
    assert not context.world.daemons[name].view.is_loaded
    assert len(context.world.requests) == count, len(context.world.requests)


@given('records daemon "{name:w}" has forgotten deletions up to revision {revision:d}')
def step_forgotten(context, name, revision):
    context.world.daemons[name].view.raise_forgotten_revision(revision)


@when('records daemon "{name:w}" is sent pool "{pool:w}" at revision {revision:d} by a peer')
def step_sent(context, name, pool, revision):
    value = encode_envelope(Envelope("change", 0, POOL))
    message = RecordsAccepted([[make_key("pools", pool), value, revision]], [])
    context.world.call(context.world.daemons[name].spreader.handle_accepted, message)


@given("no other records daemon runs")
def step_no_other(context):
    for name in list(context.world.daemons):
        context.world.stop_daemon(name)


@given("the record store is out")
def step_out(context):
    context.world.call(context.world.store.set_outage, True)


@when("the record store is back")
def step_back(context):
    context.world.call(context.world.store.set_outage, False)


@given("the record store loses the answer to the next write")
def step_lose_answer(context):
    context.world.store.lost_answers = 1


@given("the record store loses the answer to the next write of a mark")
def step_lose_mark_answer(context):
    context.world.store.spared_key = ""
    context.world.store.lost_answers = 1


@given("the record store loses the answer to the next write and goes out")
def step_lose_answer_and_out(context):
    store = context.world.store
    store.lost_answers = 1
    store.on_loss = lambda: store.set_outage(True)


@given("the record store loses the next write on an existing pool")
def step_lose_write(context):
    context.world.store.lost_writes = 1


@given('records daemon "{name:w}" applied {count:d} more pools')
def step_many_pools(context, name, count):
    for position in range(count):
        context.world.put(name, "pools", f"pool-{position}", POOL)


@given('records daemon "{name:w}" alone knows of pool "{pool:w}"')
def step_knows_alone(context, name, pool):
    revision = context.world.write("pools", pool, POOL)
    entry = context.world.store.find(make_key("pools", pool))
    assert entry.revision == revision
    context.world.call(context.world.daemons[name].view.apply, (entry,), ())


@when('records daemon "{name:w}" looks {count:d} times at the digests')
def step_look(context, name, count):
    for _ in range(count):
        context.world.run(context.world.daemons[name].spreader.reconcile)


@then("{count:d} record fetch was made")
@then("{count:d} record fetches were made")
def step_count_fetches(context, count):
    assert len(context.world.requests) == count, len(context.world.requests)


@when('records daemon "{name:w}" applies pool "{pool:w}"')
def step_apply_pool(context, name, pool):
    context.key = make_key("pools", pool)
    attempt(context, context.world.put, name, "pools", pool, POOL)


@when('records daemon "{name:w}" applies endpoint "{endpoint:w}"')
def step_apply_endpoint(context, name, endpoint):
    context.key = make_key("endpoints", endpoint)
    attempt(context, context.world.put, name, "endpoints", endpoint, ENDPOINT_V1)


@when('records daemon "{name:w}" applies an endpoint of the missing pool "{pool:w}"')
def step_apply_dangling(context, name, pool):
    raw = ENDPOINT_V1 | {"pool": pool}
    attempt(context, context.world.put, name, "endpoints", "e1", raw)


@when('records daemon "{name:w}" changes pool "{pool:w}"')
def step_change_pool(context, name, pool):
    context.key = make_key("pools", pool)
    revision = context.world.store.find(context.key).revision
    attempt(context, context.world.put, name, "pools", pool, POOL, revision)


@when('records daemon "{name:w}" deletes pool "{pool:w}"')
def step_delete_pool(context, name, pool):
    editor = context.world.daemons[name].editor
    revision = context.world.store.find(make_key("pools", pool)).revision
    attempt(context, context.world.run, editor.delete, "pools", pool, revision)


@when('records daemon "{name:w}" changes pool "{pool:w}" and "{other:w}" does so before the answer')
def step_overtaken(context, name, pool, other):
    store = context.world.store
    held = store.find(make_key("pools", pool))
    value = held.value.replace(b"change-of-other", other.encode())
    value = value.replace(b'"replaces_revision":0', b'"replaces_revision":%d' % held.revision)
    store.on_loss = lambda: store.write(held.key, value, held.revision)
    step_change_pool(context, name, pool)


@when('records daemons "{first:w}" and "{second:w}" change pool "{pool:w}" at one revision')
def step_race(context, first, second, pool):
    revision = context.world.store.find(make_key("pools", pool)).revision
    context.results, context.errors = [], []

    async def change(editor: RecordEditor) -> None:
        try:
            context.results.append(await editor.put("pools", pool, POOL, revision))
        except RecordError as error:
            context.errors.append(error)

    async def race() -> None:
        async with anyio.create_task_group() as tasks:
            for name in (first, second):
                tasks.start_soon(change, context.world.daemons[name].editor)

    context.world.run(race)


@then('one record change is accepted and the other is refused with "{code:w}" and its revision')
def step_check_race(context, code):
    assert len(context.results) == 1, context.results
    assert [error.code for error in context.errors] == [code]
    assert context.errors[0].current_revision == context.results[0]


@then("the record change is accepted at the stored revision and was written once")
def step_written_once(context):
    assert context.error is None, context.error
    stored = context.world.store.find(context.key)
    assert stored.revision == context.result
    assert b"change-of-a" in stored.value
    created = 1 if context.key == make_key("pools", "oak") else 0  # by the background
    assert context.world.store.count_writes(context.key) == 1 + created


@then('the record change is refused with "{code:w}"')
def step_refused(context, code):
    assert context.error is not None, "accepted"
    assert context.error.code == code, context.error.code


@then('the record change is refused with "{code:w}" and its change id')
def step_refused_unknown(context, code):
    step_refused(context, code)
    assert context.error.change_id == "change-of-a"
    assert context.error.change_id in context.error.hint


@then('the record store has no pool "{pool:w}"')
def step_not_stored(context, pool):
    assert context.world.store.find(make_key("pools", pool)) is None


@then('the record deletion is accepted and records daemon "{name:w}" has no pool "{pool:w}"')
def step_deleted(context, name, pool):
    assert context.error is None, context.error
    step_has_no_pool(context, name, pool)


@given('records daemon "{name:w}" has pool "{pool:w}" in force')
@then('records daemon "{name:w}" has pool "{pool:w}" in force')
def step_has_pool(context, name, pool):
    context.world.wait_until(name, lambda configuration: pool in configuration.pools)


@then('records daemon "{name:w}" still has pool "{pool:w}" in force')
def step_still_has_pool(context, name, pool):
    assert pool in context.world.daemons[name].view.configuration.pools


@then('records daemon "{name:w}" still has no pool "{pool:w}"')
def step_still_has_no_pool(context, name, pool):
    assert pool not in context.world.daemons[name].view.configuration.pools


@then('records daemon "{name:w}" has no pool "{pool:w}"')
def step_has_no_pool(context, name, pool):
    context.world.wait_until(name, lambda configuration: pool not in configuration.pools)


@given('records daemon "{name:w}" has {count:d} pools in force')
@then('records daemon "{name:w}" has {count:d} pools in force')
def step_has_pools(context, name, count):
    context.world.wait_until(name, lambda configuration: len(configuration.pools) == count)
    context.world.run(context.world.daemons[name].view.wait_loaded)


@then('records daemon "{name:w}" is "{state:w}" from "{source:w}"')
def step_loaded(context, name, state, source):
    daemon = context.world.daemons[name]
    context.world.run(daemon.view.wait_loaded)
    assert (daemon.spreader.state, daemon.view.source) == (ViewState(state), source)


@then('records daemon "{name:w}" comes to be "{state:w}"')
def step_comes_to_be(context, name, state):
    daemon = context.world.daemons[name]
    context.world.run(daemon.spreader.wait_sourceless)
    assert daemon.spreader.state is ViewState(state)
    assert not context.world.daemons[name].view.is_loaded


@when('record pool "{pool:w}" is deleted in the store')
def step_delete_in_store(context, pool):
    held = context.world.store.find(make_key("pools", pool))
    context.world.write("pools", pool, None, held.revision)


@when('the record store goes out for {count:d} attempts of records daemon "{name:w}"')
def step_outage_attempts(context, count, name):
    store = context.world.store
    step_out(context)

    context.world.run(store.wait_for_calls, "list_prefix", store.calls["list_prefix"] + count)


@when('record pool "{new:w}" is written, "{old:w}" deleted and the outage ends')
def step_write_in_outage(context, new, old):
    context.world.write("pools", new, POOL)
    step_delete_in_store(context, old)
    step_back(context)


@when('record pool "{pool:w}" is written and the store compacts before it is seen')
def step_compact(context, pool):
    context.lists = context.world.store.calls["list_prefix"]

    def write_and_compact() -> None:
        held = context.world.store.find(make_key("pools", "oak"))
        context.world.store.write(make_key("pools", pool), held.value, 0)
        context.world.store.compact()

    context.world.call(write_and_compact)


@then('records daemon "{name:w}" follows the store')
def step_follows(context, name):
    watcher = context.world.daemons[name].watcher
    context.world.run(watcher.wait_for_state, StoreState.FOLLOWING)
    assert context.world.store.calls["list_prefix"] == context.lists + 1


@when('the record store is backed up, gets pool "{pool:w}" and is restored {afterwards}')
def step_restore(context, pool, afterwards):
    world = context.world
    backup = world.store.make_backup()
    world.put("a", "pools", pool, POOL)

    def restore() -> None:
        store = world.store
        store.restore(backup)
        held = store.find(make_key("pools", "oak"))
        if "rebuilt" in afterwards:
            store.write(held.key, b"", held.revision)
            for revision in (0, 3, 4):
                store.write(held.key, held.value, revision)
        if "differently" in afterwards:
            for revision in (0, 2, 3):
                store.write(make_key("pools", pool), held.value, revision)

    world.call(restore)


@then('records daemon "{name:w}" reports the store as "{state:w}"')
def step_store_state(context, name, state):
    watcher = context.world.daemons[name].watcher
    context.world.run(watcher.wait_for_state, StoreState(state))
    assert watcher.problem


@then('with pool "oak" at revision 5 and pool "elm" deleted at 9 these lists tell:')
def step_signs(context):
    known = RecordView()
    known.apply((Entry("oak", b"5", 5),), (Entry("elm", b"", 9),))
    for row in context.table:
        entries = []
        for words in (text.split() for text in row["records"].split(", ")):
            value = b"other" if words[-1] == "value" else b"5"
            entries.append(Entry(words[0], value, int(words[2])))
        listing = Listing(int(row["revision"]), tuple(entries))
        sign = find_reversal(listing, known.take_snapshot())
        assert bool(sign) == (row["sign"] == "older"), (row, sign)


@then('records daemon "{name:w}" refuses to apply pool "{pool:w}" with "{code:w}"')
def step_refuses(context, name, pool, code):
    step_apply_pool(context, name, pool)
    step_refused(context, code)


@then("{count:d} record watch delays grow from about {first:g} s to at most {last:g} s")
def step_backoff(context, count, first, last):
    backoff = Backoff(Random(1), first, last / 1.5)
    delays = [backoff.choose_delay_s() for _ in range(count)]
    assert first * 0.5 <= delays[0] <= first * 1.5, delays
    assert max(delays) <= last, delays
    assert min(delays[-5:]) >= last / 1.5 * 0.5, delays
    backoff.reset()
    assert backoff.choose_delay_s() <= first * 1.5


@when('records daemon "{name:w}" applies pool "{pool:w}" and the store goes out at once')
def step_apply_then_out(context, name, pool):
    world = context.world

    async def apply() -> None:
        await world.daemons[name].editor.put("pools", pool, POOL, 0)
        world.store.set_outage(True)

    world.run(apply)


@when('records daemon "{name:w}" applies pool "{pool:w}" and the notification is lost')
def step_apply_lost(context, name, pool):
    context.world.daemons[name].network.lost_notifications = 1
    step_apply_pool(context, name, pool)


@when('records daemon "{name:w}" applies pool "{lost:w}" unnoticed and then pool "{pool:w}"')
def step_apply_two(context, name, lost, pool):
    step_apply_lost(context, name, lost)
    step_apply_pool(context, name, pool)


@when('records daemon "{name:w}" deletes pool "{pool:w}" and the notification is lost')
def step_delete_lost(context, name, pool):
    context.world.daemons[name].network.lost_notifications = 1
    step_delete_pool(context, name, pool)
    assert context.error is None


@then("the peers' record messages were several, each below {size:d} bytes")
def step_chunks(context, size):
    assert len(context.world.replies) > 1
    for reply in context.world.replies:
        packed = msgpack.packb([getattr(reply, name) for name in reply.__dataclass_fields__])
        assert len(packed) < size, len(packed)


@then("the last record fetch carried at most {count:d} records")
def step_small_fetch(context, count):
    carrying = [reply for reply in context.world.replies if reply.entries]
    assert len(carrying[-1].entries) <= count, carrying[-1]


@when('records daemon "{name:w}" is notified of the items {items}')
def step_notify(context, name, items):
    entries = json.loads(items)
    for item in entries or []:
        if item[1:2] == ["bytes"]:
            item[1] = b"{}"
    daemon = context.world.daemons[name]
    before = daemon.view.take_snapshot()
    context.refused = False
    try:
        context.world.call(daemon.spreader.handle_accepted, RecordsAccepted(entries, []))
    except RecordMessageInvalidError:
        context.refused = True
    context.is_unchanged = daemon.view.take_snapshot() == before


@then("the record notification is refused and changes nothing")
def step_notification_refused(context):
    assert context.refused
    assert context.is_unchanged


@then('records daemon "{name:w}" refuses requests for records with wrong fields')
def step_wrong_requests(context, name):
    spreader = context.world.daemons[name].spreader
    for request in (FetchRecords(b"", 1), FetchRecords("text", "")):
        attempt(context, context.world.call, spreader.handle_fetch, request)
        assert context.error is not None
