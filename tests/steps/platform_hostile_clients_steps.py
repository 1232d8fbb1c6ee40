"""Steps with clients of the platform's daemon that don't behave."""

import http.client
import json
import socket

from behave import given, then, when

from berylproxy.platform.settings import METRICS_PORT
from tests.steps.platform_system_steps import new_job_id
from tests.support.hostile_clients import (
    LONG_HEAD,
    Crowd,
    check_lives,
    wait_until_idle,
)
from tests.support.platform_cluster import HOST, PREFIX, PlatformCluster

ANSWER_TIMEOUT_S = 20.0
BODY_BYTES = 262_000


@given("a platform daemon with {memory_mb:d} MB of memory and {descriptors:d} descriptors")
def step_daemon(context, memory_mb, descriptors):
    context.memory_mb, context.descriptors = memory_mb, descriptors
    cluster = PlatformCluster(context.folder, 1, 1, 0.05)
    cluster.extra_settings = f"[limits]\nmemory-mb = {memory_mb}\nmax-fds = {descriptors}\n"
    context.add_cleanup(cluster.close)
    context.platform_cluster = cluster
    cluster.start()


@when("{count:d} clients at its {port} port send {stream}")
def step_crowd(context, count, port, stream):
    cluster = context.platform_cluster
    first, _, callers, ready = cluster.ports[0]
    numbers = {"callers": callers, "ready": ready, "metrics": METRICS_PORT, "peer": first}
    crowd = Crowd((cluster.host(0), numbers[port]), stream, count, PREFIX + "0" * 16)
    context.add_cleanup(crowd.close)


@then("an ordinary caller of the platform is answered")
def step_answered(context):
    wait_until_idle(context.platform_cluster.daemons[0].child.pid)
    body = {"spec": "x", "steps": [{"count": 1, "cpu": 1000}], "best-effort": True}
    answer = send(context.platform_cluster, new_job_id(), json.dumps(body).encode())
    assert answer == (200, {"state": "completed"}), answer


@then("the daemon lives, within its memory and its descriptors")
def step_lives(context):
    check_lives(context.platform_cluster.daemons[0].child, context.memory_mb, context.descriptors)


def connect(cluster):
    """Opens an ordinary caller's connection."""
    host, port = cluster.host(0), cluster.ports[0][2]
    return http.client.HTTPConnection(host, port, timeout=ANSWER_TIMEOUT_S)


def send(cluster, job_id, body):
    """Submits a job on a connection of its own; returns the status and the content."""
    connection = connect(cluster)
    try:
        connection.request("POST", PREFIX + job_id, body, {"Host": HOST})
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b"null")
    finally:
        connection.close()


@when("a caller submits a job with many short header lines")
def step_many_lines(context):
    cluster, body = context.platform_cluster, make_job("")
    head = LONG_HEAD.replace(b"{path}", (PREFIX + new_job_id()).encode())
    head += b"Content-Length: %d\r\n\r\n" % len(body)
    address = (cluster.host(0), cluster.ports[0][2])
    with socket.create_connection(address, timeout=ANSWER_TIMEOUT_S) as connection:
        connection.sendall(head + body)
        response = http.client.HTTPResponse(connection)
        response.begin()
        context.job_answer = response.status


@when("a caller submits a job with trailers behind a chunked body")
def step_trailers(context):
    connection = connect(context.platform_cluster)
    connection.putrequest("POST", PREFIX + new_job_id(), skip_host=True)
    connection.putheader("Host", HOST)
    connection.putheader("Transfer-Encoding", "chunked")
    connection.endheaders()
    body = make_job("")
    trailers = b"Checksum: 1\r\nSigned-By: a\r\n"
    connection.send(b"%x\r\n%b\r\n0\r\n%b\r\n" % (len(body), body, trailers))
    context.job_answer = connection.getresponse().status


@when("a caller submits a job with a body of 262,000 bytes")
def step_large_body(context):
    connection = connect(context.platform_cluster)
    connection.putrequest("POST", PREFIX + new_job_id(), skip_host=True)
    connection.putheader("Host", HOST)
    submit(context, connection, make_job("").ljust(BODY_BYTES))


def make_job(spec):
    return json.dumps({"spec": spec, "steps": [{"count": 1, "cpu": 1000}]}).encode()


def submit(context, connection, body):
    connection.putheader("Content-Length", str(len(body)))
    connection.endheaders(body)
    context.job_answer = connection.getresponse().status


@then("the platform job is accepted")
def step_accepted(context):
    assert context.job_answer == 200, context.job_answer
