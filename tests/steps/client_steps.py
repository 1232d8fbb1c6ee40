"""Steps for the client library."""

from functools import partial
from logging import WARNING, getLogger
from random import Random

from anyio import run
from behave import given, then, when
from httpx import (
    AsyncHTTPTransport,
    ByteStream,
    ConnectError,
    MockTransport,
    ReadTimeout,
    Response,
)

from berylproxy.client.client import Client
from berylproxy.client.errors import ClientError, OutcomeUnknownError
from berylproxy.client.models import JobTask
from tests.support.fake_daemon import FakeCluster, FakeDaemon, Fault, serve_daemons

SEED = 4
getLogger("httpx").setLevel(WARNING)
REQUEST_BODY = b'{"hours": 2}'


class SimulatedClock:
    """A clock whose time advances only by sleeping, without a real wait."""

    def __init__(self) -> None:
        self.time_s = 0.0
        self.waits_s: list[float] = []

    def now_s(self) -> float:
        """Returns the simulated time in seconds."""
        return self.time_s

    async def sleep(self, duration_s: float) -> None:
        """Advances the time at once and records the wait."""
        self.waits_s.append(duration_s)
        self.time_s += duration_s


class CallerSession:
    """A caller with one client; its ``calls`` run one after the other in one event loop."""

    def __init__(self, daemons: dict[str, FakeDaemon]) -> None:
        self.daemons = daemons
        self.clock = SimulatedClock()
        self.transport = None
        self.calls = []
        self.answer = None
        self.error: ClientError | None = None
        self.done = False

    def run_calls(self) -> None:
        """Runs the calls unless they have already run."""
        if not self.done:
            self.done = True
            run(self._run_all)

    async def _run_all(self) -> None:
        urls = [daemon.base_url for daemon in self.daemons.values()]
        client = Client(
            urls, team="x", random=Random(SEED), clock=self.clock, transport=self.transport
        )
        async with client:
            for call in self.calls:
                try:
                    self.answer = await call(client)
                except ClientError as error:
                    self.error = error


def make_tasks(count):
    return [JobTask(f"t{number}", {"number": number}) for number in range(count)]


async def forward_request(request):
    """Sends a request over the network and returns the complete answer."""
    async with AsyncHTTPTransport() as network:
        response = await network.handle_async_request(request)
        return Response(response.status_code, content=await response.aread())


def add_submission(session, count, timeout_s=30.0):
    session.calls.append(
        lambda client: client.submit("enquiry", make_tasks(count), timeout_s=timeout_s)
    )


def run_caller(context):
    """Runs the caller's calls unless they have already run, and returns the caller."""
    context.caller.run_calls()
    return context.caller


@given('the fake daemons "{first}" and "{second}"')
def step_daemons(context, first, second):
    context.cluster = FakeCluster()
    daemons = {name: FakeDaemon(name, context.cluster) for name in (first, second)}
    context.stops = {}
    for name, daemon in daemons.items():
        serving = serve_daemons(daemon)
        serving.__enter__()
        context.stops[name] = partial(serving.__exit__, None, None, None)
    context.add_cleanup(lambda: [stop() for stop in context.stops.values()])
    context.caller = CallerSession(daemons)


@given('daemon "{name}" will {faults}')
def step_faults(context, name, faults):
    daemon = context.caller.daemons[name]
    daemon.faults.extend(Fault[fault.strip()] for fault in faults.split(","))


@given("every daemon answers without a Content-Length")
def step_no_length(context):
    body = b'{"ids": ["a-0"], "valid_for_s": 600}'
    context.caller.transport = MockTransport(lambda _: Response(200, stream=ByteStream(body)))


@given('the caller knows only daemon "{name}"')
def step_single_known_daemon(context, name):
    context.caller.daemons = {name: context.caller.daemons[name]}


@given("both daemons are unreachable after the job is accepted")
def step_unreachable_after_acceptance(context):
    async def refuse_polls(request):
        if request.method == "GET":
            raise ConnectError("connection refused")
        return await forward_request(request)

    context.caller.transport = MockTransport(refuse_polls)


@given("the answer to the caller's first submission times out")
def step_first_answer_times_out(context):
    async def lose_first_answer(request):
        response = await forward_request(request)
        if len(context.cluster.arrivals) == 1:
            raise ReadTimeout("")
        return response

    context.caller.transport = MockTransport(lose_first_answer)


@given("running jobs never end")
def step_never_ends(context):
    context.cluster.never_finishes = True


@given("identifiers are valid for {valid_for_s:d} s")
def step_validity(context, valid_for_s):
    context.cluster.valid_for_s = valid_for_s


@given('daemon "{name}" is down')
def step_daemon_down(context, name):
    context.stops.pop(name)()


@when('daemon "{name}" goes down')
def step_daemon_goes_down(context, name):
    async def stop(client):
        context.stops.pop(name)()

    context.caller.calls.append(stop)


@when("{duration_s:d} s pass for the caller")
def step_time_passes(context, duration_s):
    context.caller.calls.append(lambda client: context.caller.clock.sleep(duration_s))


@when("a caller submits {count:d} tasks")
@when("the caller submits {count:d} tasks again")
def step_submit(context, count):
    add_submission(context.caller, count)


@when("a caller submits {count:d} tasks within {timeout_s:d} s")
def step_submit_within(context, count, timeout_s):
    add_submission(context.caller, count, float(timeout_s))


@when('a caller submits {count:d} tasks under the identifier "{job_id}"')
def step_submit_with_identifier(context, count, job_id):
    context.caller.calls.append(
        lambda client: client.submit("enquiry", make_tasks(count), job_id=job_id)
    )


@when("a caller submits {count:d} tasks {times:d} times")
def step_submit_repeatedly(context, count, times):
    for _ in range(times):
        add_submission(context.caller, count)


@when("a caller sends a single request")
def step_send(context):
    context.caller.calls.append(lambda client: client.send("ledger", REQUEST_BODY))


@then("the caller gets {count:d} results in the order of submission")
def step_results(context, count):
    caller = run_caller(context)
    assert caller.error is None, repr(caller.error)
    results = [(result.task_id, result.payload) for result in caller.answer.results]
    assert results == [(task.task_id, task.payload) for task in make_tasks(count)], results


@then("the caller gets the endpoint's answer")
def step_request_answer(context):
    caller = run_caller(context)
    assert caller.error is None, repr(caller.error)
    assert caller.answer.body == REQUEST_BODY, caller.answer


@then('the submission fails with "{code}"')
def step_submission_fails(context, code):
    caller = run_caller(context)
    assert caller.answer is None, caller.answer
    assert caller.error.code == code, repr(caller.error)


@then("the outcome is unknown to the caller")
def step_outcome_unknown(context):
    error = run_caller(context).error
    assert isinstance(error, OutcomeUnknownError), repr(error)


@then("each of {count:d} submissions came over a different connection")
def step_connections(context, count):
    run_caller(context)
    ports = context.cluster.caller_ports
    assert len(ports) == len(set(ports)) == count, ports


@then('the submissions received were "{expected}"')
def step_arrivals(context, expected):
    run_caller(context)
    arrivals = " ".join(f"{daemon}:{job_id}" for daemon, job_id in context.cluster.arrivals)
    assert arrivals == expected, arrivals


@then('only the identifier "{job_id}" was received')
def step_only_identifier(context, job_id):
    run_caller(context)
    assert {arrived for _, arrived in context.cluster.arrivals} == {
        job_id
    }, context.cluster.arrivals


@then("the waits were between {least_s:g} and {most_s:g} seconds each")
def step_waits(context, least_s, most_s):
    waits_s = run_caller(context).clock.waits_s
    assert waits_s, "there was no wait"
    assert all(least_s <= wait_s <= most_s for wait_s in waits_s), waits_s


@then("there were no waits")
def step_no_waits(context):
    assert run_caller(context).clock.waits_s == []


@then("identifiers were requested {times:d} times")
def step_mint_calls(context, times):
    run_caller(context)
    assert len(context.cluster.mint_calls) == times, context.cluster.mint_calls


@then("all received bodies are the same except for wait_s")
def step_same_bodies(context):
    run_caller(context)
    contents = [{**body, "wait_s": 0} for body in context.cluster.contents]
    assert len(contents) == 2, contents
    assert contents[0] == contents[1], contents
