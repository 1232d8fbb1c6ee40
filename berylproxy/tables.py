"""Validates tables that come from files and stores, and names the fields that are wrong.

Uses msgspec, whose models cost a tenth of pydantic's to build when a process starts.
"""

import re
from typing import Any, TypeVar

from msgspec import Struct, ValidationError, convert
from msgspec.structs import fields

_LOCATION = re.compile(r"^(?P<text>.*) - at `\$\.?(?P<path>.*)`$", re.DOTALL)


class Table(Struct, frozen=True, rename="kebab"):
    """Base class of tables whose fields are written with hyphens; unknown fields are ignored."""


TableType = TypeVar("TableType", bound=Table)


class TableInvalidError(Exception):
    """A table has missing or wrong fields.

    :param problems: one line for each field, which begins with its location.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


def convert_table(content: Any, table: type[TableType], *, strict: bool = False) -> TableType:
    """Validates decoded JSON or TOML and returns it as a table.

    :param strict: whether to refuse values of a similar type, such as numbers written as text.
    :raises TableInvalidError: listing the problem of each field.
    """
    try:
        return convert(content, table, strict=strict)
    except ValidationError as error:
        problems = _list_problems(content, table, "", strict) or [describe_problem(error)]
        raise TableInvalidError(problems) from error


def describe_problem(error: ValidationError, location: str = "") -> str:
    """Returns the location and the text of a validation error, such as ``a.0.b: Expected ...``.

    :param location: location of the validated value.
    """
    match = _LOCATION.match(str(error))
    if match is None:
        return f"{location}: {error}" if location else str(error)
    path = match["path"].replace("[", ".").replace("]", "").strip(".")
    return f"{'.'.join(filter(None, (location, path)))}: {match['text']}"


def _list_problems(content: Any, table: type[Table], location: str, strict: bool) -> list[str]:
    if not isinstance(content, dict):
        return [f"{location}: Expected a table"] if location else ["Expected a table"]
    problems = []
    for field in fields(table):
        name = f"{location}.{field.encode_name}" if location else field.encode_name
        if field.encode_name not in content:
            if field.required:
                problems.append(f"{name}: Field required")
        elif isinstance(field.type, type) and issubclass(field.type, Table):
            problems += _list_problems(content[field.encode_name], field.type, name, strict)
        else:
            try:
                convert(content[field.encode_name], field.type, strict=strict)
            except ValidationError as error:
                problems.append(describe_problem(error, name))
    return problems
