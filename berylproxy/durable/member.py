"""One daemon's part in durable jobs: follows the holders of all groups and becomes one if needed."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from anyio import create_task_group, sleep
from anyio.abc import TaskGroup
from logbook import Logger
from msgpack import packb, unpackb

from berylproxy.clock import Clock
from berylproxy.durable.contention import Candidate, HolderSight, rank, should_claim
from berylproxy.durable.estimates import RunTimeModel
from berylproxy.durable.holder import HEARTBEAT_INTERVAL_S, Holder
from berylproxy.durable.ledger import TenureLostError
from berylproxy.durable.messages import (
    AskPending,
    AskState,
    CancelStored,
    HandIn,
    HandInReply,
    HolderHeartbeat,
    JobsEnded,
    PendingReply,
    StateReply,
)
from berylproxy.durable.ports import (
    EndpointDirectory,
    JobStore,
    Transaction,
    TransactionConflictError,
)
from berylproxy.durable.records import claim_key
from berylproxy.models import DaemonIdentity
from berylproxy.peers.membership import Member, MemberStatus
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.store.port import StoreError

WATCH_INTERVAL_S = 0.05
HEARTBEAT_PART = "durable"
STORE_CONTACT_S = 1.0  # a daemon whose last answer is older may be cut off from the store
FRESH_MEMBER_S = 1.2  # a few heartbeats between daemons


logger = Logger(__name__)


@dataclass(slots=True)
class KnownHolder:
    """The newest holder of a group that this daemon has heard of.

    :ivar fence: revision of its claim; 0 if none is known.
    :ivar heard_s: monotonic time of its last sign of life, or when waiting for one began.
    """

    fence: int = 0
    incarnation: str = ""
    heard_s: float = 0.0
    is_leaving: bool = False
    endpoints: frozenset[str] | None = None


class DurableMember:
    """Follows holders, and serves the groups that this daemon holds.

    :param cores: processor share of this VM.
    :param list_members: names of the daemons that the store lists.
    :param store_heard_s: monotonic time of the store's last answer to this daemon.
    """

    def __init__(
        self,
        network: TcpPeerNetwork,
        store: JobStore,
        directory: EndpointDirectory,
        clock: Clock,
        cores: float,
        list_members: Callable[[], frozenset[str]],
        store_heard_s: Callable[[], float],
        on_ended: Callable[[dict[str, str]], None],
    ) -> None:
        self.known: dict[str, KnownHolder] = {}
        self.holders: dict[str, Holder] = {}
        self.is_leaving = False
        self._network = network
        self._store = store
        self._directory = directory
        self._clock = clock
        self._cores = cores
        self._list_members = list_members
        self._store_heard_s = store_heard_s
        self._on_ended = on_ended
        self._models: dict[str, RunTimeModel] = {}
        self._claiming: set[str] = set()
        self._task_group: TaskGroup | None = None
        network.handle_request(HandIn, self._answer_hand_in)
        network.handle_request(AskState, self._answer_state)
        network.handle_request(CancelStored, self._answer_cancel)
        network.handle_request(AskPending, self._answer_pending)
        network.handle_notice(HolderHeartbeat, self._take_heartbeat)
        network.handle_notice(JobsEnded, lambda _, message: self._on_ended(message.states))
        network.provide_heartbeat(HEARTBEAT_PART, self._describe)

    async def run(self) -> None:
        """Watches over all groups until cancelled."""
        async with create_task_group() as task_group:
            self._task_group = task_group
            while True:
                await sleep(WATCH_INTERVAL_S)
                for group in list(self.known):
                    self._watch(group)

    def follow(self, groups: set[str]) -> None:
        """Takes the names of the groups that the configuration knows."""
        for group in groups:
            if group not in self.known:
                self.known[group] = KnownHolder(heard_s=self._clock.now_s())

    def holder_incarnation(self, group: str) -> str:
        """Names the incarnation that is believed to hold a group; empty if none is."""
        known = self.known.get(group)
        if known is None or not known.incarnation:
            return ""
        if self._silence_s(known) > 2.0:
            return ""
        return known.incarnation

    @property
    def own_incarnation(self) -> str:
        """This daemon's incarnation."""
        return self._network.identity.incarnation

    def leave(self) -> None:
        """Asks the others to take over all groups held here."""
        self.is_leaving = True
        for holder in self.holders.values():
            holder.is_leaving = True
            holder.send_heartbeat()

    def live_members(self) -> list[Member]:
        """Lists the other daemons that this one has streams to."""
        return [
            member
            for member in self._network.members()
            if member.status is not MemberStatus.DEAD
            and self._network.links(member.identity.incarnation)
        ]

    # Following and claiming

    def _silence_s(self, known: KnownHolder) -> float:
        return self._clock.now_s() - known.heard_s

    def _watch(self, group: str) -> None:
        if group in self.holders or group in self._claiming or self.is_leaving:
            return
        if self._clock.now_s() - self._store_heard_s() > STORE_CONTACT_S:
            return
        known = self.known[group]
        members = [m for m in self.live_members() if m.identity.incarnation != known.incarnation]
        candidates = [
            Candidate(m.identity.daemon_id, _read_part(m).get("cores", 0.0))
            for m in members
            if m.ready and _read_part(m).get("store_age_s", 0.0) < STORE_CONTACT_S
        ]
        own = Candidate(self._network.identity.daemon_id, self._cores)
        sight = HolderSight(
            self._silence_s(known),
            bool(known.incarnation) and bool(self._network.links(known.incarnation)),
            known.is_leaving,
        )
        listed = len(self._list_members() - {own.daemon_id, self._holder_name(known)})
        if should_claim(sight, rank(group, own, candidates), len(members), listed):
            self._claiming.add(group)
            if self._task_group is not None:
                self._task_group.start_soon(self._claim, group, sight)

    def _holder_name(self, known: KnownHolder) -> str:
        for member in self._network.members():
            if member.identity.incarnation == known.incarnation:
                return member.identity.daemon_id
        return ""

    async def _claim(self, group: str, sight: HolderSight) -> None:
        try:
            fence = await self._try_claim(group)
        except StoreError as error:
            logger.info("claim on {} not made: {}", group, error.message)
            return
        finally:
            self._claiming.discard(group)
        if fence:
            logger.info(
                "claimed {}",
                group,
                extra={
                    "group": group,
                    "fence": fence,
                    "holder_silence_s": round(sight.silence_s, 3),
                    "holder_stream": sight.has_stream,
                    "holder_leaving": sight.is_leaving,
                },
            )
            await self._hold(group, fence)

    async def _try_claim(self, group: str) -> int:
        """Replaces the claim unless it is newer than the known one; returns the fence or 0."""
        known = self.known[group]
        key = claim_key(group)
        entry = await self._store.get(key)
        revision = entry.revision if entry is not None else 0
        if revision > known.fence:
            known.fence = revision
            known.incarnation = _read_claimant(entry.value)
            known.heard_s = self._clock.now_s()
            known.is_leaving = False
            if known.incarnation != self.own_incarnation:
                return 0
            return revision  # an earlier try whose answer was lost
        identity = self._network.identity
        value = packb({"daemon_id": identity.daemon_id, "incarnation": identity.incarnation})
        try:
            return await self._store.commit(Transaction(((key, revision),), ((key, value),)))
        except TransactionConflictError:
            known.heard_s = self._clock.now_s()
            return 0

    async def _hold(self, group: str, fence: int) -> None:
        known = self.known[group]
        now_s = self._clock.now_s()
        inherited = known.endpoints
        known.fence, known.incarnation = fence, self.own_incarnation
        known.heard_s, known.is_leaving = now_s, False
        holder = Holder(
            group,
            fence,
            self._store,
            self._directory,
            self._clock,
            self._notify,
            lambda: [member.identity.incarnation for member in self.live_members()],
            self._has_store_elsewhere,
            inherited,
            self._models.setdefault(group, RunTimeModel()),
        )
        self.holders[group] = holder
        try:
            await holder.run()
        finally:
            del self.holders[group]
            if known.incarnation == self.own_incarnation:
                known.heard_s = self._clock.now_s()
                known.incarnation = ""

    def _has_store_elsewhere(self) -> bool:
        """Tells whether another daemon may reach the store, as far as is known."""
        fresh = self.live_members()
        if 2 * len(fresh) < len(self._list_members()) - 1:
            return True
        return any(_read_part(m).get("store_age_s", 0.0) < STORE_CONTACT_S for m in fresh)

    def _notify(self, incarnation: str, message: Any) -> None:
        if incarnation == self.own_incarnation:
            if isinstance(message, JobsEnded):
                self._on_ended(message.states)
        else:
            self._network.notify(incarnation, message)

    def _describe(self) -> dict[str, Any]:
        age_s = self._clock.now_s() - self._store_heard_s()
        return {"cores": self._cores, "store_age_s": 0.0 if age_s < STORE_CONTACT_S else 10.0}

    def _take_heartbeat(self, sender: DaemonIdentity, message: HolderHeartbeat) -> None:
        known = self.known.setdefault(message.group, KnownHolder())
        if message.fence < known.fence:
            return
        if message.fence > known.fence:
            holder = self.holders.get(message.group)
            if holder is not None:
                holder.end("another daemon has a newer claim")
            logger.info(
                "new holder of {}: {}",
                message.group,
                sender.daemon_id,
                extra={"group": message.group, "fence": message.fence, "former": known.fence},
            )
        known.fence, known.incarnation = message.fence, sender.incarnation
        known.heard_s = self._clock.now_s()
        known.is_leaving = message.leaving
        known.endpoints = frozenset(message.endpoints)

    # Serving

    def require_holder(self, group: str) -> Holder:
        """Returns the holder that runs here.

        :raises TenureLostError: if there is none.
        """
        holder = self.holders.get(group)
        if holder is None:
            raise TenureLostError("not the holder", retry_after_s=HEARTBEAT_INTERVAL_S)
        return holder

    async def _answer_hand_in(self, sender: DaemonIdentity, message: HandIn) -> HandInReply:
        holder = self.require_holder(message.job.terms.service)
        return await holder.hand_in(message.job, sender.incarnation)

    async def _answer_state(self, _: DaemonIdentity, message: AskState) -> StateReply:
        return StateReply(await self.require_holder(message.group).find_state(message.job_id))

    async def _answer_cancel(self, _: DaemonIdentity, message: CancelStored) -> StateReply:
        return StateReply(await self.require_holder(message.group).cancel(message.job_id))

    async def _answer_pending(self, _: DaemonIdentity, message: AskPending) -> PendingReply:
        holder = self.require_holder(message.group)
        if not holder.is_loaded:
            raise TenureLostError("the open jobs are not loaded yet")
        return PendingReply(holder.count_pending(message.queue))


def _read_part(member: Member) -> dict[str, Any]:
    return member.heartbeat.get(HEARTBEAT_PART, {})


def _read_claimant(value: bytes) -> str:
    try:
        return str(unpackb(value)["incarnation"])
    except (ValueError, TypeError, KeyError) as error:
        logger.warning("a claim can't be read: {!r}", error)
        return ""
