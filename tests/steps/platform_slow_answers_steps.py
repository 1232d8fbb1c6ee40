"""Steps with a store whose answers arrive slowly."""

import json
import signal
from contextlib import suppress
from time import monotonic, sleep

from anyio import create_task_group, fail_after
from anyio import sleep as sleep_async
from behave import given, then, when
from logbook import TestHandler

from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.platform.members import MEMBER_PREFIX
from berylproxy.platform.operator_watch import EVACUATION_PREFIX, OperatorWatch
from berylproxy.platform.runner_entries import LIST_PREFIX
from berylproxy.platform.settings import METRICS_PORT
from berylproxy.platform.store import PlatformStore
from berylproxy.store.port import StoreUnavailableError
from tests.steps.platform_store_steps import Readers
from tests.steps.platform_wire_steps import VALID_ENTRY
from tests.support.platform_cluster import PREFIX, make_configuration
from tests.support.simulated_time import SimulatedTime
from tests.support.slow_store import PIECES, SlowStore

ENTRIES = 4
WAIT_S = 20.0  # for what must happen sooner or later
POLL_S = 0.05
WATCHED_S = 0.6  # most of a watch, so that the answer ends long after the watch would have
READ_SHARE_S = 8.0
CLOCKS = (
    "berylproxy.http_exchange.monotonic",
    "berylproxy.platform.operator_watch.monotonic",
    "berylproxy.platform.store.monotonic",
)
READER_PREFIXES = (LIST_PREFIX, EVACUATION_PREFIX, MEMBER_PREFIX, "jobs/")


def run(work, *arguments):
    """Does work in simulated time, so that a busy machine doesn't look like a silent store."""
    simulated = SimulatedTime(CLOCKS)
    try:
        return simulated.call(work, *arguments)
    finally:
        simulated.close()


def fill(store):
    """Writes the entries of each list."""
    for prefix in READER_PREFIXES:
        for number in range(ENTRIES):
            member = {"peer_address": f"10.0.0.{number}:80", "failure_domain": "a"}
            store.put(f"{prefix}k{number}", json.dumps({**VALID_ENTRY, **member}).encode())


@given("a store whose answers take {duration_s:g} s to arrive")
def step_slow_store(context, duration_s):
    context.slow_store = SlowStore(duration_s)
    fill(context.slow_store)


@given("a store whose answers stop half-way")
def step_silent_store(context):
    context.slow_store = SlowStore(0.1, PIECES // 2)
    fill(context.slow_store)


@when("the {reader} reads the slow store")
def step_read(context, reader):
    async def read():
        async with context.slow_store.serve() as store:
            readers = Readers(PlatformStore(store.address))
            read_list = {
                "list of endpoints": readers.read_endpoints,
                "operator watch": readers.read_operator_keys,
                "list of members": readers.read_members,
                "reader of open jobs": readers.read_jobs,
            }[reader]
            with fail_after(WAIT_S):
                return await read_list()

    try:
        context.known = run(read)
    except StoreUnavailableError as error:
        context.known, context.read_error = None, error


@then("it has read the whole list")
def step_whole(context):
    assert context.known is not None, context.read_error
    assert len(context.known) == ENTRIES, context.known


@then("the read fails")
def step_fails(context):
    assert context.known is None, context.known


async def wait_until(condition):
    """Waits for a condition that can't be awaited."""
    for _ in range(int(WAIT_S / POLL_S)):
        if condition():
            return
        await sleep_async(POLL_S)
    raise TimeoutError


@when("the operator changes the configuration while it is watched")
def step_change(context):
    values = []
    store, duration_s = context.slow_store, context.slow_store.duration_s

    async def play():
        async with store.serve(), create_task_group() as task_group:
            watch = OperatorWatch(PlatformStore(store.address), values.append, EvacuatedDomains())
            store.duration_s = 0.0
            task_group.start_soon(watch.run)
            await wait_until(store.watched.is_set)
            await sleep_async(WATCHED_S)
            store.duration_s = duration_s
            store.put("op/config", b"the new version" * PIECES)
            with suppress(TimeoutError):
                await wait_until(lambda: values)
            task_group.cancel_scope.cancel()

    run(play)
    context.applied = values


@then("the change is in force")
def step_applied(context):
    assert context.applied, "the change was never read"


@given("a store whose answers take {duration_s:g} s to arrive for each configuration in them")
def step_slow_configurations(context, duration_s):
    context.slow_store = SlowStore(0.0)
    context.slow_store.configuration_s = duration_s


@when("the operator writes {count:d} versions, one each {interval_s:g} s")
def step_storm(context, count, interval_s):
    store, values = context.slow_store, []
    context.last_version = b"version %d" % count

    async def play():
        async with store.serve(), create_task_group() as task_group:
            watch = OperatorWatch(PlatformStore(store.address), values.append, EvacuatedDomains())
            task_group.start_soon(watch.run)
            await wait_until(store.watched.is_set)
            for number in range(count):
                store.put("op/config", b"version %d" % (number + 1))
                await sleep_async(interval_s)
            with suppress(TimeoutError):
                await wait_until(lambda: context.last_version in values)
            task_group.cancel_scope.cancel()

    run(play)
    context.applied = values


@then("the last version is in force, and no answer held more than {count:d} versions")
def step_no_queue(context, count):
    assert context.last_version in context.applied, context.applied
    assert max(context.slow_store.sent_versions) <= count, context.slow_store.sent_versions


@when("the operator's keys are read {count:d} times")
def step_read_often(context, count):
    store, values = context.slow_store, []
    store.put("op/config", b"a configuration")

    async def play():
        async with store.serve():
            watch = OperatorWatch(PlatformStore(store.address), values.append, EvacuatedDomains())
            for _ in range(count):
                await watch._read()

    run(play)
    context.applied = values


@then("the configuration was applied once")
def step_applied_once(context):
    assert len(context.applied) == 1, context.applied


@when("the store hides changes from watches, and a failure domain is evacuated")
def step_hide(context):
    store, evacuations, values = context.slow_store, EvacuatedDomains(), []
    store.hides_changes = True
    store.put("op/config", b"a configuration")

    async def play():
        async with store.serve(), create_task_group() as task_group:
            watch = OperatorWatch(PlatformStore(store.address), values.append, evacuations)
            task_group.start_soon(watch.run)
            await wait_until(store.watched.is_set)
            store.put(EVACUATION_PREFIX + "new", b"{}")
            with suppress(TimeoutError):
                await wait_until(lambda: "new" in evacuations.names)
            task_group.cancel_scope.cancel()

    run(play)
    context.evacuated, context.applied = evacuations.names, values


@then("the evacuation is known, and the configuration was read once")
def step_evacuated(context):
    assert "new" in context.evacuated, context.evacuated
    assert len(context.applied) == 1, context.applied


@when(
    "the operator's keys are followed, and the answers arrive whole once it is logged that they "
    "can't be read"
)
def step_follow(context):
    store = context.slow_store

    def list_lines(handler):
        return [(r.level_name, r.message) for r in handler.records if "keys" in r.message]

    async def play(handler):
        async with store.serve(), create_task_group() as task_group:
            watch = OperatorWatch(PlatformStore(store.address), lambda _: None, EvacuatedDomains())
            task_group.start_soon(watch.run)
            await wait_until(lambda: list_lines(handler))
            store.sent_pieces = PIECES
            await wait_until(lambda: len(list_lines(handler)) > 1)
            task_group.cancel_scope.cancel()

    with TestHandler(level="INFO") as handler:
        run(play, handler)
    context.logged = list_lines(handler)


@then("it is logged that the operator's keys are read again")
def step_logged(context):
    (warning, reason), (level, message) = context.logged
    assert warning == "WARNING" and "stopped arriving" in reason, context.logged
    assert (level, message) == ("INFO", "the operator's keys are read again"), context.logged


@given("the daemon's link to the store carries {mbps:g} Mbit/s")
def step_slow_link(context, mbps):
    cluster = context.platform_cluster
    relay = cluster.start_relay("store", cluster.store.announced["port"])
    context.relay_url = f"http://127.0.0.1:{relay.announced['control_port']}/control"
    context.link_bytes_per_s = int(mbps * 1_000_000 / 8)
    switches = {"bytes_per_s": context.link_bytes_per_s}
    cluster.client.put(context.relay_url, json=switches).raise_for_status()
    cluster.write_settings(0, store_port=relay.announced["port"])
    cluster.daemons[0].send_signal(signal.SIGHUP)
    context.version, context.route_count = 3, 1


def grow(context, count):
    context.version += 1
    context.route_count = count
    prefixes = [PREFIX, *(f"/p{number:05}{'x' * 40}/" for number in range(count - 1))]
    context.platform_cluster.configure(make_configuration(context.version, prefixes))


@when("the operator's configuration grows to {count:d} routes")
def step_grow(context, count):
    grow(context, count)


@when("the operator's configuration grows by one route {delay_s:g} s later")
def step_grow_by_one(context, delay_s):
    sleep(delay_s)  # the keys are read anew meanwhile
    grow(context, context.route_count + 1)


def read_metrics(cluster):
    """Returns the lines of a daemon's metrics."""
    url = f"http://{cluster.host(0)}:{METRICS_PORT}/metrics"
    return cluster.client.get(url).text.splitlines()


@then("the daemon has it in force")
def step_in_force(context):
    deadline_s, line = monotonic() + WAIT_S, f"berylproxy_config_version {context.version}"
    while monotonic() < deadline_s:
        if line in (lines := read_metrics(context.platform_cluster)):
            return
        sleep(0.2)
    raise AssertionError([text for text in lines if "config" in text or "calls_failed" in text])


@then("the daemon reads the configuration less than a tenth of the time")
def step_read_share(context):
    client = context.platform_cluster.client
    before = client.get(context.relay_url).json()["bytes_to_clients"]
    sleep(READ_SHARE_S)
    read_bytes = client.get(context.relay_url).json()["bytes_to_clients"] - before
    assert read_bytes < READ_SHARE_S * context.link_bytes_per_s / 10, read_bytes
