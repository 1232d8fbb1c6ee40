"""Monotonic time, replaceable in tests."""

from time import monotonic
from typing import Protocol


class Clock(Protocol):
    """A clock that never goes backwards."""

    def now_s(self) -> float:
        """Returns the seconds since an arbitrary start."""


class MonotonicClock:
    """The system's monotonic clock, which keeps running while the process is paused."""

    def now_s(self) -> float:
        """Returns the seconds since an arbitrary start."""
        return monotonic()
