"""Steps on stored or submitted values that make no sense."""

from behave import given, then, use_step_matcher, when

from berylproxy.durable.decisions.acceptance import Admission
from berylproxy.durable.decisions.shares import MAX_CLAIMANTS, RoomShares
from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.job_table import JobTable
from berylproxy.durable.jobs.models import (
    EndpointInfo,
    EndpointInstance,
    JobSpec,
    JobState,
    QueueTerms,
    Resources,
    StepSpec,
    StoredJob,
)
from berylproxy.durable.learning.estimates import RunTimeModel

ENDPOINT_IDS = ("a", "b", "c", "d")
QUEUE = "q"
MANY_TASKS = 1_000  # more than the learned model rests on

use_step_matcher("re")


@given(r"a learned model of run times")
def step_impl(context):
    context.model = RunTimeModel()
    for number in range(200):
        context.model.learn(QUEUE, 1.0, ENDPOINT_IDS[number % 4], 1.0)
    context.former = context.model.describe()


@when(r"a record of run times with a (?P<field>[\w ]+) of (?P<value>\S+) is adopted")
def step_impl(context, field, value):
    mean, count, speed, spread = 0.0, MANY_TASKS, 0.0, [0.0, 0.1, 0.05, 0.03, 1.8]
    number = float(value)
    match field:
        case "queue mean":
            mean = number
        case "task count":
            count = number
        case "speed":
            speed = number
        case "variance":
            spread[1] = number
        case "bias":
            spread[0] = number
    record = {"queues": {QUEUE: [mean, count]}, "speeds": {"a": speed}, "spreads": {QUEUE: spread}}
    context.error = None
    try:
        context.model.adopt(record)
    except ValueError as error:
        context.error = error


@then(r"the record of run times is refused and the model is as before")
def step_impl(context):
    assert context.error is not None
    assert context.model.describe() == context.former


@when(r"a task of 1 s with an estimate of (?P<estimate_s>\S+) s is done")
def step_impl(context, estimate_s):
    context.model.learn(QUEUE, float(estimate_s), "a", 1.0)


@then(r"a task of 1 s is still expected to take 0.7 to 1.4 s at each endpoint")
def step_impl(context):
    for endpoint_id in ENDPOINT_IDS:
        expected_s = context.model.expected_run_time_s(QUEUE, 1.0)
        expected_s /= context.model.speed(endpoint_id)
        assert 0.7 <= expected_s <= 1.4, (endpoint_id, expected_s)


@given(r"an admission for 2 endpoints of 64 cores")
def step_impl(context):
    context.model = RunTimeModel()
    context.job_table = JobTable(context.model)
    context.admission = Admission(context.job_table, context.model)
    context.states = [
        EndpointState(
            EndpointInfo(EndpointInstance(name, 0), "s", "h:1", "a", Resources(64_000, 64_000)),
            contacted_s=0.0,
        )
        for name in ENDPOINT_IDS[:2]
    ]


def decide_and_open(context, name, estimate_s, now_s):
    """Decides on a durable job and opens it; returns the refusal, if any, and the job."""
    terms = QueueTerms(QUEUE, "s", objective_factor=1.6, objective_s=0.06)
    spec = JobSpec(name, terms, "", (StepSpec(1, Resources(27_000), estimate_s),))
    refusal = context.admission.decide(
        context.job_table.prepare(StoredJob(spec, 0.0), now_s), context.states, now_s
    )
    return refusal, context.job_table.open(StoredJob(spec, 0.0), now_s)


@when(r"a job with an estimate of (?P<estimate_s>\S+) s is decided on and opened")
def step_impl(context, estimate_s):
    _, context.job = decide_and_open(context, "absurd", float(estimate_s), 100.0)


@then(r"further jobs of usual estimates are accepted once it is closed")
def step_impl(context):
    context.job_table.cancel(context.job)
    context.job_table.close(context.job)
    assert context.job.state is JobState.CANCELLED
    for number in range(3):
        refusal, _ = decide_and_open(context, f"usual{number}", 0.1, 110.0 + number)
        assert refusal is None, refusal


@given(r"shares of 100 cores that 256 claimants exceed")
def step_impl(context):
    context.shares, context.job_table = RoomShares(), JobTable()
    for number in range(MAX_CLAIMANTS):
        job = open_job_of(context, f"queue{number}")
        context.shares.note_offered(job, 10.0, 100.0, 1.0)


@when(r"a further claimant offers no work")
def step_impl(context):
    job = open_job_of(context, "another")
    context.is_excess = context.shares.note_offered(job, 0.0, 100.0, 1.0)


@then(r"it gets an answer")
def step_impl(context):
    assert context.is_excess in (True, False)


def open_job_of(context, queue):
    """Opens a job of one small task in a queue."""
    spec = JobSpec(f"job-{queue}", QueueTerms(queue, "s"), "", (StepSpec(1, Resources(1)),))
    return context.job_table.open(StoredJob(spec, 0.0), 1.0)
