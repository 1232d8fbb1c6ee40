"""Writes a copy of a site file of the users' bench in which jobs must be kept.

The sheets have best-effort jobs only, for which few rules on lost and repeated work hold::

    python -m tools.kept_sheet SITE.toml COPY.toml [--queues N]
    fleetbench hunt COPY.toml --days 40 --no-cpu --day-cap 3000
"""

import re
import sys
from argparse import ArgumentParser
from pathlib import Path

BEST_EFFORT = re.compile(r"\bloose = true\b")
KEPT = "loose = false"


def keep_jobs(sheet: str, queues: int = 0) -> str:
    """Returns a sheet whose jobs must be kept.

    :param queues: number of queues, from the first on, whose jobs must be kept; 0 for all.
    :raises ValueError: if the sheet has fewer queues with best-effort jobs.
    """
    kept, count = BEST_EFFORT.subn(KEPT, sheet, count=queues)
    if count < max(queues, 1):
        raise ValueError(f"the sheet has best-effort jobs in {count} queues")
    return kept


def main() -> int:
    """Writes the copy and returns the exit status."""
    parser = ArgumentParser(description="Writes a copy of a site file whose jobs must be kept.")
    parser.add_argument("site", type=Path)
    parser.add_argument("copy", type=Path)
    parser.add_argument("--queues", type=int, default=0, help="the first N only; all by default")
    arguments = parser.parse_args()
    try:
        kept = keep_jobs(arguments.site.read_text(encoding="utf-8"), arguments.queues)
        arguments.copy.write_text(kept, encoding="utf-8")
    except (OSError, ValueError) as error:
        print(f"kept_sheet: {arguments.site}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
