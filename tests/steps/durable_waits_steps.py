"""Steps for how long tasks wait although endpoints have room, in simulated time."""

from behave import then, use_step_matcher, when

STEP_S = 0.01
LONGEST_OBSERVATION_S = 30.0

use_step_matcher("re")


def wait_for_run(context, name):
    """Returns the endpoint that runs a job, and how long it took until one did."""
    time, endpoints = context.simulated_time, context.holder_world.endpoints
    began_s = time.monotonic()
    while time.monotonic() - began_s < LONGEST_OBSERVATION_S:
        for endpoint in endpoints:
            endpoint.end_due_runs()
            if any(task.job_id == name for task, _ in endpoint.running):
                return endpoint, time.monotonic() - began_s
        time.sleep(STEP_S)
    raise AssertionError(f"{name} doesn't run")


@when(
    r'the endpoint that runs jobs "(?P<names>[\w ]+)" crashes and is back after (?P<down_s>\S+) s'
)
def step_impl(context, names, down_s):
    endpoint, _ = wait_for_run(context, names.split()[0])
    running = {task.job_id for task, _ in endpoint.running}
    assert running == set(names.split()), running
    endpoint.down_s = float(down_s)
    context.holder_world.portal.call(endpoint.crash)
    for name in names.split():
        wait_for_run(context, name)


@then(r'job "(?P<name>\w+)" has begun within (?P<limit_s>\S+) s')
def step_impl(context, name, limit_s):
    _, waited_s = wait_for_run(context, name)
    assert waited_s <= float(limit_s), waited_s
