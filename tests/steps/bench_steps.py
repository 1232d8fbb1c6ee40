"""Steps for the calculations of the bench."""

from behave import then, when

from tools.bench.arrivals import Arrival, draw_arrivals
from tools.bench.bound import Interval, compute_bound
from tools.bench.idleness import compute_idle_while_waiting


@when(
    "the bound is computed for tasks of {work:g} s of work at {a:g}, {b:g} and {c:g} s with "
    "{fast_slots:d} slot of speed {fast:g} and {slow_slots:d} of speed {slow:g}"
)
def step_bound(context, work, a, b, c, fast_slots, fast, slow_slots, slow):
    arrivals = [Arrival(at_s, 0, (work,)) for at_s in (a, b, c)]
    context.bound = compute_bound(arrivals, {fast: fast_slots, slow: slow_slots})


@then("the slowdowns are {a:g}, {b:g} and {c:g}")
def step_slowdowns(context, a, b, c):
    assert [round(slowdown, 3) for slowdown in context.bound.slowdowns] == [a, b, c]


@when(
    "a task that arrived at {arrived:g} s runs from {start:g} to {end:g} s on one of {slots:d} "
    "slots until {duration:g} s"
)
def step_idle(context, arrived, start, end, slots, duration):
    interval = Interval(arrived, start, end)
    context.idle_share = compute_idle_while_waiting([interval], slots, duration)


@then("an eighth of the slot time was idle while a task waited")
def step_eighth(context):
    assert context.idle_share == 1 / 8, context.idle_share


@when("arrivals are drawn twice with seed {first:d} and once with seed {second:d}")
def step_draw(context, first, second):
    context.draws = [
        draw_arrivals(
            seed,
            tasks_per_s=100.0,
            duration_s=2.0,
            daemon_weights=(1.0, 2.0),
            fastest_speed=4.0,
        )
        for seed in (first, first, second)
    ]


@then("the first two draws are the same and the third differs")
def step_same_draws(context):
    assert context.draws[0] == context.draws[1] != context.draws[2]
