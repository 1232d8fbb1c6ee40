"""Notices that this process has not run for a while: stopped, starved, or its VM paused."""

from berylproxy.clock import Clock

PAUSE_LIMIT_S = 1.0  # without a note for longer, the process has not run
REFRESH_S = 2.0  # time after a pause for what is known here to come up to date


class PauseDetector:
    """Tells whether what this process knows may be out of date after a pause."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_run_s = clock.now_s()
        self._refreshed_at_s = 0.0

    def note_run(self) -> None:
        """Notes that the process runs; to be called several times a second."""
        now_s = self._clock.now_s()
        if now_s - self._last_run_s > PAUSE_LIMIT_S:
            self._refreshed_at_s = now_s + REFRESH_S
        self._last_run_s = now_s

    @property
    def is_refreshing(self) -> bool:
        """Whether a pause ended a moment ago."""
        return self._clock.now_s() < self._refreshed_at_s
