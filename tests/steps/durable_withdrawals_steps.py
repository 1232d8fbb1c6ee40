"""Steps for the repetition of drops, with a stub of the streams and of the clock."""

from types import SimpleNamespace
from unittest.mock import patch

from anyio import run
from behave import given, then, use_step_matcher, when

from berylproxy.durable.holding import withdrawals
from berylproxy.durable.jobs.messages import DropJob
from berylproxy.peers.errors import PeerOverloadedError, PeerRequestRefusedError
from berylproxy.peers.membership import PeerLostError

ERRORS = {
    "that confirms the third copy": PeerLostError("no reply"),
    "whose stream is open, and that never answers": PeerLostError("no reply"),
    "that refuses it for having too much to do": PeerRequestRefusedError(
        PeerOverloadedError.code, "too many requests"
    ),
}

use_step_matcher("re")


@given(r"a holder (?P<holder>(?:that|to which|whose) .+)")
def step_impl(context, holder):
    context.clock_s, context.copies_s = 100.0, []

    async def request(message, timeout_s):
        context.copies_s.append(context.clock_s)
        if "third copy" in holder and len(context.copies_s) == 3:
            return
        if "never answers" in holder:
            context.clock_s += timeout_s
        raise ERRORS[holder]

    def links(incarnation):
        if "no stream" not in holder:
            return [SimpleNamespace(request=request)]
        context.copies_s.append(context.clock_s)
        return []

    context.network = SimpleNamespace(links=links)


@when(r"a drop is sent to it, on a clock of its own")
def step_impl(context):
    async def pass_time(duration_s):
        context.clock_s += duration_s

    clock = SimpleNamespace(now_s=lambda: context.clock_s)
    sender = withdrawals.Withdrawals(context.network, clock)
    message = DropJob("group", "job", 1, 0)
    with patch.object(withdrawals, "sleep", pass_time):
        run(sender._repeat_until_confirmed, "holder", message, 0.0)


@then(r"the drop is repeated for (?P<least_s>\d+) to (?P<most_s>\d+) s")
def step_impl(context, least_s, most_s):
    repeated_s = context.copies_s[-1] - context.copies_s[0]
    assert len(context.copies_s) > 2, context.copies_s
    assert float(least_s) <= repeated_s <= float(most_s), repeated_s
