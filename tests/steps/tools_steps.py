"""Steps for the development tools."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

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
