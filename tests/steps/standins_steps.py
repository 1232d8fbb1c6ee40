"""Steps for the tests of the stand-ins."""

import json
import socket
from pathlib import Path
from tempfile import TemporaryDirectory
from time import sleep

import httpx
from behave import given, then, when

from standins.process import ManagedProcess, ProcessStartError

TIMEOUT_S = 30.0
SILENCE_S = 0.3  # time without a response after which a connection counts as silent
POLL_INTERVAL_S = 0.01
MAX_POLLS = 3000
MAX_CONNECTION_TRIES = 300
READ_BYTES = 65_536


def start_process(context, name, *arguments):
    """Starts a stand-in that is killed at the end of the scenario."""
    process = ManagedProcess(name, ["-m", *arguments], context.folder)
    context.add_cleanup(process.kill)
    process.start()
    return process


def start_endpoint(context, *arguments):
    """Starts an endpoint stand-in with a log, and an HTTP client."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.log_path = context.folder / "log"
    options = ["--name", "e1", "--log", str(context.log_path)]
    context.endpoint = start_process(context, "e1", "standins.endpoint", *options, *arguments)
    context.client = httpx.Client(timeout=TIMEOUT_S)
    context.add_cleanup(context.client.close)


def post_task(client, url, task_id, body, timeout_s=TIMEOUT_S):
    """Sends a task."""
    headers = {"Berylproxy-Task-Id": task_id}
    return client.post(url + "/v1/tasks", json=body, headers=headers, timeout=timeout_s)


def set_switches(process, text):
    """Sets switches of a stand-in, given as JSON."""
    response = httpx.put(process.control_url + "/control", json=json.loads(text), timeout=TIMEOUT_S)
    response.raise_for_status()


def find_error(client, url, task_id, timeout_s=TIMEOUT_S):
    """Sends a task and returns the class name of its error, or an empty string."""
    try:
        post_task(client, url, task_id, {}, timeout_s)
    except httpx.HTTPError as error:
        return type(error).__name__
    return ""


def read_log(context):
    """Returns the endpoint stand-in's log in the short form used in the features."""
    lines = [json.loads(line) for line in context.log_path.read_text().splitlines()]
    words = [(line["event"], line["task_id"], line["status"]) for line in lines]
    return ", ".join(" ".join(str(word) for word in each if word is not None) for each in words)


@given("an endpoint stand-in with {slots:d} slot and {connections:d} connections")
def step_endpoint(context, slots, connections):
    start_endpoint(context, "--slots", str(slots), "--connections", str(connections))


@when('the stand-in gets the task "{task_id}" with {body}')
def step_task(context, task_id, body):
    context.response = post_task(context.client, context.endpoint.url, task_id, json.loads(body))


@when('the stand-in runs the long task "{task_id}"')
def step_long_task(context, task_id):
    body = b'{"run_time_s": 3600}'
    head = f"POST /v1/tasks HTTP/1.1\r\nHost: e\r\nBerylproxy-Task-Id: {task_id}\r\n"
    connection = open_connection(context)
    connection.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    for _ in range(MAX_POLLS):
        if read_log(context) == f"start {task_id}":
            return
        sleep(POLL_INTERVAL_S)
    raise AssertionError("the task has not started")


@then('the stand-in answers {status:d} to "{task_id}" with the echo {body}')
def step_echo(context, status, task_id, body):
    assert context.response.status_code == status
    expected = {"task_id": task_id, "endpoint": "e1", "echo": json.loads(body)}
    assert context.response.json() == expected, context.response.text


@then("the stand-in answers {status:d}")
def step_status(context, status):
    assert context.response.status_code == status, context.response.status_code


@then('the stand-in refuses with "{code}"')
def step_refuses(context, code):
    headers = context.response.headers
    assert context.response.status_code == 503
    assert headers["Berylproxy-Outcome"] == "not_run"
    assert headers["Berylproxy-Code"] == code


@then('the log of the stand-in has "{expected}"')
@then('the log of the stand-in has ""')
def step_log(context, expected=""):
    actual = read_log(context)
    assert actual == expected, actual


@when("the stand-in's switches are {switches}")
def step_switches(context, switches):
    set_switches(context.endpoint, switches)


@then('the stand-in gives "{error}" to the task "{task_id}"')
def step_task_error(context, error, task_id):
    timeout_s = SILENCE_S if error == "ReadTimeout" else TIMEOUT_S
    actual = find_error(context.client, context.endpoint.url, task_id, timeout_s)
    assert actual == error, actual


@then("the stand-in's answer is longer than {size_bytes:d} bytes")
def step_answer_size(context, size_bytes):
    assert len(context.response.content) > size_bytes


def open_connection(context):
    """Opens a connection to the endpoint stand-in that is closed after the scenario."""
    address = ("127.0.0.1", context.endpoint.announced["port"])
    connection = socket.create_connection(address, TIMEOUT_S)
    context.add_cleanup(connection.close)
    return connection


@when("two connections to the stand-in are open")
def step_two_connections(context):
    context.standin_connections = []
    for _ in range(2):
        connection = open_connection(context)
        context.standin_connections.append(connection)
        connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n")
        assert connection.recv(1)


@when("both of them are closed")
def step_close_both(context):
    for connection in context.standin_connections:
        # Reads the whole response; closing with unread data would send a reset.
        while b"}" not in connection.recv(READ_BYTES):
            pass
        connection.close()


@then("a new connection to the stand-in is eventually served")
def step_eventually_served(context):
    for _ in range(MAX_CONNECTION_TRIES):
        connection = open_connection(context)
        connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n")
        try:
            if connection.recv(1):
                return
        except ConnectionResetError:
            pass
        sleep(POLL_INTERVAL_S)
    raise AssertionError("every new connection was closed")


@then("a third connection to the stand-in is closed")
def step_third_connection(context):
    connection = open_connection(context)
    try:
        assert connection.recv(1) == b""
    except ConnectionResetError:
        return


@when("an open connection to the stand-in has gone silent")
def step_gone_silent(context):
    context.client.get(context.endpoint.url + "/healthz")
    set_switches(context.endpoint, '{"silent": true}')


@then("a task on the silent connection gets no answer and does not start")
def step_silent_task(context):
    actual = find_error(context.client, context.endpoint.url, "silent", SILENCE_S)
    assert actual == "ReadTimeout", actual
    assert read_log(context) == ""


@then("a task on a new connection gets its answer")
def step_new_connection(context):
    with httpx.Client(timeout=TIMEOUT_S) as client:
        assert post_task(client, context.endpoint.url, "new", {}).status_code == 200


@when("the stand-in is killed")
def step_kill(context):
    context.endpoint.kill()


@given("a relay to an endpoint stand-in")
def step_relay(context):
    start_endpoint(context)
    target = f"127.0.0.1:{context.endpoint.announced['port']}"
    context.relay = start_process(context, "relay", "standins.relay", "--target", target)


@then("a task through the relay gets its answer")
def step_relayed_task(context):
    assert post_task(context.client, context.relay.url, "t1", {}).status_code == 200


@then("a task through a new connection to the relay gets its answer")
def step_relayed_new(context):
    with httpx.Client(timeout=TIMEOUT_S) as client:
        assert post_task(client, context.relay.url, "t2", {}).status_code == 200


@then("after the relay's switches are {switches} its open connection is reset")
def step_relay_reset(context, switches):
    address = ("127.0.0.1", context.relay.announced["port"])
    with socket.create_connection(address, TIMEOUT_S) as connection:
        connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n")
        assert connection.recv(65536)
        set_switches(context.relay, switches)
        try:
            while connection.recv(65536):
                pass
        except ConnectionResetError:
            return
    raise AssertionError("the connection ended without a reset")


@then('a new connection to the relay gives "{error}"')
def step_relay_refuses(context, error):
    with httpx.Client(timeout=TIMEOUT_S) as client:
        actual = find_error(client, context.relay.url, "t3")
    assert actual == error, actual


@then("after the relay's switches are {switches} a task through it gets its answer")
def step_relay_restored(context, switches):
    set_switches(context.relay, switches)
    with httpx.Client(timeout=TIMEOUT_S) as client:
        assert post_task(client, context.relay.url, "t4", {}).status_code == 200


@then("after the relay's switches are {switches} its open connection is silent")
def step_relay_silent(context, switches):
    set_switches(context.relay, switches)
    actual = find_error(context.client, context.relay.url, "silent", SILENCE_S)
    assert actual == "ReadTimeout", actual


@then("the frozen endpoint stand-in answers only after it is resumed")
def step_frozen(context):
    context.endpoint.freeze()
    actual = find_error(context.client, context.endpoint.url, "t1", SILENCE_S)
    assert actual == "ReadTimeout", actual
    context.endpoint.resume()
    assert post_task(context.client, context.endpoint.url, "t2", {}).status_code == 200


@then('starting a process that fails with "{message}" reports it')
def step_failing_process(context, message):
    with TemporaryDirectory() as folder:
        process = ManagedProcess("bad", ["-c", f"raise SystemExit({message!r})"], Path(folder))
        try:
            process.start()
        except ProcessStartError as error:
            assert message in str(error), error
            assert not process.is_running()
            return
    raise AssertionError("no error")
