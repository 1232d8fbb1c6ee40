"""Hooks that behave runs around each scenario."""

import sys
from pathlib import Path
from tempfile import mkdtemp
from traceback import print_exception

FAILED_STATUSES = ("failed", "error")


def before_scenario(context, scenario):
    """Creates a folder for the logs of the scenario's processes; it is kept after the scenario."""
    context.folder = Path(mkdtemp(prefix="berylproxy-"))


def after_step(context, step):
    """Prints the traceback of a failed step; behave's own formats leave out that of an error."""
    if step.exception is not None and step.status in FAILED_STATUSES:
        print_exception(step.exception, file=sys.__stderr__)


def after_scenario(context, scenario):
    """Prints the log folder of a failed scenario."""
    if scenario.status in FAILED_STATUSES:
        print(f"{scenario.location}: {scenario.name}; logs: {context.folder}", file=sys.__stderr__)
