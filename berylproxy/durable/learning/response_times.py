"""Decides how long to wait for endpoints' answers, without a clock or sockets.

Made for endpoints that leave a part of their calls unanswered, and for connections that went
silent. A second copy of a call, sent once its answer is overdue, costs some milliseconds where the
timeout of the call would cost a quarter of a second. All functions take constant time.
"""

from dataclasses import dataclass

# Weights of a new observation and of the deviation, as in TCP's retransmission timer (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0
SHORTEST_PATIENCE_S = 0.02  # the precision of timers and of the scheduling of processes
INITIAL_PATIENCE_S = 0.1  # before the first answer
# A lost answer to a renewal may be the news of an end. So endpoints don't wait for much longer than
# until the next end is expected; most run times stay below this multiple of the expected one.
OVERDUE_FACTOR = 1.5
SHORTEST_RENEWAL_WAIT_S = 0.1  # while a run is overdue
LONGEST_RENEWAL_WAIT_S = 0.3  # leaves time for two more attempts within a lease of 1 s


@dataclass(slots=True)
class ResponseTimes:
    """The response times of calls that are answered at once.

    :ivar mean_s: exponential moving average; 0 before the first answer.
    :ivar deviation_s: exponential moving average of the distance from the mean.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0

    def add(self, took_s: float) -> None:
        """Adds the response time of a call that was sent once."""
        if not self.mean_s:
            self.mean_s, self.deviation_s = took_s, took_s / 2
            return
        distance_s = abs(took_s - self.mean_s)
        self.deviation_s += DEVIATION_WEIGHT * (distance_s - self.deviation_s)
        self.mean_s += MEAN_WEIGHT * (took_s - self.mean_s)

    @property
    def patience_s(self) -> float:
        """The time after which a missing answer is overdue."""
        if not self.mean_s:
            return INITIAL_PATIENCE_S
        return max(SHORTEST_PATIENCE_S, self.mean_s + DEVIATIONS * self.deviation_s)


def renewal_wait_s(remaining_s: float) -> float:
    """Returns how long an endpoint may wait for the end of a run before it answers a renewal.

    :param remaining_s: time to the next expected end; negative if that is overdue.
    """
    wait_s = max(OVERDUE_FACTOR * remaining_s, SHORTEST_RENEWAL_WAIT_S)
    return min(wait_s, LONGEST_RENEWAL_WAIT_S)
