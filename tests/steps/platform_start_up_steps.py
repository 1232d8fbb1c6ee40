"""Steps on what a starting daemon imports, and on callers who connect before it is ready."""

import os
import signal
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep

from behave import given, then, use_step_matcher, when

from berylproxy.platform.settings import SETTINGS_VARIABLE
from standins.process import ROOT
from tests.support.platform_cluster import PlatformCluster, pick_ports

LISTEN_TIMEOUT_S = 10.0
END_TIMEOUT_S = 20.0
CANNOT_START = 12
WAITING = "the store is not available yet"
JOB_ID = "00000000000000cc"
LARGEST = 20  # packages that are named when there are too many modules

use_step_matcher("re")


def list_modules(statement: str) -> list[str]:
    """Returns the modules of a new interpreter after a statement, with those that it has itself."""
    command = [sys.executable, "-c", f"{statement}\nimport sys\nprint(*sys.modules)"]
    return subprocess.run(
        command, cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout.split()


@when(r"the modules of the platform's daemon are imported")
def step_impl(context):
    context.modules = list_modules(
        "import berylproxy.platform.__main__, berylproxy.platform.process"
    )


@when(r"the modules that the platform's daemon needs before it listens are imported")
def step_impl(context):
    context.modules = list_modules("import berylproxy.platform.__main__")


@then(r'none of "(?P<names>[\w., ]+)" is among them')
def step_impl(context, names):
    found = [
        module
        for module in context.modules
        for name in names.split(", ")
        if module == name or module.startswith(name + ".")
    ]
    assert not found, found


@then(r"they are fewer than (?P<limit>\d+)")
def step_impl(context, limit):
    counts: dict[str, int] = {}
    for module in context.modules:
        package = module.partition(".")[0]
        counts[package] = counts.get(package, 0) + 1
    largest = sorted(counts.items(), key=lambda item: -item[1])[:LARGEST]
    assert len(context.modules) < int(limit), (len(context.modules), largest)


@given(r"a store that answers nothing yet and a starting platform daemon")
def step_impl(context):
    context.platform_cluster = cluster = PlatformCluster(context.folder, 1, 1, 0.05)
    context.add_cleanup(cluster.close)
    cluster.start()
    cluster.daemons[0].kill()
    cluster.switch_store(busy=True)
    context.former_lines = len(cluster.read_log(cluster.daemons[0]))
    cluster.daemons[0].start()


def wait_until_listening(cluster):
    """Waits until the daemon accepts connections, which it does before it has imported all."""
    deadline_s = monotonic() + LISTEN_TIMEOUT_S
    while True:
        try:
            socket.create_connection((cluster.host(0), cluster.ports[0][2])).close()
            return
        except ConnectionRefusedError:
            assert monotonic() < deadline_s, "the daemon doesn't listen"
            sleep(0.005)


def wait_until_waiting(cluster, former_lines):
    """Waits until the daemon has logged, after a number of lines, that it waits for its store."""
    deadline_s = monotonic() + LISTEN_TIMEOUT_S
    while not any(
        line["message"].startswith(WAITING)
        for line in cluster.read_log(cluster.daemons[0])[former_lines:]
    ):
        assert monotonic() < deadline_s, "the daemon doesn't wait for its store"
        sleep(0.02)


@given(r"a starting platform daemon whose settings name a store that isn't there")
def step_impl(context):
    context.platform_cluster = cluster = PlatformCluster(context.folder, 1, 1, 0.05)
    context.add_cleanup(cluster.close)
    cluster.start()
    cluster.daemons[0].kill()
    [unused_port] = pick_ports(1)
    cluster.write_settings(0, store_port=unused_port)
    context.former_lines = len(cluster.read_log(cluster.daemons[0]))
    cluster.daemons[0].start()


@when(r"the starting daemon gets SIGHUP once its settings name the store that is there")
def step_impl(context):
    cluster = context.platform_cluster
    wait_until_waiting(cluster, context.former_lines)
    cluster.write_settings(0)
    cluster.daemons[0].send_signal(signal.SIGHUP)


@when(
    r"the starting daemon gets (?P<name>SIGHUP|SIGTERM) "
    r"(?P<moment>as soon as it listens|once it has been refused by the store)"
)
def step_impl(context, name, moment):
    cluster = context.platform_cluster
    wait_until_listening(cluster)
    if moment != "as soon as it listens":
        wait_until_waiting(cluster, context.former_lines)
    cluster.daemons[0].send_signal(signal.Signals[name])


@then(r"the starting daemon gets ready")
def step_impl(context):
    context.platform_cluster.wait_ready(0)


@then(r"the starting daemon ends with status 0")
def step_impl(context):
    assert context.platform_cluster.daemons[0].wait(END_TIMEOUT_S) == 0


@when(r"a caller connects as soon as the daemon listens and submits a job")
def step_impl(context):
    cluster = context.platform_cluster
    wait_until_listening(cluster)
    executor = ThreadPoolExecutor(1)
    context.add_cleanup(executor.shutdown)
    fields = {"best-effort": True}
    context.answer = executor.submit(cluster.submit, 0, JOB_ID, 2, **fields)


@when(r"the store begins to answer")
def step_impl(context):
    context.platform_cluster.switch_store(busy=False)


@then(r"the caller is answered by the daemon")
def step_impl(context):
    answer = context.answer.result()
    assert (answer.status_code, answer.json()) == (200, {"state": "completed"}), answer.text


@then(r"the caller is answered 503 with Retry-After by the starting daemon")
def step_impl(context):
    answer = context.answer.result()
    assert answer.status_code == 503 and int(answer.headers["retry-after"]) >= 1, answer


@then(r"the starting daemon is not ready")
def step_impl(context):
    cluster = context.platform_cluster
    url = f"http://{cluster.host(0)}:{cluster.ports[0][3]}/-/ready"
    assert cluster.client.get(url).status_code == 503


@given(r"a platform daemon whose ready address is in use")
def step_impl(context):
    cluster = PlatformCluster(context.folder, 1, 0, 0.05)
    context.add_cleanup(cluster.close)
    cluster.ports.append(pick_ports(4))
    context.address = (cluster.host(0), cluster.ports[0][3])
    context.add_cleanup(socket.create_server(context.address).close)
    cluster.write_settings(0, store_port=1)
    context.ended = subprocess.run(
        [sys.executable, "-m", "berylproxy.platform"],
        cwd=ROOT,
        env=os.environ | {SETTINGS_VARIABLE: str(cluster.settings_path(0))},
        capture_output=True,
        text=True,
        timeout=END_TIMEOUT_S,
        check=False,
    )


@then(r"it ends with status 12 and one line that names the address")
def step_impl(context):
    assert context.ended.returncode == CANNOT_START, context.ended
    lines = context.ended.stderr.splitlines()
    assert len(lines) == 1 and "{}:{}".format(*context.address) in lines[0], lines


use_step_matcher("parse")
