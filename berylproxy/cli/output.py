"""Prints what a command found."""

import json
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from rich.console import Console
from rich.table import Table
from rich.text import Text

from berylproxy.cli.definition import OutputFormat
from berylproxy.environment import Environment

MAX_CELL_CHARACTERS = 60
PLAIN_WIDTH_CHARACTERS = 160  # line length where there is no terminal to ask


@dataclass(frozen=True, slots=True)
class Section:
    """A table below a title; either may be empty.

    :param rows: the rows as fields by column; the first row to have a column places it.
    """

    rows: Sequence[dict[str, Any]]
    title: str = ""


class Printer:
    """Prints to standard output in the chosen format."""

    def __init__(self, environment: Environment, output: OutputFormat) -> None:
        self._environment = environment
        if output is OutputFormat.AUTO:
            terminal = environment.stdout_is_terminal
            output = OutputFormat.TABLE if terminal else OutputFormat.JSON
        self._output = output

    def print(self, value: Any, *sections: Section) -> None:
        """Prints a JSON value, or the sections that show the same as tables."""
        if self._output is OutputFormat.JSON:
            text = json.dumps(value, indent=2, ensure_ascii=False)
            self._environment.stdout.write(text + "\n")
            return
        console = self._open_console()
        for section in sections:
            if section.title:
                console.print(Text(section.title))
            if section.rows:
                console.print(_make_table(section.rows))

    def print_text(self, text: str) -> None:
        """Prints a text as it is."""
        self._environment.stdout.write(text)

    @contextmanager
    def show_progress(self, message: str) -> Iterator[None]:
        """Shows on a terminal that the command is waiting."""
        if not self._environment.stderr_is_terminal:
            yield
            return
        console = Console(file=self._environment.stderr, force_terminal=True)
        with console.status(Text(message)):
            yield

    def _open_console(self) -> Console:
        if self._environment.stdout_is_terminal:
            return Console(file=self._environment.stdout, force_terminal=True)
        return Console(file=self._environment.stdout, width=PLAIN_WIDTH_CHARACTERS)


def _make_table(rows: Sequence[dict[str, Any]]) -> Table:
    columns = list(dict.fromkeys(column for row in rows for column in row))
    table = Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(Text(column), overflow="fold")
    for row in rows:
        table.add_row(*(Text(_format_cell(row.get(column))) for column in columns))
    return table


def _format_cell(value: Any) -> str:
    if value is None:
        return ""
    text = value if isinstance(value, str) else json.dumps(value, ensure_ascii=False)
    if len(text) <= MAX_CELL_CHARACTERS:
        return text
    return text[: MAX_CELL_CHARACTERS - 3] + "..."
