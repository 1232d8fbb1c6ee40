"""What the daemon counts, for ``/metrics``."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Registry, render
from aioprometheus.collectors import Collector
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route


@dataclass(frozen=True, slots=True)
class Sample:
    """The value of one time series at the time of a scrape."""

    name: str
    help: str
    value: float
    labels: dict[str, str]


class Metrics:
    """Counters that events add to, and gauges that are read at each scrape."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._gauges: dict[str, Collector] = {}
        self._sources: list[Callable[[], Iterable[Sample]]] = []
        self.jobs = self._register(Counter("berylproxy_jobs_total", "Jobs answered, by outcome"))
        self.task_sends = self._register(
            Counter("berylproxy_task_sends_total", "Tasks sent to endpoints, by result")
        )

    def add_source(self, source: Callable[[], Iterable[Sample]]) -> None:
        """Takes a function that is asked for samples at each scrape."""
        self._sources.append(source)

    def routes(self) -> list[Route]:
        """Makes the route of ``/metrics``."""
        return [Route("/metrics", self.scrape, methods=["GET"])]

    async def scrape(self, request: Request) -> Response:
        """Answers with all series in the format that the scraper accepts."""
        for source in self._sources:
            for sample in source():
                self._set(sample)
        content, headers = render(self._registry, request.headers.getlist("accept"))
        return Response(content, media_type=headers["Content-Type"])

    def _register(self, collector: Collector) -> Collector:
        self._registry.register(collector)
        return collector

    def _set(self, sample: Sample) -> None:
        gauge = self._gauges.get(sample.name)
        if gauge is None:
            gauge = self._register(Gauge(sample.name, sample.help))
            self._gauges[sample.name] = gauge
        gauge.set(sample.labels, sample.value)
