"""Hooks for behave."""

from pathlib import Path
from tempfile import mkdtemp


def before_scenario(context, scenario):
    """Gives each scenario a folder for its processes' logs, kept when it fails."""
    context.folder = Path(mkdtemp(prefix="berylproxy-"))


def after_scenario(context, scenario):
    """Names the folder of a failed scenario."""
    if scenario.status == "failed":
        print(f"logs: {context.folder}")
