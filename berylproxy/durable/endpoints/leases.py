"""Lease times on an endpoint's own clock, and when its leases have certainly lapsed."""

from dataclasses import dataclass

CLOCK_DRIFT = 0.02  # share by which an endpoint's clock may run slow, by the platform's contract
LAPSE_MARGIN_S = 0.06  # the longest time to stop a run, and the delay of a timer


@dataclass(slots=True)
class LeaseClock:
    """Converts between this daemon's monotonic clock and an endpoint's clock.

    :ivar read_ms: the endpoint's clock in its newest answer.
    :ivar sent_s: monotonic time at which the call for that answer was sent.
    :ivar received_s: monotonic time at which that answer arrived.
    :ivar granted_until_ms: latest end of a lease that was sent, on the endpoint's clock.
    """

    read_ms: int = 0
    sent_s: float = 0.0
    received_s: float = 0.0
    granted_until_ms: int = 0

    @property
    def is_known(self) -> bool:
        """Whether the endpoint's clock has been read."""
        return self.received_s > 0

    def update(self, clock_ms: int, sent_s: float, received_s: float) -> None:
        """Applies the clock reading of an answer; ignores the answer to an earlier call."""
        if sent_s >= self.sent_s:
            self.read_ms, self.sent_s, self.received_s = clock_ms, sent_s, received_s

    def grant_lease_until_ms(self, now_s: float, length_s: float) -> int:
        """Returns the end of a lease that begins now, and records that it may be granted.

        The start is the earliest time that the endpoint's clock can show now.

        :param length_s: length of the lease.
        :return: end of the lease in milliseconds on the endpoint's clock.
        """
        until_ms = self.read_ms + int((now_s - self.received_s + length_s) * 1000)
        self.granted_until_ms = max(self.granted_until_ms, until_ms)
        return until_ms

    def lapsed_at_s(self) -> float:
        """Returns the monotonic time at which all leases sent so far have certainly lapsed."""
        remaining_s = max(self.granted_until_ms - self.read_ms, 0) / 1000
        return self.received_s + remaining_s / (1 - CLOCK_DRIFT) + LAPSE_MARGIN_S
