"""Steps for the division of a home's demand among holders, and for the holders' summaries."""

from types import SimpleNamespace

from behave import given, then, when

from berylproxy.collect.job import DemandKey
from berylproxy.models import DaemonIdentity
from berylproxy.place.assignment import SlotGroup
from berylproxy.place.holder import SUMMARY_INTERVAL_S, Holder
from berylproxy.place.messages import (
    DemandEntry,
    GrantSlots,
    HolderSummary,
    ReleaseSlots,
    SlotRelease,
    UpdateDemand,
)
from berylproxy.place.spread import DemandSpread
from tests.support.place_world import POOL, SERVICE, make_configuration

KEY = DemandKey(SERVICE, "team")
HOME = "home"
TURNOVER_PER_S = 20.0


def parse_costs(text):
    """Parses numbers separated by commas."""
    return tuple(float(cost) for cost in text.split(","))


@given('a home in "{own}" with holders in "{first}" and "{second}"')
def step_spread(context, own, first, second):
    context.spread = DemandSpread(own)
    context.spread.configure({SERVICE: [SlotGroup(POOL, first), SlotGroup(POOL, second)]})


@given('the holder in "{domain}" reported costs of "{costs}"')
@when('the holder in "{domain}" reports costs of "{costs}"')
def step_report_costs(context, domain, costs):
    costs_s = parse_costs(costs)
    slots = len(costs_s)
    context.spread.update_summary(
        HolderSummary(POOL, domain, slots, 0, slots, TURNOVER_PER_S, costs_s)
    )


@when("{count:d} task waits")
@when("{count:d} tasks wait")
def step_wait(context, count):
    context.spread.balance(KEY, count)


@then('{first:d} tasks are requested in "{domain}" and {second:d} in "{other}"')
@then('{first:d} task is requested in "{domain}" and {second:d} in "{other}"')
def step_requested(context, first, domain, second, other):
    requested = [
        context.spread.list_entries(SlotGroup(POOL, name))[KEY] for name in (domain, other)
    ]
    assert requested == [first, second], requested


@given(
    "a holder of endpoints with {fast_slots:d} slots that take {fast:g} s and {slow_slots:d} slot "
    "that takes {slow:g} s"
)
def step_holder(context, fast_slots, fast, slow_slots, slow):
    context.sent = []
    identity = DaemonIdentity("d0", "i0", "fd-a", "127.0.0.1:1")
    home = DaemonIdentity("d1", HOME, "fd-b", "127.0.0.1:2")
    context.now_s = 100.0
    context.sent_to_home = []
    clock = SimpleNamespace(now_s=lambda: context.now_s)

    def send(incarnation, message):
        context.sent.append(message)
        if incarnation == HOME:
            context.sent_to_home.append(message)

    holder = Holder(identity, clock, send)
    holder.update_members([identity, home])
    holder.configure(make_configuration({"fast": fast_slots, "slow": slow_slots}))
    releases = [
        SlotRelease("before", number, name, SERVICE, "done", run_time_s)
        for number, (name, run_time_s) in enumerate({"fast": fast, "slow": slow}.items())
    ]
    holder.receive_releases(ReleaseSlots(POOL, "fd-a", tuple(releases)))
    holder.receive_demand("i0", UpdateDemand(POOL, "fd-a", (), 0, ()))
    context.holder = holder


@when("a home requests {count:d} slot")
@when("a home requests {count:d} slots")
def step_request(context, count):
    entry = DemandEntry(SERVICE, "team", (), count, 0.0)
    context.holder.receive_demand(HOME, UpdateDemand(POOL, "fd-a", (entry,), 0, ()))
    context.holder.flush()


@then('the grant reports costs of "{costs}"')
def step_grant_reports_costs(context, costs):
    [grant] = [message for message in context.sent if isinstance(message, GrantSlots)]
    expected_s = parse_costs(costs)
    assert grant.summary.costs_s[: len(expected_s)] == expected_s, grant


@when("every endpoint reports that it is leaving")
def step_leaving(context):
    pass_time(context)
    releases = [
        SlotRelease("i0", number, name, SERVICE, "leaving", 0.0)
        for number, name in enumerate(("fast", "slow"), start=1)
    ]
    context.holder.receive_releases(ReleaseSlots(POOL, "fd-a", tuple(releases)))
    context.holder.flush()


@when("the home's tasks have moved to other holders")
def step_moved(context):
    pass_time(context)
    context.holder.receive_demand(HOME, UpdateDemand(POOL, "fd-a", (), 0))
    context.holder.flush()
    pass_time(context)
    context.holder.flush()


def pass_time(context):
    """Advances the time until the holder's next summary is due."""
    context.now_s += 2 * SUMMARY_INTERVAL_S


@then("the home expects no wait for {count:d} tasks")
def step_expects(context, count):
    for message in context.sent_to_home:
        summary = message.summary if isinstance(message, GrantSlots) else message
        context.spread.update_summary(summary)
    wait_s = context.spread.estimate_wait_s(SERVICE, count)
    assert wait_s == 0, wait_s
