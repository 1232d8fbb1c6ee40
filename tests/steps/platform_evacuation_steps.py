"""Steps that evacuate failure domains of a platform and look at what starts there."""

import signal
from time import monotonic, sleep

from behave import given, then, use_step_matcher, when

from berylproxy.platform.settings import METRICS_PORT
from tests.steps.platform_system_steps import new_job_id

EVACUATION_PREFIX = "op/evacuate/"
RUN_TIMEOUT_S = 8.0
OBSERVED_S = 3.0
JOBS_AT_ONCE = 6
RELOAD_S = 1.0  # a daemon applies its settings within this time after SIGHUP
LONGEST_WATCH_S = 1.0
EVACUATION_BOUND_S = 3.0
MAX_HOLDERS = 4


def submit_jobs(context):
    """Submits best-effort jobs to the live daemons without waiting for the answers."""
    cluster = context.platform_cluster
    numbers = [n for n, daemon in enumerate(cluster.daemons) if daemon.child.poll() is None]
    return [
        context.pool.submit(
            cluster.submit, numbers[i % len(numbers)], new_job_id(), 2, **{"best-effort": True}
        )
        for i in range(JOBS_AT_ONCE)
    ]


def submit_for(context, duration_s):
    """Submits jobs for a while; returns the statuses of all answers."""
    deadline_s, futures = monotonic() + duration_s, []
    while monotonic() < deadline_s:
        futures += submit_jobs(context)
        sleep(0.25)
    return [future.result().status_code for future in futures]


def list_events(context, domain):
    """Lists the starts and ends of tasks at the runners of a failure domain."""
    cluster = context.platform_cluster
    events = []
    for runner in context.domain_runners[domain]:
        history = cluster.client.get(f"{runner.url}/control/history").json()["history"]
        events += [(at_s, kind, tuple(name), run) for at_s, kind, name, run in history]
    return sorted(events)


def list_domain_lines(context, daemon, domain):
    """Lists the lines that a daemon has logged about the evacuation of a failure domain."""
    lines = context.platform_cluster.read_log(daemon)
    return [
        line
        for line in lines
        if line["message"].startswith("failure domain") and line["failure_domain"] == domain
    ]


def evacuate(context, domain):
    """Requests an evacuation; notes when the store has acknowledged it."""
    context.platform_cluster.write_key(EVACUATION_PREFIX + domain, {"zone": domain})
    context.evacuated_s = monotonic()


def cut_off_holder(context, domain):
    """Cuts the holder off from the store; returns the relay that does so."""
    cluster = context.platform_cluster
    context.cut_off_daemon = number = cluster.find_holder()
    context.lines_before = len(list_domain_lines(context, cluster.daemons[number], domain))
    relay = cluster.start_relay(f"store-{number}", cluster.store.announced["port"])
    cluster.write_settings(number, store_port=relay.announced["port"])
    cluster.daemons[number].send_signal(signal.SIGHUP)
    sleep(RELOAD_S)
    set_cut(context, relay, True)
    return relay


def set_cut(context, relay, is_cut):
    """Cuts a relay or restores it."""
    url = f"http://127.0.0.1:{relay.announced['control_port']}/control"
    context.platform_cluster.client.put(url, json={"cut": is_cut}).raise_for_status()


def wait_for_runs(context, domain):
    """Submits jobs until tasks have started in a failure domain."""
    known, deadline_s = len(list_events(context, domain)), monotonic() + RUN_TIMEOUT_S
    while monotonic() < deadline_s:
        for future in submit_jobs(context):
            future.result()
        if len(list_events(context, domain)) > known:
            return
    raise AssertionError("no task started there")


def check_late_starts(context, domain, bound_s):
    """Checks that tasks didn't start in an evacuated failure domain, and ran elsewhere."""
    latest_s = context.evacuated_s + bound_s
    late = [e for e in list_events(context, domain) if e[1] == "start" and e[0] > latest_s]
    assert not late, late
    assert context.statuses.count(200) > len(context.statuses) / 2, context.statuses


use_step_matcher("re")


@given(r'a platform runner in failure domain "(?P<domain>\w+)"')
def step_impl(context, domain):
    cluster = context.platform_cluster
    runner = cluster.start_named_runner(f"x{domain}", "--failure-domain", domain)
    cluster.runners.append(runner)
    context.domain_runners = getattr(context, "domain_runners", {})
    context.domain_runners.setdefault(domain, []).append(runner)


@then(r'platform jobs run in failure domain "(?P<domain>\w+)"')
def step_impl(context, domain):
    wait_for_runs(context, domain)


@when(
    r"platform jobs fill both failure domains, "
    r'and failure domain "(?P<domain>\w+)" is evacuated meanwhile'
)
def step_impl(context, domain):
    context.events_before = len(list_events(context, domain))
    futures = submit_jobs(context)
    sleep(0.2)
    evacuate(context, domain)
    context.statuses = submit_for(context, OBSERVED_S)
    context.statuses += [future.result().status_code for future in futures]


@when(r"platform jobs are submitted for (?P<duration_s>\d+) s")
def step_impl(context, duration_s):
    context.statuses = submit_for(context, float(duration_s))


@when(r"the killed daemon starts again and the other one is killed")
def step_impl(context):
    cluster, number = context.platform_cluster, context.killed_daemon
    cluster.daemons[number].start()
    cluster.wait_ready(number)
    cluster.daemons[1 - number].kill()


@when(r"the platform's store forgets its history and serves all calls again")
def step_impl(context):
    cluster = context.platform_cluster
    cluster.client.post(f"{cluster.store.url}/control/compact").raise_for_status()
    cluster.switch_store(busy=False)


@when(r"the platform's store reports no changes")
def step_impl(context):
    context.platform_cluster.switch_store(hides_changes=True)
    sleep(LONGEST_WATCH_S)


@when(
    r"platform jobs are submitted for (?P<duration_s>\d+) s from the evacuation of failure domain "
    r'"(?P<domain>\w+)" on, while the holder is cut off'
)
def step_impl(context, duration_s, domain):
    cluster = context.platform_cluster
    for _ in range(MAX_HOLDERS):
        relay = cut_off_holder(context, domain)
        evacuate(context, domain)
        context.statuses = submit_for(context, float(duration_s))
        if cluster.find_holder() == context.cut_off_daemon:
            return
        # A daemon that gets no processor loses its groups; the next one is followed then.
        check_late_starts(context, domain, EVACUATION_BOUND_S)
        set_cut(context, relay, False)
        cluster.remove_key(EVACUATION_PREFIX + domain)
        wait_for_runs(context, domain)
    raise AssertionError(f"{MAX_HOLDERS} holders that were cut off lost their group")


@when(r"the platform's operator writes these keys:")
def step_impl(context):
    for row in context.table:
        context.platform_cluster.write_key(row["key"], {})


@when(r'failure domain "(?P<domain>\w+)" is (?P<change>evacuated|taken back)')
def step_impl(context, domain, change):
    if change == "evacuated":
        evacuate(context, domain)
    else:
        context.platform_cluster.remove_key(EVACUATION_PREFIX + domain)


@then(
    r'no task of the platform starts in failure domain "(?P<domain>\w+)" '
    r"later than (?P<bound_s>[\d.]+) s after the request"
)
def step_impl(context, domain, bound_s):
    check_late_starts(context, domain, float(bound_s))


@then(r'the tasks that ran in failure domain "(?P<domain>\w+)" end as done')
def step_impl(context, domain):
    events = list_events(context, domain)[context.events_before :]
    kinds = {kind for _, kind, _, _ in events}
    assert kinds == {"start", "done"}, events
    starts = [event for event in events if event[1] == "start"]
    assert 2 * len(starts) == len(events), events


@then(r'the holder shows failure domain "(?P<domain>\w+)" as evacuated, without tasks')
def step_impl(context, domain):
    cluster = context.platform_cluster
    number = cluster.find_holder()
    status = cluster.client.get(f"http://{cluster.host(number)}:{METRICS_PORT}/v1/status").json()
    assert status["daemon"]["evacuated_failure_domains"] == [domain], status["daemon"]
    [row] = [e for e in status["endpoints"] if e["failure_domain"] == domain]
    assert row["evacuated"] and not row["takes_tasks"] and not row["runs"], row
    metrics = cluster.client.get(f"http://{cluster.host(number)}:{METRICS_PORT}/metrics").text
    assert "berylproxy_evacuated_failure_domains 1" in metrics, metrics
    assert 'berylproxy_evacuated_endpoint_runs{group="' in metrics, metrics


@then(
    r'each live daemon has logged that failure domain "(?P<domain>\w+)" was evacuated'
    r"(?P<is_taken_back> and taken back)?"
)
def step_impl(context, domain, is_taken_back):
    expected = {"failure domain evacuated"}
    expected |= {"failure domain taken back"} if is_taken_back else set()
    for daemon in context.platform_cluster.daemons:
        lines = list_domain_lines(context, daemon, domain)
        assert {line["message"] for line in lines} == expected, lines
        assert all(line["revision"] > 0 for line in lines), lines


@then(
    r"the holder that is cut off has learned of failure domain "
    r'"(?P<domain>\w+)" from another daemon'
)
def step_impl(context, domain):
    cluster = context.platform_cluster
    number = context.cut_off_daemon
    lines = list_domain_lines(context, cluster.daemons[number], domain)
    [line] = lines[context.lines_before :]
    assert line["source"] in {d.name for d in cluster.daemons} - {f"d{number}"}, line


@then(r"daemon 0 has logged (?P<count>\d+) requests to evacuate that it skipped, once each")
def step_impl(context, count):
    cluster = context.platform_cluster
    texts = [line["message"] for line in cluster.read_log(cluster.daemons[0])]
    skipped = [text for text in texts if text.startswith("skipped the request to evacuate")]
    assert len(skipped) == len(set(skipped)) == int(count), skipped


use_step_matcher("parse")
