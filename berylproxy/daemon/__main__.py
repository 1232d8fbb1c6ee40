"""Runs ``python -m berylproxy.daemon``."""

import sys

from berylproxy.daemon.core import main
from berylproxy.environment import Environment


def run() -> None:
    """Runs the daemon in this process and exits with its status."""
    sys.exit(main(sys.argv[1:], Environment.from_process()))


if __name__ == "__main__":
    run()
