"""Writes this daemon's usage counts to the store.

The counts are absolute, and only this incarnation writes its key. A write whose answer was lost can
therefore be repeated without billing anyone twice.
"""

from anyio import move_on_after, sleep
from logbook import Logger

from berylproxy.models import DaemonIdentity
from berylproxy.store.port import (
    ABSENT_REVISION,
    Store,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
)
from berylproxy.usage.counters import UsageCounters
from berylproxy.usage.report import encode_report, make_report_key

RECORD_INTERVAL_S = 10.0
FINAL_RECORD_TIMEOUT_S = 5.0
FINAL_RECORD_RETRY_INTERVAL_S = 1.0
MAX_ATTEMPTS = 3

logger = Logger(__name__)


class UsageRecorder:
    """Writes the counts periodically, and a last time at a planned stop."""

    def __init__(
        self,
        store: Store,
        identity: DaemonIdentity,
        counters: UsageCounters,
        interval_s: float = RECORD_INTERVAL_S,
    ) -> None:
        self._store = store
        self._identity = identity
        self._counters = counters
        self._interval_s = interval_s
        self._revision = ABSENT_REVISION
        self._recorded_version = 0

    @property
    def is_up_to_date(self) -> bool:
        """Whether the store has the current counts."""
        return self._recorded_version == self._counters.version

    async def run(self) -> None:
        """Writes changed counts periodically until cancelled."""
        while True:
            await sleep(self._interval_s)
            await self.record()

    async def record(self) -> bool:
        """Writes the counts if they have changed; returns whether the store has them."""
        if self.is_up_to_date:
            return True
        try:
            await self._write()
        except StoreError as error:
            logger.warning("usage not recorded, {}: {}", error.code, error.message)
            return False
        return True

    async def record_final(self) -> None:
        """Writes the counts at a planned stop, with retries for a bounded time."""
        with move_on_after(FINAL_RECORD_TIMEOUT_S):
            for _ in range(MAX_ATTEMPTS):
                if await self.record():
                    return
                await sleep(FINAL_RECORD_RETRY_INTERVAL_S)
        if not self.is_up_to_date:
            logger.error("usage since the last successful write is lost and will not be billed")

    async def _write(self) -> None:
        key = make_report_key(self._identity.incarnation)
        for attempts_left in reversed(range(MAX_ATTEMPTS)):
            version = self._counters.version
            value = encode_report(self._identity.daemon_id, self._counters)
            try:
                self._revision = await self._store.compare_and_swap(key, value, self._revision)
            except (StoreConflictError, StoreOutcomeUnknownError):
                # Only this incarnation writes the key, so any other revision comes from an earlier
                # write of its own that took effect.
                if not attempts_left:
                    raise
                entry = await self._store.get(key)
                self._revision = entry.revision if entry is not None else ABSENT_REVISION
                continue
            self._recorded_version = version
            return
