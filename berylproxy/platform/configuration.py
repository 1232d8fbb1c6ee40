"""Decodes the operator's configuration from the platform's store."""

from dataclasses import dataclass, field
from typing import Annotated, Any

from msgspec import Meta
from orjson import JSONDecodeError, loads

from berylproxy.durable.jobs.models import QueueTerms
from berylproxy.errors import BerylproxyError
from berylproxy.tables import Table, TableInvalidError, convert_table

CONFIGURATION_KEY = "op/config"
DEFAULT_MAX_BODY_BYTES = 262_144


class ConfigurationInvalidError(BerylproxyError):
    """The configuration can't be decoded; the current one stays in force."""

    code = "configuration_invalid"


class _Route(Table):
    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int = 1500
    # Despite its name only the constant part of a job's latency objective; "stretch" is the factor
    # of the part that grows with the job.
    target_latency_ms: float = 0.0
    priority: Annotated[int, Meta(ge=0)] = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: Any = None


class _Service(Table):
    name: str


class _Limits(Table):
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class _Configuration(Table):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()


@dataclass(frozen=True, slots=True)
class JobRoute:
    """Maps a host and a path prefix to a queue.

    :param prefix: start of the request path; the job's identifier follows.
    :param timeout_s: how long to wait for a result if the request doesn't specify a time.
    :param needs_advice: whether an external service decides which endpoints may run the tasks.
    """

    host: str
    prefix: str
    terms: QueueTerms
    timeout_s: float
    needs_advice: bool = False


@dataclass(frozen=True, slots=True)
class PlatformConfiguration:
    """One version of the configuration."""

    version: int = 0
    routes: tuple[JobRoute, ...] = ()
    services: tuple[str, ...] = ()
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    _by_host: dict[str, list[JobRoute]] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> JobRoute | None:
        """Returns the route with the longest prefix that matches the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def decode_configuration(value: bytes) -> PlatformConfiguration:
    """Decodes a version of the configuration.

    :raises ConfigurationInvalidError: if it can't be decoded.
    """
    try:
        parsed = convert_table(loads(value), _Configuration)
    except JSONDecodeError as error:
        raise ConfigurationInvalidError(f"not JSON: {error}") from error
    except TableInvalidError as error:
        raise ConfigurationInvalidError(error.problems[0]) from error
    routes = tuple(_convert_route(route) for route in parsed.routes)
    by_host: dict[str, list[JobRoute]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        by_host.setdefault(route.host.lower(), []).append(route)
    services = dict.fromkeys(
        [*(service.name for service in parsed.services), *(route.terms.service for route in routes)]
    )
    return PlatformConfiguration(
        parsed.version, routes, tuple(services), parsed.limits.max_body_bytes, by_host
    )


def _convert_route(route: _Route) -> JobRoute:
    terms = QueueTerms(
        queue=route.name,
        service=route.service,
        priority=route.priority,
        max_attempts=max(route.max_attempts, 1),
        objective_factor=route.stretch,
        objective_s=route.target_latency_ms / 1000,
    )
    return JobRoute(
        route.host, route.prefix, terms, route.timeout_ms / 1000, needs_advice=bool(route.advice)
    )
