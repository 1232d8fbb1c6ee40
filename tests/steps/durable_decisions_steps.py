"""Steps for the decisions about durable jobs, which need no clock and no network."""

import re
from collections import Counter
from dataclasses import replace
from random import Random

from behave import given, then, use_step_matcher, when
from hypothesis import given as with_examples
from hypothesis import settings, strategies
from msgpack import packb
from msgspec.structs import replace as struct_replace

from berylproxy.durable.decisions.acceptance import Admission
from berylproxy.durable.decisions.placement import place_waiting_tasks, rank_job
from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.endpoints.leases import LeaseClock
from berylproxy.durable.holding.contention import (
    Candidate,
    HolderObservation,
    choose_watchers,
    is_suspect,
    may_hold_provisionally,
    may_replace_claim,
    provisional_fence,
    rank,
    should_claim,
)
from berylproxy.durable.holding.groups import (
    Division,
    assign_endpoints,
    choose_group,
    count_carried_endpoints,
    count_groups,
    is_list_stable,
    list_groups,
)
from berylproxy.durable.holding.records import (
    StoredValueError,
    adopt_model,
    decode_division,
    encode_division,
    encode_model,
)
from berylproxy.durable.jobs.job_table import JobTable
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
    TaskName,
)
from berylproxy.durable.learning.estimates import RunTimeModel

GROUP = "ledger"


def make_state(name, cores=64, rack=""):
    """Creates an endpoint that accepts tasks."""
    capacity = Resources(int(cores) * 1000, 128_000)
    info = EndpointInfo(EndpointInstance(name, 0), GROUP, f"{name}:1", "a", capacity, rack=rack)
    return EndpointState(info, contacted_s=0.0)


def open_job(
    job_table, name, *, tasks=1, cores=20, run_time_s=0.2, objective_s=0.4, age_s=0.0, **step_fields
):
    """Opens a job that was accepted ``age_s`` ago; the current time is 100 s."""
    terms = QueueTerms("q", GROUP, max_attempts=3, objective_s=objective_s, objective_factor=0.0)
    fields = {"needs": Resources(cores * 1000), **step_fields}
    step = StepSpec(tasks, estimate_s=run_time_s, **fields)
    spec = JobSpec(name, terms, "", (step,), is_kept=False)
    job = job_table.open(StoredJob(spec, 0.0), 100.0 - age_s)
    job.expected_s = run_time_s
    return job


use_step_matcher("re")


@given(
    r"a holder that is silent for (?P<silence_s>[\d.]+) s, with (?P<stream>an|no) open stream"
    r"(?P<leaving>, and is leaving)?"
)
def step_impl(context, silence_s, stream, leaving):
    context.observation = HolderObservation(float(silence_s), stream == "an", bool(leaving))


@given(r"it sends this daemon a heartbeat each (?P<interval_s>[\d.]+) s")
def step_impl(context, interval_s):
    context.observation = replace(context.observation, heartbeat_interval_s=float(interval_s))


@given(r"40 candidates of 0.4 to 2.2 cores that hold 0 to 2 groups")
def step_impl(context):
    context.candidates = [
        Candidate(f"d{number}", (0.4, 1.3, 2.2)[number % 3], number % 5 // 2)
        for number in range(40)
    ]


@then(r"the watchers of a group are the candidates of rank 0 to 4")
def step_impl(context):
    ranks = {
        own.daemon_id: rank(GROUP, own, [other for other in context.candidates if other != own])
        for own in context.candidates
    }
    watchers = choose_watchers(GROUP, context.candidates)
    assert [ranks[name] for name in watchers] == [0, 1, 2, 3, 4], watchers


@when(
    r"a daemon of rank (?P<own>\d+) that reaches (?P<reached>\d+) of (?P<listed>\d+) others decides"
)
def step_impl(context, own, reached, listed):
    context.claims = should_claim(context.observation, int(own), int(reached), int(listed))


@when(
    r"a daemon of rank (?P<own>\d+) decides that has reached (?P<reached>\d+) of (?P<listed>\d+)"
    r" others for (?P<settled>[\d.]+) s"
)
def step_impl(context, own, reached, listed, settled):
    context.claims = should_claim(
        context.observation, int(own), int(reached), int(listed), float(settled)
    )


@then(r"it (?P<verdict>claims|does not claim) the group")
def step_impl(context, verdict):
    assert context.claims == (verdict == "claims")


@then(r"a daemon that should claim the group always suspects its holder")
def step_impl(context):
    counts = strategies.integers(0, 40)

    @settings(deadline=None)  # a verdict must not depend on the speed of the machine
    @with_examples(
        strategies.floats(0, 5),
        strategies.booleans(),
        strategies.booleans(),
        counts,
        counts,
        counts,
    )
    def check(silence_s, has_stream, is_leaving, own_rank, reached, listed):
        observation = HolderObservation(silence_s, has_stream, is_leaving)
        if should_claim(observation, own_rank, reached, listed):
            assert is_suspect(observation)

    check()


@given(r"the fence (?P<seen>\d+) was known when the decision to claim was made")
def step_impl(context, seen):
    context.seen_fence = int(seen)


@when(r"the fence (?P<known>\d+) is known after the read, which found the fence (?P<read>\d+)")
def step_impl(context, known, read):
    context.may_replace = may_replace_claim(context.seen_fence, int(known), int(read))


@then(r"the claim (?P<verdict>may|may not) be replaced")
def step_impl(context, verdict):
    assert context.may_replace == (verdict == "may")


@given(r'candidates "d1" to "d5" of 1 core and "big" of 2 cores')
def step_impl(context):
    context.candidates = [Candidate(f"d{number}", 1.0) for number in range(1, 6)]
    context.candidates.append(Candidate("big", 2.0))


@then(r'each candidate has a rank of its own, and "big" the first')
def step_impl(context):
    ranks = {}
    for own in context.candidates:
        others = [other for other in context.candidates if other != own]
        ranks[own.daemon_id] = rank(GROUP, own, others)
    assert sorted(ranks.values()) == list(range(6)), ranks
    assert ranks["big"] == 0


@when(r'"big" holds 1 group and "d1" holds 1 group')
def step_impl(context):
    context.candidates = [
        replace(each, held_group_count=int(each.daemon_id in ("big", "d1")))
        for each in context.candidates
    ]


@then(r'the first 4 ranks are those of "d2 d3 d4 d5", and "big" goes before "d1"')
def step_impl(context):
    ranks = {}
    for own in context.candidates:
        others = [other for other in context.candidates if other != own]
        ranks[own.daemon_id] = rank(GROUP, own, others)
    assert {ranks[name] for name in ("d2", "d3", "d4", "d5")} == {0, 1, 2, 3}, ranks
    assert (ranks["big"], ranks["d1"]) == (4, 5), ranks


@given(r"a service of (?P<endpoints>\d+) endpoints")
def step_impl(context, endpoints):
    context.endpoint_count = int(endpoints)


@then(
    r"it has (?P<groups>\d+) groups, every endpoint and job belongs to one, and none is twice the "
    r"mean"
)
def step_impl(context, groups):
    count = count_groups(context.endpoint_count, [count_carried_endpoints(2.15, 200)] * 40)
    assert count == int(groups), count
    names = list_groups("ledger", count)
    assert len(set(names)) == count and (count > 1 or names == ["ledger"])
    for kind, number in (("i-", context.endpoint_count), ("j", 2000)):
        members = Counter(choose_group("ledger", count, f"{kind}{n:x}") for n in range(number))
        assert set(members) <= set(names)
        assert max(members.values()) <= max(2 * number / count, 1), members


@then(r"4 groups are stored and read, and damaged divisions are refused")
def step_impl(context):
    for division in (Division(4), Division(4, {"e1": 0, "e2": 3})):
        assert decode_division(encode_division(division)) == division
    assert decode_division(packb({"schema_version": 1, "groups": 4}), 7) == Division(4, None, 7)
    for damaged in (
        b"",
        packb({"groups": 0}),
        packb({"groups": "4"}),
        packb({"groups": 1000}),
        packb({"group_count": 4, "assigned": {"e1": 4}}),
        packb({"group_count": 4, "assigned": [1]}),
    ):
        try:
            decode_division(damaged)
        except StoredValueError:
            continue
        raise AssertionError(damaged)


@given(r"a service of (?P<endpoints>\d+) endpoints and VMs of (?P<vms>.+)")
def step_impl(context, endpoints, vms):
    context.endpoint_count = int(endpoints)
    context.carried = []
    for part in vms.split(", "):
        count, cores, link_mbps = re.fullmatch(
            r"(\d+) x ([\d.]+) cores ([\d.]+) Mbit/s", part
        ).groups()
        context.carried += [count_carried_endpoints(float(cores), float(link_mbps))] * int(count)


@then(r"it is divided into (?P<groups>\d+) groups")
def step_impl(context, groups):
    assert count_groups(context.endpoint_count, context.carried) == int(groups)


@given(r"(?P<count>\d+) endpoints of 64 and 96 cores that are assigned to (?P<groups>\d+) groups")
def step_impl(context, count, groups):
    context.listed = {f"e{n}": (64, 64, 96)[n % 3] for n in range(int(count))}
    context.group_count = int(groups)
    context.assigned = assign_endpoints({}, context.listed, context.group_count)


@when(r"(?P<removed>\d+) of them are removed and (?P<added>\d+) endpoints are added")
def step_impl(context, removed, added):
    context.former = dict(context.assigned)
    for endpoint_id in Random(1).sample(sorted(context.listed), int(removed)):
        del context.listed[endpoint_id]
    context.listed |= {f"n{n}": 64 for n in range(int(added))}
    context.assigned = assign_endpoints(context.assigned, context.listed, context.group_count)


@then(r"no group has over (?P<percent>\d+)% more capacity than the mean")
def step_impl(context, percent):
    capacities = Counter()
    for endpoint_id, capacity in context.listed.items():
        capacities[context.assigned[endpoint_id]] += capacity
    mean = capacities.total() / context.group_count
    assert max(capacities.values()) <= mean * (1 + int(percent) / 100), capacities


@then(r"no endpoint has changed its group")
def step_impl(context):
    assert context.former.items() <= context.assigned.items()


@given(r"reads of the endpoint list that found (?P<first>\d+) and (?P<second>\d+) endpoints")
def step_impl(context, first, second):
    context.is_settled = is_list_stable([int(first), int(second)])


@then(r"the list (?P<state>has|has not) settled")
def step_impl(context, state):
    assert context.is_settled == (state == "has")


@given(r"the known fence is (?P<known>\d+)")
def step_impl(context, known):
    context.known_fence = int(known)


@when(r"a daemon of rank (?P<own>\d+) needs a provisional fence")
def step_impl(context, own):
    context.fence = provisional_fence(context.known_fence, int(own))


@then(r"the fence is (?P<fence>\d+)")
def step_impl(context, fence):
    assert context.fence == int(fence), context.fence


@given(r"daemons are listed as (?P<listed>[\w ]+) and reached as (?P<reached>[\w ]+)")
def step_impl(context, listed, reached):
    context.listed, context.reached = (
        Counter({word[0]: int(word[1:]) for word in text.split()}) for text in (listed, reached)
    )


@then(r'a daemon in domain "a" (?P<verdict>may|may not) hold provisionally')
def step_impl(context, verdict):
    may = may_hold_provisionally(context.reached, context.listed, "a")
    assert may == (verdict == "may")


@given(
    r"an endpoint's clock showed (?P<shown>\d+) ms, asked at (?P<sent>[\d.]+) s and answered at "
    r"(?P<received>[\d.]+) s"
)
def step_impl(context, shown, sent, received):
    context.lease_clock = LeaseClock()
    context.lease_clock.update(int(shown), float(sent), float(received))


@when(
    r"the endpoint's clock showed (?P<shown>\d+) ms, asked at (?P<sent>[\d.]+) s and answered at "
    r"(?P<received>[\d.]+) s"
)
def step_impl(context, shown, sent, received):
    context.lease_clock.update(int(shown), float(sent), float(received))


@when(r"a lease of 1 s is sent at (?P<sent>[\d.]+) s")
def step_impl(context, sent):
    context.lease_end_ms = context.lease_clock.grant_lease_until_ms(float(sent), 1.0)


@then(r"it ends at (?P<end>\d+) ms on the endpoint's clock")
def step_impl(context, end):
    assert context.lease_end_ms == int(end), context.lease_end_ms


@then(r"it has certainly lapsed after (?P<lapsed>[\d.]+) s")
def step_impl(context, lapsed):
    assert abs(context.lease_clock.lapsed_at_s() - float(lapsed)) < 0.002


@given(r'40 tasks of queue "q" with an estimate of 0.1 s took 0.2 s at "fast" and 0.4 s at "slow"')
def step_impl(context):
    context.model = RunTimeModel()
    for _ in range(40):
        context.model.learn("q", 0.1, "fast", 0.2)
        context.model.learn("q", 0.1, "slow", 0.4)


@then(r'"fast" is about twice as fast as "slow"')
def step_impl(context):
    ratio = context.model.speed("fast") / context.model.speed("slow")
    assert 1.7 < ratio < 2.3, ratio


@then(r'a task of queue "q" with an estimate of 0.1 s is expected to take longer than 0.12 s')
def step_impl(context):
    assert context.model.expected_run_time_s("q", 0.1) > 0.12


@when(r"the learned run times are stored and read by a new daemon")
def step_impl(context):
    context.stored_model = encode_model(context.model)
    context.model = RunTimeModel()
    adopt_model(context.model, context.stored_model)


@then(r"a daemon with more finished tasks keeps its own, and damaged ones are refused")
def step_impl(context):
    experienced = RunTimeModel()
    for _ in range(500):
        experienced.learn("q", 0.1, "fast", 5.0)
    adopt_model(experienced, context.stored_model)
    assert experienced.expected_run_time_s("q", 0.0) > 4
    for damaged in (b"", b"\x01", packb({"queues": [], "speeds": {}}), packb({"queues": 5})):
        try:
            adopt_model(RunTimeModel(), damaged)
        except StoredValueError:
            continue
        raise AssertionError(damaged)


@given(r"waiting jobs:")
def step_impl(context):
    job_table = JobTable()
    for row in context.table:
        open_job(
            job_table,
            row["job"],
            age_s=float(row["age_s"]),
            run_time_s=float(row["run_time_s"]),
            objective_s=float(row["objective_s"]),
        )
    context.job_table = job_table


@then(r'they start in the order "(?P<names>[\w ]+)"')
def step_impl(context, names):
    ranked = sorted(context.job_table.waiting_jobs(), key=lambda job: rank_job(job, 100.0, 64.0))
    assert [job.spec.job_id for job in ranked] == names.split()


@given(r'endpoints "a" of speed 1 and "b" of speed 2 with 64 cores each')
def step_impl(context):
    context.model = RunTimeModel()
    context.states = [make_state("a"), make_state("b")]
    for _ in range(40):
        context.model.learn("q", 0.2, "a", 0.2)
        context.model.learn("q", 0.2, "b", 0.1)


@when(r'endpoint "b" has 50 cores in use by a run that is being stopped')
def step_impl(context):
    context.states[1].add_run(TaskName("x", 0, 0), 1, Resources(50_000))


@when(r'the capacity of endpoint "b" has shrunk to (?P<cores>\d+) cores')
def step_impl(context, cores):
    context.states[1] = make_state("b", cores)


@when(
    r'a task of 20 cores(?: that failed at "(?P<failed_at>\w+)")?'
    r"(?: with an objective of (?P<objective_s>[\d.]+) s)? is placed"
)
def step_impl(context, failed_at=None, objective_s=None):
    job_table = JobTable()
    for number, fields in enumerate(getattr(context, "impossible", [])):
        open_job(job_table, f"first-{number}", age_s=0.1, **fields)
    job = open_job(job_table, "j", objective_s=float(objective_s or 0.4))
    if failed_at:
        job.tasks[0, 0].failed_endpoint_ids.add(failed_at)
    place_all(context, job_table)


def place_all(context, job_table, remote_factor=2.0):
    """Places all waiting tasks, and records their endpoints in ``context.placed``."""
    context.placed = []

    def order_start(task, endpoint):
        job_table.note_ordered(task, endpoint.info.instance, 100.0)
        endpoint.add_run(task.name, task.run, task.step.needs)
        context.placed.append(endpoint)

    place_waiting_tasks(job_table, context.states, context.model, 100.0, order_start, remote_factor)
    for endpoint in context.placed:
        for name, run in list(endpoint.runs):
            endpoint.remove_run(name, run)


@given(r"40 earlier jobs whose tasks need (?P<need>.+)")
def step_impl(context, need):
    fields = {
        "200 cores": {"cores": 200},
        "a label of nobody": {"required_label": "nobody"},
        "300 GB of memory": {"needs": Resources(1000, 300_000)},
    }[need]
    context.impossible = [fields] * 40


@given(r"300 earlier jobs of 4 tasks that (?P<wait>.+)")
def step_impl(context, wait):
    fields = {
        "are limited to one task per endpoint": {
            "needs": Resources(100),
            "max_per_endpoint": 1,
        },
        "need 100 of the 128 GB of an endpoint": {"needs": Resources(1000, 100_000)},
        'need 40 cores at "b", by a label': {"cores": 40, "required_label": "fast"},
    }[wait]
    b = context.states[1]
    b.info = struct_replace(b.info, labels=frozenset({"fast"}))
    context.limited_table = JobTable()
    for number in range(300):
        open_job(context.limited_table, f"l{number}", tasks=4, objective_s=30.0, **fields)


@when(r"they and a late task of 10 cores are placed")
def step_impl(context):
    context.late = open_job(context.limited_table, "late", cores=10, objective_s=0.4, age_s=5.0)
    place_limited(context)


def place_limited(context):
    """Places the tasks of the limited jobs and the late one, and leaves them at the endpoints."""
    context.started = []

    def order_start(task, endpoint):
        context.limited_table.note_ordered(task, endpoint.info.instance, 100.0)
        endpoint.add_run(task.name, task.run, task.step.needs)
        context.started.append((task.name.job_id, endpoint.info.instance.endpoint_id))

    place_waiting_tasks(
        context.limited_table, context.states, context.model, 100.0, order_start, 2.0
    )


@then(r"the late task is started, and (?P<count>\d+) tasks of the earlier jobs")
def step_impl(context, count):
    late = [job_id for job_id, _ in context.started if job_id == "late"]
    assert late and len(context.started) == int(count) + 1, len(context.started)


@when(r'endpoint "c" takes the place of "a", and they are placed again')
def step_impl(context):
    context.states[0] = make_state("c")
    place_limited(context)


@then(r'300 tasks of the earlier jobs are started at "c"')
def step_impl(context):
    assert Counter(endpoint for _, endpoint in context.started) == {"c": 300}, context.started


@given(r'racks "r1" of 1 fast endpoint and "r2" of 2 slow ones, with 64 cores each')
def step_impl(context):
    context.model = RunTimeModel()
    context.states = [make_state("a", rack="r1"), make_state("b", rack="r2")]
    context.states.append(make_state("c", rack="r2"))
    for _ in range(60):
        for name, run_time_s in (("a", 0.1), ("b", 0.2), ("c", 0.2)):
            context.model.learn("q", 0.2, name, run_time_s)


@when(r"a step of (?P<tasks>\d+) tasks of 20 cores that should stay within a rack is placed")
def step_impl(context, tasks):
    job_table = JobTable()
    open_job(job_table, "j", tasks=int(tasks), objective_s=3.0, stays_in_rack=True)
    place_all(context, job_table)


@when(
    r'a task whose data is in rack "(?P<rack>\w+)" is placed, with a cost of (?P<cost>[\d.]+) '
    r"elsewhere"
)
def step_impl(context, rack, cost):
    job_table = JobTable()
    open_job(job_table, "j", objective_s=3.0, preferred_rack=rack)
    place_all(context, job_table, float(cost))


@then(r'all (?P<count>\d+) of its tasks run(?: in rack "(?P<rack>\w+)")?')
def step_impl(context, count, rack=None):
    racks = [endpoint.info.rack for endpoint in context.placed]
    assert len(racks) == int(count), racks
    assert rack is None or set(racks) == {rack}, racks


@then(r'it runs at "(?P<name>\w+)"')
def step_impl(context, name):
    names = [endpoint.info.instance.endpoint_id for endpoint in context.placed]
    assert names == [name], names


@given(r"an endpoint that failed (?P<count>\d+) tasks that had not failed elsewhere")
def step_impl(context, count):
    context.state = make_state("a")
    for _ in range(int(count)):
        context.state.note_failure(100.0)


@then(r"it accepts (?P<verdict>new|no) tasks after 0.1 s")
def step_impl(context, verdict):
    assert context.state.may_start(100.1) == (verdict == "new")


@given(r"an endpoint that reported the ends 1, 2 and 3")
def step_impl(context):
    context.state = make_state("a")
    for number in (1, 2, 3):
        name = TaskName(f"j{number}", 0, 0)
        context.state.add_end(EndedRun(number, name, 1, EndKind.DONE, ""))


@when(r"the endpoint may forget the ends? (?P<numbers>[\d and]+)")
def step_impl(context, numbers):
    for number in numbers.split(" and "):
        context.state.release_end(int(number))


@then(r"the ends up to (?P<number>\d+) are acknowledged")
def step_impl(context, number):
    assert context.state.next_acknowledgement() == int(number)


@given(r"2 endpoints of 64 cores with (?P<busy_s>[\d.]+) s of work for each")
def step_impl(context, busy_s):
    context.states = [make_state("a"), make_state("b")]
    context.job_table = JobTable()
    context.model = RunTimeModel()
    if float(busy_s):
        job = open_job(context.job_table, "busy", tasks=2, cores=54, run_time_s=float(busy_s))
        for task, state in zip(list(job.waiting), context.states, strict=True):
            context.job_table.note_ordered(task, state.info.instance, 100.0)


@when(r"a job of (?P<tasks>\d+) tasks of 20 cores and 0.2 s and an objective of 0.4 s is submitted")
def step_impl(context, tasks):
    tentative_job = open_job(JobTable(), "new", tasks=int(tasks))
    admission = Admission(context.job_table, context.model)
    context.refusal = admission.decide(tentative_job, context.states, 100.0)


@then(r"the job is (?P<verdict>accepted|refused)")
def step_impl(context, verdict):
    assert (context.refusal is None) == (verdict == "accepted"), context.refusal


use_step_matcher("parse")
