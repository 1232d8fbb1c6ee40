"""Steps for endpoints whose group a holder doesn't know; the holder isn't run."""

from anyio import run
from behave import given, then, use_step_matcher, when

from berylproxy.durable.endpoints.group_membership import GroupMembership
from tests.support.endpoint_world import make_endpoint
from tests.support.still_holder import StillHolder

ADDED = "e2"
MEMBERSHIPS = {
    "unknown": GroupMembership.UNKNOWN,
    "its": GroupMembership.MEMBER,
    "another": GroupMembership.OTHER_GROUP,
}

use_step_matcher("re")


@given(r"a holder that has loaded no open jobs, before it has read its division")
def step_impl(context):
    context.still_holder = StillHolder(has_claim=True)
    context.still_holder.holder.group.has_read_list = True
    run(context.still_holder.load_jobs)


@given(r"its one known endpoint has answered")
def step_impl(context):
    context.still_holder.endpoint.contacted_s = context.still_holder.now_s


@when(r"it has read the list and the division")
def step_impl(context):
    holder = context.still_holder
    holder.holder.group._endpoint_list.update((holder.endpoint.info,), holder.now_s)
    holder.holder.group.note_members_known()


@when(r"(?P<time_s>[\d.]+) s of its tenure have passed")
def step_impl(context, time_s):
    context.still_holder.now_s += float(time_s)


@then(r"its group (?P<verdict>is|isn't) unused")
def step_impl(context, verdict):
    assert context.still_holder.holder.is_unused == (verdict == "is")


@then(r"it (?P<verdict>has|hasn't) contacted all endpoints")
def step_impl(context, verdict):
    holder = context.still_holder
    has_contacted = holder.holder.group.has_contacted_endpoints(holder.now_s)
    assert has_contacted == (verdict == "has")


@given(r"a holder with a task that its one known endpoint rejects")
def step_impl(context):
    context.still_holder = StillHolder(has_claim=True)
    job = context.still_holder.open_job("rejected", 1, is_durable=True)
    (context.rejected_task,) = job.tasks.values()


@given(r"an endpoint of (?P<membership>\w+) group that (?P<state>is listed|has left the list)")
def step_impl(context, membership, state):
    holder, added = context.still_holder, make_endpoint(ADDED).info
    holder.memberships[ADDED] = MEMBERSHIPS[membership]
    endpoint_list = holder.holder.group._endpoint_list
    endpoint_list.update((holder.endpoint.info, added), holder.now_s)
    if state == "has left the list":
        endpoint_list.update((holder.endpoint.info,), holder.now_s + 1)


@then(r"the task (?P<verdict>may|can't) run elsewhere")
def step_impl(context, verdict):
    may_run = context.still_holder.holder.group._has_absent_untried(context.rejected_task)
    assert may_run == (verdict == "may")


use_step_matcher("parse")
