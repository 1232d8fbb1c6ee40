"""Steps for writes without an answer; those of the ledger alone are played in one loop."""

from anyio import run
from behave import given, then, use_step_matcher, when

from berylproxy.store.port import StoreOutcomeUnknownError, StoreUnavailableError
from tests.support.lost_writes import Fate, LedgerWorld, LossyJobStore

MAX_COPIES = 6
ANSWER_TIMEOUT_S = 10.0

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


@when(r'record "(?P<name>\w+)" is written as "(?P<value>\w+)"')
def step_impl(context, name, value):
    context.plays.append(lambda world: world.write(name, value))


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
