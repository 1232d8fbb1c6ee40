"""Steps on durable jobs whose queue is sent to another service."""

from collections import Counter
from functools import partial
from time import monotonic

from anyio import create_task_group, run, sleep
from behave import given, then, use_step_matcher, when
from msgspec.structs import replace

from berylproxy.clock import MonotonicClock
from berylproxy.durable.decisions.acceptance import Refusal
from berylproxy.durable.entry.frontend import JobFrontend, NotAcceptedError, ResultUnknownError
from berylproxy.durable.holding.groups import Division
from berylproxy.durable.holding.records import (
    division_key,
    encode_division,
    encode_job,
    open_key,
)
from berylproxy.durable.jobs.models import (
    JobSpec,
    JobState,
    QueueTerms,
    Resources,
    StepSpec,
    StoredJob,
)
from berylproxy.durable.orders.telemetry import Telemetry
from berylproxy.errors import BerylproxyError
from berylproxy.store.port import StoreOutcomeUnknownError
from tests.steps.durable_member_steps import make_coordinator, make_network, write
from tests.support.endpoint_world import FakeDirectory, FakeJobStore, make_endpoint

SERVICES = ("ledger", "annex")
TASKS = 4
RUN_TIME_S = 0.4
CALLER_WAIT_S = 10.0
RETRY_AFTER_S = 2.0
WAIT_LIMIT_S = 20.0

use_step_matcher("re")


def make_spec(job_id: str, service: str) -> JobSpec:
    """Makes a durable job of one step."""
    terms = QueueTerms("q", service, max_attempts=3, objective_s=CALLER_WAIT_S)
    return JobSpec(job_id, terms, "", (StepSpec(TASKS, Resources(10_000), RUN_TIME_S),))


class TwoServices:
    """A daemon that holds the only group of each of two services, without sockets.

    :ivar configured: the services that its configuration names.
    """

    def __init__(self) -> None:
        self.configured = set(SERVICES)
        self.endpoints = [make_endpoint(f"{service}-e") for service in SERVICES]
        for service, endpoint in zip(SERVICES, self.endpoints, strict=True):
            endpoint.info = replace(endpoint.info, service=service)
            endpoint.run_time_s = RUN_TIME_S
        self.store = FakeJobStore()
        for service in SERVICES:
            write(self.store, division_key(service), encode_division(Division(1)))
        network = make_network()
        self.coordinator = make_coordinator(
            FakeDirectory(self.endpoints), store=self.store, network=network
        )
        self.frontend = JobFrontend(
            network, self.coordinator, self.store, MonotonicClock(), Telemetry()
        )
        self.accepted = 0
        self.state: JobState | None = None
        self.error: BerylproxyError | None = None
        self.full_service = ""
        self.provisional_service = ""
        self.has_silent_reads = False

    async def run(self, play) -> None:
        """Plays a scenario once both groups are held."""
        async with create_task_group() as task_group:
            assert await self.coordinator.follow_services(self.configured)
            task_group.start_soon(self.coordinator.run)
            await self.wait_until(self.is_holding)
            if self.full_service:
                holder = self.coordinator.holders[self.full_service]
                # Until then it refuses nothing.
                await self.wait_until(lambda: holder.group.has_contacted_endpoints(monotonic()))
                holder.admission.decide = lambda *_: Refusal("late", RETRY_AFTER_S)
            if self.provisional_service:
                self.coordinator.holders[self.provisional_service].tenure.claim_revision = 0
            if self.has_silent_reads:
                self.store.get = self.lose_read
            await play(self)
            task_group.cancel_scope.cancel()

    async def lose_read(self, key: str) -> None:
        """Stands for a read of the store that gets no answer."""
        raise StoreOutcomeUnknownError(f"no answer about {key}")

    def is_holding(self) -> bool:
        """Returns whether both groups have a holder that has loaded its jobs."""
        holders = self.coordinator.holders
        return all(name in holders and holders[name].is_loaded for name in SERVICES)

    async def wait_until(self, condition) -> None:
        """Waits until a condition holds."""
        until_s = monotonic() + WAIT_LIMIT_S
        while not condition():
            assert monotonic() < until_s, "the condition was not met"
            await sleep(0.01)

    async def submit(self, job_id: str, service: str, wait_s: float = CALLER_WAIT_S) -> None:
        """Submits a durable job by a route to a service."""
        await self.frontend.submit_durable(make_spec(job_id, service), wait_s)
        self.accepted += 1

    def count_running(self) -> int:
        """Returns how many runs are active at all endpoints."""
        for endpoint in self.endpoints:
            endpoint.end_due_runs()
        return sum(len(endpoint.running) for endpoint in self.endpoints)

    def count_starts(self, job_id: str) -> Counter:
        """Returns how often each task of a job has started, at whichever endpoints."""
        return Counter(
            name
            for endpoint in self.endpoints
            for _, kind, name, _ in endpoint.history
            if kind == "start" and name.job_id == job_id
        )

    async def wait_for_end(self) -> None:
        """Waits until no group has open jobs."""
        holders = self.coordinator.holders.values()
        await self.wait_until(lambda: not any(holder.job_table.jobs for holder in holders))


@given(r'a daemon that holds the groups of the services "ledger" and "annex"')
def step_impl(context):
    context.two_services = TwoServices()


@given(r'the holder of "annex" has no room for any job')
def step_impl(context):
    context.two_services.full_service = "annex"


@given(r'the holder of "annex" is a provisional one')
def step_impl(context):
    context.two_services.provisional_service = "annex"


@given(r'job "j1" is (?P<record>already|not) stored for "annex"')
def step_impl(context, record):
    if record == "already":
        world = context.two_services
        stored = StoredJob(make_spec("j1", "annex"), 0.0)
        write(world.store, open_key("annex", "j1"), encode_job(stored))


@then(r"it is accepted")
def step_impl(context):
    assert context.two_services.accepted == 1, context.two_services.error


@then(r"it is refused as not run, for the present")
def step_impl(context):
    assert isinstance(context.two_services.error, NotAcceptedError), context.two_services.error


@given(r"the store doesn't answer reads of single keys")
def step_impl(context):
    context.two_services.has_silent_reads = True


async def play_refused(world):
    try:
        await world.submit("j1", "annex", 1.0)
    except BerylproxyError as error:
        world.error = error


@when(r'job "j1" is submitted to "annex"')
def step_impl(context):
    world = context.two_services
    run(world.run, play_refused)


@then(r"it is refused as not run, to be sent again after 2 s")
def step_impl(context):
    error = context.two_services.error
    assert isinstance(error, NotAcceptedError) and error.retry_after_s == 2.0, repr(error)


@then(r"it isn't known whether the job is stored")
def step_impl(context):
    assert isinstance(context.two_services.error, ResultUnknownError)


async def play_in_turn(moment, world):
    await world.submit("j1", "ledger")
    if moment == "it has ended":
        await world.wait_for_end()
    else:
        await world.wait_until(lambda: world.count_running() == TASKS)
    await world.submit("j1", "annex")
    await world.wait_for_end()


async def play_at_once(first_job, second_job, world):
    async with create_task_group() as task_group:
        task_group.start_soon(world.submit, first_job, "ledger")
        task_group.start_soon(world.submit, second_job, "annex")
    await world.wait_for_end()


async def play_cancel(has_lost_write, world):
    for endpoint in world.endpoints:
        endpoint.run_time_s = 2 * WAIT_LIMIT_S
    await world.submit("j1", "ledger")
    await world.wait_until(lambda: world.count_running() == TASKS)
    if has_lost_write:
        world.coordinator.holders["annex"]._possibly_stored.add("j1")
    await world.submit("j1", "annex")
    world.state = await world.frontend.cancel(["annex", "ledger"], "j1", CALLER_WAIT_S)
    await world.wait_until(lambda: not world.count_running())


@when(
    r'job "j1" is submitted to "ledger", and once (?P<moment>its tasks run|it has ended) to "annex"'
    r"(?P<lost> with a lost first write)?"
)
def step_impl(context, moment, lost):
    context.has_lost_write = bool(lost)
    context.play = partial(play_in_turn, moment)


@when(r'a caller of "annex" cancels job "j1"')
def step_impl(context):
    context.play = partial(play_cancel, context.has_lost_write)


@when(r'job "j1" is submitted to "ledger" and to "annex" at once')
def step_impl(context):
    context.play = partial(play_at_once, "j1", "j1")


@when(r'job "j1" is submitted to "ledger" and job "j2" to "annex"')
def step_impl(context):
    context.play = partial(play_at_once, "j1", "j2")


@then(r"both submissions are accepted")
def step_impl(context):
    run(context.two_services.run, context.play)
    assert context.two_services.accepted == 2, context.two_services.accepted


@then(r"the job is cancelled, and no run of it is left")
def step_impl(context):
    run(context.two_services.run, context.play)
    assert context.two_services.state is JobState.CANCELLED, context.two_services.state


@given(r'3 jobs of the queue are accepted by "ledger", which has room for 2 of them')
def step_impl(context):
    world = context.two_services
    for endpoint in world.endpoints:
        endpoint.run_time_s = 2 * WAIT_LIMIT_S
        endpoint.info = replace(endpoint.info, capacity=Resources(2 * TASKS * 10_000, 128_000))
    context.is_listed = True

    async def count(world):
        for job_id in ("j1", "j2", "j3"):
            await world.submit(job_id, "ledger")
        await world.wait_until(lambda: world.count_running() == 2 * TASKS)
        await world.wait_until(lambda: world.coordinator.divisions.are_listed)
        world.coordinator.divisions.are_listed = context.is_listed
        try:
            context.pending = await world.frontend.count_pending(["annex"], "q", CALLER_WAIT_S)
        except ResultUnknownError as error:
            context.pending = error

    context.play = count


@given(r"the daemon hasn't listed the stored divisions")
def step_impl(context):
    context.is_listed = False


@when(r'a caller asks how many jobs of the queue are pending, once it is sent to "annex"')
def step_impl(context):
    run(context.two_services.run, context.play)


@then(r"the number of pending jobs is 1")
def step_impl(context):
    assert context.pending == 1, context.pending


@then(r"the number of pending jobs isn't known")
def step_impl(context):
    assert isinstance(context.pending, ResultUnknownError), context.pending


@then(r'each task of job "(?P<job_id>\w+)" has started once')
def step_impl(context, job_id):
    starts = context.two_services.count_starts(job_id)
    assert len(starts) == TASKS and set(starts.values()) == {1}, starts


use_step_matcher("parse")
