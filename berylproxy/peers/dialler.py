"""Keeps one dialled stream open to every known address."""

from collections.abc import Awaitable, Callable
from random import uniform

from anyio import Event, connect_tcp, current_time, move_on_after
from anyio.abc import ByteStream, TaskGroup
from logbook import Logger

from berylproxy.peers.errors import PeerHandshakeError, PeerSettingsError
from berylproxy.peers.settings import PeerSettings, is_loopback, split_address

BACKOFF_FACTOR = 2.0
STABLE_STREAM_S = 5.0

ServeStream = Callable[[str, ByteStream], Awaitable[bool]]
OnRefused = Callable[[str], None]


class Dialler:
    """Dials addresses and dials them again when a stream ends.

    :param serve: runs the handshake and the stream; returns whether the address is still wanted.
    :param on_refused: called with an address at which nothing listens.
    """

    def __init__(
        self, settings: PeerSettings, serve: ServeStream, on_refused: OnRefused, logger: Logger
    ) -> None:
        self._settings = settings
        self._serve = serve
        self._on_refused = on_refused
        self._logger = logger
        self._wakeups: dict[str, Event] = {}
        self._pauses: dict[str, Event] = {}
        self._unwanted: set[str] = set()
        self._running: set[str] = set()
        self._task_group: TaskGroup | None = None

    def start(self, task_group: TaskGroup) -> None:
        """Begins to dial the addresses known so far."""
        self._task_group = task_group
        for address in self._wakeups:
            self._begin(address)

    def add(self, address: str) -> None:
        """Adds an address; dials at once if it is known and waiting to be dialled again."""
        if address in self._unwanted:
            return
        if address in self._wakeups:
            self._wakeups[address].set()
            return
        host, _ = split_address(address)
        if not self._settings.keys and not is_loopback(host):
            raise PeerSettingsError(f"without a key {address!r} cannot be dialled")
        self._wakeups[address] = Event()
        self._begin(address)

    def hurry(self, address: str) -> None:
        """Dials at once, whatever happened before: another daemon than before runs there."""
        pause = self._pauses.get(address)
        if pause is not None:
            pause.set()

    def addresses(self) -> list[str]:
        """Lists the addresses that are kept dialled."""
        return list(self._wakeups)

    def remove(self, address: str) -> None:
        """Stops to dial an address after its present stream."""
        wakeup = self._wakeups.pop(address, None)
        if wakeup is not None:
            wakeup.set()

    def exclude(self, address: str) -> None:
        """Removes an address for good."""
        self._unwanted.add(address)
        self.remove(address)

    def _begin(self, address: str) -> None:
        # An address that is removed and added again may still have its task.
        if self._task_group is not None and address not in self._running:
            self._running.add(address)
            self._task_group.start_soon(self._run, address)

    async def _run(self, address: str) -> None:
        try:
            await self._keep_open(address)
        finally:
            self._running.discard(address)

    async def _keep_open(self, address: str) -> None:
        delay_s = self._settings.redial_min_delay_s
        last_problem = ""
        while address in self._wakeups:
            self._wakeups[address] = wakeup = Event()
            started_s = current_time()
            problem = await self._dial(address)
            # A stream that breaks soon after each handshake must not be dialled in a tight loop.
            was_stable = not problem and current_time() - started_s >= STABLE_STREAM_S
            if was_stable:
                delay_s = self._settings.redial_min_delay_s
            if problem and problem != last_problem:
                self._logger.warning("cannot reach daemon at {}: {}", address, problem)
            last_problem = problem
            if not problem:
                wakeup = Event()  # the other side's own dialling is no reason to hurry then
            self._pauses[address] = wakeup
            with move_on_after(uniform(delay_s / 2, delay_s)):
                await wakeup.wait()
            del self._pauses[address]
            if not was_stable:
                delay_s = min(delay_s * BACKOFF_FACTOR, self._settings.redial_max_delay_s)

    async def _dial(self, address: str) -> str:
        try:
            stream = await self._connect(address)
        except ConnectionRefusedError:
            self._on_refused(address)
            return "connection refused"
        except (OSError, TimeoutError) as error:
            return str(error) or type(error).__name__
        try:
            wanted = await self._serve(address, stream)
        except PeerHandshakeError as error:
            return error.message
        if not wanted:
            self.exclude(address)
        return ""

    async def _connect(self, address: str) -> ByteStream:
        host, port = split_address(address)
        with move_on_after(self._settings.handshake_timeout_s):
            try:
                return await connect_tcp(host, port)
            except OSError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    raise error.__cause__ from None
                raise
        raise TimeoutError("no connection in time")
