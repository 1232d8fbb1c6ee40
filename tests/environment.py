"""Hooks that behave runs around each scenario."""

from pathlib import Path
from tempfile import mkdtemp


def before_scenario(context, scenario):
    """Creates a folder for the logs of the scenario's processes; it is kept after the scenario."""
    context.folder = Path(mkdtemp(prefix="berylproxy-"))


def after_scenario(context, scenario):
    """Prints the log folder of a failed scenario."""
    if scenario.status == "failed":
        print(f"logs: {context.folder}")
