"""Steps on services that have jobs and aren't in the configuration."""

from functools import partial

from anyio import create_task_group, run, sleep
from behave import given, then, use_step_matcher, when

from berylproxy.durable.holding.groups import Division
from berylproxy.durable.holding.records import (
    DIVISION_PREFIX,
    division_key,
    encode_division,
    encode_job,
    open_key,
)
from berylproxy.durable.jobs.messages import HolderHeartbeat
from berylproxy.durable.jobs.models import JobState, StoredJob
from berylproxy.store.port import StoreUnavailableError
from tests.steps.durable_member_steps import (
    make_coordinator,
    make_identity,
    write,
)
from tests.steps.durable_moved_queue_steps import (
    CALLER_WAIT_S,
    TASKS,
    WAIT_LIMIT_S,
    TwoServices,
    make_spec,
)
from tests.support.endpoint_world import FakeDirectory, FakeJobStore

HOLDER_FENCE = 320

use_step_matcher("re")


@given(
    r'a daemon whose configuration names "annex" only, with job "j1" stored for "ledger"',
)
def step_impl(context):
    world = context.two_services = TwoServices()
    world.configured = {"annex"}
    stored = StoredJob(make_spec("j1", "ledger"), 0.0)
    write(world.store, open_key("ledger", "j1"), encode_job(stored))


@given(r'its configuration also names "lobby", which has no endpoints')
def step_impl(context):
    world = context.two_services

    async def follow_all():
        is_complete = False
        while not is_complete:
            is_complete = await world.coordinator.follow_services({"annex", "lobby"})

    context.further_work = follow_all


@given(r"the store doesn't list the divisions for (?P<time_s>[\d.]+) s")
def step_impl(context, time_s):
    store = context.two_services.store
    list_page, clock = store.list_page, context.two_services.coordinator._clock
    until_s = clock.now_s() + float(time_s)

    async def refuse_divisions(prefix, after_key, **options):
        if prefix == DIVISION_PREFIX and clock.now_s() < until_s:
            raise StoreUnavailableError("out")
        return await list_page(prefix, after_key, **options)

    store.list_page = refuse_divisions


async def play_to_end(further_work, world):
    async with create_task_group() as task_group:
        if further_work is not None:
            task_group.start_soon(further_work)
        await world.wait_for_end()
        task_group.cancel_scope.cancel()
    world.state = await world.frontend.find_state(["annex"], "j1", CALLER_WAIT_S)


@when(r'it serves until job "j1" has ended')
def step_impl(context):
    world = context.two_services
    run(world.run, partial(play_to_end, getattr(context, "further_work", None)))


async def play_cancel(world):
    for endpoint in world.endpoints:
        endpoint.run_time_s = 2 * WAIT_LIMIT_S
    await world.wait_until(lambda: world.count_running() == TASKS)
    world.state = await world.frontend.cancel(["annex"], "j1", CALLER_WAIT_S)
    await world.wait_until(lambda: not world.count_running())


@when(r'a caller cancels job "j1" once its tasks run')
def step_impl(context):
    context.play = play_cancel


@then(r'callers are told that job "j1" is "completed"')
def step_impl(context):
    assert context.two_services.state is JobState.COMPLETED, context.two_services.state


@given(r'a daemon that has listed the stored divisions before "reserve" was divided')
def step_impl(context):
    context.job_store = FakeJobStore()
    context.coordinator = make_coordinator(FakeDirectory([]), store=context.job_store)
    context.division = encode_division(Division(1))


@given(r'the division of "reserve" is unreadable')
def step_impl(context):
    context.division = b"\xc1"


async def wait_until(condition):
    """Waits up to 3 s until a condition holds."""
    for _ in range(300):
        if condition():
            return
        await sleep(0.01)
    raise AssertionError("the condition was not met within 3 s")


async def hear_holder(coordinator):
    heartbeat = HolderHeartbeat("reserve", HOLDER_FENCE, ())
    coordinator._handle_holder_heartbeat(make_identity("d1"), heartbeat)


async def get_configuration(coordinator):
    coordinator.note_configuration()


def run_after_division(context, work):
    """Lets the daemon list the divisions, divides the service and does some work then."""

    async def play():
        async with create_task_group() as task_group:
            task_group.start_soon(context.coordinator._follow_stored_divisions)
            await wait_until(lambda: context.coordinator.divisions.are_listed)
            write(context.job_store, division_key("reserve"), context.division)
            await work()
            task_group.cancel_scope.cancel()

    run(play)


def follow_after(context, sign):
    async def follow():
        await sign(context.coordinator)
        await wait_until(lambda: "reserve" in context.coordinator._followed_services)

    context.follow = follow


@when(r'it hears the holder of "reserve"')
def step_impl(context):
    follow_after(context, hear_holder)


@when(r"it gets a version of the configuration without it")
def step_impl(context):
    follow_after(context, get_configuration)


@then(r'within 3 s it tracks the groups of "reserve"')
def step_impl(context):
    run_after_division(context, context.follow)
    assert "reserve" in context.coordinator.known_holders, context.coordinator.known_holders


@when(r'it hears the holder of "reserve" 30 times in 3 s')
def step_impl(context):
    async def hear_often():
        for _ in range(30):
            await hear_holder(context.coordinator)
            await sleep(0.1)

    run_after_division(context, hear_often)


@then(r"it has listed the divisions twice")
def step_impl(context):
    assert context.job_store.reads["page"] == 2, context.job_store.reads


use_step_matcher("parse")
