"""Steps that bring failures about on real processes and judge the history of the run."""

from pathlib import Path
from tempfile import mkdtemp

from behave import given, step, then, when

from tests.support.cluster import EndpointPlan
from tests.support.history import CallerAnswer, History, SubmittedJob, check_history
from tests.support.proving_cluster import ProvingCluster
from tests.support.recording_caller import SINGLE_TASK_ID, RecordingCaller

DOMAINS = ["a", "b", "c"]
SLOTS = 4
MAX_RUN_TIME_S = 15.0
STATE_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 40.0


@given("the proving cluster of 3 daemons and 3 endpoints in 3 failure domains")
def step_proving_cluster(context):
    cluster = getattr(context.feature, "proving_cluster", None)
    if cluster is None:
        cluster = start_cluster(context)
    else:
        cluster.mend()
    context.cluster = cluster
    context.history = History()
    context.caller = RecordingCaller(cluster, context.history)
    context.add_cleanup(context.caller.close)
    context.named_jobs = {}
    context.calls = {}


def start_cluster(context) -> ProvingCluster:
    """Starts the cluster that the scenarios of a feature share."""
    folder = Path(mkdtemp(prefix="berylproxy-proving-"))
    plans = [EndpointPlan(domain, slots=SLOTS) for domain in DOMAINS]
    service = {"max_run_time_s": MAX_RUN_TIME_S, "repeat_after_failure": True}
    cluster = ProvingCluster(folder, DOMAINS, plans, service=service)
    context.add_cleanup(cluster.stop, layer="feature")
    cluster.start()
    context.feature.proving_cluster = cluster
    return cluster


def begin_submission(context, name: str, daemon: int) -> None:
    """Submits a named job in the background."""
    submit = context.caller.submit
    job = context.named_jobs[name]
    if list(job.payloads) == [SINGLE_TASK_ID]:
        submit = context.caller.send_request
    context.calls.setdefault(name, []).append(context.caller.begin(submit, job, daemon))


def make_job(context, name: str, home: int, payloads: dict, repeatable: bool = False) -> None:
    """Takes an identifier for a new job."""
    job = SubmittedJob(context.caller.mint(home), name, payloads, repeatable)
    context.named_jobs[name] = context.caller.note_job(job)


def answer_of(context, name: str, number: int) -> CallerAnswer:
    """Waits for the answer of a named job's n-th call."""
    answer = context.calls[name][number].result(ANSWER_TIMEOUT_S)
    assert isinstance(answer, CallerAnswer), answer
    return answer


@when(
    'proving job "{name}" of {count:d} tasks of {run_time_s:g} s with home {home:d} is submitted '
    "to daemon {daemon:d}"
)
def step_submit(context, name, count, run_time_s, home, daemon):
    payloads = {f"t{number}": {"run_time_s": run_time_s, "n": number} for number in range(count)}
    make_job(context, name, home, payloads)
    begin_submission(context, name, daemon)


@when('proving job "{name}" of {count:d} tasks of {run_time_s:g} s gets an id of daemon {home:d}')
def step_make_job(context, name, count, run_time_s, home):
    payloads = {f"t{number}": {"run_time_s": run_time_s, "n": number} for number in range(count)}
    make_job(context, name, home, payloads)


@when('proving request "{name}" of {run_time_s:g} s with home {home:d} is sent to all daemons')
def step_request_to_all(context, name, run_time_s, home):
    make_job(context, name, home, {SINGLE_TASK_ID: {"run_time_s": run_time_s, "for": name}})
    for daemon in range(len(context.cluster.daemons)):
        begin_submission(context, name, daemon)


@when('proving job "{name}" is submitted again to daemon {daemon:d}')
def step_resubmit(context, name, daemon):
    begin_submission(context, name, daemon)


@when('proving job "{name}" is cancelled at daemon {daemon:d}')
def step_cancel(context, name, daemon):
    job = context.named_jobs[name]
    call = context.caller.begin(context.caller.cancel, job, daemon)
    context.calls.setdefault(name, []).append(call)
    call.result(ANSWER_TIMEOUT_S)


@when('proving job "{name}" is asked for at daemon {daemon:d}')
def step_fetch(context, name, daemon):
    job = context.named_jobs[name]
    call = context.caller.begin(context.caller.fetch, job, daemon)
    context.calls.setdefault(name, []).append(call)
    call.result(ANSWER_TIMEOUT_S)


@when('{count:d} tasks of proving job "{name}" run')
def step_wait_running(context, count, name):
    job_id = context.named_jobs[name].job_id
    cluster = context.cluster
    cluster.wait_until(lambda: cluster.count_running(job_id) >= count, f"{count} tasks run")


@when('all calls of proving job "{name}" have ended')
def step_calls_ended(context, name):
    for call in context.calls[name]:
        call.result(ANSWER_TIMEOUT_S)


@when("daemon {number:d} is {failure}")
def step_fail_daemon(context, number, failure):
    cluster = context.cluster
    failures = {
        "frozen": lambda: cluster.daemons[number].freeze(),
        "resumed": lambda: cluster.daemons[number].resume(),
        "killed": lambda: cluster.kill_daemon(number),
        "started again": lambda: cluster.restart_daemon(number),
    }
    failures[failure]()


@when("all links between daemons are cut")
def step_cut(context):
    context.cluster.cut_links(*range(len(context.cluster.daemons)))


@when("all links between daemons are mended")
def step_mend_links(context):
    for relay in context.cluster.relays:
        context.cluster.control(relay, cut=False)


@when("all links between daemons go silent")
def step_silence_links(context):
    for relay in context.cluster.relays:
        context.cluster.control(relay, silent=True)


@when("the store refuses all calls")
def step_store_out(context):
    context.cluster.control(context.cluster.store, outage=True)


@when('an endpoint that runs proving job "{name}" is killed')
def step_kill_endpoint(context, name):
    job_id = context.named_jobs[name].job_id
    context.cluster.kill_endpoint(context.cluster.find_running_endpoint(job_id))


@when("each endpoint is told to {failure}")
def step_fail_endpoints(context, failure):
    switches = {
        "truncate its answers": {"truncate": True},
        "answer with 9000000 bytes": {"oversize_bytes": 9_000_000},
        "answer with 3000000 bytes": {"oversize_bytes": 3_000_000},
        "answer 6 s late": {"late_s": 6.0},
        "answer in time": {"late_s": 0.0},
        "silence its open connections": {"silent": True},
        "fail everything": {"fail_everything": True},
        "work again": {"fail_everything": False, "truncate": False, "oversize_bytes": 0},
    }
    for endpoint in context.cluster.endpoints:
        context.cluster.control(endpoint, **switches[failure])


@step('daemon {daemon:d} sees daemon {peer:d} as "{status}"')
def step_peer_status(context, daemon, peer, status):
    cluster = context.cluster
    cluster.wait_until(
        lambda: cluster.peer_status(daemon, peer) == status,
        f"d{daemon} sees d{peer} as {status}",
        STATE_TIMEOUT_S,
    )


@then('answer {number:d} of proving job "{name}" is "{outcome}" with code "{code}"')
def step_answer_code(context, number, name, outcome, code):
    answer = answer_of(context, name, number - 1)
    assert (answer.outcome, answer.code) == (outcome, code), answer


@then('answer {number:d} of proving job "{name}" is "{outcome}"')
def step_answer(context, number, name, outcome):
    answer = answer_of(context, name, number - 1)
    assert answer.outcome == outcome, answer


@then('answer {number:d} of proving job "{name}" took less than {bound_s:g} s')
def step_answer_time(context, number, name, bound_s):
    answer = answer_of(context, name, number - 1)
    assert answer.answered_s - answer.submitted_s < bound_s, answer


@then('every task of proving job "{name}" has started once')
def step_started_once(context, name):
    job = context.named_jobs[name]
    starts = context.cluster.count_starts()
    counts = {task: starts[f"{job.job_id}/{task}"] for task in job.payloads}
    assert set(counts.values()) == {1}, counts


@then('no task of proving job "{name}" has started')
def step_none_started(context, name):
    job_id = context.named_jobs[name].job_id
    started = [task for task in context.cluster.count_starts() if task.startswith(f"{job_id}/")]
    assert not started, started


@then("the history meets all conditions")
def step_check(context):
    for calls in context.calls.values():
        for call in calls:
            call.result(ANSWER_TIMEOUT_S)
    context.cluster.collect_events(context.history)
    violations = [
        f"{condition}: {line}"
        for condition, lines in check_history(context.history).items()
        for line in lines
    ]
    assert not violations, "\n".join(violations)
    assert context.history.answers, "nothing was judged"
