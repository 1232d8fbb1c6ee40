"""Daemons over real streams that hold the groups of a service, and callers of their jobs."""

from collections.abc import Callable
from math import inf
from time import monotonic

from anyio import CancelScope, create_task_group, run, sleep
from anyio.abc import TaskGroup
from logbook import Logger

from berylproxy.clock import MonotonicClock
from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.durable.entry.frontend import JobFrontend
from berylproxy.durable.holding.coordinator import GroupCoordinator
from berylproxy.durable.holding.groups import Division, list_groups
from berylproxy.durable.holding.records import division_key, encode_division
from berylproxy.durable.jobs.messages import ANNOUNCED_MESSAGES, DURABLE_MESSAGES
from berylproxy.durable.jobs.models import JobSpec, QueueTerms, Resources, StepSpec
from berylproxy.durable.orders.telemetry import Telemetry
from berylproxy.errors import BerylproxyError
from berylproxy.models import DaemonIdentity
from berylproxy.peers.codec import MessageCodec
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.peers.settings import PeerSettings
from berylproxy.store.port import Entry
from tests.support.endpoint_world import FakeDirectory, FakeJobStore, make_endpoint
from tests.support.runs import find_overlaps

SERVICE = "ledger"
KEY = b"a shared key of the cluster"
CALLER_WAIT_S = 20.0
WAIT_LIMIT_S = 30.0


class WorldDaemon:
    """A daemon without the platform's interfaces.

    :ivar has_store: whether the store answers it, as far as it knows.
    """

    def __init__(self, name: str, world: "ResubmissionWorld", *, cores: float, has_store: bool):
        self.name = name
        self.has_store = has_store
        settings = PeerSettings(
            "127.0.0.1:0",
            keys=(KEY,),
            heartbeat_interval_s=0.4,
            heartbeat_timeout_s=0.4,
            indirect_timeout_s=0.4,
            redial_min_delay_s=0.04,
            redial_max_delay_s=0.5,
        )
        identity = DaemonIdentity(name, f"{name}-incarnation", "a", "")
        codec = MessageCodec((*DURABLE_MESSAGES, *ANNOUNCED_MESSAGES))
        self.network = TcpPeerNetwork(identity, settings, codec, Logger(f"peers-{name}"))
        telemetry, clock = Telemetry(), MonotonicClock()
        self.coordinator = GroupCoordinator(
            self.network,
            world.store,
            world.directory,
            clock,
            cores,
            lambda: {daemon.name: "a" for daemon in world.daemons},
            lambda: self.has_store,
            lambda states: None,
            telemetry,
            EvacuatedDomains(revision=1, confirmed_s=inf),
        )
        self.frontend = JobFrontend(self.network, self.coordinator, world.store, clock, telemetry)

    @property
    def incarnation(self) -> str:
        """The daemon's incarnation."""
        return self.network.identity.incarnation

    def ignore_notices(self, kind: type) -> None:
        """Lets notices of a type have no effect from now on."""
        self.network.handle_notice(kind, lambda sender, message: None)


class ResubmissionWorld:
    """Two groups with a holder each, and two further daemons, through which callers submit.

    :ivar task_group: runs the daemons and the callers.
    """

    def __init__(self, *, endpoints_per_group: int, run_time_s: float) -> None:
        groups = list_groups(SERVICE, 2)
        count = 2 * endpoints_per_group
        self._room_millicores = endpoints_per_group * 64_000
        self.endpoints = [make_endpoint(f"e{number}") for number in range(count)]
        for endpoint in self.endpoints:
            endpoint.run_time_s = run_time_s
        self.store = FakeJobStore()
        self.directory = FakeDirectory(self.endpoints)
        assigned = {f"e{number}": number % len(groups) for number in range(count)}
        value = encode_division(Division(len(groups), assigned))
        self.store.entries[division_key(SERVICE)] = Entry(division_key(SERVICE), value, 10)
        self.groups = groups
        self.daemons: list[WorldDaemon] = []
        for name, cores in (("h0", 4.0), ("h1", 4.0), ("d2", 1.0), ("d3", 1.0)):
            daemon = WorldDaemon(name, self, cores=cores, has_store=cores > 1)
            self.daemons.append(daemon)
        self.entry, self.other_entry = self.daemons[2:]
        self.task_group: TaskGroup | None = None
        self.results: list[object] = []

    async def start(self, task_group: TaskGroup) -> None:
        """Starts the daemons, and waits until the holders are known everywhere."""
        self.task_group = task_group
        addresses = [await task_group.start(daemon.network.run) for daemon in self.daemons]
        for daemon in self.daemons:
            for address in addresses:
                daemon.network.add_address(address)
        for daemon in self.daemons:
            assert await daemon.coordinator.follow_services({SERVICE})
            task_group.start_soon(daemon.coordinator.run)
        await self.wait_until(lambda: all(map(self._knows_rooms, self.daemons)))

    def _knows_rooms(self, daemon: WorldDaemon) -> bool:
        room_of = daemon.coordinator._room_millicores
        return all(room_of(group) == self._room_millicores for group in self.groups)

    def holder_of(self, job_id: str) -> WorldDaemon:
        """Returns the daemon that holds the group to which a job belongs."""
        group = self.group_of(job_id)
        (holder,) = (d for d in self.daemons if group in d.coordinator.holders)
        return holder

    def is_held_above(self, group: str, fence: int) -> bool:
        """Returns whether a daemon holds a group under a higher fence."""
        holders = [d.coordinator.holders.get(group) for d in self.daemons]
        return any(h is not None and h.tenure.fence > fence for h in holders)

    def group_of(self, job_id: str) -> str:
        """Returns the group to which a job belongs."""
        return self.entry.coordinator.divisions.group_of_job(SERVICE, job_id)

    def endpoints_of(self, job_id: str) -> list:
        """Lists the endpoints of the group to which a job belongs."""
        group = self.group_of(job_id)
        group_of = self.entry.coordinator.divisions.group_of_endpoint
        return [
            e for e in self.endpoints if group_of(SERVICE, e.info.instance.endpoint_id) == group
        ]

    def submit(
        self, entry: WorldDaemon, job_id: str, tasks: int = 2, *, is_durable: bool = False
    ) -> CancelScope:
        """Submits a job; its caller disconnects when the returned scope is cancelled."""
        terms = QueueTerms("q", SERVICE, max_attempts=3, objective_s=CALLER_WAIT_S)
        steps = (StepSpec(tasks, Resources(20_000), 0.1),)
        spec, scope = JobSpec(job_id, terms, "", steps, is_durable), CancelScope()
        hand_in = entry.frontend.submit_durable if is_durable else entry.frontend.run_best_effort

        async def call() -> None:
            with scope:
                try:
                    self.results.append(await hand_in(spec, CALLER_WAIT_S))
                except BerylproxyError as error:
                    self.results.append(error)

        self.task_group.start_soon(call)
        return scope

    def count_running(self) -> int:
        """Returns how many runs are active at all endpoints."""
        for endpoint in self.endpoints:
            endpoint.end_due_runs()
        return sum(len(endpoint.running) for endpoint in self.endpoints)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        until_s = monotonic() + WAIT_LIMIT_S
        while not condition():
            assert monotonic() < until_s, "the condition was not met"
            await sleep(0.01)

    def find_overlaps(self) -> list:
        """Returns the runs of a task that overlap, at whichever endpoints."""
        self.count_running()
        return find_overlaps(
            (at_s, kind, task, (endpoint.info.instance.endpoint_id, run))
            for endpoint in self.endpoints
            for at_s, kind, task, run in endpoint.history
        )

    async def run(self, play: Callable[["ResubmissionWorld"], object]) -> None:
        """Plays a scenario with the daemons running."""
        async with create_task_group() as task_group:
            await self.start(task_group)
            await play(self)
            task_group.cancel_scope.cancel()


def play(context) -> None:
    """Plays the steps that a scenario has collected so far, in one event loop."""

    async def play_all(world: ResubmissionWorld) -> None:
        for step in context.plays:
            await step(world)

    run(context.resubmission_world.run, play_all)
