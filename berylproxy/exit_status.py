"""Exit statuses of the project's programs."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status that a program returns to its parent process. The numbers are stable."""

    SUCCESS = 0
    INTERNAL_ERROR = 1
    USAGE_ERROR = 2
    SETTINGS_INVALID = 3
    NOT_RUN = 4
    JOB_FAILED = 5
    OUTCOME_UNKNOWN = 6
    RECORD_INVALID = 7
    RECORD_CONFLICT = 8
    CANNOT_CONNECT = 9
    TIMED_OUT = 10
    DIFFERENCES_FOUND = 11
    CANNOT_START = 12
    INTERRUPTED = 130  # 128 + SIGINT, as in shells
