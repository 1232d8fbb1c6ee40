"""Base class of all errors of the project.

Each layer derives its own errors from :class:`BerylproxyError` and converts the errors of the
layers below it, so that the callers of a layer only handle that layer's errors.
"""


class BerylproxyError(Exception):
    """An error with a stable code.

    :cvar code: stable, machine-readable name; docs/OPERATIONS.md lists them all.
    :param message: one line that describes the error.
    :param hint: one line that suggests what to do next; may be empty.
    :param retry_after_s: time in seconds after which a retry is useful; ``None`` when a retry
        cannot help.

    Example::

        raise RecordError("pools.0: no such pool 'oak'", hint="apply the pool first")
    """

    code = "internal_error"

    def __init__(self, message: str, *, hint: str = "", retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint
        self.retry_after_s = retry_after_s


class SettingsError(BerylproxyError):
    """One or more settings are invalid.

    :param problems: one line for each problem.
    """

    code = "settings_invalid"

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems), hint="see berylproxyd --help")
        self.problems = problems
