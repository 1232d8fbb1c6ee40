"""Steps on entries and records that make no sense and that any writer may have left."""

import json
from time import monotonic, sleep
from types import SimpleNamespace

import orjson
from anyio import run
from behave import given, then, use_step_matcher, when
from hypothesis import strategies
from logbook import TestHandler
from msgspec.msgpack import Encoder

from berylproxy.durable.endpoints.capacity_spread import CapacitySpread
from berylproxy.durable.endpoints.fleet import EndpointList
from berylproxy.durable.jobs.messages import DURABLE_MESSAGES, HolderHeartbeat
from berylproxy.durable.jobs.models import EndpointInfo, Resources
from berylproxy.durable.learning.response_times import ResponseTimes
from berylproxy.peers.codec import MessageCodec, NoticeFrame
from berylproxy.platform.endpoints import PlatformEndpoint, PlatformEndpoints
from berylproxy.platform.members import MEMBER_PREFIX, MemberList
from berylproxy.platform.runner_entries import LIST_PREFIX
from berylproxy.platform.store import StorePage
from berylproxy.store.port import Entry
from tests.support.odd_values import fuzz, make_variants, nest, texts
from tests.support.platform_cluster import SERVICE

SOUND_ENTRY = {
    "service": SERVICE,
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "capacity": {"cpu": 64000, "mem-mb": 1000},
    "labels": ["b", "r1-2"],
    "born": 5,
    "seq": 1,
}
ODD_NAME = "odd"
UNEXPECTED = "unexpected error"
READ_TIMEOUT_S = 5.0
LARGEST_FLEET = 10_000

addresses = strategies.builds(
    lambda host, port: f"{host}:{port}",
    strategies.sampled_from(["10.0.0.1", "[::1]", "::1", "[::1%ž]", "0.0.0.0", "host", ""]) | texts,
    strategies.integers(-1, 70_000) | texts,
)


def make_odd_entry(oddity, address):
    """Returns the key and the bytes of an entry that is sound but for one oddity."""
    kind, _, rest = oddity.partition(" ")
    key, fields = LIST_PREFIX + ODD_NAME, {**SOUND_ENTRY, "address": address}
    if kind == "key":
        return LIST_PREFIX + json.loads(rest.removeprefix("ends in ")), orjson.dumps(fields)
    if kind == "fields":
        return key, b"{}"
    if kind == "bytes":
        match rest.split():
            case ["are", "nested", depth, "deep"]:
                return key, nest(int(depth)).encode()
            case ["are", "empty"]:
                return key, b""
            case ["are", "not", "UTF-8"]:
                return key, orjson.dumps(fields).replace(b"ledger", b"ledger\xff")
    name, _, change = rest.partition(" ")
    name = name.strip('"')
    if change.startswith("becomes "):
        fields[name] = json.loads(change.removeprefix("becomes "))
        return key, json.dumps(fields).encode()
    size = int(change.split()[-3 if change.endswith("long") else -2])
    if change.endswith("long"):
        return key, json.dumps(fields | {name: "a" * size}).encode()
    return key, json.dumps(fields | {name: "?"}).replace('"?"', nest(size)).encode()


def names_key(message, key):
    """Returns whether a log message names a key, whose control characters may be escaped."""
    return repr(key)[1:-1] in message


class PlayedList:
    """Takes the place of the store; has one page of entries."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []

    async def read_all(self, *_: object, **__: object) -> StorePage:
        return StorePage(tuple(self.entries), False, 1)


def check_usable(infos):
    """Checks that runners can be ordered, and that other daemons can be told of them."""
    codec = MessageCodec(DURABLE_MESSAGES)
    for info in infos:
        client = PlatformEndpoint(info, 1.0, ResponseTimes())
        request = client._http._encode("POST", "/-/hold", b"{}", client._headers)
        assert request.count(b"\r\n") == 6, request
    names = tuple(info.instance.endpoint_id for info in infos)
    room = sum(info.capacity.cpu_millicores for info in infos) * LARGEST_FLEET
    codec.encode(NoticeFrame(HolderHeartbeat("g", 1, names, room_millicores=room)))
    endpoint_list = EndpointList()
    network = SimpleNamespace(add_heartbeat_part=lambda *_: None, on_change=lambda _: None)
    clock = SimpleNamespace(now_s=lambda: 1.0)
    spread = CapacitySpread(network, endpoint_list, clock, lambda _: True)
    without = [
        EndpointInfo(i.instance, i.service, i.address, i.failure_domain, Resources(1))
        for i in infos
    ]
    endpoint_list.update(tuple(without), 1.0)
    endpoint_list.update(tuple(infos), 1.0)
    Encoder().encode(spread.describe())
    assert all(0 <= info.cold_left_s < 1e6 for info in infos)


use_step_matcher("re")


@given(r"a list of a sound runner and one whose (?P<oddity>(?:bytes|fields?|key) .+)")
def step_impl(context, oddity):
    context.list_store = PlayedList()
    context.directory = PlatformEndpoints(context.list_store, 1.0)
    sound = Entry(LIST_PREFIX + "e1", orjson.dumps(SOUND_ENTRY), 1)
    key, value = make_odd_entry(oddity, SOUND_ENTRY["address"])
    context.odd_key = key
    context.list_store.entries = [sound, Entry(key, value, 2)]
    context.log = TestHandler()


@when(r"the odd entry becomes one whose (?P<oddity>.+)")
def step_impl(context, oddity):
    _, value = make_odd_entry(oddity, SOUND_ENTRY["address"])
    context.list_store.entries[1] = Entry(context.odd_key, value, 3)


@when(r"the list is read 3 times")
def step_impl(context):
    with context.log.applicationbound():
        context.lists = [run(context.directory.fetch) for _ in range(3)]


@then(r"it names the sound runner only")
def step_impl(context):
    for infos in context.lists:
        assert [info.instance.endpoint_id for info in infos] == ["e1"], len(infos)
        check_usable(infos)


@then(r"(?P<lines>\d+) lines? (?:is|are) logged, which names? the odd entry")
def step_impl(context, lines):
    messages = [record.message for record in context.log.records]
    assert len(messages) == int(lines), messages
    assert all(names_key(message, context.odd_key) for message in messages), messages


@then(r"of arbitrary entries each is skipped, or names a runner that can be ordered and told of")
def step_impl(context):
    counts = {True: 0, False: 0}
    keys = texts | strategies.just("e1")
    entries = make_variants(SOUND_ENTRY | {"address": "10.0.0.1:80"})

    @fuzz(key=keys, fields=entries, address=addresses, has_odd_address=strategies.booleans())
    def check(key, fields, address, has_odd_address):
        fields = fields | {"address": address} if has_odd_address else fields
        store = PlayedList()
        store.entries = [Entry(LIST_PREFIX + key, json.dumps(fields).encode(), 1)]
        infos = run(PlatformEndpoints(store, 1.0).fetch)
        counts[bool(infos)] += 1
        check_usable(infos)

    check()
    assert all(counts.values()), counts


@given(r'a list of a sound member and one whose record is "(?P<record>.+)"')
def step_impl(context, record):
    sound = orjson.dumps({"peer_address": "10.0.0.1:80", "failure_domain": "a"})
    context.member_entries = [
        Entry(MEMBER_PREFIX + "d1", sound, 1),
        Entry(MEMBER_PREFIX + "d2", record.encode(), 1),
    ]
    context.log = TestHandler()


@when(r"the members are read 3 times")
def step_impl(context):
    member_list = MemberList()
    with context.log.applicationbound():
        for _ in range(3):
            context.members = member_list.decode(context.member_entries)


@then(r"1 member is known, and 1 line is logged, which names the damaged record")
def step_impl(context):
    assert list(context.members) == ["d1"], context.members
    messages = [record.message for record in context.log.records]
    assert len(messages) == 1 and "d2" in messages[0], messages


@when(r"another writer leaves an entry whose (?P<oddity>.+)")
def step_impl(context, oddity):
    cluster = context.platform_cluster
    address = f"127.0.0.1:{cluster.runners[0].announced['port']}"
    context.odd_key, value = make_odd_entry(oddity, address)
    cluster.write_text(context.odd_key, value.decode())


@when(r"the holder has read it")
def step_impl(context):
    cluster = context.platform_cluster
    deadline_s = monotonic() + READ_TIMEOUT_S
    while monotonic() < deadline_s:
        messages = [line["message"] for line in cluster.read_log(cluster.daemons[0])]
        if any(UNEXPECTED in text or names_key(text, context.odd_key) for text in messages):
            return
        sleep(0.05)
    raise AssertionError(messages)


@then(r"no daemon has ended, no tenure ended by an error, and the odd entry was logged once")
def step_impl(context):
    cluster = context.platform_cluster
    for daemon in cluster.daemons:
        assert daemon.child.poll() is None, daemon.child.poll()
        messages = [line["message"] for line in cluster.read_log(daemon)]
        assert not [text for text in messages if "unexpected error" in text], messages


use_step_matcher("parse")
