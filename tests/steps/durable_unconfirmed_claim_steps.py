"""Steps for a holder that can't tell whether its claim is still in force."""

from behave import then, use_step_matcher, when

from berylproxy.durable.jobs.messages import JobsEnded

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


@when(r'the endpoint that runs job "(?P<name>\w+)" is cut off')
def step_impl(context, name):
    endpoint, _ = split_endpoints(context.holder_world, name)
    endpoint.cut_fences.add(16)


@when(r'the process that runs job "(?P<name>\w+)" is restarted')
def step_impl(context, name):
    endpoint, _ = split_endpoints(context.holder_world, name)
    context.holder_world.portal.call(endpoint.restart)


@when(r"the store serves the holder with fence (?P<fence>\d+) again")
def step_impl(context, fence):
    context.holder_world.store_accesses[int(fence)].is_cut = False


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
