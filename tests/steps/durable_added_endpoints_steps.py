"""Steps for endpoints that are added while the next holder is on standby; each play is one loop."""

from anyio import sleep
from behave import given, then, use_step_matcher, when

from berylproxy.durable.holding.context import InheritedEndpoints
from berylproxy.durable.holding.records import decode_division, division_key
from tests.support.endpoint_world import make_endpoint
from tests.support.resubmission_world import SERVICE, ResubmissionWorld, play

JOB = "job-1"
SHORT_RUN_TIME_S, LONG_RUN_TIME_S = 0.3, 30.0

use_step_matcher("re")


def list_added(world):
    """Lists the endpoints that were added."""
    return [e for e in world.endpoints if e.info.instance.endpoint_id.startswith("added")]


def count_starts(world):
    """Counts the orders to start a task that endpoints have carried out."""
    return sum(event[1] == "start" for e in world.endpoints for event in e.history)


@given(
    r"2 groups of 1 endpoint, and a standby daemon with the divisions of before (?P<count>\d+) "
    r"were added"
)
def step_impl(context, count):
    context.resubmission_world = ResubmissionWorld(
        endpoints_per_group=1, run_time_s=SHORT_RUN_TIME_S
    )

    async def add(world):
        for number in range(int(count)):
            world.endpoints.append(make_endpoint(f"added-{number}"))
            world.endpoints[-1].run_time_s = LONG_RUN_TIME_S
        added = {e.info.instance.endpoint_id for e in list_added(world)}
        await world.wait_until(lambda: added <= _read_assigned(world))
        await world.wait_until(lambda: all(e.fence for e in list_added(world)))

    context.plays = [add]


def _read_assigned(world):
    """Returns the endpoints that the stored division assigns to groups."""
    return set(decode_division(world.store.entries[division_key(SERVICE)].value).assigned)


@given(r"the standby daemon has read the list since")
def step_impl(context):
    async def read(world):
        endpoint_list = world.entry.coordinator._endpoint_list
        endpoints = await world.directory.fetch()
        endpoint_list.update(endpoints, world.entry.coordinator._clock.now_s())

    context.plays.append(read)


@given(
    r"a (?P<kind>durable|best-effort) job of (?P<tasks>\d+) tasks is submitted, some of which run "
    r"on at an added endpoint"
)
def step_impl(context, kind, tasks):
    async def submit(world):
        context.named_before = world.entry.coordinator.known_holders[world.group_of(JOB)].endpoints
        world.submit(world.entry, JOB, int(tasks), is_durable=kind == "durable")
        await world.wait_until(lambda: count_starts(world) == int(tasks))
        added = list_added(world)
        await world.wait_until(
            lambda: len(added) and not any(e.running for e in world.endpoints[: -len(added)])
        )
        assert world.count_running(), "no task runs at an added endpoint"
        context.starts = count_starts(world)

    context.plays.append(submit)


@when(r"the entries of the added endpoints lapse")
def step_impl(context):
    async def lapse(world):
        await sleep(0.05)
        added = list_added(world)
        world.directory.outdated_list = tuple(e.info for e in world.endpoints if e not in added)

    context.plays.append(lapse)


@when(r"the entries of the added endpoints are back (?P<delay_s>\d+) s later")
def step_impl(context, delay_s):
    async def come_back(world):
        await sleep(float(delay_s))
        world.directory.outdated_list = None

    context.plays.append(come_back)


@when(r"a read of the division takes (?P<delay_s>[\d.]+) s from now on")
def step_impl(context, delay_s):
    async def slow_down(world):
        world.store.key_delays_s[division_key(SERVICE)] = float(delay_s)

    context.plays.append(slow_down)


@when(
    r"the holder goes(?P<when>, whose last heartbeat is of before the job,| before a heartbeat "
    r"names the runs,) and the standby daemon takes over"
)
def step_impl(context, when):
    async def take_over(world):
        group, former = world.group_of(JOB), world.holder_of(JOB)
        fence = former.coordinator.holders[group].tenure.fence
        for daemon in world.daemons:
            daemon.has_store = daemon is world.entry
            daemon.coordinator.is_leaving = daemon is not world.entry  # it claims no group
        former.coordinator.holders[group].tenure.end("the test asks for it")
        known = world.entry.coordinator.known_holders[group]
        named = context.named_before.endpoint_ids if "of before the job" in when else ()
        known.endpoints = InheritedEndpoints(fence, frozenset(named))
        await world.wait_until(lambda: world.is_held_above(group, fence))
        assert group in world.entry.coordinator.holders

    context.plays.append(take_over)


@then(r"(?P<time_s>\d+) s later no task has run twice at the same time")
def step_impl(context, time_s):
    async def check(world):
        await sleep(float(time_s))
        overlaps = world.find_overlaps()
        assert not overlaps, overlaps

    context.plays.append(check)
    play(context)


@then(r"no task was started again")
def step_impl(context):
    starts = count_starts(context.resubmission_world)
    assert starts == context.starts, f"{starts - context.starts} tasks were started again"


use_step_matcher("parse")
