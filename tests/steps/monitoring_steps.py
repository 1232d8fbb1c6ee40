"""Steps that check traces, status, metrics and settings of real daemon processes."""

import os
import ssl
import subprocess
import sys
from importlib import import_module
from pkgutil import walk_packages
from secrets import token_hex

from behave import given, then, when
from httpx import Client, ConnectError, HTTPError

import berylproxy
from berylproxy.errors import BerylproxyError
from standins.process import ROOT, ManagedProcess
from tests.support.cluster import SERVICE

DAEMON = ["-m", "berylproxy.daemon"]
UNUSED_STORE_URL = "http://127.0.0.1:1"
SHORT_KEY = "short-key"
NON_LOOPBACK_VARIABLES = {
    "BERYLPROXY_HTTP_ADDRESS": "192.0.2.1:0",
    "BERYLPROXY_PEER_ADDRESS": "192.0.2.1:0",
    "BERYLPROXY_STORE_URLS": UNUSED_STORE_URL,
    "BERYLPROXY_DAEMON_ID": "d0",
    "BERYLPROXY_FAILURE_DOMAIN": "a",
}
START_TIMEOUT_S = 30.0
VM_LIST_TIMEOUT_S = 20.0


def run_failing_daemon(context, variables: dict[str, str]) -> None:
    """Runs a daemon that must end by itself, as its settings are invalid."""
    context.ended = subprocess.run(
        [sys.executable, *DAEMON],
        cwd=ROOT,
        env=os.environ | variables,
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_S,
        check=False,
    )


@when(
    "a daemon starts on non-loopback addresses with a wrong name, a short key and no files for TLS"
)
def step_start_with_invalid_settings(context):
    invalid_variables = {
        "BERYLPROXY_DAEMON_ID": "Wrong Name",
        "BERYLPROXY_PEER_KEYS": SHORT_KEY,
        "BERYLPROXY_TLS_CERTIFICATE": "/none/certificate.pem",
        "BERYLPROXY_TLS_KEY": "/none/key.pem",
    }
    run_failing_daemon(context, NON_LOOPBACK_VARIABLES | invalid_variables)


@when("a daemon starts on non-loopback addresses without tokens and keys")
def step_start_without_secrets(context):
    run_failing_daemon(context, NON_LOOPBACK_VARIABLES)


@then('it exits with status {status:d} and reports problems of "{names}"')
def step_ends_with_problems(context, status, names):
    assert context.ended.returncode == status, context.ended
    lines = context.ended.stderr.splitlines()
    assert all(line.startswith("berylproxyd: settings_invalid: ") for line in lines), lines
    for name in names.split(", "):
        assert any(f"settings_invalid: {name}: " in line for line in lines), (name, lines)


@then("its output does not show the short key")
def step_key_hidden(context):
    assert SHORT_KEY not in context.ended.stderr + context.ended.stdout


@given("a daemon with a certificate made for this test")
def step_tls_daemon(context):
    start_tls_daemon(context, {})


def start_tls_daemon(context, settings):
    """Starts a daemon with a certificate and further settings."""
    context.certificate = context.folder / "certificate.pem"
    key = context.folder / "key.pem"
    command = ["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2"]
    command += ["-subj", "/CN=localhost"]
    command += ["-addext", "subjectAltName=IP:127.0.0.1"]
    command += ["-keyout", str(key), "-out", str(context.certificate)]
    subprocess.run(command, check=True, capture_output=True)
    variables = {
        "BERYLPROXY_DAEMON_ID": "tls",
        "BERYLPROXY_FAILURE_DOMAIN": "a",
        "BERYLPROXY_HTTP_ADDRESS": "127.0.0.1:0",
        "BERYLPROXY_PEER_ADDRESS": "127.0.0.1:0",
        "BERYLPROXY_STORE_URLS": UNUSED_STORE_URL,
        "BERYLPROXY_TLS_CERTIFICATE": str(context.certificate),
        "BERYLPROXY_TLS_KEY": str(key),
        **settings,
    }
    context.tls_daemon = daemon = ManagedProcess(
        "tls", DAEMON, context.folder, environment=variables
    )
    context.add_cleanup(daemon.kill)
    daemon.start()
    context.tls_address = daemon.announced["http_address"]


@then("a caller that trusts the certificate can read /healthz")
def step_trusting_caller_served(context):
    ssl_context = ssl.create_default_context(cafile=str(context.certificate))
    with Client(trust_env=False, verify=ssl_context) as client:
        assert client.get(f"https://{context.tls_address}/healthz").status_code == 200


@then("a caller that does not trust the certificate gets no connection")
def step_distrusting_caller_rejected(context):
    with Client(trust_env=False, verify=ssl.create_default_context()) as client:
        try:
            client.get(f"https://{context.tls_address}/healthz")
        except ConnectError as error:
            assert "CERTIFICATE_VERIFY_FAILED" in str(error), error
        else:
            raise AssertionError("the connection was accepted")


@then("a plain HTTP caller gets no HTTP answer")
def step_plain_http_rejected(context):
    with Client(trust_env=False) as client:
        try:
            response = client.get(f"http://{context.tls_address}/healthz")
        except HTTPError:
            return
    raise AssertionError(f"answered with {response.status_code}")


@when("a caller with its own trace context submits a job to daemon 1 under an id of daemon 0")
def step_traced_job(context):
    cluster = context.cluster
    context.trace_id, context.caller_span_id = token_hex(16), token_hex(8)
    context.job_id = cluster.mint(0)
    headers = {"traceparent": f"00-{context.trace_id}-{context.caller_span_id}-01"}
    tasks = [{"id": "t0", "payload": {}}]
    response = cluster.submit(context.job_id, tasks, daemon=1, headers=headers)
    assert response.status_code == 200, response.text


@then(
    "the trace has spans of daemon 1 for admitting and forwarding, "
    "of daemon 0 for serving and sending"
)
def step_spans(context):
    cluster = context.cluster
    expected = [("admit", "d1"), ("forward", "d1"), ("send", "d0"), ("serve", "d0")]

    def read() -> list[tuple[str, str]]:
        context.spans = {span["name"]: span for span in cluster.read_spans(context.trace_id)}
        return sorted(
            (name, span["resource"]["attributes"]["service.instance.id"])
            for name, span in context.spans.items()
        )

    cluster.wait_until(lambda: read() == expected, "the spans")


@then(
    "each span's parent is the span of the previous hop, and of the first span that of the caller"
)
def step_parents(context):
    parent_id = f"0x{context.caller_span_id}"
    for name in ("admit", "forward", "serve", "send"):
        assert context.spans[name]["parent_id"] == parent_id, (name, context.spans[name])
        parent_id = context.spans[name]["context"]["span_id"]


@then("the endpoint received the trace context of the send span")
def step_endpoint_context(context):
    received_traceparents = {
        event["traceparent"]
        for event in context.cluster.read_events()
        if event["task_id"].startswith(f"{context.job_id}/")
    }
    span_id = context.spans["send"]["context"]["span_id"].removeprefix("0x")
    assert received_traceparents == {f"00-{context.trace_id}-{span_id}-01"}, received_traceparents


def scrape(cluster) -> str:
    """Returns the metrics of daemon 0 in the text format."""
    return cluster.call("GET", "/metrics", headers={"Accept": "text/plain"}).text


def read_count(text: str, series: str) -> float:
    """Returns the value of a time series; 0 if it has none yet."""
    for line in text.splitlines():
        if line.startswith(f"{series} "):
            return float(line.rpartition(" ")[2])
    return 0.0


@when("a job of 3 tasks that all run and a job with a task that fails have ended at daemon 0")
def step_counted_jobs(context):
    cluster = context.cluster
    context.before = scrape(cluster)
    tasks = [{"id": f"t{number}", "payload": {}} for number in range(3)]
    assert cluster.submit(cluster.mint(), tasks).json()["outcome"] == "done"
    failing = [{"id": "t0", "payload": {"fail": True}}]
    body = {"id": cluster.mint(), "service": SERVICE, "tasks": failing}
    assert cluster.call("POST", "/v1/jobs", json=body).json()["outcome"] == "failed"


@then("the counters of daemon 0 have increased as follows")
def step_counts_grown(context):
    expected = {row["series"]: float(row["growth"]) for row in context.table}

    def read() -> dict[str, float]:
        context.scrape = scrape(context.cluster)
        return {
            series: read_count(context.scrape, series) - read_count(context.before, series)
            for series in expected
        }

    context.cluster.wait_until(lambda: read() == expected, "the counts")


@then('the scrape declares "{series}" as a counter')
def step_counter_type(context, series):
    assert f"# TYPE {series} counter" in context.scrape, context.scrape


def wait_for_leaving_states(cluster, expected: set[bool]) -> None:
    """Waits until, in each daemon's status, the endpoints' ``leaving`` fields have these values."""

    def read(daemon: int) -> set[bool]:
        return {endpoint["leaving"] for endpoint in cluster.read_status(daemon)["endpoints"]}

    daemons = range(len(cluster.daemons))
    cluster.wait_until(
        lambda: all(read(daemon) == expected for daemon in daemons),
        f"leaving is {expected}",
        VM_LIST_TIMEOUT_S,
    )


@when("the list of VMs says that the VM of all endpoints is leaving")
def step_vms_leaving(context):
    vm_entry = {"name": "vm", "host": "127.0.0.1", "failure_domain": "a", "state": "leaving"}
    context.cluster.control(context.cluster.store, vms=[vm_entry])


@when("the list of VMs is malformed")
def step_vms_malformed(context):
    context.cluster.control(context.cluster.store, vms=[{"name": "vm", "state": "gone"}])


@when("the list of VMs is empty again")
def step_vms_empty(context):
    context.cluster.control(context.cluster.store, vms=[])


@then("each daemon's status shows all endpoints as leaving")
def step_all_leaving(context):
    wait_for_leaving_states(context.cluster, {True})


@then("each daemon logs that the list can't be read, and shows all endpoints as leaving")
def step_list_logged(context):
    cluster = context.cluster
    for daemon in cluster.daemons:
        cluster.wait_until(
            lambda daemon=daemon: "the list of VMs can't be read" in cluster.read_log(daemon.name),
            f"{daemon.name} logs that the list can't be read",
            VM_LIST_TIMEOUT_S,
        )
    wait_for_leaving_states(cluster, {True})


@then("each daemon's status shows no endpoint as leaving")
def step_none_leaving(context):
    wait_for_leaving_states(context.cluster, {False})


def list_codes(error: type[BerylproxyError]) -> set[str]:
    """Returns the codes of an error class and its subclasses in the package."""
    own = {error.code} if error.__module__.startswith("berylproxy.") else set()
    return own.union(*(list_codes(derived) for derived in error.__subclasses__()))


@then("the operations page lists each error's code")
def step_codes_explained(context):
    for module in walk_packages(berylproxy.__path__, "berylproxy."):
        if not module.name.endswith("__main__"):
            import_module(module.name)
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    missing = [code for code in sorted(list_codes(BerylproxyError)) if f"`{code}`" not in page]
    assert not missing, missing
