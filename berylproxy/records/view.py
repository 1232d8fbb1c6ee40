"""The daemon's current view of all records.

The highest revision of each key wins, whether it came from the store or from a peer, so no record
in force reverts to an older revision. If a record cannot be parsed, its earlier revision stays in
force and the problem is reported.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import anyio
from logbook import Logger

from berylproxy.records.digest import BucketDigests
from berylproxy.records.envelope import CREATION_MARKER_KEY, decode_envelope, make_key, split_key
from berylproxy.records.errors import RecordError
from berylproxy.records.models import Configuration
from berylproxy.records.references import list_dangling_references
from berylproxy.records.schemas import Record, RecordKind, parse_record
from berylproxy.store.port import Entry, Listing

MAX_TOMBSTONES = 8_192

logger = Logger(__name__)


@dataclass(frozen=True, slots=True)
class ViewedRecord:
    """A record in the view.

    :param entry: the stored value, as sent to other daemons.
    :param change_id: identifier of the change that wrote the record; empty if unreadable.
    :param raw: the record's JSON; ``None`` if unreadable.
    :param record_in_force: the parsed record in force, possibly of an earlier revision; ``None``
        for the creation marker and if no revision could be parsed.
    :param revision_in_force: revision of ``record_in_force``; 0 if no revision could be parsed.
    :param problem: the reason why this revision is not in force; ``None`` if it is in force.
    """

    entry: Entry
    change_id: str
    raw: Any
    record_in_force: Record | None
    revision_in_force: int
    problem: RecordError | None


@dataclass(frozen=True, slots=True)
class RecordProblem:
    """A problem of a record that an operator should resolve.

    :param revision: the revision that has the problem.
    :param revision_in_force: the revision in force instead, 0 if none.
    """

    kind: str
    name: str
    revision: int
    revision_in_force: int
    code: str
    message: str


@dataclass(frozen=True, slots=True)
class ViewSnapshot:
    """A copy of the view's contents at one moment, for comparison with a listing.

    :param entries: the stored values by key.
    :param tombstones: revision of each deletion by key.
    """

    revision: int
    entries: dict[str, Entry]
    tombstones: dict[str, int]


def read_entry(entry: Entry, earlier: ViewedRecord | None) -> ViewedRecord:
    """Parses an entry; if it cannot be parsed, the earlier revision stays in force."""
    if entry.key == CREATION_MARKER_KEY:
        return ViewedRecord(entry, "", None, None, entry.revision, None)
    kind, name = split_key(entry.key)
    change_id = ""
    raw = None
    try:
        envelope = decode_envelope(entry.key, entry.value)
        change_id = envelope.change_id
        raw = envelope.record
        record_in_force = parse_record(kind, name, raw)
    except RecordError as error:
        earlier_record = earlier.record_in_force if earlier else None
        earlier_revision = earlier.revision_in_force if earlier else 0
        logger.warning(
            "record {} at revision {} is not in force: {}", entry.key, entry.revision, error.message
        )
        return ViewedRecord(entry, change_id, raw, earlier_record, earlier_revision, error)
    return ViewedRecord(entry, change_id, raw, record_in_force, entry.revision, None)


class RecordView:
    """All records known to the daemon, and the configuration built from them.

    :param max_tombstones: how many deletions are remembered.
    """

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
        """The highest revision of all applied changes."""
        return self._revision

    @property
    def forgotten_revision(self) -> int:
        """The revision up to which deletions may have been dropped from the bounded tombstones."""
        return self._forgotten_revision

    @property
    def digests(self) -> BucketDigests:
        """Digests over the records that are not deleted."""
        return self._digests

    @property
    def is_loaded(self) -> bool:
        """Whether a complete view was loaded from the store or a peer at least once."""
        return self._loaded.is_set()

    @property
    def source(self) -> str:
        """The source of the first complete view, ``store`` or ``peer``; empty until loaded."""
        return self._source

    async def wait_loaded(self) -> None:
        """Waits until the view is loaded."""
        await self._loaded.wait()

    def mark_loaded(self, source: str) -> None:
        """Marks the view as complete.

        :param source: ``store`` or ``peer``; only the first source is recorded.
        """
        if not self._loaded.is_set():
            self._source = source
            self._loaded.set()

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Calls ``callback`` with the current configuration, and again after each change."""
        self._subscribers.append(callback)
        callback(self._configuration)

    def find(self, key: str) -> ViewedRecord | None:
        """Returns the record with a key of the store; ``None`` if there is none."""
        return self._records.get(key)

    def list_kind(self, kind: RecordKind) -> list[ViewedRecord]:
        """Returns the records of a kind, sorted by name."""
        keys = sorted(key for key in self._records if split_key(key)[0] == kind)
        return [self._records[key] for key in keys]

    def take_snapshot(self) -> ViewSnapshot:
        """Returns a copy of the view's entries and tombstones."""
        entries = {key: record.entry for key, record in self._records.items()}
        return ViewSnapshot(self._revision, entries, dict(self._tombstones))

    def apply(self, updates: Iterable[Entry], deletions: Iterable[Entry]) -> bool:
        """Applies changes that the store accepted, in any order; returns whether any was new."""
        changed = False
        for entry in updates:
            changed |= self._apply_update(entry)
        for entry in deletions:
            changed |= self._apply_deletion(entry.key, entry.revision)
        if changed:
            self._rebuild()
        return changed

    def apply_from_peer(self, updates: Iterable[Entry], deletions: Iterable[Entry]) -> bool:
        """Applies a peer's records, and returns whether any was new.

        Unknown records up to ``forgotten_revision`` are skipped: they may have been deleted since,
        by a deletion whose tombstone was dropped here.
        """
        acceptable = [
            entry
            for entry in updates
            if entry.key in self._records or entry.revision > self._forgotten_revision
        ]
        return self.apply(acceptable, deletions)

    def apply_listing(self, listing: Listing) -> bool:
        """Applies a listing of all records in the store, and returns whether anything changed.

        Records that are not listed are deleted, unless they are newer than the listing.
        """
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
        """Raises ``forgotten_revision`` to that of a peer whose records were loaded."""
        self._forgotten_revision = max(self._forgotten_revision, revision)

    def list_problems(self) -> list[RecordProblem]:
        """Returns records whose latest revision is not in force, and dangling references."""
        problems = []
        for key in sorted(self._records):
            record = self._records[key]
            if record.problem is not None:
                problem = record.problem
                problems.append(self._make_problem(key, record, problem.code, problem.message))
        for subject, missing in list_dangling_references(self._configuration).items():
            record = self._records[self._make_key(subject)]
            message = "; ".join(f"{problem.field}: {problem.reason}" for problem in missing)
            problems.append(
                self._make_problem(record.entry.key, record, "reference_dangling", message)
            )
        return problems

    @staticmethod
    def _make_key(subject: str) -> str:
        kind, _, name = subject.partition("/")
        return make_key(kind, name)

    @staticmethod
    def _make_problem(key: str, record: ViewedRecord, code: str, message: str) -> RecordProblem:
        kind, name = split_key(key)
        return RecordProblem(
            kind, name, record.entry.revision, record.revision_in_force, code, message
        )

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
        records_in_force: dict[RecordKind, dict[str, Any]] = {kind: {} for kind in RecordKind}
        for key, record in self._records.items():
            if record.record_in_force is not None:
                kind, name = split_key(key)
                records_in_force[RecordKind(kind)][name] = record.record_in_force
        self._configuration = Configuration(
            revision=self._revision,
            services=records_in_force[RecordKind.SERVICES],
            pools=records_in_force[RecordKind.POOLS],
            endpoints=records_in_force[RecordKind.ENDPOINTS],
            teams=records_in_force[RecordKind.TEAMS],
            failure_domains=records_in_force[RecordKind.FAILURE_DOMAINS],
        )
        for callback in self._subscribers:
            callback(self._configuration)
