"""Steps for a group coordinator whose peer network is a stub."""

from math import inf
from types import SimpleNamespace

from anyio import create_task_group, move_on_after, run, sleep
from behave import given, then, use_step_matcher, when
from msgpack import packb

from berylproxy.clock import MonotonicClock
from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.durable.holding.coordinator import (
    HEARTBEAT_PART,
    GroupCoordinator,
    KnownHolder,
)
from berylproxy.durable.holding.groups import Division, list_groups
from berylproxy.durable.holding.records import (
    claim_key,
    division_key,
    encode_division,
    encode_model,
    model_key,
)
from berylproxy.durable.jobs.messages import HolderHeartbeat
from berylproxy.durable.learning.estimates import RunTimeModel
from berylproxy.durable.orders.telemetry import Telemetry
from berylproxy.models import DaemonIdentity
from berylproxy.peers.membership import Member, MemberStatus
from berylproxy.store.port import Entry
from tests.support.endpoint_world import FakeDirectory, FakeJobStore, make_endpoint

SERVICE, QUEUE = "ledger", "q"
GROUPS = 4
LEARNED_RUN_TIME_S = 2.5
LEARNED_TASKS = 50
PROVISIONAL_FENCE = 17
CLAIM_FENCE = 16

use_step_matcher("re")


def make_identity(name):
    return DaemonIdentity(name, f"{name}-incarnation", "a", "127.0.0.1:1")


def make_network(name="d0"):
    """Makes a stub of a peer network without other daemons."""
    return SimpleNamespace(
        identity=make_identity(name),
        answer_at_once=lambda *_: None,
        handle_request=lambda *_: None,
        handle_notice=lambda *_: None,
        add_heartbeat_part=lambda *_: None,
        on_change=lambda _: None,
        prioritize_members=lambda *_: None,
        members=list,
        links=lambda _: [],
    )


def make_coordinator(
    directory,
    *,
    name="d0",
    store=None,
    list_members=dict,
    has_store=True,
    network=None,
    clock=None,
):
    """Makes a coordinator without other daemons."""
    return GroupCoordinator(
        network or make_network(name),
        store or FakeJobStore(),
        directory,
        clock or MonotonicClock(),
        1.0,
        list_members,
        lambda: has_store,
        lambda states: None,
        Telemetry(),
        EvacuatedDomains(revision=1, confirmed_s=inf),
    )


def write(store, key, value):
    """Writes a key to the store as another daemon would."""
    store.revision += 1
    store.entries[key] = Entry(key, value, store.revision)


@given(r"a standby daemon of a service with 170 endpoints whose 4 groups are held by other daemons")
def step_impl(context):
    context.store = FakeJobStore()
    write(context.store, division_key(SERVICE), encode_division(Division(GROUPS)))
    model = RunTimeModel()
    for _ in range(LEARNED_TASKS):
        model.learn(QUEUE, 0.0, "e1", LEARNED_RUN_TIME_S)
    for group in list_groups(SERVICE, GROUPS):
        write(context.store, model_key(group), encode_model(model))
    context.coordinator = make_coordinator(FakeDirectory([]), store=context.store)


@given(r"the stored run times of the first group are damaged")
def step_impl(context):
    write(context.store, model_key(list_groups(SERVICE, GROUPS)[0]), b"\xc1")


@when(r"it has refreshed its standby data for (?P<time_s>[\d.]+) s")
def step_impl(context, time_s):
    async def refresh():
        assert await context.coordinator.follow_services({SERVICE})
        context.reads_at_start = context.store.reads["key"]
        with move_on_after(float(time_s)):
            await context.coordinator._refresh_models()

    run(refresh)


@then(
    r"it has made (?P<pages>\d+) stale reads of pages and no reads of single keys since it began "
    r"to track the service"
)
def step_impl(context, pages):
    assert context.store.reads["stale page"] == int(pages), context.store.reads
    assert context.store.reads["key"] == context.reads_at_start == 1 + GROUPS, context.store.reads


@then(
    r"it expects a run time of (?P<expected_s>[\d.]+) s in each group(?P<rest> but the first)?, as "
    r"learned by the holders"
)
def step_impl(context, expected_s, rest):
    groups = list_groups(SERVICE, GROUPS)[1 if rest else 0 :]
    for group in groups:
        found_s = context.coordinator._models[group].expected_run_time_s(QUEUE, 0.0)
        assert abs(found_s - float(expected_s)) < 0.05, (group, found_s)


def hold_provisionally(context, name, fence):
    """Makes a coordinator that is the provisional holder of a group."""
    coordinator = make_coordinator(FakeDirectory([]), name=name, has_store=False)
    context.task_group.start_soon(coordinator._hold_group, SERVICE, fence, 0)
    return coordinator


@given(r'the daemons "(?P<first>\w+)" and "(?P<second>\w+)" are provisional holders of a group .+')
def step_impl(context, first, second):
    context.names = (first, second)


@when(r"each gets the other's heartbeat")
def step_impl(context):
    async def exchange():
        async with create_task_group() as context.task_group:
            holders = {}
            for name in context.names:
                holders[name] = hold_provisionally(context, name, PROVISIONAL_FENCE)
                holders[name].known_holders[SERVICE] = KnownHolder()
            await sleep(0.05)
            for name, other in (context.names, context.names[::-1]):
                heartbeat = HolderHeartbeat(SERVICE, PROVISIONAL_FENCE, ())
                holders[name]._handle_holder_heartbeat(make_identity(other), heartbeat)
            await sleep(0.05)
            context.holding = [name for name in context.names if holders[name].holders]
            context.known = {h.known_holders[SERVICE].incarnation for h in holders.values()}
            context.task_group.cancel_scope.cancel()

    run(exchange)


@then(r"one of them is still the holder, and both know it as the holder")
def step_impl(context):
    assert len(context.holding) == 1, context.holding
    assert context.known == {make_identity(context.holding[0]).incarnation}, context.known


@given(r"a standby daemon whose stream to a holder broke (?P<silence_s>[\d.]+) s ago")
def step_impl(context, silence_s):
    context.silence_s = float(silence_s)


@when(r"it sees the holder as (?P<status>alive|suspect|dead)")
def step_impl(context, status):
    holder, network = make_identity("holder"), make_network()
    network.members = lambda: [Member(holder, MemberStatus(status))]
    store, clock = FakeJobStore(), MonotonicClock()

    async def check():
        coordinator = make_coordinator(FakeDirectory([]), store=store, network=network)
        async with create_task_group() as coordinator._task_group:
            last_seen_s = clock.now_s() - context.silence_s
            known = KnownHolder(CLAIM_FENCE, holder.incarnation, last_seen_s)
            coordinator.known_holders[SERVICE] = known
            coordinator._check_holder(SERVICE)
            await sleep(0.05)
            context.has_claimed = claim_key(SERVICE) in store.entries
            coordinator._task_group.cancel_scope.cancel()

    run(check)


@given(
    r"a daemon without the store that has not heard the holder of a group for (?P<silence_s>\S+) s"
)
def step_impl(context, silence_s):
    context.silence_s, context.has_store, context.fence = float(silence_s), False, CLAIM_FENCE


@given(r"it reaches the daemons (?P<others>.+)")
def step_impl(context, others):
    context.members = []
    for other in others.split(", "):
        name, _, state = other.partition(" ")
        part = {HEARTBEAT_PART: {"has_store": state.startswith("with the store")}}
        is_ready = not state.endswith("leaving")
        context.members.append(Member(make_identity(name), MemberStatus.ALIVE, is_ready, part))


@given(
    r"a daemon (?P<store>with|without) the store that hears each heartbeat of a holder with fence "
    r"(?P<fence>\d+)"
)
def step_impl(context, store, fence):
    context.silence_s, context.has_store, context.fence = 0.15, store == "with", int(fence)
    context.members = []


@when(r"it checks the holder")
def step_impl(context):
    now_s, holder, store = 100.0, make_identity("holder"), FakeJobStore()
    write(store, claim_key(SERVICE), CLAIMS['a process of "d1"'])
    claim_revision = store.revision
    members, network = [Member(holder, MemberStatus.ALIVE), *context.members], make_network()
    network.members = lambda: members
    network.links = lambda incarnation: [None]
    network.notify = lambda incarnation, message: None
    domains = {member.identity.daemon_id: "a" for member in members} | {"d0": "a"}

    async def check():
        coordinator = make_coordinator(
            FakeDirectory([]),
            store=store,
            list_members=lambda: domains,
            has_store=context.has_store,
            network=network,
            clock=SimpleNamespace(now_s=lambda: now_s),
        )
        async with create_task_group() as coordinator._task_group:
            last_seen_s = now_s - context.silence_s
            fence = (claim_revision - 1) * CLAIM_FENCE + context.fence
            known = KnownHolder(fence, holder.incarnation, last_seen_s)
            coordinator.known_holders[SERVICE] = known
            assert known.may_be_suspect(now_s)
            coordinator._check_holder(SERVICE)
            await sleep(0.05)
            context.holds_provisionally = bool(coordinator.holders) and not context.has_store
            context.has_claimed = store.entries[claim_key(SERVICE)].revision > claim_revision
            coordinator._task_group.cancel_scope.cancel()

    run(check)


@given(r"a daemon that checks a holder, and is paused with it for (?P<time_s>[\d.]+) s")
def step_impl(context, time_s):
    context.pause_s = float(time_s)


@when(
    r"it checks the holder, reads (?P<event>its heartbeat|nothing), and it checks the holder again "
    r"(?P<time_s>[\d.]+) s later"
)
def step_impl(context, event, time_s):
    holder, clock = make_identity("d1"), SimpleNamespace(now_s=lambda: clock.time_s, time_s=100.0)
    network = make_network()
    network.members = lambda: [Member(holder, MemberStatus.ALIVE)]
    network.links = lambda incarnation: [None]
    coordinator = make_coordinator(
        FakeDirectory([]), list_members=lambda: {"d0": "a", "d1": "a"}, network=network, clock=clock
    )
    coordinator._task_group = SimpleNamespace(start_soon=lambda *arguments: None)
    coordinator.known_holders[SERVICE] = KnownHolder(CLAIM_FENCE, holder.incarnation, clock.time_s)
    coordinator._check_holders()
    context.claimed_at_check = []
    for number, pause_s in ((1, context.pause_s), (2, float(time_s))):
        clock.time_s += pause_s
        coordinator._check_holders()
        context.claimed_at_check += [str(number)] * bool(coordinator._claiming)
        if event == "its heartbeat":
            heartbeat = HolderHeartbeat(SERVICE, CLAIM_FENCE, ())
            coordinator._handle_holder_heartbeat(holder, heartbeat)


@then(r"it has claimed the group after check (?P<number>\w+)")
def step_impl(context, number):
    expected = [] if number == "none" else [number]
    assert context.claimed_at_check == expected, context.claimed_at_check


@given(r"a daemon that has decided to claim the group of a holder that (?P<state>.+)")
def step_impl(context, state):
    context.is_leaving = state == "is leaving"


@when(r"it hears of another daemon's claim before it makes its own")
def step_impl(context):
    former, successor, store = make_identity("former"), make_identity("d1"), FakeJobStore()
    write(store, claim_key(SERVICE), CLAIMS['a process of "d1"'])
    network = make_network()
    network.members = lambda: [Member(successor, MemberStatus.ALIVE)]
    network.links = lambda incarnation: [None]
    network.notify = lambda incarnation, message: None

    async def check():
        coordinator = make_coordinator(
            FakeDirectory([]),
            store=store,
            list_members=lambda: {"d0": "a", "d1": "a"},
            network=network,
            clock=SimpleNamespace(now_s=lambda: 100.0),
        )
        async with create_task_group() as coordinator._task_group:
            known = KnownHolder(CLAIM_FENCE, former.incarnation, 95.0, context.is_leaving)
            coordinator.known_holders[SERVICE] = known
            coordinator._check_holder(SERVICE)
            assert SERVICE in coordinator._claiming
            claim = store.entries[claim_key(SERVICE)].revision
            heartbeat = HolderHeartbeat(SERVICE, claim * CLAIM_FENCE, ())
            coordinator._handle_holder_heartbeat(successor, heartbeat)
            await sleep(0.05)
            context.has_claimed = store.entries[claim_key(SERVICE)].revision > claim
            coordinator._task_group.cancel_scope.cancel()

    run(check)


@then(r"the other daemon's claim stays in force")
def step_impl(context):
    assert not context.has_claimed


@then(r"it (?P<verdict>holds|does not hold) the group provisionally")
def step_impl(context, verdict):
    assert context.holds_provisionally == (verdict == "holds")


@given(r'a daemon "d0" that starts while all (?P<count>\d+) others that the store lists are down')
def step_impl(context, count):
    context.store = FakeJobStore()
    domains = {f"d{number}": "a" for number in range(int(count) + 1)}
    context.coordinator = make_coordinator(
        FakeDirectory([]), store=context.store, list_members=lambda: domains
    )


CLAIMS = {
    'an earlier process of "d0"': packb({"daemon_id": "d0", "incarnation": "earlier"}),
    'a process of "d1"': packb({"daemon_id": "d1", "incarnation": "other"}),
    "nobody, as it can't be decoded": b"\xc1",
}


class UnusableDirectory(FakeDirectory):
    """A list of endpoints that can't be connected to."""

    def connect(self, info):
        raise UnicodeError(f"encoding of {info.address} with 'idna' codec failed")


@given(r"a daemon that holds a group with an endpoint whose address can't be used")
def step_impl(context):
    context.coordinator = make_coordinator(UnusableDirectory([make_endpoint("e1")]))
    context.coordinator.divisions._divisions[SERVICE] = Division(1)


@when(r"it has served for (?P<time_s>[\d.]+) s")
def step_impl(context, time_s):
    async def serve():
        coordinator = context.coordinator
        coordinator.known_holders[SERVICE] = KnownHolder()
        with move_on_after(float(time_s)) as scope:
            async with create_task_group() as task_group:
                task_group.start_soon(coordinator._follow_endpoint_list)
                task_group.start_soon(coordinator._hold_group, SERVICE, PROVISIONAL_FENCE, 0)
        context.ran_to_the_end = scope.cancelled_caught

    run(serve)


@then(r"its tenure has ended, and it still runs")
def step_impl(context):
    assert context.ran_to_the_end
    assert not context.coordinator.holders


@given(r"the stored claim on a group names (?P<claimant>.+)")
def step_impl(context, claimant):
    write(context.store, claim_key(SERVICE), CLAIMS[claimant])
    context.claim_revision = context.store.revision


@when(r"it has tracked the group for (?P<time_s>[\d.]+) s")
def step_impl(context, time_s):
    async def track():
        await context.coordinator._follow_group(SERVICE)
        with move_on_after(float(time_s)):
            await context.coordinator.run()

    run(track)


@then(r"it (?P<verdict>claims|does not claim) that group")
def step_impl(context, verdict):
    revision = context.store.entries[claim_key(SERVICE)].revision
    assert (revision > context.claim_revision) == (verdict == "claims")


@then(r"it (?P<verdict>claims|does not claim) the holder's group")
def step_impl(context, verdict):
    assert context.has_claimed == (verdict == "claims")


@given(
    r"a daemon that holds the first of (?P<groups>\d+) groups, none of whose (?P<count>\d+) listed "
    r"endpoints is assigned"
)
def step_impl(context, groups, count):
    directory = FakeDirectory([make_endpoint(f"e{number}") for number in range(int(count))])
    context.store = FakeJobStore()
    context.coordinator = make_coordinator(directory, store=context.store)
    division = Division(int(groups), {}, revision=1)
    context.coordinator.divisions._divisions[SERVICE] = division
    group = list_groups(SERVICE, int(groups))[0]
    context.coordinator.holders[group] = SimpleNamespace(
        tenure=SimpleNamespace(group=group, claim_revision=1, is_over=False),
        group=SimpleNamespace(are_members_known=False),
    )


@when(r"the job store is out for all calls, and the list is followed for (?P<time_s>[\d.]+) s")
def step_impl(context, time_s):
    context.store.is_out = True

    async def follow():
        with move_on_after(float(time_s)):
            await context.coordinator._follow_endpoint_list()

    run(follow)


class SlowDirectory(FakeDirectory):
    """A directory each of whose reads takes a time on a clock of its own.

    :ivar now_s: the time.
    """

    def __init__(self, read_time_s):
        super().__init__([make_endpoint("e1")])
        self.now_s = 0.0
        self._read_time_s = read_time_s

    async def fetch(self):
        endpoints = await super().fetch()
        self.now_s += self._read_time_s
        return endpoints


@given(r"a daemon whose reads of the list of endpoints take (?P<time_s>[\d.]+) s each")
def step_impl(context, time_s):
    context.directory = directory = SlowDirectory(float(time_s))
    clock = SimpleNamespace(now_s=lambda: directory.now_s)
    context.coordinator = make_coordinator(directory, clock=clock)


@when(r"it reads the list once, beginning at (?P<now_s>[\d.]+) s")
def step_impl(context, now_s):
    context.directory.now_s = float(now_s)

    async def follow():
        async with create_task_group() as task_group:
            confirmed = context.coordinator._endpoint_list.confirmed
            task_group.start_soon(context.coordinator._follow_endpoint_list)
            await confirmed.wait()
            task_group.cancel_scope.cancel()

    run(follow)


@then(r"it takes the list for one of (?P<read_s>[\d.]+) s")
def step_impl(context, read_s):
    assert context.coordinator._endpoint_list.read_s == float(read_s)


@then(r"its copy of the list has (?P<count>\d+) endpoints")
def step_impl(context, count):
    assert len(context.coordinator._endpoint_list.endpoints) == int(count)
