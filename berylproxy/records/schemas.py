"""Schemas of the records, and their conversion to the data classes that the daemon uses.

Several schema versions of a kind are supported at once: :data:`SCHEMAS` maps each version to its
pydantic model, and each model converts itself, so the rest of the daemon handles one form only.
"""

import re
from enum import StrEnum
from typing import Any, Literal, Protocol

from pydantic import BaseModel, ConfigDict, ValidationError, model_validator

from berylproxy.records.errors import (
    FieldProblem,
    RecordInvalidError,
    RecordKindUnknownError,
    SchemaVersionUnknownError,
)
from berylproxy.records.fields import (
    NAME_PATTERN,
    Accelerators,
    BodyLimitBytes,
    Connections,
    DurationS,
    EndpointUrl,
    MemoryMb,
    Name,
    PoolNames,
    QuotaTasks,
    Slots,
    TokenDigests,
    Weight,
)
from berylproxy.records.models import Endpoint, FailureDomain, Pool, Service, Team

MAX_REPORTED_PROBLEMS = 8

Record = Service | Pool | Endpoint | Team | FailureDomain


class RecordKind(StrEnum):
    """The kinds of records, as written in keys and URLs."""

    SERVICES = "services"
    POOLS = "pools"
    ENDPOINTS = "endpoints"
    TEAMS = "teams"
    FAILURE_DOMAINS = "failure-domains"


class RecordSchema(Protocol):
    """A record in one schema version."""

    def to_model(self, name: str) -> Record:
        """Converts to the data class that the daemon uses."""


class StrictModel(BaseModel):
    """A pydantic model that rejects unknown fields and values of another type."""

    model_config = ConfigDict(strict=True, extra="forbid", frozen=True, hide_input_in_errors=True)


class ServiceV1(StrictModel):
    """A service, schema version 1."""

    schema_version: Literal[1]
    pools: PoolNames
    timeout_s: DurationS
    run_time_s: DurationS
    max_run_time_s: DurationS
    max_body_bytes: BodyLimitBytes
    repeat_after_failure: bool = False

    @model_validator(mode="after")
    def check_durations(self) -> "ServiceV1":
        """Checks that ``run_time_s`` <= ``max_run_time_s`` <= ``timeout_s``."""
        if not self.run_time_s <= self.max_run_time_s <= self.timeout_s:
            raise ValueError("must be run_time_s <= max_run_time_s <= timeout_s")
        return self

    def to_model(self, name: str) -> Service:
        """Converts to the data class that the daemon uses."""
        return Service(
            name=name,
            pools=tuple(self.pools),
            timeout_s=float(self.timeout_s),
            run_time_s=float(self.run_time_s),
            max_body_bytes=self.max_body_bytes,
            repeat_after_failure=self.repeat_after_failure,
            max_run_time_s=float(self.max_run_time_s),
        )


class PoolV1(StrictModel):
    """A pool, schema version 1."""

    schema_version: Literal[1]

    def to_model(self, name: str) -> Pool:
        """Converts to the data class that the daemon uses."""
        return Pool(name=name)


class EndpointV1(StrictModel):
    """An endpoint, schema version 1: the owner also bears the cost."""

    schema_version: Literal[1]
    pool: Name
    url: EndpointUrl
    slots: Slots
    connections: Connections
    owner: Name
    failure_domain: Name
    leaving: bool = False

    def to_model(self, name: str) -> Endpoint:
        """Converts to the data class that the daemon uses."""
        return Endpoint(
            name=name,
            pool=self.pool,
            url=self.url,
            slots=self.slots,
            connections=self.connections,
            resources={},
            owner=self.owner,
            cost_bearer=self.owner,
            failure_domain=self.failure_domain,
            leaving=self.leaving,
        )


class Takes(StrictModel):
    """Limits of an endpoint: concurrent tasks and connections, and resources per task."""

    slots: Slots
    connections: Connections
    memory_mb: MemoryMb
    accelerators: Accelerators


class EndpointV2(StrictModel):
    """An endpoint, schema version 2: adds resource limits and an explicit cost bearer."""

    schema_version: Literal[2]
    pool: Name
    url: EndpointUrl
    takes: Takes
    owner: Name
    cost_bearer: Name
    failure_domain: Name
    leaving: bool = False

    def to_model(self, name: str) -> Endpoint:
        """Converts to the data class that the daemon uses."""
        resources = {
            "memory_mb": self.takes.memory_mb,
            "accelerators": self.takes.accelerators,
        }
        return Endpoint(
            name=name,
            pool=self.pool,
            url=self.url,
            slots=self.takes.slots,
            connections=self.takes.connections,
            resources=resources,
            owner=self.owner,
            cost_bearer=self.cost_bearer,
            failure_domain=self.failure_domain,
            leaving=self.leaving,
        )


class TeamV1(StrictModel):
    """A team, schema version 1."""

    schema_version: Literal[1]
    token_sha256: TokenDigests = []
    max_running_tasks: QuotaTasks
    max_waiting_tasks: QuotaTasks
    weight: Weight = 1

    def to_model(self, name: str) -> Team:
        """Converts to the data class that the daemon uses."""
        return Team(
            name=name,
            token_sha256=tuple(self.token_sha256),
            max_running_tasks=self.max_running_tasks,
            max_waiting_tasks=self.max_waiting_tasks,
            weight=self.weight,
        )


class FailureDomainV1(StrictModel):
    """A failure domain, schema version 1."""

    schema_version: Literal[1]
    evacuated: bool

    def to_model(self, name: str) -> FailureDomain:
        """Converts to the data class that the daemon uses."""
        return FailureDomain(name=name, evacuated=self.evacuated)


SCHEMAS: dict[RecordKind, dict[int, type[StrictModel]]] = {
    RecordKind.SERVICES: {1: ServiceV1},
    RecordKind.POOLS: {1: PoolV1},
    RecordKind.ENDPOINTS: {1: EndpointV1, 2: EndpointV2},
    RecordKind.TEAMS: {1: TeamV1},
    RecordKind.FAILURE_DOMAINS: {1: FailureDomainV1},
}


def parse_kind(kind: str) -> RecordKind:
    """Returns the kind with the given name.

    :raises RecordKindUnknownError: if there is no such kind.
    """
    try:
        return RecordKind(kind)
    except ValueError:
        known_kinds = ", ".join(RecordKind)
        raise RecordKindUnknownError(
            f"no such kind of record: {kind!r:.80}", hint=f"known kinds: {known_kinds}"
        ) from None


def check_name(kind: str, name: str) -> None:
    """Checks a record's name.

    :raises RecordInvalidError: if the name does not match :data:`NAME_PATTERN`.
    """
    if not re.fullmatch(NAME_PATTERN, name):
        problem = FieldProblem("name", f"must match {NAME_PATTERN}")
        raise RecordInvalidError(f"{kind}/{name!r:.80}", (problem,))


def find_schema(kind: RecordKind, name: str, raw: Any) -> type[StrictModel]:
    """Returns the schema for the ``schema_version`` of a raw record.

    :raises RecordInvalidError: if the record is not an object or has no valid version.
    :raises SchemaVersionUnknownError: if this daemon does not support the version.
    """
    subject = f"{kind}/{name}"
    if not isinstance(raw, dict):
        raise RecordInvalidError(subject, (FieldProblem("", "must be a JSON object"),))
    version = raw.get("schema_version")
    if type(version) is not int:  # bool is an int
        problem = FieldProblem("schema_version", "must be given as an integer")
        raise RecordInvalidError(subject, (problem,))
    schemas = SCHEMAS[kind]
    if version not in schemas:
        known_versions = ", ".join(str(known_version) for known_version in schemas)
        raise SchemaVersionUnknownError(
            f"{subject}: schema_version: not supported by this daemon",
            hint=f"known versions of {kind}: {known_versions}; "
            "upgrade all daemons before using a newer one",
        )
    return schemas[version]


def parse_record(kind: str, name: str, raw: Any) -> Record:
    """Validates a raw record and converts it to the data class that the daemon uses.

    :param raw: the parsed JSON of the record.
    :raises RecordKindUnknownError: if there is no such kind.
    :raises SchemaVersionUnknownError: if this daemon does not support the schema version.
    :raises RecordInvalidError: if the record violates its schema.
    """
    record_kind = parse_kind(kind)
    check_name(kind, name)
    schema = find_schema(record_kind, name, raw)
    try:
        return schema.model_validate(raw).to_model(name)
    except ValidationError as error:
        raise RecordInvalidError(f"{kind}/{name}", list_problems(error)) from None


def list_problems(error: ValidationError) -> tuple[FieldProblem, ...]:
    """Returns the invalid fields without their values, which may be secret."""
    details = error.errors(include_url=False, include_context=False, include_input=False)
    return tuple(
        FieldProblem(".".join(str(part) for part in detail["loc"]), detail["msg"])
        for detail in details[:MAX_REPORTED_PROBLEMS]
    )


def export_json_schemas() -> dict[str, dict[str, Any]]:
    """Returns the JSON schema of each kind and version, such as ``["endpoints"]["2"]``."""
    return {
        str(kind): {str(version): model.model_json_schema() for version, model in models.items()}
        for kind, models in SCHEMAS.items()
    }
