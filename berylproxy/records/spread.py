"""Passes accepted records between daemons, so that they come into force without the store.

A change is sent to all daemons at once. What one missed shows in the digest of the next
heartbeats, and it fetches what differs from one of them. A daemon that starts while the store is
out fetches all.
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

CONFIG_PART = "config"  # the records' part of a heartbeat
MAX_CHUNKS = 4_096

logger = Logger(__name__)


class ViewState(StrEnum):
    """Whether the daemon can serve by its view."""

    LOADED = "loaded"
    LOADING = "loading"
    SOURCELESS = "no_configuration_source"  # neither store nor peer within the stated wait


@dataclass(frozen=True, slots=True)
class SpreadPace:
    """Bounds on the traffic between daemons.

    :param check_interval_s: time between looks at the members' digests.
    :param request_timeout_s: time after which a peer's answer is given up on.
    :param source_timeout_s: wait for a first view, after which the daemon reports that it has none.
    :param max_chunk_bytes: the largest message.
    """

    check_interval_s: float = 1.0
    request_timeout_s: float = 2.0
    source_timeout_s: float = 10.0
    max_chunk_bytes: int = MAX_MESSAGE_BYTES


class RecordSpreader:
    """Exchanges records with the other daemons.

    :param random: chooses among the members to fetch from.
    """

    def __init__(
        self,
        view: RecordView,
        network: PeerNetwork,
        random: Random,
        *,
        pace: SpreadPace | None = None,
    ) -> None:
        self._view = view
        self._network = network
        self._random = random
        self._pace = pace or SpreadPace()
        self._suspected: set[tuple[str, str, str]] = set()
        self._fruitless: set[tuple[str, str, str]] = set()
        self._sourceless = anyio.Event()

    @property
    def state(self) -> ViewState:
        """Whether the daemon can serve by its view."""
        if self._view.is_loaded:
            return ViewState.LOADED
        return ViewState.SOURCELESS if self._sourceless.is_set() else ViewState.LOADING

    async def wait_sourceless(self) -> None:
        """Waits until the stated wait for a first view is over in vain."""
        await self._sourceless.wait()

    def make_heartbeat_part(self) -> dict[str, Any]:
        """Makes the part :data:`CONFIG_PART` of this daemon's heartbeats."""
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
        """Takes in another daemon's notification.

        :raises RecordMessageInvalidError: if it is malformed; nothing of it was taken.
        """
        updates = unpack_entries(message.entries)
        deletions = unpack_tombstones(message.tombstones)
        self._view.apply_from_peer(updates, deletions)

    def handle_fetch(self, message: FetchRecords) -> Records:
        """Answers another daemon's request with the next chunk of what differs.

        :raises RecordMessageInvalidError: if the request is malformed.
        """
        if not isinstance(message.after_key, str) or not isinstance(message.bucket_digests, bytes):
            raise RecordMessageInvalidError("not a request for records")
        snapshot = self._view.take_snapshot()
        buckets = self._view.digests.find_differing(message.bucket_digests)
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
            if size_bytes > self._pace.max_chunk_bytes and (entries or tombstones):
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
        """Fetches what differs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_for_source)
            while True:
                await self.reconcile()
                await anyio.sleep(self._pace.check_interval_s)

    async def reconcile(self) -> None:
        """Looks at the members' digests once and fetches from at most one of them.

        With a view loaded, a difference must last for two looks: a change on its way to both
        daemons is none.
        """
        differing = {self._describe(member): member for member in self._list_differing()}
        self._fruitless &= set(differing)
        lasting = {
            pair: member
            for pair, member in differing.items()
            if pair in self._suspected or not self._view.is_loaded
        }
        self._suspected = set(differing)
        candidates = [pair for pair in lasting if pair not in self._fruitless]
        if not candidates:
            return
        pair = self._random.choice(sorted(candidates))
        await self._fetch_safely(pair, lasting[pair])

    async def _watch_for_source(self) -> None:
        with anyio.move_on_after(self._pace.source_timeout_s):
            await self._view.wait_loaded()
            return
        self._sourceless.set()
        logger.error("no configuration from the store or a peer: not ready")

    def _list_differing(self) -> list[Member]:
        """Lists the living members with a whole view that differs from this one."""
        differing = []
        for member in self._network.members():
            part = member.heartbeat.get(CONFIG_PART)
            if member.status is not MemberStatus.ALIVE or not isinstance(part, dict):
                continue
            is_different = part.get("digest") != self._view.digests.summarize()
            if part.get("loaded") and (is_different or not self._view.is_loaded):
                differing.append(member)
        return differing

    def _describe(self, member: Member) -> tuple[str, str, str]:
        """Names a difference: who differs, from which digest to which."""
        theirs = str(member.heartbeat[CONFIG_PART].get("digest"))
        return (member.identity.incarnation, theirs, self._view.digests.summarize())

    async def _fetch_safely(self, pair: tuple[str, str, str], member: Member) -> None:
        was_loaded = self._view.is_loaded
        try:
            changed = await self._fetch(member)
        except (PeerError, RecordMessageInvalidError) as error:
            logger.info("fetching records from {} failed: {}", member.identity.daemon_id, error)
            return
        if was_loaded and not changed:
            # The member is the one behind, or is left with what only the store can tell.
            self._fruitless.add(pair)

    async def _fetch(self, member: Member) -> bool:
        """Fetches what differs from a member, chunk by chunk; tells whether anything was new."""
        digests = self._view.digests.encode() if self._view.is_loaded else b""
        changed = False
        after_key = ""
        for _ in range(MAX_CHUNKS):
            request = FetchRecords(digests, after_key)
            reply = await self._network.request(
                member.identity.incarnation, request, self._pace.request_timeout_s
            )
            if not isinstance(reply, Records) or not reply.is_loaded:
                raise RecordMessageInvalidError("the peer has no whole view")
            updates = unpack_entries(reply.entries)
            changed |= self._view.apply_from_peer(updates, unpack_tombstones(reply.tombstones))
            if not reply.next_after_key:
                self._view.raise_forgotten_revision(reply.forgotten_revision)
                self._view.mark_loaded("peer")
                return changed
            if reply.next_after_key <= after_key:
                raise RecordMessageInvalidError("the peer repeats a chunk")
            after_key = reply.next_after_key
        raise RecordMessageInvalidError("the peer sends without end")
