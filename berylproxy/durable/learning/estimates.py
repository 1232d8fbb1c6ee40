"""Estimates run times from finished tasks and reported progress, without a clock or sockets.

Callers' estimates are rough, and endpoints differ in speed. Made for many short tasks, some of
them much longer than others, on VMs of several generations that turn slow at times.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field
from math import exp, log
from typing import Any

from berylproxy.durable.learning.run_times import (
    Comparison,
    Prediction,
    QueueHistory,
    RunPace,
    SiblingRunTimes,
)
from berylproxy.durable.learning.speeds import (
    FOUND_PROBABILITY,
    MAX_LOG_SPEED,
    STRONGEST_EVIDENCE,
    SpeedFinding,
    SpeedTable,
)

SHORTEST_RUN_TIME_S = 0.001
DEFAULT_RUN_TIME_S = 0.2  # for a queue's first task without an estimate
LONGEST_RUN_TIME_S = 30 * 86_400.0  # a longer estimate says nothing, and would overflow sums
MAX_LOG_RUN_TIME = 25.0
MAX_LOG_RATIO = 3.0  # of a run time to the expected one; a larger one tells of a wrong estimate
# A second task of a job at one endpoint may be slow for the same reason as the first.
DEPENDENT_EVIDENCE = 3.0


@dataclass(frozen=True, slots=True)
class TaskEstimate:
    """What a run time is compared with.

    :param estimate_s: the caller's estimate; 0 if not given.
    :param distance_factor: factor on the run time in the rack of the endpoint.
    :param siblings: run times of the other tasks of the same job.
    :param key: identifies the task within the job.
    """

    queue: str
    estimate_s: float
    distance_factor: float = 1.0
    siblings: SiblingRunTimes = field(default_factory=SiblingRunTimes)
    key: Hashable = None


@dataclass(slots=True)
class RunTimeModel:
    """Expected run times by queue and the speed of each endpoint.

    :ivar now_s: monotonic time to which :meth:`speed` refers; every call with a time advances it.
    """

    now_s: float = 0.0
    _queues: dict[str, QueueHistory] = field(default_factory=dict)
    _speeds: SpeedTable = field(default_factory=SpeedTable)
    _has_progress: bool = False

    def expected_run_time_s(self, queue: str, estimate_s: float) -> float:
        """Returns a task's expected run time at speed 1, between its estimate and its queue's mean.

        :param estimate_s: the caller's estimate; 0 if not given.
        """
        estimate_s = min(LONGEST_RUN_TIME_S, estimate_s)
        history = self._queues.get(queue)
        if history is None or not history.task_count:
            return max(estimate_s, SHORTEST_RUN_TIME_S) if estimate_s else DEFAULT_RUN_TIME_S
        if not estimate_s:
            return exp(history.mean_log_s)
        # Both deviate from the real run time by a similar factor, so each counts half.
        return exp((log(max(estimate_s, SHORTEST_RUN_TIME_S)) + history.mean_log_s) / 2)

    def run_time_quantile_s(self, task: TaskEstimate, share: float) -> float:
        """Returns the run time at speed 1 that a share of the tasks doesn't exceed."""
        prediction = self._predict(task, "")
        return self._expected_here_s(task) * exp(prediction.quantile_log(share))

    def expected_at_s(self, task: TaskEstimate, endpoint_id: str) -> float:
        """Returns the expected run time at an endpoint while that is as fast as usual."""
        expected_s = self._expected_here_s(task) * exp(self._predict(task, endpoint_id).mean_log)
        return expected_s / self._speeds.usual_speed(endpoint_id)

    def _expected_here_s(self, task: TaskEstimate) -> float:
        return self.expected_run_time_s(task.queue, task.estimate_s) * task.distance_factor

    def _predict(self, task: TaskEstimate, endpoint_id: str) -> Prediction:
        history = self._queues.get(task.queue) or QueueHistory()
        return history.predict(task.siblings.compare(task.key, endpoint_id))

    def advance(self, now_s: float) -> None:
        """Sets the time to which the speeds refer; it doesn't go back."""
        self.now_s = max(now_s, self.now_s)

    def speed(self, endpoint_id: str) -> float:
        """Returns an endpoint's speed relative to the mean of all; 1 until the speed is known.

        That of an endpoint that may be slowed is lower by the probability of that.
        """
        return self._speeds.speed(endpoint_id, self.now_s)

    def usual_speed(self, endpoint_id: str) -> float:
        """Returns an endpoint's speed while it isn't slowed."""
        return self._speeds.usual_speed(endpoint_id)

    def slowdown(self, endpoint_id: str) -> float:
        """Returns the factor by which an endpoint that was found slowed is slower than usual."""
        return self._speeds.slowdown(endpoint_id)

    def is_slowed(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint was found to be slowed, and not to be sound since."""
        return self._speeds.is_found_slowed(endpoint_id)

    def list_slowed(self) -> list[str]:
        """Returns the endpoints that are found to be slowed."""
        return self._speeds.list_found()

    def update_findings(self) -> list[SpeedFinding]:
        """Returns the endpoints that were found to be slowed or sound since the last call."""
        return self._speeds.update_findings(self.now_s)

    def learn(
        self,
        queue: str,
        estimate_s: float,
        endpoint_id: str,
        run_time_s: float,
        *,
        now_s: float | None = None,
    ) -> float:
        """Updates the estimates with the run time of a task that was done.

        :return: see :meth:`learn_task`.
        """
        if now_s is not None:
            self.advance(now_s)
        return self.learn_task(TaskEstimate(queue, estimate_s), endpoint_id, run_time_s)

    def learn_task(
        self, task: TaskEstimate, endpoint_id: str, run_time_s: float, pace: RunPace | None = None
    ) -> float:
        """Updates the estimates with the run time of a task that was done.

        :param pace: progress of the run, if it was reported.
        :return: ratio of the run time to what was expected of it there, with the estimate's error,
            the distance and the speed of the endpoint taken out.
        """
        run_time_s = max(run_time_s, SHORTEST_RUN_TIME_S)
        history = self._queues.setdefault(task.queue, QueueHistory())
        siblings = task.siblings.compare(task.key, endpoint_id)
        prediction = history.predict(siblings)
        ratio_log = _bound_log_ratio(run_time_s / self._expected_here_s(task))
        if pace is not None and pace.duration_s:
            self._observe_pace(endpoint_id, pace, 100)
        explanation = self._speeds.observe(
            endpoint_id,
            ratio_log - prediction.mean_log,
            prediction,
            run_time_s,
            self.now_s,
            self._former_evidence(pace),
            strongest_evidence=_strongest_evidence(siblings),
        )
        self._speeds.learn(endpoint_id, explanation, prediction, run_time_s, self.now_s)
        history.learn_spread(
            explanation.deviation, siblings, explanation.usual, explanation.is_long
        )
        # A task at a slowed endpoint tells nothing about its queue.
        if explanation.slowed < FOUND_PROBABILITY:
            usual_log = log(self._speeds.usual_speed(endpoint_id))
            history.learn_mean(log(run_time_s / task.distance_factor) + usual_log)
        task.siblings.note(task.key, endpoint_id, explanation.deviation + prediction.mean_log)
        slowdown = self._speeds.usual_speed(endpoint_id) / self.speed(endpoint_id)
        return exp(explanation.deviation) / slowdown

    def note_progress(
        self, task: TaskEstimate, endpoint_id: str, pace: RunPace, percent: int
    ) -> None:
        """Applies the reported progress of a run to what is known about its endpoint."""
        if 0 < percent < 100:
            self._has_progress = True
        if not self._has_progress:
            return
        is_first = not pace.duration_s
        if not self._observe_pace(endpoint_id, pace, percent) and is_first:
            return
        if pace.has_changed or pace.siblings_version == task.siblings.version:
            return
        siblings = task.siblings.compare(task.key, endpoint_id)
        history = self._queues.get(task.queue) or QueueHistory()
        prediction = history.predict(siblings)
        explanation = self._speeds.observe(
            endpoint_id,
            _bound_log_ratio(pace.duration_s / self._expected_here_s(task)) - prediction.mean_log,
            prediction,
            pace.measured_s - pace.started_s,
            self.now_s,
            pace.evidence,
            strongest_evidence=_strongest_evidence(siblings),
            further_variance=pace.variance,
        )
        pace.evidence = explanation.evidence
        if is_first:
            ratio_log = explanation.deviation + prediction.mean_log
            task.siblings.note(task.key, endpoint_id, ratio_log)
        pace.siblings_version = task.siblings.version

    def _observe_pace(self, endpoint_id: str, pace: RunPace, percent: int) -> bool:
        """Measures the pace of a run; returns whether there was enough progress for that."""
        former_s = pace.duration_s
        duration_s = pace.measure(percent, self.now_s)
        if not duration_s or not former_s:
            return duration_s > 0
        change_log = log(duration_s / former_s)
        if self._speeds.observe_change(endpoint_id, change_log, pace.interval_s, self.now_s):
            pace.has_changed = True
        return True

    @staticmethod
    def _former_evidence(pace: RunPace | None) -> float:
        if pace is None:
            return 1.0
        return 0.0 if pace.has_changed else pace.evidence

    def describe(self) -> dict[str, Any]:
        """Returns the learned estimates as plain values, for :meth:`adopt`."""
        queues = {
            name: [history.mean_log_s, history.task_count] for name, history in self._queues.items()
        }
        spreads = {name: history.describe_spread() for name, history in self._queues.items()}
        return {
            "queues": queues,
            "speeds": self._speeds.describe(),
            "spreads": spreads,
            "common_log": self._speeds.common_log,
        }

    def adopt(self, description: dict[str, Any]) -> None:
        """Replaces the estimates by those of another daemon if they are based on more tasks.

        Descriptions by earlier versions have no ``spreads`` or no ``common_log``.

        :param description: the other daemon's estimates, from :meth:`describe`.
        :raises ValueError: if the description is malformed.
        """
        try:
            queues = {
                str(name): QueueHistory(float(mean_log_s), int(task_count))
                for name, (mean_log_s, task_count) in description["queues"].items()
            }
            speeds = {str(name): float(value) for name, value in description["speeds"].items()}
            common_log = float(description.get("common_log", 0.0))
            for name, values in description.get("spreads", {}).items():
                queues[str(name)].adopt_spread([float(value) for value in values])
        except (TypeError, KeyError, AttributeError, OverflowError) as error:
            raise ValueError(f"not a description of run times: {error!r}") from error
        for name, history in queues.items():
            # A mean that is no number fails the comparison, too.
            if not abs(history.mean_log_s) <= MAX_LOG_RUN_TIME or history.task_count < 0:
                raise ValueError(f"the run times of queue {name} are out of range")
        for name, log_speed in speeds.items():
            if not abs(log_speed) <= 2 * MAX_LOG_SPEED:
                raise ValueError(f"the speed of endpoint {name} is out of range: {log_speed}")
        if not abs(common_log) <= MAX_LOG_RUN_TIME:
            raise ValueError(f"the common deviation is out of range: {common_log}")
        known_count = sum(history.task_count for history in self._queues.values())
        if sum(history.task_count for history in queues.values()) <= known_count:
            return
        self._queues = queues
        self._speeds.adopt(speeds, common_log)

    def forget(self, endpoint_id: str) -> None:
        """Drops the speed of an endpoint that no longer exists."""
        self._speeds.forget(endpoint_id)


def _bound_log_ratio(ratio: float) -> float:
    return min(max(log(ratio), -MAX_LOG_RATIO), MAX_LOG_RATIO)


def _strongest_evidence(siblings: Comparison) -> float:
    """Returns the bound of the evidence of a run for a slowed endpoint."""
    if siblings.has_neighbour and not siblings.count:
        return DEPENDENT_EVIDENCE
    return STRONGEST_EVIDENCE
