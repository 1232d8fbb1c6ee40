"""Steps for best-effort jobs that come again to the holder under which they have ended."""

from anyio import create_task_group, move_on_after, run, wait_all_tasks_blocked
from behave import given, then, use_step_matcher, when

from berylproxy.durable.holding.errors import JobInterruptedError
from berylproxy.durable.jobs.job_table import FailureCause
from berylproxy.durable.jobs.messages import JobSubmission
from berylproxy.durable.jobs.models import EndKind
from tests.support.still_holder import ENTRY, GROUP, make_stored_job

JOB, CALLER_WAIT_S = "j1", 10.0
SPEC = make_stored_job(JOB, 2, is_durable=False).spec

use_step_matcher("re")


def make_submission(attempt):
    return JobSubmission(GROUP, SPEC, attempt, CALLER_WAIT_S, call=1)


def start_tasks(world):
    job = world.holder.job_table.jobs[JOB]
    world.holder.job_table.resolve(job)
    world.start_tasks(job)
    return job


def complete(world):
    job = start_tasks(world)
    world.report([(JOB, 0, EndKind.DONE), (JOB, 1, EndKind.DONE)], run=job.tasks[0, 0].run)
    world.endpoint.next_acknowledgement()  # lets the endpoint forget the ends


def fail(world):
    job = start_tasks(world)
    world.holder.job_table.fail(job, FailureCause.FAILED_RUNS)
    world.holder._finish(job)


def drop(world):
    start_tasks(world)
    world.holder.drop(JOB, "no message received from its entry daemon")


ENDS = {"completed": complete, "failed": fail, "dropped": drop}


@given(r"a best-effort job that was (?P<ended>\w+) after its submission as attempt (?P<first>\d+)")
def step_impl(context, ended, first):
    world = context.still_holder

    async def submit():
        try:
            await world.holder.submit(make_submission(int(first)), ENTRY)
        except JobInterruptedError:
            assert ended == "dropped"

    async def play():
        async with create_task_group() as task_group:
            task_group.start_soon(submit)
            await wait_all_tasks_blocked()
            ENDS[ended](world)

    run(play)
    assert JOB not in world.holder.job_table.jobs


@when(r"the job is submitted to the holder as attempt (?P<second>\d+)")
def step_impl(context, second):
    async def submit():
        context.reply = None
        with move_on_after(0.05):
            holder = context.still_holder.holder
            context.reply = await holder.submit(make_submission(int(second)), ENTRY)

    run(submit)


@then(r"the holder says that it is (?P<state>\w+)")
def step_impl(context, state):
    assert context.reply is not None and context.reply.state == state, context.reply
    assert JOB not in context.still_holder.holder.job_table.jobs


@then(r"the holder opens it again")
def step_impl(context):
    assert context.reply is None
    assert JOB in context.still_holder.holder.job_table.jobs
