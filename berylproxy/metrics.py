"""What the daemon counts, for ``/metrics``."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Registry, render
from aioprometheus.collectors import Collector
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

COUNTER_SUFFIX = "_total"


@dataclass(frozen=True, slots=True)
class Sample:
    """The value of one time series at the time of a scrape."""

    name: str
    help: str
    value: float
    labels: dict[str, str]


class Metrics:
    """Series that are read from their sources at each scrape."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._series: dict[str, Collector] = {}
        self._sources: list[Callable[[], Iterable[Sample]]] = []

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

    def _set(self, sample: Sample) -> None:
        series = self._series.get(sample.name)
        if series is None:
            collector = Counter if sample.name.endswith(COUNTER_SUFFIX) else Gauge
            series = collector(sample.name, sample.help)
            self._registry.register(series)
            self._series[sample.name] = series
        series.set(sample.labels, sample.value)
