"""Limits and delays of retries."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from anyio import sleep

from berylproxy.clock import Clock, MonotonicClock


class WaitingClock(Clock, Protocol):
    """A clock that can also sleep; tests replace it."""

    async def sleep(self, duration_s: float) -> None:
        """Waits for a number of seconds."""


class EventLoopClock(MonotonicClock):
    """The system's monotonic clock; sleeps without blocking the event loop."""

    async def sleep(self, duration_s: float) -> None:
        """Waits for a number of seconds."""
        await sleep(duration_s)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often and after which delays a call is retried.

    :param max_retries: largest number of retries of one call.
    :param first_backoff_s: largest delay before the first retry if the daemon sent no
        ``retry_after_s``; it doubles with each retry.
    :param max_backoff_s: upper limit of this delay.
    :param jitter: largest random addition to a ``retry_after_s``, as a fraction of it.
    """

    max_retries: int = 6
    first_backoff_s: float = 0.05
    max_backoff_s: float = 2.0
    jitter: float = 0.25


class RetryBudget:
    """The retries left for one call, limited in number and by a deadline.

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
        """Returns the time to the deadline; 0 if the deadline has passed."""
        return max(0.0, self._deadline_s - self._clock.now_s())

    async def wait(self, retry_after_s: float | None = None) -> bool:
        """Waits until the next attempt is due.

        Returns ``False`` at once, without waiting, if the budget does not allow another attempt.

        :param retry_after_s: shortest delay, as requested by the daemon; ``None`` if it sent none.
        """
        delay_s = self._choose_delay_s(retry_after_s)
        if self._retries >= self._policy.max_retries or delay_s >= self.remaining_s():
            return False
        self._retries += 1
        await self._clock.sleep(delay_s)
        return True

    def _choose_delay_s(self, retry_after_s: float | None) -> float:
        """Chooses a random delay.

        Jitter only lengthens the daemon's ``retry_after_s``, which is the shortest wait. Without
        one, the delay is drawn between zero and an exponential back-off.
        """
        if retry_after_s is not None:
            return retry_after_s * (1.0 + self._policy.jitter * self._random.random())
        backoff_s = self._policy.first_backoff_s * 2**self._retries
        return min(backoff_s, self._policy.max_backoff_s) * self._random.random()
