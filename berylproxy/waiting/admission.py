"""Takes new jobs or refuses them, by the configuration and the load of the moment."""

from typing import Protocol

from berylproxy.models import Submission
from berylproxy.records.models import Configuration
from berylproxy.waiting.limits import (
    HomeLeavingError,
    Load,
    NoEndpointError,
    ServiceUnknownError,
    check_load,
    check_tasks,
)
from berylproxy.waiting.queue import WaitingQueue

DEFAULT_TEAM_QUOTA = 5_000
REFUSED_RETRY_AFTER_S = 2.0


class SlotOutlook(Protocol):
    """What is expected of the endpoints' slots."""

    def can_place(self, service: str) -> bool:
        """Tells whether any holder can grant slots for a service."""

    def estimate_wait_s(self, service: str, new_tasks: int) -> float:
        """Estimates the time until the last of some new tasks would start."""

    def estimate_run_time_s(self, service: str) -> float:
        """Estimates the mean run time of a service's tasks; 0 while nothing is known."""


class AdmissionControl:
    """Refuses what can't be served in time, and everything once the daemon stops."""

    def __init__(self, queue: WaitingQueue, outlook: SlotOutlook) -> None:
        self._queue = queue
        self._outlook = outlook
        self._configuration = Configuration()
        self.takes_new_jobs = True

    def configure(self, configuration: Configuration) -> None:
        """Takes a new configuration."""
        self._configuration = configuration

    def resolve_timeout_s(self, submission: Submission) -> float:
        """Returns the time after which the submission is given up on; 0 without its service."""
        service = self._configuration.services.get(submission.service)
        longest_s = service.timeout_s if service is not None else 0.0
        return min(submission.timeout_s or longest_s, longest_s)

    def check(self, submission: Submission) -> None:
        """Checks whether a new submission can be taken now.

        :raises AdmissionError: if not.
        """
        if not self.takes_new_jobs:
            raise HomeLeavingError("this daemon is stopping", retry_after_s=REFUSED_RETRY_AFTER_S)
        service = self._configuration.services.get(submission.service)
        if service is None:
            raise ServiceUnknownError(
                f"no service {submission.service[:64]!r}", hint="see berylctl get services"
            )
        check_tasks(service, self._configuration.endpoints.values(), submission.tasks)
        if not self._outlook.can_place(service.name):
            raise NoEndpointError(
                f"no endpoint serves {service.name} now", retry_after_s=REFUSED_RETRY_AFTER_S
            )
        load = self._measure_load(submission)
        check_load(load, len(submission.tasks), self.resolve_timeout_s(submission))

    def _measure_load(self, submission: Submission) -> Load:
        team = self._configuration.teams.get(submission.team)
        return Load(
            self._queue.count_team(submission.team),
            team.max_waiting_tasks if team is not None else DEFAULT_TEAM_QUOTA,
            len(self._queue),
            self._outlook.estimate_wait_s(submission.service, len(submission.tasks)),
            self._outlook.estimate_run_time_s(submission.service),
        )
