"""Steps on requests about jobs while the groups of some services are not known."""

from collections import Counter
from types import SimpleNamespace
from unittest.mock import patch

from anyio import create_task_group, run
from behave import given, then, use_step_matcher, when

from berylproxy.clock import MonotonicClock
from berylproxy.durable.entry import frontend
from berylproxy.durable.entry.frontend import JobFrontend, ResultUnknownError
from berylproxy.durable.holding.divisions import ServiceDivisions
from berylproxy.durable.holding.groups import Division
from berylproxy.durable.holding.records import division_key, encode_division
from berylproxy.durable.holding.tombstones import Tombstones
from berylproxy.durable.holding.tracked_groups import TrackedGroups
from berylproxy.durable.jobs.messages import StateReply
from berylproxy.durable.jobs.models import JobState
from berylproxy.durable.orders.telemetry import Telemetry
from berylproxy.peers.membership import PeerLostError
from berylproxy.store.port import Entry
from tests.support.endpoint_world import FakeDirectory, FakeJobStore

NO_HOLDER_WAIT_S = 0.1
CALLER_WAIT_S = 1.0

use_step_matcher("re")


class Holders:
    """The holders of all groups, one for each service, as an entry daemon's network."""

    def __init__(self) -> None:
        self.jobs = {("ledger", "j1")}
        self.silent: set[str] = set()
        self.asked: list[str] = []

    async def request(self, incarnation, message, timeout_s):
        self.asked.append(message.group)
        if message.group in self.silent:
            raise PeerLostError("no reply")
        has_job = (message.group, message.job_id) in self.jobs
        return StateReply(JobState.RUNNING.value if has_job else "")


def write_division(context, service, value=None):
    """Writes a service's division to the store as another daemon would."""
    key = division_key(service)
    context.job_store.entries[key] = Entry(key, value or encode_division(Division(1)), 1)


def divide(context, service):
    """Divides a service into one group, which the daemon knows."""
    write_division(context, service)
    run(context.service_divisions.load, service)


@given(r'an entry daemon of the services "ledger" and "reserve", and the holder of "ledger" has .+')
def step_impl(context):
    context.job_store, context.holders = FakeJobStore(), Holders()
    clock = MonotonicClock()
    context.service_divisions = ServiceDivisions(
        context.job_store, FakeDirectory([]), clock, lambda: [48], lambda: True
    )
    run(context.service_divisions.list_stored)
    coordinator = SimpleNamespace(
        divisions=context.service_divisions,
        tracked_groups=TrackedGroups(),
        holder_incarnation=lambda group: f"holder of {group}",
        own_incarnation="own",
        tombstones=Tombstones(context.job_store, clock),
    )
    context.frontend = JobFrontend(
        context.holders, coordinator, context.job_store, clock, Telemetry()
    )
    context.services = ["ledger", "reserve"]
    divide(context, "ledger")


@given(r'"reserve" (?P<state>.+?)(?P<has_job> and has job "j2")?')
def step_impl(context, state, has_job):
    match state:
        case "has a division that the daemon hasn't read":
            write_division(context, "reserve")
        case "has an unreadable division":
            write_division(context, "reserve", b"\xc1")
        case "is new, and the store is down":
            context.job_store.is_out = True
        case "is new and has no division yet":
            pass
        case state if "since the daemon started" in state:
            context.service_divisions.are_listed = False
            write_division(context, "reserve", b"\xc1" if "unreadable" in state else None)
            context.job_store.is_out = "store is down" in state
        case _:
            divide(context, "reserve")
    if "silent" in state:
        context.holders.silent.add("reserve")
    if "removed" in state or "not configured" in state:
        context.services.remove("reserve")
    if has_job:
        context.holders.jobs.add(("reserve", "j2"))


@given(r"20 further services, of which each second one is divided")
def step_impl(context):
    for number in range(20):
        context.services.append(f"s{number}")
        if number % 2:
            divide(context, f"s{number}")


@when(r'a caller (?P<request>cancels|asks for) job "(?P<job_id>\w+)" of "ledger"')
def step_impl(context, request, job_id):
    call = context.frontend.cancel if request == "cancels" else context.frontend.find_state
    context.holders.asked.clear()
    context.job_store.reads.clear()
    context.job_store.commits = 0

    async def ask():
        async with create_task_group() as task_group:
            task_group.start_soon(context.frontend._coordinator.tombstones.run)
            try:
                context.job_answer = await call(context.services, job_id, CALLER_WAIT_S)
            except ResultUnknownError as error:
                context.job_answer = error
            task_group.cancel_scope.cancel()

    with patch.object(frontend, "NO_HOLDER_WAIT_S", NO_HOLDER_WAIT_S):
        run(ask)


@then(r'the answer is (?P<answer>"running"|that there is none|not known)')
def step_impl(context, answer):
    if answer == "not known":
        assert isinstance(context.job_answer, ResultUnknownError), context.job_answer
        return
    expected = JobState.RUNNING if answer == '"running"' else None
    assert context.job_answer is expected, context.job_answer


@then(r'only the holder of "ledger" was asked, and the store was read 0 times')
def step_impl(context):
    assert context.holders.asked == ["ledger"], context.holders.asked
    assert not context.job_store.reads, context.job_store.reads


@then(r"11 holders were asked twice each, and the store was read 11 times and written once")
def step_impl(context):
    asked = Counter(context.holders.asked)
    assert len(asked) == 11 and set(asked.values()) == {2}, asked
    assert context.job_store.reads == {"key": 11}, context.job_store.reads
    assert context.job_store.commits == 1, context.job_store.commits


use_step_matcher("parse")
