"""Steps for the ledger of a slot group, with the time set by the steps."""

from collections import Counter
from itertools import count

from behave import given, then, when

from berylproxy.place.ledger import SlotLedger
from berylproxy.place.messages import DemandEntry, HeldSlot, SlotRelease
from berylproxy.records.models import Endpoint, Service, Team

SERVICE = "s"
ISSUER = "f" * 12


def make_endpoint(name: str, slots: int) -> Endpoint:
    """Creates an endpoint of the ledger's group."""
    return Endpoint(name, "p", "http://127.0.0.1:1", slots, 64, {}, "o", "o", "fd", False)


def configure(context) -> None:
    """Applies the endpoints and teams of the context to the ledger."""
    service = Service(SERVICE, ("p",), 30.0, 0.3, 1000, False, 10.0)
    quotas = {name: team.max_running_tasks for name, team in context.teams.items()}
    context.ledger.configure(context.endpoints, {SERVICE: service}, context.teams, quotas)


def update_demand(
    context, home: str, waiting: int, team: str = "t", last_grant: int | None = None
) -> None:
    """Updates a home's demand; by default the home has received all grants."""
    acknowledged = context.last_grant if last_grant is None else last_grant
    entry = DemandEntry(SERVICE, team, (), waiting, 0.0)
    context.ledger.update_demand(home, [entry], acknowledged, context.now_s)


def grant_slots(context) -> list:
    """Lets the ledger grant slots and records the grants."""
    addressed = context.ledger.grant_slots(context.now_s)
    context.grants = [grant.grant for grant in addressed]
    if context.grants:
        context.last_grant = max(grant.sequence for grant in context.grants)
    return context.grants


def release(context, grant, result: str, run_time_s: float = 0.3) -> None:
    """Releases a slot with the result of its use."""
    context.ledger.release(
        SlotRelease(ISSUER, grant.sequence, grant.endpoint, SERVICE, result, run_time_s),
        context.now_s,
    )


@given('a ledger with endpoints "e0" and "e1" of {slots:d} slots each')
def step_ledger(context, slots):
    context.ledger = SlotLedger(ISSUER, "p", "fd", count(1))
    context.endpoints = {name: make_endpoint(name, slots) for name in ("e0", "e1")}
    context.teams = {}
    context.now_s = 100.0
    context.last_grant = 0
    configure(context)


@given(
    'team "{light}" of weight {light_weight:d} and team "{heavy}" of weight {heavy_weight:d} '
    "with a quota of {quota:d} each"
)
def step_teams(context, light, light_weight, heavy, heavy_weight, quota):
    context.teams = {
        light: Team(light, (), quota, 1000, light_weight),
        heavy: Team(heavy, (), quota, 1000, heavy_weight),
    }
    configure(context)


@given('"{fast}" is known to run tasks in {fast_s:g} s and "{slow}" in {slow_s:g} s')
def step_speeds(context, fast, fast_s, slow, slow_s):
    context.ledger.run_times.add(fast, SERVICE, fast_s)
    context.ledger.run_times.add(slow, SERVICE, slow_s)


@when('home "{home}" requests {waiting:d} slots for team "{team}"')
def step_request_slots_for_team(context, home, waiting, team):
    update_demand(context, home, waiting, team)


@when('home "{home}" requests {waiting:d} slots')
@when('home "{home}" requests {waiting:d} slot')
def step_request_slots(context, home, waiting):
    update_demand(context, home, waiting)


@when('the slot is released as "{result}"')
def step_release(context, result):
    (grant,) = grant_slots(context)
    context.refusing = grant.endpoint
    release(context, grant, result)


@when("{tasks:d} tasks succeed there one after another")
def step_finish_tasks(context, tasks):
    for _ in range(tasks):
        for grant in context.grants:
            release(context, grant, "done")
        update_demand(context, "a", 4)
        grant_slots(context)
    for grant in context.grants:
        release(context, grant, "done")
    update_demand(context, "a", 4)


@when('{failures:d} tasks in a row fail at "{endpoint}"')
def step_fail(context, failures, endpoint):
    update_demand(context, "a", 4)
    at_endpoint = [grant for grant in grant_slots(context) if grant.endpoint == endpoint]
    for number in range(failures):
        release(context, at_endpoint[number % len(at_endpoint)], "failed")
    context.ledger.replace_held_slots("a", [], context.last_grant, context.now_s)


@when("{seconds:g} s pass in the ledger")
def step_pass(context, seconds):
    context.now_s += seconds


@when('home "{home}" reports {waiting:d} waiting tasks again without having received a grant')
def step_repeat_unseen(context, home, waiting):
    update_demand(context, home, waiting, last_grant=0)


@when('home "{home}" reports {waiting:d} waiting tasks again after having received both grants')
def step_repeat_seen(context, home, waiting):
    update_demand(context, home, waiting)


@when('home "{home}" dies')
def step_die(context, home):
    context.ledger.forget_home(home, context.now_s)


@when('home "{home}" reports {in_use:d} slots in use that another holder had granted')
def step_report(context, home, in_use):
    held = [HeldSlot("e" * 12, number, f"e{number % 2}", SERVICE, "t") for number in range(in_use)]
    context.ledger.replace_held_slots(home, held, 0, context.now_s)


@then('{first:d} slots of "e0" and {second:d} slots of "e1" are granted')
def step_granted_by_endpoint(context, first, second):
    granted = Counter(grant.endpoint for grant in grant_slots(context))
    assert (granted["e0"], granted["e1"]) == (first, second), granted


@then("{expected:d} slots are granted")
def step_granted(context, expected):
    assert len(grant_slots(context)) == expected, context.grants


@then("the refusing endpoint gets no grant")
def step_no_grant(context):
    assert context.refusing not in [grant.endpoint for grant in grant_slots(context)]


@then("the refusing endpoint gets {expected:d} grants")
def step_some_grants(context, expected):
    granted = [grant for grant in grant_slots(context) if grant.endpoint == context.refusing]
    assert len(granted) == expected, granted


@then('{first:d} slots go to team "{light}" and {second:d} slots to team "{heavy}"')
def step_granted_by_team(context, first, light, second, heavy):
    granted = Counter(grant.team for grant in grant_slots(context))
    assert (granted[light], granted[heavy]) == (first, second), granted
