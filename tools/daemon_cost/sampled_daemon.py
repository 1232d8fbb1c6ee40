"""Runs a daemon of the platform under the sampler.

Usage: python -m tools.daemon_cost.sampled_daemon FILE

Writes its processor time by part to the file when it stops.
"""

import json
import sys
import time
from pathlib import Path

from tools.daemon_cost.sampler import Sampler

MAX_FUNCTIONS = 120


def main(path: Path) -> int:
    """Runs the daemon until SIGTERM; returns its exit status."""
    sampler = Sampler()
    sampler.start()
    from berylproxy.environment import Environment
    from berylproxy.platform.__main__ import main as run_daemon

    started_s = time.monotonic()
    status = run_daemon(Environment.from_process())
    parts = sampler.stop()
    report = {
        "parts": parts,
        "ran_s": time.monotonic() - started_s,
        "functions": sampler.functions.most_common(MAX_FUNCTIONS),
    }
    path.write_text(json.dumps(report))
    return int(status)


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
