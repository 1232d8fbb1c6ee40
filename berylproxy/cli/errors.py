"""Errors of berylctl, and the exit status for each error that it can report."""

from berylproxy.client.errors import (
    AnswerLostError,
    AnswerMismatchError,
    CannotConnectError,
    JobFailedError,
    NotRunError,
    OutcomeUnknownError,
    RecordConflictError,
    RecordRefusedError,
)
from berylproxy.errors import BerylproxyError
from berylproxy.exit_status import ExitStatus


class CommandError(BerylproxyError):
    """Base of berylctl's own errors."""

    code = "command_error"


class UsageError(CommandError):
    """An argument is missing or wrong."""

    code = "usage_error"


class SettingsError(CommandError):
    """A URL, team or token in the settings is invalid."""

    code = "settings_invalid"


class FileError(CommandError):
    """A file cannot be read or does not have the expected content."""

    code = "file_invalid"


class JobNotLoggedError(CommandError):
    """No log line mentions the job."""

    code = "job_not_logged"


class StillRunningError(CommandError):
    """The job had not ended when the wait timed out."""

    code = "still_running"


# The first matching class decides, so that subclasses stand before their base classes.
EXIT_STATUSES: tuple[tuple[type[BerylproxyError], ExitStatus], ...] = (
    (UsageError, ExitStatus.USAGE_ERROR),
    (FileError, ExitStatus.USAGE_ERROR),
    (JobNotLoggedError, ExitStatus.USAGE_ERROR),
    (SettingsError, ExitStatus.SETTINGS_INVALID),
    (StillRunningError, ExitStatus.TIMED_OUT),
    (NotRunError, ExitStatus.NOT_RUN),
    (JobFailedError, ExitStatus.JOB_FAILED),
    (OutcomeUnknownError, ExitStatus.OUTCOME_UNKNOWN),
    (RecordRefusedError, ExitStatus.RECORD_INVALID),
    (RecordConflictError, ExitStatus.RECORD_CONFLICT),
    (CannotConnectError, ExitStatus.CANNOT_CONNECT),
    (AnswerMismatchError, ExitStatus.CANNOT_CONNECT),
    (AnswerLostError, ExitStatus.TIMED_OUT),
)


def choose_exit_status(error: BerylproxyError) -> ExitStatus:
    """Returns the exit status for an error."""
    for error_type, status in EXIT_STATUSES:
        if isinstance(error, error_type):
            return status
    return ExitStatus.INTERNAL_ERROR


def format_error(error: BerylproxyError) -> str:
    """Formats an error as one line: ``berylctl: CODE: message; hint``."""
    parts = [error.message]
    if error.hint:
        parts.append(error.hint)
    if error.retry_after_s is not None:
        parts.append(f"retry in {error.retry_after_s:g} s")
    return " ".join(f"berylctl: {error.code}: {'; '.join(parts)}".split())
