"""Follows the records in the store with one list and one watch per daemon."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

import anyio
from logbook import Logger

from berylproxy.records.backoff import Backoff
from berylproxy.records.envelope import KEY_PREFIX, MARK_KEY
from berylproxy.records.view import RecordView, ViewSnapshot
from berylproxy.store.port import (
    ChangeBatch,
    Listing,
    Store,
    StoreError,
    StoreUnavailableError,
)

logger = Logger(__name__)


class StoreState(StrEnum):
    """How the store looks to the watcher."""

    STARTING = "starting"
    FOLLOWING = "following"
    UNAVAILABLE = "store_unavailable"
    REVERTED = "store_reverted"  # an alarm: the store lost writes that are in force here


@dataclass(frozen=True, slots=True)
class WatchPace:
    """Bounds on the calls to the store.

    :param wait_s: how long one watch waits for changes.
    :param min_interval_s: pause after each watch, so that changes in quick succession share one.
    :param first_delay_s: mean delay before the first repetition of a failed call.
    :param max_delay_s: mean delay that the repetitions reach.
    :param call_timeout_s: time after which a call is given up on, beyond ``wait_s`` for a watch.
    """

    wait_s: float = 20.0
    min_interval_s: float = 2.0
    first_delay_s: float = 0.5
    max_delay_s: float = 20.0
    call_timeout_s: float = 10.0


def find_reversal(listing: Listing, known: ViewSnapshot) -> str:
    """Finds a sign that the store lost a write that was known before the listing was asked for.

    Returns what was found, or an empty string.
    """
    if listing.revision < known.revision:
        return f"the store is at revision {listing.revision}, {known.revision} is in force"
    if MARK_KEY in known.entries and all(entry.key != MARK_KEY for entry in listing.entries):
        return "the mark of the last new record is missing"
    for entry in listing.entries:
        held = known.entries.get(entry.key)
        if held and entry.revision < held.revision:
            return f"{entry.key}: stored {entry.revision}, in force {held.revision}"
        if held and entry.revision == held.revision and entry.value != held.value:
            return f"{entry.key}: another value at revision {entry.revision}"
        if entry.revision < known.tombstones.get(entry.key, 0):
            return f"{entry.key}: deleted at {known.tombstones[entry.key]}, yet stored"
    return ""


def is_empty(batch: ChangeBatch) -> bool:
    """Tells whether a watch ended without changes."""
    return not batch.updates and not batch.deletions


class RecordWatcher:
    """Keeps the view at what the store holds, and keeps out a store that went back in time.

    :param random: source of the jitter.
    """

    def __init__(
        self, store: Store, view: RecordView, random: Random, *, pace: WatchPace | None = None
    ) -> None:
        self._store = store
        self._view = view
        self._pace = pace or WatchPace()
        self._backoff = Backoff(random, self._pace.first_delay_s, self._pace.max_delay_s)
        self._state = StoreState.STARTING
        self._state_changed = anyio.Event()
        self._problem = ""

    @property
    def state(self) -> StoreState:
        """How the store looks now."""
        return self._state

    @property
    def problem(self) -> str:
        """What is wrong with the store; empty if nothing is."""
        return self._problem

    @property
    def accepts_writes(self) -> bool:
        """Whether operators' changes may go to the store."""
        return self._state is not StoreState.REVERTED

    async def wait_for_state(self, state: StoreState) -> None:
        """Waits until the store looks like ``state``."""
        while self._state is not state:
            await self._state_changed.wait()

    async def run(self) -> None:
        """Lists and watches until cancelled."""
        while True:
            try:
                await self._follow()
            except StoreUnavailableError as error:
                self._set_unavailable(error.message)
            except StoreError as error:
                # A watch from a compacted revision ends here: only a new list can help.
                logger.info("listing the records again: {}", error.message)
            await anyio.sleep(self._backoff.choose_delay_s())

    async def _follow(self) -> None:
        known = self._view.take_snapshot()
        listing = await self._list()
        reversal = find_reversal(listing, known)
        if reversal:
            self._set_state(StoreState.REVERTED, reversal)
            return
        self._view.apply_listing(listing)
        self._set_state(StoreState.FOLLOWING, "")
        revision = listing.revision
        while True:
            known_revision = self._view.revision
            batch = await self._wait_for_changes(revision)
            if batch.revision < revision or (is_empty(batch) and revision < known_revision):
                return  # possibly a store that went back: a list tells
            self._backoff.reset()
            self._view.apply(batch.updates, batch.deletions)
            revision = batch.revision
            await anyio.sleep(self._pace.min_interval_s)

    async def _list(self) -> Listing:
        with anyio.move_on_after(self._pace.call_timeout_s):
            return await self._store.list_prefix(KEY_PREFIX)
        raise StoreUnavailableError("the store did not answer a list")

    async def _wait_for_changes(self, revision: int) -> ChangeBatch:
        with anyio.move_on_after(self._pace.wait_s + self._pace.call_timeout_s):
            return await self._store.wait_for_changes(KEY_PREFIX, revision, self._pace.wait_s)
        raise StoreUnavailableError("the store did not answer a watch")

    def _set_unavailable(self, problem: str) -> None:
        # A reverted store that goes silent is still not to be written to when it comes back.
        if self._state is not StoreState.REVERTED:
            self._set_state(StoreState.UNAVAILABLE, problem)

    def _set_state(self, state: StoreState, problem: str) -> None:
        self._problem = problem
        if state is self._state:
            return
        log = logger.error if state is StoreState.REVERTED else logger.info
        log("the store's state is {}: {}", state, problem or "no problem")
        self._state = state
        self._state_changed.set()
        self._state_changed = anyio.Event()
