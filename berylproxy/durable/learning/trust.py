"""Decides how far endpoints are trusted to complete their runs, without a clock or sockets.

Made for endpoints that fail all or a part of their runs for seconds, often several of them at once,
and for those that come and go: a failing endpoint has room again at once, and so attracts tasks.
Whether an endpoint fails its runs now is a hidden state. All methods take constant time.
"""

from dataclasses import dataclass, field
from math import exp
from typing import Protocol

from berylproxy.durable.learning.hidden_state import HiddenState

FAILING_ONSET_PER_S = 1 / 500
FAILING_END_PER_S = 1 / 5
FAILING_SHARE = 0.7  # of the runs at an endpoint that fails all or a part of them
STRONGEST_EVIDENCE = 100.0
SILENCE_EVIDENCE = 4.0
# With a higher probability an endpoint gets one run at a time until one is done.
PROBING_PROBABILITY = 0.6
SUSPECTED_PROBABILITY = 0.5
INITIAL_FAILURE_SHARE = 0.005  # of the runs at sound endpoints
LEAST_FAILURE_SHARE = 0.0005
FAILURE_SHARE_RATE = 0.002  # about 500 ends count
OUTBREAK_MEMORY_S = 2.0
MAX_OUTBREAK_ONSET_PER_S = 1.0


class EndpointTrust(Protocol):
    """Decides how likely an endpoint is to fail its runs now."""

    def failure_probability(self, now_s: float) -> float:
        """Returns the probability that the endpoint fails its runs now."""

    def is_on_probation(self, now_s: float) -> bool:
        """Returns whether the endpoint should get only one run at a time."""

    def note_done(self, now_s: float) -> None:
        """Applies a run that was done."""

    def note_failed(self, now_s: float) -> None:
        """Applies a run that failed, and not for a fault of its task as far as is known."""

    def note_silence(self, now_s: float) -> None:
        """Applies the first of a row of calls that were not answered."""


@dataclass(slots=True)
class FailureStatistics:
    """How often runs fail at the sound endpoints of a group, and endpoints begin to fail.

    :ivar endpoint_count: number of the endpoints that it counts.
    :ivar failure_share: share of the runs at sound endpoints that fail.
    """

    endpoint_count: int = 0
    failure_share: float = INITIAL_FAILURE_SHARE
    _onsets: float = 0.0
    _updated_s: float = 0.0

    def note_end(self, has_failed: bool, sound_probability: float) -> None:
        """Adds the end of a run at an endpoint that was sound with some probability."""
        change = FAILURE_SHARE_RATE * sound_probability * (has_failed - self.failure_share)
        self.failure_share = max(self.failure_share + change, LEAST_FAILURE_SHARE)

    def note_onset(self, now_s: float) -> None:
        """Adds an endpoint that has begun to fail."""
        self._onsets = self._recent_onsets(now_s) + 1
        self._updated_s = now_s

    def onset_per_s(self, now_s: float) -> float:
        """Returns the rate at which endpoints begin to fail beyond the usual one."""
        # A single endpoint tells nothing about the others.
        onsets = self._recent_onsets(now_s) - 1 if self._onsets > 1 else 0.0
        if onsets <= 0 or not self.endpoint_count:
            return 0.0
        return min(onsets / self.endpoint_count / OUTBREAK_MEMORY_S, MAX_OUTBREAK_ONSET_PER_S)

    def _recent_onsets(self, now_s: float) -> float:
        return self._onsets * exp(-max(now_s - self._updated_s, 0.0) / OUTBREAK_MEMORY_S)


@dataclass(slots=True)
class FailureTrust:
    """Trusts an endpoint by its runs, and by those of the other endpoints of its group.

    :param group: statistics that the endpoints of a group share.
    """

    group: FailureStatistics = field(default_factory=FailureStatistics)
    _failing: HiddenState = field(
        default_factory=lambda: HiddenState(FAILING_ONSET_PER_S, FAILING_END_PER_S)
    )
    _is_unproven: bool = False

    def __post_init__(self) -> None:
        """Counts the endpoint among those of its group."""
        self.group.endpoint_count += 1

    def failure_probability(self, now_s: float) -> float:
        """Returns the probability that the endpoint fails its runs now."""
        return self._failing.probability_at(now_s, self.group.onset_per_s(now_s))

    def is_on_probation(self, now_s: float) -> bool:
        """Returns whether the endpoint should get only one run at a time."""
        if not self._is_unproven:
            return False
        return self._failing.probability_at(now_s) >= PROBING_PROBABILITY

    def note_done(self, now_s: float) -> None:
        """Applies a run that was done."""
        self._is_unproven = False
        self._observe((1 - FAILING_SHARE) / (1 - self.group.failure_share), now_s)
        self.group.note_end(False, 1 - self._failing.probability)

    def note_failed(self, now_s: float) -> None:
        """Applies a run that failed, and not for a fault of its task as far as is known."""
        self._is_unproven = True
        before = self._failing.probability
        evidence = min(FAILING_SHARE / self.group.failure_share, STRONGEST_EVIDENCE)
        self._observe(evidence, now_s)
        if before < SUSPECTED_PROBABILITY <= self._failing.probability:
            self.group.note_onset(now_s)
        self.group.note_end(True, 1 - self._failing.probability)

    def note_silence(self, now_s: float) -> None:
        """Applies the first of a row of calls that were not answered."""
        self._is_unproven = True
        self._observe(SILENCE_EVIDENCE, now_s)

    def _observe(self, likelihood_ratio: float, now_s: float) -> None:
        self._failing.observe(likelihood_ratio, now_s, self.group.onset_per_s(now_s))
