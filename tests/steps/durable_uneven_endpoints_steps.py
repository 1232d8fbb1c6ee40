"""Steps that check what is learned about single endpoints, and what follows from it."""

from math import exp
from random import Random
from statistics import mean

from behave import given, then, use_step_matcher, when

from berylproxy.durable.decisions.placement import place_waiting_tasks
from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.job_table import JobTable
from berylproxy.durable.jobs.models import (
    EndpointInfo,
    EndpointInstance,
    JobSpec,
    QueueTerms,
    Resources,
    StepSpec,
    StoredJob,
    TaskName,
)
from berylproxy.durable.learning.estimates import RunTimeModel, TaskEstimate
from berylproxy.durable.learning.run_times import RunPace, SiblingRunTimes

ESTIMATE_S = 0.2
REPORT_INTERVAL_S = 0.1
NEEDS = Resources(8_000)
UNEVEN_QUEUES = (("long", 0.9, 4), ("wide", 0.06, 8), ("short", 0.2, 2))
UNEVEN_SPEEDS = {f"e{number}": (0.55, 1.2, 1.2, 1.2)[number % 4] for number in range(44)}
JOBS_PER_S = 80


def make_state(name):
    """Creates an endpoint with room for two tasks."""
    info = EndpointInfo(EndpointInstance(name, 0), "g", "h:1", "a", Resources(16_000, 64_000))
    return EndpointState(info, contacted_s=0.0)


def report_runs(context, runs):
    """Reports the progress of runs until all have ended, and then their ends.

    :param runs: endpoint, run time and siblings of each.
    """
    model, began_s = context.model, context.model.now_s
    open_runs = []
    for number, (endpoint, run_time_s, siblings) in enumerate(runs):
        estimate = TaskEstimate("q", ESTIMATE_S, 1.0, siblings, number)
        pace = RunPace(model.expected_at_s(estimate, endpoint), began_s)
        open_runs.append((endpoint, run_time_s, estimate, pace))
    elapsed_s = 0.0
    while open_runs:
        elapsed_s += REPORT_INTERVAL_S
        model.advance(began_s + elapsed_s)
        for run in list(open_runs):
            endpoint, run_time_s, estimate, pace = run
            if elapsed_s >= run_time_s:
                model.learn_task(estimate, endpoint, run_time_s, pace)
                open_runs.remove(run)
            else:
                model.note_progress(estimate, endpoint, pace, int(100 * elapsed_s / run_time_s))
        findings = model.update_findings()
        context.found |= {finding.endpoint_id for finding in findings if finding.is_slowed}
        ratio = model.speed("e1") / model.usual_speed("e1")
        context.lowest_ratio = min(context.lowest_ratio, ratio)


use_step_matcher("re")


@given(r"6 endpoints of equal speed that have each done 20 tasks of 0.2 s, a few of them long")
def step_impl(context):
    context.model, context.found, context.lowest_ratio = RunTimeModel(), set(), 1.0
    for number in range(120):
        deviation = (0.8, 1.25, 1.0, 0.9, 1.1)[number % 5]
        run_time_s = 0.2 * deviation * (7 if number in (50, 95) else 1)
        endpoint = f"e{number % 6 + 1}"
        context.model.learn("q", ESTIMATE_S, endpoint, run_time_s, now_s=number * 0.05)
    context.model.advance(16.0)
    context.model.update_findings()


@when(r"a task takes 1.4 s at endpoint 1, which reports its progress every 0.1 s")
def step_impl(context):
    report_runs(context, [("e1", 1.4, SiblingRunTimes())])


@when(r"a run at endpoint 1 drops to a fifth of its pace after 0.1 s")
def step_impl(context):
    model, began_s = context.model, context.model.now_s
    estimate = TaskEstimate("q", ESTIMATE_S)
    pace = RunPace(model.expected_at_s(estimate, "e1"), began_s)
    for elapsed_s, percent in ((0.1, 50), (0.3, 70), (0.5, 90)):
        model.advance(began_s + elapsed_s)
        model.note_progress(estimate, "e1", pace, percent)
        model.update_findings()
    context.found = set(model.list_slowed())


@when(r"two tasks of different jobs take 1.0 s each at endpoint 1, which reports their progress")
def step_impl(context):
    report_runs(context, [("e1", 1.0, SiblingRunTimes()), ("e1", 1.0, SiblingRunTimes())])


@when(r"all tasks of a job take 1.4 s at endpoints 1, 1, 2, 3 and 4, which report their progress")
def step_impl(context):
    siblings = SiblingRunTimes()
    report_runs(context, [(name, 1.4, siblings) for name in ("e1", "e1", "e2", "e3", "e4")])


@when(r"nothing runs for 15 s")
def step_impl(context):
    context.model.advance(context.model.now_s + 15)
    context.model.update_findings()
    context.found = set(context.model.list_slowed())


@then(r"endpoint 1 is found slow within 0.4 s of the drop")
def step_impl(context):
    assert context.found == {"e1"}, context.found


@then(r"endpoint 1 is not found slow|no endpoint is found slow")
def step_impl(context):
    assert not context.found, context.found


@then(r"endpoint 1 is reckoned with at least a third of its usual speed")
def step_impl(context):
    ratio = context.model.speed("e1") / context.model.usual_speed("e1")
    assert ratio >= 1 / 3, ratio


@then(r"endpoint 1 is reckoned with less than half of its usual speed before they end")
def step_impl(context):
    assert context.lowest_ratio < 1 / 2, context.lowest_ratio


@then(r"an old daemon finds the queues and speeds in the learned run times")
def step_impl(context):
    description = context.model.describe()
    for mean_log_s, task_count in description["queues"].values():
        assert isinstance(mean_log_s, float) and isinstance(task_count, int)
    assert all(isinstance(speed, float) for speed in description["speeds"].values())


@then(r"a new daemon takes over learned run times without spreads")
def step_impl(context):
    description = context.model.describe()
    del description["spreads"]
    model = RunTimeModel()
    model.adopt(description)
    expected_s = context.model.expected_run_time_s("q", ESTIMATE_S)
    assert model.expected_run_time_s("q", ESTIMATE_S) == expected_s


def learn_jobs(model, random, begin_s, length_s, endpoint_ids):
    """Learns from jobs of three queues at random endpoints; callers' estimates are off by 40%."""
    now_s = begin_s
    while now_s < begin_s + length_s:
        now_s += random.expovariate(JOBS_PER_S)
        model.advance(now_s)
        queue, mean_s, tasks = random.choices(UNEVEN_QUEUES, [25, 8, 67])[0]
        work_s = mean_s * exp(random.gauss(0, 0.4))
        estimate_s, siblings = work_s * exp(random.gauss(0, 0.4)), SiblingRunTimes()
        for number in range(tasks):
            endpoint_id = random.choice(endpoint_ids)
            run_time_s = work_s * exp(random.gauss(0, 0.15)) / UNEVEN_SPEEDS[endpoint_id]
            task = TaskEstimate(queue, estimate_s, siblings=siblings, key=number)
            model.learn_task(task, endpoint_id, run_time_s)


def mean_speed(model, endpoint_ids):
    return mean(model.usual_speed(endpoint_id) for endpoint_id in endpoint_ids)


@given(
    r"44 endpoints of speeds 0.55 and 1.2 whose run times were learned for 25 s, "
    r"28 of them for 45 s"
)
def step_impl(context):
    context.random, context.model = Random(3), RunTimeModel()
    context.busy = list(UNEVEN_SPEEDS)[:28]
    learn_jobs(context.model, context.random, 0.0, 25.0, list(UNEVEN_SPEEDS))
    learn_jobs(context.model, context.random, 25.0, 20.0, context.busy)


@when(r"a new daemon takes over the learned run times and learns for 3 s")
def step_impl(context):
    context.successor = RunTimeModel()
    context.successor.adopt(context.model.describe())
    learn_jobs(context.successor, context.random, 45.0, 3.0, context.busy)


@then(r"it reckons with the same speed of the 28 endpoints in the mean, to 5 of 100")
def step_impl(context):
    before, after = (mean_speed(m, context.busy) for m in (context.model, context.successor))
    assert abs(after / before - 1) <= 0.05, (before, after)


@then(r"the common deviation and the biases of the queues are below (?P<limit>[\d.]+)")
def step_impl(context, limit):
    description = context.model.describe()
    biases = [spread[0] for spread in description["spreads"].values()]
    assert all(abs(log) < float(limit) for log in [description["common_log"], *biases]), biases


@given(r'an endpoint "bad" that failed a run, and an endpoint "good" of half its speed')
def step_impl(context):
    context.states = [make_state("bad"), make_state("good")]
    context.model = RunTimeModel()
    for _ in range(40):
        context.model.learn("q", ESTIMATE_S, "bad", 0.2)
        context.model.learn("q", ESTIMATE_S, "good", 0.4)
    context.states[0].note_failure(99.9)


def place_job(context, failed_runs=()):
    """Places a job of one task, and returns the endpoints where it was started."""
    terms = QueueTerms("q", "g", max_attempts=3, objective_s=5.0)
    spec = JobSpec("j", terms, "", (StepSpec(1, NEEDS, ESTIMATE_S),), is_kept=False)
    job_table, placed = JobTable(), []
    job = job_table.open(StoredJob(spec, 0.0), 100.0)
    job.tasks[0, 0].failed_runs.update(failed_runs)

    def order_start(task, endpoint):
        job_table.note_ordered(task, endpoint.info.instance, 100.0)
        placed.append(endpoint.info.instance.endpoint_id)

    place_waiting_tasks(job_table, context.states, context.model, 100.0, order_start)
    return placed


@when(r"a task that has failed at its other attempts is placed beside it")
def step_impl(context):
    context.placed = place_job(context, failed_runs=(1, 2))


@then(r'it runs at the endpoint "(?P<name>\w+)"')
def step_impl(context, name):
    assert context.placed == [name], context.placed


@given(r"an endpoint that was closed for failures and is open again")
def step_impl(context):
    context.states, context.model = [make_state("e1")], RunTimeModel()
    for _ in range(2):
        context.states[0].note_failure(99.0)


@then(r"it gets one run and no second one")
def step_impl(context):
    assert place_job(context) == ["e1"]
    context.states[0].add_run(TaskName("other", 0, 0), 1, NEEDS)
    assert place_job(context) == []


@when(r"that run is done")
def step_impl(context):
    context.states[0].note_success(100.0)


@then(r"it gets further runs")
def step_impl(context):
    assert place_job(context) == ["e1"]


use_step_matcher("parse")
