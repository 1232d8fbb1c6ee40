"""Detects pauses of this process: it was stopped or got no CPU time, or its VM was paused."""

from berylproxy.clock import Clock

PAUSE_THRESHOLD_S = 1.0  # a longer gap between two calls of note_run is a pause
REFRESH_DURATION_S = 2.0  # time after a pause for this process's view of the cluster to catch up


class PauseDetector:
    """Reports whether this process's view of the cluster may be out of date after a pause."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_run_s = clock.now_s()
        self._refresh_end_s = 0.0

    def note_run(self) -> None:
        """Records that the process is running; must be called several times a second."""
        now_s = self._clock.now_s()
        if now_s - self._last_run_s > PAUSE_THRESHOLD_S:
            self._refresh_end_s = now_s + REFRESH_DURATION_S
        self._last_run_s = now_s

    @property
    def is_refreshing(self) -> bool:
        """Whether a pause ended less than ``REFRESH_DURATION_S`` ago."""
        return self._clock.now_s() < self._refresh_end_s
