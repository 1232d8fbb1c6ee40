"""Steps about the division of scarce room among claimants."""

from collections import defaultdict
from random import Random
from unittest.mock import patch

import orjson
from behave import given, then, use_step_matcher, when
from msgspec.structs import replace

from berylproxy.durable.decisions import placement, shares
from berylproxy.durable.decisions.acceptance import Admission
from berylproxy.durable.decisions.returns import ReturnPlaces
from berylproxy.durable.decisions.shares import Scarcity, SharedOrder, divide_room
from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.job_table import ACTIVE_STATUSES, JobTable, TaskStatus
from berylproxy.durable.jobs.models import (
    EndedRun,
    EndKind,
    EndpointInfo,
    EndpointInstance,
    JobSpec,
    QueueTerms,
    Resources,
    StepSpec,
    StoredJob,
)
from berylproxy.durable.jobs.workload import Claimant
from berylproxy.durable.learning.estimates import RunTimeModel
from berylproxy.durable.orders.telemetry import make_share_samples
from berylproxy.platform.configuration import ConfigurationInvalidError, decode_configuration
from tests.support import load_play
from tests.support.share_play import Load, ShareSimulation, Surge, share_in_time

SEEDS = (1, 2)
CLAIMANT = Claimant("q", "a")


def make_spec(name, *, queue="q", tasks=1, work_s=0.2, objective_s=0.3):
    """Returns a best-effort job of tasks of 8 cores."""
    terms = QueueTerms(queue, "g", 0, 1, 0.0, objective_s)
    return JobSpec(name, terms, "", (StepSpec(tasks, Resources(8_000), work_s),), is_kept=False)


def make_endpoints(count):
    """Returns endpoints of 16 cores."""
    return [
        EndpointState(
            EndpointInfo(EndpointInstance(f"e{n}", 0), "g", "h:1", "a", Resources(16_000)),
            contacted_s=0.0,
        )
        for n in range(count)
    ]


def play(load):
    """Plays a load with several seeds and returns how the jobs that came under it ended."""
    return [
        job
        for seed in SEEDS
        for job in ShareSimulation(seed, load).run()
        if job.arrival_s >= load.observed_from_s
    ]


def in_time_by_queue(ended):
    """Returns the share of jobs in time of each queue."""
    by_queue = defaultdict(list)
    for job in ended:
        by_queue[job.queue].append(job)
    return {queue: share_in_time(jobs) for queue, jobs in by_queue.items()}


use_step_matcher("re")


def play_both(context, load):
    context.load = load
    context.ended = play(load)
    with patch.object(shares, "TOLERATED_FACTOR", 1e9):
        context.ended_without_shares = play(load)


@when(r'queue "many" sends 4 times its load for 4 s, with and without shares of the room')
def step_impl(context):
    play_both(context, Load((Surge(4.0, 3.0, 7.0, "many"),)))


@when(r"all queues send 1.7 times their load for 3 s, with and without shares of the room")
def step_impl(context):
    play_both(context, Load((Surge(1.7, 3.0, 6.0),)))


@when(r"the usual load is sent, with and without shares of the room")
def step_impl(context):
    play_both(context, Load())


@when(r'queue "many" sends 4 times its load for 4 s and its refused callers return as told')
def step_impl(context):
    load = Load((Surge(4.0, 3.0, 7.0, "many"),), callers_return=True)
    context.ended = play(load)
    with patch.object(ReturnPlaces, "waited_s", lambda *arguments: 0.0):
        context.ended_without_places = play(load)


@then(r"20 of 100 returned callers more are served in time than without a place")
def step_impl(context):
    with_place, without_place = (
        share_in_time(job for job in ended if job.has_returned)
        for ended in (context.ended, context.ended_without_places)
    )
    assert with_place >= without_place + 0.2, (with_place, without_place)


@then(r"at most 2 of 100 jobs fewer end in time overall than without a place")
def step_impl(context):
    before = share_in_time(context.ended_without_places)
    assert share_in_time(context.ended) >= before - 0.02, before


@then(r'more jobs of queues "short" and "long" end in time with shares of the room')
def step_impl(context):
    with_shares = in_time_by_queue(context.ended)
    without_shares = in_time_by_queue(context.ended_without_shares)
    for queue in ("short", "long"):
        assert with_shares[queue] > without_shares[queue] + 0.03, (with_shares, without_shares)


@then(r"fewer jobs wait in vain with shares of the room")
def step_impl(context):
    counts = [
        sum(job.outcome in ("given up", "broken off") for job in ended)
        for ended in (context.ended, context.ended_without_shares)
    ]
    assert counts[0] < 0.9 * counts[1], counts


@then(
    r'with shares of the room queue "many" has more jobs in time than with first come, first served'
)
def step_impl(context):
    with (
        patch.object(
            placement, "rank_job", lambda job, now_s, endpoint_cores: (0, job.accepted_s, 0.0)
        ),
        patch.object(shares, "rank_job", lambda job, now_s, endpoint_cores: (0, job.accepted_s)),
        patch.object(load_play, "decide_admission", lambda *arguments: None),
    ):
        first_come = in_time_by_queue(play(context.load))
    assert in_time_by_queue(context.ended)["many"] > first_come["many"], first_come


@then(r"at most (?P<count>\d) of 100 jobs fewer of any queue end in time with shares of the room")
def step_impl(context, count):
    with_shares = in_time_by_queue(context.ended)
    for queue, before in in_time_by_queue(context.ended_without_shares).items():
        assert with_shares[queue] >= before - int(count) / 100, (with_shares, queue, before)


def parse_numbers(text):
    return [float(number) for number in text.split(",")]


@when(
    r"(?P<room>\d+) cores are divided among demands of (?P<demands>[\d, ]+) with weights"
    r" (?P<weights>[\d, ]+)"
)
def step_impl(context, room, demands, weights):
    claimants = [Claimant(f"q{number}") for number in range(len(parse_numbers(demands)))]
    context.shares = divide_room(
        float(room),
        dict(zip(claimants, parse_numbers(demands), strict=True)),
        dict(zip(claimants, parse_numbers(weights), strict=True)),
    )
    context.claimants = claimants


@then(r"the shares of the room are (?P<expected>[\d, ]+)")
def step_impl(context, expected):
    divided = [context.shares[claimant] for claimant in context.claimants]
    assert divided == parse_numbers(expected), divided


@when(r"demands of (?P<demands>[\d, ]+) of 100 are observed for the room, each 0.3 s")
def step_impl(context, demands):
    scarcity = Scarcity()
    context.scarce = [
        scarcity.update(demand, 100.0, 0.3 * number)
        for number, demand in enumerate(parse_numbers(demands))
    ]


@then(r"the room is scarce at the observations 1, 2, 3 and no others")
def step_impl(context):
    assert context.scarce == [True, True, True, False, False], context.scarce


@given(r'a group in which queue "big" sends far more than usual and queue "calm" as usual')
def step_impl(context):
    model = RunTimeModel()
    context.job_table = JobTable(model)
    context.endpoints = make_endpoints(4)
    context.admission = Admission(context.job_table, model)
    # 8 core seconds each 0.2 s from each queue for 10 s; then four times as much from one.
    for number in range(250):
        context.now_s = 0.2 * number if number < 50 else 10 + 0.0125 * (number - 50)
        for queue in ("big", "calm") if number < 50 or number % 16 == 0 else ("big",):
            spec = make_spec(f"{queue}{number}", queue=queue, tasks=2, work_s=0.25)
            stored = StoredJob(spec, 0.0)
            job = context.job_table.prepare(stored, context.now_s)
            if context.admission.decide(job, context.endpoints, context.now_s) is None:
                opened = context.job_table.open(stored, context.now_s)
                if number < 50:
                    context.job_table.cancel(opened)


@when(r"each of these queues submits a job of scarce room")
def step_impl(context):
    context.refusals = {}
    for queue in ("big", "calm"):
        stored = StoredJob(make_spec(f"{queue}-last", queue=queue, tasks=2, work_s=0.25), 0.0)
        job = context.job_table.prepare(stored, context.now_s)
        context.refusals[queue] = context.admission.decide(job, context.endpoints, context.now_s)


@then(r'the job of "big" is refused for its share, and that of "calm" is accepted')
def step_impl(context):
    assert context.admission.shares.scarcity.is_scarce
    assert context.refusals["big"].reason == "share", context.refusals
    assert context.refusals["calm"] is None, context.refusals


@then(r'the metrics of room show a demand above the share for "big" and not for "calm"')
def step_impl(context):
    meter, room = context.admission.meter, context.admission.shares
    listed = room.list_shares(meter.observed_cores, context.now_s)
    values = {
        (sample.name, sample.labels["queue"]): sample.value
        for sample in make_share_samples("g", listed)
    }
    for queue, is_over in (("big", True), ("calm", False)):
        demand = values["berylproxy_demand_cores", queue]
        assert (demand > 1.2 * values["berylproxy_share_cores", queue]) is is_over, values
    assert [share.claimant.queue for share in listed if share.is_over] == ["big"], listed


class UnlistedJobs(dict):
    """Open jobs that fail the test when they are listed."""

    def values(self):
        raise AssertionError("the open jobs were listed")

    __iter__ = items = keys = values


@given(r"300 open jobs that must not be listed")
def step_impl(context):
    model = RunTimeModel()
    context.job_table, context.admission = JobTable(model), None
    for number in range(300):
        context.job_table.open(StoredJob(make_spec(f"j{number}"), 0.0), 0.0)
    context.admission = Admission(context.job_table, model)
    context.job_table.jobs = UnlistedJobs(context.job_table.jobs)


@when(r"a job is submitted for the room beside them")
def step_impl(context):
    job = context.job_table.prepare(StoredJob(make_spec("new"), 0.0), 0.0)
    context.refusal = context.admission.decide(job, make_endpoints(60), 0.0)


@then(r"a decision on the room was made")
def step_impl(context):
    assert context.refusal is None or context.refusal.backlog_core_s > 0


@when(r"400 random changes are made to jobs")
def step_impl(context):
    random, table = Random(1), JobTable()
    instance = EndpointInstance("e", 0)
    for number in range(400):
        now_s = number / 100
        if number % 4 == 0:
            spec = make_spec(f"j{number}", queue=f"q{number % 3}", tasks=random.randint(1, 4))
            table.open(StoredJob(spec, 0.0), now_s, failure_domain="ab"[number // 4 % 2])
            continue
        job = random.choice(list(table.jobs.values()))
        task = random.choice(list(job.tasks.values()))
        if job.is_final:
            table.close(job)
        elif task.status is TaskStatus.WAITING:
            table.note_ordered(task, instance, now_s)
        elif task.status in ACTIVE_STATUSES:
            action = random.randrange(4)
            if action == 0:
                table.note_not_running(task)
            elif action == 1:
                table.note_running(task, instance, task.run, now_s)
            elif action == 2:
                table.note_end(task, EndedRun(1, task.name, task.run, EndKind.DONE, ""), instance)
            elif random.random() < 0.1:
                table.cancel(job)
    context.job_table, context.now_s = table, now_s


@then(r"the sums of work agree with a count of all tasks")
def step_impl(context):
    pending, active = defaultdict(float), defaultdict(float)
    for job in context.job_table.jobs.values():
        for task in () if job.is_final else job.tasks.values():
            core_s = 8 * 0.2
            if task.status in ACTIVE_STATUSES:
                remaining = max(1 - (context.now_s - task.started_s) / 0.2, 0.1)
                active[job.claimant] += remaining * core_s
            elif task.status is not TaskStatus.DONE:
                pending[job.claimant] += core_s
    workload = context.job_table.workload
    workload.advance(context.now_s)
    assert workload.by_claimant.keys() == {*pending, *active}
    for claimant, sums in workload.by_claimant.items():
        assert abs(sums.active_core_s(context.now_s) - active[claimant]) < 1e-6, claimant
        assert abs(sums.pending_core_s_between(-1e6, 1e6) - pending[claimant]) < 1e-6, claimant


@when(r"all these jobs are cancelled")
def step_impl(context):
    for job in context.job_table.jobs.values():
        context.job_table.cancel(job)


@then(r"no work is left in the sums")
def step_impl(context):
    assert not context.job_table.workload.by_claimant


@when(r"12 callers are refused room at once, each with 0.5 s of work")
def step_impl(context):
    places = ReturnPlaces()
    context.times_s = [places.promise(f"j{n}", CLAIMANT, 0.5, 0.5, 100.0) for n in range(12)]


@then(r"they are told to return after 1 to 7 s, in order")
def step_impl(context):
    assert context.times_s == [1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6], context.times_s


@given(r"a caller who was refused room and told to return after 2 s")
def step_impl(context):
    context.places = ReturnPlaces()
    assert context.places.promise("j", CLAIMANT, 2.0, 0.1, 100.0) == 2.0


@when(r"the caller returns after (?P<after>[\d.]+) s")
def step_impl(context, after):
    context.now_s = 100.0 + float(after)
    context.waited_s = context.places.waited_s("j", context.now_s)


@then(r"its job is ordered (?P<order>before|like) one of a newcomer")
def step_impl(context, order):
    table = JobTable()
    newcomer = table.open(StoredJob(make_spec("newcomer"), 0.0), context.now_s)
    returned = table.open(StoredJob(make_spec("j"), 0.0), context.now_s, waited_s=context.waited_s)
    arranged = SharedOrder().arrange([newcomer, returned], context.now_s, 16.0)
    assert (arranged[0] is returned) == (order == "before"), context.waited_s


@when(r"10000 callers are refused room")
def step_impl(context):
    context.places = ReturnPlaces()
    for number in range(10_000):
        context.places.promise(f"j{number}", CLAIMANT, 1.0, 0.0, 100.0)


@then(r"at most 4000 places are kept")
def step_impl(context):
    kept = sum(bool(context.places.waited_s(f"j{n}", 101.0)) for n in range(10_000))
    assert 0 < kept <= 4_000, kept


@given(r'waiting jobs of which "old" has waited for 11 s and the others can still be in time')
def step_impl(context):
    table = JobTable()
    for name, accepted_s in (("new", 99.9), ("old", 89.0), ("newer", 100.0)):
        table.open(StoredJob(replace(make_spec(name), is_kept=True), 0.0), accepted_s)
    context.job_table = table


@then(r'"old" goes first in scarce room')
def step_impl(context):
    arranged = SharedOrder().arrange(list(context.job_table.jobs.values()), 100.0, 16.0)
    assert [job.spec.job_id for job in arranged] == ["old", "new", "newer"]


@when(r"a platform configuration with a priority of -1 is decoded")
def step_impl(context):
    route = {"name": "q", "host": "h", "prefix": "/", "service": "s", "priority": -1}
    try:
        decode_configuration(orjson.dumps({"version": 1, "routes": [route]}))
    except ConfigurationInvalidError as error:
        context.error = error.message


@then(r"the error names the priority of its route")
def step_impl(context):
    assert context.error.startswith("routes.0.priority: "), context.error


use_step_matcher("parse")
