"""Marks the endpoints of evacuated failure domains, which get no new tasks."""

from dataclasses import replace

from logbook import Logger

from berylproxy.records.models import Configuration

logger = Logger(__name__)


def list_evacuated_domains(configuration: Configuration) -> frozenset[str]:
    """Returns the names of the evacuated failure domains."""
    domains = configuration.failure_domains.values()
    return frozenset(domain.name for domain in domains if domain.evacuated)


def mark_evacuated_endpoints(configuration: Configuration, names: frozenset[str]) -> Configuration:
    """Returns the configuration with the endpoints of the named failure domains marked."""
    if not names:
        return configuration
    endpoints = {
        name: replace(endpoint, evacuated=endpoint.failure_domain in names)
        for name, endpoint in configuration.endpoints.items()
    }
    return replace(configuration, endpoints=endpoints)


def log_evacuations(former: frozenset[str], names: frozenset[str], revision: int) -> None:
    """Logs each failure domain that is evacuated or taken back."""
    for name in sorted(names - former):
        logger.info(
            "failure domain evacuated", extra={"failure_domain": name, "revision": revision}
        )
    for name in sorted(former - names):
        logger.info(
            "failure domain taken back", extra={"failure_domain": name, "revision": revision}
        )
