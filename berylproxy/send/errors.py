"""Errors of sending a task to an endpoint."""

from berylproxy.errors import BerylproxyError
from berylproxy.models import Outcome
from berylproxy.place.endpoint_state import SlotResult


class SendError(BerylproxyError):
    """Base class of the errors of this package.

    :cvar outcome: the known outcome of the task.
    :cvar slot_result: the result that is reported when the slot is released.
    :cvar was_answered: whether the endpoint itself reported the end of the task.
    """

    code = "send_error"
    outcome = Outcome.UNKNOWN
    slot_result = SlotResult.NO_ANSWER
    was_answered = False


class EndpointUnreachableError(SendError):
    """No connection could be opened: the task was certainly not started."""

    code = "endpoint_unreachable"
    outcome = Outcome.NOT_RUN
    slot_result = SlotResult.UNREACHABLE


class EndpointFullError(SendError):
    """The endpoint refused the task because it is full: the task was not started."""

    code = "endpoint_full"
    outcome = Outcome.NOT_RUN
    slot_result = SlotResult.FULL


class EndpointLeavingError(SendError):
    """The endpoint refused the task because it is leaving: the task was not started."""

    code = "endpoint_leaving"
    outcome = Outcome.NOT_RUN
    slot_result = SlotResult.LEAVING


class TaskFailedError(SendError):
    """The endpoint answered that the task failed."""

    code = "task_failed"
    outcome = Outcome.FAILED
    slot_result = SlotResult.FAILED
    was_answered = True


class AnswerTooLargeError(SendError):
    """The task has run, but its response is larger than allowed."""

    code = "answer_too_large"
    outcome = Outcome.FAILED
    slot_result = SlotResult.FAILED
    was_answered = True


class AnswerLostError(SendError):
    """The connection ended before a complete response: the task may have run."""

    code = "answer_lost"


class AnswerTimeoutError(SendError):
    """No complete response was received in time: the task may have run."""

    code = "answer_timeout"
