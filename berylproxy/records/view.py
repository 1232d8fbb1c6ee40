"""The daemon's current view of all records.

The highest revision of each key wins, whichever way it came, so nothing in force reverts. A record
that cannot be parsed leaves its earlier form in force and is reported.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import anyio
from logbook import Logger

from berylproxy.records.digest import BucketDigests
from berylproxy.records.envelope import MARK_KEY, decode_envelope, make_key, split_key
from berylproxy.records.errors import RecordError
from berylproxy.records.models import Configuration
from berylproxy.records.references import list_dangling
from berylproxy.records.schemas import Record, RecordKind, parse_record
from berylproxy.store.port import Entry, Listing

MAX_TOMBSTONES = 8_192

logger = Logger(__name__)


@dataclass(frozen=True, slots=True)
class ViewedRecord:
    """A record as the view holds it.

    :param entry: the stored value, as other daemons get it.
    :param change_id: name of the change that made it; empty if unreadable.
    :param raw: the record's JSON; ``None`` if unreadable.
    :param form: what is in force, possibly from an earlier revision; ``None`` if nothing is.
    :param form_revision: revision that ``form`` was parsed from.
    :param problem: why this revision is not in force; ``None`` if it is.
    """

    entry: Entry
    change_id: str
    raw: Any
    form: Record | None
    form_revision: int
    problem: RecordError | None


@dataclass(frozen=True, slots=True)
class RecordProblem:
    """Something about a record that an operator should look at.

    :param revision: revision of the record that has the problem.
    :param form_revision: revision in force instead, 0 if none.
    """

    kind: str
    name: str
    revision: int
    form_revision: int
    code: str
    message: str


@dataclass(frozen=True, slots=True)
class ViewSnapshot:
    """What a view held at one moment, to compare a listing with.

    :param entries: the stored values by key.
    :param tombstones: revision of each deletion by key.
    """

    revision: int
    entries: dict[str, Entry]
    tombstones: dict[str, int]


def read_entry(entry: Entry, earlier: ViewedRecord | None) -> ViewedRecord:
    """Parses an entry; one that cannot be parsed keeps the earlier form."""
    if entry.key == MARK_KEY:
        return ViewedRecord(entry, "", None, None, entry.revision, None)
    kind, name = split_key(entry.key)
    change_id = ""
    raw = None
    try:
        envelope = decode_envelope(entry.key, entry.value)
        change_id = envelope.change_id
        raw = envelope.record
        form = parse_record(kind, name, raw)
    except RecordError as error:
        kept_form = earlier.form if earlier else None
        kept_revision = earlier.form_revision if earlier else 0
        logger.warning(
            "record {} revision {} not in force: {}", entry.key, entry.revision, error.message
        )
        return ViewedRecord(entry, change_id, raw, kept_form, kept_revision, error)
    return ViewedRecord(entry, change_id, raw, form, entry.revision, None)


class RecordView:
    """All records known to the daemon, and the configuration built from them."""

    def __init__(self, *, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self._records: dict[str, ViewedRecord] = {}
        self._tombstones: OrderedDict[str, int] = OrderedDict()
        self._max_tombstones = max_tombstones
        self._forgotten_revision = 0
        self._digests = BucketDigests()
        self._revision = 0
        self._configuration = Configuration()
        self._subscribers: list[Callable[[Configuration], None]] = []
        self._loaded = anyio.Event()
        self._source = ""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    @property
    def revision(self) -> int:
        """The highest revision of a change applied."""
        return self._revision

    @property
    def forgotten_revision(self) -> int:
        """Deletions up to this revision may have been dropped from the bounded tombstones."""
        return self._forgotten_revision

    @property
    def digests(self) -> BucketDigests:
        """Digests over the live records."""
        return self._digests

    @property
    def is_loaded(self) -> bool:
        """Whether the view came whole from the store or from a peer at least once."""
        return self._loaded.is_set()

    @property
    def source(self) -> str:
        """Where the view came from first: ``store`` or ``peer``; empty before."""
        return self._source

    async def wait_loaded(self) -> None:
        """Waits until the view is loaded."""
        await self._loaded.wait()

    def mark_loaded(self, source: str) -> None:
        """Says that the view is whole now."""
        if not self._loaded.is_set():
            self._source = source
            self._loaded.set()

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Calls back with the configuration now and after each change."""
        self._subscribers.append(callback)
        callback(self._configuration)

    def find(self, key: str) -> ViewedRecord | None:
        """Finds a record by its key in the store."""
        return self._records.get(key)

    def list_kind(self, kind: RecordKind) -> list[ViewedRecord]:
        """Lists the records of a kind by name."""
        keys = sorted(key for key in self._records if split_key(key)[0] == kind)
        return [self._records[key] for key in keys]

    def take_snapshot(self) -> ViewSnapshot:
        """Copies what the view holds."""
        entries = {key: record.entry for key, record in self._records.items()}
        return ViewSnapshot(self._revision, entries, dict(self._tombstones))

    def apply(self, updates: Iterable[Entry], deletions: Iterable[Entry]) -> bool:
        """Applies changes that the store accepted, in any order; tells whether any was new."""
        changed = False
        for entry in updates:
            changed |= self._apply_update(entry)
        for entry in deletions:
            changed |= self._apply_deletion(entry.key, entry.revision)
        if changed:
            self._rebuild()
        return changed

    def apply_from_peer(self, updates: Iterable[Entry], deletions: Iterable[Entry]) -> bool:
        """Applies what a peer holds, which may be older than a deletion forgotten here."""
        credible = [
            entry
            for entry in updates
            if entry.key in self._records or entry.revision > self._forgotten_revision
        ]
        return self.apply(credible, deletions)

    def apply_listing(self, listing: Listing) -> bool:
        """Applies all records of the store: those not listed are deleted."""
        listed = {entry.key for entry in listing.entries}
        deletions = [
            Entry(key, b"", listing.revision)
            for key, record in self._records.items()
            if key not in listed and record.entry.revision <= listing.revision
        ]
        changed = self.apply(listing.entries, deletions)
        self.mark_loaded("store")
        return changed

    def raise_forgotten_revision(self, revision: int) -> None:
        """Takes over from a peer up to where deletions may be forgotten."""
        self._forgotten_revision = max(self._forgotten_revision, revision)

    def list_problems(self) -> list[RecordProblem]:
        """Lists records not in force as written and references to missing records."""
        problems = []
        for key in sorted(self._records):
            record = self._records[key]
            if record.problem is not None:
                problem = record.problem
                problems.append(self._describe(key, record, problem.code, problem.message))
        for subject, missing in list_dangling(self._configuration).items():
            record = self._records[self._key_of(subject)]
            message = "; ".join(f"{problem.field}: {problem.reason}" for problem in missing)
            problems.append(self._describe(record.entry.key, record, "reference_dangling", message))
        return problems

    @staticmethod
    def _key_of(subject: str) -> str:
        kind, _, name = subject.partition("/")
        return make_key(kind, name)

    @staticmethod
    def _describe(key: str, record: ViewedRecord, code: str, message: str) -> RecordProblem:
        kind, name = split_key(key)
        return RecordProblem(kind, name, record.entry.revision, record.form_revision, code, message)

    def _known_revision(self, key: str) -> int:
        record = self._records.get(key)
        return record.entry.revision if record else self._tombstones.get(key, 0)

    def _apply_update(self, entry: Entry) -> bool:
        if entry.revision <= self._known_revision(entry.key):
            return False
        earlier = self._records.get(entry.key)
        if earlier:
            self._digests.toggle(entry.key, earlier.entry.revision)
        self._tombstones.pop(entry.key, None)
        self._records[entry.key] = read_entry(entry, earlier)
        self._digests.toggle(entry.key, entry.revision)
        self._revision = max(self._revision, entry.revision)
        return True

    def _apply_deletion(self, key: str, revision: int) -> bool:
        if revision <= self._known_revision(key):
            return False
        earlier = self._records.pop(key, None)
        if earlier:
            self._digests.toggle(key, earlier.entry.revision)
        self._tombstones[key] = revision
        self._tombstones.move_to_end(key)
        self._revision = max(self._revision, revision)
        while len(self._tombstones) > self._max_tombstones:
            _, forgotten = self._tombstones.popitem(last=False)
            self._forgotten_revision = max(self._forgotten_revision, forgotten)
        return True

    def _rebuild(self) -> None:
        forms: dict[RecordKind, dict[str, Any]] = {kind: {} for kind in RecordKind}
        for key, record in self._records.items():
            if record.form is not None:
                kind, name = split_key(key)
                forms[RecordKind(kind)][name] = record.form
        self._configuration = Configuration(
            revision=self._revision,
            services=forms[RecordKind.SERVICES],
            pools=forms[RecordKind.POOLS],
            endpoints=forms[RecordKind.ENDPOINTS],
            teams=forms[RecordKind.TEAMS],
        )
        for callback in self._subscribers:
            callback(self._configuration)
