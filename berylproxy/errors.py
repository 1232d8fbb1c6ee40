"""The base of all of the project's errors.

Each layer derives its own errors from :class:`BerylproxyError` and turns those of the layers below
into them, so that a caller of a layer meets that layer's errors only.
"""


class BerylproxyError(Exception):
    """An error with a stable code.

    :cvar code: stable, machine-readable name; docs/OPERATIONS.md lists them all.
    :param message: one line that says what is wrong.
    :param hint: one line that says what to do next; may be empty.
    :param retry_after_s: when it is useful to come back; ``None`` when repeating cannot help.

    Example::

        raise RecordError("pools.0: no such pool 'oak'", hint="apply the pool first")
    """

    code = "internal_error"

    def __init__(self, message: str, *, hint: str = "", retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint
        self.retry_after_s = retry_after_s
