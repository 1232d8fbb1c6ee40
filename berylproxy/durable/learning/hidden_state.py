"""Tracks whether a disturbance that comes and goes is present, without a clock or sockets.

Made for endpoints that turn slow, or fail, for some seconds. Forward algorithm of a hidden Markov
model with two states in continuous time. All methods take constant time.
"""

from dataclasses import dataclass
from math import exp

# Bounds of a probability, so that a few contrary observations change it.
LEAST_PROBABILITY = 0.001
GREATEST_PROBABILITY = 0.98


@dataclass(slots=True)
class HiddenState:
    """The probability that a disturbance is present.

    :ivar onset_per_s: rate at which the disturbance begins.
    :ivar end_per_s: rate at which it ends.
    :ivar probability: its probability at ``updated_s``.
    """

    onset_per_s: float
    end_per_s: float
    probability: float = 0.0
    updated_s: float = 0.0

    def __post_init__(self) -> None:
        """Begins with the long-term probability."""
        self.probability = self.onset_per_s / (self.onset_per_s + self.end_per_s)

    def probability_at(self, now_s: float, further_onset_per_s: float = 0.0) -> float:
        """Returns the probability now; without observations it approaches the long-term one.

        :param further_onset_per_s: added to the usual rate since the last observation.
        """
        elapsed_s = now_s - self.updated_s
        if elapsed_s <= 0:
            return self.probability
        onset_per_s = self.onset_per_s + further_onset_per_s
        rate_per_s = onset_per_s + self.end_per_s
        long_term = onset_per_s / rate_per_s
        return long_term + (self.probability - long_term) * exp(-rate_per_s * elapsed_s)

    def observe(
        self, likelihood_ratio: float, now_s: float, further_onset_per_s: float = 0.0
    ) -> float:
        """Applies an observation and returns the new probability.

        :param likelihood_ratio: how much likelier the observation is with the disturbance.
        """
        prior = self.probability_at(now_s, further_onset_per_s)
        weight = prior * likelihood_ratio
        posterior = weight / (weight + 1 - prior)
        self.probability = min(max(posterior, LEAST_PROBABILITY), GREATEST_PROBABILITY)
        self.updated_s = max(now_s, self.updated_s)
        return self.probability
