"""Tells holders that callers no longer wait for their best-effort jobs, until they confirm it.

A job that comes again may go to another group, whose holder knows nothing of the first one's runs.
So the first holder must learn that its job is dropped, also if a stream breaks at that moment.
"""

from anyio import create_task_group, sleep, sleep_forever
from anyio.abc import TaskGroup
from logbook import Logger

from berylproxy.clock import Clock
from berylproxy.durable.jobs.messages import DropJob
from berylproxy.peers.errors import PeerProtocolError, PeerRequestRefusedError
from berylproxy.peers.membership import PeerError
from berylproxy.peers.network import TcpPeerNetwork

CONFIRMATION_TIMEOUT_S = 0.2
SHORTEST_PAUSE_S = 0.03  # a redial begins within 0.04 s
LONGEST_PAUSE_S = 0.25
# A holder that hears nothing from an entry daemon drops its jobs after 1 s, or after 2 s more if it
# was paused.
NO_STREAM_LIMIT_S = 4.0
WITHDRAWAL_LIMIT_S = 30.0  # callers wait no longer, so that the holder ends the job itself

logger = Logger("berylproxy.durable.withdrawals")


class Withdrawals:
    """Sends withdrawals of jobs to holders, and repeats each one until it is confirmed."""

    def __init__(self, network: TcpPeerNetwork, clock: Clock) -> None:
        self._network = network
        self._clock = clock
        self._task_group: TaskGroup | None = None

    async def run(self) -> None:
        """Runs the repetitions until cancelled."""
        try:
            async with create_task_group() as self._task_group:
                await sleep_forever()
        finally:
            self._task_group = None

    def send(self, incarnation: str, message: DropJob, delay_s: float = 0.0) -> None:
        """Starts to send a withdrawal to a holder, after a delay."""
        if self._task_group is None:
            self._network.notify(incarnation, message)
        else:
            self._task_group.start_soon(self._repeat_until_confirmed, incarnation, message, delay_s)

    async def _repeat_until_confirmed(
        self, incarnation: str, message: DropJob, delay_s: float
    ) -> None:
        """Ends early once the holder has certainly dropped the job because of a silence."""
        await sleep(delay_s)
        started_s = reached_s = self._clock.now_s()
        pause_s, copies = SHORTEST_PAUSE_S, 0
        while not await self._is_confirmed(incarnation, message, copies):
            copies += 1
            now_s = self._clock.now_s()
            if self._network.links(incarnation):
                reached_s = now_s
            if now_s - reached_s > NO_STREAM_LIMIT_S:
                return
            if now_s - started_s > WITHDRAWAL_LIMIT_S:
                logger.warning("drop never confirmed", extra=_describe(message))
                return
            if pause_s == SHORTEST_PAUSE_S:
                logger.info("drop not confirmed yet; repeating it", extra=_describe(message))
            await sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    async def _is_confirmed(self, incarnation: str, message: DropJob, copies: int) -> bool:
        """Sends a copy and returns whether it was confirmed.

        The copies take turns on the streams: one may have gone silent while the other one still
        lets this daemon count as alive.
        """
        links = self._network.links(incarnation)
        if not links:
            return False
        try:
            await links[copies % len(links)].request(message, CONFIRMATION_TIMEOUT_S)
        except PeerRequestRefusedError as error:
            if error.code != PeerProtocolError.code:
                return False
            # Daemons of earlier versions handle it as a notice only.
            self._network.notify(incarnation, message)
        except PeerError:
            return False
        return True


def _describe(message: DropJob) -> dict[str, object]:
    return {"job": message.job_id, "group": message.group, "attempt": message.attempt}
