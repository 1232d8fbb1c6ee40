"""Metrics of a daemon in the formats that scrapers accept."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from math import inf

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.collectors import Collector

COUNTER_SUFFIX = "_total"


@dataclass(frozen=True, slots=True)
class Sample:
    """The value of one time series at the time of a scrape."""

    name: str
    help: str
    value: float
    labels: dict[str, str]


class Metrics:
    """Registry of histograms, and of time series that are sampled at each scrape."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._series: dict[str, Collector] = {}
        self._sources: list[Callable[[], Iterable[Sample]]] = []

    def add_source(self, source: Callable[[], Iterable[Sample]]) -> None:
        """Adds a function that is called for samples at each scrape."""
        self._sources.append(source)

    def make_histogram(self, name: str, help_text: str, buckets: Sequence[float]) -> Histogram:
        """Creates a histogram, which records observations as they occur, not at each scrape."""
        return Histogram(name, help_text, registry=self._registry, buckets=[*buckets, inf])

    def scrape(self, accepted: Sequence[str]) -> tuple[bytes, str]:
        """Renders all series.

        :param accepted: the scraper's ``Accept`` headers.
        :returns: the content and its media type.
        """
        for source in self._sources:
            for sample in source():
                self._set(sample)
        content, headers = render(self._registry, list(accepted))
        return content, headers["Content-Type"]

    def _set(self, sample: Sample) -> None:
        series = self._series.get(sample.name)
        if series is None:
            collector = Counter if sample.name.endswith(COUNTER_SUFFIX) else Gauge
            series = collector(sample.name, sample.help, registry=self._registry)
            self._series[sample.name] = series
        series.set(sample.labels, sample.value)
