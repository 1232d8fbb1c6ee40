"""Steps that call the platform's ASGI application without a server."""

import json

from anyio import (
    Event,
    create_task_group,
    move_on_after,
    run,
    sleep_forever,
    wait_all_tasks_blocked,
)
from behave import given, then, when

from berylproxy.durable.orders.telemetry import Telemetry
from berylproxy.platform.callers import CallerApplication
from berylproxy.platform.configuration import decode_configuration
from tests.support.platform_cluster import HOST, PREFIX, make_configuration

JOB_PATH = PREFIX + "00000000000000aa"
DURABLE_JOB = {"spec": "", "steps": [{"count": 1, "cpu": 1000}]}
REQUESTS = {
    "a submission of a durable job": ("POST", JOB_PATH, DURABLE_JOB),
    "a submission of a job": ("POST", JOB_PATH, DURABLE_JOB | {"best-effort": True}),
    "a request for a job's state": ("GET", JOB_PATH, None),
    "a cancellation of a job": ("DELETE", JOB_PATH, None),
    "a request for the pending jobs": ("GET", PREFIX, None),
}
RESPONSE_TIMEOUT_S = 1.0


class SilentFrontend:
    """Stands in for a job frontend whose holders never answer."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def __getattr__(self, name: str):
        async def wait(*_: object) -> None:
            self.calls.append(name)
            await sleep_forever()

        return wait


async def play(context) -> list[dict]:
    """Sends the request and abandons waiting ones, in the order of the steps."""
    sent, answered = [], Event()

    async def receive() -> dict:
        if not messages:
            await sleep_forever()
        return messages.pop()

    async def send(message: dict) -> None:
        sent.append(message)
        if message["type"] == "http.response.body":
            answered.set()

    async with create_task_group() as task_group:
        for action in context.actions:
            if action == "abandon":
                context.application.abandon_waiting_requests()
                continue
            method, path, content = REQUESTS[action]
            body = json.dumps(content).encode() if content else b""
            messages = [{"type": "http.request", "body": body}]
            scope = {
                "type": "http",
                "method": method,
                "path": path,
                "headers": [(b"host", HOST.encode())],
                "server": ("127.0.0.1", 1),
            }
            task_group.start_soon(context.application, scope, receive, send)
            await wait_all_tasks_blocked()
        with move_on_after(RESPONSE_TIMEOUT_S):
            await answered.wait()
        task_group.cancel_scope.cancel()
    return sent


@given("the platform's application, whose jobs are never answered")
def step_application(context):
    configuration = decode_configuration(json.dumps(make_configuration(1, [PREFIX])).encode())
    context.frontend = SilentFrontend()
    context.application = CallerApplication(
        context.frontend,
        lambda: configuration,
        sleep_forever,
        lambda: True,
        lambda: True,
        Telemetry(),
        dict,
    )
    context.actions = []


@when("the application receives {request}")
def step_send(context, request):
    context.actions.append(request)


@when("the waiting requests are abandoned")
def step_abandon(context):
    context.actions.append("abandon")


@then("the caller is answered {status:d} with Retry-After")
def step_answered(context, status):
    sent = run(play, context)
    assert [message.get("status") for message in sent[:1]] == [status], sent
    assert b"retry-after" in dict(sent[0]["headers"]), sent


@then("no job was submitted")
def step_no_job(context):
    assert not context.frontend.calls, context.frontend.calls
