"""Prints one request's story from the log lines of all daemons."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from berylproxy.cli.context import Context
from berylproxy.cli.errors import JobNotLoggedError
from berylproxy.cli.inputs import read_input
from berylproxy.exit_status import ExitStatus

OWN_FIELDS = ("time", "level", "logger", "message", "daemon_id", "job")
# Beliefs that decide what becomes of jobs; their lines are shown if they fall into the job's time.
BELIEF_FIELDS = ("former", "holder_silence_s", "version")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log."""

    time: datetime
    daemon_id: str
    message: str
    fields: dict[str, Any]

    def describe(self, begin: datetime) -> str:
        """Formats the line with the time since the story's begin."""
        since_s = (self.time - begin).total_seconds()
        details = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{since_s:+9.3f} s  {self.daemon_id:<20} {self.message}  {details}".rstrip()


async def run_explain(command: Any, context: Context) -> ExitStatus:
    """Runs ``berylctl explain``."""
    contents = [read_input(path, context.environment) for path in command.files or [None]]
    lines = [line for content in contents for line in parse_lines(content)]
    for line in tell_story(command.job, lines):
        context.environment.stdout.write(line + "\n")
    return ExitStatus.SUCCESS


def parse_lines(content: bytes) -> Iterator[tuple[LogLine, str]]:
    """Parses log lines with their job; what is no JSON object is passed over."""
    for text in content.decode(errors="replace").splitlines():
        start = text.find("{")
        try:
            fields = json.loads(text[start:]) if start >= 0 else None
            time = datetime.fromisoformat(fields["time"])
            message, daemon_id = str(fields["message"]), str(fields.get("daemon_id", ""))
        except (ValueError, TypeError, KeyError):
            continue
        details = {name: value for name, value in fields.items() if name not in OWN_FIELDS}
        yield LogLine(time, daemon_id, message, details), str(fields.get("job", ""))


def tell_story(job_id: str, lines: Iterable[tuple[LogLine, str]]) -> Iterator[str]:
    """Puts a job's lines in order, with the changes of belief that fall into its time.

    :raises JobNotLoggedError: if no line names the job.
    """
    ordered = sorted(lines, key=lambda pair: pair[0].time)
    own = [line for line, job in ordered if job == job_id]
    if not own:
        raise JobNotLoggedError(
            f"no line names job {job_id!r}",
            hint="give the logs of all daemons; a job that was never handed in leaves no line",
        )
    begin, end = own[0].time, own[-1].time
    for line, job in ordered:
        is_belief = not job and any(name in line.fields for name in BELIEF_FIELDS)
        if job == job_id or (is_belief and begin <= line.time <= end):
            yield line.describe(begin)
