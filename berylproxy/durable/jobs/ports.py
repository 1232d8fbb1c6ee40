"""Interfaces that durable jobs need: a transactional store and clients of endpoints."""

from enum import StrEnum
from typing import Protocol

from msgspec import Struct

from berylproxy.durable.jobs.models import EndpointInfo, EndpointReport, TaskName
from berylproxy.errors import BerylproxyError
from berylproxy.store.port import Entry


class EndpointCallError(BerylproxyError):
    """A call to an endpoint got no usable answer; it may have taken effect."""

    code = "endpoint_call_failed"


class EndpointRefusedError(EndpointCallError):
    """The endpoint's host refused the connection: no process listens at its address."""

    code = "endpoint_refused"


class FencedOffError(EndpointCallError):
    """The endpoint has accepted orders under a higher fence: another daemon is the holder now."""

    code = "fenced_off"


class OtherInstanceError(EndpointCallError):
    """Another instance of the endpoint answered: all runs of the former one have ended."""

    code = "other_endpoint_life"


class StartOutcome(StrEnum):
    """The result of an order to start a task, as far as the holder knows it."""

    STARTED = "started"
    FENCED_OFF = "fenced_off"
    RUN_TOO_OLD = "run_too_old"  # a run with this or a higher number has been stopped or has ended
    TOO_LATE = "too_late"  # the order arrived after the end of the lease that it granted
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"  # for a reason that this version doesn't know
    NO_TICKET = "no_ticket"  # the queue's policy has to permit it first
    INVALID = "invalid"  # the endpoint can't execute the order as given
    OTHER_INSTANCE = "other_life"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"  # no answer: the task may have started, or may start later


class StartOrder(Struct, frozen=True):
    """An order to an endpoint to start a task.

    :param run: number of the run.
    :param payload: the job's text for the endpoint.
    :param fence: the holder's fencing token, derived from the revision of its claim; endpoints
        refuse orders under a lower one.
    :param saved: checkpoint that an earlier run saved; empty to start from the beginning.
    """

    name: TaskName
    run: int
    payload: str
    fence: int
    saved: str = ""


class EndpointClient(Protocol):
    """Client of one instance of an endpoint.

    Each start order, and each renewal that asks for it, extends the endpoint's lease. A run ends
    when the lease lapses.
    """

    def lease_end_s(self) -> float:
        """Returns the monotonic time after which all granted leases have certainly lapsed."""

    async def start(self, order: StartOrder) -> StartOutcome:
        """Sends an order to start a task."""

    async def stop(self, name: TaskName, run: int, fence: int) -> None:
        """Stops a run, also one whose start order has not arrived yet.

        :raises EndpointCallError: if there was no answer.
        """

    async def renew(
        self, fence: int, acknowledged: int, wait_s: float, *, extend: bool
    ) -> EndpointReport:
        """Requests a report of active and ended runs.

        The endpoint answers as soon as there is an end to report, else after ``wait_s``.

        :param acknowledged: number up to which the endpoint may forget all ends.
        :param extend: whether to extend the lease.
        :raises EndpointCallError: if there was no answer.
        """

    async def close(self) -> None:
        """Closes the connections to the endpoint."""


class EndpointDirectory(Protocol):
    """The platform's list of endpoints, and the factory of their clients.

    :ivar max_listed_ends: largest number of ends that endpoints list in a complete report.
    """

    max_listed_ends: int

    async def fetch(self) -> tuple[EndpointInfo, ...]:
        """Reads the list.

        :raises StoreUnavailableError: while the platform does not answer.
        """

    def connect(self, info: EndpointInfo) -> EndpointClient:
        """Creates the client of an endpoint."""


class Transaction(Struct, frozen=True):
    """Changes that the store makes atomically.

    :param expected: keys with the revision that each must have; 0 for keys that must not exist.
    :param written: values by key.
    :param removed: keys to remove.
    """

    expected: tuple[tuple[str, int], ...] = ()
    written: tuple[tuple[str, bytes], ...] = ()
    removed: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Number of entries, for which the store has a limit."""
        return len(self.expected) + len(self.written) + len(self.removed)


class TransactionConflictError(BerylproxyError):
    """A key has another revision than expected: nothing was written.

    :param revisions: the current revision of each expected key; 0 for absent keys.
    """

    code = "transaction_conflict"

    def __init__(self, message: str, revisions: dict[str, int]) -> None:
        super().__init__(message)
        self.revisions = revisions


class JobStore(Protocol):
    """The operations of the platform's store that durable jobs need.

    :ivar max_entries: largest number of entries of a transaction.
    """

    max_entries: int

    async def commit(self, transaction: Transaction) -> int:
        """Applies the changes and returns their revision.

        :raises TransactionConflictError: if a key has another revision.
        :raises StoreUnavailableError: if nothing was written.
        :raises StoreOutcomeUnknownError: if the answer was lost; the transaction may take effect
            later.
        """

    async def get(self, key: str) -> Entry | None:
        """Reads one key; ``None`` if it does not exist."""

    async def list_page(
        self, prefix: str, after_key: str, *, may_be_stale: bool = False
    ) -> tuple[tuple[Entry, ...], bool]:
        """Reads a page of entries below a prefix; returns them and whether more follow.

        Pages are no snapshot. One that more follow has an entry.

        :param after_key: key after which the page starts; empty for the first page.
        :param may_be_stale: whether entries may be seconds old, which costs the store less.
        """
