"""Learns the distribution of a queue's run times, without a clock or sockets.

Made for run times with a tail: most tasks are near what is expected of them, a few take several
times as long. A mixture of two log-normal distributions, learned online. Constant time and memory.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field
from math import exp, log, pi, sqrt
from statistics import NormalDist

# Weight of a new observation in the exponential moving averages of a queue: about 20 tasks count.
QUEUE_LEARNING_RATE = 0.05
VARIANCE_LEARNING_RATE = 0.02
LONG_LEARNING_RATE = 0.005  # about 200 tasks count, as few of them are long
MAX_SIBLINGS = 12  # more tasks of a job add nothing to what is known about it
INITIAL_JOB_VARIANCE = 0.2  # of the logarithm; estimates deviate by a factor of about 1.5
INITIAL_TASK_VARIANCE = 0.05
MAX_STORED_LOG, MAX_STORED_VARIANCE = 25.0, 100.0  # others are damaged
LEAST_VARIANCE = 0.01
INITIAL_BIAS_VARIANCE = 1.0  # of a queue without finished tasks
INITIAL_LONG_SHARE = 0.03
LEAST_LONG_SHARE = 0.002
INITIAL_LONG_LOG = log(6.0)
LEAST_LONG_LOG = log(2.5)
LONG_VARIANCE = 0.1  # added to the variance of the usual tasks
# Progress that a measurement of the pace needs; percents are rounded.
MEASURED_GAIN_PERCENT = 10
SHORTEST_INTERVAL_S = 0.1  # between measurements, whose times deviate by the latency of reports
STANDARD_NORMAL = NormalDist()


def normal_density(value: float, mean: float, variance: float) -> float:
    """Returns the density of a normal distribution."""
    distance = value - mean
    return exp(-distance * distance / (2 * variance)) / sqrt(2 * pi * variance)


@dataclass(frozen=True, slots=True)
class Comparison:
    """How much longer than expected the other tasks of a job take.

    :param median_log: lower median of the logarithms of the ratios to the expected run times.
    :param count: number of tasks at other endpoints that it rests on.
    :param has_neighbour: whether another task of the job was measured at the same endpoint.
    """

    median_log: float = 0.0
    count: int = 0
    has_neighbour: bool = False


NO_COMPARISON = Comparison()


@dataclass(slots=True)
class SiblingRunTimes:
    """The measured run times of the tasks of one job, of those that go on by their pace.

    :ivar version: changes with each new run time.
    """

    version: int = 0
    _ratio_logs: dict[Hashable, tuple[str, float]] = field(default_factory=dict)

    def note(self, key: Hashable, endpoint_id: str, ratio_log: float) -> None:
        """Adds or replaces a task's ratio to the expected run time, as a logarithm."""
        if key not in self._ratio_logs and len(self._ratio_logs) >= MAX_SIBLINGS:
            return
        self._ratio_logs[key] = endpoint_id, ratio_log
        self.version += 1

    def compare(self, key: Hashable, endpoint_id: str) -> Comparison:
        """Returns what the other tasks tell about a task at an endpoint."""
        if not self._ratio_logs:
            return NO_COMPARISON
        elsewhere, has_neighbour = [], False
        for other, (other_endpoint_id, ratio_log) in self._ratio_logs.items():
            if other_endpoint_id != endpoint_id:
                elsewhere.append(ratio_log)
            elif other != key:
                has_neighbour = True
        if not elsewhere:
            return Comparison(has_neighbour=has_neighbour)
        elsewhere.sort()
        return Comparison(elsewhere[(len(elsewhere) - 1) // 2], len(elsewhere), has_neighbour)


@dataclass(frozen=True, slots=True)
class Prediction:
    """What is expected of a task's run time, as a deviation of its logarithm from the model's mean.

    :param mean_log: expected deviation.
    :param variance: variance of the deviation among usual tasks.
    :param long_share: share of the tasks that take much longer.
    :param long_log: their mean deviation from the usual ones.
    """

    mean_log: float
    variance: float
    long_share: float
    long_log: float

    def usual_density(self, deviation: float, further_variance: float) -> float:
        """Returns the density of a deviation of a usual task."""
        density = normal_density(deviation, 0.0, self.variance + further_variance)
        return (1 - self.long_share) * density

    def long_density(self, deviation: float, further_variance: float) -> float:
        """Returns the density of a deviation of a long task."""
        variance = self.variance + LONG_VARIANCE + further_variance
        # Tasks may take still longer than the mean of the long ones.
        deviation = min(deviation, self.long_log)
        return self.long_share * normal_density(deviation, self.long_log, variance)

    def quantile_log(self, share: float) -> float:
        """Returns the deviation that is not exceeded by a share of the tasks."""
        usual_share = 1 - self.long_share
        if share < usual_share:
            normal = STANDARD_NORMAL.inv_cdf(share / usual_share)
            return self.mean_log + sqrt(self.variance) * normal
        normal = STANDARD_NORMAL.inv_cdf(min((share - usual_share) / self.long_share, 0.999))
        return self.mean_log + self.long_log + sqrt(self.variance + LONG_VARIANCE) * normal


@dataclass(slots=True)
class QueueHistory:
    """Run time statistics of a queue's finished tasks.

    :ivar mean_log_s: mean logarithm of the run times in seconds, at speed 1.
    :ivar task_count: number of tasks that were counted.
    :ivar bias_log: mean deviation of the logarithm from the expected one.
    :ivar job_variance: variance of the deviation of a task of any job.
    :ivar task_variance: variance among the tasks of one job.
    :ivar long_share: share of the tasks that take much longer than usual.
    :ivar long_log: their mean deviation.
    """

    mean_log_s: float = 0.0
    task_count: int = 0
    bias_log: float = 0.0
    job_variance: float = INITIAL_JOB_VARIANCE
    task_variance: float = INITIAL_TASK_VARIANCE
    long_share: float = INITIAL_LONG_SHARE
    long_log: float = INITIAL_LONG_LOG

    def predict(self, siblings: Comparison) -> Prediction:
        """Returns what is expected of a task's run time, given the other tasks of its job."""
        bias_variance = INITIAL_BIAS_VARIANCE / (1 + self.task_count) ** 2
        if not siblings.count:
            variance = self.job_variance + bias_variance
            return Prediction(self.bias_log, variance, self.long_share, self.long_log)
        # Mean and variance of a random effect of the job, given its other tasks.
        among_jobs = max(self.job_variance - self.task_variance, LEAST_VARIANCE)
        weight = among_jobs / (among_jobs + self.task_variance / siblings.count)
        mean_log = self.bias_log + weight * (siblings.median_log - self.bias_log)
        variance = self.task_variance * (1 + weight / siblings.count) + bias_variance
        return Prediction(mean_log, variance, self.long_share, self.long_log)

    def learn_mean(self, observed_log_s: float) -> None:
        """Adds the logarithm of a run time at speed 1."""
        self.task_count += 1
        rate = max(QUEUE_LEARNING_RATE, 1 / self.task_count)
        self.mean_log_s += rate * (observed_log_s - self.mean_log_s)

    def learn_spread(
        self, deviation: float, siblings: Comparison, usual: float, is_long: float
    ) -> None:
        """Adds the deviation of a run time from its prediction.

        :param usual: weight of the explanation that the task is a usual one.
        :param is_long: weight of the explanation that it is a long one.
        """
        squared = deviation * deviation
        if siblings.count:
            change = squared - self.task_variance
            self.task_variance += VARIANCE_LEARNING_RATE * usual * change
        else:
            rate = max(QUEUE_LEARNING_RATE, 1 / (1 + self.task_count))
            self.bias_log += rate * usual * deviation
            self.job_variance += VARIANCE_LEARNING_RATE * usual * (squared - self.job_variance)
        self.job_variance = max(self.job_variance, LEAST_VARIANCE)
        self.task_variance = max(self.task_variance, LEAST_VARIANCE)
        self.long_share += LONG_LEARNING_RATE * (is_long - self.long_share * (usual + is_long))
        self.long_share = max(self.long_share, LEAST_LONG_SHARE)
        self.long_log += 10 * LONG_LEARNING_RATE * is_long * (deviation - self.long_log)
        self.long_log = max(self.long_log, LEAST_LONG_LOG)

    def describe_spread(self) -> list[float]:
        """Returns the statistics beside the mean as plain values."""
        return [
            self.bias_log,
            self.job_variance,
            self.task_variance,
            self.long_share,
            self.long_log,
        ]

    def adopt_spread(self, values: list[float]) -> None:
        """Replaces the statistics beside the mean.

        :param values: those of another daemon, from :meth:`describe_spread`.
        :raises ValueError: if there are too few or too many, or some are out of range.
        """
        bias_log, job_variance, task_variance, long_share, long_log = values
        variances = (job_variance, task_variance)
        is_valid = all(0 < variance <= MAX_STORED_VARIANCE for variance in variances)
        if not is_valid or not 0 < long_log <= MAX_STORED_LOG or not 0 < long_share < 0.9:
            raise ValueError(f"not statistics of run times: {values}")
        if not abs(bias_log) <= MAX_STORED_LOG:
            raise ValueError(f"not statistics of run times: {values}")
        self.bias_log, self.long_share, self.long_log = bias_log, long_share, long_log
        self.job_variance, self.task_variance = job_variance, task_variance


@dataclass(slots=True)
class RunPace:
    """How fast one run makes progress.

    :ivar expected_s: expected run time while its endpoint is as fast as usual; 0 if unknown.
    :ivar started_s: monotonic time of the start of the run.
    :ivar measured_s: monotonic time of the last measurement; the start of the run at first.
    :ivar percent: progress at that time.
    :ivar duration_s: the whole run time at the pace since the measurement before; 0 at first.
    :ivar interval_s: time over which that pace was measured.
    :ivar has_changed: whether the pace has changed on the way.
    :ivar evidence: likelihood ratio by which the run has counted for a slowed endpoint.
    :ivar siblings_version: state of the job's run times with which it was compared.
    """

    expected_s: float
    started_s: float
    measured_s: float = 0.0
    percent: int = 0
    duration_s: float = 0.0
    interval_s: float = 0.0
    has_changed: bool = False
    evidence: float = 1.0
    siblings_version: int = -1
    _gain: int = 0

    def __post_init__(self) -> None:
        """Begins to measure at the start."""
        self.measured_s = self.started_s

    def measure(self, percent: int, now_s: float) -> float:
        """Applies a reported progress.

        :return: the new ``duration_s`` if enough progress was made, or should have been made, for
            a measurement; else 0.
        """
        reference_s = self.duration_s or self.expected_s
        elapsed_s = now_s - self.measured_s
        gain = percent - self.percent
        if reference_s <= 0 or elapsed_s < (SHORTEST_INTERVAL_S if self.duration_s else 0.001):
            return 0.0
        if max(gain, 100 * elapsed_s / reference_s) < MEASURED_GAIN_PERCENT:
            return 0.0
        self._gain = max(gain, 1)
        self.duration_s, self.interval_s = 100 * elapsed_s / self._gain, elapsed_s
        self.percent, self.measured_s = max(percent, self.percent), now_s
        return self.duration_s

    @property
    def variance(self) -> float:
        """Variance of the logarithm of the last measurement, from the rounding of percents."""
        return 0.25 / (self._gain * self._gain)

    def remaining_s(self, now_s: float) -> float:
        """Returns the remaining run time at the measured or, before that, the expected pace."""
        whole_s = self.duration_s or self.expected_s
        remaining_s = whole_s * (100 - self.percent) / 100 - (now_s - self.measured_s)
        return max(remaining_s, 0.0)
