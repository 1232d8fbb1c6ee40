"""Steps for a holder that can't tell whether its claim is still in force."""

from behave import use_step_matcher, when

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
