"""Maintains one outgoing stream to every known address."""

from collections.abc import Awaitable, Callable
from random import uniform
from time import monotonic

from anyio import Event, move_on_after
from anyio.abc import TaskGroup
from logbook import Logger

from berylproxy.peers.errors import PeerHandshakeError, PeerSettingsError
from berylproxy.peers.settings import PeerSettings, is_loopback, split_address
from berylproxy.peers.transport import TransportStream

BACKOFF_FACTOR = 2.0
STABLE_STREAM_S = 5.0

ServeStream = Callable[[str, TransportStream], Awaitable[bool]]
OnConnectionRefused = Callable[[str], None]


class Dialler:
    """Dials addresses and redials them, with exponential backoff, when a stream ends.

    :param serve: runs the handshake and the stream; returns whether to keep dialling the address.
    :param on_connection_refused: called with an address at which nothing listens.
    """

    def __init__(
        self,
        settings: PeerSettings,
        serve: ServeStream,
        on_connection_refused: OnConnectionRefused,
        logger: Logger,
    ) -> None:
        self._settings = settings
        self._serve = serve
        self._on_connection_refused = on_connection_refused
        self._logger = logger
        self._wakeups: dict[str, Event] = {}
        self._delay_interrupts: dict[str, Event] = {}
        self._excluded: set[str] = set()
        self._running_addresses: set[str] = set()
        self._task_group: TaskGroup | None = None

    def start(self, task_group: TaskGroup) -> None:
        """Starts dialling the addresses added so far."""
        self._task_group = task_group
        for address in self._wakeups:
            self._start_task(address)

    def add(self, address: str) -> None:
        """Adds an address, or redials a known one at once if its last attempt failed."""
        if address in self._excluded:
            return
        if address in self._wakeups:
            self._wakeups[address].set()
            return
        host, _ = split_address(address)
        if not self._settings.keys and not is_loopback(host):
            raise PeerSettingsError(
                f"cannot dial {address!r} without a shared key: it is not a loopback address"
            )
        self._wakeups[address] = Event()
        self._start_task(address)

    def redial_now(self, address: str) -> None:
        """Ends the delay before the next dial, because another daemon now runs at the address."""
        interrupt = self._delay_interrupts.get(address)
        if interrupt is not None:
            interrupt.set()

    def addresses(self) -> list[str]:
        """Lists the addresses that are dialled."""
        return list(self._wakeups)

    def remove(self, address: str) -> None:
        """Stops dialling an address; its current stream stays open."""
        wakeup = self._wakeups.pop(address, None)
        if wakeup is not None:
            wakeup.set()

    def exclude(self, address: str) -> None:
        """Removes an address permanently: adding it again has no effect."""
        self._excluded.add(address)
        self.remove(address)

    def _start_task(self, address: str) -> None:
        # The task of an address that was removed and added again may still be running.
        if self._task_group is not None and address not in self._running_addresses:
            self._running_addresses.add(address)
            self._task_group.start_soon(self._run, address)

    async def _run(self, address: str) -> None:
        try:
            await self._keep_connected(address)
        finally:
            self._running_addresses.discard(address)

    async def _keep_connected(self, address: str) -> None:
        delay_s = self._settings.redial_min_delay_s
        last_problem = ""
        while address in self._wakeups:
            self._wakeups[address] = wakeup = Event()
            started_s = monotonic()
            problem = await self._dial(address)
            # If streams break right after each handshake, redialling must not become a tight loop.
            was_stable = not problem and monotonic() - started_s >= STABLE_STREAM_S
            if was_stable:
                delay_s = self._settings.redial_min_delay_s
            if problem and problem != last_problem:
                self._logger.warning("cannot connect to the daemon at {}: {}", address, problem)
            last_problem = problem
            if not problem:
                # After a working stream, add() must not cut the delay short: the peer dials this
                # daemon as well, and each of its streams adds the address again.
                wakeup = Event()
            self._delay_interrupts[address] = wakeup
            with move_on_after(uniform(delay_s / 2, delay_s)):
                await wakeup.wait()
            del self._delay_interrupts[address]
            if not was_stable:
                delay_s = min(delay_s * BACKOFF_FACTOR, self._settings.redial_max_delay_s)

    async def _dial(self, address: str) -> str:
        try:
            stream = await self._connect(address)
        except ConnectionRefusedError:
            self._on_connection_refused(address)
            return "connection refused"
        except (OSError, TimeoutError) as error:
            return str(error) or type(error).__name__
        try:
            should_redial = await self._serve(address, stream)
        except PeerHandshakeError as error:
            return error.message
        if not should_redial:
            self.exclude(address)
        return ""

    async def _connect(self, address: str) -> TransportStream:
        host, port = split_address(address)
        with move_on_after(self._settings.handshake_timeout_s):
            return await TransportStream.connect(host, port)
        raise TimeoutError("connecting timed out")
