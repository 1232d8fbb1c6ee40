"""Reads and checks what a command takes from files and standard input."""

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
MAX_MADE_TASKS = 100_000


class StrictBody(BaseModel):
    """Base of the models of files: a misspelt field is an error."""

    model_config = ConfigDict(extra="forbid")


class TaskFile(StrictBody):
    """A task in a job's file."""

    id: str
    payload: Any = None
    needs: dict[str, int] = Field(default_factory=dict)


class JobFile(StrictBody):
    """A job's file: the body of a submission without what the arguments say."""

    service: str = ""
    tasks: list[TaskFile] = Field(min_length=1)


class RecordFile(StrictBody):
    """One record of a file."""

    kind: str
    name: str
    record: dict[str, Any]


def read_input(path: Path | None, environment: Environment) -> bytes:
    """Reads a file, or standard input if there is no path.

    :raises UsageError: if standard input is a terminal that nobody named.
    :raises FileError: if the file cannot be read.
    """
    if path is None and environment.stdin_is_terminal:
        raise UsageError("no file is named", hint="name one, or - to type it in")
    if path is None or path == STANDARD_INPUT:
        return environment.stdin.read().encode()
    try:
        return path.read_bytes()
    except OSError as error:
        raise FileError(f"{path}: {error.strerror or error}") from error


def read_job(path: Path | None, environment: Environment) -> JobFile:
    """Reads a job.

    :raises FileError: if it is not one.
    """
    value = _parse_json(read_input(path, environment), path)
    try:
        return JobFile.model_validate(value)
    except ValidationError as error:
        raise FileError(f"{_name(path)}: {describe_fault(error)}") from error


def read_records(paths: list[Path], environment: Environment) -> list[RecordFile]:
    """Reads the records of all files, each of which holds one or a list.

    :raises FileError: if any file holds something else.
    """
    return [record for path in paths for record in _read_records_of(path, environment)]


def make_tasks(count: int, run_time_s: str, seed: int) -> list[JobTask]:
    """Makes tasks whose run times are spread evenly over a range.

    :param run_time_s: the range as ``FROM:TO``.
    :raises UsageError: if there is no such range or count.
    """
    if not 1 <= count <= MAX_MADE_TASKS:
        raise UsageError(f"--count {count} is not from 1 to {MAX_MADE_TASKS}")
    shortest_s, longest_s = _parse_range(run_time_s)
    random = Random(seed)
    run_times_s = [round(random.uniform(shortest_s, longest_s), 3) for _ in range(count)]
    return [
        JobTask(f"t{number}", {"run_time_s": duration_s})
        for number, duration_s in enumerate(run_times_s, start=1)
    ]


def check_duration(name: str, duration_s: float, *, zero_allowed: bool = False) -> None:
    """Refuses a duration that cannot be waited for.

    :raises UsageError: if it is negative or endless, or zero where that makes no sense.
    """
    if not isfinite(duration_s) or duration_s < 0 or (duration_s == 0 and not zero_allowed):
        raise UsageError(f"{name} {duration_s:g} is not a duration in seconds")


def describe_fault(error: ValidationError) -> str:
    """Describes the first fault of a body: where and what."""
    fault = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in fault["loc"])
    more = f" (and {error.error_count() - 1} more)" if error.error_count() > 1 else ""
    return f"{place}: {fault['msg']}{more}" if place else f"{fault['msg']}{more}"


def _read_records_of(path: Path, environment: Environment) -> list[RecordFile]:
    value = _parse_json(read_input(path, environment), path)
    entries = value if isinstance(value, list) else [value]
    if not entries:
        raise FileError(f"{_name(path)}: holds no record")
    try:
        return [RecordFile.model_validate(entry) for entry in entries]
    except ValidationError as error:
        raise FileError(
            f"{_name(path)}: {describe_fault(error)}",
            hint='a record is {"kind": ..., "name": ..., "record": {...}}',
        ) from error


def _parse_json(content: bytes, path: Path | None) -> Any:
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        raise FileError(f"{_name(path)}: not a JSON text: {error}") from error


def _parse_range(text: str) -> tuple[float, float]:
    shortest, _, longest = text.partition(":")
    try:
        shortest_s, longest_s = float(shortest), float(longest or shortest)
    except ValueError:
        shortest_s, longest_s = -1.0, -1.0
    if not 0 <= shortest_s <= longest_s or not isfinite(longest_s):
        raise UsageError(f"--run-time-s {text!r} is not FROM:TO in seconds", hint="such as 0.05:1")
    return shortest_s, longest_s


def _name(path: Path | None) -> str:
    return "standard input" if path in (None, STANDARD_INPUT) else str(path)
