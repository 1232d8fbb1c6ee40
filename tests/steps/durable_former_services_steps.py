"""Steps on services that have jobs and aren't in the configuration."""

from functools import partial
from unittest.mock import patch

from anyio import create_task_group, run, sleep
from behave import given, then, use_step_matcher, when

from berylproxy.durable.holding import coordinator as coordinator_module
from berylproxy.durable.holding.groups import Division
from berylproxy.durable.holding.records import (
    DIVISION_PREFIX,
    claim_key,
    division_key,
    encode_division,
    encode_job,
    encode_released_claim,
    is_claim_released,
    open_key,
)
from berylproxy.durable.jobs.messages import HolderHeartbeat
from berylproxy.durable.jobs.models import JobState, StoredJob
from berylproxy.durable.jobs.ports import Transaction, TransactionConflictError
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
    coordinator.note_configuration({"annex"})


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
        await wait_until(lambda: context.coordinator.tracked_groups.is_followed("reserve"))

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


def release_after(delay_s):
    """Patches the times after which unused groups are released."""
    return patch.multiple(
        coordinator_module, RELEASE_DELAY_S=float(delay_s), RELEASE_CHECK_INTERVAL_S=0.05
    )


@when(
    r"it serves for 1 s (?P<moment>after|while) job \"j1\" (?:has ended|runs), and lets go of "
    r"unused groups after (?P<delay_s>[\d.]+) s"
)
def step_impl(context, moment, delay_s):
    world = context.two_services
    if moment == "while":
        world.endpoints[0].run_time_s = 2 * WAIT_LIMIT_S

    async def serve(world):
        world.coordinator.note_configuration(world.configured)
        await world.wait_until(lambda: world.count_starts("j1"))
        context.claim = world.coordinator.holders["ledger"].tenure.claim_revision
        if moment == "after":
            await world.wait_for_end()
            entries = world.store.entries
            await world.wait_until(lambda: entries[claim_key("ledger")].revision > context.claim)
        await sleep(1.0)
        context.held = set(world.coordinator.holders)
        if "reconfigure" in context:
            await context.reconfigure(world)

    context.delay_s, context.play = delay_s, serve


@when(r'its configuration names "ledger" again')
def step_impl(context):
    async def reconfigure(world):
        services = {"annex", "ledger"}
        world.coordinator.note_configuration(services)
        assert await world.coordinator.follow_services(services)
        await world.submit("j2", "ledger")
        await world.wait_for_end()

    context.reconfigure = reconfigure


@given(r'its configuration names "ledger" again while the claim on it is released')
def step_impl(context):
    world = context.two_services
    commit = world.store.commit

    async def configure_before(transaction):
        if transaction.written == ((claim_key("ledger"), encode_released_claim()),):
            services = {"annex", "ledger"}
            world.coordinator.note_configuration(services)
            assert await world.coordinator.follow_services(services)
        return await commit(transaction)

    async def submit(world):
        await world.wait_until(world.is_holding)
        await world.submit("j2", "ledger")
        await world.wait_for_end()

    world.store.commit, context.reconfigure = configure_before, submit


def play_released(context):
    if context.play is not None:
        with release_after(context.delay_s):
            run(context.two_services.run, context.play)
    context.play = None


@then(r'the claim on "ledger" is released, and it holds "annex" only')
def step_impl(context):
    play_released(context)
    entry = context.two_services.store.entries[claim_key("ledger")]
    assert is_claim_released(entry.value), entry
    assert context.held == {"annex"}, context.held


@then(r'it holds "annex"(?P<both> and "ledger"| only)')
def step_impl(context, both):
    play_released(context)
    expected = {"annex"} if both == " only" else {"annex", "ledger"}
    assert context.held == expected, context.held


@then(r'job "j2" of "ledger" is accepted and ends')
def step_impl(context):
    play_released(context)
    assert len(context.two_services.count_starts("j2")) == TASKS


@then(
    r'a cancel of a job that nobody has asks (?:no holder of "ledger"|the holder of "annex" only)'
)
def step_impl(context):
    frontend = context.two_services.frontend
    services = frontend._list_candidates(["annex"])
    assert frontend._known_groups(services, "none") == ["annex"], services


@then(r"a late copy of a write under the former claim fails")
def step_impl(context):
    late = Transaction(((claim_key("ledger"), context.claim),), ((open_key("ledger", "j3"), b""),))
    try:
        run(context.two_services.store.commit, late)
    except TransactionConflictError:
        return
    raise AssertionError("the write was carried out")


@given(r'a daemon whose configuration names "annex" only, and 100 former services that were let go')
def step_impl(context):
    world = context.two_services = TwoServices()
    world.configured = {"annex"}
    get, context.keys_read = world.store.get, []

    async def note_key(key):
        context.keys_read.append(key)
        return await get(key)

    world.store.get = note_key
    del world.store.entries[division_key("ledger")]
    for number in range(100):
        write(world.store, division_key(f"s{number}"), encode_division(Division(1)))
        write(world.store, claim_key(f"s{number}"), encode_released_claim())


@when(r"it serves for 2 s")
def step_impl(context):
    async def serve():
        world = context.two_services
        async with create_task_group() as task_group:
            world.coordinator.note_configuration(world.configured)
            assert await world.coordinator.follow_services(world.configured)
            task_group.start_soon(world.coordinator.run)
            await sleep(2.0)
            context.held = set(world.coordinator.holders)
            context.reads = dict(world.store.reads)
            task_group.cancel_scope.cancel()

    context.play = None
    run(serve)


@then(
    r"it has read one page each of divisions, claims and open jobs, and no key of a former service"
)
def step_impl(context):
    assert context.reads["page"] == 3, context.reads
    assert not [key for key in context.keys_read if "/s" in key], context.keys_read


@given(r"a daemon that holds nothing, whose configuration names (?P<services>.+)")
def step_impl(context, services):
    context.coordinator = make_coordinator(FakeDirectory([]))
    context.coordinator.note_configuration(set(services.replace('"', "").split(" and ")))


def hear(context, daemon, fence, *, is_released):
    heartbeat = HolderHeartbeat("reserve", fence, (), is_released=is_released)
    context.coordinator._handle_holder_heartbeat(make_identity(daemon), heartbeat)


@when(r'it hears the holder of "reserve", and that it has released its claim')
def step_impl(context):
    hear(context, "d1", HOLDER_FENCE, is_released=False)
    hear(context, "d1", HOLDER_FENCE, is_released=True)


@when(r'it hears another holder of "reserve"')
def step_impl(context):
    hear(context, "d2", 2 * HOLDER_FENCE, is_released=False)


@then(r'it (?P<tracks>tracks|doesn\'t track) the group "reserve"')
def step_impl(context, tracks):
    is_tracked = "reserve" in context.coordinator.known_holders
    assert is_tracked is (tracks == "tracks")
    assert is_tracked is not context.coordinator.tracked_groups.is_released("reserve")


use_step_matcher("parse")
