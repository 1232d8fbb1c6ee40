"""Steps for an entry daemon's submissions of a best-effort job to holders that change."""

from types import SimpleNamespace

from anyio import create_task_group, run, sleep, sleep_forever
from behave import given, then, use_step_matcher, when

from berylproxy.clock import MonotonicClock
from berylproxy.durable.decisions.routing import GroupChoice
from berylproxy.durable.entry.frontend import JobFrontend
from berylproxy.durable.holding.coordinator import KnownHolder
from berylproxy.durable.jobs.messages import JobSubmissionReply
from berylproxy.durable.jobs.models import JobSpec, JobState, QueueTerms, Resources, StepSpec
from berylproxy.durable.orders.telemetry import Telemetry

GROUP, ENTRY = "ledger", "entry"
CALLER_WAIT_S = 5.0
JOB = JobSpec("j1", QueueTerms("q", GROUP), "", (StepSpec(2, Resources(1_000)),), False)

use_step_matcher("re")


class ChangingHolders:
    """The holders of a group as an entry daemon knows and reaches them.

    :ivar submissions: incarnation of the holder and attempt of each submission.
    """

    def __init__(self, former, successor, reply_after_s):
        self.submissions = []
        self.known = KnownHolder()
        self.known.set_holder(1, former, 0.0)
        self._successor, self._reply_after_s = successor, reply_after_s
        network = SimpleNamespace(request=self._request)
        coordinator = SimpleNamespace(
            own_incarnation=ENTRY,
            known_holders={GROUP: self.known},
            known_fence=lambda group: self.known.fence,
            holder_incarnation=lambda group: self.known.incarnation,
            route_job=lambda spec, refused_by: GroupChoice(GROUP, only_if_room=False),
            withdrawals=SimpleNamespace(send=lambda *arguments: None),
            waiting_callers=SimpleNamespace(
                note_waiting=lambda *arguments: None, note_ended=lambda call: None
            ),
        )
        self.frontend = JobFrontend(network, coordinator, None, MonotonicClock(), Telemetry())

    async def _request(self, incarnation, message, timeout_s):
        self.submissions.append((incarnation, message.attempt))
        if incarnation != self._successor:
            await sleep_forever()
        await sleep(self._reply_after_s)
        return JobSubmissionReply(state=JobState.COMPLETED.value)

    async def replace_holder(self):
        self.known.set_holder(2, self._successor, 0.0)


@given(
    r'an entry daemon whose holder "(?P<former>\w+)" never answers, and "(?P<successor>\w+)" '
    r"within (?P<time_s>[\d.]+) s"
)
def step_impl(context, former, successor, time_s):
    context.holders = ChangingHolders(former, successor, float(time_s))


@when(r'a best-effort job is submitted to the entry daemon, and "\w+" becomes the holder at once')
def step_impl(context):
    async def submit():
        context.state = await context.holders.frontend.run_best_effort(JOB, CALLER_WAIT_S)

    async def play():
        async with create_task_group() as task_group:
            task_group.start_soon(submit)
            task_group.start_soon(context.holders.replace_holder)

    run(play)


@then(r'the job was submitted to "(?P<first>\w+)" and then to "(?P<second>\w+)", and is completed')
def step_impl(context, first, second):
    assert context.holders.submissions == [(first, 0), (second, 1)], context.holders.submissions
    assert context.state is JobState.COMPLETED
