"""Steps that cause failures of real processes and check the history of the run."""

from dataclasses import replace
from pathlib import Path
from signal import SIGTERM
from tempfile import mkdtemp
from time import monotonic, sleep

from behave import given, step, then, when

from tests.support.cluster import EndpointPlan
from tests.support.history import (
    CallerAnswer,
    History,
    LeavingPeriod,
    SubmittedJob,
    check_history,
)
from tests.support.proving_cluster import ProvingCluster
from tests.support.recording_caller import SINGLE_TASK_ID, RecordingCaller
from tests.support.steady_load import SteadyLoad

DOMAINS = ["a", "b", "c"]
SLOTS = 4
MAX_RUN_TIME_S = 15.0
MAX_BODY_BYTES = 7_000_000
CALLERS = 6
STATE_TIMEOUT_S = 30.0
LEAVING_BOUND_S = 3.0  # after the change of the record or of the platform's list
REFUSAL_BOUND_S = 1.0  # after the endpoint's own refusal
ANSWER_TIMEOUT_S = 40.0

SHARED_CLUSTERS: list[ProvingCluster] = []


@given("the proving cluster of 3 daemons and 3 endpoints in 3 failure domains")
def step_proving_cluster(context):
    if SHARED_CLUSTERS:
        cluster = SHARED_CLUSTERS[0]
        cluster.undo_failures()
    else:
        cluster = start_cluster(context)
    use_cluster(context, cluster)


@given("the proving cluster has just been started")
def step_new_proving_cluster(context):
    """Replaces the shared cluster, whose daemons may still eject endpoints of earlier scenarios."""
    for cluster in SHARED_CLUSTERS:
        cluster.stop()
    SHARED_CLUSTERS.clear()
    use_cluster(context, start_cluster(context))


def use_cluster(context, cluster: ProvingCluster) -> None:
    """Prepares a scenario's history and caller for a cluster."""
    context.cluster = cluster
    context.history = History()
    context.caller = RecordingCaller(cluster, context.history)
    context.add_cleanup(context.caller.close)
    context.named_jobs = {}
    context.calls = {}
    context.refusing_endpoints = []


def start_cluster(context) -> ProvingCluster:
    """Starts the cluster that the scenarios of all features share.

    :returns: the running cluster; it is stopped at the end of the test run.
    """
    folder = Path(mkdtemp(prefix="berylproxy-proving-"))
    plans = [EndpointPlan(domain, slots=SLOTS) for domain in DOMAINS]
    service = {
        "max_run_time_s": MAX_RUN_TIME_S,
        "max_body_bytes": MAX_BODY_BYTES,
        "repeat_after_failure": True,
    }
    cluster = ProvingCluster(folder, DOMAINS, plans, service=service)
    context.add_cleanup(cluster.stop, layer="testrun")
    cluster.start()
    SHARED_CLUSTERS.append(cluster)
    return cluster


def begin_submission(context, name: str, daemon: int, timeout_s: float | None = None) -> None:
    """Submits a named job in the background and records the call under its name."""
    job = context.named_jobs[name]
    if list(job.payloads) == [SINGLE_TASK_ID]:
        call = context.caller.start_in_background(context.caller.send_request, job, daemon)
    else:
        call = context.caller.start_in_background(context.caller.submit, job, daemon, timeout_s)
    context.calls.setdefault(name, []).append(call)


def make_payloads(count: int, run_time_s: float) -> dict:
    """Returns the payloads of a job's tasks, all different."""
    return {f"t{number}": {"run_time_s": run_time_s, "n": number} for number in range(count)}


def make_job(context, name: str, home: int, payloads: dict) -> None:
    """Creates a named job under an identifier whose home is the given daemon."""
    job = SubmittedJob(context.caller.mint(home), name, payloads)
    context.named_jobs[name] = context.caller.note_job(job)


def wait_for_answer(context, name: str, number: int) -> CallerAnswer:
    """Returns the answer to a named job's call, counted from 0, once there is one."""
    answer = context.calls[name][number].result(ANSWER_TIMEOUT_S)
    assert isinstance(answer, CallerAnswer), answer
    return answer


@when(
    'proving job "{name}" of {count:d} tasks of {run_time_s:g} s with home {home:d} is submitted '
    "to daemon {daemon:d}"
)
def step_submit(context, name, count, run_time_s, home, daemon):
    make_job(context, name, home, make_payloads(count, run_time_s))
    begin_submission(context, name, daemon)


@when('proving job "{name}" of {count:d} tasks of {run_time_s:g} s gets an id of daemon {home:d}')
def step_make_job(context, name, count, run_time_s, home):
    make_job(context, name, home, make_payloads(count, run_time_s))


@when(
    'proving job "{name}" of {count:d} tasks of {run_time_s:g} s with home {home:d} and a timeout '
    "of {timeout_s:g} s is submitted to daemon {daemon:d}"
)
def step_submit_with_timeout(context, name, count, run_time_s, home, timeout_s, daemon):
    make_job(context, name, home, make_payloads(count, run_time_s))
    begin_submission(context, name, daemon, timeout_s)


@when(
    'proving job "{name}" of 1 task of {size_bytes:d} bytes with home {home:d} is submitted to '
    "daemon {daemon:d}"
)
def step_submit_large(context, name, size_bytes, home, daemon):
    make_job(context, name, home, {"t0": {"run_time_s": 0.1, "text": "x" * size_bytes}})
    begin_submission(context, name, daemon)


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
    call = context.caller.start_in_background(context.caller.cancel, job, daemon)
    context.calls.setdefault(name, []).append(call)
    call.result(ANSWER_TIMEOUT_S)


@when('proving job "{name}" is fetched at daemon {daemon:d}')
def step_fetch(context, name, daemon):
    job = context.named_jobs[name]
    call = context.caller.start_in_background(context.caller.fetch, job, daemon)
    context.calls.setdefault(name, []).append(call)
    call.result(ANSWER_TIMEOUT_S)


@when('{count:d} tasks of proving job "{name}" run')
def step_wait_running(context, count, name):
    job_id = context.named_jobs[name].job_id
    cluster = context.cluster
    try:
        cluster.wait_until(lambda: cluster.count_running(job_id) >= count, f"{count} tasks run")
    except AssertionError as error:
        calls = context.calls[name]
        answers = [call.result(0) if call.done() else "none yet" for call in calls]
        raise AssertionError(f"{error}; answers so far: {answers}") from error


@when('all calls of proving job "{name}" have ended')
def step_calls_ended(context, name):
    for call in context.calls[name]:
        call.result(ANSWER_TIMEOUT_S)


@when("tasks wait at daemon {number:d}")
def step_wait_waiting(context, number):
    cluster = context.cluster
    cluster.wait_until(
        lambda: cluster.read_status(number)["daemon"]["waiting_tasks"] > 0,
        f"tasks wait at d{number}",
    )


@when("daemon {number:d} is {failure}")
def step_fail_daemon(context, number, failure):
    cluster = context.cluster
    failures = {
        "frozen": lambda: cluster.daemons[number].freeze(),
        "resumed": lambda: cluster.daemons[number].resume(),
        "stopped as planned": lambda: cluster.daemons[number].send_signal(SIGTERM),
        "killed": lambda: cluster.kill_daemon(number),
        "started again": lambda: cluster.restart_daemon(number),
    }
    failures[failure]()


@when("all links between daemons are cut")
def step_cut_links(context):
    context.cluster.cut_links(*range(len(context.cluster.daemons)))


@when("all links between daemons are restored")
def step_restore_links(context):
    for relay in context.cluster.relays:
        context.cluster.control(relay, cut=False)


@when("all links between daemons go silent")
def step_silence_links(context):
    for relay in context.cluster.relays:
        context.cluster.control(relay, silent=True)


@when("the links between daemons pass 64 KiB in {delay_s:g} s")
def step_slow_links(context, delay_s):
    for relay in context.cluster.relays:
        context.cluster.control(relay, delay_s=delay_s)


@when("all links between daemons are cut after {after_s:g} s and restored")
def step_cut_and_restore_links(context, after_s):
    sleep(after_s)
    context.cluster.cut_links(*range(len(context.cluster.daemons)))
    for relay in context.cluster.relays:
        context.cluster.control(relay, cut=False, delay_s=0.0)


@when("endpoint {number:d} says that it is leaving")
def step_refuse_as_leaving(context, number):
    context.cluster.control(context.cluster.endpoints[number], leaving=True)
    context.refusing_endpoints.append((f"e{number}", monotonic()))


@when("the record of endpoint {number:d} says at daemon {daemon:d} that it is leaving")
def step_record_leaving(context, number, daemon):
    context.cluster.change_record("endpoints", f"e{number}", daemon, leaving=True)
    context.history.leaving.append(LeavingPeriod(f"e{number}", monotonic() + LEAVING_BOUND_S))


@when('the record of failure domain "{domain}" says at daemon {daemon:d} that it is {change}')
def step_record_evacuated(context, domain, daemon, change):
    cluster, endpoint = context.cluster, f"e{DOMAINS.index(domain)}"
    if change == "evacuated":
        record = {"schema_version": 1, "evacuated": True}
        cluster.apply("failure-domains", domain, record, daemon)
        context.history.leaving.append(LeavingPeriod(endpoint, monotonic() + LEAVING_BOUND_S))
    else:
        [period] = context.history.leaving
        context.history.leaving = [replace(period, until_s=monotonic())]
        cluster.change_record("failure-domains", domain, daemon, evacuated=False)


@then('each daemon\'s status shows the endpoints of failure domain "{domain:w}" as evacuated')
@then('each daemon\'s status shows the endpoints of failure domain "" as evacuated')
def step_evacuated_states(context, domain=""):
    cluster = context.cluster

    def read(daemon: int) -> set[str]:
        rows = cluster.read_status(daemon)["endpoints"]
        return {row["failure_domain"] for row in rows if row["evacuated"]}

    daemons = range(len(cluster.daemons))
    cluster.wait_until(
        lambda: all(read(daemon) == set(domain) for daemon in daemons),
        f"failure domain {domain!r} is shown as evacuated",
    )


@then("endpoint {number:d} gets tasks of proving jobs again")
def step_gets_tasks_again(context, number):
    known = len(list_starts(context, f"e{number}"))
    deadline_s, attempt = monotonic() + STATE_TIMEOUT_S, 0
    while monotonic() < deadline_s:
        step_submit(context, f"again-{attempt}", 24, 0.2, number, number)
        wait_for_answer(context, f"again-{attempt}", 0)
        if len(list_starts(context, f"e{number}")) > known:
            return
        attempt += 1
    raise AssertionError(f"e{number} got no task")


def list_starts(context, endpoint: str) -> list[str]:
    """Lists the tasks that an endpoint has started so far."""
    history = History()
    context.cluster.collect_events(history)
    events = [e for e in history.events if e.endpoint == endpoint and e.event == "start"]
    return [event.task for event in events]


@when("the list of VMs says that all endpoints are leaving, then the store refuses all calls")
def step_list_leaving(context):
    cluster = context.cluster
    vm_entry = {"name": "vm", "host": "127.0.0.1", "failure_domain": "a", "state": "leaving"}
    cluster.control(cluster.store, vms=[vm_entry])
    from_s = monotonic() + LEAVING_BOUND_S
    context.history.leaving += [
        LeavingPeriod(f"e{number}", from_s) for number, _ in enumerate(cluster.endpoints)
    ]
    calls_before = cluster.count_store_calls("vms")
    cluster.wait_until(
        lambda: cluster.count_store_calls("vms") >= calls_before + 2 * len(cluster.daemons),
        "each daemon has read the list",
        LEAVING_BOUND_S,
    )
    cluster.control(cluster.store, outage=True)


@when("the records of all endpoints say that they have {slots:d} slots")
def step_record_slots(context, slots):
    for number, _ in enumerate(context.cluster.endpoints):
        context.cluster.change_record("endpoints", f"e{number}", slots=slots)


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
        "answer with 8388450 bytes": {"oversize_bytes": 8_388_450},
        "answer with 8000000 bytes": {"oversize_bytes": 8_000_000},
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
        lambda: cluster.read_peer_status(daemon, peer) == status,
        f"d{daemon} sees d{peer} as {status}",
        STATE_TIMEOUT_S,
    )


@when(
    "callers submit jobs of {count:d} tasks of {run_time_s:g} s continuously to daemons that are "
    "ready"
)
def step_load(context, count, run_time_s):
    context.load = SteadyLoad(context.caller, CALLERS, make_payloads(count, run_time_s))
    context.load.start()


@when("each daemon is stopped as planned and started again")
def step_rolling_restart(context):
    cluster = context.cluster
    for number, daemon in enumerate(cluster.daemons):
        assert daemon.terminate() == 0, f"d{number} did not exit with status 0"
        cluster.restart_daemon(number)
        cluster.wait_until(lambda number=number: cluster.is_ready(number), f"d{number} is ready")


@when("the callers stop")
def step_stop_load(context):
    context.calls["load"] = context.load.stop()


@then("no proving job has failed")
def step_no_failures(context):
    failures = [answer for answer in context.history.answers if answer.outcome != "done"]
    assert not failures and not context.history.unanswered_calls, (
        failures[:3],
        context.history.unanswered_calls[:3],
        len(failures),
        len(context.history.answers),
    )


@then("daemon {number:d} has exited with status 0")
def step_ended_normally(context, number):
    assert context.cluster.daemons[number].wait(STATE_TIMEOUT_S) == 0


@step('every daemon sees the others as "{status}"')
def step_all_peer_statuses(context, status):
    cluster = context.cluster
    numbers = range(len(cluster.daemons))
    pairs = [(daemon, peer) for daemon in numbers for peer in numbers if daemon != peer]
    cluster.wait_until(
        lambda: all(cluster.read_peer_status(*pair) == status for pair in pairs),
        f"all see each other as {status}",
        STATE_TIMEOUT_S,
    )


@then('answer {number:d} of proving job "{name}" is "{outcome}" with code "{code}"')
def step_answer_code(context, number, name, outcome, code):
    answer = wait_for_answer(context, name, number - 1)
    assert (answer.outcome, answer.code) == (outcome, code), answer


@then('answer {number:d} of proving job "{name}" is "{outcome}"')
def step_answer(context, number, name, outcome):
    answer = wait_for_answer(context, name, number - 1)
    assert answer.outcome == outcome, answer


@then('answer {number:d} of proving job "{name}" took less than {bound_s:g} s')
def step_answer_time(context, number, name, bound_s):
    answer = wait_for_answer(context, name, number - 1)
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


def note_refusing_endpoints(context) -> None:
    """Adds a leaving period to the history for each endpoint that has refused a task as leaving."""
    for endpoint, since_s in context.refusing_endpoints:
        refusals_s = [
            event.time_s
            for event in context.history.events
            if event.event == "refuse" and event.endpoint == endpoint and event.time_s > since_s
        ]
        assert refusals_s, f"{endpoint} got no task to refuse"
        period = LeavingPeriod(endpoint, min(refusals_s) + REFUSAL_BOUND_S)
        context.history.leaving.append(period)


@then("the history meets all conditions")
def step_history_meets_conditions(context):
    for calls in context.calls.values():
        for call in calls:
            call.result(ANSWER_TIMEOUT_S)
    context.cluster.collect_events(context.history)
    note_refusing_endpoints(context)
    violations = [
        f"{condition}: {line}"
        for condition, lines in check_history(context.history).items()
        for line in lines
    ]
    assert not violations, "\n".join(violations)
    assert context.history.answers, "the history has no answers to check"
