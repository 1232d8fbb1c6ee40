"""Configurations for the tests of placement."""

from berylproxy.records.models import Configuration, Endpoint, Pool, Service

POOL, SERVICE = "pool", "enquiry"


def make_configuration(slots):
    """Creates a configuration with one endpoint for each name, with the given number of slots."""
    endpoints = {
        name: Endpoint(name, POOL, f"http://{name}", count, 64, {}, "o", "o", "fd-a", False)
        for name, count in slots.items()
    }
    service = Service(SERVICE, (POOL,), 30.0, 0.3, 1_000, False, 10.0)
    return Configuration(1, {SERVICE: service}, {POOL: Pool(POOL)}, endpoints, {})
