"""Steps for the question for which jobs callers wait, with stubs of the streams and the clock."""

from types import SimpleNamespace
from unittest.mock import patch

from anyio import run
from behave import given, then, use_step_matcher, when

from berylproxy.durable.holding import waiting_callers
from berylproxy.durable.holding.waiting_callers import WaitingCallers
from berylproxy.durable.jobs.messages import AskAwaitedJobs, AwaitedJobs
from berylproxy.peers.membership import MemberStatus, PeerLostError

GROUP, OWN_JOB, OTHER_JOB = "ledger", "own", "other"

use_step_matcher("re")


class AskedDaemon:
    """An entry daemon as the network of the holder's daemon shows it."""

    def __init__(self, description):
        self.now_s = self.began_s = 100.0
        self.description = description
        is_suspect = "port refuses" in description or "suspect" in description
        status = MemberStatus.SUSPECT if is_suspect else MemberStatus.ALIVE
        identity = SimpleNamespace(incarnation="e1", daemon_id="entry")
        self._member = SimpleNamespace(identity=identity, status=status)
        network = SimpleNamespace(
            members=lambda: [self._member],
            links=lambda incarnation: [None] if "stream" in description else [],
            request=self._answer,
            answer_at_once=lambda kind, handler: None,
        )
        self.callers = WaitingCallers(
            network,
            SimpleNamespace(now_s=lambda: self.now_s),
            self._is_heard,
            lambda member: "can't be asked" not in description,
        )

    @property
    def waited_s(self):
        return self.now_s - self.began_s

    def _is_heard(self, incarnation):
        if "silent for 0.9 s" in self.description:
            return self.waited_s >= 0.9
        return "isn't heard" not in self.description

    async def _answer(self, incarnation, message, timeout_s):
        assert message == AskAwaitedJobs(GROUP)
        if "too many" in self.description:
            return AwaitedJobs((), is_complete=False)
        tells_from_s = {"after 0.8 s": 0.8, "and then tells": 1.0, "at once": 0.0}
        from_s = next((s for words, s in tells_from_s.items() if words in self.description), 1e9)
        if self.waited_s < from_s:
            self.now_s += timeout_s
            raise PeerLostError("no reply")
        return AwaitedJobs((OTHER_JOB,))

    async def sleep(self, time_s):
        self.now_s += time_s


@given(r"an entry daemon (?P<description>(?:that|of a version|with too many).*)")
def step_impl(context, description):
    context.asked = AskedDaemon(description)


@when(r"the holder asks it and itself for which jobs of a group callers wait")
def step_impl(context):
    asked = context.asked
    asked.callers.note_waiting(1, GROUP, OWN_JOB)
    asked.callers.note_waiting(2, "another group", "elsewhere")
    with patch.object(waiting_callers, "sleep", asked.sleep):
        context.survey = run(asked.callers.survey, GROUP)


@then(r"it learns of (?P<jobs>.+) after (?P<least_s>[\d.]+) to (?P<most_s>[\d.]+) s")
def step_impl(context, jobs, least_s, most_s):
    expected = {"nothing": None, "its own": {OWN_JOB}}.get(jobs, {OWN_JOB, OTHER_JOB})
    told = context.survey.job_ids if context.survey is not None else None
    assert told == expected, context.survey
    assert context.survey is None or context.survey.asked_s == context.asked.began_s
    assert float(least_s) <= context.asked.waited_s <= float(most_s), context.asked.waited_s


@given(
    r'an entry daemon with a call for job "(?P<first>\w+)" of group "(?P<first_group>\w+)", and '
    r'one for "(?P<second>\w+)" of group "(?P<second_group>\w+)"'
)
def step_impl(context, first, first_group, second, second_group):
    handlers = {}
    network = SimpleNamespace(answer_at_once=handlers.__setitem__)
    context.callers = WaitingCallers(network, None, None, None)
    context.tell = handlers[AskAwaitedJobs]
    context.calls = {first: 1, second: 2}
    context.callers.note_waiting(1, first_group, first)
    context.callers.note_waiting(2, second_group, second)


@when(r'its call for job "(?P<job>\w+)" moves to group "(?P<group>\w+)"')
def step_impl(context, job, group):
    context.callers.note_waiting(context.calls[job], group, job)


@when(r'its call for job "(?P<job>\w+)" has ended')
def step_impl(context, job):
    context.callers.note_ended(context.calls[job])


@then(r'it tells of "(?P<jobs>[\w, ]+)" when asked about group "(?P<group>\w+)"')
def step_impl(context, jobs, group):
    answer = context.tell(None, AskAwaitedJobs(group))
    assert answer.is_complete and ", ".join(sorted(answer.job_ids)) == jobs, answer
