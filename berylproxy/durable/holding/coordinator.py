"""Tracks the holder of each endpoint group, and runs this daemon's own tenures as a holder.

A daemon that finds a holder silent or about to leave claims the group in the store and becomes its
holder. While the store is unavailable it may become a provisional holder, without a claim.
"""

from collections import Counter
from collections.abc import Callable, Set
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from anyio import Event, create_task_group, move_on_after, sleep
from anyio.abc import TaskGroup
from logbook import Logger
from msgpack import unpackb

from berylproxy.clock import Clock
from berylproxy.durable.decisions.routing import (
    MAX_ROOM_AGE_S,
    GroupChoice,
    count_needed_millicores,
    route_job,
)
from berylproxy.durable.endpoints.capacity_spread import CapacitySpread
from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.durable.endpoints.evacuation_spread import EvacuationSpread
from berylproxy.durable.endpoints.fleet import EndpointList
from berylproxy.durable.endpoints.neighbour_mode import NeighbourMode
from berylproxy.durable.endpoints.neighbours import NeighbourModel
from berylproxy.durable.holding.contention import (
    BROKEN_STREAM_TIMEOUT_S,
    FENCES_PER_CLAIM,
    HEARTBEAT_INTERVAL_S,
    Candidate,
    HolderObservation,
    choose_watchers,
    claim_fence,
    is_minority,
    is_provisional,
    is_suspect,
    may_hold_provisionally,
    may_replace_claim,
    provisional_fence,
    rank,
    should_claim,
    should_hold_provisionally,
    yields_to_equal,
)
from berylproxy.durable.holding.context import HolderContext, InheritedEndpoints
from berylproxy.durable.holding.divisions import ServiceDivisions
from berylproxy.durable.holding.groups import count_carried_endpoints, service_of_group
from berylproxy.durable.holding.ledger import NotHolderError, TenureLostError
from berylproxy.durable.holding.records import (
    CLAIM_PREFIX,
    StoredValueError,
    adopt_model,
    claim_key,
    decode_pairs,
    encode_claim,
    is_claim_released,
    model_key,
)
from berylproxy.durable.holding.tombstones import Tombstones
from berylproxy.durable.holding.tracked_groups import GroupEvent, TrackedGroups
from berylproxy.durable.holding.waiting_callers import WaitingCallers
from berylproxy.durable.holding.withdrawals import Withdrawals
from berylproxy.durable.jobs.messages import (
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
from berylproxy.durable.jobs.models import DEFAULT_REMOTE_FACTOR, EndpointInfo, JobSpec
from berylproxy.durable.jobs.ports import (
    EndpointDirectory,
    JobStore,
    Transaction,
    TransactionConflictError,
)
from berylproxy.durable.learning.estimates import RunTimeModel
from berylproxy.durable.orders.telemetry import Telemetry, make_share_samples
from berylproxy.metrics import Sample
from berylproxy.models import DaemonIdentity
from berylproxy.peers.membership import Member, MemberStatus
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.store.port import StoreError

if TYPE_CHECKING:
    from berylproxy.durable.holding.holder import Holder

HOLDER_CHECK_INTERVAL_S = 0.05
OWN_PAUSE_S = 0.15  # between two checks of a daemon that was stopped or got no processor time
HEARTBEAT_PART = "durable"
CLAIM_RETRY_DELAY_S = 0.15  # after a claim that the store did not answer
# Fits the limit of 2 s within which an endpoint that the list shows as leaving must get no more
# tasks.
HOLDER_LIST_INTERVAL_S = 0.7
# Each runner's heartbeat changes its entry, so that the list costs its whole size each time. A
# standby daemon reads it anew when it becomes a holder.
STANDBY_LIST_INTERVAL_S = 10.0
EMPTY_LIST_INTERVAL_S = 0.5
LIST_RETRY_DELAY_S = 0.05
MODEL_REFRESH_INTERVAL_S = 2.0  # maximum age of the run times that a new holder starts with
# Configurations and heartbeats tell of new divisions sooner. One is missed by a daemon that was cut
# off from the service's holder and had no configuration with the service.
DIVISION_LIST_INTERVAL_S = 60.0
SHORTEST_DIVISION_LIST_INTERVAL_S = 1.0
# A group of a service that isn't configured, without jobs, is held for as long as this: daemons and
# callers may still act on an earlier configuration.
RELEASE_DELAY_S = 30.0
RELEASE_CHECK_INTERVAL_S = 1.0
ENTRY_DAEMON_TIMEOUT_S = 1.0  # two heartbeats between daemons, and their delays
HOLDER_TIMEOUT_S = 2.0  # no requests are sent to a holder that has been silent for longer

logger = Logger("berylproxy.durable.coordinator")


def _import_holder() -> type["Holder"]:
    """Imports the holder with its decisions at the first claim.

    Few daemons hold a group, and each must serve callers soon after its start.
    """
    from berylproxy.durable.holding.holder import Holder

    return Holder


@dataclass(slots=True)
class KnownHolder:
    """The newest holder of a group that is known to this daemon.

    :ivar fence: the fence of its tenure; 0 if none is known.
    :ivar incarnation: empty if no holder is known, or after a tenure of this daemon has ended.
    :ivar last_seen_s: monotonic time of its last heartbeat or claim; before the first, the time
        at which this daemon began to wait for one.
    :ivar is_leaving: whether it has asked to be replaced.
    :ivar has_ended: whether its process has certainly ended: the claim names this daemon, but an
        earlier process of it.
    :ivar endpoints: the endpoints that it may have used, by its last heartbeat.
    :ivar heartbeat_interval_s: time between its heartbeats to this daemon.
    :ivar room_millicores: processor share that its last heartbeat said to be free, less what this
        daemon has sent since; ``None`` if it is not known.
    :ivar changed: set once the holder has changed; a new event then takes its place.
    """

    fence: int = 0
    incarnation: str = ""
    last_seen_s: float = 0.0
    is_leaving: bool = False
    has_ended: bool = False
    endpoints: InheritedEndpoints | None = None
    room_millicores: int | None = None
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    changed: Event = field(default_factory=Event)

    def may_be_suspect(self, now_s: float) -> bool:
        """Returns whether any daemon might claim the group, as a cheap first check."""
        return (
            self.is_leaving
            or self.has_ended
            or is_provisional(self.fence)
            or (now_s - self.last_seen_s >= BROKEN_STREAM_TIMEOUT_S)
        )

    def set_holder(self, fence: int, incarnation: str, now_s: float) -> None:
        """Records the holder and that it is alive; wakes those that wait for a change of holder."""
        is_different = (fence, incarnation) != (self.fence, self.incarnation)
        self.fence, self.incarnation, self.last_seen_s = fence, incarnation, now_s
        self.has_ended = False
        if is_different:
            changed, self.changed = self.changed, Event()
            changed.set()


class GroupCoordinator:
    """Tracks the holders of all groups, and holds groups itself.

    :ivar known_holders: the newest known holder by group.
    :ivar holders: this daemon's own tenures by group.
    :ivar divisions: the divisions of the services into groups.
    :ivar tracked_groups: the state of each group.
    :ivar cores: processor share of this VM.
    :ivar link_mbps: bandwidth of this VM's link; infinite if it is not known.
    :ivar remote_factor: ratio of a task's run time away from its data to that near its data.
    :ivar evacuations: the evacuated failure domains as this daemon knows them.
    :ivar neighbour_mode: what is done about tasks that slow each other down on one endpoint.
    :ivar withdrawals: tells the holders of jobs for which callers no longer wait.
    :ivar tombstones: keeps jobs from being accepted that were cancelled while nobody had them.
    :ivar waiting_callers: knows for which best-effort jobs callers wait.
    :param list_members: returns the failure domains of the daemons that the store lists, by
        daemon identifier.
    :param has_store: returns whether the store answers this daemon.
    :param on_jobs_ended: called with the final states, by job, of durable jobs that were submitted
        through this daemon.
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
        on_jobs_ended: Callable[[dict[str, str]], None],
        telemetry: Telemetry,
        evacuations: EvacuatedDomains,
    ) -> None:
        self.known_holders: dict[str, KnownHolder] = {}
        self.holders: dict[str, Holder] = {}
        self.is_leaving = False
        self._network = network
        self._store = store
        self._directory = directory
        self._clock = clock
        self.cores = cores
        self.link_mbps = inf
        self.remote_factor = DEFAULT_REMOTE_FACTOR
        self.evacuations = evacuations
        self.neighbour_mode = NeighbourMode.OFF
        self._list_members = list_members
        self._has_store = has_store
        self._endpoint_list = EndpointList()
        self._claim_paused_until_s: dict[str, float] = {}
        self._settled_from_s = inf
        self._checked_s = clock.now_s()
        self._is_check_skipped = False
        self._telemetry = telemetry
        self.waiting_callers = WaitingCallers(
            network, clock, self._is_entry_alive, _tells_awaited_jobs
        )
        self.divisions = ServiceDivisions(
            store, directory, clock, self._list_carried, self._reaches_all_members
        )
        self._context = HolderContext(
            store,
            directory,
            self._endpoint_list,
            evacuations,
            self.divisions.membership,
            clock,
            telemetry,
            self._notify,
            lambda: [member.identity.incarnation for member in self.live_members()],
            self._list_watchers,
            self._may_others_reach_store,
            self._is_entry_alive,
            lambda: self.remote_factor,
            self._failure_domain,
            self.waiting_callers.survey,
            self.list_other_groups,
        )
        self._on_jobs_ended = on_jobs_ended
        self._models: dict[str, RunTimeModel] = {}
        self._neighbours: dict[str, NeighbourModel] = {}
        self._claiming: set[str] = set()
        self.tracked_groups = TrackedGroups()
        self._unused_since_s: dict[str, float] = {}
        self._unlisted_services: set[str] = set()
        self._divisions_outdated = Event()
        self._random = Random()
        self._last_provisional_fences: dict[str, int] = {}
        self._task_group: TaskGroup | None = None
        self._tenure_began = Event()
        network.handle_request(JobSubmission, self._answer_submission)
        network.handle_request(AskState, self._answer_state)
        network.handle_request(CancelStored, self._answer_cancel)
        network.handle_request(AskPending, self._answer_pending)
        network.handle_request(DropJob, self._answer_drop)
        network.handle_notice(DropJob, self._handle_drop)
        network.handle_notice(HolderHeartbeat, self._handle_holder_heartbeat)
        network.handle_notice(JobsEnded, lambda _, message: self._on_jobs_ended(message.states))
        network.add_heartbeat_part(HEARTBEAT_PART, self._describe_for_heartbeat)
        network.prioritize_members(self._list_entry_daemons)
        EvacuationSpread(network, evacuations, clock)
        self.withdrawals = Withdrawals(network, clock)
        self.tombstones = Tombstones(store, clock)
        CapacitySpread(network, self._endpoint_list, clock, self._tells_capacity_of)

    async def run(self) -> None:
        """Checks the holders of all groups periodically until cancelled."""
        async with create_task_group() as task_group:
            self._task_group = task_group
            task_group.start_soon(self._refresh_models)
            task_group.start_soon(self._follow_endpoint_list)
            task_group.start_soon(self._follow_stored_divisions)
            task_group.start_soon(self._release_unused_groups)
            task_group.start_soon(self.withdrawals.run)
            task_group.start_soon(self.tombstones.run)
            while True:
                await sleep(HOLDER_CHECK_INTERVAL_S)
                self._check_holders()

    def _check_holders(self) -> None:
        """Checks the holders of all groups, unless this daemon has just been paused.

        What the holders sent meanwhile is yet to be read. The next check is made in any case, so
        that a daemon that is always slow claims, too.
        """
        now_s = self._clock.now_s()
        was_paused = now_s - self._checked_s > OWN_PAUSE_S
        self._checked_s = now_s
        self._is_check_skipped = was_paused and not self._is_check_skipped
        if self._is_check_skipped:
            return
        for group, known in list(self.known_holders.items()):
            if group in self.holders or known.may_be_suspect(now_s):
                self._check_holder(group)

    async def _refresh_models(self) -> None:
        """Refreshes the learned run times that a new holder starts with, until cancelled."""
        while True:
            for service in self._list_services_with_followed_groups():
                await self._load_run_time_models(service)
            await sleep(MODEL_REFRESH_INTERVAL_S)

    async def _follow_endpoint_list(self) -> None:
        """Reads the endpoint list regularly until cancelled, and at the beginning of each tenure.

        One read serves all groups that this daemon holds.
        """
        while True:
            tenure_began, asked_s = self._tenure_began, self._clock.now_s()
            holders = list(self.holders.values())
            try:
                endpoints = await self._directory.fetch()
                self._endpoint_list.update(endpoints, self._clock.now_s(), asked_s)
                await self._learn_members(holders)
                if holders and await self.divisions.assign_new_endpoints(
                    endpoints, self.holders.keys(), self._endpoint_list.list_vanished(-inf)
                ):
                    self._endpoint_list.update(endpoints, self._clock.now_s(), asked_s)
            except StoreError as error:
                logger.debug("the endpoint list is unavailable: {}", error.message)
                await sleep(LIST_RETRY_DELAY_S if self.holders else EMPTY_LIST_INTERVAL_S)
                continue
            await self._wait_for_next_read(tenure_began)

    async def _learn_members(self, holders: "list[Holder]") -> None:
        """Reads the divisions of new tenures, after the first list that was asked for in them.

        Whatever a former holder has used was listed and assigned before its claim was replaced.

        :param holders: those whose tenures had begun before the list was asked for.
        :raises StoreError: if the store does not answer.
        """
        new = [h for h in holders if h.tenure.claim_revision and not h.group.are_members_known]
        services = {service_of_group(holder.tenure.group) for holder in new}
        refreshed = {service for service in services if await self.divisions.refresh(service)}
        for holder in new:
            if service_of_group(holder.tenure.group) in refreshed and not holder.tenure.is_over:
                holder.group.note_members_known()

    async def _wait_for_next_read(self, tenure_began: Event) -> None:
        """Waits until the endpoint list is to be read again; the interval may change meanwhile."""
        read_s = self._clock.now_s()
        while not tenure_began.is_set():
            remaining_s = read_s + self._endpoint_list_interval_s() - self._clock.now_s()
            if remaining_s <= 0:
                return
            with move_on_after(min(remaining_s, HOLDER_LIST_INTERVAL_S)):
                await tenure_began.wait()

    def _tells_capacity_of(self, info: EndpointInfo) -> bool:
        """Returns whether this daemon tells others of an endpoint's changes of capacity."""
        group = self.divisions.group_of_endpoint(info.service, info.instance.endpoint_id)
        return group in self.holders or self._reads_for_holders()

    def _reads_for_holders(self) -> bool:
        """Returns whether this daemon reads the list for holders that the store turns away."""
        if not self._has_store():
            return False
        members = self.live_members()
        parts = {m.identity.daemon_id: _read_heartbeat_part(m) for m in members}
        have_store = [name for name, part in parts.items() if part.get("has_store", True)]
        are_turned_away = any(
            part.get("holds") and not part.get("has_store", True) for part in parts.values()
        )
        return are_turned_away and self._network.identity.daemon_id <= min(have_store, default="~")

    def _endpoint_list_interval_s(self) -> float:
        if self.holders or self._reads_for_holders():
            return HOLDER_LIST_INTERVAL_S
        return STANDBY_LIST_INTERVAL_S if self._endpoint_list.endpoints else EMPTY_LIST_INTERVAL_S

    async def _load_run_time_models(self, service: str) -> None:
        """Loads the run times that the holders of a service's groups have learned and stored.

        One read of a key prefix, which may be stale and so is cheap, covers all groups. The prefix
        also matches services whose names begin with this service's name; these are skipped.
        """
        groups = {model_key(group): group for group in self.divisions.groups_of(service)}
        try:
            entries, _ = await self._store.list_page(model_key(service), "", may_be_stale=True)
        except StoreError as error:
            logger.debug("the learned run times are unavailable: {}", error.message)
            return
        for entry in entries:
            group = groups.get(entry.key, "")
            if not group:
                continue
            if group not in self.holders:
                self._load_run_time_model(group, entry.value)
            self._load_pairs(group, {group, *self.holders} & set(groups.values()), entry.value)

    def _load_run_time_model(self, group: str, value: bytes) -> None:
        try:
            adopt_model(self._models.setdefault(group, RunTimeModel()), value)
        except StoredValueError as error:
            logger.warning("ignoring the stored run times of {}: {}", group, error.message)

    def _load_pairs(self, group: str, adopting: Set[str], value: bytes) -> None:
        """Lets groups adopt the pairs of kinds that the holder of another group has found."""
        if self.neighbour_mode is NeighbourMode.OFF:
            return
        try:
            pairs = decode_pairs(value)
            for name in adopting:
                if name != group or group not in self.holders:
                    self._find_neighbours(name).adopt(group, pairs, self._clock.now_s())
        except StoredValueError as error:
            logger.warning("ignoring the stored pairs of kinds of {}: {}", group, error.message)
        except ValueError as error:
            logger.warning("ignoring the stored pairs of kinds of {}: {}", group, error)

    def _find_neighbours(self, group: str) -> NeighbourModel:
        """Returns what this daemon knows of a group's kinds that slow each other down."""
        neighbours = self._neighbours.get(group)
        if neighbours is None:
            neighbours = self._neighbours[group] = NeighbourModel(lambda: self.neighbour_mode)
        return neighbours

    async def follow_services(self, services: set[str]) -> bool:
        """Starts to track the groups of services that are new in the configuration.

        :return: whether the groups of all given services are known; if not, call again later.
        :raises StoreError: if the store does not answer.
        """
        for service in services:
            if not self._is_followed(service) and await self.divisions.load(service):
                await self._follow_groups(service, self.divisions.groups_of(service))
        return all(self._is_followed(service) for service in services)

    def _is_followed(self, service: str) -> bool:
        """Returns whether all groups of a service are known and followed."""
        groups = self.divisions.groups_of(service)
        return bool(groups) and all(self.tracked_groups.is_followed(group) for group in groups)

    async def _follow_groups(self, service: str, groups: list[str]) -> None:
        """Starts to follow those groups of a service that aren't followed yet."""
        for group in groups:
            if not self.tracked_groups.is_followed(group):
                await self._follow_group(group)
                self.tracked_groups.apply(group, GroupEvent.CLAIM_READ)
        await self._load_run_time_models(service)

    def note_configuration(self, services: set[str]) -> None:
        """Records which services are configured, and lets the stored divisions be listed anew.

        A version of the configuration that was missed may have named a further service, which got
        jobs.
        """
        self.tracked_groups.note_configuration(services)
        self._unlisted_services.clear()
        self._divisions_outdated.set()

    async def _follow_stored_divisions(self) -> None:
        """Tracks the groups of all divided services until cancelled, whatever the configuration."""
        while True:
            self._divisions_outdated = Event()
            try:
                await self.divisions.list_stored()
                await self.follow_former_services()
            except StoreError as error:
                logger.info("the stored divisions can't be listed yet: {}", error.message)
                await sleep(LIST_RETRY_DELAY_S)
                continue
            await sleep(SHORTEST_DIVISION_LIST_INTERVAL_S)
            with move_on_after(DIVISION_LIST_INTERVAL_S):
                await self._divisions_outdated.wait()

    async def _list_released_groups(self) -> set[str]:
        """Lists the groups whose claims are released."""
        released, after_key, has_more = set(), "", True
        while has_more:
            entries, has_more = await self._store.list_page(CLAIM_PREFIX, after_key)
            for entry in entries:
                after_key = entry.key
                if is_claim_released(entry.value):
                    released.add(entry.key.removeprefix(CLAIM_PREFIX))
        return released

    def _list_services_with_followed_groups(self) -> list[str]:
        followed = self.tracked_groups.list_followed()
        return list(dict.fromkeys(service_of_group(group) for group in followed))

    async def follow_former_services(self) -> None:
        """Follows the groups of all divided services, but for released ones of former services.

        A group that counts as released here may be held again by a daemon that wasn't heard.

        :raises StoreError: if the store does not answer.
        """
        incomplete = {
            service: groups
            for service in self.divisions.list_services()
            if (groups := self.divisions.groups_of(service)) and not self._is_followed(service)
        }
        if not incomplete:
            return
        released = await self._list_released_groups()
        for service, groups in incomplete.items():
            is_configured = self.tracked_groups.is_configured(service)
            needed = [group for group in groups if is_configured or group not in released]
            for group in set(groups).difference(needed):
                if not self.tracked_groups.is_followed(group):
                    self.tracked_groups.apply(group, GroupEvent.RELEASED)
            if not all(self.tracked_groups.is_followed(group) for group in needed):
                await self._follow_groups(service, needed)
                logger.info("following {} by the stored division", ", ".join(needed))

    async def _release_unused_groups(self) -> None:
        """Releases groups that nobody needs until cancelled, so that former services cost nothing.

        All daemons list them with two reads a minute; nobody claims them or asks for their jobs.
        """
        while True:
            await sleep(RELEASE_CHECK_INTERVAL_S)
            now_s = self._clock.now_s()
            for group, holder in list(self.holders.items()):
                if not self.tracked_groups.is_former(group) or not holder.is_unused:
                    self._unused_since_s.pop(group, None)
                elif now_s - self._unused_since_s.setdefault(group, now_s) >= RELEASE_DELAY_S:
                    del self._unused_since_s[group]
                    await holder.release()
                    is_former = self.tracked_groups.is_former(group)  # or configured meanwhile
                    if holder.is_released and is_former:
                        self._forget_group(group)

    def _forget_group(self, group: str) -> None:
        """Stops to track a released group."""
        logger.info("{} is released, as its service is not configured", group)
        self.known_holders.pop(group, None)
        self.tracked_groups.apply(group, GroupEvent.RELEASED)

    def list_other_groups(self, service: str, job_id: str) -> list[str]:
        """Lists the groups in which a job may be if its queue had another service before."""
        groups = self.divisions.other_groups_of_job(service, job_id)
        return [group for group in groups if not self.tracked_groups.is_released(group)]

    def _note_group(self, group: str) -> None:
        """Lets the stored divisions be listed anew if a group that is held belongs to none known.

        They are listed once for each such service, as its division may be unreadable.
        """
        service = service_of_group(group)
        if self.divisions.groups_of(service) or service in self._unlisted_services:
            return
        self._unlisted_services.add(service)
        self._divisions_outdated.set()

    def route_job(self, spec: JobSpec, refused_by: Set[str]) -> GroupChoice:
        """Returns the group to submit a best-effort job to; an empty one if none is known yet.

        :param refused_by: groups that have refused the job.
        """
        own_group = self.divisions.group_of_job(spec.terms.service, spec.job_id)
        rooms = {}
        for group in self.divisions.groups_of(spec.terms.service):
            room_millicores = self._room_millicores(group)
            if room_millicores is not None:
                rooms[group] = room_millicores
        needed_millicores = count_needed_millicores(spec)
        choice = route_job(own_group, rooms, needed_millicores, refused_by, self._random)
        known = self.known_holders.get(choice.group)
        if known is not None and known.room_millicores is not None:
            known.room_millicores -= needed_millicores
        return choice

    def note_refused(self, group: str, room_millicores: int) -> None:
        """Records the room that a holder reports with a refusal."""
        known = self.known_holders.get(group)
        if known is not None:
            known.room_millicores = room_millicores

    def has_room_elsewhere(self, spec: JobSpec, refused_by: Set[str]) -> bool:
        """Returns whether a group that has not refused a job has room for all its tasks."""
        needed_millicores = count_needed_millicores(spec)
        return any(
            (self._room_millicores(group) or 0) >= needed_millicores
            for group in self.divisions.groups_of(spec.terms.service)
            if group not in refused_by
        )

    def _room_millicores(self, group: str) -> int | None:
        """Returns the free processor share of a group; ``None`` if it is unknown or outdated."""
        holder = self.holders.get(group)
        if holder is not None:
            return holder.measure_room_millicores()
        known = self.known_holders.get(group)
        if known is None or self._silence_s(known) > MAX_ROOM_AGE_S:
            return None
        return known.room_millicores

    async def _follow_group(self, group: str) -> None:
        """Starts to track the holder of a group, at first by its claim in the store."""
        known = self.known_holders.setdefault(group, KnownHolder(last_seen_s=self._clock.now_s()))
        entry = await self._store.get(claim_key(group))
        if entry is not None and claim_fence(entry.revision) > known.fence:
            claimant = _read_claimant(entry.value)
            known.set_holder(claim_fence(entry.revision), claimant.incarnation, known.last_seen_s)
            is_own = claimant.daemon_id == self._network.identity.daemon_id
            known.has_ended = is_own and claimant.incarnation != self.own_incarnation

    def holder_incarnation(self, group: str) -> str:
        """Returns the incarnation of a group's presumed holder.

        :return: empty if no holder is known or the known one has been silent for too long.
        """
        known = self.known_holders.get(group)
        if known is None or not known.incarnation:
            return ""
        is_own = known.incarnation == self.own_incarnation
        if not is_own and self._silence_s(known) > HOLDER_TIMEOUT_S:
            return ""
        return known.incarnation

    def known_fence(self, group: str) -> int:
        """Returns the fence of a group's newest known holder; 0 if none is known."""
        known = self.known_holders.get(group)
        return known.fence if known is not None else 0

    @property
    def own_incarnation(self) -> str:
        """This daemon's incarnation."""
        return self._network.identity.incarnation

    def leave(self) -> None:
        """Asks the other daemons to take over all groups that this daemon holds."""
        self.is_leaving = True
        for holder in self.holders.values():
            holder.is_leaving = True
            holder.send_heartbeat()

    def live_members(self) -> list[Member]:
        """Lists the other daemons that are not dead and that this one has open streams to."""
        return [
            member
            for member in self._network.members()
            if member.status is not MemberStatus.DEAD
            and self._network.links(member.identity.incarnation)
        ]

    # Tracking holders and claiming groups

    def _silence_s(self, known: KnownHolder) -> float:
        """Returns the time for which nothing was received from a holder."""
        return self._clock.now_s() - known.last_seen_s

    def _check_holder(self, group: str) -> None:
        """Claims a group whose holder seems to have failed or is leaving.

        Candidates that precede this daemon get the time to claim the group first.

        Without the store this daemon may become a provisional holder only, after those that reach
        the store have had the time to claim the group. A provisional holder is replaced once the
        store is available to this daemon, also if it is this daemon itself.
        """
        if group in self._claiming or self.is_leaving:
            return
        known = self.known_holders[group]
        has_store = self._has_store()
        if group in self.holders:
            if has_store and is_provisional(known.fence):
                known.is_leaving = True
                self.holders[group].tenure.end(
                    "the store is available again, so a holder needs a claim"
                )
            return
        observation = HolderObservation(
            self._silence_s(known),
            self._may_be_connected(known.incarnation),
            known.is_leaving or (has_store and is_provisional(known.fence)),
            known.heartbeat_interval_s,
            known.has_ended,
        )
        if not is_suspect(observation):
            return
        members = [m for m in self.live_members() if m.identity.incarnation != known.incarnation]
        candidates = [
            _make_candidate(m) for m in members if m.ready and (not has_store or _has_store(m))
        ]
        own = Candidate(self._network.identity.daemon_id, self.cores, self._count_held())
        listed_count = len(
            set(self._list_members()) - {own.daemon_id, self._holder_daemon_id(known)}
        )
        own_rank = rank(group, own, candidates)
        if self._task_group is None:
            return
        if self._clock.now_s() < self._claim_paused_until_s.get(group, 0.0):
            return
        settled_s = self._update_settled_s(len(members), listed_count)
        if has_store and should_claim(observation, own_rank, len(members), listed_count, settled_s):
            self._claiming.add(group)
            self._task_group.start_soon(self._claim_group, group, observation, known.fence)
        elif not has_store:
            may_others_claim = any(m.ready and _has_store(m) for m in members)
            if should_hold_provisionally(observation, own_rank, may_others_claim):
                self._hold_provisionally(group, known, own_rank)

    def _update_settled_s(self, reached_count: int, listed_count: int) -> float:
        """Returns for how long this daemon has reached at least half of the others."""
        now_s = self._clock.now_s()
        if is_minority(reached_count, listed_count):
            self._settled_from_s = inf
            return 0.0
        self._settled_from_s = min(self._settled_from_s, now_s)
        return now_s - self._settled_from_s

    def _may_be_connected(self, incarnation: str) -> bool:
        """Returns whether there is a stream to a daemon, or a redial may be about to open one.

        Streams also break while both daemons run. Of a daemon whose process has ended the port
        refuses the redial, so that it becomes suspect.
        """
        if not incarnation:
            return False
        if self._network.links(incarnation):
            return True
        return any(
            member.status is MemberStatus.ALIVE
            for member in self._network.members()
            if member.identity.incarnation == incarnation
        )

    def _hold_provisionally(self, group: str, known: KnownHolder, own_rank: int) -> None:
        """Becomes the provisional holder of a group if this daemon reaches enough others.

        Nothing happens if the newest known fence is that of this daemon's own last provisional
        tenure, which has ended, or if no provisional fence is left.
        """
        fence = provisional_fence(known.fence, own_rank)
        listed_domains = Counter(self._list_members().values())
        own_domain = self._network.identity.failure_domain
        reached_domains = Counter(m.identity.failure_domain for m in self.live_members())
        reached_domains[own_domain] += 1
        if not known.fence or not fence or self._last_provisional_fences.get(group) == known.fence:
            return
        if not may_hold_provisionally(reached_domains, listed_domains, own_domain):
            return
        logger.warning(
            "holding {} provisionally, without a claim: no answer from the store or the holder",
            group,
            extra={
                "group": group,
                "fence": fence,
                "former": known.fence,
                "reached": dict(reached_domains),
            },
        )
        self._last_provisional_fences[group] = fence
        self._claiming.add(group)
        if self._task_group is not None:
            self._task_group.start_soon(self._hold_group, group, fence, 0)

    def _holder_daemon_id(self, known: KnownHolder) -> str:
        """Returns the identifier of a holder's daemon; empty if it is no known member."""
        for member in self._network.members():
            if member.identity.incarnation == known.incarnation:
                return member.identity.daemon_id
        return ""

    async def _claim_group(
        self, group: str, observation: HolderObservation, fence_at_decision: int
    ) -> None:
        """Claims a group and runs a tenure over it, unless another daemon keeps the claim.

        :param fence_at_decision: the newest fence known when the decision to claim was made.
        """
        _import_holder()  # takes a while, in which no other daemon should wait for orders
        try:
            revision = await self._try_claim(group, fence_at_decision)
        except StoreError as error:
            logger.info("cannot claim {}: {}", group, error.message)
            self._claim_paused_until_s[group] = self._clock.now_s() + CLAIM_RETRY_DELAY_S
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
                    "holder_ended": observation.has_ended,
                },
            )
            await self._hold_group(group, fence, revision)

    async def _try_claim(self, group: str, fence_at_decision: int) -> int:
        """Replaces the claim in the store unless it is newer than the known one.

        :param fence_at_decision: the newest fence known when the decision to claim was made.
        :return: revision of this daemon's claim; 0 if another daemon's claim stays in force.
        """
        known = self.known_holders.get(group)
        if known is None or known.fence != fence_at_decision:
            return 0  # it was released meanwhile, or another daemon has taken over
        key, revision = claim_key(group), known.fence // FENCES_PER_CLAIM
        if not known.is_leaving:  # a leaving holder's heartbeat has just reported its claim
            entry = await self._store.get(key)
            revision = entry.revision if entry is not None else 0
            if (
                entry is not None
                and is_claim_released(entry.value)
                and self.tracked_groups.is_former(group)
            ):
                self._forget_group(group)
                return 0
            if entry is not None and claim_fence(revision) > known.fence:
                claimant = _read_claimant(entry.value)
                known.set_holder(claim_fence(revision), claimant.incarnation, self._clock.now_s())
                known.is_leaving = False
                if claimant.incarnation == self.own_incarnation:
                    return revision  # an earlier attempt succeeded, but its answer was lost
            if not may_replace_claim(fence_at_decision, known.fence, claim_fence(revision)):
                return 0
        identity = self._network.identity
        value = encode_claim(identity.daemon_id, identity.incarnation)
        try:
            return await self._store.commit(Transaction(((key, revision),), ((key, value),)))
        except TransactionConflictError:
            known.last_seen_s = self._clock.now_s()
            known.is_leaving = False
            return 0

    async def _hold_group(self, group: str, fence: int, claim_revision: int) -> None:
        """Runs a tenure over a group until it ends.

        :param claim_revision: 0 for a provisional holder.
        """
        known = self.known_holders.setdefault(group, KnownHolder())
        inherited = known.endpoints
        known.set_holder(fence, self.own_incarnation, self._clock.now_s())
        known.is_leaving = False
        self._claiming.discard(group)
        model = self._models.setdefault(group, RunTimeModel())
        neighbours = self._find_neighbours(group)
        holder = _import_holder()(
            group, fence, claim_revision, inherited, model, neighbours, self._context
        )
        self.holders[group] = holder
        tenure_began, self._tenure_began = self._tenure_began, Event()
        tenure_began.set()
        try:
            await holder.run()
        except Exception:  # the daemon also serves callers and may hold other groups
            logger.exception(
                "tenure of group {} ended by an unexpected error",
                group,
                extra=holder.tenure.extra(),
            )
        finally:
            del self.holders[group]
            if known.endpoints is not None and known.endpoints.fence < fence:
                known.endpoints = None
            if known.incarnation == self.own_incarnation:
                known.set_holder(known.fence, "", self._clock.now_s())

    def list_group_gauges(self) -> list[tuple[str, str, float, str]]:
        """Lists the gauges of all groups, each as its name, help text, value and group."""
        rows = []
        for group, known in self.known_holders.items():
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
                left = sum(len(e.runs) for e in holder.group.endpoints.values() if e.is_evacuated)
                text = "Runs left in evacuated failure domains"
                rows.append(("evacuated_endpoint_runs", text, left, group))
                is_scarce = holder.admission.shares.scarcity.is_scarce
                rows.append(("room_scarce", "Whether room is divided by shares", is_scarce, group))
                slowed, suspected, slowest = holder.group.count_uneven_endpoints()
                rows.append(
                    ("slow_endpoints", "Endpoints that are slower than usual", slowed, group)
                )
                rows.append(
                    ("suspected_endpoints", "Endpoints that likely fail runs", suspected, group)
                )
                rows.append(
                    ("slowest_endpoint_speed", "Lowest speed, the mean being 1", slowest, group)
                )
        return [(name, text, float(value), group) for name, text, value, group in rows]

    def list_share_samples(self) -> list[Sample]:
        """Lists the metrics of the claimants of the groups that this daemon holds."""
        return [
            sample
            for group, holder in self.holders.items()
            for sample in make_share_samples(group, holder.list_shares())
        ]

    def _is_entry_alive(self, incarnation: str) -> bool:
        """Returns whether a daemon has sent a message recently, or is this one."""
        if incarnation == self.own_incarnation:
            return True
        return self._network.time_since_message_s(incarnation) < ENTRY_DAEMON_TIMEOUT_S

    def _failure_domain(self, incarnation: str) -> str:
        """Returns the failure domain of a daemon; empty if the daemon is unknown."""
        if incarnation == self.own_incarnation:
            return self._network.identity.failure_domain
        member = self._network.table.get(incarnation)
        return member.identity.failure_domain if member is not None else ""

    def _list_carried(self) -> list[int]:
        """Lists how many endpoints this VM and those of the live members can carry."""
        own = count_carried_endpoints(self.cores, self.link_mbps)
        return [own, *(_read_heartbeat_part(m).get("carries", 1) for m in self.live_members())]

    def _reaches_all_members(self) -> bool:
        """Returns whether there are streams to all other daemons that the store lists."""
        return len(self.live_members()) + 1 >= len(self._list_members())

    def _list_watchers(self, group: str) -> list[str]:
        """Lists the incarnations of the daemons that would hold a group next."""
        members = {
            member.identity.daemon_id: member
            for member in self.live_members()
            if member.ready and _has_store(member)
        }
        candidates = [_make_candidate(member) for member in members.values()]
        return [members[name].identity.incarnation for name in choose_watchers(group, candidates)]

    def _list_entry_daemons(self) -> set[str]:
        """Lists the entry daemons of the best-effort jobs that are held here.

        Their jobs are dropped when nothing is received from them any more, so they must be checked
        often enough.
        """
        return {
            job.entry
            for holder in self.holders.values()
            for job in holder.job_table.jobs.values()
            if job.entry and not job.spec.is_durable
        }

    def _may_others_reach_store(self) -> bool:
        """Returns whether another daemon may reach the store, as far as is known here.

        ``True`` also while this daemon reaches less than half of the others.
        """
        members = self.live_members()
        if 2 * len(members) < len(self._list_members()) - 1:
            return True
        return any(_has_store(m) for m in members)

    def _notify(self, incarnation: str, message: Any) -> None:
        """Sends a message without reply; one to this daemon itself is handled directly."""
        if incarnation == self.own_incarnation:
            if isinstance(message, JobsEnded):
                self._on_jobs_ended(message.states)
        else:
            self._network.notify(incarnation, message)

    def _describe_for_heartbeat(self) -> dict[str, Any]:
        return {
            "cores": self.cores,
            "carries": count_carried_endpoints(self.cores, self.link_mbps),
            "holds": self._count_held(),
            "has_store": self._has_store(),
            "tells_awaited_jobs": True,
        }

    def _count_held(self) -> int:
        """Counts the groups that this daemon holds or is about to hold."""
        return len(self.holders.keys() | self._claiming)

    def _handle_holder_heartbeat(self, sender: DaemonIdentity, message: HolderHeartbeat) -> None:
        """Updates the known holder; a higher fence also ends this daemon's own tenure."""
        self._note_group(message.group)
        known = self.known_holders.get(message.group, KnownHolder())
        if message.fence < known.fence:
            return
        if message.is_released and self.tracked_groups.is_former(message.group):
            self._forget_group(message.group)
            return
        self.known_holders[message.group] = known
        self.tracked_groups.apply(message.group, GroupEvent.HELD)
        holder = self.holders.get(message.group)
        if holder is not None and message.fence == holder.tenure.fence:
            if not yields_to_equal(self.own_incarnation, sender.incarnation):
                return
            holder.tenure.end("another daemon is a provisional holder under the same fence")
        if message.fence > known.fence:
            if holder is not None:
                holder.tenure.end("another daemon is the holder under a higher fence")
            self._telemetry.count("holder_changes", group=message.group)
            logger.info(
                "new holder of {}: {}",
                message.group,
                sender.daemon_id,
                extra={"group": message.group, "fence": message.fence, "former": known.fence},
            )
        known.set_holder(message.fence, sender.incarnation, self._clock.now_s())
        known.is_leaving = message.leaving
        known.endpoints = InheritedEndpoints(message.fence, frozenset(message.endpoints))
        known.room_millicores = message.room_millicores
        known.heartbeat_interval_s = message.interval_s or HEARTBEAT_INTERVAL_S

    # Serving requests as the holder

    def require_holder(self, group: str) -> "Holder":
        """Returns this daemon's own tenure over a group.

        :raises NotHolderError: if this daemon does not hold the group.
        """
        holder = self.holders.get(group)
        if holder is None:
            raise NotHolderError(
                "this daemon is not the holder", retry_after_s=HEARTBEAT_INTERVAL_S
            )
        return holder

    async def _answer_submission(
        self, sender: DaemonIdentity, message: JobSubmission
    ) -> JobSubmissionReply:
        holder = self.require_holder(message.group)
        return await holder.submit(message, sender.incarnation)

    async def _answer_state(self, _: DaemonIdentity, message: AskState) -> StateReply:
        return StateReply(await self.require_holder(message.group).find_state(message.job_id))

    async def _answer_cancel(self, _: DaemonIdentity, message: CancelStored) -> StateReply:
        holder = self.require_holder(message.group)
        return StateReply(await holder.cancel(message.job_id, has_tombstone=message.has_tombstone))

    async def _answer_drop(self, sender: DaemonIdentity, message: DropJob) -> StateReply:
        """Confirms a drop, also without a tenure: its runs are the next holder's matter."""
        self._handle_drop(sender, message)
        return StateReply("")

    def _handle_drop(self, sender: DaemonIdentity, message: DropJob) -> None:
        holder = self.holders.get(message.group)
        if holder is not None:
            reason = f"its caller at {sender.daemon_id} no longer waits"
            holder.withdraw(message, sender.incarnation, reason)

    async def _answer_pending(self, _: DaemonIdentity, message: AskPending) -> PendingReply:
        holder = self.require_holder(message.group)
        if not holder.is_loaded:
            raise TenureLostError("the open jobs are not loaded yet")
        return PendingReply(holder.count_pending(message.queue))


def _read_heartbeat_part(member: Member) -> dict[str, Any]:
    """Returns the part of a member's heartbeats that its coordinator provides."""
    return member.heartbeat.get(HEARTBEAT_PART, {})


def _has_store(member: Member) -> bool:
    """Returns whether the store answers a member, by its last heartbeat."""
    return _read_heartbeat_part(member).get("has_store", True)


def _tells_awaited_jobs(member: Member) -> bool:
    """Returns whether a member's version can be asked for which jobs its callers wait."""
    return _read_heartbeat_part(member).get("tells_awaited_jobs", False)


def _make_candidate(member: Member) -> Candidate:
    part = _read_heartbeat_part(member)
    return Candidate(member.identity.daemon_id, part.get("cores", 0.0), part.get("holds", 0))


class Claimant(NamedTuple):
    """The daemon that a stored claim names; empty fields if the claim is unreadable."""

    daemon_id: str
    incarnation: str


def _read_claimant(value: bytes) -> Claimant:
    try:
        claim = unpackb(value)
        return Claimant(str(claim["daemon_id"]), str(claim["incarnation"]))
    except (ValueError, TypeError, KeyError) as error:
        logger.warning("cannot read a stored claim: {!r}", error)
        return Claimant("", "")
