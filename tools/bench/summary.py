"""Computes the figures of the report from the results of a run."""

from dataclasses import dataclass
from statistics import quantiles

from tools.bench.arrivals import Arrival
from tools.bench.bound import Interval
from tools.bench.idleness import compute_idle_while_waiting
from tools.bench.scenarios import Scenario
from tools.bench.system import PolicyRun

DONE, NOT_RUN = "done", "not_run"
CONTROL_PREFIX = "control"
PERCENTILES = 100


@dataclass(frozen=True, slots=True)
class PolicySummary:
    """The figures of one policy.

    :param wasted_per_task: messages without useful work per task, by kind; ``total`` excludes
        control traffic.
    :param late_p99_s: 99th percentile of the delay with which the load program sent arrivals.
    """

    slowdown_p50: float
    slowdown_p99: float
    wasted_per_task: dict[str, float]
    idle_while_waiting: float
    failed: int
    not_run: int
    done: int
    late_p99_s: float


def find_percentile(values: list[float], percent: int) -> float:
    """Returns a percentile, or 0 if there are fewer than two values."""
    if len(values) < 2:
        return 0.0
    return quantiles(values, n=PERCENTILES, method="inclusive")[percent - 1]


def summarize(scenario: Scenario, arrivals: list[Arrival], run: PolicyRun) -> PolicySummary:
    """Computes the figures of one policy's run."""
    done = [row for row in run.rows if row["outcome"] == DONE]
    fastest_speed = max(scenario.speeds)
    slowdowns = [
        (row["ended_s"] - row["sent_s"]) / (max(arrivals[row["number"]].work_s) / fastest_speed)
        for row in done
    ]
    not_run = sum(row["outcome"] == NOT_RUN for row in run.rows)
    tasks = sum(len(arrival.work_s) for arrival in arrivals)
    wasted = {kind: round(number / tasks, 4) for kind, number in sorted(run.wasted.items())}
    total = sum(
        number for kind, number in run.wasted.items() if not kind.startswith(CONTROL_PREFIX)
    )
    intervals = match_intervals(run, arrivals)
    return PolicySummary(
        slowdown_p50=round(find_percentile(slowdowns, 50), 3),
        slowdown_p99=round(find_percentile(slowdowns, 99), 3),
        wasted_per_task={"total": round(total / tasks, 4), **wasted},
        idle_while_waiting=round(
            compute_idle_while_waiting(intervals, scenario.total_slots, scenario.duration_s), 4
        ),
        failed=len(run.rows) - len(done) - not_run,
        not_run=not_run,
        done=len(done),
        late_p99_s=round(
            find_percentile([row["sent_s"] - row["due_s"] for row in run.rows], 99), 4
        ),
    )


def match_intervals(run: PolicyRun, arrivals: list[Arrival]) -> list[Interval]:
    """Joins the callers' send times with the endpoints' logged events by task identifier."""
    starts = {event["task_id"]: event for event in run.events if event["event"] == "start"}
    ends = {event["task_id"]: event for event in run.events if event["event"] == "end"}
    start_s = min((row["due_s"] - arrivals[row["number"]].at_s for row in run.rows), default=0.0)
    intervals = []
    for row in run.rows:
        for task_id in row.get("task_ids", []):
            if task_id in starts and task_id in ends:
                times_s = (row["sent_s"], starts[task_id]["time_s"], ends[task_id]["time_s"])
                intervals.append(Interval(*(time_s - start_s for time_s in times_s)))
    return intervals
