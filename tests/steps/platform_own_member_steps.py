"""Steps for a daemon's own record in the list of members."""

from contextlib import suppress

from anyio import run
from behave import given, then, use_step_matcher, when

from berylproxy.platform.own_member import OwnMemberRecord
from berylproxy.store.port import Entry, StoreError
from tests.support.leased_store import LeasedStore

KEY, VALUE = "members/d1", b"record"

use_step_matcher("re")


def renew(context, times=1):
    """Renews the membership, whatever the store answers."""
    for _ in range(times):
        with suppress(StoreError):
            run(context.member_record.renew)


def start_process(context):
    """Starts a process of the daemon."""
    context.member_record = OwnMemberRecord(context.leased_store, KEY, VALUE)


@given(r"a daemon whose next write of its member record is (?P<fate>refused|lost)")
def step_impl(context, fate):
    context.leased_store = LeasedStore()
    context.leased_store.fate = fate
    start_process(context)


@given(r"a daemon that has renewed its membership")
def step_impl(context):
    context.leased_store = LeasedStore()
    start_process(context)
    renew(context)
    assert KEY in context.leased_store.entries


@when(r"it renews its membership(?P<twice> twice)?")
def step_impl(context, twice=None):
    renew(context, 2 if twice else 1)


@when(r"its process is started anew and renews its membership")
def step_impl(context):
    start_process(context)
    renew(context)


@when(r"the lost write of the member record is carried out")
def step_impl(context):
    assert context.leased_store.late
    context.leased_store.carry_out_late()


@when(r"its member record is removed")
def step_impl(context):
    context.leased_store.remove(KEY)


@when(r"it reads the list of members and renews its membership")
def step_impl(context):
    entries = tuple(context.leased_store.entries.values())
    context.member_record.note_listed(entries, is_complete=True)
    renew(context)


@when(r"it reads a first page of the list without its member record and renews its membership")
def step_impl(context):
    context.member_record.note_listed((Entry("members/d0", b"", 1),), is_complete=False)
    renew(context)


@then(r"its member record is under its present lease")
def step_impl(context):
    store = context.leased_store
    assert store.lease_ids.get(KEY) == store.newest_lease_id, store.lease_ids


@then(r"its member record was written once")
def step_impl(context):
    assert context.leased_store.writes == 1
