"""Steps that decode data of the platform, its runners and its callers."""

import contextlib
import json
import os
from functools import partial
from time import monotonic

from anyio import run
from behave import given, then, use_step_matcher, when
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from berylproxy.durable.jobs.models import CompleteReport
from berylproxy.durable.jobs.ports import EndpointCallError
from berylproxy.durable.learning.response_times import ResponseTimes
from berylproxy.errors import SettingsError
from berylproxy.http_exchange import HttpResponse
from berylproxy.logs import NonBlockingOutput
from berylproxy.platform.callers import JobUnsupportedError, RequestInvalidError, decode_job
from berylproxy.platform.configuration import ConfigurationInvalidError, decode_configuration
from berylproxy.platform.endpoints import PlatformEndpoint, decode_report, decode_start
from berylproxy.platform.members import decode_member
from berylproxy.platform.runner_entries import EntryInvalidError, decode_entry
from berylproxy.platform.settings import load_platform_settings
from berylproxy.store.port import Entry
from tests.support.platform_cluster import HOST, make_configuration

VALID_ENTRY = {
    "service": "ledger",
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
MAX_WRITE_S = 5.0
FUZZ_EXAMPLES = 80

json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda children: strategies.lists(children, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=8), children, max_size=4),
    max_leaves=12,
)


def make_variants(valid):
    """Generates objects with some of the fields of a valid one and arbitrary values."""
    fields = {name: json_values | strategies.just(value) for name, value in valid.items()}
    return strategies.fixed_dictionaries({}, optional=fields)


use_step_matcher("re")


@given(r"a valid list entry")
def step_impl(context):
    context.entry_fields = dict(VALID_ENTRY)
    context.entry_bytes = json.dumps(VALID_ENTRY).encode()


@when(r'its field "(?P<name>[\w-]+)" becomes (?P<value>.+)')
def step_impl(context, name, value):
    context.entry_fields[name] = json.loads(value)
    context.entry_bytes = json.dumps(context.entry_fields).encode()


@when(r"its bytes are (?P<damage>as they were|cut in half)")
def step_impl(context, damage):
    if damage == "cut in half":
        context.entry_bytes = context.entry_bytes[: len(context.entry_bytes) // 2]


@then(r"it is (?P<verdict>an endpoint|a leaving endpoint|rejected)")
def step_impl(context, verdict):
    try:
        info = decode_entry(Entry("servers/e1", context.entry_bytes, 1))
    except EntryInvalidError:
        assert verdict == "rejected"
        return
    assert verdict != "rejected", info
    assert info.instance.endpoint_id == "e1"
    assert info.leaving == (verdict == "a leaving endpoint")
    assert (info.kind, info.rack) == ("b", "r1-2")


@then(r"a member's record (?P<record>.+) is (?P<verdict>accepted|rejected)")
def step_impl(context, record, verdict):
    member = decode_member(Entry("members/d1", record.encode(), 1))
    assert (member is not None) == (verdict == "accepted"), member


@when(r"this report of a runner is decoded:")
def step_impl(context):
    context.report = decode_report(json.loads(context.text), 0.0)


@then(r"1 running task, 1 ended run and 3 unreadable rows are found")
def step_impl(context):
    report = context.report
    assert (len(report.running), len(report.ended), report.unreadable) == (1, 1, 3), report
    assert report.born_ms == 7 and report.running[0].name == ("00000000000000aa", 1, 2)


@when(
    r"a runner's report with (?:(?P<count>\d+) ends|"
    r'"(?P<name>\w+)" (?:missing|becoming (?P<value>.+))) is decoded'
)
def step_impl(context, count=None, name=None, value=None):
    ended = [[n + 1, f"00000000000000aa.0.0.{n}", 1, "done", ""] for n in range(int(count or 0))]
    content = {"born": 7, "running": [], "ended": ended}
    if value:
        content[name] = json.loads(value)
    elif name:
        del content[name]
    context.report = decode_report(content, 0.0)


class OneAnswer:
    """Takes the place of the HTTP client of a runner."""

    def __init__(self, status, body):
        self.status, self.body = status, body

    async def call(self, *_, **__):
        return HttpResponse(self.status, self.body.encode(), 1.0, 1.1)


@when(r"a runner answers a renewal with (?P<status>\d+) and (?P<body>.+)")
def step_impl(context, status, body):
    info = decode_entry(Entry("servers/e1", json.dumps(VALID_ENTRY).encode(), 1))
    client = PlatformEndpoint(info, 1.0, ResponseTimes())
    client._http = OneAnswer(int(status), body)
    context.report = None
    with contextlib.suppress(EndpointCallError):
        context.report = run(partial(client.renew, 1, 0, 0.0, extend=False))


@then(r"the renewal (?P<verdict>returns a complete report|fails)")
def step_impl(context, verdict):
    assert (context.report is None) == (verdict == "fails"), context.report
    assert context.report is None or isinstance(context.report, CompleteReport), context.report


@then(r"it is a (?P<verdict>complete|partial) report")
def step_impl(context, verdict):
    assert isinstance(context.report, CompleteReport) == (verdict == "complete"), context.report


@given(r'a configuration with the prefixes "(?P<first>[/\w]+)" and "(?P<second>[/\w]+)"')
def step_impl(context, first, second):
    encoded = json.dumps(make_configuration(4, [first, second])).encode()
    context.platform_configuration = decode_configuration(encoded)


@then(r'the path "(?P<path>[/\w]+)" belongs to (?:the queue "(?P<queue>\w+)"|no queue)')
def step_impl(context, path, queue=None):
    route = context.platform_configuration.find_route(HOST, path)
    assert (route.terms.queue if route is not None else None) == queue, route


@given(r'a settings file without "ip", with the number 7 as "zone" and no "\[platform\]"')
def step_impl(context):
    context.settings_path = context.folder / "settings.toml"
    listen = '[listen]\nfrontend-addr = "127.0.0.1:1"\nready-addr = "127.0.0.1:2"\n'
    context.settings_path.write_text(
        f'node-name = "n"\nzone = 7\ninternal-ports = [1, 2]\n{listen}'
    )


@given(r'a settings file with the text "(?P<text>.+)"')
def step_impl(context, text):
    context.settings_path = context.folder / "settings.toml"
    context.settings_path.write_text(text)


@then(r"loading it reports (?P<names>.+)")
def step_impl(context, names):
    try:
        load_platform_settings(str(context.settings_path))
    except SettingsError as error:
        wanted = [name.strip('"') for name in names.replace(" and ", ", ").split(", ")]
        assert all(any(name in problem for problem in error.problems) for name in wanted), error
    else:
        raise AssertionError("the settings were accepted")


@then(r'a job with 4000 letters "a" is accepted, and with 4001 or 2001 letters "č" it is refused')
def step_impl(context):
    encoded = json.dumps(make_configuration(4, ["/a/"])).encode()
    route = decode_configuration(encoded).routes[0]
    for payload, is_accepted in (("a" * 4000, True), ("a" * 4001, False), ("č" * 2001, False)):
        body = json.dumps({"spec": payload, "steps": [{"count": 1}]}).encode()
        try:
            decode_job("0" * 16, route, body)
        except RequestInvalidError:
            assert not is_accepted, len(payload)
        else:
            assert is_accepted, len(payload)


@then(r"random list entries, reports, configurations and jobs are decoded or refused")
def step_impl(context):
    configuration = make_configuration(4, ["/a/"])
    route = decode_configuration(json.dumps(configuration).encode()).routes[0]
    step = {"count": 1, "cpu": 5, "mem-mb": 1, "estimate-ms": 3, "after": [], "checkpoint": True}
    step |= {"max-per-server": 2, "requires": "a", "affinity": "r1-1"}
    job = {"spec": "x", "best-effort": True}

    @hypothesis_settings(max_examples=FUZZ_EXAMPLES, deadline=None, database=None)
    @hypothesis_given(
        make_variants(VALID_ENTRY),
        make_variants(
            {"running": [["a.0.1.2", 1, "", 5]], "ended": [[1, "a.0.1.2", 1, "done", ""]]}
        ),
        make_variants(configuration),
        make_variants(job),
        make_variants(step),
    )
    def check(entry, report, config, fields, one_step):
        with contextlib.suppress(EntryInvalidError):
            decode_entry(Entry("servers/e1", json.dumps(entry).encode(), 1))
        decode_report(report, 0.0)
        with contextlib.suppress(ConfigurationInvalidError):
            decode_configuration(json.dumps(config).encode())
        with contextlib.suppress(RequestInvalidError, JobUnsupportedError):
            decode_job("0" * 16, route, json.dumps({**fields, "steps": [one_step]}).encode())

    check()


@given(r"a pipe whose reader does not read")
def step_impl(context):
    context.pipe_reader, writer = os.pipe()
    context.add_cleanup(os.close, context.pipe_reader)
    context.add_cleanup(os.close, writer)
    context.log_output = NonBlockingOutput(writer)


@when(r"20000 log lines are written into it")
def step_impl(context):
    started_s = monotonic()
    for number in range(20_000):
        context.log_output.write(json.dumps({"message": "x" * 60, "number": number}) + "\n")
    context.write_s = monotonic() - started_s


@then(r"the writer was never blocked, and dropped lines were counted")
def step_impl(context):
    assert context.write_s < MAX_WRITE_S, context.write_s
    assert context.log_output.dropped_lines > 0


@when(r"the pipe is read again and one more line is written")
def step_impl(context):
    os.set_blocking(context.pipe_reader, False)
    context.read_text = b""
    for _ in range(100):
        try:
            context.read_text += os.read(context.pipe_reader, 1 << 20)
        except BlockingIOError:
            context.log_output.write('{"message": "the last"}\n')


@then(r"the reader learns how many lines are missing")
def step_impl(context):
    lines = [json.loads(line) for line in context.read_text.splitlines()]
    notices = [line for line in lines if line["message"] == "log lines were dropped"]
    assert notices and sum(line["lines"] for line in notices) == context.log_output.dropped_lines


use_step_matcher("parse")


@then('a runner\'s {status:d} with reason "{reason}" means "{outcome}"')
@then('a runner\'s {status:d} with reason "" means "{outcome}"')
def step_start_answer(context, status, outcome, reason=""):
    answer = HttpResponse(status, json.dumps({"reason": reason}).encode(), 0.0, 0.0)
    assert decode_start(answer) == outcome, decode_start(answer)


@then("a step of {count:d} tasks with {fields} is {verdict}")
def step_supported(context, count, fields, verdict):
    route = decode_configuration(json.dumps(make_configuration(4, ["/a/"])).encode()).routes[0]
    body = json.dumps({"spec": "x", "steps": [{"count": count, **json.loads(fields)}]}).encode()
    try:
        job = decode_job("0" * 16, route, body)
    except JobUnsupportedError:
        assert verdict == "unsupported"
    else:
        assert verdict == "accepted" and job.steps[0].count == count


@given("a configuration whose queue has advice of {decide_ms:d} ms")
def step_advice(context, decide_ms):
    configuration = make_configuration(4, ["/a/", "/b/"])
    configuration["routes"][0]["advice"] = {"decide-ms": decide_ms, "each-ms": 1, "valid-ms": 900}
    context.routes = decode_configuration(json.dumps(configuration).encode()).routes


@then("its route needs advice, and that of a queue without does not")
def step_needs_advice(context):
    assert [route.needs_advice for route in context.routes] == [True, False]
