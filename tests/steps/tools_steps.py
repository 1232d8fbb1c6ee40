"""Steps for the development tools."""

import subprocess
import sys
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).resolve().parents[2]
LONGEST_SCHEDULE_S = 240


@when("the random schedule of seed {seed:d} is run")
def step_prove(context, seed):
    command = [sys.executable, "-m", "tools.prove", "--seed", str(seed)]
    context.prove_seed = seed
    context.prove = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=LONGEST_SCHEDULE_S, check=False
    )


@then("every condition held")
def step_held(context):
    output = context.prove.stdout
    last = output.splitlines()[-1] if output else ""
    assert last.startswith(f"prove: seed {context.prove_seed}: "), output + context.prove.stderr
    assert last.endswith(" conditions held, 0 broken"), output
    assert context.prove.returncode == 0, output


FAILING_STEPS = {
    "an error": "raise_error()",
    "an error in a task": "anyio.run(run_in_task)",
    "a failed assertion": "assert False, 'wrong value'",
}
STEPS_TEMPLATE = """
import anyio
from behave import given

def raise_error():
    raise RuntimeError("broken step")

async def run_in_task():
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(anyio.to_thread.run_sync, raise_error)

@given("a step")
def step_impl(context):
    {statement}
"""


@given("a feature of its own whose step has {failure}")
def step_failing_feature(context, failure):
    steps = context.folder / "steps"
    steps.mkdir()
    (steps / "failing_steps.py").write_text(STEPS_TEMPLATE.format(statement=FAILING_STEPS[failure]))
    (context.folder / "environment.py").write_text("from tests.environment import *\n")
    feature = "Feature: failing\n  Scenario: fails\n    Given a step\n"
    (context.folder / "failing.feature").write_text(feature)


@when("that feature is run")
def step_run_feature(context):
    command = [sys.executable, "-m", "behave", "--format", "progress", str(context.folder)]
    result = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False
    )
    assert result.returncode != 0, result.stdout
    context.run_output = result.stdout + result.stderr


@then('the output has the scenario\'s log folder and the lines "{lines}" of a traceback')
def step_traceback(context, lines):
    assert "fails; logs: " in context.run_output, context.run_output
    for line in lines.split("; "):
        assert line in context.run_output, context.run_output
