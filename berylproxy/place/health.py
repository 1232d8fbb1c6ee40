"""Whether an endpoint may be trusted with new tasks, from how the last ones ended."""

from dataclasses import dataclass

FAILURES_TO_EJECT = 3  # in a row
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
LEAVING_EJECTION_S = 30.0


@dataclass(slots=True)
class EndpointHealth:
    """Ejects an endpoint after failures in a row, then lets one task at a time try it again.

    :param ejected_until_s: no grants before that time.
    :param on_probation: whether only one task at a time may go there.
    """

    failures_in_a_row: int = 0
    ejection_s: float = FIRST_EJECTION_S
    ejected_until_s: float = 0.0
    on_probation: bool = False

    def note_success(self) -> None:
        """A task finished well."""
        self.failures_in_a_row = 0
        self.ejection_s = FIRST_EJECTION_S
        self.on_probation = False

    def note_failure(self, now_s: float) -> None:
        """A task failed, got no answer, or could not be sent."""
        self.failures_in_a_row += 1
        if self.on_probation or self.failures_in_a_row >= FAILURES_TO_EJECT:
            self._eject(now_s)

    def note_leaving(self, now_s: float) -> None:
        """The endpoint said itself that it takes no new work."""
        self.ejected_until_s = now_s + LEAVING_EJECTION_S
        self.on_probation = True

    def may_take(self, now_s: float, in_use: int) -> bool:
        """Tells whether a task may be sent there now."""
        if now_s < self.ejected_until_s:
            return False
        return not self.on_probation or in_use == 0

    def _eject(self, now_s: float) -> None:
        if now_s < self.ejected_until_s:
            return  # results of tasks sent before the ejection say nothing new
        self.ejected_until_s = now_s + self.ejection_s
        self.ejection_s = min(LONGEST_EJECTION_S, 2 * self.ejection_s)
        self.on_probation = True
