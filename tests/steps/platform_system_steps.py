"""Steps that run the daemon for the users' platform with the platform's stand-ins."""

import signal
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from time import monotonic, sleep

from behave import given, then, use_step_matcher, when

from tests.support.platform_cluster import (
    HOST,
    PREFIX,
    PlatformCluster,
    host_of,
    make_configuration,
)
from tests.support.runs import find_overlaps

STOP_TIMEOUT_S = 10.0
job_numbers = count(1)


def new_job_id():
    """Returns a new job identifier in the format that callers use."""
    return f"{next(job_numbers):016x}"


def submit_jobs(context, daemons, tasks):
    """Submits a best-effort job to each of the daemons without waiting for the answers."""
    cluster = context.platform_cluster
    context.answers = [
        context.pool.submit(cluster.submit, number, new_job_id(), tasks, **{"best-effort": True})
        for number in daemons
    ]


def wait_for_states(context, state, wait_s):
    """Waits until every daemon shows the given state of the last durable job."""
    cluster = context.platform_cluster
    deadline_s = monotonic() + wait_s
    states = []
    while monotonic() < deadline_s:
        states = [
            cluster.request(number, "GET", PREFIX + context.durable_job_id).json().get("state")
            for number in range(len(cluster.daemons))
        ]
        if set(states) == {state}:
            return
        sleep(0.05)
    raise AssertionError(states)


use_step_matcher("re")


@given(
    r"a platform of (?P<daemons>\d+) daemons? and (?P<runners>\d+) runners? "
    r"whose tasks take (?P<run_time_s>[\d.]+) s"
)
def step_impl(context, daemons, runners, run_time_s):
    cluster = PlatformCluster(context.folder, int(daemons), int(runners), float(run_time_s))
    context.add_cleanup(cluster.close)
    context.pool = ThreadPoolExecutor()
    context.add_cleanup(context.pool.shutdown)
    context.platform_cluster = cluster
    cluster.start()


@when(r"platform jobs of (?P<tasks>\d+) tasks? are submitted to each daemon")
def step_impl(context, tasks):
    submit_jobs(context, range(len(context.platform_cluster.daemons)), int(tasks))


@when(
    r"platform jobs of (?P<tasks>\d+) tasks? are submitted to the daemons that are not the holder, "
    r"which is (?P<fault>killed|frozen)"
)
def step_impl(context, tasks, fault):
    cluster = context.platform_cluster
    holder = cluster.find_holder()
    submit_jobs(context, [n for n in range(len(cluster.daemons)) if n != holder], int(tasks))
    sleep(0.2)
    if fault == "killed":
        cluster.daemons[holder].kill()
        return
    cluster.daemons[holder].freeze()
    sleep(1.5)
    cluster.daemons[holder].resume()


@when(
    r"platform jobs of (?P<tasks>\d+) tasks? are submitted to each daemon and the holder is asked "
    r"to stop(?:, and gets (?P<second_signal>SIGHUP|SIGTERM) meanwhile)?"
)
def step_impl(context, tasks, second_signal=None):
    cluster = context.platform_cluster
    holder = cluster.find_holder()
    submit_jobs(context, range(len(cluster.daemons)), int(tasks))
    sleep(0.2)
    if second_signal:
        cluster.daemons[holder].send_signal(signal.SIGTERM)
        sleep(0.3)
        cluster.daemons[holder].send_signal(signal.Signals[second_signal])
        context.stop_status = cluster.daemons[holder].wait(STOP_TIMEOUT_S)
    else:
        context.stop_status = cluster.daemons[holder].terminate(STOP_TIMEOUT_S)


@when(r"the holder is killed")
def step_impl(context):
    cluster = context.platform_cluster
    context.killed_daemon = cluster.find_holder()
    cluster.daemons[context.killed_daemon].kill()


@when(r"the platform's store refuses all calls")
def step_impl(context):
    context.platform_cluster.switch_store(busy=True)


@when(r'the platform\'s configuration replaces the old prefix by "(?P<prefix>[/\w]+)"')
def step_impl(context, prefix):
    context.platform_cluster.configure(make_configuration(9, [prefix]))


@when(r"a durable platform job of (?P<tasks>\d+) tasks is submitted to daemon 0 twice")
def step_impl(context, tasks):
    context.durable_job_id = new_job_id()
    for _ in range(2):
        answer = context.platform_cluster.submit(0, context.durable_job_id, int(tasks))
        assert answer.status_code == 200, answer.text


@when(
    r"a durable platform job of (?P<tasks>\d+) tasks is submitted to daemon 1 and cancelled at "
    r"daemon 0"
)
def step_impl(context, tasks):
    context.durable_job_id = new_job_id()
    answer = context.platform_cluster.submit(1, context.durable_job_id, int(tasks))
    assert answer.status_code == 200, answer.text
    answer = context.platform_cluster.request(0, "DELETE", PREFIX + context.durable_job_id)
    assert answer.status_code == 200, answer.text


@then(r'each platform job is answered (?P<status>\d+)(?: as "(?P<state>\w+)")?')
def step_impl(context, status, state=None):
    for future in context.answers:
        answer = future.result()
        assert answer.status_code == int(status), (answer.status_code, answer.text)
        assert state is None or answer.json() == {"state": state}, answer.text


@then(r"no platform task ran twice at the same time")
def step_impl(context):
    overlaps = find_overlaps(context.platform_cluster.read_history())
    assert not overlaps, overlaps


@then(r"the stopped daemon ends with status (?P<status>\d+)")
def step_impl(context, status):
    assert context.stop_status == int(status), context.stop_status


@then(r'platform job "(?P<job_id>\w+)" is unknown to every daemon')
def step_impl(context, job_id):
    cluster = context.platform_cluster
    for number in range(len(cluster.daemons)):
        assert cluster.request(number, "GET", PREFIX + job_id).status_code == 410


@then(
    r'each daemon accepts jobs under "(?P<prefix>[/\w]+)" within (?P<wait_s>\d+) s and answers 404 '
    r"under the old prefix"
)
def step_impl(context, prefix, wait_s):
    cluster = context.platform_cluster
    sleep(float(wait_s))
    for number in range(len(cluster.daemons)):
        assert cluster.request(number, "GET", prefix).status_code == 200
        assert cluster.request(number, "GET", PREFIX).status_code == 404


@then(r'every daemon shows it as "(?P<state>\w+)" within (?P<wait_s>\d+) s')
def step_impl(context, state, wait_s):
    wait_for_states(context, state, float(wait_s))


@then(r"a durable platform job is refused with 503 and Retry-After")
def step_impl(context):
    answer = context.platform_cluster.submit(0, new_job_id(), 1)
    assert answer.status_code == 503 and int(answer.headers["retry-after"]) > 0, answer.text


@then(r'a platform job at the other daemon is answered 200 as "completed" within (?P<wait_s>\d+) s')
def step_impl(context, wait_s):
    other = 1 - context.killed_daemon
    deadline_s = monotonic() + float(wait_s)
    answer = None
    while monotonic() < deadline_s and (answer is None or answer.status_code != 200):
        answer = context.platform_cluster.submit(other, new_job_id(), 2, **{"best-effort": True})
    assert answer.json() == {"state": "completed"}, answer.text


@then(r"the platform answers 400 to these bodies, naming what is wrong:")
def step_impl(context):
    cluster = context.platform_cluster
    url = f"http://{host_of(0)}:{cluster.ports[0][2]}{PREFIX}"
    for row in context.table:
        answer = cluster.client.post(
            url + new_job_id(), content=row["body"].encode(), headers={"Host": HOST}
        )
        assert answer.status_code == 400, (row["body"], answer.status_code, answer.text)
        assert row["names"] in answer.json()["error"], (row["body"], answer.text)


use_step_matcher("parse")
