"""Delays between retries of a failing call."""

from random import Random

MAX_DOUBLINGS = 16


class Backoff:
    """Exponentially growing delays with jitter.

    :param first_delay_s: mean of the first delay.
    :param max_delay_s: upper bound of the mean; each delay is between 0.5 and 1.5 times its mean.
    """

    def __init__(self, random: Random, first_delay_s: float, max_delay_s: float) -> None:
        self._random = random
        self._first_delay_s = first_delay_s
        self._max_delay_s = max_delay_s
        self._failures = 0

    def reset(self) -> None:
        """Resets the delay to the first one after a successful call."""
        self._failures = 0

    def choose_delay_s(self) -> float:
        """Returns the next delay and increases the mean of the one after it."""
        growth = 2 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        mean_s = min(self._max_delay_s, self._first_delay_s * growth)
        return mean_s * (0.5 + self._random.random())
