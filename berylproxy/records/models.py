"""The configuration in the form that the daemon uses, independent of schema versions."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Service:
    """A service that callers may submit tasks to.

    :param pools: names of the pools whose endpoints run its tasks.
    :param timeout_s: the longest time that a job of this service may take.
    :param run_time_s: declared run time of a task, the estimate until run times are observed.
    :param max_body_bytes: maximum body size of one task.
    :param repeat_after_failure: whether a task may run again after a run that ended in failure.
    :param max_run_time_s: the time after which a started task is abandoned.
    """

    name: str
    pools: tuple[str, ...]
    timeout_s: float
    run_time_s: float
    max_body_bytes: int
    repeat_after_failure: bool
    max_run_time_s: float


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of endpoints that serve the same services."""

    name: str


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A back end that runs tasks.

    :param url: base URL, such as ``http://10.0.3.7:8080``.
    :param slots: how many tasks the endpoint may run at once.
    :param connections: how many connections the endpoint accepts from all daemons together.
    :param resources: the resources that one task may use at most, by name (``memory_mb``,
        ``accelerators``).
    :param owner: name of the owner of the endpoint.
    :param cost_bearer: name of the party that is billed for the tasks of the endpoint.
    :param leaving: whether the endpoint is about to be removed.
    :param evacuated: whether its failure domain is evacuated.
    """

    name: str
    pool: str
    url: str
    slots: int
    connections: int
    resources: dict[str, int]
    owner: str
    cost_bearer: str
    failure_domain: str
    leaving: bool
    evacuated: bool = False

    @property
    def accepts_tasks(self) -> bool:
        """Whether the endpoint may receive new tasks."""
        return not (self.leaving or self.evacuated)


@dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain; one without a record is not evacuated.

    :param evacuated: whether its endpoints must not receive new tasks.
    """

    name: str
    evacuated: bool


@dataclass(frozen=True, slots=True)
class Team:
    """A submitting team with its quota.

    :param token_sha256: hexadecimal digests of the accepted tokens; empty if no token is required.
    :param max_running_tasks: quota of tasks that run at once in the whole system.
    :param max_waiting_tasks: quota of tasks that wait at one daemon.
    :param weight: the team's share when teams compete for slots.
    """

    name: str
    token_sha256: tuple[str, ...]
    max_running_tasks: int
    max_waiting_tasks: int
    weight: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """All records in force at one daemon.

    :param revision: the highest store revision applied.
    """

    revision: int = 0
    services: dict[str, Service] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    failure_domains: dict[str, FailureDomain] = field(default_factory=dict)
