"""Entry point of berylctl."""

import sys

from berylproxy.cli.core import main
from berylproxy.environment import Environment


def run() -> None:
    """Runs berylctl with this process's arguments, standard streams and environment variables."""
    sys.exit(main(sys.argv[1:], Environment.from_process()))


if __name__ == "__main__":
    run()
