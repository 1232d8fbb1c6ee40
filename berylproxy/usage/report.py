"""Format of the usage counts in the store, and their sum over all daemons."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from berylproxy.errors import BerylproxyError
from berylproxy.store.port import Entry
from berylproxy.usage.counters import Usage, UsageCounters, UsageKey

SCHEMA_VERSION = 1
KEY_PREFIX = "berylproxy/usage/"


class UsageReportError(BerylproxyError):
    """A daemon's counts in the store can't be decoded."""

    code = "usage_report_invalid"


class UsageRow(BaseModel):
    """The counts of one :class:`UsageKey`."""

    model_config = ConfigDict(extra="forbid")

    owner: str
    cost_bearer: str
    team: str
    service: str
    tasks: Annotated[int, Field(ge=0)]
    failed_tasks: Annotated[int, Field(ge=0)]
    run_time_s: Annotated[float, Field(ge=0)]


class UsageReport(BaseModel):
    """All counts of one incarnation of one daemon since its start."""

    model_config = ConfigDict(extra="forbid")

    schema_version: Literal[1] = SCHEMA_VERSION
    daemon_id: str
    rows: list[UsageRow]


def make_report_key(incarnation: str) -> str:
    """Returns the store key of an incarnation's report."""
    return KEY_PREFIX + incarnation


def encode_report(daemon_id: str, counters: UsageCounters) -> bytes:
    """Encodes all counts of a daemon as JSON."""
    rows = [
        UsageRow(
            owner=key.owner,
            cost_bearer=key.cost_bearer,
            team=key.team,
            service=key.service,
            tasks=usage.tasks,
            failed_tasks=usage.failed_tasks,
            run_time_s=round(usage.run_time_s, 6),
        )
        for key, usage in counters.list_usages()
    ]
    return UsageReport(daemon_id=daemon_id, rows=rows).model_dump_json().encode()


def sum_reports(entries: tuple[Entry, ...]) -> list[tuple[UsageKey, Usage]]:
    """Adds up the counts of all daemons.

    :raises UsageReportError: if an entry can't be decoded; no entry is skipped silently.
    """
    sums: dict[UsageKey, Usage] = {}
    for entry in entries:
        try:
            report = UsageReport.model_validate_json(entry.value)
        except ValidationError as error:
            raise UsageReportError(
                f"{entry.key} can't be read: {error.error_count()} errors"
            ) from error
        for row in report.rows:
            usage = sums.setdefault(
                UsageKey(row.owner, row.cost_bearer, row.team, row.service), Usage()
            )
            usage.tasks += row.tasks
            usage.failed_tasks += row.failed_tasks
            usage.run_time_s += row.run_time_s
    return sorted(sums.items(), key=lambda item: (item[0].cost_bearer, item[0].owner))
