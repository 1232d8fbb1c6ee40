"""The situations that the bench brings about."""

from dataclasses import dataclass

MIXED_SPEEDS = (1.0, 2.0, 3.0, 4.0)


@dataclass(frozen=True, slots=True)
class Fault:
    """A switch of an endpoint stand-in, set during each policy's run and taken back after it.

    :param endpoint: number of the endpoint.
    :param switches: what is set, and what it is set back to.
    """

    at_s: float
    endpoint: int
    switches: dict[str, object]
    undo: dict[str, object]


FASTEST = MIXED_SPEEDS.index(max(MIXED_SPEEDS))


@dataclass(frozen=True, slots=True)
class Scenario:
    """A situation.

    :param load: share of the endpoints' capacity that the arrivals ask for.
    :param speeds: speeds of the endpoints in each failure domain.
    :param daemon_domains: the failure domain of each daemon.
    :param daemon_weights: each daemon's share of the arrivals; empty for equal shares.
    :param slots: slots of each endpoint.
    :param tasks_per_job: 1 for single requests.
    :param declared_run_time_s: run time in the service's record.
    :param timeout_s: the same for the longest time of a request.
    :param max_run_time_s: the same for the longest time of a task at an endpoint.
    """

    name: str
    load: float
    duration_s: float = 15.0
    speeds: tuple[float, ...] = MIXED_SPEEDS
    daemon_domains: tuple[str, ...] = ("fd-a", "fd-a", "fd-b", "fd-b")
    daemon_weights: tuple[float, ...] = ()
    slots: int = 8
    tasks_per_job: int = 1
    declared_run_time_s: float = 0.3
    timeout_s: float = 30.0
    max_run_time_s: float = 10.0
    faults: tuple[Fault, ...] = ()

    @property
    def domains(self) -> list[str]:
        """The failure domains."""
        return sorted(set(self.daemon_domains))

    @property
    def slots_by_speed(self) -> dict[float, int]:
        """How many slots there are of each speed, over all failure domains."""
        counts: dict[float, int] = {}
        for speed in self.speeds:
            counts[speed] = counts.get(speed, 0) + self.slots * len(self.domains)
        return counts

    @property
    def all_slots(self) -> int:
        """How many slots there are."""
        return sum(self.slots_by_speed.values())


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady-50", load=0.5),
        Scenario("steady-70", load=0.7),
        Scenario("steady-90", load=0.9),
        Scenario("one-domain-70", load=0.7, daemon_domains=("fd-a",) * 4, speeds=2 * MIXED_SPEEDS),
        Scenario("alike-70", load=0.7, speeds=(2.5, 2.5, 2.5, 2.5)),
        Scenario("unequal-daemons-70", load=0.7, daemon_weights=(8.0, 1.0, 4.0, 1.0)),
        Scenario("wrong-run-times-70", load=0.7, declared_run_time_s=3.0),
        Scenario("burst-jobs-70", load=0.7, tasks_per_job=310),
        Scenario(
            "straggler-50",
            load=0.5,
            faults=(Fault(5.0, FASTEST, {"speed": 0.5}, {"speed": MIXED_SPEEDS[FASTEST]}),),
        ),
        Scenario(
            "failing-endpoint-50",
            load=0.5,
            faults=(Fault(5.0, FASTEST, {"fail_everything": True}, {"fail_everything": False}),),
        ),
        Scenario(
            "silent-endpoint-50",
            load=0.5,
            max_run_time_s=5.0,
            faults=(Fault(5.0, FASTEST, {"silent": True}, {}),),
        ),
        Scenario("overload-150", load=1.5, timeout_s=2.0, max_run_time_s=2.0),
    )
}
