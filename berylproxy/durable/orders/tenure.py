"""State that the parts of a holder share during its tenure."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from anyio import Event
from anyio.abc import TaskGroup
from logbook import Logger

from berylproxy.clock import Clock
from berylproxy.durable.orders.telemetry import Telemetry

logger = Logger("berylproxy.durable.tenure")


@dataclass(slots=True, eq=False)
class Tenure:
    """One daemon's time as the holder of a group.

    :param fence: fencing token of the orders to endpoints.
    :param claim_revision: revision of the claim; 0 for a provisional holder, which has none.
    :ivar task_group: runs the background work of the tenure; ``None`` before and after it.
    :ivar began_s: monotonic time at which the tenure began.
    :ivar confirmed_s: latest monotonic time at which the claim was certainly in force.
    :ivar confirmation_wanted: set when work waits for the claim to be confirmed; the coroutine that
        confirms it replaces it by a new event.
    """

    group: str
    fence: int
    claim_revision: int
    clock: Clock
    telemetry: Telemetry
    task_group: TaskGroup | None = None
    began_s: float = field(init=False)
    confirmed_s: float = field(init=False)
    confirmation_wanted: Event = field(default_factory=Event)

    def __post_init__(self) -> None:
        self.began_s = self.confirmed_s = self.clock.now_s()

    @property
    def is_over(self) -> bool:
        """Whether the tenure has ended, or not begun."""
        return self.task_group is None

    def spawn(self, work: Callable[..., Any], *arguments: object) -> None:
        """Starts background work that the end of the tenure cancels; no effect if that is over."""
        if self.task_group is not None:
            self.task_group.start_soon(work, *arguments)

    def end(self, reason: str) -> None:
        """Ends the tenure and cancels its background work: endpoints get no more orders."""
        if self.task_group is not None and not self.task_group.cancel_scope.cancel_called:
            logger.warning("tenure of group {} ends: {}", self.group, reason, extra=self.extra())
            self.task_group.cancel_scope.cancel()

    def confirm(self, at_s: float) -> None:
        """Records that the claim was in force at a monotonic time."""
        self.confirmed_s = max(self.confirmed_s, at_s)

    def extra(self, **fields: object) -> dict[str, object]:
        """Returns the fields of a log line, with the group and the fence added."""
        return {"group": self.group, "fence": self.fence, **fields}
