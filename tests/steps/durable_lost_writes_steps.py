"""Steps for writes without an answer; those of the ledger alone are played in one loop."""

from random import Random
from time import monotonic, sleep, time
from unittest.mock import patch

from anyio import create_task_group, run
from behave import given, then, use_step_matcher, when

from berylproxy.durable.holding import ledger
from berylproxy.durable.holding.records import (
    OPEN_PREFIX,
    claim_key,
    decode_job,
    encode_final,
    final_key,
    open_key,
)
from berylproxy.durable.jobs.models import EndKind, JobState
from berylproxy.store.port import Entry, StoreOutcomeUnknownError, StoreUnavailableError
from tests.support.lost_writes import (
    GROUP,
    Fate,
    LedgerWorld,
    LossyJobStore,
    RandomJobStore,
)

MAX_COPIES = 6
ANSWER_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02

use_step_matcher("re")


def play(context):
    """Plays the steps collected so far."""
    run(context.ledger_world.run, context.plays)


def fate(context, *fates):
    """Lets the next writes have given fates."""

    async def set_fates(world):
        world.store.fates.extend(fates)

    context.plays.append(set_fates)


@given(r"a ledger whose claim is in force")
def step_impl(context):
    context.ledger_world, context.plays = LedgerWorld(), []


@given(r"the first copy of the next write is refused once the second is lost")
def step_impl(context):
    fate(context, Fate.REFUSED_AFTER_NEXT, Fate.LOST)


@given(r"all other copies of it are refused")
def step_impl(context):
    fate(context, *[Fate.REFUSED] * (MAX_COPIES - 2))


@given(r"all (?P<count>\d+) copies of the next write are refused")
def step_impl(context, count):
    fate(context, *[Fate.REFUSED] * int(count))


@given(r"all (?P<count>\d+) copies of the next write are lost")
def step_impl(context, count):
    fate(context, *[Fate.LOST] * int(count))


@given(r"the first copy of the next write is lost and the second answered")
def step_impl(context):
    fate(context, Fate.LOST, Fate.ANSWERED)


@given(r'record "(?P<name>\w+)" exists')
def step_impl(context, name):
    key = OPEN_PREFIX + name
    context.ledger_world.store.entries[key] = Entry(key, b"", 1)


@when(r'record "(?P<name>\w+)" is written as "(?P<value>\w+)"')
def step_impl(context, name, value):
    context.plays.append(lambda world: world.write(name, value))


@when(r'record "a" is written as "1", and "b" as "1" if "x" doesn\'t exist')
def step_impl(context):
    async def write_both(world):
        async with create_task_group() as task_group:
            task_group.start_soon(world.write, "a", "1")
            task_group.start_soon(world.write, "b", "1", (OPEN_PREFIX + "x",))

    context.plays.append(write_both)


@when(r'record "a" is written as "1" and then as "2" at once')
def step_impl(context):
    async def write_both(world):
        async with create_task_group() as task_group:
            task_group.start_soon(world.write, "a", "1")
            task_group.start_soon(world.write, "a", "2")

    context.plays.append(write_both)


@when(r'record "a" is written as "1", and as "2" once that has been sent')
def step_impl(context):
    async def write_both(world):
        async with create_task_group() as task_group:
            task_group.start_soon(world.write, "a", "1")
            await world.store.was_sent.wait()
            task_group.start_soon(world.write, "a", "2")

    context.plays.append(write_both)


@when(r'records "(?P<names>[\w ]+)" are written as "(?P<value>\w+)" at once')
def step_impl(context, names, value):
    async def write_all(world):
        world.sent_before = len(world.store.sent)
        async with create_task_group() as task_group:
            for name in names.split():
                task_group.start_soon(world.write, name, value)

    context.plays.append(write_all)


@when(r"the lost copies are carried out")
def step_impl(context):
    context.plays.append(lambda world: world.store.carry_out_late())


@when(r"another daemon replaces the claim")
def step_impl(context):
    async def replace_claim(world):
        claim = claim_key(GROUP)
        world.store.entries[claim] = Entry(claim, b"", world.store.revision + 1)

    context.plays.append(replace_claim)


@then(r'records? "(?P<names>[\w ]+)" holds? "(?P<value>\w*)"')
def step_impl(context, names, value):
    play(context)
    world = context.ledger_world
    values = {name: world.value_of(name) for name in names.split()}
    assert set(values.values()) == {value}, (values, world.errors)
    if value:
        assert not any(world.errors.values()), world.errors


@then(r"the store was sent (?P<count>\d+) transactions after the lost ones")
def step_impl(context, count):
    world = context.ledger_world
    assert len(world.store.sent) - world.sent_before == int(count), world.store.sent


@then(r"the store was sent (?P<count>\d+) transactions")
def step_impl(context, count):
    world = context.ledger_world
    assert len(world.store.sent) == int(count), world.store.sent


@then(r"no transaction was too large for the store")
def step_impl(context):
    store = context.ledger_world.store
    assert max(transaction.size for transaction in store.sent) <= store.max_entries


@then(r'the ledger says that the write of "(?P<name>\w+)" may have taken effect')
def step_impl(context, name):
    play(context)
    error = context.ledger_world.errors[name]
    assert isinstance(error, StoreOutcomeUnknownError), repr(error)


@then(r'the ledger says that the write of "(?P<name>\w+)" has not taken effect')
def step_impl(context, name):
    play(context)
    error = context.ledger_world.errors[name]
    assert isinstance(error, StoreUnavailableError), repr(error)


@when(
    r"(?P<records>\d+) records are written (?P<times>\d+) times each over a store that fails at "
    r"random, by seed (?P<seed>\d+)"
)
def step_impl(context, records, times, seed):
    names = [f"r{number}" for number in range(int(records))]
    world = context.ledger_world = LedgerWorld(RandomJobStore(Random(int(seed))))
    context.committed, context.refused = set(), set()

    async def write_often(name):
        for number in range(int(times)):
            key, value = OPEN_PREFIX + name, f"{number:04}"
            await world.write(name, value)
            if world.errors[name] is None:
                context.committed.add((key, value))
            elif isinstance(world.errors[name], StoreUnavailableError):
                context.refused.add((key, value))

    async def write_all(world):
        async with create_task_group() as task_group:
            for name in names:
                task_group.start_soon(write_often, name)
        await world.store.carry_out_late()

    with patch.object(ledger, "FIRST_HEDGE_S", 0.002), patch.object(ledger, "HEDGE_FACTOR", 0.0):
        run(world.run, [write_all])


@then(r"no committed write was undone, and no refused write was carried out")
def step_impl(context):
    world = context.ledger_world
    assert context.committed and context.refused, "the seed plays too little"
    for key, values in world.store.history.items():
        assert values == sorted(values), (key, values)
    carried_out = {(k, v.decode()) for k, values in world.store.history.items() for v in values}
    assert context.committed <= carried_out, context.committed - carried_out
    assert not context.refused & carried_out, context.refused & carried_out


@given(r"a store that loses answers")
def step_impl(context):
    context.holder_world.store = LossyJobStore()


@given(r"the first copy of the job's first write is refused once the second is lost")
def step_impl(context):
    fates = [Fate.REFUSED_AFTER_NEXT, Fate.LOST, *[Fate.REFUSED] * (MAX_COPIES - 2)]
    context.holder_world.store.fates.extend(fates)


@then(r'it isn\'t known whether job "(?P<name>\w+)" is stored')
def step_impl(context, name):
    error = context.holder_world.replies[name][-1].exception(ANSWER_TIMEOUT_S)
    assert isinstance(error, StoreOutcomeUnknownError), repr(error)


@given(r"the first copy of the job's first write is lost and the second answered")
@given(r"the first copy of the next removal of an outcome is lost and the second answered")
def step_impl(context):
    context.holder_world.store.fates.extend([Fate.LOST, Fate.ANSWERED])


@given(r"all (?P<count>\d+) copies of the job's first write are lost")
def step_impl(context, count):
    context.holder_world.store.fates.extend([Fate.LOST] * int(count))


@then(r'a cancel of job "(?P<name>\w+)" is answered with "(?P<state>\w+)"')
def step_impl(context, name, state):
    world = context.holder_world
    answer = world.portal.call(world.holders[world.newest_fence].cancel, name)
    assert answer == state, answer


@then(r'the state of job "(?P<name>\w+)" isn\'t known')
def step_impl(context, name):
    world = context.holder_world
    try:
        state = world.portal.call(world.holders[world.newest_fence].find_state, name)
    except StoreOutcomeUnknownError:
        return
    raise AssertionError(f"the state is {state!r}")


@when(r"runs that start after the first (?P<count>\d+) take (?P<run_time_s>\d+) s")
def step_impl(context, count, run_time_s):
    endpoint = context.holder_world.endpoints[0]
    wait_until(lambda: len(endpoint.running) == int(count))
    endpoint.run_time_s = float(run_time_s)


@then(r'the stored record of job "(?P<name>\w+)" comes to show (?P<count>\d+) tasks as done')
def step_impl(context, name, count):
    entries, key = context.holder_world.store.entries, open_key(GROUP, name)
    wait_until(lambda: len(decode_job(entries[key].value).progress.done) == int(count))


@then(r"within (?P<limit_s>\d+) s the endpoint has forgotten the ends of the done tasks")
def step_impl(context, limit_s):
    wait_until(lambda: not context.holder_world.endpoints[0].ended, float(limit_s))


@when(r"the lost copies of the job's writes are carried out")
def step_impl(context):
    world = context.holder_world
    assert world.store.late
    world.portal.call(world.store.carry_out_late)


@when(r"the outcome of the job that ended (?P<age>\d+) s ago is stored anew")
def step_impl(context, age):
    store, key = context.holder_world.store, final_key(age)
    wait_until(lambda: key not in store.entries)
    store.revision += 1
    value = encode_final(JobState.COMPLETED, time())
    store.entries[key] = Entry(key, value, store.revision)


@then(r'no task of job "(?P<name>\w+)" that was done has started again')
def step_impl(context, name):
    world = context.holder_world
    done = {task for _, task, _ in world.list_events(name, EndKind.DONE.value)}
    starts = [task for _, task, _ in world.list_events(name, "start") if task in done]
    assert len(done) == len(starts) == 3, starts


def wait_until(condition, limit_s=ANSWER_TIMEOUT_S):
    """Waits until a condition holds."""
    until_s = monotonic() + limit_s
    while not condition():
        assert monotonic() < until_s, "the condition was not met"
        sleep(POLL_INTERVAL_S)
