"""Steps for the view of the records."""

from random import Random

from behave import given, then, when

from berylproxy.records.envelope import Envelope, encode_envelope, make_key
from berylproxy.records.view import RecordView
from berylproxy.store.port import Entry
from tests.support.records_world import ENDPOINT_V1, ENDPOINT_V2, POOL


def make_entry(kind, name, raw, revision):
    """Returns an entry as it is in the store."""
    return Entry(make_key(kind, name), encode_envelope(Envelope("change", 0, raw)), revision)


def make_deletion(kind, name, revision):
    """Returns the deletion of an entry."""
    return Entry(make_key(kind, name), b"", revision)


def summarize(view):
    """Returns the parts of a view that must not depend on the order of changes."""
    return view.configuration, view.digests.summarize(), view.take_snapshot()


@then("{count:d} random orders of the same record changes give the same view and digest")
def step_orders(context, count):
    random = Random(3)
    changes = []
    for revision in range(1, 41):
        name = random.choice("abcde")
        if random.random() < 0.3:
            changes.append(((), (make_deletion("pools", name, revision),)))
        else:
            changes.append(((make_entry("pools", name, POOL, revision),), ()))
    expected = RecordView()
    for updates, deletions in changes:
        expected.apply(updates, deletions)
    for _ in range(count):
        shuffled = RecordView()
        for updates, deletions in random.sample(changes, len(changes)):
            shuffled.apply(updates, deletions)
        assert summarize(shuffled) == summarize(expected)


@given('a record view with revision 3 of "a" and another with revisions 2 of "b" and 3 of "a"')
def step_two_views(context):
    late = make_entry("pools", "a", POOL, 3)
    context.views = (RecordView(), RecordView())
    context.views[0].apply((late,), ())
    context.views[1].apply((late, make_entry("pools", "b", POOL, 2)), ())


@then("the record digests differ")
def step_digests_differ(context):
    first, second = context.views
    assert first.revision == second.revision
    assert first.digests.summarize() != second.digests.summarize()
    assert len(first.digests.find_differing_buckets(second.digests.encode())) == 1


@given('a record view with a pool "oak" and an endpoint "e1"')
def step_view(context):
    context.view = RecordView()
    entries = (
        make_entry("pools", "oak", POOL, 1),
        make_entry("endpoints", "e1", ENDPOINT_V1, 2),
    )
    context.view.apply(entries, ())


@when('the record view receives endpoint "e1" in schema version {version:d}')
def step_new_version(context, version):
    raw = ENDPOINT_V2 | {"schema_version": version}
    entry = make_entry("endpoints", "e1", raw, context.view.revision + 1)
    context.view.apply((entry,), ())


@when('the record view receives broken values for endpoint "e1" and a new endpoint')
def step_broken(context):
    keys = (make_key("endpoints", "e1"), make_key("endpoints", "e2"))
    context.view.apply((Entry(keys[0], b"{", 3), Entry(keys[1], b"[1]", 4)), ())


@when('the record view receives a deletion of pool "oak"')
def step_dangling(context):
    context.view.apply((), (make_deletion("pools", "oak", 3),))


@then('endpoint "{name}" is in the record view with {slots:d} slots')
def step_slots(context, name, slots):
    assert context.view.configuration.endpoints[name].slots == slots


@then('endpoint "{name}" is in the record view with cost bearer "{bearer}"')
def step_bearer(context, name, bearer):
    assert context.view.configuration.endpoints[name].cost_bearer == bearer


@then('the record view reports "{code}" for endpoint "{name}"')
def step_report(context, code, name):
    problems = {
        (problem.code, problem.kind, problem.name) for problem in context.view.list_problems()
    }
    assert (code, "endpoints", name) in problems, problems


@then("the record view reports nothing")
def step_no_report(context):
    assert context.view.list_problems() == []


@given("a record view limited to 1 tombstone after 3 deletions")
def step_bounded(context):
    context.view = RecordView(max_tombstones=1)
    for revision, name in enumerate("abc", start=1):
        context.view.apply((make_entry("pools", name, POOL, revision),), ())
    for revision, name in enumerate("abc", start=4):
        context.view.apply((), (make_deletion("pools", name, revision),))
    assert len(context.view.take_snapshot().tombstones) == 1


@when("a peer sends the view the first deleted record")
def step_resurrect(context):
    context.view.apply_from_peer((make_entry("pools", "a", POOL, 1),), ())


@then("the record stays deleted")
def step_stays_deleted(context):
    assert context.view.configuration.pools == {}
