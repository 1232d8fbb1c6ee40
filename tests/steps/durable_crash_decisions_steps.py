"""Steps for the record of crashes, and for plays of loads with crashing tasks."""

from behave import given, then, use_step_matcher, when
from msgpack import packb, unpackb

from berylproxy.durable.holding.records import decode_job, encode_job
from berylproxy.durable.jobs.crashes import CrashCount, CrashRecord, Evidence, Treatment
from berylproxy.durable.jobs.job_table import JobTable
from berylproxy.durable.jobs.models import (
    EndpointInstance,
    JobSpec,
    Progress,
    QueueTerms,
    Resources,
    StepSpec,
    StoredJob,
    TaskName,
)
from berylproxy.durable.orders.crash_watch import CrashWatch
from tests.support.crash_play import CrashSimulation

NOW_S = 100.0
SEEDS = (1, 2, 3)
EVIDENCE = {
    "": Evidence.BEGUN,
    ", whose order wasn't answered": Evidence.DOUBTFUL,
    ", which may not have begun": Evidence.POSSIBLE,
    ", whose order has no outcome": Evidence.ORDERED,
}
LOADS = {
    "2 in 100 crashing jobs": {"deadly_share": 0.02},
    "2 in 100 crashing jobs, back after 6 s": {"deadly_share": 0.02, "down_s": 6.0},
    "10 in 100 crashing jobs": {"deadly_share": 0.1},
    "2 in 100 crashing jobs beside cuts": {"deadly_share": 0.02, "cuts": 10},
    "2 in 100 crashing jobs beside other crashes": {"deadly_share": 0.02, "own_crashes": 10},
    "10 in 100 jobs crashing unanswered, back after 4 s": {
        "deadly_share": 0.1,
        "down_s": 4.0,
        "deadly_evidence": Evidence.POSSIBLE,
    },
    "30 cuts": {"deadly_share": 0.0, "cuts": 30},
}


def parse_tasks(text: str) -> list[TaskName]:
    """Parses names such as ``a`` or ``a.1``."""
    pairs = [word.partition(".") for word in text.split()]
    return [TaskName(job_id, 0, int(index or 0)) for job_id, _, index in pairs]


def parse_runs(text: str, evidence: Evidence = Evidence.BEGUN) -> dict[TaskName, Evidence]:
    """Parses names of tasks, and gives all of them the same evidence."""
    return dict.fromkeys(parse_tasks(text), evidence)


def get_record(context) -> CrashRecord:
    """Returns the record of the scenario."""
    if "crash_record" not in context:
        context.crash_record, context.convicted = CrashRecord(), []
    return context.crash_record


def count_crashes(count: str) -> CrashCount:
    """Returns a number of crashes, all of them blamed on one job; ``no`` stands for 0."""
    number = 0 if count == "no" else int(count)
    return CrashCount(number, number)


def list_crashes(count: str) -> tuple[tuple[int, int, int, int], ...]:
    """Returns the stored crashes of the only task of a job."""
    crashes = count_crashes(count)
    return ((0, 0, *crashes),) if crashes.crashes else ()


use_step_matcher("re")


@when(
    r'"(?P<endpoint>\w+)" crashes(?: at address "(?P<address>\w+)")? under '
    r'"(?P<names>[\w. ]+)"(?P<detail>, .+)?'
)
def step_impl(context, endpoint, address, names, detail):
    instance, runs = EndpointInstance(endpoint, 1), parse_runs(names, EVIDENCE[detail or ""])
    convicted = get_record(context).note_crashed(instance, runs, NOW_S, address or "")
    context.convicted += [name.job_id for name in convicted]


@when(r'the order of "(?P<name>\w+)" at "(?P<endpoint>\w+)" (?P<outcome>may have been|was not) .+')
def step_impl(context, name, endpoint, outcome):
    convicted = get_record(context).note_outcome(
        EndpointInstance(endpoint, 1),
        *parse_tasks(name),
        Evidence.POSSIBLE if outcome == "may have been" else None,
    )
    context.convicted += [task.job_id for task in convicted]


@when(r'"(?P<endpoint>\w+)" is lost under "(?P<names>[\w. ]+)"')
def step_impl(context, endpoint, names):
    get_record(context).note_lost(EndpointInstance(endpoint, 1), parse_runs(names), NOW_S)


@when(r'"(?P<endpoint>\w+)" answers again')
def step_impl(context, endpoint):
    assert get_record(context).note_answered(EndpointInstance(endpoint, 1))


@when(r'a run of task "(?P<name>\w+)" ends')
def step_impl(context, name):
    convicted = get_record(context).note_ended(*parse_tasks(name))
    context.convicted += [task.job_id for task in convicted]


@then(r"no job is convicted")
def step_impl(context):
    assert not context.convicted, context.convicted


@then(r'job "(?P<name>\w+)" is convicted')
def step_impl(context, name):
    assert context.convicted == [name], context.convicted
    assert get_record(context).is_convicted(name)


@then(r'task "(?P<name>\w+)" is to be tried "(?P<treatment>\w+)"(?: (?P<later_s>[\d.]+) s later)?')
def step_impl(context, name, treatment, later_s):
    found = get_record(context).treatment(*parse_tasks(name), NOW_S + float(later_s or 0))
    assert found is Treatment[treatment.upper()], found


@given(r"a stored job without a list of crashes")
def step_impl(context):
    step = StepSpec(1, Resources(1000))
    fields = unpackb(encode_job(StoredJob(JobSpec("a", QueueTerms("q", "s"), "", (step,)), 1.0)))
    del fields["progress"]["crashes"]
    context.stored_value = packb(fields)


@then(r"it is decoded with no crashes")
def step_impl(context):
    assert decode_job(context.stored_value).progress.crashes == ()


@given(
    r"a job stored with (?P<stored>\w+) crash.* of which (?P<begun>\w+) .* and (?P<possible>\w+) .+"
)
def step_impl(context, stored, begun, possible):
    step = StepSpec(1, Resources(1000))
    progress = Progress(
        crashes=list_crashes(stored),
        begun_crashes=list_crashes(begun),
        possible_crashes=list_crashes(possible),
    )
    context.stored_job = StoredJob(JobSpec("a", QueueTerms("q", "s"), "", (step,)), 1.0, progress)


@when(r"it is taken over and stored again, 3 times")
def step_impl(context):
    for _ in range(3):
        table = JobTable()
        stored = decode_job(encode_job(context.stored_job))
        job = table.open(stored, NOW_S, first_run=1, may_have_begun=True)
        watch = CrashWatch(None, table, lambda: NOW_S, lambda job: None, lambda job: None)
        watch.restore(job, NOW_S)
        context.crash_record = watch.record
        context.stored_job = StoredJob(job.spec, job.accepted_unix_s, job.progress())


@then(r"(?P<begun>\w+) crashes are begun and (?P<total>\w+) are possible")
def step_impl(context, begun, total):
    task, record = TaskName("a", 0, 0), context.crash_record
    counts = record.count(task), record.count(task, Evidence.POSSIBLE)
    assert counts == (count_crashes(begun), count_crashes(total)), counts


@then(r"earlier versions read (?P<count>\w+) crashes")
def step_impl(context, count):
    progress = context.stored_job.progress
    assert progress.crashes == list_crashes(count), progress


@when(r"a load with (?P<load>.+) is simulated with 3 seeds")
def step_impl(context, load):
    context.crash_load = LOADS[load.strip()]
    context.plays = [CrashSimulation(seed, **context.crash_load).run() for seed in SEEDS]


@then(r"each crashing task is given up after at most (?P<count>\d+) crashes")
def step_impl(context, count):
    for play in context.plays:
        assert play.deadly and play.given_up >= play.deadly, play.deadly - play.given_up
        crashes = [n for name, n in play.crashes_by_task.items() if name.job_id in play.deadly]
        assert max(crashes) <= int(count), crashes


@then(r"each crashing task is started at most (?P<count>\d+) times after 3 crashes under it")
def step_impl(context, count):
    for play in context.plays:
        assert play.deadly and play.given_up >= play.deadly, play.deadly - play.given_up
        starts = play.starts_after_three
        too_often = {name: starts[name] for name in starts if starts[name] > int(count)}
        assert not too_often, too_often


@then(r"no task is given up under which fewer than 2 endpoints have crashed")
def step_impl(context):
    for play in context.plays:
        counts = {
            job_id: max(n for name, n in play.crashes_by_task.items() if name.job_id == job_id)
            for job_id in play.given_up
        }
        assert min(counts.values()) >= 2, counts


@then(r"all other jobs are done")
def step_impl(context):
    for play in context.plays:
        assert not play.falsely_given_up, play.falsely_given_up
        assert not play.job_table.jobs, list(play.job_table.jobs)


@then(r"at most a quarter as many endpoints crash as when lost tasks are requeued at once")
def step_impl(context):
    plays = [CrashSimulation(seed, **context.crash_load, is_decided=False) for seed in SEEDS]
    without = sum(play.run().crashes for play in plays)
    crashes = sum(play.crashes for play in context.plays)
    assert 4 * crashes <= without, (crashes, without)
