"""Leases measured on an endpoint's own clock, and when they have certainly lapsed."""

from dataclasses import dataclass

CLOCK_DRIFT = 0.02  # an endpoint's clock may be that much slow, by the platform's contract
LAPSE_MARGIN_S = 0.06  # the longest stop of a run, and a timer's delay


@dataclass(slots=True)
class LeaseClock:
    """Translates this daemon's steady clock into an endpoint's.

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

    def read(self, clock_ms: int, sent_s: float, received_s: float) -> None:
        """Takes the endpoint's clock from an answer; one that overtook a newer one is left out."""
        if sent_s >= self.sent_s:
            self.read_ms, self.sent_s, self.received_s = clock_ms, sent_s, received_s

    def end_of_lease_ms(self, now_s: float, length_s: float) -> int:
        """Returns the end of a lease that begins now, and remembers that it may be granted.

        It is counted from the earliest time that the endpoint's clock can show.
        """
        until_ms = self.read_ms + int((now_s - self.received_s + length_s) * 1000)
        self.granted_until_ms = max(self.granted_until_ms, until_ms)
        return until_ms

    def lapsed_at_s(self) -> float:
        """Returns when all leases sent so far have certainly lapsed, on this daemon's clock."""
        left_s = max(self.granted_until_ms - self.read_ms, 0) / 1000
        return self.received_s + left_s / (1 - CLOCK_DRIFT) + LAPSE_MARGIN_S
