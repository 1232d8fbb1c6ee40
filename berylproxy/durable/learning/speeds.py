"""Learns the speeds of endpoints and finds those that are slowed, without a clock or sockets.

Made for endpoints of several generations, of which some turn several times slower for seconds,
under tasks of which some take much longer than the others. The usual speed is learned by a Kalman
filter of its logarithm with a random drift; whether an endpoint is slowed now is a hidden state.
Each observation and each question takes constant time.
"""

from dataclasses import dataclass, field
from math import exp, log

from berylproxy.durable.learning.hidden_state import HiddenState
from berylproxy.durable.learning.run_times import Prediction, normal_density

INITIAL_SPEED_VARIANCE = 0.2  # generations differ by a factor of about 1.6
ADOPTED_SPEED_VARIANCE = 0.05
DRIFT_VARIANCE_PER_S = 0.001  # after a minute a speed is known to a factor of about 1.3
MAX_LOG_SPEED = log(20.0)
SLOWED_ONSET_PER_S = 1 / 600
SLOWED_END_PER_S = 1 / 4
USUAL_SLOWDOWN_LOG = log(4.5)  # before more is known about the endpoint
SLOWDOWN_VARIANCE = 0.25
LEAST_SLOWDOWN_LOG, GREATEST_SLOWDOWN_LOG = log(2.0), log(10.0)
LEAST_SLOWDOWN_VARIANCE = 0.05
# Time that orders, reports and a busy holder add to a run time; it makes short runs prove little.
LATENCY_S = 0.03
LEAST_DENSITY = 1e-4  # of run times that nothing explains
STRONGEST_EVIDENCE = 30.0
# A run keeps its pace on a sound endpoint, whether it is long or not.
CHANGED_PACE_LOG = log(1.7)
CHANGED_PACE_EVIDENCE = 10_000.0
COMMON_RATE = 0.02  # of the moving average of the deviations at all endpoints
FOUND_PROBABILITY = 0.85
CLEARED_PROBABILITY = 0.3
NEGLIGIBLE_PROBABILITY = 0.04


@dataclass(slots=True)
class EndpointSpeed:
    """What is known about the speed of an endpoint.

    :ivar log_speed: logarithm of its usual speed.
    :ivar variance: variance of that.
    :ivar updated_s: monotonic time of the last update of both.
    :ivar slowed: whether it is slower than usual now.
    :ivar slowdown_log: logarithm of the factor by which it is slower if so.
    :ivar slowdown_variance: variance of that.
    """

    log_speed: float
    variance: float = INITIAL_SPEED_VARIANCE
    updated_s: float = 0.0
    slowed: HiddenState = field(
        default_factory=lambda: HiddenState(SLOWED_ONSET_PER_S, SLOWED_END_PER_S)
    )
    slowdown_log: float = USUAL_SLOWDOWN_LOG
    slowdown_variance: float = SLOWDOWN_VARIANCE


@dataclass(frozen=True, slots=True)
class Explanation:
    """The weights of the explanations of a run time; together 1.

    :param usual: a usual task at an endpoint of usual speed.
    :param is_long: a task that takes much longer than others.
    :param slowed: an endpoint that is slowed.
    :param deviation: deviation of the logarithm from what was expected at a sound endpoint.
    :param evidence: likelihood ratio by which it counted for a slowed endpoint.
    """

    usual: float
    is_long: float
    slowed: float
    deviation: float
    evidence: float


@dataclass(frozen=True, slots=True)
class SpeedFinding:
    """A change of an endpoint's speed that operators should see.

    :param is_slowed: whether it has turned slow; else it is sound again.
    :param slowdown: factor by which it is, or was, slower than usual.
    """

    endpoint_id: str
    is_slowed: bool
    probability: float
    slowdown: float


@dataclass(slots=True)
class SpeedTable:
    """The speeds of all endpoints of a group, relative to their mean."""

    _states: dict[str, EndpointSpeed] = field(default_factory=dict)
    _suspected: set[str] = field(default_factory=set)
    _found: set[str] = field(default_factory=set)
    _total_log_speed: float = 0.0
    _common_log: float = 0.0

    @property
    def mean_log_speed(self) -> float:
        """The mean logarithm of the usual speeds."""
        return self._total_log_speed / len(self._states) if self._states else 0.0

    def usual_speed(self, endpoint_id: str) -> float:
        """Returns the speed of an endpoint while it isn't slowed; 1 until it is known."""
        state = self._states.get(endpoint_id)
        return 1.0 if state is None else exp(state.log_speed - self.mean_log_speed)

    def speed(self, endpoint_id: str, now_s: float) -> float:
        """Returns the speed to reckon with: run times are divided by it."""
        usual = self.usual_speed(endpoint_id)
        if endpoint_id not in self._suspected:
            return usual
        probability = self.slowed_probability(endpoint_id, now_s)
        if probability < NEGLIGIBLE_PROBABILITY:
            self._suspected.discard(endpoint_id)
            return usual
        return usual / (1 + probability * (self.slowdown(endpoint_id) - 1))

    def slowed_probability(self, endpoint_id: str, now_s: float) -> float:
        """Returns the probability that an endpoint is slowed."""
        state = self._states.get(endpoint_id)
        return 0.0 if state is None else state.slowed.probability_at(now_s)

    def slowdown(self, endpoint_id: str) -> float:
        """Returns the factor by which an endpoint is slower than usual if it is slowed."""
        state = self._states.get(endpoint_id)
        return exp(USUAL_SLOWDOWN_LOG if state is None else state.slowdown_log)

    def is_found_slowed(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint was found to be slowed, and not to be sound since."""
        return endpoint_id in self._found

    def list_found(self) -> list[str]:
        """Returns the endpoints that are found to be slowed."""
        return list(self._found)

    def observe(
        self,
        endpoint_id: str,
        deviation: float,
        prediction: Prediction,
        took_s: float,
        now_s: float,
        former_evidence: float,
        *,
        strongest_evidence: float = STRONGEST_EVIDENCE,
        further_variance: float = 0.0,
    ) -> Explanation:
        """Applies the run time of a task, or what its pace promises, to whether it is slowed.

        :param deviation: deviation of its logarithm from the prediction, at speed 1.
        :param former_evidence: the likelihood ratio by which the run has counted before; 0 if the
            run tells nothing new.
        """
        state = self._state(endpoint_id)
        deviation += state.log_speed - self.mean_log_speed
        shifted = deviation - self._common_log
        latency_variance = min((LATENCY_S / took_s) ** 2, 1.0)
        variance = state.variance + latency_variance + further_variance
        usual = prediction.usual_density(shifted, variance) + LEAST_DENSITY
        is_long = prediction.long_density(shifted, variance)
        # A run can't tell a long task from a slowed endpoint alone, so the queue learns from it by
        # what was known about the endpoint before.
        probability = state.slowed.probability_at(now_s)
        evidence = former_evidence
        if former_evidence:
            slowed = normal_density(
                min(shifted, state.slowdown_log),
                state.slowdown_log,
                prediction.variance + variance + state.slowdown_variance,
            )
            ratio = slowed / (usual + is_long)
            evidence = min(max(ratio, 1 / STRONGEST_EVIDENCE), strongest_evidence)
            self._apply_evidence(endpoint_id, state, evidence / former_evidence, now_s)
            if probability > FOUND_PROBABILITY:
                probability = state.slowed.probability
        usual_weight = (1 - probability) * usual / (usual + is_long)
        is_long_weight = 1 - probability - usual_weight
        return Explanation(usual_weight, is_long_weight, probability, shifted, evidence)

    def learn(
        self,
        endpoint_id: str,
        explanation: Explanation,
        prediction: Prediction,
        took_s: float,
        now_s: float,
    ) -> None:
        """Updates the usual speed and the slowdown of an endpoint by an explained run time."""
        state = self._state(endpoint_id)
        deviation = explanation.deviation
        variance = prediction.variance + min((LATENCY_S / took_s) ** 2, 1.0)
        state.variance += DRIFT_VARIANCE_PER_S * max(now_s - state.updated_s, 0.0)
        state.variance = min(state.variance, INITIAL_SPEED_VARIANCE)
        state.updated_s = max(now_s, state.updated_s)
        gain = explanation.usual * state.variance / (state.variance + variance)
        learned = min(max(state.log_speed - gain * deviation, -MAX_LOG_SPEED), MAX_LOG_SPEED)
        self._total_log_speed += learned - state.log_speed
        state.log_speed = learned
        state.variance *= 1 - gain
        if explanation.slowed > FOUND_PROBABILITY:
            self._learn_slowdown(state, deviation, variance)
        clipped = min(max(deviation, -1.0), 1.0)
        self._common_log += COMMON_RATE * clipped

    def observe_change(
        self, endpoint_id: str, change_log: float, interval_s: float, now_s: float
    ) -> bool:
        """Applies a change of pace within a run, which only a change of the endpoint explains.

        :param change_log: logarithm of the ratio of the promised run time to the one before.
        :param interval_s: time over which the new pace was measured.
        :return: whether the change is more than the pace of a run varies at a sound endpoint.
        """
        if abs(change_log) < CHANGED_PACE_LOG + 2 * LATENCY_S / interval_s:
            return False
        ratio = CHANGED_PACE_EVIDENCE if change_log > 0 else 1 / CHANGED_PACE_EVIDENCE
        state = self._state(endpoint_id)
        self._apply_evidence(endpoint_id, state, ratio, now_s)
        if change_log > 0:
            self._learn_slowdown(state, change_log, LEAST_SLOWDOWN_VARIANCE)
        return True

    def adopt(self, log_speeds: dict[str, float], common_log: float) -> None:
        """Replaces all speeds by those that another daemon has learned.

        :param common_log: deviation of the run times at all endpoints from what that daemon's
            queues expect. Without it, each endpoint would seem to be slower than it was.
        """
        self._common_log = common_log
        self._states = {
            name: EndpointSpeed(value, ADOPTED_SPEED_VARIANCE) for name, value in log_speeds.items()
        }
        self._total_log_speed = sum(log_speeds.values())
        self._suspected.clear()
        self._found.clear()

    @property
    def common_log(self) -> float:
        """Mean deviation of the logarithm of the run times at all endpoints."""
        return self._common_log

    def describe(self) -> dict[str, float]:
        """Returns the logarithms of the usual speeds."""
        return {name: state.log_speed for name, state in self._states.items()}

    def forget(self, endpoint_id: str) -> None:
        """Drops the speed of an endpoint that no longer exists."""
        state = self._states.pop(endpoint_id, None)
        if state is not None:
            self._total_log_speed -= state.log_speed
        self._suspected.discard(endpoint_id)
        self._found.discard(endpoint_id)

    def update_findings(self, now_s: float) -> list[SpeedFinding]:
        """Returns the endpoints that were found to be slowed or sound since the last call."""
        findings = []
        for endpoint_id in self._suspected | self._found:
            probability = self.slowed_probability(endpoint_id, now_s)
            is_found = endpoint_id in self._found
            if is_found and probability < CLEARED_PROBABILITY:
                self._found.discard(endpoint_id)
            elif not is_found and probability > FOUND_PROBABILITY:
                self._found.add(endpoint_id)
            else:
                continue
            slowdown = self.slowdown(endpoint_id)
            findings.append(SpeedFinding(endpoint_id, not is_found, probability, slowdown))
        return findings

    def _state(self, endpoint_id: str) -> EndpointSpeed:
        state = self._states.get(endpoint_id)
        if state is None:
            state = self._states[endpoint_id] = EndpointSpeed(self.mean_log_speed)
            self._total_log_speed += state.log_speed
        return state

    def _apply_evidence(
        self, endpoint_id: str, state: EndpointSpeed, likelihood_ratio: float, now_s: float
    ) -> None:
        probability = state.slowed.observe(likelihood_ratio, now_s)
        if probability >= NEGLIGIBLE_PROBABILITY:
            self._suspected.add(endpoint_id)
        elif endpoint_id in self._suspected:
            self._suspected.discard(endpoint_id)
            state.slowdown_log, state.slowdown_variance = USUAL_SLOWDOWN_LOG, SLOWDOWN_VARIANCE

    def _learn_slowdown(self, state: EndpointSpeed, deviation: float, variance: float) -> None:
        gain = state.slowdown_variance / (state.slowdown_variance + variance)
        learned = state.slowdown_log + gain * (deviation - state.slowdown_log)
        state.slowdown_log = min(max(learned, LEAST_SLOWDOWN_LOG), GREATEST_SLOWDOWN_LOG)
        state.slowdown_variance = max((1 - gain) * state.slowdown_variance, LEAST_SLOWDOWN_VARIANCE)
