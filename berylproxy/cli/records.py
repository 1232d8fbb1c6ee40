"""The commands for operators, which manage records and show a daemon's status and usage."""

import json
from dataclasses import dataclass
from difflib import unified_diff
from typing import Any

from berylproxy.cli.context import Context
from berylproxy.cli.definition import (
    ApplyCommand,
    DaemonCommand,
    DeleteCommand,
    DiffCommand,
    GetCommand,
    UsageCommand,
    ValidateCommand,
)
from berylproxy.cli.errors import UsageError
from berylproxy.cli.inputs import RecordEntry, read_records
from berylproxy.cli.output import Section
from berylproxy.cli.record_checks import check_records
from berylproxy.client.errors import ClientError, RecordRefusedError
from berylproxy.client.models import RecordBody
from berylproxy.client.operator import ABSENT_REVISION, OperatorClient
from berylproxy.exit_status import ExitStatus


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """A record to apply.

    :param expected_revision: revision that the stored record must have when it is replaced.
    :param is_needed: ``False`` if the stored record is already the same.
    """

    record: RecordEntry
    expected_revision: int
    is_needed: bool


async def run_apply(command: ApplyCommand, context: Context) -> ExitStatus:
    """Applies records in the order of the files.

    A record that was changed by somebody else in the meantime is not overwritten.
    """
    records = read_records(command.files, context.environment)
    if command.expect_revision is not None and len(records) != 1:
        raise UsageError(
            "--expect-revision requires exactly one record", hint="apply the records one by one"
        )
    check_records(records, allow_newer_schema=True)
    async with context.open_operator_client() as client:
        changes = [
            await _plan_change(client, record, command.expect_revision) for record in records
        ]
        lines = await _apply_changes(client, changes)
    context.printer.print(lines, Section(lines))
    return ExitStatus.SUCCESS


async def run_get(command: GetCommand, context: Context) -> ExitStatus:
    """Prints the records of a kind, or one of them."""
    async with context.open_operator_client() as client:
        if command.name:
            records = [await _get_existing(client, command.kind, command.name)]
        else:
            records = (await client.list_records(command.kind)).records
    values = [record.model_dump() for record in records]
    rows = [
        {"name": record.name, "revision": record.revision, **record.record} for record in records
    ]
    context.printer.print(values[0] if command.name else values, Section(rows))
    return ExitStatus.SUCCESS


async def run_diff(command: DiffCommand, context: Context) -> ExitStatus:
    """Prints the changes that applying the files would make."""
    records = read_records(command.files, context.environment)
    has_differences = False
    async with context.open_operator_client() as client:
        for record in records:
            in_force = await client.get_record(record.kind, record.name)
            text = _make_diff(in_force.record if in_force else None, record)
            context.printer.print_text(text)
            has_differences = has_differences or bool(text)
    return ExitStatus.DIFFERENCES_FOUND if has_differences else ExitStatus.SUCCESS


async def run_delete(command: DeleteCommand, context: Context) -> ExitStatus:
    """Deletes a record unless somebody else has changed it in the meantime."""
    async with context.open_operator_client() as client:
        revision = command.expect_revision
        if revision is None:
            revision = (await _get_existing(client, command.kind, command.name)).revision
        await client.delete_record(command.kind, command.name, revision)
    line = {"kind": command.kind, "name": command.name, "change": "deleted"}
    context.printer.print(line, Section([line]))
    return ExitStatus.SUCCESS


async def run_validate(command: ValidateCommand, context: Context) -> ExitStatus:
    """Validates records without applying them.

    With ``--online``, a daemon also checks them against the records in force.
    """
    records = read_records(command.files, context.environment)
    check_records(records)
    if command.online:
        async with context.open_operator_client() as client:
            for record in records:
                await client.validate_record(record.kind, record.name, record.record)
    lines = [{"kind": record.kind, "name": record.name, "valid": True} for record in records]
    context.printer.print(lines, Section(lines))
    return ExitStatus.SUCCESS


async def run_daemon_status(command: DaemonCommand, context: Context) -> ExitStatus:
    """Prints the status of a daemon, its peers, endpoint groups and endpoints."""
    async with context.open_operator_client() as client:
        status = await client.fetch_status()
    sections = [
        Section([{"field": name, "value": value} for name, value in status.daemon.items()]),
        Section(status.peers, f"peers: {len(status.peers)}"),
        Section(status.endpoints, f"endpoints: {len(status.endpoints)}"),
    ]
    if status.groups:
        sections.insert(2, Section(status.groups, f"endpoint groups: {len(status.groups)}"))
    if status.slowed_pairs:
        title = f"kinds of task that slow each other down: {len(status.slowed_pairs)}"
        sections.append(Section(status.slowed_pairs, title))
    context.printer.print(status.model_dump(), *sections)
    return ExitStatus.SUCCESS


async def run_usage(command: UsageCommand, context: Context) -> ExitStatus:
    """Prints the usage totals of finished work over all daemons."""
    async with context.open_operator_client() as client:
        usage = await client.fetch_usage()
    context.printer.print(usage.model_dump(), Section(usage.usage))
    return ExitStatus.SUCCESS


async def _plan_change(
    client: OperatorClient, record: RecordEntry, expected_revision: int | None
) -> PlannedChange:
    if expected_revision is not None:
        return PlannedChange(record, expected_revision, is_needed=True)
    in_force = await client.get_record(record.kind, record.name)
    if in_force is None:
        return PlannedChange(record, ABSENT_REVISION, is_needed=True)
    return PlannedChange(record, in_force.revision, is_needed=in_force.record != record.record)


async def _apply_changes(
    client: OperatorClient, changes: list[PlannedChange]
) -> list[dict[str, Any]]:
    lines: list[dict[str, Any]] = []
    for change in changes:
        record = change.record
        line = {"kind": record.kind, "name": record.name, "change": "unchanged"}
        if change.is_needed:
            try:
                await client.put_record(
                    record.kind, record.name, record.record, change.expected_revision
                )
            except ClientError as error:
                error.message += f" ({len(lines)} of {len(changes)} records were applied)"
                raise
            line["change"] = "applied"
        lines.append(line)
    return lines


async def _get_existing(client: OperatorClient, kind: str, name: str) -> RecordBody:
    record = await client.get_record(kind, name)
    if record is None:
        raise RecordRefusedError(f"there is no record {kind}/{name}", code="record_not_found")
    return record


def _make_diff(in_force: dict[str, Any] | None, record: RecordEntry) -> str:
    title = f"{record.kind}/{record.name}"
    old_lines = [] if in_force is None else _format_record(in_force)
    new_lines = _format_record(record.record)
    return "".join(unified_diff(old_lines, new_lines, f"{title} (in force)", f"{title} (file)"))


def _format_record(record: dict[str, Any]) -> list[str]:
    return (json.dumps(record, indent=2, sort_keys=True) + "\n").splitlines(keepends=True)
