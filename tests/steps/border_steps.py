"""Steps that send invalid and unauthorized input to a cluster of real daemons."""

import json
import socket
from concurrent.futures import ThreadPoolExecutor
from select import select

from behave import given, then, when

from berylproxy.constants import MAX_SUBMISSION_BYTES
from berylproxy.peers.errors import PeerHandshakeError
from tests.support.cluster import SERVICE
from tests.support.guarded_cluster import (
    OPERATOR,
    SECRETS,
    TEAM_TOKENS,
    share_guarded_cluster,
)

TASKS = [{"id": "t0", "payload": {"run_time_s": 0.0}}]
LONG_TASKS = [{"id": f"t{number}", "payload": {"run_time_s": 1.5}} for number in range(4)]
OTHER_TASKS = [{"id": "t1", "payload": {}}]
SOCKET_TIMEOUT_S = 20.0
OTHER_KEY = "another-peer-key-of-the-tests"
REQUESTS_PATH = f"/v1/services/{SERVICE}/requests"
UNAUTHORIZED_HEAD = (
    "POST /v1/job-ids HTTP/1.1\r\nHost: h\r\nBerylproxy-Team: north\r\nContent-Length: 2\r\n\r\n"
)
LATE_BODY_S = 0.3


def connect(address: str) -> socket.socket:
    """Connects to ``host:port``."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S)


def read_to_end(connection: socket.socket) -> bytes:
    """Reads until the other side closes the connection."""
    received = b""
    try:
        while chunk := connection.recv(4096):
            received += chunk
    except ConnectionResetError:
        pass  # the other side closed without having read all sent bytes
    return received


def post_job(cluster, *, team: str = "", **changes):
    """Submits a valid job with some fields of its body replaced."""
    body = {"service": SERVICE, "tasks": TASKS} | changes
    return cluster.call("POST", "/v1/jobs", team=team, json=body)


def reuse_identifier(cluster):
    """Submits another job under an identifier that is already used."""
    job_id = cluster.mint()
    assert cluster.submit(job_id, TASKS).status_code == 200
    return cluster.submit(job_id, OTHER_TASKS, daemon=1)


def read_answer(connection: socket.socket) -> bytes:
    """Reads one response with a content length; returns its head in lower case."""
    received = b""
    while b"\r\n\r\n" not in received:
        chunk = connection.recv(4096)
        assert chunk, f"the connection was closed after {received!r}"
        received += chunk
    head, _, body = received.partition(b"\r\n\r\n")
    size = int(head.lower().partition(b"content-length:")[2].split()[0])
    while len(body) < size:
        chunk = connection.recv(4096)
        assert chunk, f"the connection was closed after {received + body!r}"
        body += chunk
    return head.lower() + b"\r\n"


INVALID_INPUTS = {
    "malformed JSON": lambda c: c.call("POST", "/v1/jobs", content=b'{"service": '),
    "a number that is not JSON": lambda c: c.call(
        "POST",
        "/v1/jobs",
        content=b'{"service": "enquiry", "tasks": [{"id": "t", "payload": NaN}]}',
    ),
    "an oversized body": lambda c: c.call(
        "POST", "/v1/jobs", content=b" " * (MAX_SUBMISSION_BYTES + 1)
    ),
    "an unknown service": lambda c: post_job(c, service="none"),
    "a task that never fits": lambda c: post_job(
        c, tasks=[{"id": "t", "needs": {"accelerators": 9}}]
    ),
    "an amount beyond 64 bits": lambda c: post_job(
        c, tasks=[{"id": "t", "needs": {"accelerators": 10**30}}]
    ),
    "two tasks with one id": lambda c: post_job(c, tasks=TASKS * 2),
    "an id of another job": reuse_identifier,
    "a malformed id": lambda c: c.call("GET", "/v1/jobs/none"),
    "an id of an unknown daemon": lambda c: c.call("GET", f"/v1/jobs/{'0' * 12}{c.mint()[12:]}"),
    "a timeout header out of range": lambda c: c.call(
        "POST", REQUESTS_PATH, headers={"Berylproxy-Timeout-S": "9999"}, json={}
    ),
    "an invalid repeatable header": lambda c: c.call(
        "POST", REQUESTS_PATH, headers={"Berylproxy-Repeatable": "maybe"}, json={}
    ),
    "a wait that is not a number": lambda c: c.call("GET", f"/v1/jobs/{c.mint()}?wait_s=nan"),
    "an unknown path": lambda c: c.call("GET", "/v1/none"),
    "an unknown method": lambda c: c.call("PATCH", "/v1/jobs"),
    "a record without a revision": lambda c: c.call("PUT", "/v1/records/pools/p", json={}),
}


def check_error(response, status: int, code: str) -> None:
    """Checks an error's status, code and one-line message."""
    assert response.status_code == status, (response.status_code, response.text)
    error = response.json()
    assert error["code"] == code, error
    assert error["message"] and "\n" not in error["message"], error


def has_refusal(cluster, reason: str) -> bool:
    """Returns whether daemon 0 has logged a refused handshake with the code and the reason."""
    lines = [json.loads(line) for line in cluster.read_log("d0").split("\n")[:-1]]
    return any(
        line.get("code") == PeerHandshakeError.code and reason in line["message"] for line in lines
    )


@given("the guarded cluster of 3 daemons in 2 failure domains")
def step_guarded_cluster(context):
    context.cluster = share_guarded_cluster(context)


@when("a job is running in the guarded cluster")
def step_running_job(context):
    cluster = context.cluster
    context.job_id = cluster.mint()
    executor = ThreadPoolExecutor(1)
    context.add_cleanup(executor.shutdown)
    context.pending_response = executor.submit(cluster.submit, context.job_id, LONG_TASKS)
    names = {f"{context.job_id}/{task['id']}" for task in LONG_TASKS}
    cluster.wait_until(lambda: names <= cluster.count_starts().keys(), "the tasks run")


@then("the running job gets its complete answer")
def step_running_job_answered(context):
    answer = context.pending_response.result().json()
    assert answer["outcome"] == "done", answer
    assert [result["id"] for result in answer["results"]] == [task["id"] for task in LONG_TASKS]
    assert all(daemon.is_running() for daemon in context.cluster.daemons)


@then("these invalid inputs are refused")
def step_invalid_inputs(context):
    for row in context.table:
        response = INVALID_INPUTS[row["input"]](context.cluster)
        check_error(response, int(row["status"]), row["code"])
        assert response.json()["outcome"] == row["outcome"], response.text


@when("a caller closes its connection within a request body")
def step_truncated_body(context):
    address = context.cluster.daemons[0].announced["http_address"]
    with connect(address) as connection:
        head = f"POST /v1/jobs HTTP/1.1\r\nHost: {address}\r\nContent-Length: 100\r\n\r\n"
        connection.sendall(head.encode() + b'{"service":')


@when("a client that is not a daemon sends HTTP to the peer port")
def step_http_to_peer_port(context):
    with connect(context.cluster.daemons[0].announced["peer_address"]) as connection:
        connection.sendall(b"GET / HTTP/1.1\r\nHost: peer\r\n\r\n")
        read_to_end(connection)  # raises if the daemon leaves the connection open


@then("that connection is closed and the log states the reason")
def step_refusal_logged(context):
    cluster = context.cluster
    cluster.wait_until(lambda: has_refusal(cluster, "not a daemon"), "the log line")


@then('the operators\' calls are refused with {status:d} "{code}" unless the token is valid')
def step_operator_calls(context, status, code):
    for method, path in (
        ("GET", "/v1/records/pools"),
        ("GET", "/v1/records/pools/pool"),
        ("PUT", "/v1/records/pools/pool"),
        ("DELETE", "/v1/records/pools/pool"),
        ("POST", "/v1/records/validate"),
        ("GET", "/v1/status"),
        ("GET", "/v1/usage"),
    ):
        for authorization in ("", "Bearer wrong-token", f"Basic {OPERATOR['Authorization'][7:]}"):
            headers = {"Authorization": authorization}
            check_error(context.cluster.call(method, path, headers=headers), status, code)
        if method == "GET":
            response = context.cluster.call(method, path)
            assert response.status_code == 200, (path, response.text)


@then('team calls without a token or with a wrong one are refused with {status:d} "{code}"')
def step_team_calls(context, status, code):
    wrong_tokens = ("", "Bearer wrong", f"Bearer {TEAM_TOKENS['south']}")
    for authorization in (*wrong_tokens, OPERATOR["Authorization"]):
        headers = {"Berylproxy-Team": "north", "Authorization": authorization}
        calls = [
            ("POST", "/v1/job-ids", {}),
            ("POST", "/v1/jobs", {"service": SERVICE, "tasks": TASKS}),
            ("POST", REQUESTS_PATH, {}),
            ("GET", "/v1/jobs/none", None),
            ("DELETE", "/v1/jobs/none", None),
        ]
        for method, path, body in calls:
            response = context.cluster.call(method, path, headers=headers, json=body)
            check_error(response, status, code)


@then('a team without a record is refused with {status:d} "{code}"')
def step_unknown_team(context, status, code):
    headers = {"Berylproxy-Team": "none"}
    check_error(context.cluster.call("POST", "/v1/job-ids", headers=headers, json={}), status, code)


@then("the right team token submits a job")
def step_right_team(context):
    assert post_job(context.cluster, team="north").json()["outcome"] == "done"


@when("a call without a token is sent whose body comes late")
def step_late_body(context):
    address = context.cluster.daemons[0].announced["http_address"]
    context.connection = connect(address)
    context.add_cleanup(context.connection.close)
    context.connection.sendall(UNAUTHORIZED_HEAD.encode())
    select([context.connection], [], [], LATE_BODY_S)
    context.connection.sendall(b"{}")


@then("the connection serves the next call unless the answer says that it closes")
def step_connection_goes_on(context):
    head = read_answer(context.connection)
    assert head.startswith(b"http/1.1 401 "), head
    if b"\r\nconnection: close\r\n" in head:
        return
    context.connection.sendall(UNAUTHORIZED_HEAD.encode() + b"{}")
    assert read_answer(context.connection).startswith(b"http/1.1 401 ")


@when("a call without a token is sent whose body never comes")
def step_no_body(context):
    address = context.cluster.daemons[0].announced["http_address"]
    context.connection = connect(address)
    context.add_cleanup(context.connection.close)
    context.connection.sendall(UNAUTHORIZED_HEAD.encode())


@then("the answer with status {status:d} says that the connection closes")
def step_answer_closes(context, status):
    head = read_answer(context.connection)
    assert head.startswith(b"http/1.1 %d " % status), head
    assert b"\r\nconnection: close\r\n" in head, head


@when('team "{team}" has submitted a job at daemon {daemon:d}')
def step_team_job(context, team, daemon):
    context.job_id = context.cluster.mint(daemon, team)
    response = context.cluster.submit(context.job_id, TASKS, daemon=daemon, team=team)
    assert response.status_code == 200, response.text


@then(
    'team "{team}" gets {status:d} "{code}" at each daemon '
    "for fetching, cancelling or submitting it"
)
def step_foreign_job(context, team, status, code):
    cluster, path = context.cluster, f"/v1/jobs/{context.job_id}"
    for daemon in range(len(cluster.daemons)):
        check_error(cluster.call("GET", path, daemon=daemon, team=team), status, code)
        check_error(cluster.call("DELETE", path, daemon=daemon, team=team), status, code)
        submitted = cluster.submit(context.job_id, TASKS, daemon=daemon, team=team)
        check_error(submitted, status, code)


@then('an unused id of team "{owner}" is refused for team "{team}" and accepted for team "{same}"')
def step_foreign_identifier(context, owner, team, same):
    cluster = context.cluster
    job_id = cluster.mint(team=owner)
    check_error(cluster.submit(job_id, TASKS, team=team), 400, "id_malformed")
    check_error(cluster.call("DELETE", f"/v1/jobs/{job_id}", team=team), 400, "id_malformed")
    assert cluster.submit(job_id, TASKS, team=same).json()["outcome"] == "done"


@when("a daemon with another peer key is started")
def step_other_key(context):
    cluster = context.cluster
    environment = cluster.environment
    cluster.environment = environment | {"BERYLPROXY_PEER_KEYS": OTHER_KEY}
    try:
        context.foreign_daemon = cluster.start_daemon(9, "a", "stranger")
    finally:
        cluster.environment = environment
    context.add_cleanup(context.foreign_daemon.kill)


@then("no daemon accepts the one with another peer key as a peer")
def step_other_key_refused(context):
    cluster = context.cluster
    cluster.wait_until(lambda: has_refusal(cluster, "no shared key"), "d0 has refused it")
    for daemon in range(len(cluster.daemons)):
        peers = {peer["daemon_id"] for peer in cluster.read_status(daemon)["peers"]}
        assert "d9" not in peers, peers
    url = f"http://{context.foreign_daemon.announced['http_address']}/v1/status"
    assert not cluster.client.get(url).json()["peers"]


@then("no secret appears in a log, a trace or a status")
def step_no_secrets(context):
    cluster = context.cluster
    texts = [path.read_text() for path in cluster.folder.iterdir() if path.is_file()]
    texts += [str(cluster.read_status(daemon)) for daemon in range(len(cluster.daemons))]
    assert any('"level"' in text for text in texts), "no log was read"
    for secret in (*SECRETS, OTHER_KEY):
        assert not any(secret in text for text in texts), f"{secret[:5]}... appears"
