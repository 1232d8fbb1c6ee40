"""Steps for a service of two groups that leaves the configuration and returns; one loop a play."""

from anyio import fail_after, run
from behave import given, then, use_step_matcher, when
from msgspec.structs import replace

from berylproxy.durable.entry.frontend import ResultUnknownError
from berylproxy.durable.holding.groups import Division, choose_group, list_groups
from berylproxy.durable.holding.records import (
    claim_key,
    division_key,
    encode_claim,
    encode_division,
    encode_final,
    encode_job,
    final_key,
    is_claim_released,
    open_key,
)
from berylproxy.durable.jobs.models import JobState, StoredJob
from berylproxy.peers.membership import PeerUnreachableError
from tests.steps.durable_former_services_steps import release_after
from tests.steps.durable_member_steps import write
from tests.steps.durable_moved_queue_steps import (
    WAIT_LIMIT_S,
    TwoServices,
    make_spec,
)
from tests.support.endpoint_world import make_endpoint

SERVICE, OTHER_SERVICE = "ledger", "lobby"
GROUPS = list_groups(SERVICE, 2)
ANSWER_WAIT_S = 1.0
ENDED_UNIX_S = 17.0

use_step_matcher("re")


def name_job(group, prefix):
    """Returns an identifier that belongs to a group of the service."""
    names = (f"{prefix}{number}" for number in range(1000))
    return next(name for name in names if choose_group(SERVICE, 2, name) == group)


RUNNING_JOB, COMPLETED_JOB = name_job(GROUPS[0], "running"), name_job(GROUPS[1], "completed")
NEW_JOB, NO_JOB = name_job(GROUPS[1], "new"), name_job(GROUPS[1], "none")


@given(
    r"a daemon with a service of two groups, a job that runs in the first and one completed in the "
    r"second"
)
def step_impl(context):
    world = context.two_services = TwoServices()
    second = make_endpoint("ledger-e2")
    second.info = replace(second.info, service=SERVICE)
    world.endpoints.append(second)
    world.endpoints[0].run_time_s = 2 * WAIT_LIMIT_S
    assigned = {"ledger-e": 0, "ledger-e2": 1}
    write(world.store, division_key(SERVICE), encode_division(Division(2, assigned)))
    running = StoredJob(make_spec(RUNNING_JOB, SERVICE), 0.0)
    write(world.store, open_key(GROUPS[0], RUNNING_JOB), encode_job(running))
    write(world.store, final_key(COMPLETED_JOB), encode_final(JobState.COMPLETED, ENDED_UNIX_S))
    del world.store.entries[division_key("annex")]  # no holder of it reads outcomes
    world.configured = {SERVICE}
    world.is_holding = lambda: holds_both(world)
    context.plays = []


def holds_both(world):
    """Returns whether the daemon holds both groups and has loaded their jobs."""
    holders = world.coordinator.holders
    return all(group in holders and holders[group].is_loaded for group in GROUPS)


@when(r"the service leaves the configuration, and the second group has been let go")
def step_impl(context):
    async def leave(world):
        await world.wait_until(world.count_running)
        world.coordinator.note_configuration({OTHER_SERVICE})
        claims, key = world.store.entries, claim_key(GROUPS[1])
        await world.wait_until(lambda: is_claim_released(claims[key].value))
        await world.wait_until(lambda: GROUPS[1] not in world.coordinator.holders)
        assert GROUPS[0] in world.coordinator.holders

    context.plays.append(leave)


@when(r"the service is in the configuration again")
def step_impl(context):
    async def come_back(world):
        world.coordinator.note_configuration({SERVICE, OTHER_SERVICE})
        assert await world.coordinator.follow_services({SERVICE})

    context.plays.append(come_back)


async def reach_nobody(incarnation, message, timeout_s):
    """Stands for a daemon that isn't reached."""
    raise PeerUnreachableError(f"no stream to {incarnation}")


@when(r"another daemon, of which it hears nothing, holds the second group and has a job")
def step_impl(context):
    async def claim(world):
        write(world.store, claim_key(GROUPS[1]), encode_claim("d9", "d9-1"))
        world.frontend._network.request = reach_nobody
        job = StoredJob(make_spec(NEW_JOB, SERVICE), 0.0)
        write(world.store, open_key(GROUPS[1], NEW_JOB), encode_job(job))

    context.plays.append(claim)


def play(context, last):
    """Plays the steps collected so far, and a last one."""

    async def play_all(world):
        for work in [*context.plays, last]:
            await work(world)

    with release_after(0.2):
        run(context.two_services.run, play_all)


async def wait_for_both(world):
    """Waits until the daemon holds both groups."""
    with fail_after(3.0):
        await world.wait_until(lambda: holds_both(world))


@when(r"the daemon holds both groups within 3 s")
def step_impl(context):
    context.plays.append(wait_for_both)


@then(r"within 3 s the daemon holds both groups")
def step_impl(context):
    play(context, wait_for_both)


@then(r'a caller who (?P<request>asks for|cancels) the second group\'s job is told "completed"')
def step_impl(context, request):
    async def ask(world):
        call = world.frontend.find_state if request == "asks for" else world.frontend.cancel
        state = await call([OTHER_SERVICE], COMPLETED_JOB, ANSWER_WAIT_S)
        assert state is JobState.COMPLETED, state

    play(context, ask)


@then(r"a caller who asks for that job is told that its state isn't known")
def step_impl(context):
    async def ask(world):
        try:
            state = await world.frontend.find_state([OTHER_SERVICE], NEW_JOB, ANSWER_WAIT_S)
        except ResultUnknownError:
            return
        assert state is JobState.QUEUED, state  # the store shows the job

    play(context, ask)


@then(r"a caller who asks for a job that nobody has is told that there is none")
def step_impl(context):
    async def ask(world):
        assert await world.frontend.find_state([OTHER_SERVICE], NO_JOB, ANSWER_WAIT_S) is None

    play(context, ask)


use_step_matcher("parse")
