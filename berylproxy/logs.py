"""Logs as JSON lines."""

import json
import os
from typing import TextIO

from logbook import Handler, LogRecord, StreamHandler, lookup_level

MAX_WAITING_BYTES = 256 * 1024  # lines that wait for a slow reader, some thousand

LEVELS = ("debug", "info", "warning", "error")


class NonBlockingOutput:
    """Writes lines to a file descriptor without ever waiting for its reader.

    What the reader does not take is kept up to a bound and dropped beyond it; the number of dropped
    lines is told as soon as there is room again.

    :ivar dropped: lines dropped so far.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._untold = 0
        self._descriptor = descriptor
        self._waiting = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes a line, or keeps or drops it."""
        self.flush()
        data = text.encode(errors="replace")
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            self._untold += 1
            return len(text)
        if self._untold:
            notice = {
                "level": "warning",
                "message": "log lines were dropped",
                "lines": self._untold,
            }
            self._waiting += json.dumps(notice).encode() + b"\n"
            self._untold = 0
        self._waiting += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes as much of what waits as the reader takes."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:  # the reader has gone: nobody is left to be told
                self._waiting.clear()
                return
            del self._waiting[:written]


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
