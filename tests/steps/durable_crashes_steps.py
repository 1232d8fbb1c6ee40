"""Steps for tasks that crash the endpoints that start them."""

from time import monotonic, sleep, time

from anyio import sleep as anyio_sleep
from behave import given, then, use_step_matcher, when
from msgpack import packb, unpackb
from msgspec.structs import replace

from berylproxy.durable.holding.records import decode_job, encode_job, open_key
from berylproxy.durable.jobs.models import JobSpec, Progress, QueueTerms, StepSpec, StoredJob
from berylproxy.durable.learning.response_times import LONGEST_RENEWAL_WAIT_S
from berylproxy.store.port import Entry
from tests.steps.durable_holder_steps import ANSWER_TIMEOUT_S, GROUP, MAX_ATTEMPTS, TASK_NEEDS
from tests.support.endpoint_world import LEASE_S

use_step_matcher("re")


def count_crashes(context) -> int:
    """Returns how many endpoint processes have crashed."""
    return sum(endpoint.crashes for endpoint in context.holder_world.endpoints)


def wait_for(condition, what: str):
    """Waits until a condition holds and returns its value."""
    until_s = monotonic() + ANSWER_TIMEOUT_S
    while monotonic() < until_s:
        value = condition()
        if value:
            return value
        sleep(0.005)
    raise AssertionError(f"not seen: {what}")


@given(
    r'job "(?P<name>\w+)" crashes the endpoints that start it(?: after (?P<after_s>[\d.]+) s)?, '
    r"which are back after (?P<down_s>[\d.]+) s"
)
def step_impl(context, name, after_s, down_s):
    for endpoint in context.holder_world.endpoints:
        endpoint.crashing_jobs.add(name)
        endpoint.down_s = float(down_s)
        endpoint.crash_after_s = float(after_s) if after_s else endpoint.crash_after_s


@given(r'job "\w+" crashes each of them (?P<count>\d+) times at most')
def step_impl(context, count):
    for endpoint in context.holder_world.endpoints:
        endpoint.crashes_left = int(count)


@given(r"the endpoints come back under another identifier")
def step_impl(context):
    for endpoint in context.holder_world.endpoints:
        endpoint.rejects_former = True


@given(r"the hosts of the endpoints are silent while they are down")
def step_impl(context):
    for endpoint in context.holder_world.endpoints:
        endpoint.is_silent_when_down = True


@given(
    r"each endpoint crashes before it carries out (?P<orders>its first|any) order, "
    r"and is back after (?P<s>\S+) s"
)
def step_impl(context, orders, s):
    for endpoint in context.holder_world.endpoints:
        endpoint.crashing_starts = 1 if orders == "its first" else 1_000
        endpoint.down_s = float(s)


@given(r"the answers to starts come (?P<late_s>\S+) s late")
def step_impl(context, late_s):
    for endpoint in context.holder_world.endpoints:
        endpoint.late_answer_s = float(late_s)


@when(r'the endpoint that runs job "(?P<name>\w+)" is listed as leaving, and its process ends')
def step_impl(context, name):
    world = context.holder_world

    def find_running():
        return [e for e in world.endpoints if any(task.job_id == name for task, _ in e.running)]

    def is_leaving_known():
        known = world.holders[world.newest_fence].group.endpoints[endpoint.info.instance]
        return known.info.leaving

    endpoint = wait_for(find_running, f"a run of {name}")[0]
    endpoint.info, endpoint.down_s = replace(endpoint.info, leaving=True), 0.4
    wait_for(is_leaving_known, "the leaving endpoint in the list")
    world.portal.call(endpoint.crash)


@when(r"the answers to renewals are lost")
def step_impl(context):
    for endpoint in context.holder_world.endpoints:
        endpoint.lost_calls = {"renew"}


@when(r"the list shows the new processes")
def step_impl(context):
    world = context.holder_world

    def is_listed():
        listed = {info.instance for info in world.endpoint_list.endpoints}
        known = world.holders[world.newest_fence].group.endpoints.keys()
        return all(endpoint.info.instance in listed & known for endpoint in world.endpoints)

    wait_for(is_listed, "the new processes in the list")


@when(r"the list goes on to name the former processes")
def step_impl(context):
    world = context.holder_world
    world.directory.outdated_list = tuple(endpoint.info for endpoint in world.endpoints)


@when(r"the list names the new processes")
def step_impl(context):
    context.holder_world.directory.outdated_list = None


@when(r"renewals are answered again")
def step_impl(context):
    for endpoint in context.holder_world.endpoints:
        endpoint.lost_calls = set()


@when(r'the endpoint that runs job "(?P<name>\w+)" is cut off for (?P<cut_s>[\d.]+) s')
def step_impl(context, name, cut_s):
    endpoint = _cut_off(context.holder_world, name)
    context.holder_world.portal.start_task_soon(_heal_later, endpoint, float(cut_s))


@when(
    r'the endpoint that runs job "(?P<name>\w+)" '
    r"(?P<refusal>refuses a call, answers and |refuses a call and |)is cut off, and another "
    r"process replaces its process (?P<when>after|as soon as) the runs (?:have lapsed|are done)"
)
def step_impl(context, name, refusal, when):
    world = context.holder_world
    if refusal:
        _find_reached(world, name).refused_calls = 1
    if "answers" in refusal:
        sleep(2 * LONGEST_RENEWAL_WAIT_S)
    endpoint = _cut_off(world, name)
    # By then the holder has seen the lease lapse, too.
    pause_s = LEASE_S if when == "after" else 0.0
    world.portal.start_task_soon(_replace_once_idle, endpoint, pause_s)


@when(r"all endpoints crash and are back after (?P<down_s>\S+) s")
def step_impl(context, down_s):
    for endpoint in context.holder_world.endpoints:
        endpoint.down_s = float(down_s)
        context.holder_world.portal.call(endpoint.crash)


@when(r"(?P<count>\d+) endpoints have been replaced")
def step_impl(context, count):
    wait_for(lambda: count_crashes(context) >= int(count), f"{count} new processes")


def _find_reached(world, name):
    """Returns the endpoint that runs a job and isn't cut off."""

    def find_reached():
        for endpoint in world.endpoints:
            is_running = any(task.job_id == name for task, _ in list(endpoint.running))
            if is_running and not endpoint.cut_fences:
                return endpoint
        return None

    return wait_for(find_reached, f"a run of {name} at an endpoint that is reached")


def _cut_off(world, name):
    """Cuts off the endpoint that runs a job and returns it."""
    endpoint = _find_reached(world, name)
    endpoint.cut_fences.add(world.newest_fence)
    return endpoint


async def _heal_later(endpoint, cut_s):
    await anyio_sleep(cut_s)
    endpoint.cut_fences.clear()


async def _replace_once_idle(endpoint, pause_s):
    while endpoint.running:
        await anyio_sleep(0.05)
        endpoint.end_due_runs()
    await anyio_sleep(pause_s)
    endpoint.restart()
    endpoint.cut_fences.clear()


@given(r'durable job "(?P<name>\w+)" of 1 task was stored with 1 crash by an earlier version')
def step_impl(context, name):
    terms = QueueTerms("q", GROUP, max_attempts=MAX_ATTEMPTS, objective_s=ANSWER_TIMEOUT_S)
    spec = JobSpec(name, terms, "", (StepSpec(1, TASK_NEEDS, 0.1),))
    progress = Progress(crashes=((0, 0, 1, 1),))
    fields = unpackb(encode_job(StoredJob(spec, time(), progress)))
    for name_of_later_field in ("begun_crashes", "possible_crashes"):
        fields["progress"].pop(name_of_later_field, None)
    key = open_key(GROUP, name)
    context.holder_world.store.entries[key] = Entry(key, packb(fields), 1)


@when(r"(?P<count>\d+) endpoint processes are lost and seen to have ended")
def step_impl(context, count):
    wait_for(lambda: _count_lost_endpoints(context, "crash") >= int(count), "crashes of endpoints")


@when(r"an endpoint process has crashed")
def step_impl(context):
    wait_for(lambda: count_crashes(context), "a crash")


def end_crashes(world, name):
    """Lets a job crash no further endpoints."""
    for endpoint in world.endpoints:
        endpoint.crashing_jobs.discard(name)


@when(r'job "(?P<name>\w+)" crashes no endpoints any more')
def step_impl(context, name):
    end_crashes(context.holder_world, name)


@when(r'1 endpoint process has crashed and its crash is stored with job "(?P<name>\w+)"')
def step_impl(context, name):
    def is_stored():
        entry = context.holder_world.store.entries.get(open_key(GROUP, name))
        return entry is not None and decode_job(entry.value).progress.crashes

    wait_for(is_stored, "a stored crash")


@when(r'a possible crash is stored with job "(?P<name>\w+)"')
def step_impl(context, name):
    def is_stored():
        entry = context.holder_world.store.entries.get(open_key(GROUP, name))
        return entry is not None and decode_job(entry.value).progress.possible_crashes

    wait_for(is_stored, "a stored possible crash")


@then(r"(?P<count>\d+) endpoint processes have crashed")
def step_impl(context, count):
    assert count_crashes(context) == int(count), count_crashes(context)


@then(r'(?P<count>\d+) jobs? (?:has|have) failed because of "(?P<cause>\w+)"')
def step_impl(context, count, cause):
    world = context.holder_world
    telemetry = world.holders[world.newest_fence].tenure.telemetry
    content, _ = telemetry.metrics.scrape(["text/plain"])
    found = [line for line in content.decode().splitlines() if f'cause="{cause}"' in line]
    assert sum(int(float(line.rpartition(" ")[2])) for line in found) == int(count), found


@then(r"no crash has been counted")
def step_impl(context):
    assert not _count_lost_endpoints(context, "crash")


def _count_lost_endpoints(context, outcome):
    """Returns how many endpoints were lost under tasks in a way."""
    world = context.holder_world
    telemetry = world.holders[world.newest_fence].tenure.telemetry
    content, _ = telemetry.metrics.scrape(["text/plain"])
    name = 'berylproxy_endpoints_lost_under_tasks_total{outcome="' + outcome
    lines = [line for line in content.decode().splitlines() if line.startswith(name)]
    return sum(int(float(line.rpartition(" ")[2])) for line in lines)
