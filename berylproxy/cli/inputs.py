"""Reads and validates a command's input from files and standard input."""

import json
from math import isfinite
from pathlib import Path
from random import Random
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from berylproxy.cli.errors import FileError, UsageError
from berylproxy.client.models import JobTask
from berylproxy.environment import Environment

STANDARD_INPUT = Path("-")
MAX_GENERATED_TASKS = 100_000


class StrictModel(BaseModel):
    """Base of the models of files; rejects unknown fields, which are likely misspelt."""

    model_config = ConfigDict(extra="forbid")


class TaskEntry(StrictModel):
    """A task in the file of a job."""

    id: str
    payload: Any = None
    needs: dict[str, int] = Field(default_factory=dict)


class JobFile(StrictModel):
    """Content of a job's file: the fields of a submission that are not given as arguments."""

    service: str = ""
    tasks: list[TaskEntry] = Field(min_length=1)


class RecordEntry(StrictModel):
    """A configuration record in a file."""

    kind: str
    name: str
    record: dict[str, Any]


def read_input(path: Path | None, environment: Environment) -> bytes:
    """Reads a file, or standard input if the path is ``None`` or ``-``.

    :raises UsageError: if no path is given and standard input is a terminal.
    :raises FileError: if the file cannot be read.
    """
    if path is None and environment.stdin_is_terminal:
        raise UsageError("no file is given", hint="give a file, or - to read the terminal")
    if path is None or path == STANDARD_INPUT:
        return environment.stdin.read().encode()
    try:
        return path.read_bytes()
    except OSError as error:
        raise FileError(f"{path}: {error.strerror or error}") from error


def read_job(path: Path | None, environment: Environment) -> JobFile:
    """Reads a job.

    :raises FileError: if the input cannot be read or is not a valid job.
    """
    value = _parse_json(read_input(path, environment), path)
    try:
        return JobFile.model_validate(value)
    except ValidationError as error:
        raise FileError(f"{_display_name(path)}: {describe_validation_error(error)}") from error


def read_records(paths: list[Path], environment: Environment) -> list[RecordEntry]:
    """Reads the records of all files; each file holds one record or a list of records.

    :raises FileError: if a file cannot be read or holds anything else.
    """
    return [record for path in paths for record in _read_record_file(path, environment)]


def generate_tasks(count: int, run_time_s: str, seed: int) -> list[JobTask]:
    """Generates tasks with run times that are distributed uniformly over a range.

    :param run_time_s: range in seconds, as ``FROM:TO``.
    :raises UsageError: if the range is invalid or the count is out of bounds.
    """
    if not 1 <= count <= MAX_GENERATED_TASKS:
        raise UsageError(f"--count {count} is not from 1 to {MAX_GENERATED_TASKS}")
    shortest_s, longest_s = _parse_range(run_time_s)
    random = Random(seed)
    run_times_s = [round(random.uniform(shortest_s, longest_s), 3) for _ in range(count)]
    return [
        JobTask(f"t{number}", {"run_time_s": duration_s})
        for number, duration_s in enumerate(run_times_s, start=1)
    ]


def check_duration(name: str, duration_s: float, *, allow_zero: bool = False) -> None:
    """Checks the value of an argument that is a duration.

    :param name: name of the argument.
    :param allow_zero: whether the duration may be zero.
    :raises UsageError: if the duration is negative, infinite or not a number, or zero without
        ``allow_zero``.
    """
    if not isfinite(duration_s) or duration_s < 0 or (duration_s == 0 and not allow_zero):
        raise UsageError(f"{name} {duration_s:g} is not a duration in seconds")


def describe_validation_error(error: ValidationError) -> str:
    """Describes the first error of a validation, with the location of the field."""
    first_error = error.errors(include_url=False, include_input=False)[0]
    location = ".".join(str(part) for part in first_error["loc"])
    other_errors = f" (and {error.error_count() - 1} more)" if error.error_count() > 1 else ""
    return (
        f"{location}: {first_error['msg']}{other_errors}"
        if location
        else f"{first_error['msg']}{other_errors}"
    )


def _read_record_file(path: Path, environment: Environment) -> list[RecordEntry]:
    value = _parse_json(read_input(path, environment), path)
    entries = value if isinstance(value, list) else [value]
    if not entries:
        raise FileError(f"{_display_name(path)}: contains no record")
    try:
        return [RecordEntry.model_validate(entry) for entry in entries]
    except ValidationError as error:
        raise FileError(
            f"{_display_name(path)}: {describe_validation_error(error)}",
            hint='a record is {"kind": ..., "name": ..., "record": {...}}',
        ) from error


def _parse_json(content: bytes, path: Path | None) -> Any:
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        raise FileError(f"{_display_name(path)}: not valid JSON: {error}") from error


def _parse_range(text: str) -> tuple[float, float]:
    shortest, _, longest = text.partition(":")
    try:
        shortest_s, longest_s = float(shortest), float(longest or shortest)
    except ValueError:
        shortest_s, longest_s = -1.0, -1.0
    if not 0 <= shortest_s <= longest_s or not isfinite(longest_s):
        raise UsageError(
            f"--run-time-s {text!r} is not FROM:TO in seconds", hint="for example 0.05:1"
        )
    return shortest_s, longest_s


def _display_name(path: Path | None) -> str:
    return "standard input" if path in (None, STANDARD_INPUT) else str(path)
