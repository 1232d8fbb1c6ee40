"""Runs scenarios with several seeds and prints their spread: ``python -m tools.bench.report``."""

import json
from argparse import ArgumentParser
from collections.abc import Iterable
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory

from tools.bench.__main__ import run_scenario
from tools.bench.scenarios import SCENARIOS
from tools.bench.system import BASELINES, PRODUCT

ROW = "| {} | {} | {} | {} | {} | {} | {} | {} |"


def format_spread(values: Iterable[float]) -> str:
    """Formats the median, minimum and maximum."""
    ordered = sorted(values)
    return f"{median(ordered):.3g} ({ordered[0]:.3g}-{ordered[-1]:.3g})"


def print_spread(scenario: str, reports: list[dict]) -> None:
    """Prints the table rows of one scenario."""
    bound = [
        format_spread(report[field] for report in reports) for field in ("bound_p50", "bound_p99")
    ]
    idle = format_spread(report["bound_idle_while_waiting"] for report in reports)
    print(ROW.format(scenario, "bound", *bound, "", idle, "", ""), flush=True)
    for policy in reports[0]["policies"]:
        rows = [report["policies"][policy] for report in reports]
        print(
            ROW.format(
                scenario,
                policy,
                format_spread(row["slowdown_p50"] for row in rows),
                format_spread(row["slowdown_p99"] for row in rows),
                format_spread(row["wasted_per_task"]["total"] for row in rows),
                format_spread(row["idle_while_waiting"] for row in rows),
                sum(row["failed"] for row in rows),
                sum(row["not_run"] for row in rows),
            ),
            flush=True,
        )


def main() -> None:
    """Parses the command line and runs all scenarios and seeds, one after another."""
    parser = ArgumentParser(prog="python -m tools.bench.report", description=__doc__)
    parser.add_argument("--scenarios", default="steady-50,steady-70,steady-90")
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--policies", default=",".join((PRODUCT, *BASELINES)))
    parser.add_argument("--json", type=Path, help="file to which each report is appended as a line")
    arguments = parser.parse_args()
    print(ROW.format("scenario", "policy", "p50", "p99", "wasted", "idle", "failed", "not run"))
    print(ROW.format(*("---",) * 8), flush=True)
    for name in arguments.scenarios.split(","):
        reports = []
        for seed in arguments.seeds.split(","):
            with TemporaryDirectory() as folder:
                policies = arguments.policies.split(",")
                reports.append(run_scenario(SCENARIOS[name], int(seed), policies, Path(folder)))
            if arguments.json:
                with arguments.json.open("a") as file:
                    file.write(json.dumps(reports[-1]) + "\n")
        print_spread(name, reports)


if __name__ == "__main__":
    main()
