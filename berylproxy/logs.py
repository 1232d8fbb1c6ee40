"""Log output as JSON lines."""

import json
import os
from typing import TextIO

import orjson
from logbook import Handler, LogRecord, StreamHandler, lookup_level

MAX_BUFFERED_BYTES = 256 * 1024  # some thousand lines for a slow reader

ENCODER_OPTIONS = (
    orjson.OPT_NON_STR_KEYS | orjson.OPT_PASSTHROUGH_DATACLASS | orjson.OPT_PASSTHROUGH_DATETIME
)
LEVELS = ("debug", "info", "warning", "error")


class NonBlockingOutput:
    """Writes lines to a file descriptor without blocking on a slow reader.

    Lines that the reader has not accepted yet are buffered up to ``MAX_BUFFERED_BYTES``; further
    lines are dropped, and their number is logged as soon as the buffer has room again.

    :ivar dropped_lines: number of lines dropped so far.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_lines = 0
        self._unreported_drops = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes or buffers a line, or drops it if the buffer is full."""
        self.flush()
        data = text.encode(errors="replace")
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            self._unreported_drops += 1
            return len(text)
        if self._unreported_drops:
            notice = {
                "level": "warning",
                "message": "log lines were dropped",
                "lines": self._unreported_drops,
            }
            self._buffer += json.dumps(notice).encode() + b"\n"
            self._unreported_drops = 0
        self._buffer += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes as much of the buffer as the reader accepts."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:  # the reader has closed its end, so nobody can receive the rest
                self._buffer.clear()
                return
            del self._buffer[:written]


class JsonLineHandler(StreamHandler):
    """Writes each record as one JSON object on one line.

    :param fields: fields that every line includes, such as the daemon's name.
    """

    def __init__(self, stream: TextIO, level: str, fields: dict[str, str]) -> None:
        super().__init__(stream, level=lookup_level(level.upper()))
        self._fields = fields

    def format(self, record: LogRecord) -> str:
        """Formats a log record as a JSON object."""
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
        return _encode_line(line)


def _encode_line(line: dict[str, object]) -> str:
    """Encodes a line; values that JSON has no type for become text."""
    try:
        return orjson.dumps(line, default=str, option=ENCODER_OPTIONS).decode()
    except orjson.JSONEncodeError:  # lone surrogates, or integers of more than 64 bits
        return json.dumps(line, default=str)


def make_log_handler(stream: TextIO, level: str, **fields: str) -> Handler:
    """Returns the log handler that a program installs for its whole run.

    :param fields: fields that every line includes.
    """
    return JsonLineHandler(stream, level, fields)
