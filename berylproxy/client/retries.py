"""When to try again, and for how long."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from anyio import sleep

from berylproxy.clock import Clock, MonotonicClock


class WaitingClock(Clock, Protocol):
    """A clock that one can also wait on; tests replace it."""

    async def sleep(self, duration_s: float) -> None:
        """Waits."""


class EventLoopClock(MonotonicClock):
    """The system's clock, waited on without blocking the event loop."""

    async def sleep(self, duration_s: float) -> None:
        """Waits."""
        await sleep(duration_s)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often and how fast a call is repeated.

    :param max_retries: the most repetitions of one call.
    :param first_backoff_s: wait before the first repetition when the daemon named none.
    :param max_backoff_s: the longest of such waits.
    :param jitter: largest addition to a wait, as a fraction of it.
    """

    max_retries: int = 6
    first_backoff_s: float = 0.05
    max_backoff_s: float = 2.0
    jitter: float = 0.25


class RetryBudget:
    """The repetitions left to one call, bounded in number and by its deadline.

    :param timeout_s: time from now to the deadline.
    """

    def __init__(
        self, policy: RetryPolicy, clock: WaitingClock, random: Random, timeout_s: float
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._random = random
        self._deadline_s = clock.now_s() + timeout_s
        self._retries = 0

    def remaining_s(self) -> float:
        """Tells the time to the deadline; 0 after it."""
        return max(0.0, self._deadline_s - self._clock.now_s())

    async def wait(self, retry_after_s: float | None = None) -> bool:
        """Waits until the next attempt is due.

        Returns ``False`` at once, without waiting, when the budget does not allow that attempt.

        :param retry_after_s: the daemon's wish, which is the least that is waited.
        """
        delay_s = self._choose_delay_s(retry_after_s)
        if self._retries >= self._policy.max_retries or delay_s >= self.remaining_s():
            return False
        self._retries += 1
        await self._clock.sleep(delay_s)
        return True

    def _choose_delay_s(self, retry_after_s: float | None) -> float:
        """Jitters the daemon's wish upwards, or an exponential back-off downwards."""
        if retry_after_s is not None:
            return retry_after_s * (1.0 + self._policy.jitter * self._random.random())
        backoff_s = self._policy.first_backoff_s * 2**self._retries
        return min(backoff_s, self._policy.max_backoff_s) * self._random.random()
