"""Configuration as the daemon uses it, whatever schema version each record was written in."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Service:
    """What callers may ask for.

    :param pools: names of the pools whose endpoints serve it.
    :param timeout_s: the longest that a job of this service may take.
    :param run_time_s: declared run time of a task; the first guess before one is learnt.
    :param max_body_bytes: the largest body of one task.
    :param repeat_after_failure: whether a task may run again after a finished failure.
    :param max_run_time_s: the time after which a started task is given up on.
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
    :param slots: how many tasks it may run at once.
    :param connections: how many connections it accepts from all daemons together.
    :param resources: what one task may need at most, by name (``memory_mb``, ``accelerators``).
    :param owner: who owns it.
    :param cost_bearer: who is billed for the work it receives.
    :param leaving: whether it must get no new work.
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


@dataclass(frozen=True, slots=True)
class Team:
    """A submitting team with its quota.

    :param token_sha256: hexadecimal digests of the tokens accepted; empty if none is asked for.
    :param max_running_tasks: quota of tasks that run at once over the whole system.
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
