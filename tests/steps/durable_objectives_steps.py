"""Steps on the objectives of jobs whose work is known."""

from behave import given, then, use_step_matcher, when

from berylproxy.durable.jobs.job_table import JobTable, measure_objective_s
from berylproxy.durable.jobs.models import JobSpec, QueueTerms, Resources, StepSpec, StoredJob

EXPECTED_S = 0.1
TERMS = QueueTerms("q", "g", objective_factor=2.0, objective_s=0.1)

use_step_matcher("re")


@given(r"a job whose steps were expected to take 0.1 s each, the second after the first")
def step_impl(context):
    steps = (StepSpec(2, Resources(1_000)), StepSpec(1, Resources(1_000), after=(0,)))
    table = JobTable()
    context.job = table.open(StoredJob(JobSpec("j", TERMS, "", steps), 0.0), 0.0)
    context.job.expected_s = 2 * EXPECTED_S


@when(r"its tasks turn out to take (?P<first>[\d., ]+) and (?P<second>[\d.]+) s")
def step_impl(context, first, second):
    for number, work_s in enumerate(first.split(", ")):
        context.job.tasks[0, number].work_s = float(work_s)
    context.job.tasks[1, 0].work_s = float(second)


@then(r"its objective is (?P<objective>[\d.]+) s")
def step_impl(context, objective):
    measured_s = measure_objective_s(context.job)
    assert abs(measured_s - float(objective)) < 1e-9, measured_s


use_step_matcher("parse")
