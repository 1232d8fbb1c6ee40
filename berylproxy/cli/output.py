"""Prints the results of commands as JSON or tables."""

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
NON_TERMINAL_WIDTH_CHARACTERS = 160  # line length if standard output is not a terminal


@dataclass(frozen=True, slots=True)
class Section:
    """A table with a title; either may be empty.

    :param rows: values of each row by column. Columns are ordered by their first appearance.
    """

    rows: Sequence[dict[str, Any]]
    title: str = ""


class Printer:
    """Prints to standard output in the chosen format.

    :param output: the format; ``AUTO`` chooses it by whether standard output is a terminal.
    """

    def __init__(self, environment: Environment, output: OutputFormat) -> None:
        self._environment = environment
        if output is OutputFormat.AUTO:
            is_terminal = environment.stdout_is_terminal
            output = OutputFormat.TABLE if is_terminal else OutputFormat.JSON
        self._output = output

    def print(self, value: Any, *sections: Section) -> None:
        """Prints a result, either as JSON or as tables.

        :param value: the result as a JSON value.
        :param sections: the same result as tables.
        """
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
        """Prints a text unchanged."""
        self._environment.stdout.write(text)

    @contextmanager
    def show_progress(self, message: str) -> Iterator[None]:
        """Shows a progress message on standard error while the command waits.

        Nothing is shown if standard error is not a terminal.
        """
        if not self._environment.stderr_is_terminal:
            yield
            return
        console = Console(file=self._environment.stderr, force_terminal=True)
        with console.status(Text(message)):
            yield

    def _open_console(self) -> Console:
        if self._environment.stdout_is_terminal:
            return Console(file=self._environment.stdout, force_terminal=True)
        return Console(file=self._environment.stdout, width=NON_TERMINAL_WIDTH_CHARACTERS)


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
