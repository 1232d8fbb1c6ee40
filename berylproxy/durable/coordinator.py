"""One daemon's part in durable jobs: follows the holders of all groups, becomes one if needed."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from anyio import Event, create_task_group, sleep
from anyio.abc import TaskGroup
from logbook import Logger
from msgpack import packb, unpackb

from berylproxy.clock import Clock
from berylproxy.durable.contention import (
    FENCES_PER_CLAIM,
    Candidate,
    HolderObservation,
    claim_fence,
    is_suspect,
    may_hold_provisionally,
    may_replace,
    provisional_fence,
    rank,
    should_claim,
)
from berylproxy.durable.estimates import RunTimeModel
from berylproxy.durable.fleet import EndpointList
from berylproxy.durable.groups import choose_group, count_groups, is_settled, list_groups
from berylproxy.durable.holder import (
    HEARTBEAT_INTERVAL_S,
    Holder,
    HolderContext,
    InheritedEndpoints,
)
from berylproxy.durable.ledger import NotHolderError, TenureLostError
from berylproxy.durable.messages import (
    AskPending,
    AskState,
    CancelStored,
    DropJob,
    HolderHeartbeat,
    JobsEnded,
    JobSubmission,
    JobSubmissionReply,
    PendingReply,
    StateReply,
)
from berylproxy.durable.placement import DEFAULT_REMOTE_FACTOR
from berylproxy.durable.ports import (
    EndpointDirectory,
    JobStore,
    Transaction,
    TransactionConflictError,
)
from berylproxy.durable.records import (
    StoredValueError,
    adopt_model,
    claim_key,
    decode_division,
    division_key,
    encode_division,
    model_key,
)
from berylproxy.durable.telemetry import Telemetry
from berylproxy.models import DaemonIdentity
from berylproxy.peers.membership import Member, MemberStatus
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.store.port import StoreError

WATCH_INTERVAL_S = 0.05
HEARTBEAT_PART = "durable"
CLAIM_PAUSE_S = 0.15  # after a claim that the store did not answer
DIVISION_PAUSE_S = 0.5  # between two looks at the list, at the very first start
LIST_INTERVAL_S = 2.0  # so old may the list be that a new holder begins with
ENTRY_SILENCE_S = 1.0  # two heartbeats between daemons and their delays
HOLDER_SILENCE_S = 2.0  # a holder that is silent for longer is not asked any more

logger = Logger(__name__)


@dataclass(slots=True)
class KnownHolder:
    """The newest holder of a group that this daemon has heard of.

    :ivar fence: the fence of its tenure; 0 if none is known.
    :ivar heard_s: monotonic time of its last sign of life, or when waiting for one began.
    """

    fence: int = 0
    incarnation: str = ""
    heard_s: float = 0.0
    is_leaving: bool = False
    endpoints: InheritedEndpoints | None = None
    changed: Event = field(default_factory=Event)

    def change(self, fence: int, incarnation: str, now_s: float) -> None:
        """Notes another holder and tells those that wait for one."""
        is_other = (fence, incarnation) != (self.fence, self.incarnation)
        self.fence, self.incarnation, self.heard_s = fence, incarnation, now_s
        if is_other:
            changed, self.changed = self.changed, Event()
            changed.set()


class GroupCoordinator:
    """Follows holders, and serves the groups that this daemon holds.

    :ivar cores: processor share of this VM.
    :ivar remote_factor: run time of a task away from its data, against near it.
    :param list_members: failure domains of the daemons that the store lists, by name.
    :param has_store: tells whether the store answers this daemon.
    """

    def __init__(
        self,
        network: TcpPeerNetwork,
        store: JobStore,
        directory: EndpointDirectory,
        clock: Clock,
        cores: float,
        list_members: Callable[[], dict[str, str]],
        has_store: Callable[[], bool],
        on_ended: Callable[[dict[str, str]], None],
        telemetry: Telemetry,
    ) -> None:
        self.known: dict[str, KnownHolder] = {}
        self.holders: dict[str, Holder] = {}
        self.is_leaving = False
        self._network = network
        self._store = store
        self._directory = directory
        self._clock = clock
        self.cores = cores
        self.remote_factor = DEFAULT_REMOTE_FACTOR
        self._list_members = list_members
        self._has_store = has_store
        self._list = EndpointList()
        self._resting_until_s: dict[str, float] = {}
        self._telemetry = telemetry
        self._context = HolderContext(
            store,
            directory,
            self._list,
            self.group_of,
            clock,
            telemetry,
            self._notify,
            lambda: [member.identity.incarnation for member in self.live_members()],
            self._has_store_elsewhere,
            self._is_entry_alive,
            lambda: self.remote_factor,
        )
        self._on_ended = on_ended
        self._models: dict[str, RunTimeModel] = {}
        self._claiming: set[str] = set()
        self._divisions: dict[str, int] = {}
        self._fenced_off: dict[str, int] = {}
        self._task_group: TaskGroup | None = None
        network.handle_request(JobSubmission, self._answer_submission)
        network.handle_request(AskState, self._answer_state)
        network.handle_request(CancelStored, self._answer_cancel)
        network.handle_request(AskPending, self._answer_pending)
        network.handle_notice(DropJob, self._take_drop)
        network.handle_notice(HolderHeartbeat, self._take_heartbeat)
        network.handle_notice(JobsEnded, lambda _, message: self._on_ended(message.states))
        network.add_heartbeat_part(HEARTBEAT_PART, self._describe)
        network.prioritize_members(self._list_entries)

    async def run(self) -> None:
        """Watches over all groups until cancelled."""
        async with create_task_group() as task_group:
            self._task_group = task_group
            task_group.start_soon(self._keep_prepared)
            while True:
                await sleep(WATCH_INTERVAL_S)
                for group in list(self.known):
                    self._watch(group)

    async def _keep_prepared(self) -> None:
        """Keeps what a new holder begins with: the list of endpoints, and learnt run times."""
        while True:
            if not self.holders:
                try:
                    self._list.update(await self._directory.fetch(), self._clock.now_s())
                except StoreError as error:
                    logger.debug("the list of endpoints is not available: {}", error.message)
            for service in list(self._divisions):
                await self._adopt_models(service)
            await sleep(LIST_INTERVAL_S)

    async def _adopt_models(self, service: str) -> None:
        """Takes over the run times that the holders of a service have learnt.

        One cheap read serves for all groups; what a service of a longer name has is passed by.
        """
        groups = {model_key(group): group for group in self.groups_of(service)}
        try:
            entries, _ = await self._store.list_page(model_key(service), "", may_be_stale=True)
        except StoreError as error:
            logger.debug("the learnt run times are not available: {}", error.message)
            return
        for entry in entries:
            group = groups.get(entry.key, "")
            if group and group not in self.holders:
                self._adopt_model(group, entry.value)

    def _adopt_model(self, group: str, value: bytes) -> None:
        try:
            adopt_model(self._models.setdefault(group, RunTimeModel()), value)
        except StoredValueError as error:
            logger.warning("the learnt run times of {} are left alone: {}", group, error.message)

    async def follow(self, services: set[str]) -> bool:
        """Takes the services of the configuration; returns whether all their groups are known.

        :raises StoreError: if the store does not answer.
        """
        for service in services - set(self._divisions):
            count = await self._find_division(service)
            if count:
                for group in list_groups(service, count):
                    await self._follow_group(group)
                self._divisions[service] = count
                await self._adopt_models(service)
        return services <= set(self._divisions)

    def groups_of(self, service: str) -> list[str]:
        """Lists the groups of a service; empty while they are not known."""
        count = self._divisions.get(service)
        return list_groups(service, count) if count else []

    def group_of(self, service: str, name: str) -> str:
        """Names the group of an endpoint or a job; empty while that is not known."""
        count = self._divisions.get(service)
        return choose_group(service, count, name) if count else ""

    async def _find_division(self, service: str) -> int:
        """Reads into how many groups a service is divided, or divides it; 0 if it is too early."""
        key = division_key(service)
        try:
            entry = await self._store.get(key)
            if entry is not None:
                return decode_division(entry.value)
            counts = []
            for _ in range(2):
                listed = await self._directory.fetch()
                counts.append(sum(info.service == service for info in listed))
                await sleep(DIVISION_PAUSE_S)
            if not is_settled(counts):
                return 0
            count = count_groups(counts[0])
            value = encode_division(count)
            await self._store.commit(Transaction(((key, 0),), ((key, value),)))
            logger.info("{} is divided into {} groups", service, count)
            return count
        except TransactionConflictError:
            return 0  # another daemon was first; its value is read next
        except StoredValueError as error:
            logger.error("the division of {} can't be read: {}", service, error.message)
            return 0

    async def _follow_group(self, group: str) -> None:
        known = self.known.setdefault(group, KnownHolder(heard_s=self._clock.now_s()))
        entry = await self._store.get(claim_key(group))
        if entry is not None and claim_fence(entry.revision) > known.fence:
            claimant = _read_claimant(entry.value)
            known.change(claim_fence(entry.revision), claimant, known.heard_s)

    def holder_incarnation(self, group: str) -> str:
        """Names the incarnation that is believed to hold a group; empty if none is."""
        known = self.known.get(group)
        if known is None or not known.incarnation:
            return ""
        is_own = known.incarnation == self.own_incarnation
        if not is_own and self._silence_s(known) > HOLDER_SILENCE_S:
            return ""
        return known.incarnation

    def known_fence(self, group: str) -> int:
        """Returns the fence of the newest holder that is known; 0 if none is."""
        known = self.known.get(group)
        return known.fence if known is not None else 0

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
        if group in self._claiming or self.is_leaving:
            return
        known = self.known[group]
        has_store = self._has_store()
        if group in self.holders:
            if has_store and known.fence % FENCES_PER_CLAIM:
                known.is_leaving = True
                self.holders[group].tenure.end("the store is back: a claim takes its place")
            return
        observation = HolderObservation(
            self._silence_s(known),
            bool(known.incarnation) and bool(self._network.links(known.incarnation)),
            known.is_leaving,
        )
        if not is_suspect(observation):
            return
        members = [m for m in self.live_members() if m.identity.incarnation != known.incarnation]
        candidates = [
            Candidate(
                m.identity.daemon_id,
                _read_part(m).get("cores", 0.0),
                _read_part(m).get("holds", 0),
            )
            for m in members
            if m.ready and (not has_store or _read_part(m).get("has_store", True))
        ]
        own = Candidate(self._network.identity.daemon_id, self.cores, self._count_held())
        listed = len(set(self._list_members()) - {own.daemon_id, self._holder_name(known)})
        own_rank = rank(group, own, candidates)
        if self._task_group is None:
            return
        if self._clock.now_s() < self._resting_until_s.get(group, 0.0):
            return
        if has_store and should_claim(observation, own_rank, len(members), listed):
            self._claiming.add(group)
            self._task_group.start_soon(self._claim, group, observation)
        elif not has_store and should_claim(observation, own_rank, listed, listed):
            self._hold_provisionally(group, known, own_rank)

    def _hold_provisionally(self, group: str, known: KnownHolder, own_rank: int) -> None:
        """Becomes the holder without a claim, for the daemons that are reached."""
        fence = provisional_fence(known.fence, own_rank)
        listed = Counter(self._list_members().values())
        own_domain = self._network.identity.failure_domain
        reached = Counter(m.identity.failure_domain for m in self.live_members())
        reached[own_domain] += 1
        if not known.fence or not fence or self._fenced_off.get(group) == known.fence:
            return
        if not may_hold_provisionally(reached, listed, own_domain):
            return
        logger.warning(
            "holding {} without a claim: neither store nor holder is heard",
            group,
            extra={"group": group, "fence": fence, "former": known.fence, "reached": dict(reached)},
        )
        self._fenced_off[group] = fence
        self._claiming.add(group)
        if self._task_group is not None:
            self._task_group.start_soon(self._hold, group, fence, 0)

    def _holder_name(self, known: KnownHolder) -> str:
        for member in self._network.members():
            if member.identity.incarnation == known.incarnation:
                return member.identity.daemon_id
        return ""

    async def _claim(self, group: str, observation: HolderObservation) -> None:
        try:
            revision = await self._try_claim(group)
        except StoreError as error:
            logger.info("claim on {} not made: {}", group, error.message)
            self._resting_until_s[group] = self._clock.now_s() + CLAIM_PAUSE_S
            return
        finally:
            self._claiming.discard(group)
        if revision:
            fence = claim_fence(revision)
            logger.info(
                "claimed {}",
                group,
                extra={
                    "group": group,
                    "fence": fence,
                    "holder_silence_s": round(observation.silence_s, 3),
                    "holder_stream": observation.has_stream,
                    "holder_leaving": observation.is_leaving,
                },
            )
            await self._hold(group, fence, revision)

    async def _try_claim(self, group: str) -> int:
        """Replaces the claim unless it is newer than the known one; returns its revision or 0."""
        known = self.known[group]
        key, seen_fence = claim_key(group), known.fence
        revision = known.fence // FENCES_PER_CLAIM
        if not known.is_leaving:  # else its own heartbeat has just told the claim
            entry = await self._store.get(key)
            revision = entry.revision if entry is not None else 0
            if entry is not None and claim_fence(revision) > known.fence:
                claimant = _read_claimant(entry.value)
                known.change(claim_fence(revision), claimant, self._clock.now_s())
                known.is_leaving = False
                if claimant == self.own_incarnation:
                    return revision  # an earlier try whose answer was lost
            if not may_replace(seen_fence, known.fence, claim_fence(revision)):
                return 0
        identity = self._network.identity
        value = packb({"daemon_id": identity.daemon_id, "incarnation": identity.incarnation})
        try:
            return await self._store.commit(Transaction(((key, revision),), ((key, value),)))
        except TransactionConflictError:
            known.heard_s = self._clock.now_s()
            known.is_leaving = False
            return 0

    async def _hold(self, group: str, fence: int, claim_revision: int) -> None:
        known = self.known[group]
        inherited = known.endpoints
        known.change(fence, self.own_incarnation, self._clock.now_s())
        known.is_leaving = False
        self._claiming.discard(group)
        model = self._models.setdefault(group, RunTimeModel())
        holder = Holder(group, fence, claim_revision, inherited, model, self._context)
        self.holders[group] = holder
        try:
            await holder.run()
        finally:
            del self.holders[group]
            if known.endpoints is not None and known.endpoints.fence < fence:
                known.endpoints = None
            if known.incarnation == self.own_incarnation:
                known.change(known.fence, "", self._clock.now_s())

    def describe_groups(self) -> list[tuple[str, str, float, str]]:
        """Lists gauges of the groups: name, help, value and group."""
        rows = []
        for group, known in self.known.items():
            rows.append(
                (
                    "holder_silence_seconds",
                    "Time since the holder was heard",
                    self._silence_s(known),
                    group,
                )
            )
            holder = self.holders.get(group)
            rows.append(
                ("is_holder", "Whether this daemon is the holder", holder is not None, group)
            )
            if holder is not None:
                usable = sum(
                    e.may_start(self._clock.now_s()) for e in holder.group.endpoints.values()
                )
                rows.append(
                    ("open_jobs", "Jobs that have not ended", len(holder.job_table.jobs), group)
                )
                rows.append(("usable_endpoints", "Endpoints that get tasks", usable, group))
        return [(name, text, float(value), group) for name, text, value, group in rows]

    def _is_entry_alive(self, incarnation: str) -> bool:
        """Tells whether a daemon was heard lately, or is this one."""
        if incarnation == self.own_incarnation:
            return True
        return self._network.time_since_message_s(incarnation) < ENTRY_SILENCE_S

    def _list_entries(self) -> set[str]:
        """Lists the daemons whose jobs are dropped here unless the daemons are heard."""
        return {
            job.entry
            for holder in self.holders.values()
            for job in holder.job_table.jobs.values()
            if job.entry and not job.spec.is_durable
        }

    def _has_store_elsewhere(self) -> bool:
        """Tells whether another daemon may reach the store, as far as is known."""
        fresh = self.live_members()
        if 2 * len(fresh) < len(self._list_members()) - 1:
            return True
        return any(_read_part(m).get("has_store", True) for m in fresh)

    def _notify(self, incarnation: str, message: Any) -> None:
        if incarnation == self.own_incarnation:
            if isinstance(message, JobsEnded):
                self._on_ended(message.states)
        else:
            self._network.notify(incarnation, message)

    def _describe(self) -> dict[str, Any]:
        return {
            "cores": self.cores,
            "holds": self._count_held(),
            "has_store": self._has_store(),
        }

    def _count_held(self) -> int:
        return len(self.holders.keys() | self._claiming)

    def _take_heartbeat(self, sender: DaemonIdentity, message: HolderHeartbeat) -> None:
        known = self.known.setdefault(message.group, KnownHolder())
        if message.fence < known.fence:
            return
        if message.fence > known.fence:
            holder = self.holders.get(message.group)
            if holder is not None:
                holder.tenure.end("another daemon has a newer claim")
            self._telemetry.count("holder_changes", group=message.group)
            logger.info(
                "new holder of {}: {}",
                message.group,
                sender.daemon_id,
                extra={"group": message.group, "fence": message.fence, "former": known.fence},
            )
        known.change(message.fence, sender.incarnation, self._clock.now_s())
        known.is_leaving = message.leaving
        known.endpoints = InheritedEndpoints(message.fence, frozenset(message.endpoints))

    # Serving

    def require_holder(self, group: str) -> Holder:
        """Returns the holder that runs here.

        :raises NotHolderError: if there is none.
        """
        holder = self.holders.get(group)
        if holder is None:
            raise NotHolderError("not the holder", retry_after_s=HEARTBEAT_INTERVAL_S)
        return holder

    async def _answer_submission(
        self, sender: DaemonIdentity, message: JobSubmission
    ) -> JobSubmissionReply:
        holder = self.require_holder(message.group)
        return await holder.submit(message, sender.incarnation)

    async def _answer_state(self, _: DaemonIdentity, message: AskState) -> StateReply:
        return StateReply(await self.require_holder(message.group).find_state(message.job_id))

    async def _answer_cancel(self, _: DaemonIdentity, message: CancelStored) -> StateReply:
        return StateReply(await self.require_holder(message.group).cancel(message.job_id))

    def _take_drop(self, sender: DaemonIdentity, message: DropJob) -> None:
        holder = self.holders.get(message.group)
        if holder is not None:
            holder.drop(message.job_id, f"its caller at {sender.daemon_id} has gone")

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
