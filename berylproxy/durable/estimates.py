"""Run times learnt from finished tasks: callers' estimates are rough, endpoints differ in speed.

Pure: answers the load of many short tasks on VMs of several generations.
"""

from dataclasses import dataclass, field
from math import exp, log

QUEUE_LEARNING_RATE = 0.05  # share of a new observation in a queue's mean, some 20 tasks' memory
SPEED_LEARNING_RATE = 0.1  # an endpoint that turns slow shows within some ten tasks
SHORTEST_RUN_TIME_S = 0.001
DEFAULT_RUN_TIME_S = 0.2  # for a queue's first task without an estimate
MAX_SPEED_RATIO = 20.0


@dataclass(slots=True)
class QueueHistory:
    """What a queue's tasks have shown, as logarithms of seconds.

    :ivar mean_log_s: mean of the run times at speed 1.
    :ivar seen: number of tasks.
    """

    mean_log_s: float = 0.0
    seen: int = 0


@dataclass(slots=True)
class RunTimeModel:
    """Expected run times by queue and the speed of each endpoint."""

    _queues: dict[str, QueueHistory] = field(default_factory=dict)
    _speeds: dict[str, float] = field(default_factory=dict)
    _total_log_speed: float = 0.0

    def expected_run_time_s(self, queue: str, estimate_s: float) -> float:
        """Expects a task's run time at speed 1: between its estimate and its queue's mean."""
        history = self._queues.get(queue)
        if history is None or not history.seen:
            return max(estimate_s, SHORTEST_RUN_TIME_S) if estimate_s else DEFAULT_RUN_TIME_S
        if not estimate_s:
            return exp(history.mean_log_s)
        # Both deviate from the truth by a similar factor, so each counts half.
        return exp((log(max(estimate_s, SHORTEST_RUN_TIME_S)) + history.mean_log_s) / 2)

    def speed(self, endpoint_id: str) -> float:
        """Returns an endpoint's speed against the mean of all; 1 until it is known."""
        return exp(self._log_speed(endpoint_id))

    def _mean_log_speed(self) -> float:
        return self._total_log_speed / len(self._speeds) if self._speeds else 0.0

    def _log_speed(self, endpoint_id: str) -> float:
        if endpoint_id not in self._speeds:
            return 0.0
        return self._speeds[endpoint_id] - self._mean_log_speed()

    def learn(self, queue: str, estimate_s: float, endpoint_id: str, run_time_s: float) -> None:
        """Takes the run time of a task that was done."""
        observed = log(max(run_time_s, SHORTEST_RUN_TIME_S))
        expected = log(self.expected_run_time_s(queue, estimate_s))
        speed = self._speeds.get(endpoint_id, self._mean_log_speed())
        limit = log(MAX_SPEED_RATIO)
        shown = min(max(expected - observed, -limit), limit)
        self.forget(endpoint_id)
        self._speeds[endpoint_id] = speed + SPEED_LEARNING_RATE * (shown - speed)
        self._total_log_speed += self._speeds[endpoint_id]
        history = self._queues.setdefault(queue, QueueHistory())
        history.seen += 1
        rate = max(QUEUE_LEARNING_RATE, 1 / history.seen)
        relative = self._log_speed(endpoint_id)
        history.mean_log_s += rate * (observed + relative - history.mean_log_s)

    def describe(self) -> dict[str, dict]:
        """Describes what has been learnt, in plain values."""
        queues = {name: [h.mean_log_s, h.seen] for name, h in self._queues.items()}
        return {"queues": queues, "speeds": dict(self._speeds)}

    def adopt(self, description: dict[str, dict]) -> None:
        """Takes over what another daemon has learnt, where it has seen more.

        :raises ValueError: if it is no description.
        """
        try:
            queues = {
                str(name): QueueHistory(float(mean_log_s), int(seen))
                for name, (mean_log_s, seen) in description["queues"].items()
            }
            speeds = {str(name): float(value) for name, value in description["speeds"].items()}
        except (TypeError, KeyError, AttributeError) as error:
            raise ValueError(f"not a description of run times: {error!r}") from error
        known = sum(history.seen for history in self._queues.values())
        if sum(history.seen for history in queues.values()) <= known:
            return
        self._queues = queues
        self._speeds = speeds
        self._total_log_speed = sum(speeds.values())

    def forget(self, endpoint_id: str) -> None:
        """Drops an endpoint that is gone."""
        self._total_log_speed -= self._speeds.pop(endpoint_id, 0.0)
