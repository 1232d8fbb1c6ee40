"""Steps that evacuate failure domains of a platform and look at what starts there."""

from time import monotonic, sleep

from behave import given, then, use_step_matcher, when

from tests.steps.platform_system_steps import new_job_id

EVACUATION_PREFIX = "op/evacuate/"
RUN_TIMEOUT_S = 8.0
OBSERVED_S = 3.0
JOBS_AT_ONCE = 6


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


def evacuate(context, domain):
    """Requests an evacuation; notes when the store has acknowledged it."""
    context.platform_cluster.write_key(EVACUATION_PREFIX + domain, {"zone": domain})
    context.evacuated_s = monotonic()


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
    known, deadline_s = len(list_events(context, domain)), monotonic() + RUN_TIMEOUT_S
    while monotonic() < deadline_s:
        for future in submit_jobs(context):
            future.result()
        if len(list_events(context, domain)) > known:
            return
    raise AssertionError("no task started there")


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
    latest_s = context.evacuated_s + float(bound_s)
    late = [e for e in list_events(context, domain) if e[1] == "start" and e[0] > latest_s]
    assert not late, late
    assert context.statuses.count(200) > len(context.statuses) / 2, context.statuses


@then(r'the tasks that ran in failure domain "(?P<domain>\w+)" end as done')
def step_impl(context, domain):
    events = list_events(context, domain)[context.events_before :]
    kinds = {kind for _, kind, _, _ in events}
    assert kinds == {"start", "done"}, events
    starts = [event for event in events if event[1] == "start"]
    assert 2 * len(starts) == len(events), events


use_step_matcher("parse")
