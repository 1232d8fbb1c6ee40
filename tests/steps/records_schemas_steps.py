"""Steps for the schemas of the records."""

import json
import re
from copy import deepcopy

from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from berylproxy.records.envelope import Envelope, decode_envelope, encode_envelope
from berylproxy.records.errors import RecordError
from berylproxy.records.schemas import export_json_schemas, parse_record
from tests.support.records_world import TEMPLATES

SETTINGS = {"derandomize": True, "database": None, "deadline": None}
NAMES = st.from_regex(r"[a-z0-9][a-z0-9-]{0,62}", fullmatch=True)
ENDPOINTS = st.fixed_dictionaries(
    {
        "schema_version": st.just(2),
        "pool": NAMES,
        "url": st.builds("http://{}:{}".format, st.ip_addresses(v=4), st.integers(1, 65_535)),
        "takes": st.fixed_dictionaries(
            {
                "slots": st.integers(1, 4_096),
                "connections": st.integers(1, 65_536),
                "memory_mb": st.integers(0, 16 * 1024 * 1024),
                "accelerators": st.integers(0, 64),
            }
        ),
        "owner": NAMES,
        "cost_bearer": NAMES,
        "failure_domain": NAMES,
    },
    optional={"leaving": st.booleans()},
)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.just(10**400)
    | st.floats()
    | st.text()
    | st.just("http://[")
    | st.characters(categories=["Cs"])
)
VALUES = st.recursive(
    SCALARS, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner), max_leaves=8
)


@st.composite
def damaged_records(draw):
    """Draws a kind with a valid record whose fields are partly replaced, or with any value."""
    kind, template = draw(st.sampled_from(sorted(TEMPLATES.values(), key=str)))
    fields = draw(st.lists(st.sampled_from(sorted(template)), max_size=3))
    version = draw(st.sampled_from([template["schema_version"], 1, 2, 3]))
    damaged = template | {"schema_version": version} | {field: draw(VALUES) for field in fields}
    return kind, draw(st.just(damaged) | VALUES)


def set_field(record, path, value):
    """Sets a field by its dotted name."""
    *parents, last = path.split(".")
    for parent in parents:
        record = record[parent]
    record[int(last) if isinstance(record, list) else last] = value


@when("records are parsed:")
def step_parse_table(context):
    context.parsed = {}
    for row in context.table:
        kind, raw = TEMPLATES[row["template"]]
        context.parsed[row["name"]] = parse_record(kind, row["name"], raw)


@when("a {template} record is parsed with {field} set to {value}")
def step_parse_changed(context, template, field, value):
    kind, raw = deepcopy(TEMPLATES[template])
    set_field(raw, field, json.loads(value))
    context.error = None
    try:
        parse_record(kind, "e1", raw)
    except RecordError as error:
        context.error = error


@then(
    'endpoint record "{name}" has slots {slots:d}, connections {count:d} and cost bearer "{bearer}"'
)
def step_check_endpoint(context, name, slots, count, bearer):
    endpoint = context.parsed[name]
    assert (endpoint.slots, endpoint.connections, endpoint.cost_bearer) == (slots, count, bearer)


@then('the record error is "{code}" for the field "{field}"')
def step_check_error(context, code, field):
    assert context.error is not None, "accepted"
    assert context.error.code == code, context.error.code
    if field == "run_time_s" and "<=" in context.error.message:
        return  # the reason of a rule between several fields names them
    assert re.search(rf" {re.escape(field)}[:.]", context.error.message), context.error.message


@then("the record is accepted")
def step_check_accepted(context):
    assert context.error is None, context.error


@then('the record error does not contain "{secret}"')
def step_check_secret(context, secret):
    assert secret not in context.error.message, context.error.message


@then("{count:d} random JSON values parse as a record or fail with a record error")
def step_fuzz(context, count):
    outcomes = set()

    @settings(max_examples=count, suppress_health_check=list(HealthCheck), **SETTINGS)
    @given(damaged_records(), NAMES | st.text())
    def check(damaged, name):
        kind, raw = damaged
        try:
            parse_record(kind, name, raw)
            outcomes.add("accepted")
        except RecordError as error:
            outcomes.add(error.code)

    check()
    assert outcomes == {"accepted", "record_invalid", "schema_version_unknown"}, outcomes


@then("{count:d} random valid endpoint records are the same after encoding and parsing")
def step_round_trip(context, count):
    @settings(max_examples=count, **SETTINGS)
    @given(ENDPOINTS, NAMES)
    def check(raw, name):
        decoded = decode_envelope("key", encode_envelope(Envelope("change", 7, raw)))
        assert decoded == Envelope("change", 7, raw)
        endpoint = parse_record("endpoints", name, decoded.record)
        takes = raw["takes"]
        assert (endpoint.name, endpoint.pool, endpoint.url) == (name, raw["pool"], raw["url"])
        assert (endpoint.slots, endpoint.connections) == (takes["slots"], takes["connections"])
        assert endpoint.resources == {k: takes[k] for k in ("memory_mb", "accelerators")}
        assert (endpoint.owner, endpoint.cost_bearer) == (raw["owner"], raw["cost_bearer"])
        assert endpoint.leaving == raw.get("leaving", False)

    check()


@then('the exported schema of endpoints version "{version}" requires "{field}"')
def step_check_export(context, version, field):
    assert field in export_json_schemas()["endpoints"][version]["required"]
