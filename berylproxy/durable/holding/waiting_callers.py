"""Tells for which best-effort jobs callers wait, at this daemon and at the others.

A new holder finds runs and ends of best-effort jobs that its predecessor had. Only the entry
daemons know whether a caller still waits; that a job has not been submitted again yet says nothing,
as its entry daemon may be slow.
"""

from collections.abc import Callable

from anyio import create_task_group, sleep
from logbook import Logger

from berylproxy.clock import Clock
from berylproxy.durable.jobs.messages import AskAwaitedJobs, AwaitedJobs
from berylproxy.durable.orders.orphans import AwaitedJobsSurvey
from berylproxy.models import DaemonIdentity
from berylproxy.peers.membership import Member, MemberStatus, PeerError
from berylproxy.peers.network import TcpPeerNetwork

MAX_NAMED_JOBS = 4_000  # in one message
ANSWER_TIMEOUT_S = 0.3
RETRY_PAUSE_S = 0.05
ABSENCE_LIMIT_S = 1.0  # a holder drops the jobs of a daemon that is silent for as long
# Time in which daemons of versions that can't be asked submit unfinished jobs again.
UNASKED_GRACE_S = 0.2

logger = Logger("berylproxy.durable.waiting_callers")


class WaitingCallers:
    """Records the calls for best-effort jobs at this daemon, and asks other daemons for theirs.

    :param is_heard: returns whether a message from a daemon, given its incarnation, has arrived
        recently.
    :param can_be_asked: returns whether a daemon has announced that it knows the question.
    """

    def __init__(
        self,
        network: TcpPeerNetwork,
        clock: Clock,
        is_heard: Callable[[str], bool],
        can_be_asked: Callable[[Member], bool],
    ) -> None:
        self._network = network
        self._clock = clock
        self._is_heard = is_heard
        self._can_be_asked = can_be_asked
        self._calls: dict[int, tuple[str, str]] = {}
        network.answer_at_once(AskAwaitedJobs, self._answer)

    def note_waiting(self, call: int, group: str, job_id: str) -> None:
        """Records that a call waits for a job that may be run in a group.

        :param call: number of the call at this daemon.
        """
        self._calls[call] = group, job_id

    def note_ended(self, call: int) -> None:
        """Records that a call waits no longer; no effect if it isn't known."""
        self._calls.pop(call, None)

    def list_own(self, group: str) -> set[str]:
        """Lists the jobs of a group for which callers wait at this daemon."""
        return {job_id for own_group, job_id in self._calls.values() if own_group == group}

    async def survey(self, group: str) -> AwaitedJobsSurvey | None:
        """Asks all daemons for which jobs of a group their callers wait.

        One that isn't heard for a while counts as one whose callers wait for none.

        :return: ``None`` if a daemon has too many calls to tell.
        """
        asked_s, jobs = self._clock.now_s(), self.list_own(group)
        told: list[bool] = []

        async def ask(member: Member) -> None:
            answer = await self._ask(member, group)
            told.append(answer.is_complete)
            jobs.update(answer.job_ids)

        async with create_task_group() as task_group:
            for member in self._network.members():
                task_group.start_soon(ask, member)
        return AwaitedJobsSurvey(asked_s, frozenset(jobs)) if all(told) else None

    async def _ask(self, member: Member, group: str) -> AwaitedJobs:
        """Returns a daemon's answer; an empty one if it has ended or isn't heard for a while."""
        incarnation = member.identity.incarnation
        asked_s = heard_s = self._clock.now_s()
        while not self._is_gone(member) and self._clock.now_s() - heard_s < ABSENCE_LIMIT_S:
            if self._can_be_asked(member):
                try:
                    return await self._network.request(
                        incarnation, AskAwaitedJobs(group), ANSWER_TIMEOUT_S
                    )
                except PeerError as error:
                    logger.debug("{} hasn't told: {}", member.identity.daemon_id, error.message)
            elif self._clock.now_s() - asked_s >= UNASKED_GRACE_S:
                return AwaitedJobs(())
            await sleep(RETRY_PAUSE_S)
            if self._is_heard(incarnation):
                heard_s = self._clock.now_s()
        logger.info(
            "callers at {} count as gone: nothing is heard from it",
            member.identity.daemon_id,
            extra={"group": group},
        )
        return AwaitedJobs(())

    def _is_gone(self, member: Member) -> bool:
        """Returns whether a daemon's port refuses connections, or it has been silent for long."""
        is_alive = member.status is MemberStatus.ALIVE
        return not is_alive and not self._network.links(member.identity.incarnation)

    def _answer(self, _: DaemonIdentity, message: AskAwaitedJobs) -> AwaitedJobs:
        job_ids = self.list_own(message.group)
        if len(job_ids) > MAX_NAMED_JOBS:
            return AwaitedJobs((), is_complete=False)
        return AwaitedJobs(tuple(job_ids))
