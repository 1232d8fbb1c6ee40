"""The scenarios of the benchmark."""

from dataclasses import dataclass

MIXED_SPEEDS = (1.0, 2.0, 3.0, 4.0)


@dataclass(frozen=True, slots=True)
class Fault:
    """Switches of an endpoint stand-in, set during each policy's run and reset after it.

    :param endpoint: number of the endpoint.
    :param switches: values set ``at_s`` seconds into the run.
    :param undo: values set after the run.
    """

    at_s: float
    endpoint: int
    switches: dict[str, object]
    undo: dict[str, object]


FASTEST_ENDPOINT = MIXED_SPEEDS.index(max(MIXED_SPEEDS))


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load on a set of daemons and endpoints.

    :param load: requested work as a share of the endpoints' capacity.
    :param speeds: speeds of the endpoints in each failure domain.
    :param daemon_domains: failure domain of each daemon.
    :param daemon_weights: each daemon's share of the arrivals; empty for equal shares.
    :param slots: slots of each endpoint.
    :param tasks_per_job: 1 to send single requests instead of jobs.
    :param declared_run_time_s: run time in the service's record.
    :param timeout_s: request timeout in the service's record.
    :param max_run_time_s: time limit of a task at an endpoint in the service's record.
    :param faults: faults that are injected during each policy's run.
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
        """The distinct failure domains, sorted."""
        return sorted(set(self.daemon_domains))

    @property
    def slots_by_speed(self) -> dict[float, int]:
        """The number of slots of each speed in all failure domains."""
        counts: dict[float, int] = {}
        for speed in self.speeds:
            counts[speed] = counts.get(speed, 0) + self.slots * len(self.domains)
        return counts

    @property
    def total_slots(self) -> int:
        """The number of slots of all endpoints."""
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
            faults=(
                Fault(
                    5.0, FASTEST_ENDPOINT, {"speed": 0.5}, {"speed": MIXED_SPEEDS[FASTEST_ENDPOINT]}
                ),
            ),
        ),
        Scenario(
            "failing-endpoint-50",
            load=0.5,
            faults=(
                Fault(5.0, FASTEST_ENDPOINT, {"fail_everything": True}, {"fail_everything": False}),
            ),
        ),
        Scenario(
            "silent-endpoint-50",
            load=0.5,
            max_run_time_s=5.0,
            faults=(Fault(5.0, FASTEST_ENDPOINT, {"silent": True}, {}),),
        ),
        Scenario("overload-150", load=1.5, timeout_s=2.0, max_run_time_s=2.0),
    )
}
