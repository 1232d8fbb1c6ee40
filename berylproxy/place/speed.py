"""Estimates run times for each endpoint and service from finished tasks."""

from dataclasses import dataclass

MEAN_GAIN = 0.02  # weight of a new run time in the moving mean; 0.1 let single long tasks skew it


@dataclass(slots=True)
class RunTimeMean:
    """A moving mean of run times in seconds."""

    mean_s: float = 0.0
    samples: int = 0

    def add(self, run_time_s: float) -> None:
        """Adds one run time to the mean."""
        self.samples += 1
        gain = max(MEAN_GAIN, 1 / self.samples)  # arithmetic mean of the first samples
        self.mean_s += gain * (run_time_s - self.mean_s)


class RunTimeEstimator:
    """Expected run times by endpoint and service.

    An endpoint that has not run a service yet is assumed to be as fast as the fastest known one,
    so that it is tried.
    """

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], RunTimeMean] = {}
        self._fastest_s: dict[str, float] = {}

    def add(self, endpoint: str, service: str, run_time_s: float) -> None:
        """Adds the run time of a finished task."""
        self._means.setdefault((endpoint, service), RunTimeMean()).add(run_time_s)
        self._fastest_s[service] = min(
            mean.mean_s for (_, name), mean in self._means.items() if name == service
        )

    def expected_run_time_s(self, endpoint: str, service: str, declared_s: float) -> float:
        """Returns the expected run time of a task in seconds.

        :param declared_s: the service's declared run time, used until a task of it has finished.
        """
        mean = self._means.get((endpoint, service))
        if mean is not None:
            return mean.mean_s
        return self._fastest_s.get(service, declared_s)

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops the run times of an endpoint."""
        self._means = {key: mean for key, mean in self._means.items() if key[0] != endpoint}
