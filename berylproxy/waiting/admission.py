"""Admission control: accepts or refuses new jobs by the configuration and the current load."""

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


class SlotAvailability(Protocol):
    """Expected availability of the endpoints' slots."""

    def can_place(self, service: str) -> bool:
        """Returns whether any holder can grant slots for a service."""

    def estimate_wait_s(self, service: str, new_tasks: int) -> float:
        """Estimates the time until the last of some new tasks would start."""

    def estimate_run_time_s(self, service: str) -> float:
        """Estimates the mean run time of a service's tasks; 0 while there is no estimate."""


class AdmissionControl:
    """Refuses jobs that cannot be served in time, and all jobs once the daemon is stopping."""

    def __init__(self, queue: WaitingQueue, slot_availability: SlotAvailability) -> None:
        self._queue = queue
        self._slot_availability = slot_availability
        self._configuration = Configuration()
        self.accepts_new_jobs = True

    def configure(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        self._configuration = configuration

    def resolve_timeout_s(self, submission: Submission) -> float:
        """Returns a submission's timeout, limited by its service's; 0 if the service is unknown."""
        service = self._configuration.services.get(submission.service)
        longest_s = service.timeout_s if service is not None else 0.0
        return min(submission.timeout_s or longest_s, longest_s)

    def check(self, submission: Submission) -> None:
        """Checks whether a new submission can be accepted now.

        :raises AdmissionError: if the submission must be refused.
        """
        if not self.accepts_new_jobs:
            raise HomeLeavingError("this daemon is stopping", retry_after_s=REFUSED_RETRY_AFTER_S)
        service = self._configuration.services.get(submission.service)
        if service is None:
            raise ServiceUnknownError(
                f"no service {submission.service[:64]!r}", hint="see berylctl get services"
            )
        check_tasks(service, self._configuration.endpoints.values(), submission.tasks)
        if not self._slot_availability.can_place(service.name):
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
            self._slot_availability.estimate_wait_s(submission.service, len(submission.tasks)),
            self._slot_availability.estimate_run_time_s(submission.service),
        )
