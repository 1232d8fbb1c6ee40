"""Steps for a ledger of slots with one endpoint and one home."""

from itertools import count

from behave import given, then, when

from berylproxy.place.ledger import SlotLedger
from berylproxy.place.messages import DemandEntry, SlotRelease
from tests.support.place_world import POOL, SERVICE, make_configuration

ISSUER, HOME = "holder", "home"
START_S = 100.0
STEP_S = 0.05
MAX_STEPS = 100


@given("a ledger of one endpoint with {slots:d} slot and a home with {waiting:d} waiting tasks")
def step_ledger(context, slots, waiting):
    configuration = make_configuration({"e0": slots})
    context.ledger = SlotLedger(ISSUER, POOL, "fd-a", count(1))
    context.ledger.configure(configuration.endpoints, configuration.services, {}, {})
    entry = DemandEntry(SERVICE, "team", (), waiting, 0.0)
    context.ledger.update_demand(HOME, [entry], 0, START_S)


@when('the slot is granted and released as "{result}"')
def step_granted(context, result):
    [granted] = context.ledger.grant_slots(START_S)
    release = SlotRelease(ISSUER, granted.grant.sequence, "e0", SERVICE, result, 0.2)
    context.ledger.release(release, START_S)


@then("the next grant comes after {pause:g} s")
def step_next_grant(context, pause):
    for step in range(MAX_STEPS):
        if context.ledger.grant_slots(START_S + step * STEP_S):
            assert abs(step * STEP_S - pause) < STEP_S / 2, step * STEP_S
            return
    raise AssertionError("no grant came")
