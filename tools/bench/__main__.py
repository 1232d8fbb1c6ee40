"""Runs one scenario of the benchmark: ``python -m tools.bench --scenario steady-70 --seed 1``."""

import json
from argparse import ArgumentParser
from dataclasses import asdict
from pathlib import Path
from tempfile import TemporaryDirectory

from tools.bench.arrivals import Arrival, compute_mean_run_time_s, draw_arrivals
from tools.bench.bound import Bound, compute_bound
from tools.bench.idleness import compute_idle_while_waiting
from tools.bench.scenarios import SCENARIOS, Scenario
from tools.bench.summary import PolicySummary, find_percentile, summarize
from tools.bench.system import BASELINES, PRODUCT, BenchSystem

ROW = "{:<14}{:>8}{:>8}{:>9}{:>8}{:>7}{:>8}{:>9}"


def draw_scenario_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Draws the arrivals that produce a scenario's load."""
    fastest_speed = max(scenario.speeds)
    capacity = sum(speed * slots for speed, slots in scenario.slots_by_speed.items())
    mean_work_s = compute_mean_run_time_s() * fastest_speed
    return draw_arrivals(
        seed,
        tasks_per_s=scenario.load * capacity / mean_work_s,
        duration_s=scenario.duration_s,
        daemon_weights=scenario.daemon_weights or (1.0,) * len(scenario.daemon_domains),
        fastest_speed=fastest_speed,
        tasks_per_job=scenario.tasks_per_job,
    )


def run_scenario(scenario: Scenario, seed: int, policies: list[str], folder: Path) -> dict:
    """Runs all policies on the same arrivals and returns the report."""
    arrivals = draw_scenario_arrivals(scenario, seed)
    bound = compute_bound(arrivals, scenario.slots_by_speed)
    with BenchSystem(scenario, arrivals, folder) as system:
        # The baselines run first because the product's daemons keep connections for some seconds.
        runs = {policy: system.run_policy(policy) for policy in reversed(policies)}
    summaries = {policy: summarize(scenario, arrivals, runs[policy]) for policy in policies}
    return make_report(scenario, seed, arrivals, bound, summaries)


def make_report(
    scenario: Scenario,
    seed: int,
    arrivals: list[Arrival],
    bound: Bound,
    summaries: dict[str, PolicySummary],
) -> dict:
    """Builds the report that is printed as JSON in the last line of the output."""
    idle = compute_idle_while_waiting(bound.intervals, scenario.total_slots, scenario.duration_s)
    return {
        "scenario": scenario.name,
        "seed": seed,
        "load": scenario.load,
        "arrivals": len(arrivals),
        "bound_p50": round(find_percentile(bound.slowdowns, 50), 3),
        "bound_p99": round(find_percentile(bound.slowdowns, 99), 3),
        "bound_idle_while_waiting": round(idle, 4),
        "policies": {policy: asdict(summary) for policy, summary in summaries.items()},
    }


def print_table(report: dict) -> None:
    """Prints the report as a table."""
    print(f"{report['scenario']}, seed {report['seed']}, {report['arrivals']} arrivals")
    print(ROW.format("policy", "p50", "p99", "wasted", "idle", "done", "failed", "not run"))
    bound = (report["bound_p50"], report["bound_p99"], "", report["bound_idle_while_waiting"])
    print(ROW.format("bound", *bound, "", "", ""))
    for policy, summary in report["policies"].items():
        figures = (summary["slowdown_p50"], summary["slowdown_p99"])
        figures += (summary["wasted_per_task"]["total"], summary["idle_while_waiting"])
        print(ROW.format(policy, *figures, summary["done"], summary["failed"], summary["not_run"]))


def main() -> None:
    """Parses the command line, runs a scenario and prints the report."""
    parser = ArgumentParser(prog="python -m tools.bench", description=__doc__)
    parser.add_argument("--scenario", choices=SCENARIOS, default="steady-70")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policies", default=",".join((PRODUCT, *BASELINES)))
    parser.add_argument(
        "--folder", type=Path, help="folder that keeps the files written by the processes"
    )
    arguments = parser.parse_args()
    with TemporaryDirectory() as temporary:
        folder = arguments.folder or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        policies = arguments.policies.split(",")
        report = run_scenario(SCENARIOS[arguments.scenario], arguments.seed, policies, folder)
    print_table(report)
    print(json.dumps(report))


if __name__ == "__main__":
    main()
