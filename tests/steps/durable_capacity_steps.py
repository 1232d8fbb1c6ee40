"""Steps for endpoints whose capacity changes."""

from dataclasses import replace
from time import monotonic

from behave import given, then, use_step_matcher, when

from berylproxy.durable.models import Resources
from standins.runner_model import ModelRun, RunnerModel
from tests.support.endpoint_world import LEASE_S
from tests.support.runs import most_active_runs

LIST_GRACE_S = 0.3

use_step_matcher("re")


@given(r"a stop takes (?P<stop_time_s>[\d.]+) s at each endpoint")
def step_impl(context, stop_time_s):
    for endpoint in context.holder_world.endpoints:
        endpoint.stop_time_s = float(stop_time_s)


@given(r"endpoint (?P<number>\d+) shrinks to (?P<cores>\d+) cores and (?P<memory_mb>\d+) MB")
@when(
    r"endpoint (?P<number>\d+) (?:shrinks|grows) to (?P<cores>\d+) cores and "
    r"(?P<memory_mb>\d+) MB"
)
def step_impl(context, number, cores, memory_mb):
    world = context.holder_world
    capacity = Resources(int(cores) * 1000, int(memory_mb))
    # The list is read again only after some time, in which the former capacity counts.
    world.endpoints[int(number) - 1].shrink_grace_s = LIST_GRACE_S
    world.portal.call(world.endpoints[int(number) - 1].resize, capacity)


@when(r'the endpoint without runs shrinks to 2 cores and runs the task of job "(?P<name>\w+)", too')
def step_impl(context, name):
    world = context.holder_world

    def run_again():
        (first,) = [endpoint for endpoint in world.endpoints if endpoint.running]
        (second,) = [endpoint for endpoint in world.endpoints if not endpoint.running]
        second.resize(replace(second.info.capacity, cpu_millicores=2_000))
        ((key, run),) = first.running.items()
        now_s = monotonic()
        second.running[key] = ModelRun(run.name, run.run, now_s, now_s + second.run_time_s)
        second.lease_end_s = now_s + LEASE_S
        context.second_endpoint = second

    world.portal.call(run_again)


@when(r'the second endpoint with the task of job "\w+" grows to (?P<cores>\d+) cores')
def step_impl(context, cores):
    second: RunnerModel = context.second_endpoint
    capacity = replace(second.info.capacity, cpu_millicores=int(cores) * 1000)
    context.holder_world.portal.call(second.resize, capacity)


@when(
    r'job "(?P<name>\w+)" of (?P<tasks>\d+) tasks? of (?P<cores>\d+) cores and '
    r"(?P<memory_mb>\d+) MB is submitted"
)
def step_impl(context, name, tasks, cores, memory_mb):
    needs = Resources(int(cores) * 1000, int(memory_mb))
    context.holder_world.submit(name, int(tasks), needs=needs)


@then(r"no start has brought an endpoint over its capacity")
def step_impl(context):
    overfills = [endpoint.overfills for endpoint in context.holder_world.endpoints]
    assert not any(overfills), overfills


@then(r'at most (?P<count>\d+) runs? of job "(?P<name>\w+)" was active at a time')
def step_impl(context, count, name):
    world = context.holder_world
    events = [event for endpoint in world.endpoints for event in endpoint.history]
    most = most_active_runs(event for event in events if event[2].job_id == name)
    assert most <= int(count), most


@then(r"endpoint (?P<number>\d+) has started (?P<count>\d+) runs")
def step_impl(context, number, count):
    history = context.holder_world.endpoints[int(number) - 1].history
    started = [event for event in history if event[1] == "start"]
    assert len(started) == int(count), [e.history for e in context.holder_world.endpoints]
