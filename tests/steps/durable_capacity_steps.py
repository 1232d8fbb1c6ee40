"""Steps for endpoints whose capacity changes."""

from collections import Counter
from json import loads
from time import monotonic, sleep
from types import SimpleNamespace

from behave import given, then, use_step_matcher, when
from msgspec.structs import replace

from berylproxy.durable.decisions.routing import (
    TypicalNeed,
    count_needed_millicores,
    has_room,
    measure_room_millicores,
)
from berylproxy.durable.endpoints.capacity_spread import HEARTBEAT_PART, CapacitySpread
from berylproxy.durable.endpoints.fleet import EndpointList
from berylproxy.durable.holding.groups import assign_endpoints
from berylproxy.durable.jobs.job_table import JobTable, TaskStatus
from berylproxy.durable.jobs.models import (
    JobSpec,
    QueueTerms,
    Resources,
    StepSpec,
    StoredJob,
    TaskName,
)
from berylproxy.durable.learning.estimates import RunTimeModel
from berylproxy.peers.membership import MemberStatus
from standins.runner_model import ModelRun, RunnerModel
from tests.steps.durable_decisions_steps import GROUP, make_state, place_all
from tests.steps.durable_member_steps import make_coordinator, make_identity, make_network
from tests.support.capacity_play import CapacitySimulation
from tests.support.endpoint_world import LEASE_S, FakeDirectory, make_endpoint
from tests.support.runs import most_active_runs

LIST_GRACE_S = 0.3

NOW_S = 100.0


class ToldDaemon:
    """A daemon's copy of the list, and what it tells others of it."""

    def __init__(self, name):
        self.name, self.now_s = name, NOW_S
        self.list = EndpointList()
        network = SimpleNamespace(
            add_heartbeat_part=lambda _, describe: setattr(self, "describe", describe),
            on_change=lambda listener: setattr(self, "listener", listener),
        )
        clock = SimpleNamespace(now_s=lambda: self.now_s)
        CapacitySpread(network, self.list, clock, lambda info: True)

    def read(self, cores, revision):
        """Applies an answer of the store."""
        info = make_endpoint("e1", cores).info
        self.list.update((replace(info, revision=revision),), self.now_s)

    def hear(self, part, name="d1"):
        """Applies a heartbeat of another daemon."""
        heartbeat = {} if part is None else {HEARTBEAT_PART: part}
        self.listener(
            SimpleNamespace(heartbeat=heartbeat, identity=SimpleNamespace(daemon_id=name))
        )


use_step_matcher("re")


@given(r"a stop takes (?P<stop_time_s>[\d.]+) s at each endpoint")
def step_impl(context, stop_time_s):
    for endpoint in context.holder_world.endpoints:
        endpoint.stop_time_s = float(stop_time_s)


@given(r"endpoint (?P<number>\d+) shrinks to (?P<cores>\d+) cores and (?P<memory_mb>\d+) MB")
@when(
    r"endpoint (?P<number>\d+) (?:shrinks|grows) to (?P<cores>\d+) cores and "
    r"(?P<memory_mb>\d+) MB"
)
def step_impl(context, number, cores, memory_mb):
    world = context.holder_world
    capacity = Resources(int(cores) * 1000, int(memory_mb))
    # The list is read again only after some time, in which the former capacity counts.
    world.endpoints[int(number) - 1].shrink_grace_s = LIST_GRACE_S
    world.portal.call(world.endpoints[int(number) - 1].resize, capacity)


@when(r'the endpoint without runs shrinks to 2 cores and runs the task of job "(?P<name>\w+)", too')
def step_impl(context, name):
    world = context.holder_world

    def run_again():
        (first,) = [endpoint for endpoint in world.endpoints if endpoint.running]
        (second,) = [endpoint for endpoint in world.endpoints if not endpoint.running]
        second.resize(replace(second.info.capacity, cpu_millicores=2_000))
        ((key, run),) = first.running.items()
        now_s = monotonic()
        second.running[key] = ModelRun(run.name, run.run, now_s, now_s + second.run_time_s)
        second.lease_end_s = now_s + LEASE_S
        context.second_endpoint = second

    world.portal.call(run_again)


@when(r'the second endpoint with the task of job "\w+" grows to (?P<cores>\d+) cores')
def step_impl(context, cores):
    second: RunnerModel = context.second_endpoint
    capacity = replace(second.info.capacity, cpu_millicores=int(cores) * 1000)
    context.holder_world.portal.call(second.resize, capacity)


@when(
    r'job "(?P<name>\w+)" of (?P<tasks>\d+) tasks? of (?P<cores>\d+) cores and '
    r"(?P<memory_mb>\d+) MB is submitted"
)
def step_impl(context, name, tasks, cores, memory_mb):
    needs = Resources(int(cores) * 1000, int(memory_mb))
    context.holder_world.submit(name, int(tasks), needs=needs)


@then(r"no start has brought an endpoint over its capacity")
def step_impl(context):
    overfills = [endpoint.overfills for endpoint in context.holder_world.endpoints]
    assert not any(overfills), overfills


@then(r'at most (?P<count>\d+) runs? of job "(?P<name>\w+)" was active at a time')
def step_impl(context, count, name):
    world = context.holder_world
    events = [event for endpoint in world.endpoints for event in endpoint.history]
    most = most_active_runs(event for event in events if event[2].job_id == name)
    assert most <= int(count), most


@then(r'within (?P<wait_s>\d+) s (?P<count>\d+) runs of job "(?P<name>\w+)" have started')
def step_impl(context, wait_s, count, name):
    until_s = monotonic() + float(wait_s)
    started = []
    while len(started) < int(count) and monotonic() < until_s:
        sleep(0.02)
        started = context.holder_world.list_events(name, "start")
    assert len(started) == int(count), started


@then(r"endpoint (?P<number>\d+) has started (?P<count>\d+) runs")
def step_impl(context, number, count):
    history = context.holder_world.endpoints[int(number) - 1].history
    started = [event for event in history if event[1] == "start"]
    assert len(started) == int(count), [e.history for e in context.holder_world.endpoints]


@when(r"another daemon tells that endpoint (?P<number>\d+) has shrunk")
def step_impl(context, number):
    world = context.holder_world
    info = world.endpoints[int(number) - 1].info
    world.portal.call(
        world.endpoint_list.hear_capacity, info.instance, info.revision + 1, info.capacity
    )


@given(
    r'daemons "d1" and "d2" that have read of an endpoint of (?P<cores>\d+) cores at revision '
    r"(?P<revision>\d+)"
)
def step_impl(context, cores, revision):
    context.told_daemons = {name: ToldDaemon(name) for name in ("d1", "d2")}
    for daemon in context.told_daemons.values():
        daemon.read(int(cores), int(revision))


@when(
    r'"(?P<name>d\d)" (?:reads of|gets an older answer of) (?P<cores>\d+) cores at revision '
    r"(?P<revision>\d+)"
)
def step_impl(context, name, cores, revision):
    context.told_daemons[name].read(int(cores), int(revision))


@when(r'"d1" sends its heartbeat to "d2"')
def step_impl(context):
    context.told_daemons["d2"].hear(context.told_daemons["d1"].describe())


@when(r'"d2" gets a heartbeat with (?P<part>.+)')
def step_impl(context, part):
    context.told_daemons["d2"].hear(None if part == "nothing" else loads(part))


@then(r'"(?P<name>d\d)" reckons with (?P<cores>\d+) cores')
def step_impl(context, name, cores):
    (info,) = context.told_daemons[name].list.endpoints
    assert info.capacity.cpu_millicores == int(cores) * 1000, info


@then(r'after (?P<time_s>\d+) s "d1" has no more to tell')
def step_impl(context, time_s):
    daemon = context.told_daemons["d1"]
    assert daemon.describe()["changed"]
    daemon.now_s += float(time_s)
    assert daemon.describe() == {"changed": []}


@given(
    r'a standby daemon "(?P<name>\w+)" (?P<own>with|without) the store, a holder '
    r'(?P<holder>with|without) the store and a standby daemon "d5" with the store'
)
def step_impl(context, name, own, holder):
    parts = {
        "d2": {"holds": 1, "has_store": holder == "with"},
        "d5": {"holds": 0, "has_store": True},
    }
    members = [
        SimpleNamespace(
            identity=make_identity(daemon_id),
            status=MemberStatus.ALIVE,
            heartbeat={"durable": part},
        )
        for daemon_id, part in parts.items()
    ]
    network = make_network(name)
    network.members, network.links = lambda: members, lambda _: ["link"]
    directory = FakeDirectory([])
    context.coordinator = make_coordinator(
        directory, name=name, has_store=own == "with", network=network
    )
    context.coordinator._endpoint_list.update((make_endpoint("e1").info,), 0.0)


@then(r"it reads the list each (?P<interval_s>[\d.]+) s")
def step_impl(context, interval_s):
    assert context.coordinator._endpoint_list_interval_s() == float(interval_s)


def play_capacities(seeds, ignores_changes=False):
    """Simulates loads on endpoints whose capacity changes."""
    simulations = []
    for seed in seeds:
        simulation = CapacitySimulation(seed)
        simulation.ignores_changes = ignores_changes
        simulation.run()
        simulations.append(simulation)
    return simulations


@when(r"(?P<count>\d+) loads on endpoints whose capacity changes are simulated")
def step_impl(context, count):
    context.plays = play_capacities(range(int(count)))


@then(r"no start was over the capacity, of at least (?P<least>\d+), and no job is left")
def step_impl(context, least):
    overfills = {seed: play.overfills for seed, play in enumerate(context.plays) if play.overfills}
    assert not overfills, overfills
    starts = sum(play.starts for play in context.plays)
    assert starts >= int(least), starts
    left = [play.job_table.jobs for play in context.plays if play.job_table.jobs]
    assert not left, left


@then(r"some starts would have been without the reports of the changes")
def step_impl(context):
    assert any(play.overfills for play in play_capacities(range(3), ignores_changes=True))


@given(r"2 endpoints of 64 cores, 128000 MB and no accelerators")
def step_impl(context):
    context.model = RunTimeModel()
    context.states = [make_state("a"), make_state("b")]


@when(
    r"a job of a step that needs (?P<cores>\d+) cores, (?P<memory_mb>\d+) MB and "
    r"(?P<accelerators>\d+) accelerators and of 2 tasks of 20 cores is placed"
)
def step_impl(context, cores, memory_mb, accelerators):
    large = Resources(int(cores) * 1000, int(memory_mb), int(accelerators))
    steps = (StepSpec(1, large, 0.1), StepSpec(2, Resources(20_000), 0.1))
    spec = JobSpec("j", QueueTerms("q", GROUP, objective_s=10.0), "", steps)
    job_table = JobTable()
    context.placed_job = job_table.open(StoredJob(spec, 0.0), 100.0)
    place_all(context, job_table)


@then(r"2 tasks of 20 cores have started, and no others")
def step_impl(context):
    tasks = context.placed_job.tasks.values()
    started = [task.name for task in tasks if task.status is TaskStatus.STARTING]
    assert [(name.step, name.index) for name in started] == [(1, 0), (1, 1)], started


@given(r"2 endpoints of 64 cores and 1000 MB, whose tasks need 20 cores and 300 MB")
def step_impl(context):
    context.states = [make_state("a"), make_state("b")]
    for state in context.states:
        state.info = replace(state.info, capacity=Resources(64_000, 1000))
    step = StepSpec(2, Resources(20_000, 300))
    context.usual_job = JobSpec("j", QueueTerms("q", GROUP), "", (step,))
    context.need = TypicalNeed()
    context.need.learn(context.usual_job)


@when(r"the first endpoint runs (?P<runs>\d+) tasks")
def step_impl(context, runs):
    for number in range(int(runs)):
        context.states[0].add_run(TaskName("x", 0, number), 1, Resources(20_000, 300))


@when(r"the first endpoint's capacity is (?P<cores>\d+) cores and (?P<memory_mb>\d+) MB")
def step_impl(context, cores, memory_mb):
    capacity = Resources(int(cores) * 1000, int(memory_mb))
    context.states[0].info = replace(context.states[0].info, capacity=capacity)


@when(r"both endpoints shrink to nothing")
def step_impl(context):
    for state in context.states:
        state.info = replace(state.info, capacity=Resources())


@then(
    r"the room is (?P<cores>\d+) cores, and a job of 2 tasks "
    r"(?P<verdict>is taken|is refused for room)"
)
def step_impl(context, cores, verdict):
    room = measure_room_millicores(context.states, [], context.need, NOW_S)
    assert room == int(cores) * 1000, room
    is_taken = has_room(room, count_needed_millicores(context.usual_job), context.states, NOW_S)
    assert is_taken == (verdict == "is taken")


@given(r"(?P<endpoints>\d+) endpoints without capacity that are assigned to (?P<groups>\d+) groups")
def step_impl(context, endpoints, groups):
    listed = {f"e{number}": 0 for number in range(int(endpoints))}
    context.assigned = assign_endpoints({}, listed, int(groups))


@then(r"each group has (?P<count>\d+) endpoints")
def step_impl(context, count):
    counts = Counter(context.assigned.values())
    assert set(counts.values()) == {int(count)}, counts
