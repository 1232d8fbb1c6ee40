"""Steps with clients of berylproxyd that don't behave."""

from behave import given, then, when

from standins.cluster import SERVICE, Cluster, EndpointPlan
from tests.steps.monitoring_steps import start_tls_daemon
from tests.support.hostile_clients import (
    Crowd,
    check_lives,
    wait_until_idle,
)

ANSWER_TIMEOUT_S = 20.0
LARGE_BODY_BYTES = 7_000_000


def make_limits(memory_mb, descriptors):
    """Returns the settings that limit what a daemon may use."""
    return {
        "BERYLPROXY_MEMORY_MB": str(memory_mb),
        "BERYLPROXY_MAX_DESCRIPTORS": str(descriptors),
    }


@given("a berylproxyd with {memory_mb:d} MB of memory and {descriptors:d} descriptors")
def step_daemon(context, memory_mb, descriptors):
    context.memory_mb, context.descriptors = memory_mb, descriptors
    environment = make_limits(memory_mb, descriptors)
    service = {"max_body_bytes": 8_000_000}
    cluster = Cluster(context.folder, ["a"], [EndpointPlan("a")], service, environment)
    context.add_cleanup(cluster.stop)
    context.cluster = cluster
    cluster.start()


@when("{count:d} clients of berylproxyd at its {port} port send {stream}")
def step_crowd(context, count, port, stream):
    host, _, number = context.cluster.daemons[0].announced[f"{port}_address"].rpartition(":")
    path = f"/v1/services/{SERVICE}/requests"
    crowd = Crowd((host, int(number)), stream, count, path)
    context.add_cleanup(crowd.close)


@then("an ordinary caller of berylproxyd is answered")
def step_answered(context):
    wait_until_idle(context.cluster.daemons[0].child.pid)
    answer = context.cluster.client.post(
        f"{context.cluster.url(0)}/v1/services/{SERVICE}/requests",
        json={"run_time_s": 0.05},
        timeout=ANSWER_TIMEOUT_S,
    )
    assert answer.status_code == 200, answer.text


@then("berylproxyd lives, within its memory and its descriptors")
def step_lives(context):
    check_lives(context.cluster.daemons[0].child, context.memory_mb, context.descriptors)


@then("a submission of 7,000,000 bytes to berylproxyd is read whole")
def step_large_body(context):
    answer = context.cluster.client.post(
        f"{context.cluster.url(0)}/v1/services/{SERVICE}/requests",
        content=b'{"run_time_s": 0.05, "text": "' + b"x" * LARGE_BODY_BYTES + b'"}',
        timeout=ANSWER_TIMEOUT_S,
    )
    assert answer.status_code == 200, answer.text


@given("a berylproxyd with TLS, {memory_mb:d} MB of memory and {descriptors:d} descriptors")
def step_tls_daemon(context, memory_mb, descriptors):
    context.memory_mb, context.descriptors = memory_mb, descriptors
    start_tls_daemon(context, make_limits(memory_mb, descriptors))


@when("{count:d} clients connect to its TLS port and send nothing")
def step_tls_crowd(context, count):
    host, _, number = context.tls_address.rpartition(":")
    crowd = Crowd((host, int(number)), "nothing", count, "")
    context.add_cleanup(crowd.close)
    wait_until_idle(context.tls_daemon.child.pid)


@then("berylproxyd with TLS lives, within its memory and its descriptors")
def step_tls_lives(context):
    check_lives(context.tls_daemon.child, context.memory_mb, context.descriptors)
