"""Steps on the entry daemon's answers about durable jobs while no holder is reached."""

from types import SimpleNamespace
from unittest.mock import patch

from anyio import run
from behave import given, then, when

from berylproxy.clock import MonotonicClock
from berylproxy.durable.entry import frontend
from berylproxy.durable.entry.frontend import JobFrontend, NotAcceptedError, ResultUnknownError
from berylproxy.durable.holding.records import encode_final, final_key, open_key
from berylproxy.durable.holding.tracked_groups import TrackedGroups
from berylproxy.durable.jobs.models import JobSpec, JobState, QueueTerms, Resources, StepSpec
from berylproxy.durable.orders.telemetry import Telemetry
from berylproxy.peers.membership import PeerUnreachableError
from berylproxy.store.port import Entry, StoreUnavailableError

JOB = JobSpec("j1", QueueTerms("q", "ledger"), "", (StepSpec(1, Resources(1_000)),))
KEYS = {
    "has the job, still open": {open_key("ledger", "j1")},
    "has the job, ended": {final_key("j1")},
    "has it end between reads": {open_key("ledger", "j1")},
    "has no such job": set(),
    "answers nothing": None,
}
ANSWERS = {
    "that it is accepted": None,
    "that it never runs": NotAcceptedError,
    "that it isn't known": ResultUnknownError,
}
CALLER_WAIT_S = 5.0


class KnownKeys:
    """A store that has some keys, or answers nothing."""

    def __init__(self, keys):
        self._keys = keys

    async def get(self, key):
        if self._keys is None:
            raise StoreUnavailableError("no answer")
        value = encode_final(JobState.COMPLETED, 0.0)
        return Entry(key, value, 1) if key in self._keys else None


class EndingJob(KnownKeys):
    """A store in which the job ends after the first read."""

    async def get(self, key):
        entry = await super().get(key)
        self._keys = {final_key("j1")}
        return entry


async def reach_nobody(message, timeout_s):
    raise PeerUnreachableError("no stream to the holder")


@given("an entry daemon that reaches no holder, and a store that {store}")
def step_impl(context, store):
    divisions = SimpleNamespace(
        group_of_job=lambda service, job_id: service,
        list_services=lambda: ["ledger"],
    )
    coordinator = SimpleNamespace(
        divisions=divisions,
        tracked_groups=TrackedGroups(),
        holder_incarnation=lambda group: "",
    )
    network = SimpleNamespace()
    store = (EndingJob if "between" in store else KnownKeys)(KEYS[store])
    context.frontend = JobFrontend(network, coordinator, store, MonotonicClock(), Telemetry())
    context.frontend._send_submission = reach_nobody


@when("a durable job is submitted to the entry daemon")
def step_impl(context):
    context.frontend_error = None
    with patch.object(frontend, "NO_HOLDER_WAIT_S", 0.05):
        try:
            run(context.frontend.submit_durable, JOB, CALLER_WAIT_S)
        except (NotAcceptedError, ResultUnknownError) as error:
            context.frontend_error = error


@then("the entry daemon says {answer}")
def step_impl(context, answer):
    expected = ANSWERS[answer]
    assert type(context.frontend_error) is (expected or type(None)), context.frontend_error
