"""Steps for berylctl, which runs in the test's process against fake daemons."""

import json
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when

from berylproxy.cli.core import main
from berylproxy.environment import Environment
from berylproxy.exit_status import ExitStatus
from tests.support.fake_daemon import MISSING_POOL, FakeCluster, FakeDaemon, Fault, serve_daemons

POOL = {"kind": "pools", "name": "oak", "record": {"schema_version": 1}}
NEWER_POOL = {"kind": "pools", "name": "elm", "record": {"schema_version": 99}}
ENDPOINT = {
    "kind": "endpoints",
    "name": "e1",
    "record": {
        "schema_version": 1,
        "pool": "oak",
        "url": "http://127.0.0.1:9001",
        "slots": 8,
        "connections": 64,
        "owner": "owner-a",
        "failure_domain": "domain-a",
    },
}
MISSPELT_ENDPOINT = {**ENDPOINT, "record": {**ENDPOINT["record"], "slotz": 8}}
ENDPOINT_OF_MISSING_POOL = {**ENDPOINT, "record": {**ENDPOINT["record"], "pool": MISSING_POOL}}


def enter_for_scenario(context, manager):
    """Enters a context manager that is left at the end of the scenario."""
    entered = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    return entered


def write_records(context, *records):
    folder = Path(enter_for_scenario(context, TemporaryDirectory(prefix="berylctl-")))
    context.record_file = folder / "records.json"
    context.record_file.write_text(json.dumps(list(records)))


def run_berylctl(context, arguments, on_terminal=False):
    words = arguments.replace("FILE", str(getattr(context, "record_file", ""))).split()
    context.output = StringIO()
    context.errors = StringIO()
    environment = Environment(
        stdin=StringIO(context.input),
        stdout=context.output,
        stderr=context.errors,
        stderr_is_terminal=on_terminal,
        variables=context.variables,
    )
    context.status = main(words, environment)


@given("berylctl is configured with two fake daemons")
def step_daemons(context):
    context.cluster = FakeCluster()
    context.daemons = [FakeDaemon(name, context.cluster) for name in ("a", "b")]
    enter_for_scenario(context, serve_daemons(*context.daemons))
    urls = ",".join(daemon.base_url for daemon in context.daemons)
    context.variables = {"BERYLPROXY_URL": urls}
    context.input = ""


@given("standard input is '{text}'")
def step_input(context, text):
    context.input = text


@given("the first fake daemon will {fault}")
def step_fault(context, fault):
    context.daemons[0].faults.append(Fault[fault])


@given('the variable {name} is "{value}"')
def step_variable(context, name, value):
    context.variables[name] = value


@given("a file of the record pools/oak")
def step_pool_file(context):
    write_records(context, POOL)


@given("a file of the records pools/oak and endpoints/e1")
def step_records_file(context):
    write_records(context, POOL, ENDPOINT)


@given("a file of the record failure-domains/north that says it is {state}")
def step_failure_domain_file(context, state):
    record = {"schema_version": 1, state: True}
    write_records(context, {"kind": "failure-domains", "name": "north", "record": record})


@given("a file of the record pools/oak and a misspelt endpoint")
def step_invalid_record_file(context):
    write_records(context, POOL, MISSPELT_ENDPOINT)


@given("a file of the record pools/oak and an endpoint of a pool that does not exist")
def step_missing_pool_file(context):
    write_records(context, POOL, ENDPOINT_OF_MISSING_POOL)


@given("a file of a record in a schema version that only the daemon knows")
def step_newer_schema_file(context):
    write_records(context, NEWER_POOL)


@given("the platform's store is down for the fake daemons")
def step_store_down(context):
    context.cluster.store_is_down = True


@when('the user runs ""')
def step_run_nothing(context):
    run_berylctl(context, "")


@when('the user runs "{arguments}"')
def step_run(context, arguments):
    run_berylctl(context, arguments)


@when('the user runs "{arguments}" on a terminal')
def step_run_on_terminal(context, arguments):
    run_berylctl(context, arguments, on_terminal=True)


@then('berylctl exits with {status} and the error "{code}"')
def step_error(context, status, code):
    errors = context.errors.getvalue()
    assert context.status is ExitStatus[status], (context.status, errors)
    assert errors.startswith(f"berylctl: {code}: "), errors
    assert errors.endswith("\n"), errors
    assert errors.count("\n") == 1, errors


@then('berylctl exits with {status} and prints "{text}"')
def step_prints(context, status, text):
    assert context.status is ExitStatus[status], (context.status, context.errors.getvalue())
    assert text in context.output.getvalue(), context.output.getvalue()


@then("berylctl exits with {status} and prints exactly ''")
def step_prints_nothing(context, status):
    step_prints_exactly(context, status, "")


@then("berylctl exits with {status} and prints exactly '{text}'")
def step_prints_exactly(context, status, text):
    assert context.status is ExitStatus[status], (context.status, context.errors.getvalue())
    assert context.output.getvalue() == text, context.output.getvalue()


@then('the error contains "{text}"')
@then('standard error contains "{text}"')
def step_error_contains(context, text):
    assert text in context.errors.getvalue(), context.errors.getvalue()


@then("standard error is empty")
def step_no_errors(context):
    assert context.errors.getvalue() == "", context.errors.getvalue()


@then("both jobs had the same {count:d} tasks of {shortest_s:g} to {longest_s:g} s")
def step_same_tasks(context, count, shortest_s, longest_s):
    first, second = (body["tasks"] for body in context.cluster.contents)
    assert first == second
    run_times_s = [task["payload"]["run_time_s"] for task in first]
    assert len(run_times_s) == count
    assert shortest_s <= min(run_times_s) < max(run_times_s) <= longest_s


@then('the fake daemons received the team "{team}" and the token "{token}"')
def step_token(context, team, token):
    assert set(context.cluster.callers) == {(team, f"Bearer {token}")}, context.cluster.callers


@then("the records are at revision {revision:d}")
def step_revision(context, revision):
    assert context.cluster.revision == revision, context.cluster.records
