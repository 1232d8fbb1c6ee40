"""Outlier ejection: decides from recent results whether an endpoint may receive new tasks."""

from dataclasses import dataclass

FAILURES_TO_EJECT = 3  # in a row
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
LEAVING_EJECTION_S = 30.0


@dataclass(slots=True)
class EndpointHealth:
    """Ejects an endpoint after consecutive failures, then probes it with one task at a time.

    The ejection time doubles with each ejection until a task succeeds.

    :param ejection_s: duration of the next ejection.
    :param ejected_until_s: time before which no slot is granted.
    :param on_probation: whether the endpoint may run only one task at a time.
    """

    failures_in_a_row: int = 0
    ejection_s: float = FIRST_EJECTION_S
    ejected_until_s: float = 0.0
    on_probation: bool = False

    def note_success(self) -> None:
        """Records a successful task, which ends the probation."""
        self.failures_in_a_row = 0
        self.ejection_s = FIRST_EJECTION_S
        self.on_probation = False

    def note_failure(self, now_s: float) -> None:
        """Records a task that failed, got no answer or could not be sent."""
        self.failures_in_a_row += 1
        if self.on_probation or self.failures_in_a_row >= FAILURES_TO_EJECT:
            self._eject(now_s)

    def note_leaving(self, now_s: float) -> None:
        """Records that the endpoint has reported that it accepts no new tasks."""
        self.ejected_until_s = now_s + LEAVING_EJECTION_S
        self.on_probation = True

    def may_receive_task(self, now_s: float, in_use: int) -> bool:
        """Returns whether a task may be sent to the endpoint now.

        :param in_use: number of the endpoint's slots in use.
        """
        if now_s < self.ejected_until_s:
            return False
        return not self.on_probation or in_use == 0

    def _eject(self, now_s: float) -> None:
        if now_s < self.ejected_until_s:
            return  # failures of tasks sent before the ejection must not prolong it
        self.ejected_until_s = now_s + self.ejection_s
        self.ejection_s = min(LONGEST_EJECTION_S, 2 * self.ejection_s)
        self.on_probation = True
