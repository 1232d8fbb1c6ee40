"""What durable jobs need of the world: a transactional store and calls to endpoints."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from berylproxy.durable.models import EndpointInfo, EndpointReport, TaskName
from berylproxy.errors import BerylproxyError
from berylproxy.store.port import Entry


class EndpointCallError(BerylproxyError):
    """An endpoint gave no usable answer; the call may have taken effect."""

    code = "endpoint_call_failed"


class FencedOffError(EndpointCallError):
    """The endpoint has taken orders under a higher fence: another daemon is the holder now."""

    code = "fenced_off"


class OtherInstanceError(EndpointCallError):
    """Another life of the endpoint answered: all that the former one ran has ended."""

    code = "other_endpoint_life"


class StartOutcome(StrEnum):
    """What an endpoint made of the order to start a task."""

    STARTED = "started"
    FENCED_OFF = "fenced_off"
    RUN_TOO_OLD = "run_too_old"  # a run as high has been stopped or has ended there
    TOO_LATE = "too_late"  # it came after the lease that it was sent with
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"  # the endpoint can't carry the order out as it is
    OTHER_LIFE = "other_life"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"  # no answer: it may start still


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Tells an endpoint to start a task.

    :param fence: revision of the holder's claim; endpoints refuse orders under a lower one.
    :param saved: what an earlier run saved; empty to begin anew.
    """

    name: TaskName
    run: int
    payload: str
    fence: int
    saved: str = ""


class EndpointCalls(Protocol):
    """Calls to one life of an endpoint.

    Each order and renewal extends the endpoint's lease, under which everything there runs.
    """

    def lease_end_s(self) -> float:
        """Monotonic time after which nothing granted so far runs any more."""

    async def start(self, order: StartOrder) -> StartOutcome:
        """Orders the start of a task."""

    async def stop(self, name: TaskName, run: int, fence: int) -> None:
        """Stops a run, also one that has yet to arrive.

        :raises EndpointCallError: if there was no answer.
        """

    async def renew(
        self, fence: int, acknowledged: int, wait_s: float, *, extend: bool
    ) -> EndpointReport:
        """Asks for what runs and what has ended, for at most ``wait_s`` until something ends.

        :param acknowledged: number of the last end that the endpoint may forget.
        :param extend: whether the lease is extended.
        :raises EndpointCallError: if there was no answer.
        """

    async def close(self) -> None:
        """Closes its connections."""


class EndpointDirectory(Protocol):
    """The platform's list of endpoints, and how to call them."""

    async def fetch(self) -> tuple[EndpointInfo, ...]:
        """Reads the list.

        :raises StoreUnavailableError: while the platform does not answer.
        """

    def connect(self, info: EndpointInfo) -> EndpointCalls:
        """Makes the calls to an endpoint."""


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are made all or not at all.

    :param expected: keys with the revision that each must have; 0 for keys that must not exist.
    :param written: values by key.
    :param removed: keys to remove.
    """

    expected: tuple[tuple[str, int], ...] = ()
    written: tuple[tuple[str, bytes], ...] = ()
    removed: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Number of entries, which the store bounds."""
        return len(self.expected) + len(self.written) + len(self.removed)


class TransactionConflictError(BerylproxyError):
    """A key has another revision: nothing was written.

    :param revisions: the present revision of each expected key; 0 for absent ones.
    """

    code = "transaction_conflict"

    def __init__(self, message: str, revisions: dict[str, int]) -> None:
        super().__init__(message)
        self.revisions = revisions


class JobStore(Protocol):
    """The platform's store, as far as durable jobs need it."""

    max_entries: int

    async def commit(self, transaction: Transaction) -> int:
        """Makes the changes and returns their revision.

        :raises TransactionConflictError: if a key has another revision.
        :raises StoreUnavailableError: if nothing was written.
        :raises StoreOutcomeUnknownError: if the answer was lost; it may take effect later.
        """

    async def get(self, key: str) -> Entry | None:
        """Reads one key; ``None`` if it does not exist."""

    async def list_page(
        self, prefix: str, after_key: str, *, may_be_stale: bool = False
    ) -> tuple[tuple[Entry, ...], bool]:
        """Reads entries below a prefix, and tells whether more follow.

        :param may_be_stale: whether entries may be seconds old, which costs the store less.
        """
