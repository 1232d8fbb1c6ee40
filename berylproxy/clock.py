"""Time as the daemon sees it, exchangeable in tests."""

from time import monotonic
from typing import Protocol


class Clock(Protocol):
    """A clock that never goes back."""

    def now_s(self) -> float:
        """Seconds since an arbitrary start."""


class MonotonicClock:
    """The system's monotonic clock, which goes on while the process is paused."""

    def now_s(self) -> float:
        """Seconds since an arbitrary start."""
        return monotonic()
