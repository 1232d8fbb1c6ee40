"""A store that loses answers as told, and a ledger that writes to it."""

from collections import defaultdict, deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum, auto
from random import Random

from anyio import Event, create_task_group

from berylproxy.durable.holding.ledger import Change, Ledger
from berylproxy.durable.holding.records import OPEN_PREFIX, claim_key
from berylproxy.durable.jobs.ports import Transaction, TransactionConflictError
from berylproxy.errors import BerylproxyError
from berylproxy.store.port import Entry, StoreOutcomeUnknownError, StoreUnavailableError
from tests.support.endpoint_world import FakeJobStore

GROUP = "ledger"
CLAIM_REVISION = 5
REFUSED_SHARE = 0.3
LOST_SHARE = 0.35
LOST_ANSWER_SHARE = 0.2
LATE_SHARE = 0.3


class Fate(Enum):
    """What becomes of a commit."""

    ANSWERED = auto()
    REFUSED = auto()
    REFUSED_AFTER_NEXT = auto()  # once the next commit has been lost
    LOST = auto()  # no answer; carried out when told, if its condition holds


class LossyJobStore(FakeJobStore):
    """A job store of which each write of an open job's record, or removal alone, has a fate.

    :ivar fates: fates of the next commits; later ones are answered.
    :ivar sent: all transactions that were sent.
    :ivar was_sent: set once there is one.
    :ivar late: transactions that were lost and are yet to be carried out.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fates: deque[Fate] = deque()
        self.sent: list[Transaction] = []
        self.was_sent = Event()
        self.late: list[Transaction] = []
        self._lost = Event()

    async def commit(self, transaction: Transaction) -> int:
        """Handles a commit by its fate."""
        self.sent.append(transaction)
        self.was_sent.set()
        is_of_open_job = any(key.startswith(OPEN_PREFIX) for key, _ in transaction.written)
        has_fate = is_of_open_job or bool(transaction.removed and not transaction.written)
        fate = self.fates.popleft() if has_fate and self.fates else Fate.ANSWERED
        if fate is Fate.REFUSED_AFTER_NEXT:
            await self._lost.wait()
        if fate is Fate.LOST:
            self.late.append(transaction)
            self._lost.set()
            raise StoreOutcomeUnknownError("no answer")
        if fate is not Fate.ANSWERED:
            raise StoreUnavailableError("refused")
        return await super().commit(transaction)

    async def carry_out_late(self) -> None:
        """Carries out the lost transactions whose condition still holds, the newest first."""
        while self.late:
            try:
                await super().commit(self.late.pop())
            except TransactionConflictError:
                continue


class RandomJobStore(FakeJobStore):
    """A job store that refuses and loses writes at random, and carries lost ones out later.

    :ivar history: values by key, in the order in which they were written.
    """

    def __init__(self, random: Random) -> None:
        super().__init__()
        self.history: defaultdict[str, list[bytes]] = defaultdict(list)
        self._random = random
        self._late: list[Transaction] = []

    async def commit(self, transaction: Transaction) -> int:
        """Handles a commit, and perhaps carries out a lost one before."""
        if self._late and self._random.random() < LATE_SHARE:
            late = self._late.pop(self._random.randrange(len(self._late)))
            with suppress(TransactionConflictError):
                await self._carry_out(late)
        fate = self._random.random()
        if fate < REFUSED_SHARE:
            raise StoreUnavailableError("refused")
        if fate < REFUSED_SHARE + LOST_SHARE:
            self._late.append(transaction)
            raise StoreOutcomeUnknownError("no answer")
        revision = await self._carry_out(transaction)
        if self._random.random() < LOST_ANSWER_SHARE:
            raise StoreOutcomeUnknownError("no answer")
        return revision

    async def carry_out_late(self) -> None:
        """Carries out all lost transactions whose condition still holds."""
        for late in self._late:
            with suppress(TransactionConflictError):
                await self._carry_out(late)

    async def _carry_out(self, transaction: Transaction) -> int:
        revision = await super().commit(transaction)
        for key, value in transaction.written:
            self.history[key].append(value)
        return revision


class LedgerWorld:
    """A ledger under a claim that is in force.

    :ivar errors: error by name of a written record; ``None`` if its change was committed.
    """

    def __init__(self, store: FakeJobStore | None = None) -> None:
        self.store = store or LossyJobStore()
        claim = claim_key(GROUP)
        self.store.entries[claim] = Entry(claim, b"", CLAIM_REVISION)
        self.ledger = Ledger(self.store, (claim, CLAIM_REVISION), lambda confirmed_s: None)
        self.errors: dict[str, BerylproxyError | None] = {}

    def value_of(self, name: str) -> str:
        """Returns the stored value of a record; empty if it doesn't exist."""
        entry = self.store.entries.get(OPEN_PREFIX + name)
        return entry.value.decode() if entry is not None else ""

    async def write(self, name: str, value: str, absent: tuple[str, ...] = ()) -> None:
        """Writes a record and notes whether that was committed."""
        change = Change(absent=absent, written=((OPEN_PREFIX + name, value.encode()),))
        try:
            await self.ledger.apply(change)
            self.errors[name] = None
        except BerylproxyError as error:
            self.errors[name] = error

    async def run(self, plays: list[Callable[["LedgerWorld"], Awaitable[None]]]) -> None:
        """Plays a scenario while the ledger runs."""
        async with create_task_group() as task_group:
            task_group.start_soon(self.ledger.run)
            for play in plays:
                await play(self)
            task_group.cancel_scope.cancel()
