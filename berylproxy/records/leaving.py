"""Marks endpoints as leaving when the platform's list of VMs shows their VM as leaving."""

from dataclasses import replace
from urllib.parse import urlsplit

from berylproxy.records.models import Configuration, Endpoint


def mark_leaving_endpoints(
    configuration: Configuration, leaving_hosts: frozenset[str]
) -> Configuration:
    """Returns the configuration with the endpoints on leaving VMs marked as leaving."""
    if not leaving_hosts:
        return configuration
    endpoints = {
        name: _mark(endpoint, leaving_hosts) for name, endpoint in configuration.endpoints.items()
    }
    return replace(configuration, endpoints=endpoints)


def _mark(endpoint: Endpoint, leaving_hosts: frozenset[str]) -> Endpoint:
    if endpoint.leaving or urlsplit(endpoint.url).hostname not in leaving_hosts:
        return endpoint
    return replace(endpoint, leaving=True)
