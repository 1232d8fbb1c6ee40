"""Prints the history of one job or request from the log lines of all daemons."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from berylproxy.cli.context import Context
from berylproxy.cli.errors import JobNotLoggedError
from berylproxy.cli.inputs import read_input
from berylproxy.exit_status import ExitStatus

HEADER_FIELDS = ("time", "level", "logger", "message", "daemon_id", "job")
# Log fields of changes in the cluster that affect jobs: a group's new holder, a new configuration.
# Lines with such a field are shown if they were logged between the job's first and last line.
CLUSTER_EVENT_FIELDS = ("former", "holder_silence_s", "version")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log.

    :param fields: the fields other than :data:`HEADER_FIELDS`.
    """

    time: datetime
    daemon_id: str
    message: str
    fields: dict[str, Any]

    def format_with_offset(self, start_time: datetime) -> str:
        """Formats the line with its offset from a start time."""
        offset_s = (self.time - start_time).total_seconds()
        details = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{offset_s:+9.3f} s  {self.daemon_id:<20} {self.message}  {details}".rstrip()


async def run_explain(command: Any, context: Context) -> ExitStatus:
    """Prints the history of a job or request, one log line for each event."""
    contents = [read_input(path, context.environment) for path in command.files or [None]]
    lines = [line for content in contents for line in parse_lines(content)]
    for line in format_history(command.job, lines):
        context.environment.stdout.write(line + "\n")
    return ExitStatus.SUCCESS


def parse_lines(content: bytes) -> Iterator[tuple[LogLine, str]]:
    """Yields each log line with its job's identifier, empty if it has none.

    Skips text that is not a JSON object with a time and a message.
    """
    for text in content.decode(errors="replace").splitlines():
        start = text.find("{")
        try:
            fields = json.loads(text[start:]) if start >= 0 else None
            time = datetime.fromisoformat(fields["time"])
            message, daemon_id = str(fields["message"]), str(fields.get("daemon_id", ""))
        except (ValueError, TypeError, KeyError):
            continue
        details = {name: value for name, value in fields.items() if name not in HEADER_FIELDS}
        yield LogLine(time, daemon_id, message, details), str(fields.get("job", ""))


def format_history(job_id: str, lines: Iterable[tuple[LogLine, str]]) -> Iterator[str]:
    """Yields a job's log lines in order of time, formatted for output.

    Cluster events that were logged during the job, such as a change of a group's holder, are
    included, as they may explain what happened to the job.

    :raises JobNotLoggedError: if no line mentions the job.
    """
    ordered = sorted(lines, key=lambda pair: pair[0].time)
    job_lines = [line for line, job in ordered if job == job_id]
    if not job_lines:
        raise JobNotLoggedError(
            f"no log line mentions job {job_id!r}",
            hint="pass the logs of all daemons; a job that was never submitted is not logged",
        )
    start_time, end_time = job_lines[0].time, job_lines[-1].time
    for line, job in ordered:
        is_cluster_event = not job and any(name in line.fields for name in CLUSTER_EVENT_FIELDS)
        if job == job_id or (is_cluster_event and start_time <= line.time <= end_time):
            yield line.format_with_offset(start_time)
