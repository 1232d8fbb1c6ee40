"""Checks of the references between records."""

from berylproxy.records.errors import FieldProblem, RecordInUseError, RecordInvalidError
from berylproxy.records.models import Configuration, Endpoint, Service
from berylproxy.records.schemas import Record, RecordKind

MAX_NAMED_REFERRERS = 5


def list_missing_pools(record: Record, configuration: Configuration) -> list[FieldProblem]:
    """Returns the references of one record to pools that do not exist."""
    if isinstance(record, Service):
        return [
            FieldProblem(f"pools.{position}", f"no such pool: {pool}")
            for position, pool in enumerate(record.pools)
            if pool not in configuration.pools
        ]
    if isinstance(record, Endpoint) and record.pool not in configuration.pools:
        return [FieldProblem("pool", f"no such pool: {record.pool}")]
    return []


def check_references(kind: str, record: Record, configuration: Configuration) -> None:
    """Checks that all records exist that a record refers to.

    :raises RecordInvalidError: if a referenced record does not exist.
    """
    problems = list_missing_pools(record, configuration)
    if problems:
        subject = f"{kind}/{record.name}"
        raise RecordInvalidError(subject, tuple(problems), hint="create the pool first")


def check_unused(kind: str, name: str, configuration: Configuration) -> None:
    """Checks that no other record refers to a record.

    :raises RecordInUseError: if another record refers to it.
    """
    if kind != RecordKind.POOLS:
        return
    services = [f"services/{s.name}" for s in configuration.services.values() if name in s.pools]
    endpoints = [f"endpoints/{e.name}" for e in configuration.endpoints.values() if e.pool == name]
    referrers = services + endpoints
    if referrers:
        named = ", ".join(referrers[:MAX_NAMED_REFERRERS])
        raise RecordInUseError(
            f"pools/{name}: {len(referrers)} records refer to it",
            hint=f"delete or change these first: {named}",
        )


def list_dangling_references(configuration: Configuration) -> dict[str, list[FieldProblem]]:
    """Returns the references to missing pools by record (``services/enquiry``).

    Concurrent changes by operators can lead to dangling references; the records stay in force.
    """
    dangling = {}
    for kind, records in (
        (RecordKind.SERVICES, configuration.services),
        (RecordKind.ENDPOINTS, configuration.endpoints),
    ):
        for name, record in records.items():
            problems = list_missing_pools(record, configuration)
            if problems:
                dangling[f"{kind}/{name}"] = problems
    return dangling
