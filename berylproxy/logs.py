"""Logs as JSON lines."""

import json
from typing import TextIO

from logbook import Handler, LogRecord, StreamHandler, lookup_level

LEVELS = ("debug", "info", "warning", "error")


class JsonLineHandler(StreamHandler):
    """Writes each record as one JSON object on one line.

    :param fields: what stands in every line, such as the daemon's name.
    """

    def __init__(self, stream: TextIO, level: str, fields: dict[str, str]) -> None:
        super().__init__(stream, level=lookup_level(level.upper()))
        self._fields = fields

    def format(self, record: LogRecord) -> str:
        """Formats one record."""
        line: dict[str, object] = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
            **self._fields,
            **record.extra,
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return json.dumps(line, default=str)


def make_log_handler(stream: TextIO, level: str, **fields: str) -> Handler:
    """Makes the handler that a program pushes for its whole run."""
    return JsonLineHandler(stream, level, fields)
