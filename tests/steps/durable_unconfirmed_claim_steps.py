"""Steps for a holder that can't tell whether its claim is still in force."""

from anyio import sleep
from behave import then, use_step_matcher, when

from berylproxy.durable.jobs.messages import JobsEnded

JOB_INTERVAL_S = 0.1
MAX_OTHER_JOBS = 30

use_step_matcher("re")


def split_endpoints(world, name):
    """Returns the endpoint that runs a job, and the others."""
    world.wait_for_starts(name, 1)
    running = [e for e in world.endpoints if any(task.job_id == name for task, _ in e.running)]
    (endpoint,) = running
    return endpoint, [e for e in world.endpoints if e is not endpoint]


@when(
    r'a partition has the store and the endpoint that runs job "(?P<name>\w+)" on the other side '
    r"of the holder with fence 16"
)
def step_impl(context, name):
    world = context.holder_world
    endpoint, others = split_endpoints(world, name)
    endpoint.cut_fences.add(16)
    for other in others:
        other.cut_fences.add(32)
    world.store_accesses[16].silence_s = 0.7


@when(
    r'a partition has the endpoint that runs job "(?P<name>\w+)" on the other side of the holder '
    r"with fence 32"
)
def step_impl(context, name):
    endpoint, _ = split_endpoints(context.holder_world, name)
    endpoint.cut_fences.add(32)


@when(
    r'a partition has only the endpoint that runs job "(?P<name>\w+)" on the side of the holder '
    r"with fence 16"
)
def step_impl(context, name):
    world = context.holder_world
    context.first_endpoint, others = split_endpoints(world, name)
    context.first_endpoint.cut_fences.add(32)
    for other in others:
        other.cut_fences.update((16, 17))
    world.store_accesses[16].silence_s = 0.7


@when(r"other jobs of 1 task are run at the holder with fence 16 until its tenure ends")
def step_impl(context):
    world = context.holder_world
    for number in range(MAX_OTHER_JOBS):
        if world.holders[16].tenure.is_over:
            break
        world.submit(f"other-{number}", 1, fence=16)
        context.simulated_time.sleep(JOB_INTERVAL_S)
    assert world.holders[16].tenure.is_over


@then(r"the tenure of the holder with fence 16 has ended")
def step_impl(context):
    assert context.holder_world.holders[16].tenure.is_over


@when(r"(?P<count>\d+) jobs of 1 task are run one after the other at the holder with fence 17")
def step_impl(context, count):
    world = context.holder_world
    for number in range(int(count)):
        world.submit(f"local-{number}", 1, fence=17)
        assert world.replies[f"local-{number}"][-1].result(10.0).state == "completed"


@then(r'the lease of the first endpoint of job "(?P<name>\w+)" had lapsed since its run .+')
def step_impl(context, name):
    world, endpoint = context.holder_world, context.first_endpoint
    done_s = min(at_s for at_s, _, _ in world.list_events(name, "done"))
    assert endpoint.lease_began_s > done_s, (endpoint.lease_began_s, endpoint.history)


@when(r'the endpoint that runs job "(?P<name>\w+)" is cut off')
def step_impl(context, name):
    endpoint, _ = split_endpoints(context.holder_world, name)
    endpoint.cut_fences.add(16)


@when(r'the process that runs job "(?P<name>\w+)" is restarted')
def step_impl(context, name):
    endpoint, _ = split_endpoints(context.holder_world, name)
    context.holder_world.portal.call(endpoint.restart)


async def end_cut(store_access, after_s):
    await sleep(after_s)
    store_access.is_cut = False


@when(
    r"the store serves the holder with fence (?P<fence>\d+) again(?: after (?P<after_s>[\d.]+) s)?"
)
def step_impl(context, fence, after_s):
    world = context.holder_world
    world.portal.start_task_soon(end_cut, world.store_accesses[int(fence)], float(after_s or 0))


def list_told_states(world, name):
    """Returns what entry daemons were told of a job's end."""
    ended = [notice for notice in world.notices if isinstance(notice, JobsEnded)]
    return [notice.states[name] for notice in ended if name in notice.states]


@then(
    r'callers that ask for job "(?P<name>\w+)" are told "(?P<state>\w+)", and '
    r"(?P<told>nobody was told of its end|its entry daemon was told so)"
)
def step_impl(context, name, state, told):
    world = context.holder_world
    assert world.portal.call(world.holders[16].find_state, name) == state
    expected = [] if told.startswith("nobody") else [state]
    assert list_told_states(world, name) == expected, world.notices
