"""Wires the components of a daemon together and runs them until a planned stop."""

import json
import signal
from random import Random
from secrets import token_hex

from anyio import (
    Event,
    create_task_group,
    open_signal_receiver,
    sleep,
)
from logbook import Logger
from starlette.applications import Starlette
from starlette.exceptions import HTTPException

from berylproxy.admit.answers import answer_http_error, answer_internal_error
from berylproxy.admit.api import CallerApi
from berylproxy.admit.authorization import OperatorAuthorizer
from berylproxy.clock import MonotonicClock
from berylproxy.constants import MAX_PEER_MESSAGE_BYTES
from berylproxy.daemon.http_server import format_bound_address, serve_http
from berylproxy.daemon.leaving_hosts import LeavingHostWatcher
from berylproxy.daemon.monitoring import MonitoringApi, make_metrics_route
from berylproxy.deduplicate.claims import ClaimRegistry
from berylproxy.deduplicate.identifiers import IdentifierMint
from berylproxy.deduplicate.messages import JOB_MESSAGES, CancelJob, FetchJob, SubmitJob
from berylproxy.deduplicate.registry import JobRegistry
from berylproxy.deduplicate.router import JobRouter
from berylproxy.environment import Environment
from berylproxy.listeners import open_listener
from berylproxy.metrics import Metrics
from berylproxy.models import DaemonIdentity
from berylproxy.peers.codec import MessageCodec
from berylproxy.peers.membership import Member, MemberStatus
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.peers.settings import PeerSettings
from berylproxy.pipeline import Pipeline
from berylproxy.place.messages import PLACE_MESSAGES
from berylproxy.records.api import make_record_routes
from berylproxy.records.editor import RecordEditor
from berylproxy.records.evacuation import (
    list_evacuated_domains,
    log_evacuations,
    mark_evacuated_endpoints,
)
from berylproxy.records.leaving import mark_leaving_endpoints
from berylproxy.records.messages import FetchRecords, Records, RecordsAccepted
from berylproxy.records.spread import CONFIG_PART, RecordReplicator
from berylproxy.records.view import RecordView
from berylproxy.records.watcher import RecordWatcher
from berylproxy.send.sender import TaskSender
from berylproxy.settings import Settings
from berylproxy.store.etcd import EtcdStore
from berylproxy.tracing import Tracer
from berylproxy.usage.api import UsageApi
from berylproxy.usage.counters import UsageCounters
from berylproxy.usage.recorder import UsageRecorder

IDENTIFIER_VALIDITY_S = 600.0
ANSWER_RETENTION_S = 1_200.0
HOUSEKEEPING_INTERVAL_S = 1.0
STORE_TIMEOUT_S = 3.0
PEER_DRAIN_TIMEOUT_S = 2.0
INCARNATION_BYTES = 6

logger = Logger(__name__)


class Application:
    """One daemon process with all of its components.

    :param env: one JSON line with the bound addresses is written to its standard output as soon as
        the daemon serves.
    """

    def __init__(self, settings: Settings, env: Environment) -> None:
        self._settings = settings
        self._env = env
        self._random = Random()
        clock = MonotonicClock()
        identity = DaemonIdentity(
            settings.daemon_id,
            token_hex(INCARNATION_BYTES),
            settings.failure_domain,
            settings.peer_address,
        )
        self._network = self._make_network(identity)
        self._store = EtcdStore(settings.store_urls, STORE_TIMEOUT_S)
        self._view = RecordView()
        self._watcher = RecordWatcher(self._store, self._view, self._random)
        self._replicator = RecordReplicator(self._view, self._network, self._random)
        self._tracer = Tracer(settings.trace_target, settings.daemon_id, settings.failure_domain)
        self._sender = TaskSender(clock, self._count_daemons)
        self._mint = IdentifierMint(identity.incarnation, clock, IDENTIFIER_VALIDITY_S)
        self._registry = JobRegistry(self._mint, clock, ANSWER_RETENTION_S)
        usage = UsageCounters()
        self._usage_recorder = UsageRecorder(self._store, identity, usage)
        self._pipeline = Pipeline(
            identity,
            clock,
            self._registry,
            self._sender,
            self._tracer,
            usage,
            self._network.notify,
            lambda incarnation: bool(self._network.links(incarnation)),
        )
        self._router = JobRouter(
            identity.incarnation,
            clock,
            self._mint,
            self._registry,
            self._network,
            ClaimRegistry(self._store, clock),
            self._tracer,
            self._pipeline.admission.check,
            self._pipeline.submit,
            self._pipeline.cancel,
        )
        self._operator_authorizer = OperatorAuthorizer(settings.operator_tokens)
        self._monitoring_api = MonitoringApi(
            lambda: self._network.identity,
            self._network,
            self._view,
            self._watcher,
            self._replicator,
            self._pipeline,
            self._operator_authorizer.authorize,
        )
        self._evacuated_domains: frozenset[str] = frozenset()
        self._leaving_host_watcher = LeavingHostWatcher(
            settings.vm_list_url, self._apply_configuration
        )
        self._dead_incarnations: set[str] = set()
        self._http_stopped = Event()
        self._register_handlers()

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then drains and stops.

        Requests in flight are completed unless they exceed the drain timeout.
        """
        listener = open_listener(self._settings.http_address, hint="choose another --http-address")
        http_address = format_bound_address(listener)
        application = self._make_http_application()
        async with create_task_group() as task_group:
            peer_address = await task_group.start(self._network.run)
            task_group.start_soon(self._watcher.run)
            task_group.start_soon(self._replicator.run)
            task_group.start_soon(self._pipeline.run, task_group)
            task_group.start_soon(self._usage_recorder.run)
            task_group.start_soon(self._run_housekeeping)
            if self._settings.vm_list_url:
                task_group.start_soon(self._leaving_host_watcher.run)
            self._update_members()
            async with create_task_group() as http_task_group:
                http_task_group.start_soon(
                    serve_http, application, listener, self._settings, self._http_stopped.wait
                )
                self._announce_addresses(http_address, peer_address)
                await self._wait_for_stop_and_drain()
            await self._usage_recorder.record_final()
            await self._network.drain(PEER_DRAIN_TIMEOUT_S)
            task_group.cancel_scope.cancel()
        await self._close()

    def _make_network(self, identity: DaemonIdentity) -> TcpPeerNetwork:
        settings = self._settings
        peer_settings = PeerSettings(
            listen_address=settings.peer_listen_address or settings.peer_address,
            addresses=settings.peers,
            cluster=settings.cluster,
            keys=tuple(key.encode() for key in settings.peer_keys),
            max_message_bytes=MAX_PEER_MESSAGE_BYTES,
            max_queued_bytes=2 * MAX_PEER_MESSAGE_BYTES,
        )
        codec = MessageCodec(
            (*PLACE_MESSAGES, *JOB_MESSAGES, FetchRecords, Records, RecordsAccepted)
        )
        return TcpPeerNetwork(identity, peer_settings, codec, Logger("berylproxy.peers"))

    def _register_handlers(self) -> None:
        network = self._network
        for message_type in (SubmitJob, FetchJob, CancelJob):
            network.handle_request(message_type, lambda _, message: self._router.handle(message))
        for message_type in PLACE_MESSAGES:
            network.handle_notice(
                message_type,
                lambda sender, message: self._pipeline.receive(sender.incarnation, message),
            )
        network.handle_request(FetchRecords, self._answer_fetch)
        network.handle_notice(
            RecordsAccepted, lambda _, message: self._replicator.handle_accepted(message)
        )
        network.add_heartbeat_part(CONFIG_PART, self._replicator.make_heartbeat_part)
        network.on_change(self._handle_member_change)
        self._view.subscribe(lambda _: self._apply_configuration())

    def _make_http_application(self) -> Starlette:
        api = CallerApi(
            self._router,
            self._tracer,
            lambda: self._view.configuration,
            lambda: self._view.is_loaded and self._pipeline.admission.accepts_new_jobs,
            IDENTIFIER_VALIDITY_S,
        )
        editor = RecordEditor(
            self._store, self._view, self._replicator, lambda: self._watcher.accepts_writes
        )
        metrics = Metrics()
        metrics.add_source(self._monitoring_api.collect_samples)
        routes = [
            *api.routes(),
            *make_record_routes(self._view, editor, self._operator_authorizer.authorize),
            *self._monitoring_api.routes(),
            *UsageApi(self._store, self._operator_authorizer.authorize).routes(),
            make_metrics_route(metrics),
        ]
        handlers = {HTTPException: answer_http_error, Exception: answer_internal_error}
        return Starlette(routes=routes, exception_handlers=handlers)

    def _announce_addresses(self, http_address: str, peer_address: str) -> None:
        if not self._settings.operator_tokens:
            logger.warning("no operator tokens are set: serving on loopback addresses only")
        logger.info("serving on {}, peers on {}", http_address, peer_address)
        addresses = {"http_address": http_address, "peer_address": peer_address}
        self._env.stdout.write(json.dumps(addresses) + "\n")
        self._env.stdout.flush()

    async def _answer_fetch(self, _: DaemonIdentity, message: FetchRecords) -> Records:
        return self._replicator.handle_fetch(message)

    def _count_daemons(self) -> int:
        return 1 + sum(member.status is not MemberStatus.DEAD for member in self._network.members())

    def _handle_member_change(self, member: Member) -> None:
        incarnation = member.identity.incarnation
        if member.status is not MemberStatus.DEAD:
            # A member that was declared dead by mistake may still die later.
            self._dead_incarnations.discard(incarnation)
        elif incarnation not in self._dead_incarnations:
            self._dead_incarnations.add(incarnation)
            self._pipeline.forget_home(incarnation)
        self._update_members()

    def _update_members(self) -> None:
        ready_identities = [
            member.identity
            for member in self._network.members()
            if member.status is MemberStatus.ALIVE and member.ready
        ]
        if not ready_identities or not self._pipeline.is_stopping:
            ready_identities.append(self._network.identity)
        self._pipeline.update_members(ready_identities)

    def _apply_configuration(self) -> None:
        configuration = self._view.configuration
        evacuated = list_evacuated_domains(configuration)
        log_evacuations(self._evacuated_domains, evacuated, configuration.revision)
        self._evacuated_domains = evacuated
        configuration = mark_evacuated_endpoints(configuration, evacuated)
        self._pipeline.configure(
            mark_leaving_endpoints(configuration, self._leaving_host_watcher.hosts)
        )

    async def _run_housekeeping(self) -> None:
        while True:
            await sleep(HOUSEKEEPING_INTERVAL_S)
            self._registry.evict_old_jobs()
            await self._sender.close_expired()

    async def _wait_for_stop_and_drain(self) -> None:
        with open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        logger.info("stopping: new jobs are refused after {} s", self._settings.drain_grace_s)
        self._pipeline.is_stopping = True
        self._network.announce_leaving()
        self._update_members()
        await sleep(self._settings.drain_grace_s)
        self._pipeline.admission.accepts_new_jobs = False
        if not await self._pipeline.wait_until_idle(self._settings.drain_timeout_s):
            logger.warning("stopping with jobs unfinished after the drain timeout")
        self._http_stopped.set()

    async def _close(self) -> None:
        await self._sender.close()
        await self._store.close()
        self._tracer.close()
