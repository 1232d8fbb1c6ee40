"""Steps for the checks and the schedules of the soak."""

from itertools import pairwise

from behave import given, then, use_step_matcher, when

from tools.soak.callers import Call, SoakJob
from tools.soak.judge import KILLED_PREFIX, find_violations
from tools.soak.schedule import (
    DAEMON_KINDS,
    RUNNER_KINDS,
    SERIES_PAUSE_S,
    SHARED_KINDS,
    make_schedule,
)

JOB_ID = "00000000000000aa"
TASK = (JOB_ID, 0, 0)
SENT_S, ENDED_S = 0.5, 5.0
LENGTH_S = 15.0

use_step_matcher("re")


def make_job(context, outcome):
    """Creates a job with one call, and the faults and final states, from a description."""
    is_durable = outcome.startswith("accepted, durable")
    call = Call(0, SENT_S, ENDED_S, 200)
    if outcome.startswith("answered"):
        _, status, state = (outcome + " ").split(" ", 2)
        call = Call(0, SENT_S, ENDED_S, int(status), state.strip())
    elif outcome.startswith("broken off"):
        call = Call(0, SENT_S, ENDED_S, 0, problem="RemoteProtocolError")
    elif outcome.startswith("left"):
        call = Call(0, SENT_S, SENT_S + 8, 0, problem="ReadTimeout")
    if outcome.endswith("was killed"):
        context.down_spans = [(0, 4.9, 6.0)]
    elif outcome.endswith("while it stopped"):
        context.stop_spans = [(0, 0.4, 8.0)]
    elif outcome.endswith("process ended"):
        context.stop_spans = [(0, 0.4, 5.1)]
    if is_durable:
        context.final_states = {JOB_ID: {"completed"}}
    if outcome.endswith("410 by one"):
        context.final_states = {JOB_ID: {"completed", "410"}}
    elif outcome.endswith("shown as failed"):
        context.final_states = {JOB_ID: {"failed"}}
    return SoakJob(JOB_ID, 1, is_durable, [call])


@given(r"a job of 1 task that was (?P<outcome>.+) and whose runs were (?P<runs>.+)")
def step_impl(context, outcome, runs):
    context.down_spans, context.stop_spans, context.final_states = [], [], {}
    context.job = make_job(context, outcome)
    context.runs = []
    for number, row in enumerate([] if runs == "none" else runs.split(", ")):
        begin_s, _, end_s, kind, *runner = row.split()
        kind = KILLED_PREFIX + runner[0] if kind == "killed" else kind
        context.runs.append((float(begin_s), "start", TASK, number))
        context.runs.append((float(end_s), kind, TASK, number))
    context.runs.sort()


@when(r"the guarantees of the soak are checked")
def step_impl(context):
    context.problems = find_violations(
        [context.job], context.runs, context.down_spans, context.stop_spans, context.final_states
    )


@then(r"(?P<finding>nothing|\".+\") is reported")
def step_impl(context, finding):
    if finding == "nothing":
        assert not context.problems, context.problems
    else:
        assert len(context.problems) == 1, context.problems
        assert finding.strip('"') in context.problems[0], context.problems


@then(r"the faults of seed 7 are the same each time, and differ from those of seed 8")
def step_impl(context):
    schedules = [make_schedule(seed, LENGTH_S, 4, 5) for seed in (7, 7, 8)]
    assert schedules[0] == schedules[1] != schedules[2]
    assert all(fault.end_s <= LENGTH_S for schedule in schedules for fault in schedule)


@then(r"60 seeds inject each kind of fault, some at the same time and some in series")
def step_impl(context):
    schedules = [make_schedule(seed, LENGTH_S, 4, 5) for seed in range(60)]
    kinds = {fault.kind for schedule in schedules for fault in schedule}
    assert kinds == {*DAEMON_KINDS, *RUNNER_KINDS, *SHARED_KINDS}, kinds
    pairs = [pair for schedule in schedules for pair in pairwise(schedule)]
    assert any(later.begin_s < first.end_s for first, later in pairs)
    assert any(
        (first.kind, first.target) == (later.kind, later.target)
        and abs(later.begin_s - first.end_s - SERIES_PAUSE_S) < 1e-9
        for first, later in pairs
    )
