"""Counts of finished work by owner, from the endpoints' own answers."""

from dataclasses import dataclass

from berylproxy.records.models import Endpoint


@dataclass(frozen=True, slots=True)
class UsageKey:
    """Whose work is counted together.

    :param owner: who owns the endpoints.
    :param cost_bearer: who is billed.
    """

    owner: str
    cost_bearer: str
    team: str
    service: str


@dataclass(slots=True)
class Usage:
    """Work done.

    :param tasks: tasks that the endpoints have answered.
    :param failed_tasks: those of them that the endpoints answered as failed.
    :param run_time_s: time from sending to the answer, added up.
    """

    tasks: int = 0
    failed_tasks: int = 0
    run_time_s: float = 0.0


class UsageCounters:
    """Absolute counts since the start of this daemon; they only grow."""

    def __init__(self) -> None:
        self._usages: dict[UsageKey, Usage] = {}
        self.version = 0

    def note_answer(
        self, endpoint: Endpoint, team: str, service: str, run_time_s: float, *, failed: bool
    ) -> None:
        """Counts one task that an endpoint has answered.

        Work without an answer is not counted: nobody is billed on a guess.
        """
        key = UsageKey(endpoint.owner, endpoint.cost_bearer, team, service)
        usage = self._usages.setdefault(key, Usage())
        usage.tasks += 1
        usage.failed_tasks += failed
        usage.run_time_s += run_time_s
        self.version += 1

    def list_usages(self) -> list[tuple[UsageKey, Usage]]:
        """Lists all counts."""
        return list(self._usages.items())
