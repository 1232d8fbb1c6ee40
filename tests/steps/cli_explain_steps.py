"""Steps for ``berylctl explain``."""

import json

from behave import given, then

JOB = "00000000000000aa"
LINES = (
    ("00.400", "d2", "claimed ledger", {"fence": 32, "former": 16, "holder_silence_s": 0.45}),
    ("00.900", "d2", "job completed", {"job": JOB, "took_s": 0.4}),
    ("00.100", "d1", "job submitted again", {"job": JOB, "attempt": 0}),
    ("00.200", "d1", "job completed", {"job": "00000000000000ff"}),
    ("05.000", "d1", "configuration in force", {"version": 9, "former": 8}),
)


@given("the log lines of a job that was submitted again are on standard input")
def step_log_lines(context):
    written = [
        f"{second} {daemon_id} "
        + json.dumps(
            {
                "time": f"2026-01-01T10:00:{second}",
                "message": message,
                "daemon_id": daemon_id,
                **fields,
            }
        )
        for second, daemon_id, message, fields in LINES
    ]
    context.input = "\n".join(["not a log line", "{broken", *written])


@then('the printed log lines are "{messages}"')
def step_printed_lines(context, messages):
    lines = context.output.getvalue().splitlines()
    wanted = messages.split(",")
    assert len(lines) == len(wanted), lines
    for line, message in zip(lines, wanted, strict=True):
        assert message in line, (line, message)
