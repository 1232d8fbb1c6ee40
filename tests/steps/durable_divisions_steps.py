"""Steps for the stored divisions of services, of daemons that share a store in memory."""

from unittest.mock import patch

from anyio import create_task_group, run
from behave import given, then, use_step_matcher, when
from msgpack import packb, unpackb

from berylproxy.durable.holding import divisions
from berylproxy.durable.holding.divisions import ServiceDivisions
from berylproxy.durable.holding.groups import Division, list_groups
from berylproxy.durable.holding.records import decode_division, division_key, encode_division
from berylproxy.store.port import Entry
from tests.support.endpoint_world import FakeDirectory, FakeJobStore, make_endpoint

SERVICE = "ledger"
MAX_LOADS = 3

use_step_matcher("re")


class ManualClock:
    """A clock that a feature moves on."""

    def __init__(self) -> None:
        self.time_s = 100.0

    def now_s(self) -> float:
        """Returns the time."""
        return self.time_s


@given(
    r'a service of (?P<count>\d+) listed endpoints and daemons "d0" and "d1", which each carry '
    r"(?P<carried>\d+) endpoints"
)
def step_impl(context, count, carried):
    context.division_store, context.division_clock = FakeJobStore(), ManualClock()
    context.division_directory = FakeDirectory([make_endpoint(f"e{n}") for n in range(int(count))])
    context.reaching, context.vanished = {"d0", "d1"}, []
    context.divisions = {
        name: ServiceDivisions(
            context.division_store,
            context.division_directory,
            context.division_clock,
            lambda: [int(carried)] * 18,
            lambda name=name: name in context.reaching,
        )
        for name in ("d0", "d1")
    }


@given(r'"(?P<name>\w+)" does not reach all other daemons')
def step_impl(context, name):
    context.reaching.discard(name)


@given(r"an earlier version has stored a division into (?P<groups>\d+) groups")
def step_impl(context, groups):
    key, value = division_key(SERVICE), packb({"schema_version": 1, "groups": int(groups)})
    context.division_store.entries[key] = Entry(key, value, 5)


@when(r'"(?P<name>\w+)" loads the division (?P<times>once|until it is known)')
def step_impl(context, name, times):
    async def load():
        for _ in range(1 if times == "once" else MAX_LOADS):
            if await context.divisions[name].load(SERVICE):
                return

    with patch.object(divisions, "LIST_CHECK_INTERVAL_S", 0.01):
        run(load)


@when(r"(?P<count>\d+) endpoints are added")
def step_impl(context, count):
    context.division_directory.endpoints += [make_endpoint(f"n{n}") for n in range(int(count))]


def read_stored(context):
    """Returns the stored division."""
    return decode_division(context.division_store.entries[division_key(SERVICE)].value)


@when(r"(?P<count>\d+) endpoints that were assigned after them have left the list long ago")
def step_impl(context, count):
    stored = read_stored(context)
    former = {f"former-{n}": n % stored.count for n in range(int(count))}
    value = encode_division(Division(stored.count, stored.assigned | former))
    key = division_key(SERVICE)
    context.division_store.revision += 1
    context.division_store.entries[key] = Entry(key, value, context.division_store.revision)


@when(r'endpoint "(?P<endpoint_id>\w+)" leaves the list')
def step_impl(context, endpoint_id):
    context.group_before = read_stored(context).assigned[endpoint_id]
    endpoints = context.division_directory.endpoints
    (gone,) = [e for e in endpoints if e.info.instance.endpoint_id == endpoint_id]
    endpoints.remove(gone)
    context.vanished.append(gone.info)


def look_at_list(context, *holdings):
    """Lets daemons assign new endpoints concurrently, each given with the group that it holds."""

    async def look():
        endpoints = await context.division_directory.fetch()
        async with create_task_group() as task_group:
            for name, number in holdings:
                known = context.divisions[name]
                held = {known.groups_of(SERVICE)[number]}
                task_group.start_soon(known.assign_new_endpoints, endpoints, held, context.vanished)

    run(look)


@when(
    r'"(?P<name>\w+)", which holds group (?P<number>\d+), looks at the list'
    r"(?: (?P<later_s>\d+) s later)?"
)
def step_impl(context, name, number, later_s=None):
    context.division_clock.time_s += float(later_s or 0)
    look_at_list(context, (name, int(number)))


@when(r'"d0" and "d1", which both hold group 0, look at the list at once')
def step_impl(context):
    look_at_list(context, ("d0", 0), ("d1", 0))


def list_known_groups(context, name):
    """Returns the group of each listed endpoint as a daemon knows it."""
    return {
        endpoint.info.instance.endpoint_id: context.divisions[name].group_of_endpoint(
            SERVICE, endpoint.info.instance.endpoint_id
        )
        for endpoint in context.division_directory.endpoints
    }


@then(r"both daemons assign each endpoint to the same one of (?P<count>\d+) groups")
def step_impl(context, count):
    groups = list_known_groups(context, "d0")
    assert groups == list_known_groups(context, "d1"), groups
    assert set(groups.values()) == set(list_groups(SERVICE, int(count))), groups


@then(r'"(?P<name>\w+)" knows no group of (?P<count>\d+) endpoints')
def step_impl(context, name, count):
    unknown = [key for key, group in list_known_groups(context, name).items() if not group]
    assert len(unknown) == int(count), unknown


@then(
    r'"(?P<endpoint_id>\w+)" is still assigned to its group, beside (?P<count>\d+) others that '
    r"aren't listed"
)
def step_impl(context, endpoint_id, count):
    assigned = read_stored(context).assigned
    assert assigned.get(endpoint_id) == context.group_before, assigned.get(endpoint_id)
    listed = {e.info.instance.endpoint_id for e in context.division_directory.endpoints}
    assert len(assigned.keys() - listed) == int(count) + 1, len(assigned.keys() - listed)


@then(r"no division is stored")
def step_impl(context):
    assert not context.division_store.entries, context.division_store.entries


@then(r"the stored division has no assignments")
def step_impl(context):
    stored = unpackb(context.division_store.entries[division_key(SERVICE)].value)
    assert "assigned" not in stored, stored


use_step_matcher("parse")
