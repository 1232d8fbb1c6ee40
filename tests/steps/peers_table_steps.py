"""Steps for the member table and for the prober on their own."""

import time

import anyio
from behave import given, then, when
from msgspec.structs import replace

from berylproxy.peers.membership import MemberStatus
from berylproxy.peers.messages import Heartbeat, MemberUpdate
from berylproxy.peers.prober import Prober, pick_intermediaries
from berylproxy.peers.settings import PeerSettings
from berylproxy.peers.table import MemberTable
from tests.support.peer_networks import LOOPBACK, make_identity

IDENTITY = make_identity("member", "127.0.0.1:2", "a" * 12)
UNKNOWN = make_identity("unknown", "127.0.0.1:3", "b" * 12)
HEARTBEAT_TIMEOUT_S = 0.05


@given(
    "a member table that declares members dead after {dead_s:g} s "
    "and removes them after {forget_s:g} s"
)
def step_table(context, dead_s, forget_s):
    context.member_now_ms = 0
    context.member_unknown = []
    context.member_table = MemberTable(
        dead_s, forget_s, lambda: context.member_now_ms / 1000, context.member_unknown.append
    )
    context.member_entry = context.member_table.note_contact(IDENTITY)


@when("the member is suspect for {seconds:g} s")
def step_suspect(context, seconds):
    context.member_table.mark_suspect(context.member_entry)
    step_time_moves(context, seconds)


@when("the time moves on by {seconds:g} s")
def step_time_moves(context, seconds):
    context.member_now_ms += round(seconds * 1000)
    context.member_table.expire()


@when("this daemon is paused for {seconds:g} s")
def step_pause(context, seconds):
    context.member_now_ms += round(seconds * 1000)
    context.member_table.extend_deadlines(seconds)
    context.member_table.expire()


@then('its status in the table is "{status}"')
def step_table_status(context, status):
    assert context.member_table.get(IDENTITY.incarnation).member.status == status


@then("the table has removed it")
def step_removed(context):
    assert context.member_table.get(IDENTITY.incarnation) is None


@when("an outdated update says that the member is {status:w}")
def step_outdated_update(context, status):
    context.member_table.apply_update(MemberUpdate(IDENTITY, MemberStatus(status), 0))


@when("the member itself refutes the suspicion")
def step_refute(context):
    context.member_table.apply_heartbeat(context.member_entry, Heartbeat(True, 1, 1, 0, None, ()))


@then("the update on the member is sent on {times:d} times")
def step_retransmissions(context, times):
    sent = [context.member_table.pick_updates(None) for _ in range(times + 3)]
    assert [len(updates) for updates in sent] == [1] * times + [0] * 3, sent


@when("an update names an unknown daemon as alive")
def step_unknown(context):
    context.member_table.apply_update(MemberUpdate(UNKNOWN, MemberStatus.ALIVE, 0))


@then("the unknown daemon is reported for dialling but is not a member")
def step_unknown_dialled(context):
    assert context.member_unknown == [UNKNOWN]
    assert [member.identity for member in context.member_table.members()] == [IDENTITY]


class UnansweringTransport:
    """Answers no heartbeat; can block the whole process while a heartbeat is sent."""

    def __init__(self, pause_s):
        self._pause_s = pause_s

    def links(self, _):
        return []

    async def exchange_heartbeat(self, _, timeout_s):
        time.sleep(self._pause_s)  # noqa: ASYNC251 - simulates a pause of the whole process
        await anyio.sleep(timeout_s)
        return False

    async def request(self, *_):
        raise AssertionError("there is no other member to ask")


def check_once(context, pause_s):
    settings = PeerSettings(
        LOOPBACK, heartbeat_timeout_s=HEARTBEAT_TIMEOUT_S, indirect_timeout_s=HEARTBEAT_TIMEOUT_S
    )

    async def check():
        async def ignore():
            pass

        table = MemberTable(4.0, 60.0, anyio.current_time, lambda _: None)
        context.member_entry = table.note_contact(IDENTITY)
        prober = Prober(settings, table, UnansweringTransport(pause_s), ignore)
        async with anyio.create_task_group() as task_group:
            prober.start_check(task_group, context.member_entry)

    anyio.run(check)


@when("a heartbeat goes unanswered because this daemon is paused")
def step_check_paused(context):
    check_once(context, 1.0)


@when("a heartbeat goes unanswered without a pause")
def step_check_unpaused(context):
    check_once(context, 0.0)


@then("the checked member is still alive")
def step_still_alive(context):
    assert context.member_entry.member.status is MemberStatus.ALIVE


@then("the checked member is suspect")
def step_is_suspect(context):
    assert context.member_entry.member.status is MemberStatus.SUSPECT


def pick_intermediary_domains(count, per_domain, domains):
    table = MemberTable(4.0, 60.0, lambda: 0.0, lambda _: None)
    for domain in domains:
        for number in range(per_domain):
            identity = make_identity(f"{domain}-{number}", f"127.0.0.1:{len(table.entries()) + 1}")
            table.note_contact(replace(identity, failure_domain=domain))
    intermediaries = pick_intermediaries(table.entries(), "own", count)
    return [entry.identity.failure_domain for entry in intermediaries]


@then(
    "of {count:d} intermediaries among {members:d} members in each of {domains:d} domains, none is "
    "in the own domain and no two are in the same one"
)
def step_intermediaries_spread(context, count, members, domains):
    names = ["own", *(f"other-{number}" for number in range(1, domains))]
    for _ in range(20):
        picked = pick_intermediary_domains(count, members, names)
        assert len(picked) == len(set(picked)) == count, picked
        assert "own" not in picked, picked


@then("of {count:d} intermediaries among {members:d} members in the own domain only, all are in it")
def step_intermediaries_own(context, count, members):
    assert pick_intermediary_domains(count, members, ["own"]) == ["own"] * count
