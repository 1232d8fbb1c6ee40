"""Counts of finished work by owner, based on the answers of the endpoints."""

from dataclasses import dataclass

from berylproxy.records.models import Endpoint


@dataclass(frozen=True, slots=True)
class UsageKey:
    """Identifies the work that is counted together.

    :param owner: owner of the endpoints.
    :param cost_bearer: party that is billed.
    :param team: team that submitted the work.
    :param service: service that the work was submitted to.
    """

    owner: str
    cost_bearer: str
    team: str
    service: str


@dataclass(slots=True)
class Usage:
    """Counts of finished work.

    :param tasks: tasks that the endpoints have answered.
    :param failed_tasks: those of ``tasks`` that the endpoints answered as failed.
    :param run_time_s: total time from sending a task to its answer.
    """

    tasks: int = 0
    failed_tasks: int = 0
    run_time_s: float = 0.0


class UsageCounters:
    """Absolute counts since the start of this daemon, which never decrease.

    :ivar version: increases with each counted task.
    """

    def __init__(self) -> None:
        self._usages: dict[UsageKey, Usage] = {}
        self.version = 0

    def note_answer(
        self, endpoint: Endpoint, team: str, service: str, run_time_s: float, *, failed: bool
    ) -> None:
        """Counts one task that an endpoint has answered.

        Tasks without an answer are not counted, since nobody is billed for work that is uncertain.
        """
        key = UsageKey(endpoint.owner, endpoint.cost_bearer, team, service)
        usage = self._usages.setdefault(key, Usage())
        usage.tasks += 1
        usage.failed_tasks += failed
        usage.run_time_s += run_time_s
        self.version += 1

    def list_usages(self) -> list[tuple[UsageKey, Usage]]:
        """Returns all counts."""
        return list(self._usages.items())
