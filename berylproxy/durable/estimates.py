"""Estimates run times from finished tasks, without a clock or sockets.

Callers' estimates are rough, and endpoints differ in speed. Made for many short tasks on VMs of
several generations.
"""

from dataclasses import dataclass, field
from math import exp, log

# Weight of a new observation in the exponential moving average of a queue: about 20 tasks count.
QUEUE_LEARNING_RATE = 0.05
SPEED_LEARNING_RATE = 0.1  # an endpoint that becomes slow is recognized within about ten tasks
SHORTEST_RUN_TIME_S = 0.001
DEFAULT_RUN_TIME_S = 0.2  # for a queue's first task without an estimate
MAX_SPEED_RATIO = 20.0


@dataclass(slots=True)
class QueueHistory:
    """Run time statistics of a queue's finished tasks.

    :ivar mean_log_s: mean logarithm of the run times in seconds, at speed 1.
    :ivar task_count: number of tasks that were counted.
    """

    mean_log_s: float = 0.0
    task_count: int = 0


@dataclass(slots=True)
class RunTimeModel:
    """Expected run times by queue and the speed of each endpoint."""

    _queues: dict[str, QueueHistory] = field(default_factory=dict)
    _speeds: dict[str, float] = field(default_factory=dict)
    _total_log_speed: float = 0.0

    def expected_run_time_s(self, queue: str, estimate_s: float) -> float:
        """Returns a task's expected run time at speed 1, between its estimate and its queue's mean.

        :param estimate_s: the caller's estimate; 0 if not given.
        """
        history = self._queues.get(queue)
        if history is None or not history.task_count:
            return max(estimate_s, SHORTEST_RUN_TIME_S) if estimate_s else DEFAULT_RUN_TIME_S
        if not estimate_s:
            return exp(history.mean_log_s)
        # Both deviate from the real run time by a similar factor, so each counts half.
        return exp((log(max(estimate_s, SHORTEST_RUN_TIME_S)) + history.mean_log_s) / 2)

    def speed(self, endpoint_id: str) -> float:
        """Returns an endpoint's speed relative to the mean of all; 1 until the speed is known."""
        log_speed = self._speeds.get(endpoint_id)
        return 1.0 if log_speed is None else exp(log_speed - self._mean_log_speed())

    def _mean_log_speed(self) -> float:
        return self._total_log_speed / len(self._speeds) if self._speeds else 0.0

    def learn(self, queue: str, estimate_s: float, endpoint_id: str, run_time_s: float) -> None:
        """Updates the estimates with the run time of a task that was done."""
        observed = log(max(run_time_s, SHORTEST_RUN_TIME_S))
        expected = log(self.expected_run_time_s(queue, estimate_s))
        log_speed = self._speeds.get(endpoint_id, self._mean_log_speed())
        limit = log(MAX_SPEED_RATIO)
        observed_log_speed = min(max(expected - observed, -limit), limit)
        self.forget(endpoint_id)
        self._speeds[endpoint_id] = log_speed + SPEED_LEARNING_RATE * (
            observed_log_speed - log_speed
        )
        self._total_log_speed += self._speeds[endpoint_id]
        history = self._queues.setdefault(queue, QueueHistory())
        history.task_count += 1
        rate = max(QUEUE_LEARNING_RATE, 1 / history.task_count)
        relative_log_speed = self._speeds[endpoint_id] - self._mean_log_speed()
        history.mean_log_s += rate * (observed + relative_log_speed - history.mean_log_s)

    def describe(self) -> dict[str, dict]:
        """Returns the learned estimates as plain values, for :meth:`adopt`."""
        queues = {
            name: [history.mean_log_s, history.task_count] for name, history in self._queues.items()
        }
        return {"queues": queues, "speeds": dict(self._speeds)}

    def adopt(self, description: dict[str, dict]) -> None:
        """Replaces the estimates by those of another daemon if they are based on more tasks.

        :param description: the other daemon's estimates, from :meth:`describe`.
        :raises ValueError: if the description is malformed.
        """
        try:
            queues = {
                str(name): QueueHistory(float(mean_log_s), int(task_count))
                for name, (mean_log_s, task_count) in description["queues"].items()
            }
            speeds = {str(name): float(value) for name, value in description["speeds"].items()}
        except (TypeError, KeyError, AttributeError) as error:
            raise ValueError(f"not a description of run times: {error!r}") from error
        known_count = sum(history.task_count for history in self._queues.values())
        if sum(history.task_count for history in queues.values()) <= known_count:
            return
        self._queues = queues
        self._speeds = speeds
        self._total_log_speed = sum(speeds.values())

    def forget(self, endpoint_id: str) -> None:
        """Drops the speed of an endpoint that no longer exists."""
        self._total_log_speed -= self._speeds.pop(endpoint_id, 0.0)
