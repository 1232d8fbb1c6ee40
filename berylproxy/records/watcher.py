"""Follows the records in the store with one list and one watch per daemon."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

import anyio
from logbook import Logger

from berylproxy.records.backoff import Backoff
from berylproxy.records.envelope import CREATION_MARKER_KEY, KEY_PREFIX
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
    """State of the store as observed by the watcher."""

    STARTING = "starting"
    FOLLOWING = "following"
    UNAVAILABLE = "store_unavailable"
    REVERTED = "store_reverted"  # an alarm: the store lost writes that are in force here


@dataclass(frozen=True, slots=True)
class WatchTimings:
    """Timeouts and delays of the calls to the store.

    :param wait_s: how long one watch waits for changes.
    :param min_interval_s: pause after each watch, so that one watch returns several quick changes.
    :param first_delay_s: mean delay before the first retry of a failed call.
    :param max_delay_s: upper bound of the mean delay between retries.
    :param call_timeout_s: timeout of a watch, in addition to ``wait_s``.
    :param list_timeout_s: timeout of a listing, which holds all records.
    """

    wait_s: float = 20.0
    min_interval_s: float = 2.0
    first_delay_s: float = 0.5
    max_delay_s: float = 20.0
    call_timeout_s: float = 10.0
    list_timeout_s: float = 70.0


def find_rollback_evidence(listing: Listing, snapshot: ViewSnapshot) -> str:
    """Finds evidence that the store lost a write that was known before the listing was requested.

    Returns a description of the evidence, or an empty string.

    :param snapshot: the view's contents from before the listing was requested.
    """
    if listing.revision < snapshot.revision:
        return f"the store is at revision {listing.revision}, {snapshot.revision} is in force"
    if CREATION_MARKER_KEY in snapshot.entries and all(
        entry.key != CREATION_MARKER_KEY for entry in listing.entries
    ):
        return "the marker of the last created record is missing"
    for entry in listing.entries:
        known_entry = snapshot.entries.get(entry.key)
        if known_entry and entry.revision < known_entry.revision:
            return f"{entry.key}: stored {entry.revision}, in force {known_entry.revision}"
        if (
            known_entry
            and entry.revision == known_entry.revision
            and entry.value != known_entry.value
        ):
            return f"{entry.key}: another value at revision {entry.revision}"
        if entry.revision < snapshot.tombstones.get(entry.key, 0):
            return f"{entry.key}: deleted at {snapshot.tombstones[entry.key]}, yet stored"
    return ""


def is_empty(batch: ChangeBatch) -> bool:
    """Returns whether a watch ended without changes."""
    return not batch.updates and not batch.deletions


class RecordWatcher:
    """Applies the store's changes to the view, and rejects a store that was rolled back.

    :param random: source of the jitter.
    """

    def __init__(
        self, store: Store, view: RecordView, random: Random, *, timings: WatchTimings | None = None
    ) -> None:
        self._store = store
        self._view = view
        self._timings = timings or WatchTimings()
        self._backoff = Backoff(random, self._timings.first_delay_s, self._timings.max_delay_s)
        self._state = StoreState.STARTING
        self._state_changed = anyio.Event()
        self._problem = ""

    @property
    def state(self) -> StoreState:
        """The current state of the store."""
        return self._state

    @property
    def problem(self) -> str:
        """Description of the store's current problem; empty if there is none."""
        return self._problem

    @property
    def accepts_writes(self) -> bool:
        """Whether operators' changes may be written to the store."""
        return self._state is not StoreState.REVERTED

    async def wait_for_state(self, state: StoreState) -> None:
        """Waits until the store is in the given state."""
        while self._state is not state:
            await self._state_changed.wait()

    async def run(self) -> None:
        """Lists and watches the records until cancelled."""
        while True:
            try:
                await self._follow()
            except StoreUnavailableError as error:
                self._set_unavailable(error.message)
            except StoreError as error:
                # A watch that starts at a compacted revision fails, so the records are listed anew.
                logger.info("listing the records again: {}", error.message)
            await anyio.sleep(self._backoff.choose_delay_s())

    async def _follow(self) -> None:
        snapshot = self._view.take_snapshot()
        listing = await self._list()
        rollback_evidence = find_rollback_evidence(listing, snapshot)
        if rollback_evidence:
            self._set_state(StoreState.REVERTED, rollback_evidence)
            return
        self._view.apply_listing(listing)
        self._set_state(StoreState.FOLLOWING, "")
        revision = listing.revision
        while True:
            known_revision = self._view.revision
            batch = await self._wait_for_changes(revision)
            if batch.revision < revision or (is_empty(batch) and revision < known_revision):
                return  # the store may have been rolled back; the next listing shows whether it was
            self._backoff.reset()
            self._view.apply(batch.updates, batch.deletions)
            revision = batch.revision
            await anyio.sleep(self._timings.min_interval_s)

    async def _list(self) -> Listing:
        with anyio.move_on_after(self._timings.list_timeout_s):
            return await self._store.list_prefix(KEY_PREFIX)
        raise StoreUnavailableError("the store did not answer a list request")

    async def _wait_for_changes(self, revision: int) -> ChangeBatch:
        with anyio.move_on_after(self._timings.wait_s + self._timings.call_timeout_s):
            return await self._store.wait_for_changes(KEY_PREFIX, revision, self._timings.wait_s)
        raise StoreUnavailableError("the store did not answer a watch request")

    def _set_unavailable(self, problem: str) -> None:
        # A reverted store must not accept writes when it is available again after an outage.
        if self._state is not StoreState.REVERTED:
            self._set_state(StoreState.UNAVAILABLE, problem)

    def _set_state(self, state: StoreState, problem: str) -> None:
        self._problem = problem
        if state is self._state:
            return
        log = logger.error if state is StoreState.REVERTED else logger.info
        log("store state changed to {}: {}", state, problem or "no problem")
        self._state = state
        self._state_changed.set()
        self._state_changed = anyio.Event()
