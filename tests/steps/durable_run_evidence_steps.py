"""Steps for what is known of a run in case its endpoint is lost."""

from behave import given, then, use_step_matcher

from berylproxy.durable.endpoints.fleet import EndpointRun
from berylproxy.durable.jobs.crashes import Evidence
from berylproxy.durable.jobs.models import Resources

NOW_S = 100.0

use_step_matcher("re")


@given(r"a run at an endpoint of which is known: (?P<events>.+)")
def step_impl(context, events):
    run = context.endpoint_run = EndpointRun(Resources())
    actions = {
        "ordered": lambda: None,
        "unanswered": lambda: setattr(run, "is_uncertain", True),
        "confirmed": lambda: run.note_confirmed(NOW_S),
        "reported": lambda: run.note_reported(NOW_S),
        "stopped": lambda: setattr(run, "stop_confirmed_s", NOW_S),
        "confirmed by former process": lambda: setattr(run, "confirmed_s", NOW_S),
    }
    for event in events.split(", "):
        actions[event]()


@then(r'the evidence of the run is "(?P<evidence>\w+)"')
def step_impl(context, evidence):
    assert context.endpoint_run.evidence is Evidence[evidence.upper()]
