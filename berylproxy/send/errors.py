"""How sending a task to an endpoint can go wrong."""

from berylproxy.errors import BerylproxyError
from berylproxy.models import Outcome
from berylproxy.place.endpoint_state import SlotResult


class SendError(BerylproxyError):
    """Base of this layer's errors.

    :cvar outcome: what is known of the task.
    :cvar slot_result: what the holder of the slot is told.
    :cvar was_answered: whether the endpoint itself has told the task's end.
    """

    code = "send_error"
    outcome = Outcome.UNKNOWN
    slot_result = SlotResult.NO_ANSWER
    was_answered = False


class EndpointUnreachableError(SendError):
    """No connection could be made: the task was certainly not started."""

    code = "endpoint_unreachable"
    outcome = Outcome.NOT_RUN
    slot_result = SlotResult.UNREACHABLE


class EndpointFullError(SendError):
    """The endpoint refused the task for want of room: it was not started."""

    code = "endpoint_full"
    outcome = Outcome.NOT_RUN
    slot_result = SlotResult.FULL


class EndpointLeavingError(SendError):
    """The endpoint refused the task because it is leaving: it was not started."""

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
    """The task has run, but its answer is larger than allowed."""

    code = "answer_too_large"
    outcome = Outcome.FAILED
    slot_result = SlotResult.FAILED
    was_answered = True


class AnswerLostError(SendError):
    """The connection ended before the whole answer: the task may have run."""

    code = "answer_lost"


class AnswerTimeoutError(SendError):
    """No whole answer came in time: the task may have run."""

    code = "answer_timeout"
