"""Follows what the operator writes in the platform's store: the configuration and evacuations.

One watch serves both, since the store counts and prices each call.
"""

from collections.abc import Callable, Iterable
from time import monotonic

from anyio import sleep
from logbook import Logger

from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.platform.configuration import CONFIGURATION_KEY
from berylproxy.platform.store import PlatformStore, StorePage
from berylproxy.store.errors import StoreCompactedError
from berylproxy.store.port import ChangeBatch, Entry, StoreError

OPERATOR_PREFIX = "op/"
EVACUATION_PREFIX = "op/evacuate/"
# A hung watch is detected within the 2 s in which a version must take effect.
WATCH_S = 0.9
# A change that a watch fails to report is found within this time and that of a watch, before an
# evacuation has to be in effect.
REREAD_INTERVAL_S = 4.0
MAX_REREAD_SHARE = 0.05  # of the time, for reading a configuration again that arrives slowly
RETRY_DELAY_S = 0.1
UNREAD_LOG_S = 2.0  # keys that have not been read for as long are logged

logger = Logger(__name__)


class OperatorWatch:
    """Applies the operator's configuration and evacuations as they change.

    :param apply_configuration: called with each value of the configuration that is read.
    :param evacuations: the view that is kept up to date.
    :ivar last_read_s: monotonic time at which the keys were last known to be up to date.
    """

    def __init__(
        self,
        store: PlatformStore,
        apply_configuration: Callable[[bytes], None],
        evacuations: EvacuatedDomains,
    ) -> None:
        self._store = store
        self._apply_configuration = apply_configuration
        self._evacuations = evacuations
        self._configuration_revision = 0
        self._requested: dict[str, int] = {}
        self._skipped_keys: set[str] = set()
        self.last_read_s = monotonic()
        self._is_unread_logged = False
        self._all_due_s = self._evacuations_due_s = 0.0

    async def run(self) -> None:
        """Follows the operator's keys until cancelled; reads them anew after each failure."""
        revision = 0
        while True:
            try:
                if not revision or monotonic() >= self._all_due_s:
                    revision = max(revision, await self._read())
                elif monotonic() >= self._evacuations_due_s:
                    await self._read_evacuations()
                batch = await self._store.wait_for_changes(OPERATOR_PREFIX, revision, WATCH_S)
                revision = max(revision, batch.revision)
                self._apply(batch, revision)
                self._note_read()
                if _count_configurations(batch) > 1:
                    # They are written faster than they arrive: only the last one is read next.
                    revision = 0
            except StoreCompactedError:
                revision = 0
            except StoreError as error:
                self._note_failure(error)
                revision = 0
                await sleep(RETRY_DELAY_S)

    def _note_read(self) -> None:
        now_s = monotonic()
        if self._is_unread_logged:
            self._is_unread_logged = False
            unread_s = round(now_s - self.last_read_s, 1)
            logger.info("the operator's keys are read again", extra={"unread_s": unread_s})
        self.last_read_s = now_s

    def _note_failure(self, error: StoreError) -> None:
        """Logs once that the keys have not been read for a while, and why."""
        unread_s = monotonic() - self.last_read_s
        if unread_s >= UNREAD_LOG_S and not self._is_unread_logged:
            self._is_unread_logged = True
            logger.warning(
                "the operator's keys can't be read: {}",
                error.message,
                extra={"unread_s": round(unread_s, 1)},
            )

    async def _read(self) -> int:
        """Reads all keys of the operator.

        :return: the revision after which changes are to be watched. Pages are no snapshot, so that
            is the first one's.
        """
        began_s = monotonic()
        page = await self._store.read_all(OPERATOR_PREFIX)
        self._apply_versions(page.entries)
        self._replace_evacuations(page)
        interval_s = max(REREAD_INTERVAL_S, (monotonic() - began_s) / MAX_REREAD_SHARE)
        self._all_due_s = monotonic() + interval_s
        return page.revision

    async def _read_evacuations(self) -> None:
        """Reads the requested evacuations, without the configuration, which may be large."""
        self._replace_evacuations(await self._store.read_all(EVACUATION_PREFIX))

    def _replace_evacuations(self, page: StorePage) -> None:
        self._requested = {
            entry.key: entry.revision
            for entry in page.entries
            if entry.key.startswith(EVACUATION_PREFIX)
        }
        self._confirm(page.revision)
        self._evacuations_due_s = monotonic() + REREAD_INTERVAL_S

    def _apply(self, batch: ChangeBatch, revision: int) -> None:
        """Applies the changes that a watch has returned."""
        self._apply_versions(batch.updates)
        for entry in batch.updates:
            if entry.key.startswith(EVACUATION_PREFIX):
                self._requested[entry.key] = max(entry.revision, self._requested.get(entry.key, 0))
        for entry in batch.deletions:
            if self._requested.get(entry.key, 0) < entry.revision:
                self._requested.pop(entry.key, None)
        self._confirm(revision)

    def _apply_versions(self, entries: Iterable[Entry]) -> None:
        """Applies the versions of the configuration among entries that were not applied yet."""
        for entry in entries:
            if entry.key == CONFIGURATION_KEY and entry.revision != self._configuration_revision:
                self._configuration_revision = entry.revision
                self._apply_configuration(entry.value)

    def _confirm(self, revision: int) -> None:
        """Applies the requested evacuations, which were read at a revision of the store."""
        domains = {name for key in self._requested if (name := self._decode_domain(key))}
        self._evacuations.confirm(frozenset(domains), revision, monotonic())

    def _decode_domain(self, key: str) -> str:
        """Returns the failure domain that a key names; empty if it names none."""
        domain = decode_evacuated_domain(key)
        if not domain and key not in self._skipped_keys:
            self._skipped_keys.add(key)
            logger.warning("skipped the request to evacuate {!r}: no name of a failure domain", key)
        return domain


def _count_configurations(batch: ChangeBatch) -> int:
    return sum(entry.key == CONFIGURATION_KEY for entry in batch.updates)


def decode_evacuated_domain(key: str) -> str:
    """Returns the failure domain that a request to evacuate names; empty if it names none."""
    domain = key.removeprefix(EVACUATION_PREFIX)
    is_name = domain.isprintable() and not any(c.isspace() or c == "/" for c in domain)
    return domain if is_name else ""
