"""What the parts of a holder share while it holds a group."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from anyio.abc import TaskGroup
from logbook import Logger

from berylproxy.clock import Clock
from berylproxy.durable.telemetry import Telemetry

logger = Logger(__name__)


@dataclass(slots=True, eq=False)
class Tenure:
    """One daemon's time as the holder of a group.

    :param fence: under which endpoints take orders.
    :param claim_revision: revision of the claim; 0 for a provisional holder, which has none.
    :ivar task_group: where the tenure's work runs; ``None`` before and after.
    :ivar confirmed_s: monotonic time at which the claim was certainly in force.
    """

    group: str
    fence: int
    claim_revision: int
    clock: Clock
    telemetry: Telemetry
    task_group: TaskGroup | None = None
    began_s: float = field(init=False)
    confirmed_s: float = field(init=False)

    def __post_init__(self) -> None:
        self.began_s = self.confirmed_s = self.clock.now_s()

    @property
    def is_over(self) -> bool:
        """Whether the tenure has ended, or not begun."""
        return self.task_group is None

    def spawn(self, work: Callable[..., Any], *arguments: object) -> None:
        """Begins some work that ends with the tenure, unless that is over."""
        if self.task_group is not None:
            self.task_group.start_soon(work, *arguments)

    def end(self, reason: str) -> None:
        """Ends the tenure; nothing is ordered after that."""
        if self.task_group is not None:
            logger.warning("tenure over {} ends: {}", self.group, reason, extra=self.extra())
            self.task_group.cancel_scope.cancel()

    def confirm(self, at_s: float) -> None:
        """Notes that the claim was in force at some time."""
        self.confirmed_s = max(self.confirmed_s, at_s)

    def extra(self, **fields: object) -> dict[str, object]:
        """Makes the fields of a log line."""
        return {"group": self.group, "fence": self.fence, **fields}
