"""Steps for what endpoints report of jobs that aren't open at a holder, which isn't run."""

from anyio import run
from behave import given, then, use_step_matcher, when

from berylproxy.durable.holding.records import encode_job
from berylproxy.durable.jobs.job_table import TaskStatus
from berylproxy.durable.jobs.messages import HolderHeartbeat
from berylproxy.durable.jobs.models import EndKind
from berylproxy.store.port import StoreOutcomeUnknownError
from tests.support.still_holder import CLAIM_REVISION, OTHER, StillHolder, make_stored_job

JOB, DURABLE_JOB, UNKNOWN_JOB = "known", "durable", "unknown"
ENDED_TASK, RUNNING_TASK = 0, 1

use_step_matcher("re")


@given(r"a holder without a claim")
def step_impl(context):
    context.still_holder = StillHolder(has_claim=False)


@given(r"a holder with a claim that (?P<loaded>has loaded the open jobs|hasn't loaded .+ yet)")
def step_impl(context, loaded):
    context.still_holder = StillHolder(has_claim=True)
    if loaded.startswith("has "):
        run(context.still_holder.load_jobs)


@given(r"a holder with a claim that can't decode that job's record")
def step_impl(context):
    context.still_holder = StillHolder(has_claim=True)
    context.still_holder.store_open_job(UNKNOWN_JOB, b"\xc1")
    run(context.still_holder.load_jobs)


def report_unknown(world):
    """Lets the endpoint report one end and one run of an unknown job."""
    ended = [(UNKNOWN_JOB, ENDED_TASK, EndKind.DONE)]
    world.report(ended, [(UNKNOWN_JOB, RUNNING_TASK)])


@when(r"an endpoint reports an end and a run of an unknown job")
def step_impl(context):
    report_unknown(context.still_holder)


@when(r"the entry daemons have told that (?P<told>.+)")
def step_impl(context, told):
    world = context.still_holder
    if told == "nothing yet":
        return
    waited = {UNKNOWN_JOB} if told == "a caller waits for it" else set()
    asked_s = world.endpoint.contacted_s - 0.001 if told.endswith("before") else world.now_s
    world.tell_awaited_jobs(waited, asked_s)


@when(r"(?P<time_s>[\d.]+) s later the endpoint reports them again")
def step_impl(context, time_s):
    context.still_holder.now_s += float(time_s)
    report_unknown(context.still_holder)


@when(r"the endpoint reports the ends of both its tasks")
def step_impl(context):
    ended = [(UNKNOWN_JOB, task, EndKind.DONE) for task in (ENDED_TASK, RUNNING_TASK)]
    context.still_holder.report(ended)


@when(r"an endpoint reports an end and a run of an unknown job, again after (?P<time_s>[\d.]+) s")
def step_impl(context, time_s):
    world = context.still_holder
    report_unknown(world)
    world.now_s += float(time_s)
    report_unknown(world)


@when(
    r"an endpoint reports the end of run (?P<run>\d+) of an unknown job, again after "
    r"(?P<time_s>[\d.]+) s"
)
def step_impl(context, run, time_s):
    world, ended = context.still_holder, [(UNKNOWN_JOB, ENDED_TASK, EndKind.DONE)]
    world.report(ended, run=int(run))
    world.now_s += float(time_s)
    world.report(ended, run=int(run))


@then(r"that endpoint's lease (?P<verb>is|isn't) extended")
def step_impl(context, verb):
    assert context.still_holder.endpoint.should_let_lapse == (verb == "isn't")


async def list_answers(holder):
    """Returns what the holder says of the unknown job, or the errors that it raises."""
    answers = []
    for call in (holder.find_state, holder.cancel):
        try:
            answers.append(await call(UNKNOWN_JOB))
        except StoreOutcomeUnknownError as error:
            answers.append(error)
    return answers


@when(r"a caller asks for that job, and another one cancels it")
def step_impl(context):
    context.answers = run(list_answers, context.still_holder.holder)


@then(r"neither is told that there is no such job")
def step_impl(context):
    assert all(isinstance(a, StoreOutcomeUnknownError) for a in context.answers), context.answers


@when(r"that job is submitted again as a best-effort job")
def step_impl(context):
    world = context.still_holder
    context.job = world.open_job(UNKNOWN_JOB, 2, is_durable=False, first_run=1)
    world.holder.group.adopt_orphans(context.job, world.now_s)
    world.now_s += 0.05
    report_unknown(world)


@when(r"that job is dropped")
def step_impl(context):
    context.still_holder.holder.drop(UNKNOWN_JOB, "its entry daemon is unreachable")


@then(r"its first task counts as done")
def step_impl(context):
    assert context.job.tasks[0, ENDED_TASK].status is TaskStatus.DONE


@then(
    r"the holder (?P<lets>lets|doesn't let) the endpoint forget that end, and "
    r"(?P<stops>stops|doesn't stop) that run"
)
def step_impl(context, lets, stops):
    world = context.still_holder
    assert world.endpoint.next_acknowledgement() == (1 if lets == "lets" else 0)
    expected = [(UNKNOWN_JOB, RUNNING_TASK)] if stops == "stops" else []
    assert world.list_stopped() == expected, world.list_stopped()


@given(r"a (?P<kind>best-effort|durable) job of 2 tasks runs at its endpoint")
def step_impl(context, kind):
    world = context.still_holder
    context.job = world.open_job(JOB, 2, is_durable=kind == "durable")
    world.start_tasks(context.job)
    world.report(running=[(JOB, ENDED_TASK), (JOB, RUNNING_TASK)])


@given(r"(?P<others>another durable|no other) job is open at its endpoint")
def step_impl(context, others):
    if others == "another durable":
        context.still_holder.open_job(DURABLE_JOB, 1, is_durable=True)


@when(r"the store has last confirmed its claim (?P<age_s>[\d.]+) s ago")
def step_impl(context, age_s):
    world = context.still_holder
    world.run_on(world.holder.tenure.confirmed_s + float(age_s) - world.now_s)


@when(r"the holder is paused for (?P<pause_s>[\d.]+) s, and runs on for (?P<time_s>[\d.]+) s")
def step_impl(context, pause_s, time_s):
    context.still_holder.pause(float(pause_s))
    context.still_holder.run_on(float(time_s))


@when(r"the endpoint reports the end of the second task, too")
def step_impl(context):
    ended = [(JOB, ENDED_TASK, EndKind.DONE), (JOB, RUNNING_TASK, EndKind.DONE)]
    context.still_holder.report(ended)


@when(r"the endpoint reports the end of the first task")
def step_impl(context):
    ended = [(JOB, ENDED_TASK, EndKind.DONE)]
    context.still_holder.report(ended, [(JOB, RUNNING_TASK)])


@when(r"the job is dropped and the endpoint reports the end of the second task, too")
def step_impl(context):
    context.still_holder.holder.drop(JOB, "its caller has disconnected")
    ended = [(JOB, ENDED_TASK, EndKind.DONE), (JOB, RUNNING_TASK, EndKind.STOPPED)]
    context.still_holder.now_s += 1.0
    context.still_holder.report(ended)


@when(r"the job is dropped and the endpoint reports both runs")
def step_impl(context):
    context.still_holder.holder.drop(JOB, "its caller has disconnected")
    context.still_holder.now_s += 1.0
    context.still_holder.report(running=[(JOB, ENDED_TASK), (JOB, RUNNING_TASK)])


@then(r"the holder has ordered each run of the job to stop twice")
def step_impl(context):
    stopped = context.still_holder.list_stopped()
    assert sorted(stopped) == [(JOB, task) for task in (0, 0, 1, 1)], stopped


@then(r"the holder lets the endpoint forget (?P<count>\d+) ends?")
def step_impl(context, count):
    assert context.still_holder.endpoint.next_acknowledgement() == int(count)


@when(r"the store hasn't confirmed its claim for too long")
def step_impl(context):
    context.still_holder.holder._suspend_durable_jobs(2.0)


@given(r"a later holder has stored an open job")
def step_impl(context):
    value = encode_job(make_stored_job(JOB, 1, is_durable=True))
    context.still_holder.store_open_job(JOB, value, CLAIM_REVISION + 1)


@when(r"the open jobs are loaded")
def step_impl(context):
    run(context.still_holder.load_jobs)


@then(r"its tenure has ended, and no job is open or counts as loaded")
def step_impl(context):
    world = context.still_holder
    assert world.work.cancel_scope.cancel_called
    assert not world.holder.job_table.jobs and not world.holder.is_loaded


@then(r"its tenure has ended, and no run was ordered to stop")
def step_impl(context):
    world = context.still_holder
    assert world.work.cancel_scope.cancel_called
    assert not world.list_stopped(), world.list_stopped()


@then(r"the other daemons have heard that it is leaving")
def step_impl(context):
    heartbeats = [
        message
        for incarnation, message in context.still_holder.notices
        if incarnation == OTHER and isinstance(message, HolderHeartbeat)
    ]
    assert heartbeats and heartbeats[-1].leaving, context.still_holder.notices
