"""Steps that run a short soak test."""

from behave import then, when

from tools.soak.__main__ import run_seed


@when("the soak test runs with seed {seed:d} for {length_s:g} s")
def step_run_soak(context, seed, length_s):
    context.problems = run_seed(seed, length_s, context.folder)


@then("the soak test finds no problem")
def step_no_problem(context):
    assert not context.problems, context.problems
