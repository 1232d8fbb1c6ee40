"""Steps for the format of log lines."""

import io
import json
from dataclasses import dataclass

from behave import given, then, when
from logbook import Logger

from berylproxy.logs import make_log_handler


@dataclass
class Point:
    """A value without a JSON type of its own."""

    x: int

    def __str__(self) -> str:
        return f"Point(x={self.x})"


VALUES = {
    "a lone surrogate": "\ud800",
    "a huge integer": 2**70,
    "a tuple": (1, 2),
    "an exception": ValueError("broken"),
    "a numeric key": {1: "one"},
    "a data class": Point(1),
    "two lines": "one\ntwo",
}


@given("a log handler that writes to memory")
def step_handler(context):
    context.log_output = io.StringIO()
    context.log_handler = make_log_handler(context.log_output, "info", daemon_id="d1")


@when("a record with the field {value} is logged {times:d} times")
def step_log(context, value, times):
    with context.log_handler.applicationbound():
        for _ in range(times):
            Logger("test").info("logged", extra={"field": VALUES[value]})


@then("{count:d} lines were logged, each of which JSON decodes with the field as {decoded}")
def step_logged(context, count, decoded):
    lines = context.log_output.getvalue().splitlines()
    assert len(lines) == count, lines
    for line in lines:
        content = json.loads(line)
        assert content["field"] == json.loads(decoded), content
        assert content["daemon_id"] == "d1" and content["message"] == "logged", content
