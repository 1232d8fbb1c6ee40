"""Replicates accepted records between daemons, so that they take effect without the store.

A change is sent to all daemons at once. A daemon that missed a change detects it by the digests in
the next heartbeats, and fetches the differing records from one of the other daemons. A daemon that
starts while the store is unavailable fetches all records.
"""

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any

import anyio
from logbook import Logger

from berylproxy.peers.membership import Member, MemberStatus, PeerError, PeerNetwork
from berylproxy.records.digest import choose_bucket
from berylproxy.records.messages import (
    ITEM_OVERHEAD_BYTES,
    MAX_MESSAGE_BYTES,
    FetchRecords,
    RecordMessageInvalidError,
    Records,
    RecordsAccepted,
    pack_entries,
    pack_tombstones,
    unpack_entries,
    unpack_tombstones,
)
from berylproxy.records.view import RecordView
from berylproxy.store.port import Entry

CONFIG_PART = "config"  # key of the records' part of a heartbeat
MAX_CHUNKS = 4_096  # bounds a fetch from a peer that never sends a last chunk

logger = Logger(__name__)


class ViewState(StrEnum):
    """Whether the daemon has a view that it can serve requests with."""

    LOADED = "loaded"
    LOADING = "loading"
    NO_SOURCE = "no_configuration_source"  # no view from the store or a peer within the timeout


@dataclass(frozen=True, slots=True)
class ReplicationLimits:
    """Timeouts and size limits of the replication between daemons.

    :param check_interval_s: time between two comparisons with the members' digests.
    :param request_timeout_s: timeout of each request to a peer.
    :param source_timeout_s: wait for a first view, after which the daemon reports that it has none.
    :param max_chunk_bytes: maximum size of a message.
    """

    check_interval_s: float = 1.0
    request_timeout_s: float = 2.0
    source_timeout_s: float = 10.0
    max_chunk_bytes: int = MAX_MESSAGE_BYTES


class RecordReplicator:
    """Exchanges records with the other daemons and applies them to the view.

    :param random: selects the member to fetch from.
    """

    def __init__(
        self,
        view: RecordView,
        network: PeerNetwork,
        random: Random,
        *,
        limits: ReplicationLimits | None = None,
    ) -> None:
        self._view = view
        self._network = network
        self._random = random
        self._limits = limits or ReplicationLimits()
        self._previous_differences: set[tuple[str, str, str]] = set()
        self._unproductive_differences: set[tuple[str, str, str]] = set()
        self._source_timed_out = anyio.Event()

    @property
    def state(self) -> ViewState:
        """Whether the daemon has a view that it can serve requests with."""
        if self._view.is_loaded:
            return ViewState.LOADED
        return ViewState.NO_SOURCE if self._source_timed_out.is_set() else ViewState.LOADING

    async def wait_for_source_timeout(self) -> None:
        """Waits until the timeout for a first view has passed without one."""
        await self._source_timed_out.wait()

    def make_heartbeat_part(self) -> dict[str, Any]:
        """Returns the part :data:`CONFIG_PART` of this daemon's heartbeats."""
        return {
            "revision": self._view.revision,
            "digest": self._view.digests.summarize(),
            "loaded": self._view.is_loaded,
        }

    def publish(self, updates: tuple[Entry, ...], deletions: tuple[Entry, ...]) -> None:
        """Notifies all other daemons of changes that the store has accepted."""
        message = RecordsAccepted(pack_entries(updates), pack_tombstones(deletions))
        for member in self._network.members():
            if member.status is not MemberStatus.DEAD:
                self._network.notify(member.identity.incarnation, message)

    def handle_accepted(self, message: RecordsAccepted) -> None:
        """Applies the changes in a notification from another daemon.

        :raises RecordMessageInvalidError: if the message is malformed; no change was applied.
        """
        updates = unpack_entries(message.entries)
        deletions = unpack_tombstones(message.tombstones)
        self._view.apply_from_peer(updates, deletions)

    def handle_fetch(self, message: FetchRecords) -> Records:
        """Returns the next chunk of the differing records that another daemon requests.

        :raises RecordMessageInvalidError: if the request is malformed.
        """
        if not isinstance(message.after_key, str) or not isinstance(message.bucket_digests, bytes):
            raise RecordMessageInvalidError("not a request for records")
        snapshot = self._view.take_snapshot()
        buckets = self._view.digests.find_differing_buckets(message.bucket_digests)
        keys = sorted(
            key
            for key in (*snapshot.entries, *snapshot.tombstones)
            if key > message.after_key and choose_bucket(key) in buckets
        )
        entries: list[Entry] = []
        tombstones: list[Entry] = []
        size_bytes = ITEM_OVERHEAD_BYTES
        next_after_key = ""
        last_key = message.after_key
        for key in keys:
            entry = snapshot.entries.get(key)
            size_bytes += (
                len(key.encode()) + ITEM_OVERHEAD_BYTES + len(entry.value if entry else b"")
            )
            if size_bytes > self._limits.max_chunk_bytes and (entries or tombstones):
                next_after_key = last_key
                break
            if entry:
                entries.append(entry)
            else:
                tombstones.append(Entry(key, b"", snapshot.tombstones[key]))
            last_key = key
        return Records(
            entries=pack_entries(tuple(entries)),
            tombstones=pack_tombstones(tuple(tombstones)),
            is_loaded=self._view.is_loaded,
            revision=self._view.revision,
            forgotten_revision=self._view.forgotten_revision,
            next_after_key=next_after_key,
        )

    async def run(self) -> None:
        """Fetches differing records from other daemons until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_source_timeout)
            while True:
                await self.reconcile()
                await anyio.sleep(self._limits.check_interval_s)

    async def reconcile(self) -> None:
        """Compares the members' digests once and fetches from at most one member.

        Once the view is loaded, a difference must be seen in two successive comparisons, because a
        change that is being sent to both daemons causes a short-lived difference.
        """
        differing = {self._identify_difference(member): member for member in self._list_differing()}
        self._unproductive_differences &= set(differing)
        persistent = {
            difference: member
            for difference, member in differing.items()
            if difference in self._previous_differences or not self._view.is_loaded
        }
        self._previous_differences = set(differing)
        candidates = [
            difference
            for difference in persistent
            if difference not in self._unproductive_differences
        ]
        if not candidates:
            return
        difference = self._random.choice(sorted(candidates))
        await self._try_fetch(difference, persistent[difference])

    async def _watch_source_timeout(self) -> None:
        with anyio.move_on_after(self._limits.source_timeout_s):
            await self._view.wait_loaded()
            return
        self._source_timed_out.set()
        logger.error("received no configuration from the store or a peer; the daemon is not ready")

    def _list_differing(self) -> list[Member]:
        """Returns the live members whose view is complete and differs from this daemon's."""
        differing = []
        for member in self._network.members():
            part = member.heartbeat.get(CONFIG_PART)
            if member.status is not MemberStatus.ALIVE or not isinstance(part, dict):
                continue
            is_different = part.get("digest") != self._view.digests.summarize()
            if part.get("loaded") and (is_different or not self._view.is_loaded):
                differing.append(member)
        return differing

    def _identify_difference(self, member: Member) -> tuple[str, str, str]:
        """Returns the member's incarnation, its digest and this daemon's digest."""
        member_digest = str(member.heartbeat[CONFIG_PART].get("digest"))
        return (member.identity.incarnation, member_digest, self._view.digests.summarize())

    async def _try_fetch(self, difference: tuple[str, str, str], member: Member) -> None:
        was_loaded = self._view.is_loaded
        try:
            changed = await self._fetch(member)
        except (PeerError, RecordMessageInvalidError) as error:
            logger.info("fetching records from {} failed: {}", member.identity.daemon_id, error)
            return
        if was_loaded and not changed:
            # The member itself lacks changes, or only the store can resolve the difference.
            self._unproductive_differences.add(difference)

    async def _fetch(self, member: Member) -> bool:
        """Fetches the differing records from a member, chunk by chunk.

        Returns whether the view changed.

        :raises PeerError: if a request fails.
        :raises RecordMessageInvalidError: if the member's answer is malformed or incomplete.
        """
        digests = self._view.digests.encode() if self._view.is_loaded else b""
        changed = False
        after_key = ""
        for _ in range(MAX_CHUNKS):
            request = FetchRecords(digests, after_key)
            reply = await self._network.request(
                member.identity.incarnation, request, self._limits.request_timeout_s
            )
            if not isinstance(reply, Records) or not reply.is_loaded:
                raise RecordMessageInvalidError("the peer has no complete view")
            updates = unpack_entries(reply.entries)
            changed |= self._view.apply_from_peer(updates, unpack_tombstones(reply.tombstones))
            if not reply.next_after_key:
                self._view.raise_forgotten_revision(reply.forgotten_revision)
                self._view.mark_loaded("peer")
                return changed
            if reply.next_after_key <= after_key:
                raise RecordMessageInvalidError("the peer repeats a chunk")
            after_key = reply.next_after_key
        raise RecordMessageInvalidError("the peer sent too many chunks")
