"""Steps for the watch of the records in the store."""

from random import Random

from behave import given, then, when

from berylproxy.records.backoff import Backoff
from berylproxy.records.envelope import make_key
from berylproxy.records.view import RecordView
from berylproxy.records.watcher import StoreState, find_rollback_evidence
from berylproxy.store.port import Entry, Listing
from tests.support.records_world import POOL

ALL = 1_000_000


@given('a records daemon "{name:w}" without a network')
def step_isolated_daemon(context, name):
    context.cluster.add_daemon(name, replicates=False)
    context.cluster.daemons[name].network.is_isolated = True


@when('record pool "{pool:w}" is deleted in the store')
def step_delete_in_store(context, pool):
    stored = context.cluster.store.find(make_key("pools", pool))
    context.cluster.write("pools", pool, None, stored.revision)


@when('the record store is unavailable for {count:d} attempts of records daemon "{name:w}"')
def step_outage_attempts(context, count, name):
    store = context.cluster.store
    context.cluster.call(store.set_outage, True)

    context.cluster.run(store.wait_for_calls, "list_prefix", store.calls["list_prefix"] + count)


@when('record pool "{new:w}" is written, "{old:w}" deleted and the outage ends')
def step_write_in_outage(context, new, old):
    context.cluster.write("pools", new, POOL)
    step_delete_in_store(context, old)
    context.cluster.call(context.cluster.store.set_outage, False)


@when('record pool "{pool:w}" is written and the store compacts before the watch returns it')
def step_compact(context, pool):
    context.lists = context.cluster.store.calls["list_prefix"]

    def write_and_compact() -> None:
        stored = context.cluster.store.find(make_key("pools", "oak"))
        context.cluster.store.write(make_key("pools", pool), stored.value, 0)
        context.cluster.store.compact()

    context.cluster.call(write_and_compact)


@when('pools "ash", "elm" and "fir" are written, a peer sends the last and each watch returns one')
def step_one_by_one(context):
    store = context.cluster.store
    store.max_batch_changes = 1
    context.lists = store.calls["list_prefix"]

    def write_and_notify() -> None:
        value = store.find(make_key("pools", "oak")).value
        for pool in ("ash", "elm", "fir"):
            revision = store.write(make_key("pools", pool), value, 0)
        latest = Entry(make_key("pools", "fir"), value, revision)
        context.cluster.daemons["a"].view.apply_from_peer((latest,), ())

    context.cluster.call(write_and_notify)


@then("the record store was not listed again")
def step_not_listed(context):
    assert context.cluster.store.calls["list_prefix"] == context.lists


@then('records daemon "{name:w}" follows the store')
def step_follows(context, name):
    watcher = context.cluster.daemons[name].watcher
    context.cluster.run(watcher.wait_for_state, StoreState.FOLLOWING)
    assert context.cluster.store.calls["list_prefix"] == context.lists + 1


@when('the record store is backed up, gets pool "{pool:w}" and is restored {afterwards}')
def step_restore(context, pool, afterwards):
    cluster = context.cluster
    backup = cluster.store.make_backup()
    cluster.put("a", "pools", pool, POOL)

    def restore() -> None:
        store = cluster.store
        store.restore(backup, breaks_watches="silently" not in afterwards)
        stored = store.find(make_key("pools", "oak"))
        if "rebuilt" in afterwards:
            store.write(stored.key, b"", stored.revision)
            for revision in (0, 3, 4):
                store.write(stored.key, stored.value, revision)
        if "differently" in afterwards:
            for revision in (0, 2, 3):
                store.write(make_key("pools", pool), stored.value, revision)

    cluster.call(restore)
    cluster.write("pools", "fir", POOL)


@then('records daemon "{name:w}" reports the store as "{state:w}"')
def step_store_state(context, name, state):
    watcher = context.cluster.daemons[name].watcher
    context.cluster.run(watcher.wait_for_state, StoreState(state))
    assert watcher.problem


@then('with pool "oak" at revision 5 and pool "elm" deleted at 9 these listings show:')
def step_rollback_signs(context):
    known = RecordView()
    known.apply((Entry("oak", b"5", 5),), (Entry("elm", b"", 9),))
    for row in context.table:
        entries = []
        for words in (text.split() for text in row["records"].split(", ")):
            value = b"other" if words[-1] == "value" else b"5"
            entries.append(Entry(words[0], value, int(words[2])))
        listing = Listing(int(row["revision"]), tuple(entries))
        evidence = find_rollback_evidence(listing, known.take_snapshot())
        assert bool(evidence) == (row["sign"] == "older"), (row, evidence)


@then('records daemon "{name:w}" refuses to apply pool "{pool:w}" with "{code:w}"')
def step_refuses(context, name, pool, code):
    context.execute_steps(
        f'When records daemon "{name}" applies pool "{pool}"\n'
        f'Then the record change is refused with "{code}"'
    )


@then("{count:d} record watch delays grow from about {first:g} s to at most {last:g} s")
def step_backoff(context, count, first, last):
    backoff = Backoff(Random(1), first, last / 1.5)
    delays = [backoff.choose_delay_s() for _ in range(count)]
    assert first * 0.5 <= delays[0] <= first * 1.5, delays
    assert max(delays) <= last, delays
    assert min(delays[-5:]) >= last / 1.5 * 0.5, delays
    backoff.reset()
    assert backoff.choose_delay_s() <= first * 1.5
