"""Steps for an entry daemon's submissions of a best-effort job to holders that change."""

from time import monotonic
from types import SimpleNamespace

from anyio import create_task_group, run, sleep
from behave import given, then, use_step_matcher, when

from berylproxy.clock import MonotonicClock
from berylproxy.durable.decisions.routing import GroupChoice
from berylproxy.durable.entry.frontend import JobFrontend
from berylproxy.durable.holding.coordinator import KnownHolder
from berylproxy.durable.jobs.messages import JobSubmissionReply
from berylproxy.durable.jobs.models import JobSpec, JobState, QueueTerms, Resources, StepSpec
from berylproxy.durable.orders.telemetry import Telemetry
from berylproxy.peers.membership import PeerLostError

GROUP, ENTRY = "ledger", "entry"
CALLER_WAIT_S = 5.0
JOB = JobSpec("j1", QueueTerms("q", GROUP), "", (StepSpec(2, Resources(1_000)),), False)

use_step_matcher("re")


class ChangingHolders:
    """The holders of a group as an entry daemon knows and reaches them.

    :param reply_after_s: time after which a holder answers, by its name; others never do.
    :ivar submissions: incarnation of the holder and attempt of each submission.
    :ivar drops: incarnation of the holder of each withdrawal.
    """

    def __init__(self, former, successor, reply_after_s):
        self.submissions, self.drops = [], []
        self.known = KnownHolder()
        self.known.set_holder(1, former, 0.0)
        self._successor, self._reply_after_s = successor, reply_after_s
        network = SimpleNamespace(request=self._request)
        coordinator = SimpleNamespace(
            own_incarnation=ENTRY,
            known_holders={GROUP: self.known},
            divisions=SimpleNamespace(group_of_job=lambda service, job_id: GROUP),
            known_fence=lambda group: self.known.fence,
            holder_incarnation=lambda group: self.known.incarnation,
            route_job=lambda spec, refused_by: GroupChoice(GROUP, only_if_room=False),
            withdrawals=SimpleNamespace(send=self._withdraw),
            waiting_callers=SimpleNamespace(
                note_waiting=lambda *arguments: None, note_ended=lambda call: None
            ),
        )
        self.frontend = JobFrontend(network, coordinator, None, MonotonicClock(), Telemetry())

    async def _request(self, incarnation, message, timeout_s):
        self.submissions.append((incarnation, message.attempt))
        if incarnation not in self._reply_after_s:
            await sleep(timeout_s)
            raise PeerLostError("no reply")
        await sleep(self._reply_after_s[incarnation])
        return JobSubmissionReply(state=JobState.COMPLETED.value)

    def _withdraw(self, incarnation, message, delay_s=0.0):
        self.drops.append((incarnation, message.attempt))

    async def replace_holder(self, delay_s):
        if delay_s:
            await sleep(delay_s)
        self.known.set_holder(2, self._successor, 0.0)


@given(
    r'an entry daemon whose holder "(?P<former>\w+)" never answers, and "(?P<successor>\w+)" '
    r"within (?P<time_s>[\d.]+) s"
)
def step_impl(context, former, successor, time_s):
    context.holders = ChangingHolders(former, successor, {successor: float(time_s)})


@given(
    r'an entry daemon whose holder "(?P<former>\w+)" answers within (?P<time_s>[\d.]+) s, and '
    r'"(?P<successor>\w+)" never'
)
def step_impl(context, former, time_s, successor):
    context.holders = ChangingHolders(former, successor, {former: float(time_s)})


def play(context, delay_s):
    """Submits the job, lets the holder change after a delay, and waits for the answer."""

    async def submit():
        context.state = await context.holders.frontend.run_best_effort(JOB, CALLER_WAIT_S)
        context.ended_s = monotonic()

    async def play_all():
        async with create_task_group() as task_group:
            task_group.start_soon(submit)
            task_group.start_soon(context.holders.replace_holder, delay_s)

    context.state, context.began_s = None, monotonic()
    run(play_all)


@when(r'a best-effort job is submitted to the entry daemon, and "\w+" becomes the holder at once')
def step_impl(context):
    play(context, 0.0)


@when(
    r"a best-effort job is submitted to the entry daemon, and (?P<time_s>[\d.]+) s later "
    r'"\w+" becomes the holder'
)
def step_impl(context, time_s):
    play(context, float(time_s))


@then(r'the job was submitted to "(?P<holder>\w+)" once, and is completed')
def step_impl(context, holder):
    submissions = context.holders.submissions
    assert [name for name, _ in submissions].count(holder) == 1, submissions
    assert context.state is JobState.COMPLETED


@then(r'the job is completed within (?P<time_s>[\d.]+) s, and withdrawn from "(?P<holder>\w+)"')
def step_impl(context, time_s, holder):
    assert context.state is JobState.COMPLETED
    assert context.ended_s - context.began_s < float(time_s)
    assert (holder, 1) in context.holders.drops, context.holders.drops
