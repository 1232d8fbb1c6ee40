"""An event loop whose time passes only while it waits; verdicts don't depend on real time."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from inspect import isawaitable
from selectors import DefaultSelector
from typing import Any
from unittest.mock import patch

START_S = 1000.0
CLOCKS = (
    "berylproxy.clock.monotonic",
    "berylproxy.durable.holding.ledger.monotonic",
    "standins.runner_model.monotonic",
    "tests.support.endpoint_world.monotonic",
)


class _SkippingSelector(DefaultSelector):
    """Waits for no time at all, and adds the time that it was to wait for."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> list:
        """Returns what is ready now; time passes only if nothing is."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("nothing is left that the simulated time could pass for")
            self.now_s += max(0.0, timeout)
        return ready


class _SimulatedLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._skipping_selector = _SkippingSelector()
        super().__init__(self._skipping_selector)

    def time(self) -> float:
        return self._skipping_selector.now_s


class SimulatedFuture:
    """The result of background work, for which simulated time passes."""

    def __init__(self, loop: asyncio.AbstractEventLoop, task: asyncio.Task) -> None:
        self._loop, self._task = loop, task

    def result(self, timeout: float | None = None) -> Any:
        """Returns the result of the work, or raises its error."""
        self._wait(timeout)
        return self._task.result()

    def exception(self, timeout: float | None = None) -> BaseException | None:
        """Returns the error of the work."""
        self._wait(timeout)
        return self._task.exception()

    def cancel(self) -> None:
        """Cancels the work."""
        self._task.cancel()

    def _wait(self, timeout_s: float | None) -> None:
        done, _ = self._loop.run_until_complete(asyncio.wait([self._task], timeout=timeout_s))
        if not done:
            raise TimeoutError


class SimulatedTime:
    """Runs work like a blocking portal of anyio, in the thread of the caller.

    :param clocks: further names of the function ``monotonic`` that tell the simulated time.
    """

    def __init__(self, clocks: Iterable[str] = ()) -> None:
        self._loop = _SimulatedLoop()
        self._patches = ExitStack()
        for name in (*CLOCKS, *clocks):
            self._patches.enter_context(patch(name, self.monotonic))

    def monotonic(self) -> float:
        """Returns the simulated time."""
        return self._loop.time()

    def sleep(self, duration_s: float) -> None:
        """Lets the work in the background go on for a time."""
        self._loop.run_until_complete(asyncio.sleep(duration_s))

    def start_task_soon(self, work: Callable, *arguments: Any) -> SimulatedFuture:
        """Starts work in the background."""
        task = self._loop.create_task(_run(work, arguments))
        task.add_done_callback(_mark_retrieved)
        return SimulatedFuture(self._loop, task)

    def call(self, work: Callable, *arguments: Any) -> Any:
        """Does work and returns its result."""
        return self._loop.run_until_complete(_run(work, arguments))

    def close(self) -> None:
        """Cancels the work in the background and goes back to real time."""
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self._loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self._loop.close()
        self._patches.close()


async def _run(work: Callable, arguments: tuple) -> Any:
    result = work(*arguments)
    return await result if isawaitable(result) else result


def _mark_retrieved(task: asyncio.Task) -> None:
    """Keeps asyncio from logging an error that no step asks for."""
    if not task.cancelled():
        task.exception()
