"""Steps for daemons that fail to start."""

import socket
from io import StringIO

from behave import given, then, when

from berylproxy.daemon.core import main
from berylproxy.environment import Environment
from berylproxy.exit_status import ExitStatus

FREE_ADDRESS = "127.0.0.1:0"


@given("an address that is in use")
def step_in_use(context):
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(context.listener.close)
    context.in_use = f"127.0.0.1:{context.listener.getsockname()[1]}"


@when("a daemon is started with {flag} {value}")
def step_start(context, flag, value):
    flags = {"--http-address": FREE_ADDRESS, "--peer-address": FREE_ADDRESS}
    flags[flag] = value.replace("IN_USE", context.in_use)
    arguments = ["--daemon-id", "d", "--failure-domain", "fd", "--store-urls", "http://127.0.0.1:1"]
    for name, setting in flags.items():
        arguments += [name, setting]
    context.stderr = StringIO()
    env = Environment(StringIO(), StringIO(), context.stderr)
    context.exit_status = main(arguments, env)


@then('it ends as {status} with the one line "{beginning}"')
def step_ends(context, status, beginning):
    error_lines = [
        line for line in context.stderr.getvalue().splitlines() if not line.startswith("{")
    ]
    assert context.exit_status is ExitStatus[status], context.exit_status
    assert len(error_lines) == 1, error_lines
    assert error_lines[0].startswith(beginning), error_lines
