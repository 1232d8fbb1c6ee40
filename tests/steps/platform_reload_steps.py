"""Steps that change the settings file of a running daemon."""

import signal
from time import monotonic, sleep

from behave import then, use_step_matcher, when

from tests.steps.platform_system_steps import new_job_id
from tests.support.platform_cluster import pick_ports

POLL_INTERVAL_S = 0.05
LOG_WAIT_S = 2.5  # a daemon checks its file at least twice in this time

use_step_matcher("re")


def find_lines(context, number, message):
    """Returns the log lines of a daemon whose message starts with the given text."""
    cluster = context.platform_cluster
    lines = cluster.read_log(cluster.daemons[number])
    return [line for line in lines if line["message"].startswith(message)]


@when(
    r"the settings of daemon 0 get (?P<change>2.5 cores|another ready address)"
    r"(?P<signalled> and daemon 0 gets SIGHUP)?"
)
def step_impl(context, change, signalled):
    cluster = context.platform_cluster
    if change == "2.5 cores":
        cluster.write_settings(0, extra_lines="[limits]\ncores = 2.5\n")
    else:
        [cluster.ports[0][3]] = pick_ports(1)
        cluster.write_settings(0)
    if signalled:
        cluster.daemons[0].send_signal(signal.SIGHUP)


@when(r"the settings of daemon 0 name a relay as the store")
def step_impl(context):
    cluster = context.platform_cluster
    context.relay = cluster.start_relay("store", cluster.store.announced["port"])
    cluster.write_settings(0, store_port=context.relay.announced["port"])


@when(r"the relay is cut")
def step_impl(context):
    url = f"http://127.0.0.1:{context.relay.announced['control_port']}/control"
    context.platform_cluster.client.put(url, json={"cut": True}).raise_for_status()


@when(r"the settings of daemon 0 become (?P<damage>half a file|a missing field|no file|no port .+)")
def step_impl(context, damage):
    path = context.platform_cluster.settings_path(0)
    content = path.read_text()
    if damage == "no file":
        path.unlink()
    elif damage == "no port of the store":
        port = context.platform_cluster.store.announced["port"]
        path.write_text(content.replace(f"127.0.0.1:{port}", "127.0.0.1"))
    elif damage == "half a file":
        path.write_text(content[: len(content) // 2] + "[")
    else:
        path.write_text(content.replace("[listen]", "[other]"))


@then(
    r'daemon 0 logs "(?P<message>[\w ]+)" within (?P<wait_s>[\d.]+) s, with "(?P<name>\w+)" '
    r"(?P<effect>applied|held)"
)
def step_impl(context, message, wait_s, name, effect):
    deadline_s = monotonic() + float(wait_s)
    lines = []
    while monotonic() < deadline_s and not lines:
        sleep(POLL_INTERVAL_S)
        lines = find_lines(context, 0, message)
    assert lines, f"not logged within {wait_s} s"
    keys = {"applied": "applied", "held": "held_until_start"}
    assert list(lines[-1][keys[effect]]) == [name], lines[-1]


@then(r'daemon 0 logs "(?P<message>[\w ]+)" once, naming "(?P<named>[\w\'. ]+)"')
def step_impl(context, message, named):
    sleep(LOG_WAIT_S)
    lines = find_lines(context, 0, message)
    assert lines and all(message in line["message"] for line in lines), lines
    assert any(named in line["message"] for line in lines), lines
    assert len(lines) == len({line["message"] for line in lines}), lines


@then(r"a durable platform job is accepted within (?P<wait_s>\d+) s")
def step_impl(context, wait_s):
    deadline_s = monotonic() + float(wait_s)
    answer = None
    while monotonic() < deadline_s and (answer is None or answer.status_code != 200):
        answer = context.platform_cluster.submit(0, new_job_id(), 1)
        sleep(POLL_INTERVAL_S)
    assert answer.status_code == 200, answer.text
