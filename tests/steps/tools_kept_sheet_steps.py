"""Steps for copies of site files in which jobs must be kept."""

from behave import given, then, use_step_matcher, when

from tools.kept_sheet import keep_jobs

use_step_matcher("re")


@given(r"a site file with best-effort jobs in (?P<count>\d+) queues")
def step_impl(context, count):
    rows = [f'  {{ name = "q{n}", jobs = {{ loose = true }} }},' for n in range(int(count))]
    context.sheet = "\n".join(['name = "site"', "classes = [", *rows, "]"])


@when(r"a copy is written in which the jobs of (?P<queues>all queues|the first queue) must be kept")
def step_impl(context, queues):
    context.kept = keep_jobs(context.sheet, 1 if queues == "the first queue" else 0)


@then(r"the copy has best-effort jobs in (?P<count>\d+) queues, and is the same otherwise")
def step_impl(context, count):
    assert context.kept.count("loose = true") == int(count), context.kept
    assert context.kept.replace("loose = false", "loose = true") == context.sheet


@then(r"no copy can be written, as it (?P<reason>.+)")
def step_impl(context, reason):
    try:
        keep_jobs(context.sheet)
    except ValueError as error:
        assert reason in str(error), error
    else:
        raise AssertionError("a copy was written")
