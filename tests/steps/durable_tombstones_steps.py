"""Steps on jobs that are cancelled before their submission arrives."""

from time import monotonic, time
from unittest.mock import patch

from anyio import create_task_group, run, sleep
from behave import given, then, use_step_matcher, when
from msgpack import unpackb
from msgspec.structs import replace

from berylproxy.clock import MonotonicClock
from berylproxy.durable.entry import frontend
from berylproxy.durable.entry.frontend import NotAcceptedError, ResultUnknownError
from berylproxy.durable.holding import tombstones
from berylproxy.durable.holding.groups import Division
from berylproxy.durable.holding.records import (
    FINAL_PREFIX,
    FINAL_RETENTION_S,
    decode_final,
    division_key,
    encode_division,
    encode_final,
    encode_job,
    encode_tombstone,
    final_key,
    is_final_expired,
    open_key,
)
from berylproxy.durable.holding.tombstones import Tombstones, TooManyTombstonesError
from berylproxy.durable.jobs.models import JobState, StoredJob
from berylproxy.errors import BerylproxyError
from berylproxy.store.port import StoreOutcomeUnknownError, StoreUnavailableError
from tests.steps.durable_divisions_steps import ManualClock
from tests.steps.durable_member_steps import write
from tests.steps.durable_moved_queue_steps import SERVICES, TwoServices, make_spec
from tests.support.endpoint_world import FakeJobStore

CANCEL_WAIT_S = 2.0
SUBMIT_WAIT_S = 2.0
LONG_RUN_TIME_S = 60.0
CONFIRMATION_LIMIT_S = 0.5

use_step_matcher("re")


@given(r"a daemon that knows no group of its services")
def step_impl(context):
    context.two_services = TwoServices()
    for service in SERVICES:
        del context.two_services.store.entries[division_key(service)]
    context.is_undivided = True


def add_play(context, play):
    """Adds to what is played once the daemon serves."""
    if "plays" not in context:
        context.plays = []
    context.plays.append(play)


def play_all(context):
    """Plays what was collected, in one event loop; later steps look at what is left of it."""
    world = context.two_services

    async def play(world):
        for part in context.plays:
            await part(world)

    async def play_undivided():
        async with create_task_group() as task_group:
            task_group.start_soon(world.coordinator.run)
            await play(world)
            task_group.cancel_scope.cancel()

    if context.plays:
        with patch.object(frontend, "NO_HOLDER_WAIT_S", 1.0):
            run(play_undivided if "is_undivided" in context else lambda: world.run(play))
    context.plays = []


@when(r'a caller cancels job "j1", which nobody has')
def step_impl(context):
    async def cancel(world):
        try:
            context.cancelled = await world.frontend.cancel([*SERVICES], "j1", CANCEL_WAIT_S)
        except ResultUnknownError as error:
            context.cancelled = error

    add_play(context, cancel)


@when(r"nothing else happens")
def step_impl(context):
    pass


@when(r"the group gets another holder")
def step_impl(context):
    async def replace_holder(world):
        former = world.coordinator.holders["ledger"]
        former.tenure.end("the feature asks for it")
        await world.wait_until(
            lambda: world.coordinator.holders.get("ledger") not in (None, former)
            and world.coordinator.holders["ledger"].is_loaded
        )

    add_play(context, replace_holder)


@when(r'its queue is sent to "annex"')
def step_impl(context):
    context.service = "annex"


@when(r"an earlier attempt of it may be stored")
def step_impl(context):
    async def note(world):
        world.coordinator.holders["ledger"]._possibly_stored.add("j1")

    add_play(context, note)


@when(r"the services are divided")
def step_impl(context):
    async def divide(world):
        for service in SERVICES:
            write(world.store, division_key(service), encode_division(Division(1)))
        assert await world.coordinator.follow_services(set(SERVICES))
        await world.wait_until(world.is_holding)

    add_play(context, divide)


@when(r'the (?P<kind>durable|best-effort) submission of job "j1" arrives')
def step_impl(context, kind):
    async def submit(world):
        spec = make_spec("j1", context.service if "service" in context else "ledger")
        try:
            if kind == "durable":
                context.submitted = await world.frontend.submit_durable(spec, SUBMIT_WAIT_S)
            else:
                spec = replace(spec, is_kept=False)
                context.submitted = await world.frontend.run_best_effort(spec, SUBMIT_WAIT_S)
        except BerylproxyError as error:
            context.submitted = error
        context.found = await world.frontend.find_state([*SERVICES], "j1", CANCEL_WAIT_S)
        await sleep(0.2)

    add_play(context, submit)


@then(r"the cancelling was answered that there is no such job")
def step_impl(context):
    play_all(context)
    assert context.cancelled is None, repr(context.cancelled)


@then(r"the cancelling isn't confirmed")
def step_impl(context):
    play_all(context)
    assert isinstance(context.cancelled, ResultUnknownError), repr(context.cancelled)


@then(r"the submission is (?P<answer>.+), and no task has started")
def step_impl(context, answer):
    if answer == "refused as not run":
        assert isinstance(context.submitted, NotAcceptedError), repr(context.submitted)
    else:
        assert context.submitted is JobState.CANCELLED, repr(context.submitted)
    assert not context.two_services.count_starts("j1")


@then(r'callers are told that there is no job "j1"')
def step_impl(context):
    assert context.found is None, context.found


@given(r'the submission of job "j1" is accepted just before its tombstone is stored')
def step_impl(context):
    world = context.two_services
    for endpoint in world.endpoints:
        endpoint.run_time_s = LONG_RUN_TIME_S
    commit, has_submitted = world.store.commit, []

    async def submit_before(transaction):
        if not has_submitted and any(k == final_key("j1") for k, _ in transaction.written):
            has_submitted.append(True)
            await world.submit("j1", "ledger")
        return await commit(transaction)

    world.store.commit = submit_before


@then(r'the cancelling was answered with "cancelled", and no run is left')
def step_impl(context):
    async def wait(world):
        await world.wait_until(lambda: not world.count_running())

    add_play(context, wait)
    play_all(context)
    assert context.cancelled is JobState.CANCELLED, repr(context.cancelled)


@given(r'job "j1" is stored, which its holder doesn\'t know for certain')
def step_impl(context):
    async def store_unknown(world):
        holder = world.coordinator.holders["ledger"]
        holder._possibly_stored.add("j1")
        stored = StoredJob(make_spec("j1", "ledger"), time())
        write(world.store, open_key("ledger", "j1"), encode_job(stored))

    add_play(context, store_unknown)


@given(r'the tombstone of job "j1" is stored')
def step_impl(context):
    async def store_tombstone(world):
        write(world.store, final_key("j1"), encode_tombstone(time()))

    add_play(context, store_tombstone)


@then(r'no task has started, and the store holds no record of job "j1"')
def step_impl(context):
    play_all(context)
    assert not context.two_services.count_starts("j1")
    assert open_key("ledger", "j1") not in context.two_services.store.entries


@when(r'job "j1" of 4 tasks is accepted, and its tombstone is stored then')
def step_impl(context):
    async def accept(world):
        world.endpoints[0].run_time_s = LONG_RUN_TIME_S
        await world.submit("j1", "ledger")
        await world.wait_until(lambda: world.count_running() == 4)
        write(world.store, final_key("j1"), encode_tombstone(time()))

    add_play(context, accept)


@when(r"one of its tasks ends")
def step_impl(context):
    async def end_one(world):
        run = next(iter(world.endpoints[0].running.values()))
        run.ends_s = monotonic()
        world.endpoints[0].changed.set()

    add_play(context, end_one)


@then(r'job "j1" ends as "cancelled", and no run is left')
def step_impl(context):
    async def wait(world):
        await world.wait_until(lambda: not world.count_running())
        await world.wait_for_end()
        context.found = await world.frontend.find_state([*SERVICES], "j1", CANCEL_WAIT_S)

    add_play(context, wait)
    play_all(context)
    assert context.found is JobState.CANCELLED, context.found


def intercept_tombstones(world, handle):
    """Lets a function handle the commits of tombstones; ``commit`` carries one out."""
    commit = world.store.commit

    async def commit_or_handle(transaction):
        if any(key.startswith(FINAL_PREFIX) for key, _ in transaction.written):
            return await handle(commit, transaction)
        return await commit(transaction)

    world.store.commit = commit_or_handle


@given(r"the store refuses all tombstones")
def step_impl(context):
    async def refuse(commit, transaction):
        raise StoreUnavailableError("out")

    intercept_tombstones(context.two_services, refuse)


@given(r"the first write of a tombstone takes effect without an answer")
def step_impl(context):
    lost = []

    async def lose_first(commit, transaction):
        revision = await commit(transaction)
        if not lost:
            lost.append(transaction)
            raise StoreOutcomeUnknownError("no answer")
        return revision

    intercept_tombstones(context.two_services, lose_first)


class CountingStore(FakeJobStore):
    """A store that notes the sizes of its transactions."""

    def __init__(self) -> None:
        super().__init__()
        self.sizes: list[int] = []

    async def commit(self, transaction):
        """Applies the changes."""
        self.sizes.append(transaction.size)
        return await super().commit(transaction)


@given(r"a store, and a daemon's tombstones(?:, of which it keeps (?P<most>\d+) at most)?")
def step_impl(context, most):
    context.job_store = CountingStore()
    context.tombstone_clock = ManualClock() if most else MonotonicClock()
    context.tombstones = Tombstones(context.job_store, context.tombstone_clock)
    if most:
        patcher = patch.object(tombstones, "MAX_KEPT", int(most))
        patcher.start()
        context.add_cleanup(patcher.stop)


@given(r"the store has outcomes of jobs 3 and 11")
def step_impl(context):
    for number in (3, 11):
        value = encode_final(JobState.COMPLETED, time())
        write(context.job_store, final_key(f"n{number}"), value)


async def confirm(context, job_id, taken_s):
    started_s = monotonic()
    await context.tombstones.store(job_id, CANCEL_WAIT_S)
    taken_s[job_id] = monotonic() - started_s


def run_tombstones(context, work):
    async def play():
        async with create_task_group() as task_group:
            task_group.start_soon(context.tombstones.run)
            async with create_task_group() as callers:
                await work(callers)
            task_group.cancel_scope.cancel()

    run(play)


@when(r"2000 jobs are cancelled at 500 a second")
def step_impl(context):
    context.taken_s, context.cancels = {}, 2000

    async def cancel_many(callers):
        for second in range(200):
            for number in range(10):
                job_id = f"n{10 * second + number}"
                callers.start_soon(confirm, context, job_id, context.taken_s)
            await sleep(0.02)

    run_tombstones(context, cancel_many)


@when(r"jobs 1 to (?P<last>\d+) are cancelled at once")
def step_impl(context, last):
    context.taken_s, context.cancels = {}, int(last)

    async def cancel_all(callers):
        for number in range(1, int(last) + 1):
            callers.start_soon(confirm, context, f"n{number}", context.taken_s)

    run_tombstones(context, cancel_all)


@then(r"each is confirmed within 0\.5 s")
def step_impl(context):
    assert len(context.taken_s) == context.cancels, len(context.taken_s)
    slowest_s = max(context.taken_s.values())
    assert slowest_s < CONFIRMATION_LIMIT_S, slowest_s


@then(r"the store got at most 200 transactions, none of more than 32 entries")
def step_impl(context):
    sizes = context.job_store.sizes
    assert len(sizes) <= 200 and max(sizes) <= 32, (len(sizes), max(sizes))


@then(r"the store has tombstones of jobs 1 to 20 but 3 and 11")
def step_impl(context):
    kept = {
        number
        for number in range(1, 21)
        if decode_final(context.job_store.entries[final_key(f"n{number}")].value) is None
    }
    assert kept == set(range(1, 21)) - {3, 11}, kept


@when(r"jobs 1 to 6 are cancelled one after the other")
def step_impl(context):
    context.taken_s, context.refused = {}, []

    async def cancel_in_turn(callers):
        for number in range(1, 7):
            try:
                await confirm(context, f"n{number}", context.taken_s)
            except TooManyTombstonesError as error:
                context.refused.append(error)

    run_tombstones(context, cancel_in_turn)


@then(r"5 are confirmed")
def step_impl(context):
    assert len(context.taken_s) == 5 and len(context.refused) == 1, context.refused


@then(r"one more is confirmed 301 s later")
def step_impl(context):
    context.tombstone_clock.time_s += FINAL_RETENTION_S + 1.0
    run_tombstones(context, lambda callers: confirm(context, "n7", context.taken_s))
    assert len(context.taken_s) == 6, context.taken_s


@then(r'the stored outcome of job 1 has the state "cancelled", and expires like others')
def step_impl(context):
    value = context.job_store.entries[final_key("n1")].value
    assert unpackb(value)["state"] == "cancelled"
    assert not is_final_expired(value, time())
    assert is_final_expired(value, time() + FINAL_RETENTION_S + 1.0)


use_step_matcher("parse")
