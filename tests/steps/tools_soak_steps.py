"""Steps for the judgement and the schedules of the soak."""

from itertools import pairwise

from behave import given, then, use_step_matcher, when

from tools.soak.callers import Call, SoakJob
from tools.soak.judge import judge
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


def make_job(context, told):
    """Makes a job and what became of its one call."""
    is_kept = told.startswith("accepted, kept")
    call = Call(0, SENT_S, ENDED_S, 200)
    if told.startswith("answered"):
        _, status, state = (told + " ").split(" ", 2)
        call = Call(0, SENT_S, ENDED_S, int(status), state.strip())
    elif told.startswith("broken off"):
        call = Call(0, SENT_S, ENDED_S, 0, problem="RemoteProtocolError")
    elif told.startswith("left"):
        call = Call(0, SENT_S, SENT_S + 8, 0, problem="ReadTimeout")
    if told.endswith("was killed"):
        context.down = [(0, 4.9, 6.0)]
    elif told.endswith("while it stopped"):
        context.stopped = [(0, 0.4, 8.0)]
    elif told.endswith("process ended"):
        context.stopped = [(0, 0.4, 5.1)]
    if is_kept:
        context.final_states = {JOB_ID: {"completed"}}
    if told.endswith("410 by one"):
        context.final_states = {JOB_ID: {"completed", "410"}}
    return SoakJob(JOB_ID, 1, is_kept, [call])


@given(r"a job of 1 task that was (?P<told>.+) and whose runs were (?P<runs>.+)")
def step_impl(context, told, runs):
    context.down, context.stopped, context.final_states = [], [], {}
    context.job = make_job(context, told)
    context.runs = []
    for number, row in enumerate([] if runs == "none" else runs.split(", ")):
        begin_s, _, end_s, kind = row.split()
        context.runs.append((float(begin_s), "start", TASK, number))
        context.runs.append((float(end_s), kind, TASK, number))
    context.runs.sort()


@when(r"the soak is judged")
def step_impl(context):
    context.problems = judge(
        [context.job], context.runs, context.down, context.stopped, context.final_states
    )


@then(r"(?P<finding>nothing|\".+\") is found")
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


@then(r"within 60 seeds each kind of fault comes, some at the same time and some in series")
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
