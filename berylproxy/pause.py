"""Detects pauses of this process: it was stopped or got no CPU time, or its VM was paused."""

from berylproxy.clock import Clock

PAUSE_THRESHOLD_S = 1.0
REFRESH_DURATION_S = 2.0


class PauseDetector:
    """Reports whether this process's view of the cluster may be out of date after a pause.

    :param threshold_s: a longer gap between two calls of :meth:`note_run` is a pause.
    :param refresh_duration_s: time after a pause for the view to catch up.
    """

    def __init__(
        self,
        clock: Clock,
        threshold_s: float = PAUSE_THRESHOLD_S,
        refresh_duration_s: float = REFRESH_DURATION_S,
    ) -> None:
        self._clock = clock
        self._threshold_s = threshold_s
        self._refresh_duration_s = refresh_duration_s
        self._last_run_s = clock.now_s()
        self._refresh_end_s = 0.0

    def note_run(self) -> None:
        """Records that the process is running; must be called several times a second."""
        now_s = self._clock.now_s()
        if now_s - self._last_run_s > self._threshold_s:
            self._refresh_end_s = now_s + self._refresh_duration_s
        self._last_run_s = now_s

    @property
    def is_refreshing(self) -> bool:
        """Whether a pause ended less than the refresh duration ago."""
        return self._clock.now_s() < self._refresh_end_s
