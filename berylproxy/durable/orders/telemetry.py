"""Counters and histograms of durable jobs."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from berylproxy.metrics import Metrics, Sample

if TYPE_CHECKING:
    from berylproxy.durable.decisions.shares import ClaimantShare

PREFIX = "berylproxy_"
JOB_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
REQUEST_BUCKETS_S = (0.005, 0.02, 0.1, 0.3, 1.0, 3.0)

MAX_SHARE_LABELS = 48  # claimants of a group that have metrics of their own
DEMAND_HELP = "Work submitted per second, by claimant"
SHARE_HELP = "Work per second that a claimant is entitled to; its demand while room is ample"

HELP = {
    "jobs_ended": "Jobs that ended here, by queue and state",
    "jobs_failed": "Jobs that failed here, by queue and cause",
    "jobs_late": "Jobs that ended after their objective, by the work they had and by queue",
    "jobs_refused": "Jobs refused, by queue and reason",
    "returned_jobs_accepted": "Refused jobs accepted when sent again at the time told, by queue",
    "jobs_given_up": "Jobs that had begun and could not be completed in time, by queue",
    "jobs_handed_in_again": "Jobs handed to another holder after the first one went away",
    "task_starts": "Orders to start a task, by outcome",
    "runs_ended": "Runs of tasks that ended, by kind",
    "runs_moved": "Runs stopped so that their tasks start elsewhere, by reason",
    "endpoints_lost_under_tasks": "Endpoints lost under tasks: first unknown, later crash or cut",
    "crashing_tasks": "Tasks given up because they crash the endpoints that start them",
    "endpoint_speed_changes": "Times that an endpoint turned slow or usual again",
    "endpoint_closures": "Times that an endpoint got no tasks for a while, by reason",
    "neighbour_pairs": "Pairs of kinds of task that slow each other down: found or cleared",
    "holder_changes": "Other daemons or tenures that became the holder, by group",
    "responses": "Answers to callers, by method and status",
}


class Telemetry:
    """The counters and histograms of one daemon.

    :ivar metrics: registry that the series are scraped from.
    """

    def __init__(self) -> None:
        self.metrics = Metrics()
        self._counts: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()
        self._job_seconds = self.metrics.make_histogram(
            PREFIX + "job_seconds", "Time from acceptance to end, by queue", JOB_BUCKETS_S
        )
        self._request_seconds = self.metrics.make_histogram(
            PREFIX + "request_seconds", "Time of callers' requests, by method", REQUEST_BUCKETS_S
        )
        self.metrics.add_source(self._list_counts)

    def count(self, name: str, **labels: str) -> None:
        """Counts one event; the name is one of :data:`HELP`."""
        self._counts[name, tuple(sorted(labels.items()))] += 1

    def observe_job(self, queue: str, took_s: float) -> None:
        """Adds the time from a job's acceptance to its end to the histogram."""
        self._job_seconds.observe({"queue": queue}, took_s)

    def observe_request(self, method: str, took_s: float) -> None:
        """Adds the time of a caller's request to the histogram."""
        self._request_seconds.observe({"method": method}, took_s)

    def add_gauges(self, source: Callable[[], Iterable[tuple[str, str, float, str]]]) -> None:
        """Registers a function that returns (name, help text, value, group) for each gauge."""
        self.metrics.add_source(
            lambda: [
                Sample(PREFIX + name, text, value, {"group": group})
                for name, text, value, group in source()
            ]
        )

    def _list_counts(self) -> Iterable[Sample]:
        for (name, labels), value in self._counts.items():
            yield Sample(f"{PREFIX}{name}_total", HELP[name], value, dict(labels))


def make_share_samples(group: str, shares: Iterable["ClaimantShare"]) -> Iterable[Sample]:
    """Returns the gauges of the claimants of a group, of those that send most."""
    largest = sorted(shares, key=lambda share: -share.demand)[:MAX_SHARE_LABELS]
    for share in largest:
        labels = {
            "group": group,
            "queue": share.claimant.queue,
            "failure_domain": share.claimant.failure_domain,
        }
        yield Sample(PREFIX + "demand_cores", DEMAND_HELP, share.demand, labels)
        yield Sample(PREFIX + "share_cores", SHARE_HELP, share.share, labels)
