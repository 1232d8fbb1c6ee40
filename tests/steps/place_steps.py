"""Steps for run time estimates and the assignment of tasks to endpoints."""

from random import Random

from behave import given, then, when

from berylproxy.collect.job import DemandKey
from berylproxy.place.schedule import EndpointForecast, SlotForecast
from berylproxy.place.speed import RunTimeEstimator

SERVICE = "enquiry"
KEY = DemandKey(SERVICE, "team")
NOW_S = 100.0
RUN_TIMES_S = {"fast": 0.1, "slow": 0.2}


@given("a run time estimator without samples")
def step_run_time_estimator(context):
    context.estimator = RunTimeEstimator()
    context.estimates_s = []


def add_run_times(context, run_times_s):
    """Adds run times of one endpoint and records the estimate after each."""
    for run_time_s in run_times_s:
        context.estimator.add("e0", SERVICE, run_time_s)
        context.estimates_s.append(context.estimator.expected_run_time_s("e0", SERVICE, 9.0))


@when(
    "{count:d} run times of {shortest:g} s and an exponential part of {mean:g} s are added "
    "with seed {seed:d}"
)
def step_add_random_run_times(context, count, shortest, mean, seed):
    random = Random(seed)
    add_run_times(context, [shortest + random.expovariate(1 / mean) for _ in range(count)])


@when("{count:d} run times of {run_time:g} s are added")
def step_add_equal_run_times(context, count, run_time):
    add_run_times(context, [run_time] * count)


@then("every estimate after the first {count:d} was within {percent:d} % of {expected:g} s")
def step_within(context, count, percent, expected):
    largest_error_s = max(abs(each - expected) for each in context.estimates_s[count:])
    assert largest_error_s <= expected * percent / 100, largest_error_s


@then("the expected run time is above {bound:g} s")
def step_above(context, bound):
    assert context.estimates_s[-1] > bound, context.estimates_s[-1]


@then("another endpoint is expected to take {expected:g} s")
def step_other(context, expected):
    assert abs(context.estimator.expected_run_time_s("e1", SERVICE, 9.0) - expected) < 1e-9


@given("an endpoint that takes 0.1 s with no free slot, and one that takes 0.2 s with a free one")
def step_two_endpoints(context):
    context.placements = []


@when("a task is placed while the faster one has a slot in {wait:g} s")
def step_place(context, wait):
    place(context, 1, wait)


@when("{count:d} tasks are placed while the faster one has a slot in {wait:g} s")
def step_place_some(context, count, wait):
    place(context, count, wait)


def place(context, count, wait_s):
    """Places tasks one after another until no slot is free."""
    forecasts = {
        "fast": EndpointForecast(0, [NOW_S + wait_s]),
        "slow": EndpointForecast(1),
    }
    forecast = SlotForecast(
        forecasts, lambda endpoint, _: RUN_TIMES_S[endpoint], lambda *_: True, NOW_S
    )
    while forecast.free and len(context.placements) < count:
        context.placements.append(forecast.place(KEY))


@then("the task waits for the faster endpoint")
def step_waits(context):
    assert [(p.endpoint, p.starts_now) for p in context.placements] == [("fast", False)]


@then("the task starts at the slower endpoint")
def step_starts(context):
    assert [(p.endpoint, p.starts_now) for p in context.placements] == [("slow", True)]


@then("{waiting:d} of them waits and {starting:d} starts")
def step_counts(context, waiting, starting):
    starts = [placement.starts_now for placement in context.placements]
    assert (starts.count(False), starts.count(True)) == (waiting, starting), starts
