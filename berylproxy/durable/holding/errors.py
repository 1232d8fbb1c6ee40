"""Errors with which a holder ends best-effort jobs."""

from berylproxy.errors import BerylproxyError


class JobAbandonedError(BerylproxyError):
    """The job has begun and is not completed, because it would end too late for its caller."""

    code = "job_given_up"


class JobInterruptedError(BerylproxyError):
    """The job was dropped although its caller may still be waiting; it may be submitted again."""

    code = "job_interrupted"
