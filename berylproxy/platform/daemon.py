"""Assembles the daemon for the users' platform and runs it until a planned stop."""

from collections.abc import Iterable, Sequence
from secrets import token_hex
from socket import socket
from time import monotonic
from typing import Any

import orjson
from anyio import (
    TASK_STATUS_IGNORED,
    CancelScope,
    Event,
    create_task_group,
    move_on_after,
    open_signal_receiver,
    sleep,
)
from anyio.abc import TaskGroup, TaskStatus
from logbook import Logger

from berylproxy import __version__
from berylproxy.clock import MonotonicClock
from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.durable.entry.frontend import JobFrontend
from berylproxy.durable.entry.view import DaemonView
from berylproxy.durable.holding.coordinator import GroupCoordinator
from berylproxy.durable.holding.records import ROOT
from berylproxy.durable.jobs.messages import ANNOUNCED_MESSAGES, DURABLE_MESSAGES
from berylproxy.durable.jobs.ports import Transaction, TransactionConflictError
from berylproxy.durable.orders.telemetry import Telemetry
from berylproxy.http_limits import HttpLimits
from berylproxy.http_server import HttpServer
from berylproxy.metrics import Sample
from berylproxy.models import DaemonIdentity
from berylproxy.peers.codec import MessageCodec
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.peers.settings import PeerSettings
from berylproxy.platform.callers import (
    READ_HEADERS,
    CallerApplication,
    StartingApplication,
)
from berylproxy.platform.configuration import (
    ConfigurationInvalidError,
    PlatformConfiguration,
    decode_configuration,
)
from berylproxy.platform.endpoints import PlatformEndpoints
from berylproxy.platform.members import MEMBER_PREFIX, MemberList
from berylproxy.platform.operator_watch import OperatorWatch
from berylproxy.platform.own_member import OwnMemberRecord
from berylproxy.platform.reload import SettingsWatcher
from berylproxy.platform.settings import PlatformSettings
from berylproxy.platform.store import PlatformStore
from berylproxy.signals import HANDLED_SIGNALS, RELOAD_SIGNAL, release_signals
from berylproxy.store.port import StoreError

PEER_KEY_RECORD = ROOT + "peer-key"
PEER_KEY_BYTES = 32
MEMBER_RENEWAL_INTERVAL_S = 2.0
MEMBER_LIST_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.1
INCARNATION_BYTES = 6
# Without the store and a holder for longer, the daemon is not ready: new callers go to others.
MAX_STORE_SILENCE_S = 3.0
BALANCER_DETECTION_S = 2.5  # the load balancer probes once a second; two failures remove a daemon
DRAIN_SHARE = 0.85  # of the grace time; jobs unfinished after it are answered as unknown
LAST_RESPONSES_TIMEOUT_S = 0.4  # for writing the last responses
KEEP_ALIVE_S = 60.0

logger = Logger(__name__)


class PlatformDaemon:
    """One daemon on the users' platform.

    :param listeners: listening sockets for callers, readiness probes and operators.
    """

    def __init__(
        self, settings: PlatformSettings, settings_path: str, listeners: Sequence[socket]
    ) -> None:
        self._settings = settings
        self._listeners = listeners
        self._starting_application = StartingApplication()
        self._settings_watcher = SettingsWatcher(settings_path, settings, self._apply_settings)
        self._clock = MonotonicClock()
        self._store = PlatformStore(settings.store_address)
        self._endpoints = PlatformEndpoints(self._store, settings.longest_lease_s)
        self._configuration = PlatformConfiguration()
        self._evacuations = EvacuatedDomains()
        self._operator_watch = OperatorWatch(
            self._store, self._apply_configuration, self._evacuations
        )
        self._member_list = MemberList()
        self._member_domains: dict[str, str] = {}
        self._is_stopping = False
        self._is_ready = True
        self._stopped = Event()
        self._coordinator: GroupCoordinator | None = None
        self._start_ended = Event()
        self._groups_changed = Event()
        self._configured = Event()

    async def run(self) -> None:
        """Runs until SIGTERM, then stops without aborting requests in flight."""
        settings = self._settings
        self._identity = DaemonIdentity(
            settings.daemon_id,
            token_hex(INCARNATION_BYTES),
            settings.failure_domain,
            settings.peer_address,
        )
        async with create_task_group() as task_group:
            self._store_wait = CancelScope()
            await task_group.start(self._handle_signals)
            task_group.start_soon(self._settings_watcher.run)
            task_group.start_soon(self._serve, task_group.cancel_scope)
            key = None
            with self._store_wait:
                key = await self._fetch_peer_key()
            if key is not None:
                await self._start(task_group, settings, key)
            self._start_ended.set()
        logger.info("stopped")

    async def _start(self, task_group: TaskGroup, settings: PlatformSettings, key: bytes) -> None:
        """Builds the daemon's parts and starts them in the task group.

        :param settings: the settings at the start of the process.
        :param key: shared key of the daemons.
        """
        telemetry = Telemetry()
        self._network = TcpPeerNetwork(
            self._identity,
            _make_peer_settings(settings, key),
            MessageCodec((*DURABLE_MESSAGES, *ANNOUNCED_MESSAGES)),
            Logger("berylproxy.peers"),
        )
        self._coordinator = GroupCoordinator(
            self._network,
            self._store,
            self._endpoints,
            self._clock,
            settings.cores,
            lambda: self._member_domains,
            lambda: self._store.is_reachable,
            lambda states: self._frontend.record_ended_jobs(states),
            telemetry,
            self._evacuations,
        )
        self._apply_to_coordinator(self._settings)
        telemetry.add_gauges(self._coordinator.list_group_gauges)
        telemetry.metrics.add_source(self._evacuations.list_gauges)
        telemetry.metrics.add_source(self._coordinator.list_share_samples)
        telemetry.metrics.add_source(self._list_samples)
        self._frontend = JobFrontend(
            self._network, self._coordinator, self._store, self._clock, telemetry
        )
        self._application = CallerApplication(
            self._frontend,
            lambda: self._configuration,
            self._configured.wait,
            self._is_accepting,
            lambda: self._is_stopping,
            telemetry,
            self._describe,
        )
        await task_group.start(self._network.run)
        task_group.start_soon(self._operator_watch.run)
        task_group.start_soon(self._maintain_membership)
        task_group.start_soon(self._track_groups)
        task_group.start_soon(self._coordinator.run)
        self._starting_application.start(self._application)
        logger.info("serving on {}", settings.callers_address)

    async def _serve(self, all_parts: CancelScope) -> None:
        """Serves from the start until the planned stop is over, then ends all other parts."""
        settings = self._settings
        limits = HttpLimits.for_process(settings.memory_mb, settings.max_descriptors)
        server = HttpServer(self._starting_application, KEEP_ALIVE_S, READ_HEADERS, limits)
        if not await server.serve(self._listeners, self._stopped.wait, LAST_RESPONSES_TIMEOUT_S):
            logger.warning("stopped before all requests were answered")
        all_parts.cancel()

    def _describe(self) -> dict[str, Any]:
        view = DaemonView(self._network, self._coordinator, self._clock)
        return view.describe(
            {
                "ready": self._is_accepting(),
                "version": __version__,
                "config_version": self._configuration.version,
                "queues": [route.terms.queue for route in self._configuration.routes],
                "store_ok": self._store.is_reachable,
                "store_heard_s_ago": round(monotonic() - self._store.last_contact_s, 3),
            }
        )

    def _list_samples(self) -> Iterable[Sample]:
        """Returns what the daemon has read from the store, and which of its calls failed."""
        version = self._configuration.version
        yield Sample(
            "berylproxy_config_version", "Version of the configuration in force", version, {}
        )
        age_s = monotonic() - self._operator_watch.last_read_s
        help_text = "Time since the operator's keys were known to be up to date"
        yield Sample("berylproxy_config_age_seconds", help_text, age_s, {})
        for (call, reason), count in self._store.failed_calls.items():
            help_text = "Calls to the store that failed, by kind and reason"
            labels = {"call": call, "reason": reason}
            yield Sample("berylproxy_store_calls_failed_total", help_text, count, labels)

    def _apply_settings(self, settings: PlatformSettings) -> None:
        """Applies the settings that take effect without a restart."""
        if settings.store_address != self._settings.store_address:
            self._store.change_address(settings.store_address)
        self._endpoints.longest_lease_s = settings.longest_lease_s
        self._apply_to_coordinator(settings)
        self._settings = settings

    def _apply_to_coordinator(self, settings: PlatformSettings) -> None:
        if self._coordinator is None:
            return
        self._coordinator.cores = settings.cores
        self._coordinator.link_mbps = settings.link_mbps
        self._coordinator.remote_factor = settings.remote_factor
        self._coordinator.neighbour_mode = settings.neighbour_mode

    def _is_accepting(self) -> bool:
        if self._is_stopping or not self._configuration.version:
            return False
        store_silence_s = monotonic() - self._store.last_contact_s
        has_holder = any(
            self._coordinator.holder_incarnation(group) for group in self._coordinator.known_holders
        )
        return has_holder or store_silence_s < MAX_STORE_SILENCE_S

    async def _fetch_peer_key(self) -> bytes:
        """Returns the key that all daemons share; creates it if there is none yet."""
        while True:
            try:
                entry = await self._store.get(PEER_KEY_RECORD)
                if entry is not None:
                    return entry.value
                key = token_hex(PEER_KEY_BYTES).encode()
                change = Transaction(((PEER_KEY_RECORD, 0),), ((PEER_KEY_RECORD, key),))
                await self._store.commit(change)
                return key
            except TransactionConflictError:
                continue
            except StoreError as error:
                logger.info("the store is not available yet: {}", error.message)
                await sleep(RETRY_DELAY_S)

    async def _track_groups(self) -> None:
        """Passes new groups to the coordinator without delaying the watch of the configuration."""
        while True:
            await self._groups_changed.wait()
            self._groups_changed = Event()
            self._coordinator.note_configuration(set(self._configuration.services))
            while not await self._follow_services():
                with move_on_after(RETRY_DELAY_S):
                    await self._groups_changed.wait()
                    break

    async def _follow_services(self) -> bool:
        """Tracks the groups of the configured services; returns whether all are known."""
        try:
            return await self._coordinator.follow_services(set(self._configuration.services))
        except StoreError as error:
            logger.info("the groups can't be loaded yet: {}", error.message)
            return False

    def _apply_configuration(self, value: bytes) -> None:
        try:
            configuration = decode_configuration(value)
        except ConfigurationInvalidError as error:
            logger.error("configuration rejected: {}", error.message)
            return
        if configuration.version <= self._configuration.version:
            return
        logger.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "former": self._configuration.version,
                "routes": len(configuration.routes),
            },
        )
        self._configuration = configuration
        self._configured.set()
        self._groups_changed.set()

    async def _maintain_membership(self) -> None:
        """Keeps this daemon in the store's list of members and connects to the others."""
        renewed_s = 0.0
        value = orjson.dumps(
            {
                "peer_address": self._identity.peer_address,
                "failure_domain": self._identity.failure_domain,
            }
        )
        record = OwnMemberRecord(self._store, MEMBER_PREFIX + self._settings.daemon_id, value)
        while True:
            try:
                is_due = monotonic() - renewed_s >= MEMBER_RENEWAL_INTERVAL_S
                if is_due and not self._is_stopping and await record.renew():
                    renewed_s = monotonic()
                await self._refresh_members(record)
                await sleep(
                    MEMBER_LIST_INTERVAL_S if len(self._member_domains) > 1 else RETRY_DELAY_S
                )
            except StoreError as error:
                logger.debug("the list of members is not available: {}", error.message)
                await sleep(RETRY_DELAY_S)

    async def _refresh_members(self, record: OwnMemberRecord) -> None:
        page = await self._store.read_all(MEMBER_PREFIX, may_be_stale=len(self._member_domains) > 1)
        record.note_listed(page.entries, is_complete=not page.has_more)
        members = self._member_list.decode(page.entries)
        for member in members.values():
            if member.peer_address != self._identity.peer_address:
                self._network.add_address(member.peer_address)
        self._member_domains = {name: m.failure_domain for name, m in members.items()}

    async def _handle_signals(self, *, task_status: TaskStatus[None] = TASK_STATUS_IGNORED) -> None:
        """Starts the planned stop on SIGTERM or SIGINT and reloads the settings on SIGHUP.

        Later signals neither speed up nor interrupt a stop.
        """
        with open_signal_receiver(*HANDLED_SIGNALS) as signals:
            release_signals()
            task_status.started()
            async with create_task_group() as task_group:
                async for number in signals:
                    if number == RELOAD_SIGNAL:
                        self._settings_watcher.request_reload()
                    elif self._is_stopping:
                        logger.info("received another stop signal; already stopping")
                    else:
                        self._is_stopping = True
                        task_group.start_soon(self._stop)

    async def _stop(self) -> None:
        """Answers the requests in flight, within the time before SIGKILL."""
        logger.info("stopping")
        self._store_wait.cancel()
        await self._start_ended.wait()
        if self._coordinator is None:  # nothing is served yet
            self._starting_application.give_up()
            self._stopped.set()
            return
        self._coordinator.leave()
        self._network.announce_leaving()
        with move_on_after(self._settings.stop_grace_s * DRAIN_SHARE):
            await sleep(min(BALANCER_DETECTION_S, self._settings.stop_grace_s / 2))
            await self._application.wait_until_idle()
        self._application.abandon_waiting_requests()
        self._stopped.set()


def _make_peer_settings(settings: PlatformSettings, key: bytes) -> PeerSettings:
    return PeerSettings(
        listen_address=settings.peer_address,
        keys=(key,),
        heartbeat_interval_s=0.4,
        heartbeats_per_interval=4,
        heartbeat_timeout_s=0.4,
        indirect_timeout_s=0.4,
        dead_after_s=1.0,
        forget_after_s=30.0,
        redial_min_delay_s=0.04,  # a killed daemon refuses the redial, so its groups are claimed
        redial_max_delay_s=0.5,
        handshake_timeout_s=0.5,
    )
