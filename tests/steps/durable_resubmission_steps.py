"""Steps for best-effort jobs that come again to another daemon; each is played in one loop."""

from anyio import sleep
from behave import given, then, use_step_matcher, when

from berylproxy.durable.decisions.routing import GroupChoice
from berylproxy.durable.jobs.messages import DropJob, HolderHeartbeat
from berylproxy.durable.jobs.models import JobState
from tests.support.resubmission_world import ResubmissionWorld, play

JOB, SECOND_JOB = "job-1", "job-2"
RUN_TIME_S = 6.0

use_step_matcher("re")


@given(
    r"2 groups of (?P<count>\d+) endpoints? with a holder each, and 2 more daemons, of which one "
    r"gets a job(?: of (?P<time_s>[\d.]+) s)?"
)
def step_impl(context, count, time_s):
    context.resubmission_world = ResubmissionWorld(
        endpoints_per_group=int(count), run_time_s=float(time_s or RUN_TIME_S)
    )

    async def submit(world):
        context.caller = world.submit(world.entry, JOB)
        await world.wait_until(lambda: world.count_running() == 2)

    context.plays = [submit]


@when(r"(?P<which>its stream to the job's holder breaks|all its streams break) .+ disconnects")
def step_impl(context, which):
    async def leave(world):
        network = world.entry.network
        links = [network._dialled[world.holder_of(JOB).incarnation]]
        if which == "all its streams break":
            links = [*network._dialled.values(), *network._accepted.values()]
        for link in links:
            link.close()
        context.caller.cancel()

    context.plays.append(leave)


@when(r"its stream to the job's holder goes silent for good and the caller disconnects")
def step_impl(context):
    async def leave(world):
        link = world.entry.network._dialled[world.holder_of(JOB).incarnation]
        link._stream.write = lambda data: None
        context.caller.cancel()

    context.plays.append(leave)


@when(r"the entry has lost sight of the job's holder and the caller disconnects")
def step_impl(context):
    async def leave(world):
        world.entry.ignore_notices(HolderHeartbeat)
        world.entry.coordinator.is_leaving = True  # it claims no group
        known = world.entry.coordinator.known_holders[world.group_of(JOB)]
        known.incarnation = ""
        context.caller.cancel()

    context.plays.append(leave)


@given(r"the holders are of a version that takes drops as notices only")
def step_impl(context):
    async def forget_requests(world):
        for daemon in world.daemons:
            del daemon.network._router._request_handlers[DropJob]

    context.plays.append(forget_requests)


@when(r"the caller disconnects")
def step_impl(context):
    async def leave(world):
        context.caller.cancel()

    context.plays.append(leave)


@then(r"nothing runs anywhere within (?P<time_s>[\d.]+) s")
def step_impl(context, time_s):
    async def check(world):
        await sleep(float(time_s))
        assert not world.count_running(), [e.running for e in world.endpoints]

    context.plays.append(check)
    play(context)


@when(
    r"the job comes again (?P<delay_s>[\d.]+) s later to the other daemon, which finds more room "
    r"in the other group"
)
def step_impl(context, delay_s):
    async def come_again(world):
        await sleep(float(delay_s))
        (other_group,) = set(world.groups) - {world.group_of(JOB)}
        choice = GroupChoice(other_group, only_if_room=False)
        world.other_entry.coordinator.route_job = lambda spec, refused_by: choice
        world.submit(world.other_entry, JOB)

    context.plays.append(come_again)


@then(r"the job has begun again, and no task ran twice at the same time")
def step_impl(context):
    def count_starts(world):
        return sum(e[1] == "start" for endpoint in world.endpoints for e in endpoint.history)

    async def check(world):
        await world.wait_until(lambda: count_starts(world) == 4)
        assert not world.find_overlaps(), [e.history for e in world.endpoints]

    context.plays.append(check)
    play(context)


@when(r"the other daemon becomes the holder of its group, and neither holder hears of the other")
def step_impl(context):
    async def take_over(world):
        group, former = world.group_of(JOB), world.holder_of(JOB)
        former.ignore_notices(HolderHeartbeat)
        for daemon in world.daemons:
            daemon.has_store = False  # otherwise one would claim the group at once
        context.former_fence = former.coordinator.holders[group].tenure.fence
        fence = context.former_fence + 1
        world.task_group.start_soon(world.other_entry.coordinator._hold_group, group, fence, 0)

    context.plays.append(take_over)


@when(r"neither reaches the endpoint that the other one reaches")
def step_impl(context):
    async def cut_off(world):
        endpoints = sorted(world.endpoints_of(JOB), key=lambda endpoint: not endpoint.running)
        endpoints[0].cut_fences.add(context.former_fence + 1)
        endpoints[1].cut_fences.add(context.former_fence)

    context.plays.append(cut_off)


@when(
    r"the holder's tenure ends, and the entry hears of the next holder (?P<delay_s>[\d.]+) s later"
)
def step_impl(context, delay_s):
    async def take_over(world):
        group, former = world.group_of(JOB), world.holder_of(JOB).coordinator
        fence = former.holders[group].tenure.fence
        hear = world.entry.coordinator._handle_holder_heartbeat
        world.entry.ignore_notices(HolderHeartbeat)
        former.is_leaving = True  # it doesn't claim the group again
        former.holders[group].tenure.end("the test asks for it")
        await world.wait_until(lambda: world.is_held_above(group, fence))
        await sleep(float(delay_s))
        world.entry.network.handle_notice(HolderHeartbeat, hear)

    context.plays.append(take_over)


@then(r"the job is completed, and each task was started once")
def step_impl(context):
    async def check(world):
        await world.wait_until(lambda: bool(world.results))
        assert world.results == [JobState.COMPLETED], world.results
        starts = [event for e in world.endpoints for event in e.history if event[1] == "start"]
        assert len(starts) == 2, starts

    context.plays.append(check)
    play(context)


@when(r"(?P<time_s>\d+) s have passed in this play")
def step_impl(context, time_s):
    context.plays.append(lambda world: sleep(float(time_s)))


@then(r"no task has run twice at the same time in this play")
def step_impl(context):
    async def check(world):
        assert not world.find_overlaps(), [e.history for e in world.endpoints]

    context.plays.append(check)
    play(context)


@given(r"the entry's stream to each holder stalls")
def step_impl(context):
    async def stall(world):
        for link in world.entry.network._dialled.values():
            link._congested_bytes = 1
            link._queued_bytes += 1

    context.plays.append(stall)


@given(r"a second job is submitted through it, whose caller disconnects")
def step_impl(context):
    async def come_and_go(world):
        caller = world.submit(world.entry, SECOND_JOB, tasks=1)
        links = world.entry.network._dialled.values()
        await world.wait_until(lambda: any(link._queued_requests for link in links))
        await sleep(0.05)
        caller.cancel()
        await sleep(0.05)

    context.plays.append(come_and_go)


@when(r"the streams go on")
def step_impl(context):
    async def go_on(world):
        for link in world.entry.network._dialled.values():
            link._resume_writing()

    context.plays.append(go_on)


@then(r"the second job doesn't run within (?P<time_s>[\d.]+) s")
def step_impl(context, time_s):
    async def check(world):
        await sleep(float(time_s))
        events = [event for endpoint in world.endpoints for event in endpoint.history]
        started = [event for event in events if event[2].job_id == SECOND_JOB]
        assert not started, started

    context.plays.append(check)
    play(context)
