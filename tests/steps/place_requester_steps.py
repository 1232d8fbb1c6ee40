"""Steps for the demand and reports that a home sends to the holders of slots."""

from types import SimpleNamespace

from behave import given, then, when

from berylproxy.collect.job import Job
from berylproxy.models import DaemonIdentity, Submission, Task
from berylproxy.place.requester import SlotRequester
from berylproxy.waiting.queue import WaitingQueue
from tests.support.place_world import SERVICE, make_configuration


@given("a home whose holder is another daemon")
def step_home(context):
    context.now_s = 100.0
    context.updates = []
    context.holder_reachable = True
    context.queue = WaitingQueue()
    home = DaemonIdentity("d1", "home", "fd-b", "127.0.0.1:2")
    holder = DaemonIdentity("d0", "holder", "fd-a", "127.0.0.1:1")
    context.requester = SlotRequester(
        home,
        SimpleNamespace(now_s=lambda: context.now_s),
        context.queue,
        lambda _, message: context.updates.append(message),
        lambda run, slot: None,
        lambda incarnation: context.holder_reachable,
    )
    context.requester.update_members([home, holder])
    context.requester.configure(make_configuration({"e0": 1}))


@when("a task starts to wait at the home")
def step_task(context):
    task = Task("t1", b"", "", {})
    job = Job(Submission("j", "", "team", SERVICE, (task,), 30.0, False, ""), context.now_s, 30.0)
    context.queue.push(job.runs[0])


@when("{duration:g} s pass with a flush every {interval:g} s")
def step_pass_with_flushes(context, duration, interval):
    for _ in range(round(duration / interval)):
        context.requester.flush()
        context.now_s += interval


@when("the holder is unreachable for {duration:g} s")
def step_unreachable(context, duration):
    context.holder_reachable = False
    context.requester.flush()
    context.now_s += duration
    context.holder_reachable = True


@then("{count:d} updates were sent to the holder, all with the slots in use")
def step_updates(context, count):
    assert len(context.updates) == count, len(context.updates)
    assert all(update.held is not None for update in context.updates)


@then("the holder received demand for the task at least {count:d} times")
def step_demand_repeated(context, count):
    demand_updates = [update for update in context.updates if update.entries]
    assert len(demand_updates) >= count, len(demand_updates)
