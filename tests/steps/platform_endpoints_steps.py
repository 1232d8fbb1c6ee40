"""Steps that call a runner of the platform through the daemon's client."""

from math import isclose
from time import monotonic, sleep
from unittest.mock import patch

import httpx
from anyio import run
from behave import given, then, use_step_matcher, when

from berylproxy.durable.jobs.models import (
    EndKind,
    EndpointInfo,
    EndpointInstance,
    Resources,
    TaskName,
)
from berylproxy.durable.jobs.ports import EndpointCallError, StartOrder
from berylproxy.durable.learning.response_times import ResponseTimes, renewal_wait_s
from berylproxy.platform import endpoints
from berylproxy.platform.endpoints import PlatformEndpoint
from tests.support.platform_cluster import PlatformCluster

FENCE = 16
LEASE_S = 1.0
PATHS = {"start": "/-/run-start", "hold": "/-/hold"}

use_step_matcher("re")


def make_task_name(number):
    return TaskName(f"{number:016x}", 0, 0)


def call_runner(context, method, *arguments, **options):
    """Calls a method of a new client, which reads the runner's clock first."""

    async def call():
        client = PlatformEndpoint(context.runner_info, LEASE_S, ResponseTimes())
        with patch.object(endpoints, "CALL_TIMEOUT_S", context.call_timeout_s):
            if method == "start":
                await client.stop(make_task_name(0xFF), 1, FENCE)
            try:
                return await getattr(client, method)(*arguments, **options)
            finally:
                await client.close()

    return run(call)


def control(context, name, **content):
    url = f"http://{context.runner_info.address}/control/{name}"
    return httpx.post(url, json=content, trust_env=False).raise_for_status()


@given(r"a runner whose tasks take (?P<run_time>[\d.]+) s, and a client of it with .* for calls")
def step_impl(context, run_time):
    cluster = PlatformCluster(context.folder, 0, 0, float(run_time))
    context.add_cleanup(cluster.close)
    cluster.start()
    process = context.runner_process = cluster.start_runner(0)
    instance = EndpointInstance(process.name, 0)
    address = f"127.0.0.1:{process.announced['port']}"
    context.runner_info = EndpointInfo(instance, "ledger", address, "a", Resources(64_000, 1_000))
    context.call_timeout_s = 20.0


@given(r"its client has a timeout of (?P<timeout>[\d.]+) s for calls")
def step_impl(context, timeout):
    context.call_timeout_s = float(timeout)


@when(
    r"the next (?:(?P<count>\d+) )?calls? to (?P<call>\w+) (?:is|are) left unanswered"
    r" and carried out (?P<late>[\d.]+) s late"
)
def step_impl(context, count, call, late):
    control(
        context,
        "unanswered",
        path=PATHS[call],
        calls=int(count or 1),
        carried_out_after_s=float(late),
    )


def start_task(context, number, run_number=1):
    order = StartOrder(make_task_name(int(number)), run_number, "", FENCE)
    return call_runner(context, "start", order)


@given(r"the runner has run task (?P<number>\d+) under a higher number")
def step_impl(context, number):
    start_task(context, number, 2)
    call_runner(context, "stop", make_task_name(int(number)), 2, FENCE)


@when(r"task (?P<number>\d+) runs on the runner")
def step_impl(context, number):
    assert start_task(context, number).value == "started"


@then(
    r'an order to start task (?P<number>\d+) is answered with "(?P<outcome>\w+)"'
    r" within (?P<limit>\d+) s"
)
def step_impl(context, number, outcome, limit):
    started_s = monotonic()
    answered = start_task(context, number)
    assert answered.value == outcome, answered
    assert monotonic() - started_s < float(limit)


@then(r"a call to stop task (?P<number>\d+) is answered within (?P<limit>\d+) s")
def step_impl(context, number, limit):
    started_s = monotonic()
    call_runner(context, "stop", make_task_name(int(number)), 1, FENCE)
    assert monotonic() - started_s < float(limit)


@then(r"after (?P<delay>\d+) s the runner has started task (?P<number>\d+) once")
def step_impl(context, delay, number):
    sleep(float(delay))
    url = f"http://{context.runner_info.address}/control/history"
    history = httpx.get(url, trust_env=False).json()["history"]
    name = list(make_task_name(int(number)))
    starts = [event for event in history if event[1] == "start" and event[2] == name]
    assert len(starts) == 1, history


@then(
    r"a renewal that waits (?P<wait>[\d.]+) s for an end reports the end of task (?P<number>\d+)"
    r" within (?P<limit>\d+) s"
)
def step_impl(context, wait, number, limit):
    started_s = monotonic()
    report = call_runner(context, "renew", FENCE, 0, float(wait), extend=False)
    ends = [(end.name, end.kind) for end in report.ended]
    assert ends == [(make_task_name(int(number)), EndKind.DONE)], report
    assert monotonic() - started_s < float(limit)


@when(r"the runner's process ends")
def step_impl(context):
    context.runner_process.kill()


@then(r'a renewal ends with "(?P<code>\w+)"')
def step_impl(context, code):
    try:
        call_runner(context, "renew", FENCE, 0, 0.0, extend=False)
    except EndpointCallError as error:
        assert error.code == code, repr(error)
    else:
        raise AssertionError("the renewal was answered")


@given(r"response times of (?P<times>.+) s")
def step_impl(context, times):
    context.response_times = ResponseTimes()
    for took in times.split(", ") if times != "none" else ():
        context.response_times.add(float(took))


@then(r"a call without an answer is overdue after (?P<least>[\d.]+) to (?P<most>[\d.]+) s")
def step_impl(context, least, most):
    patience_s = context.response_times.patience_s
    assert float(least) <= patience_s <= float(most), patience_s


@then(
    r"with (?P<remaining>[-\d.]+) s to the next expected end an endpoint may wait"
    r" (?P<wait>[\d.]+) s"
)
def step_impl(context, remaining, wait):
    assert isclose(renewal_wait_s(float(remaining)), float(wait))


use_step_matcher("parse")
