"""Steps for endpoints that a standby daemon may not have read of."""

from anyio import create_task_group, run
from anyio.lowlevel import checkpoint
from behave import given, then, when

from berylproxy.durable.endpoints.fleet import EndpointList
from berylproxy.durable.jobs.messages import HolderHeartbeat
from tests.support.endpoint_world import make_endpoint
from tests.support.still_holder import StillHolder


@given('a list that showed endpoint "{first}" at {first_s:d} s and "{second}" as well at {s:d} s')
def step_impl(context, first, first_s, second, s):
    context.listed_from_s = {make_endpoint(first).info: first_s, make_endpoint(second).info: s}
    context.list, context.list_read_s = EndpointList(), float(first_s)
    read(context, first_s)


def read(context, now_s):
    """Applies an answer about the list of endpoints."""
    listed = (info for info, from_s in context.listed_from_s.items() if now_s >= from_s)
    context.list.update(tuple(listed), now_s)
    context.list_read_s = now_s


@when("it is read every {interval_s:f} s until {read_s:d} s")
def step_impl(context, interval_s, read_s):
    while context.list_read_s + interval_s < read_s:
        read(context, context.list_read_s + interval_s)


@when('an answer at {now_s:d} s shows only "{endpoint_id}"')
def step_impl(context, now_s, endpoint_id):
    shown = (i for i in context.listed_from_s if i.instance.endpoint_id == endpoint_id)
    context.list.update(tuple(shown), float(now_s))
    context.list_read_s = float(now_s)


@then('it has the new endpoints "{endpoint_ids}"')
@then('it has the new endpoints ""')
def step_impl(context, endpoint_ids=""):
    new = [i.instance.endpoint_id for i in context.listed_from_s if context.list.is_new(i.instance)]
    assert ", ".join(new) == endpoint_ids, new


@given("a provisional holder whose list was asked for {age_s:d} s before its tenure")
def step_impl(context, age_s):
    context.still_holder = StillHolder(has_claim=False)
    context.still_holder.holder.group._endpoint_list.update(
        (), context.still_holder.now_s - age_s, context.still_holder.now_s - age_s
    )


@then("it {trusts} the last heartbeat to name each used endpoint that its list lacks")
def step_impl(context, trusts):
    trusted = context.still_holder.holder.group.has_all_used_endpoints
    assert trusted == (trusts == "trusts")


@given("a holder that has just sent a heartbeat")
def step_impl(context):
    context.still_holder = StillHolder(has_claim=True)


@when("an endpoint is added to its group")
def step_impl(context):
    added = make_endpoint("e2")
    holder, notices = context.still_holder.holder, context.still_holder.notices

    async def send():
        async with create_task_group() as task_group:
            task_group.start_soon(holder._send_heartbeats)
            await checkpoint()
            notices.clear()
            holder.group._directory.endpoints.append(added)
            endpoint_list = holder.group._endpoint_list
            endpoint_list.update((added.info,), context.still_holder.now_s)
            holder.group._apply_directory(endpoint_list.endpoints)
            for _ in range(5):  # no time passes
                await checkpoint()
            context.sent = [message for _, message in notices]
            task_group.cancel_scope.cancel()

    run(send)


@then("a heartbeat names it before the next one was due")
def step_impl(context):
    heartbeats = [message for message in context.sent if isinstance(message, HolderHeartbeat)]
    assert heartbeats, "no heartbeat was sent"
    assert "e2" in heartbeats[-1].endpoints, heartbeats
