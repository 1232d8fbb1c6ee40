"""Builds the daemon for the users' platform from its parts and runs it until a planned stop."""

import signal
from asyncio import CancelledError, InvalidStateError
from secrets import token_hex
from time import monotonic
from typing import Any

import orjson
from anyio import Event, create_task_group, move_on_after, open_signal_receiver, sleep
from hypercorn.asyncio import serve
from hypercorn.config import Config
from logbook import Logger

from berylproxy import __version__
from berylproxy.clock import MonotonicClock
from berylproxy.durable.coordinator import GroupCoordinator
from berylproxy.durable.frontend import JobFrontend
from berylproxy.durable.messages import DURABLE_MESSAGES
from berylproxy.durable.ports import Transaction, TransactionConflictError
from berylproxy.durable.records import ROOT
from berylproxy.durable.telemetry import Telemetry
from berylproxy.durable.view import DaemonView
from berylproxy.models import DaemonIdentity
from berylproxy.peers.codec import MessageCodec
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.peers.settings import PeerSettings
from berylproxy.platform.callers import PlatformCallers
from berylproxy.platform.configuration import (
    CONFIGURATION_KEY,
    ConfigurationInvalidError,
    PlatformConfiguration,
    decode_configuration,
)
from berylproxy.platform.endpoints import PlatformEndpoints
from berylproxy.platform.reload import SettingsReader
from berylproxy.platform.settings import PlatformSettings
from berylproxy.platform.store import PlatformStore
from berylproxy.store.errors import StoreCompactedError, StoreLeaseLapsedError
from berylproxy.store.port import StoreError

PEER_KEY_KEY = ROOT + "peer-key"
MEMBER_PREFIX = ROOT + "members/"
PEER_KEY_BYTES = 32
MEMBER_LEASE_S = 6.0  # a lost VM leaves the list in that time
MEMBER_RENEWAL_S = 2.0
MEMBER_LIST_INTERVAL_S = 1.0
CONFIGURATION_WAIT_S = 0.9  # a silent watch shows within the 2 s in which a version must hold
RETRY_PAUSE_S = 0.1
INCARNATION_BYTES = 6
STORE_SILENCE_S = 3.0  # without store and holder for longer, new callers go elsewhere
BALANCER_NOTICE_S = 2.5  # the balancer asks once a second and believes two misses
ANSWERING_SHARE = 0.85  # of the grace time; what is unfinished then is answered as unknown
LAST_ANSWERS_S = 0.4  # for the last answers to be written

logger = Logger(__name__)


class PlatformDaemon:
    """One daemon on the users' platform."""

    def __init__(self, settings: PlatformSettings, settings_path: str) -> None:
        self._settings = settings
        self._settings_reader = SettingsReader(settings_path, settings, self._take_settings)
        self._clock = MonotonicClock()
        self._store = PlatformStore(settings.store_address)
        self._configuration = PlatformConfiguration()
        self._listed: dict[str, str] = {}
        self._is_stopping = False
        self._is_ready = True
        self._stopped = Event()
        self._follow_groups = Event()

    async def run(self) -> None:
        """Runs until SIGTERM, then stops without cutting a request in flight."""
        settings = self._settings
        self._identity = DaemonIdentity(
            settings.daemon_id,
            token_hex(INCARNATION_BYTES),
            settings.failure_domain,
            settings.peer_address,
        )
        self._endpoints = PlatformEndpoints(self._store, settings.longest_lease_s)
        telemetry = Telemetry()
        key = await self._fetch_peer_key()
        self._network = TcpPeerNetwork(
            self._identity,
            _make_peer_settings(settings, key),
            MessageCodec(DURABLE_MESSAGES),
            Logger("berylproxy.peers"),
        )
        self._coordinator = GroupCoordinator(
            self._network,
            self._store,
            self._endpoints,
            self._clock,
            settings.cores,
            lambda: self._listed,
            lambda: self._store.has_contact,
            lambda states: self._frontend.record_ended_jobs(states),
            telemetry,
        )
        self._coordinator.remote_factor = settings.remote_factor
        telemetry.add_gauges(self._coordinator.list_group_gauges)
        self._frontend = JobFrontend(
            self._network, self._coordinator, self._store, self._clock, telemetry
        )
        self._callers = PlatformCallers(
            self._frontend,
            lambda: self._configuration,
            self._check_ready,
            lambda: self._is_stopping,
            telemetry,
            self._describe,
        )
        async with create_task_group() as task_group:
            await task_group.start(self._network.run)
            task_group.start_soon(self._follow_configuration)
            task_group.start_soon(self._follow_members)
            task_group.start_soon(self._keep_groups)
            task_group.start_soon(self._coordinator.run)
            task_group.start_soon(self._settings_reader.run)
            task_group.start_soon(self._follow_signals)
            logger.info("serving on {}", settings.callers_address)
            await self._serve()
            task_group.cancel_scope.cancel()
        logger.info("stopped")

    async def _serve(self) -> None:
        config = Config()
        settings = self._settings
        config.bind = [
            settings.callers_address,
            settings.ready_address,
            settings.metrics_address,
        ]
        config.keep_alive_timeout = 60.0
        config.keep_alive_max_requests = 1_000_000
        config.graceful_timeout = LAST_ANSWERS_S
        config.accesslog = None
        config.errorlog = None
        config.include_server_header = False
        config.include_date_header = False
        try:
            await serve(self._callers, config, shutdown_trigger=self._stopped.wait)
        except (CancelledError, InvalidStateError):
            if not self._stopped.is_set():
                raise
            # hypercorn raises these when requests are left at the end of its graceful timeout
            logger.warning("stopped with requests unanswered")

    def _describe(self) -> dict[str, Any]:
        view = DaemonView(self._network, self._coordinator, self._clock)
        return view.describe(
            {
                "ready": self._check_ready(),
                "version": __version__,
                "config_version": self._configuration.version,
                "queues": [route.terms.queue for route in self._configuration.routes],
                "store_ok": self._store.has_contact,
                "store_heard_s_ago": round(monotonic() - self._store.heard_s, 3),
            }
        )

    def _take_settings(self, settings: PlatformSettings) -> None:
        """Takes over what needs no other connections of callers, daemons or the balancer."""
        if settings.store_address != self._settings.store_address:
            self._store.move(settings.store_address)
        self._endpoints.longest_lease_s = settings.longest_lease_s
        self._coordinator.cores = settings.cores
        self._coordinator.remote_factor = settings.remote_factor
        self._settings = settings

    def _check_ready(self) -> bool:
        if self._is_stopping or not self._configuration.version:
            return False
        store_silence_s = monotonic() - self._store.heard_s
        has_holder = any(
            self._coordinator.holder_incarnation(group) for group in self._coordinator.known_holders
        )
        return has_holder or store_silence_s < STORE_SILENCE_S

    async def _fetch_peer_key(self) -> bytes:
        """Reads the key that all daemons share, or makes it."""
        while True:
            try:
                entry = await self._store.get(PEER_KEY_KEY)
                if entry is not None:
                    return entry.value
                key = token_hex(PEER_KEY_BYTES).encode()
                change = Transaction(((PEER_KEY_KEY, 0),), ((PEER_KEY_KEY, key),))
                await self._store.commit(change)
                return key
            except TransactionConflictError:
                continue
            except StoreError as error:
                logger.info("the store is not available yet: {}", error.message)
                await sleep(RETRY_PAUSE_S)

    async def _follow_configuration(self) -> None:
        revision = 0
        while True:
            try:
                if not revision:
                    revision = await self._read_configuration()
                batch = await self._store.wait_for_changes(
                    CONFIGURATION_KEY, revision, CONFIGURATION_WAIT_S
                )
                for entry in batch.updates:
                    self._take_configuration(entry.value)
                revision = max(revision, batch.revision)
            except StoreCompactedError:
                revision = 0
            except StoreError as error:
                logger.debug("the configuration can't be read: {}", error.message)
                revision = 0
                await sleep(RETRY_PAUSE_S)

    async def _keep_groups(self) -> None:
        """Tells the member of new groups without delaying the configuration."""
        while True:
            await self._follow_groups.wait()
            self._follow_groups = Event()
            try:
                is_complete = await self._coordinator.follow_services(
                    set(self._configuration.services)
                )
            except StoreError as error:
                logger.info("the groups are not known yet: {}", error.message)
                is_complete = False
            if not is_complete:
                self._follow_groups.set()
                await sleep(RETRY_PAUSE_S)

    async def _read_configuration(self) -> int:
        page = await self._store.read_page(CONFIGURATION_KEY)
        for entry in page.entries:
            if entry.key == CONFIGURATION_KEY:
                self._take_configuration(entry.value)
        return page.revision

    def _take_configuration(self, value: bytes) -> None:
        try:
            configuration = decode_configuration(value)
        except ConfigurationInvalidError as error:
            logger.error("configuration not taken: {}", error.message)
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
        self._follow_groups.set()

    async def _follow_members(self) -> None:
        """Keeps this daemon in the store's list of members, and dials the others."""
        lease_id, renewed_s = 0, 0.0
        value = orjson.dumps(
            {
                "peer_address": self._identity.peer_address,
                "failure_domain": self._identity.failure_domain,
            }
        )
        while True:
            try:
                if not self._is_stopping and monotonic() - renewed_s >= MEMBER_RENEWAL_S:
                    if not lease_id or not await self._store.renew_lease(lease_id):
                        lease_id = await self._store.grant_lease(MEMBER_LEASE_S)
                        key = MEMBER_PREFIX + self._settings.daemon_id
                        await self._store.put_with_lease(key, value, lease_id)
                    renewed_s = monotonic()
                await self._list_members()
                await sleep(MEMBER_LIST_INTERVAL_S if len(self._listed) > 1 else RETRY_PAUSE_S)
            except StoreLeaseLapsedError:
                lease_id = 0
            except StoreError as error:
                logger.debug("the list of members is not available: {}", error.message)
                await sleep(RETRY_PAUSE_S)

    async def _list_members(self) -> None:
        page = await self._store.read_page(MEMBER_PREFIX, may_be_stale=len(self._listed) > 1)
        listed = {}
        for entry in page.entries:
            try:
                member = orjson.loads(entry.value)
                address, domain = member["peer_address"], member["failure_domain"]
            except (ValueError, TypeError, KeyError) as error:
                logger.warning("member {} can't be read: {!r}", entry.key, error)
                continue
            listed[entry.key.removeprefix(MEMBER_PREFIX)] = domain
            if address != self._identity.peer_address:
                self._network.add_address(address)
        self._listed = listed

    async def _follow_signals(self) -> None:
        """Stops in order on SIGTERM; later signals neither hasten nor break off the stop."""
        with open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with create_task_group() as task_group:
                async for number in signals:
                    if number == signal.SIGHUP:
                        self._settings_reader.ask()
                    elif self._is_stopping:
                        logger.info("told to stop again; the stop goes on")
                    else:
                        self._is_stopping = True
                        task_group.start_soon(self._stop)

    async def _stop(self) -> None:
        """Answers what is in flight, within the time before SIGKILL."""
        logger.info("stopping")
        self._coordinator.leave()
        self._network.announce_leaving()
        with move_on_after(self._settings.stop_grace_s * ANSWERING_SHARE):
            await sleep(min(BALANCER_NOTICE_S, self._settings.stop_grace_s / 2))
            await self._callers.wait_until_idle()
        self._callers.give_up()
        self._stopped.set()


def _make_peer_settings(settings: PlatformSettings, key: bytes) -> PeerSettings:
    return PeerSettings(
        listen_address=settings.peer_address,
        keys=(key,),
        heartbeat_interval_s=0.4,
        heartbeats_per_interval=8,
        heartbeat_timeout_s=0.4,
        indirect_timeout_s=0.4,
        dead_after_s=1.0,
        forget_after_s=30.0,
        redial_max_delay_s=0.5,
        handshake_timeout_s=0.5,
    )
