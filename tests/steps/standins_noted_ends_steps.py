"""Steps on the ends of runs that a holder has taken note of, as the stand-in of a runner tells."""

import re

from behave import given, then, use_step_matcher, when

from berylproxy.durable.jobs.models import TaskName
from berylproxy.durable.jobs.ports import StartOrder
from standins import runner_model
from standins.runner_model import NOTED
from tests.steps.platform_upgrade_steps import find_restarted
from tests.support.endpoint_world import make_endpoint

NAME = TaskName("j", 0, 0)

use_step_matcher("re")


@given(r"a runner whose lease lasts 0\.2 s from the start of a run that takes 0\.05 s")
def step_impl(context):
    context.now_s = 100.0
    original = runner_model.monotonic
    runner_model.monotonic = lambda: context.now_s
    context.add_cleanup(setattr, runner_model, "monotonic", original)
    context.runner, context.events = make_endpoint("e1"), []
    context.runner.on_event = context.events.append
    context.runner.start(StartOrder(NAME, 1, "", 16), 100.2)


@when(r"(?P<steps>0\.\d s pass.*?) and its end is acknowledged")
def step_impl(context, steps):
    for step in steps.split(", "):
        seconds = float(re.search(r"([\d.]+) s", step)[1])
        if "extended" in step:
            context.runner.extend_lease(context.now_s + seconds)
        else:
            context.now_s += seconds
        context.runner.end_due_runs()
    context.runner.acknowledge(1)


@then(r"the end is (?P<negation>not )?taken note of")
def step_impl(context, negation):
    noted = [event for event in context.events if event[1] == NOTED]
    assert len(noted) == (0 if negation else 1), context.events


@given(
    r'runs of tasks "a", "b" and "c" that were done, and the ends of "a" and "b" were taken note of'
)
def step_impl(context):
    context.runs = [(1.0, "start", name, 1) for name in "abc"]
    context.runs += [(2.0, "done", name, 1) for name in "abc"]
    context.noted = {("a", 1), ("b", 1)}


@when(r'tasks "a" and "c" start again')
def step_impl(context):
    context.runs += [(3.0, "start", name, 2) for name in "ac"]


@then(r'task "a" has been restarted')
def step_impl(context):
    assert find_restarted(context.runs, context.noted) == {"a"}


use_step_matcher("parse")
