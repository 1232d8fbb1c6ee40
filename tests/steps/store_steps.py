"""Steps for the key-value service and the list of VMs."""

import json
import logging
from pathlib import Path
from tempfile import TemporaryDirectory

import anyio
import anyio.lowlevel
import httpx
from behave import given, step, then, when

from berylproxy.store.errors import StoreWatchError
from berylproxy.store.etcd import EtcdStore
from berylproxy.store.machines import HttpVirtualMachineList
from berylproxy.store.port import (
    ABSENT_REVISION,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from standins.process import ManagedProcess

TIMEOUT_S = 30.0
STEP_TIMEOUT_S = 60.0  # ends a call that would hang forever
MAX_ATTEMPTS = 1000

logging.getLogger("httpx").setLevel(logging.WARNING)  # httpx logs each request at INFO


def run_with_store(context, operation, timeout_s=TIMEOUT_S):
    """Runs an async function with a client of the platform stand-in."""

    async def run():
        with anyio.fail_after(STEP_TIMEOUT_S):
            async with EtcdStore([context.platform.url], timeout_s) as store:
                return await operation(store)

    return anyio.run(run)


def find_code(context, operation, timeout_s=TIMEOUT_S):
    """Returns the code of the store error that an operation raises; empty if it raises none."""
    try:
        run_with_store(context, operation, timeout_s)
    except StoreError as error:
        return error.code
    return ""


def write(key, value, expected_revision=ABSENT_REVISION, lease_id=0):
    """Returns an operation that writes a key."""
    return lambda store: store.compare_and_swap(key, value, expected_revision, lease_id=lease_id)


def set_switches(context, text):
    """Sets switches of the stand-in and leaves its other switches unchanged."""
    url = context.platform.url + "/control"
    httpx.put(url, json=json.loads(text), timeout=TIMEOUT_S).raise_for_status()


def read_value(context, key):
    """Returns a key's value; ``None`` if the key is absent."""
    entry = run_with_store(context, lambda store: store.get(key))
    return entry and entry.value.decode()


@given("a platform stand-in")
def step_platform(context):
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.platform = ManagedProcess("store", ["-m", "standins.store"], Path(folder.name))
    context.add_cleanup(context.platform.kill)
    context.platform.start()


@given("{count:d} store keys of {size:d} bytes, behind a link of {mbps:g} Mbit/s")
def step_large_keys(context, count, size, mbps):
    async def fill(store):
        for number in range(count):
            await store.compare_and_swap(f"/large/{number:03}", b"x" * size, ABSENT_REVISION)

    run_with_store(context, fill)
    target = context.platform.url.removeprefix("http://")
    relay = ManagedProcess(
        "relay", ["-m", "standins.relay", "--target", target], context.platform.stderr_path.parent
    )
    context.add_cleanup(relay.kill)
    relay.start()
    control = f"http://127.0.0.1:{relay.announced['control_port']}/control"
    switches = {"bytes_per_s": int(mbps * 1_000_000 / 8)}
    httpx.put(control, json=switches, timeout=TIMEOUT_S).raise_for_status()
    context.slow_url = f"http://127.0.0.1:{relay.announced['port']}"


@then("all {count:d} are listed with a timeout of {timeout_s:g} s")
def step_listed(context, count, timeout_s):
    async def list_keys():
        with anyio.fail_after(STEP_TIMEOUT_S):
            async with EtcdStore([context.slow_url], timeout_s) as store:
                return await store.list_prefix("/large/")

    assert len(anyio.run(list_keys).entries) == count


@step("the platform switches {switches}")
def step_switches(context, switches):
    set_switches(context, switches)


@given("the platform stand-in is killed")
def step_platform_killed(context):
    context.platform.kill()


@given("the platform stand-in takes a snapshot")
def step_platform_snapshot(context):
    url = context.platform.url + "/control/snapshot"
    httpx.post(url, timeout=TIMEOUT_S).raise_for_status()


@when("the platform stand-in compacts its history")
def step_platform_compacts(context):
    url = context.platform.url + "/v3/kv/compaction"
    message = {"revision": str(context.revision)}
    httpx.post(url, json=message, timeout=TIMEOUT_S).raise_for_status()


@when('{count:d} writers create the store key "{key}" at once')
def step_race(context, count, key):
    context.codes = []

    async def create(store, number):
        try:
            await store.compare_and_swap(key, str(number).encode(), ABSENT_REVISION)
            context.codes.append("")
        except StoreConflictError as error:
            context.codes.append(error.code)

    async def race(store):
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(create, store, number)

    run_with_store(context, race)


@then('{winners:d} of the store writers succeeded and {losers:d} failed with "{code}"')
def step_race_result(context, winners, losers, code):
    assert context.codes.count("") == winners, context.codes
    assert context.codes.count(code) == losers, context.codes


@when('{count:d} writers each add 1 to the store key "{key}" {times:d} times')
def step_add(context, count, key, times):
    async def add_once(store):
        for _ in range(MAX_ATTEMPTS):
            entry = await store.get(key)
            total = int(entry.value) + 1 if entry else 1
            revision = entry.revision if entry else ABSENT_REVISION
            try:
                return await store.compare_and_swap(key, str(total).encode(), revision)
            except StoreConflictError:
                continue
        raise AssertionError("no attempt succeeded")

    async def add(store):
        for _ in range(times):
            await add_once(store)

    async def race(store):
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(add, store)

    run_with_store(context, race)


@then('the store key "{key}" holds "{value}"')
def step_key_holds(context, key, value):
    actual = read_value(context, key)
    assert actual == value, actual


@then('the store key "{key}" is absent')
def step_key_absent(context, key):
    assert read_value(context, key) is None


@then('after the platform switches {switches} the store key "{key}" is absent')
def step_key_absent_after(context, switches, key):
    set_switches(context, switches)
    assert read_value(context, key) is None


@then('after the platform switches {switches} the store key "{key}" is present')
def step_key_present_after(context, switches, key):
    set_switches(context, switches)
    assert read_value(context, key) is not None


@when('the store key "{key}" is written twice')
def step_written_twice(context, key):
    context.first_revision = run_with_store(context, write(key, b"first"))
    context.revision = run_with_store(context, write(key, b"second", context.first_revision))


@then('writing and deleting "{key}" at its first revision raise "{code}"')
def step_stale(context, key, code):
    assert find_code(context, write(key, b"third", context.first_revision)) == code
    assert find_code(context, lambda store: store.delete(key, context.first_revision)) == code


@when('"{value}" is written to the store key "{key}" with a timeout of {timeout_s:f} s')
def step_write_with_timeout(context, value, key, timeout_s):
    context.code = find_code(context, write(key, value.encode()), timeout_s)


@when('"{value}" is written to the store key "{key}"')
def step_write(context, value, key):
    context.code = find_code(context, write(key, value.encode()))


@when('a value of {size_bytes:d} bytes is written to the store key "{key}"')
def step_write_large(context, size_bytes, key):
    context.code = find_code(context, write(key, bytes(size_bytes)))


@then('the store call raises "{code}"')
def step_call_raises(context, code):
    assert context.code == code, context.code


@then('reading "{key}" and watching "{prefix}" with a timeout of {timeout_s:f} s raise "{code}"')
def step_read_raises(context, key, prefix, timeout_s, code):
    assert find_code(context, lambda store: store.get(key), timeout_s) == code
    watch = find_code(
        context, lambda store: store.wait_for_changes(prefix, 0, TIMEOUT_S), timeout_s
    )
    assert watch == code, watch


def build_answer(request, fault):
    """Returns the response that a fault describes, or raises its exception."""
    status, _, text = fault.partition(" ")
    if not status.isdigit():
        raise getattr(httpx, fault)("simulated fault", request=request)
    content = text if status == "200" else json.dumps({"message": f"etcdserver: {text}"})
    return httpx.Response(int(status), content=content)


def replace_transport(caller, handler):
    """Makes a function answer the requests of a client."""
    caller.client = httpx.AsyncClient(transport=httpx.MockTransport(handler))


@given("a store whose gateway answers with {fault}")
def step_faulty_gateway(context, fault):
    async def call(operation):
        async with EtcdStore(["http://a"], TIMEOUT_S) as store:
            replace_transport(store, lambda request: build_answer(request, fault))
            try:
                await operation(store)
            except StoreError as error:
                return error.code
            return ""

    context.call_faulty = lambda operation: anyio.run(call, operation)


@then('a store write raises "{write_code}" and a store read raises "{read_code}"')
def step_faulty_result(context, write_code, read_code):
    actual = context.call_faulty(write("/a", b"x"))
    assert actual == write_code, actual
    actual = context.call_faulty(lambda store: store.get("/a"))
    assert actual == read_code, actual


@given("a store with two addresses")
def step_two_addresses(context):
    async def call(fault, operation):
        hosts = []

        def answer(request):
            hosts.append(request.url.host)
            if request.url.host == "a":
                return build_answer(request, fault)
            return httpx.Response(200, json={"header": {"revision": "2"}, "succeeded": True})

        async with EtcdStore(["http://a", "http://b"], TIMEOUT_S) as store:
            replace_transport(store, answer)
            try:
                await operation(store)
            except StoreError as error:
                hosts.append(error.code)
        return hosts

    context.call_two = lambda fault, operation: anyio.run(call, fault, operation)


@then('after "{fault}" at the first store address a write reaches the second')
def step_write_fails_over(context, fault):
    assert context.call_two(fault, write("/a", b"x")) == ["a", "b"]


@then('after "{fault}" at the first store address a write does not reach the second')
def step_write_stays(context, fault):
    assert context.call_two(fault, write("/a", b"x")) == ["a", "store_outcome_unknown"]


@then('after "{fault}" at the first store address a read reaches the second')
def step_read_fails_over(context, fault):
    assert context.call_two(fault, lambda store: store.get("/a")) == ["a", "b"]


@when('a store lease of {ttl_s:d} s holds the key "{key}"')
def step_lease(context, ttl_s, key):
    context.lease_id = run_with_store(context, lambda store: store.grant_lease(ttl_s))
    run_with_store(context, write(key, b"held", lease_id=context.lease_id))


@then("the store lease can be renewed")
def step_lease_renewed(context):
    assert run_with_store(context, lambda store: store.renew_lease(context.lease_id)) is True


@then("the store lease cannot be renewed")
def step_lease_not_renewed(context):
    assert run_with_store(context, lambda store: store.renew_lease(context.lease_id)) is False


@then('a write under the store lease raises "{code}"')
def step_write_under_lease(context, code):
    assert find_code(context, write("/other", b"x", lease_id=context.lease_id)) == code


@then("the store lease can be revoked twice")
def step_lease_revoked(context):
    for _ in range(2):
        run_with_store(context, lambda store: store.revoke_lease(context.lease_id))


@when('{count:d} changes are made below "{prefix}", with outages, while it is watched')
def step_watch_changes(context, count, prefix):
    context.seen = []
    start = run_with_store(context, lambda store: store.list_prefix(prefix)).revision

    async def watch(store):
        revision = start
        for _ in range(MAX_ATTEMPTS):
            try:
                batch = await store.wait_for_changes(prefix, revision, TIMEOUT_S)
            except StoreUnavailableError:
                await anyio.lowlevel.checkpoint()
                continue
            revision = batch.revision
            context.seen += sorted(entry.revision for entry in batch.updates)
            if len(context.seen) >= count:
                return

    async def switch_outage(client, outage):
        await client.put(context.platform.url + "/control", json={"outage": outage})

    async def change(store):
        async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
            for number in range(count):
                await store.compare_and_swap(f"{prefix}{number}", b"x", ABSENT_REVISION)
                if number % 10 == 5:
                    await switch_outage(client, True)
                    await switch_outage(client, False)

    async def run(store):
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(watch, store)
                group.start_soon(change, store)

    run_with_store(context, run)
    context.made = run_with_store(context, lambda store: store.list_prefix(prefix)).entries


@then("the watcher has seen all {count:d} changes in order")
def step_watch_result(context, count):
    assert len(context.seen) == count, context.seen
    assert context.seen == sorted(entry.revision for entry in context.made), context.seen


@when('the store keys "{first}" and "{second}" are written twice and "{deleted}" is deleted')
def step_batch_changes(context, first, second, deleted):
    for key in (first, second):
        revision = run_with_store(context, write(key, b"first"))
        context.revision = run_with_store(context, write(key, b"second", revision))
    entry = run_with_store(context, lambda store: store.get(deleted))
    context.revision = run_with_store(context, lambda store: store.delete(deleted, entry.revision))


@then('one batch below "{prefix}" has the update "{updated}" and the deletion "{deleted}"')
def step_batch(context, prefix, updated, deleted):
    batch = run_with_store(context, lambda store: store.wait_for_changes(prefix, 0, TIMEOUT_S))
    assert [(entry.key, entry.value) for entry in batch.updates] == [(updated, b"second")]
    assert [entry.key for entry in batch.deletions] == [deleted]
    assert batch.revision == batch.deletions[0].revision == context.revision, batch


@then('a watch below "{prefix}" after that batch is empty and stays at its revision')
def step_batch_empty(context, prefix):
    batch = run_with_store(
        context, lambda store: store.wait_for_changes(prefix, context.revision, 0.2)
    )
    assert (batch.revision, batch.updates, batch.deletions) == (context.revision, (), ()), batch


def find_watch_error(context, prefix, after_revision):
    """Returns the code of the error that a watch raises; empty if it raises none."""
    try:
        run_with_store(
            context, lambda store: store.wait_for_changes(prefix, after_revision, TIMEOUT_S)
        )
    except StoreWatchError as error:
        return error.code
    return ""


@then('a watch below "{prefix}" from the start raises "{code}"')
def step_watch_from_start(context, prefix, code):
    assert find_watch_error(context, prefix, 0) == code


@then('a watch below "{prefix}" after the last write raises "{code}"')
def step_watch_after_last(context, prefix, code):
    assert find_watch_error(context, prefix, context.revision) == code


@when('the store keys "{first}", "{second}", "{third}" and "{fourth}" are written')
def step_write_keys(context, first, second, third, fourth):
    for key in (first, second, third, fourth):
        run_with_store(context, write(key, b"x"))


@then('the store prefix "{prefix}" lists "{keys}"')
@then('the store prefix "" lists "{keys}"')
def step_list_prefix(context, keys, prefix=""):
    listing = run_with_store(context, lambda store: store.list_prefix(prefix))
    assert [entry.key for entry in listing.entries] == keys.split(), listing


async def fetch_machines(context):
    """Fetches the list of VMs from the stand-in."""
    machines = HttpVirtualMachineList(context.platform.url, TIMEOUT_S)
    try:
        return await machines.fetch()
    finally:
        await machines.close()


@step('the list of VMs is "{name} {host} {failure_domain} {state}"')
def step_machines(context, name, host, failure_domain, state):
    rows = anyio.run(fetch_machines, context)
    actual = [(row.name, row.host, row.failure_domain, row.leaving) for row in rows]
    assert actual == [(name, host, failure_domain, state == "leaving")], actual


@then('fetching the list of VMs raises "{code}"')
def step_machines_unavailable(context, code):
    try:
        anyio.run(fetch_machines, context)
    except StoreError as error:
        assert error.code == code, error.code
    else:
        raise AssertionError("no error")


@then('a list of VMs with the status {status:d} raises "{code}"')
def step_machines_status(context, status, code):
    async def fetch():
        machines = HttpVirtualMachineList("http://a", TIMEOUT_S)
        replace_transport(machines, lambda request: httpx.Response(status, json={"vms": []}))
        return await machines.fetch()

    try:
        anyio.run(fetch)
    except StoreError as error:
        assert error.code == code, error.code
    else:
        raise AssertionError("no error")


@when('a watch below "{prefix}" has ended')
def step_watch_ended(context, prefix):
    run_with_store(context, lambda store: store.wait_for_changes(prefix, 0, TIMEOUT_S))


@then("the platform stand-in has counted {calls}")
def step_counts(context, calls):
    counts = httpx.get(context.platform.url + "/control/counts", timeout=TIMEOUT_S).json()
    assert counts["calls"] == json.loads(calls), counts
