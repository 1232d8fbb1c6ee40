"""Steps that play a short soak."""

from behave import then, when

from tools.soak.__main__ import run_seed


@when("the soak plays seed {seed:d} for {length_s:g} s")
def step_play(context, seed, length_s):
    context.problems = run_seed(seed, length_s, context.folder)


@then("every promise was kept")
def step_kept(context):
    assert not context.problems, context.problems
