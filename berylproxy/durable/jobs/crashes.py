"""Decides which tasks crash the endpoints that run them, without a clock or sockets.

Made for loads in which a few tasks end the process of each endpoint that starts them, while other
endpoints are lost in partitions or crash for reasons of their own. The process is back only after
the tasks have been requeued, so the evidence comes late: a task that loses a second endpoint waits
for it. A task that loses an endpoint runs apart from others, which shows which of them is to blame.
Takes time proportional to the tasks of an endpoint that is lost.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from math import inf
from typing import NamedTuple, Protocol

from berylproxy.durable.jobs.models import EndpointInstance, TaskName

MAX_BLAMED_CRASHES = 2  # at different addresses, where no other job can be to blame
MAX_CRASHES = 3
# Under runs that had begun or may have.
MAX_POSSIBLE_CRASHES = 4
# An endpoint process that crashed is back after some seconds.
HOLD_S = 2.5
# While no endpoint is free of runs, a suspected task can't be tried alone.
LONGEST_ALONE_S = 5.0
MAX_LOSSES = 1_000
MAX_CONVICTED_JOBS = 5_000
# Stands for tasks that a former holder knew.
UNKNOWN_TASK = TaskName("", 0, 0)


class Evidence(IntEnum):
    """What is known of a run at an endpoint, in case the endpoint is lost."""

    ORDERED = auto()  # its order has no outcome yet
    DOUBTFUL = auto()  # its order wasn't answered: the process may have been down already
    POSSIBLE = auto()  # the endpoint has confirmed it, but it may have ended before the process
    BEGUN = auto()  # the process that is lost had confirmed it


class Treatment(Enum):
    """How a waiting task may be started."""

    USUAL = auto()
    APART = auto()  # on an endpoint without runs if there is one
    ALONE = auto()  # only on an endpoint without runs, which then gets no others
    HELD = auto()  # not now


class Suspicion(Protocol):
    """Tells which tasks may crash the endpoint that starts them."""

    def treatment(self, name: TaskName, now_s: float) -> Treatment:
        """Returns how a waiting task may be started now."""


class CrashCount(NamedTuple):
    """The crashes of endpoints under a task.

    :param crashes: number of crashes.
    :param blamed: number of those for which no other job can be to blame. Crashes at one address
        count once, as they may say more of the address.
    """

    crashes: int = 0
    blamed: int = 0

    def without(self, other: "CrashCount") -> "CrashCount":
        """Returns how many more crashes these are than others."""
        return CrashCount(max(self.crashes - other.crashes, 0), max(self.blamed - other.blamed, 0))

    def at_least(self, other: "CrashCount") -> "CrashCount":
        """Returns the larger of each number."""
        return CrashCount(max(self.crashes, other.crashes), max(self.blamed, other.blamed))


@dataclass(slots=True, eq=False)
class Loss:
    """An endpoint that stopped answering while tasks were ordered there.

    :ivar suspects: tasks that may have run there and haven't ended on another endpoint since.
    :ivar address: empty if it isn't known.
    :ivar is_crash: whether its process has certainly ended; else it may be cut off.
    """

    suspects: dict[TaskName, Evidence] = field(default_factory=dict)
    address: str = ""
    is_crash: bool = False

    def is_crash_under(self, name: TaskName, least: Evidence) -> bool:
        """Returns whether its process has ended under a task, by the least evidence that counts."""
        return self.is_crash and self.suspects.get(name, Evidence.ORDERED) >= least

    def blames(self, name: TaskName) -> bool:
        """Returns whether no job but that of a task can be to blame."""
        return self.is_crash and all(task.job_id == name.job_id for task in self.suspects)


@dataclass(slots=True, eq=False)
class TaskRecord:
    """The losses under one task.

    :ivar last_lost_s: monotonic time at which the newest one was noted.
    """

    losses: list[Loss] = field(default_factory=list)
    last_lost_s: float = -inf


class NoSuspicion:
    """Suspects no task."""

    def treatment(self, name: TaskName, now_s: float) -> Treatment:
        """Returns the usual treatment."""
        return Treatment.USUAL


class CrashRecord:
    """The endpoints lost under tasks, and the jobs whose tasks are to blame.

    Jobs stay in the record when they are closed: their callers may submit them again.
    """

    def __init__(self) -> None:
        self._losses: OrderedDict[EndpointInstance, Loss] = OrderedDict()
        self._records: dict[TaskName, TaskRecord] = {}
        self._convicted: OrderedDict[str, None] = OrderedDict()

    def note_lost(
        self,
        instance: EndpointInstance,
        runs: Mapping[TaskName, Evidence],
        now_s: float,
        address: str = "",
    ) -> None:
        """Records that an endpoint stopped answering while tasks were ordered there.

        :param address: empty if it isn't known.
        """
        self._add_suspects(instance, runs, now_s, address)

    def note_answered(self, instance: EndpointInstance) -> bool:
        """Records that the process of an endpoint goes on: it was cut off.

        :return: whether the endpoint had been lost under tasks.
        """
        loss = self._losses.get(instance)
        if loss is None or loss.is_crash:
            return False
        self._remove_loss(instance)
        return True

    def note_crashed(
        self,
        instance: EndpointInstance,
        runs: Mapping[TaskName, Evidence],
        now_s: float,
        address: str = "",
    ) -> list[TaskName]:
        """Records that the process of an endpoint ended unasked.

        :param runs: tasks that were ordered there, besides those with which it was lost.
        :param address: empty if it isn't known.
        :return: the tasks that are to blame, if they are known by this.
        """
        loss = self._add_suspects(instance, runs, now_s, address)
        if loss is None:
            return []
        loss.is_crash = True
        return self._convict(loss.suspects)

    def note_outcome(
        self, instance: EndpointInstance, name: TaskName, evidence: Evidence | None
    ) -> list[TaskName]:
        """Records the outcome of an order that had none when its endpoint was lost.

        :param evidence: what is known of the run now; ``None`` if it has certainly not begun.
        :return: the tasks that are to blame, if they are known by this.
        """
        loss = self._losses.get(instance)
        if loss is None or loss.suspects.get(name) is not Evidence.ORDERED:
            return []
        if evidence is not None:
            loss.suspects[name] = evidence
        else:
            del loss.suspects[name]
            self._remove_from_record(name, loss)
        return self._convict(loss.suspects) if loss.is_crash else []

    def note_ended(self, name: TaskName) -> list[TaskName]:
        """Records that a run of a task has ended by itself: the task crashes no endpoints.

        :return: the tasks that are to blame for earlier crashes, if they are known by this.
        """
        record = self._records.pop(name, None)
        if record is None:
            return []
        remaining: set[TaskName] = set()
        for loss in record.losses:
            loss.suspects.pop(name, None)
            if loss.is_crash:
                remaining.update(loss.suspects)
        return self._convict(remaining)

    def restore(self, name: TaskName, count: CrashCount, evidence: Evidence, now_s: float) -> None:
        """Adds the crashes that a former holder has stored for a task."""
        if not count.crashes:
            return
        record = self._records.setdefault(name, TaskRecord())
        record.last_lost_s = now_s
        for number in range(count.crashes):
            suspects = {name: evidence}
            if number >= count.blamed:
                suspects[UNKNOWN_TASK] = evidence
            record.losses.append(Loss(suspects, is_crash=True))

    def count(self, name: TaskName, least: Evidence = Evidence.BEGUN) -> CrashCount:
        """Returns the crashes under runs of a task, unless it has ended since.

        :param least: the least evidence of runs that count.
        """
        record = self._records.get(name)
        losses = record.losses if record is not None else []
        crashes = [loss for loss in losses if loss.is_crash_under(name, least)]
        blamed = {loss.address or id(loss) for loss in crashes if loss.blames(name)}
        return CrashCount(len(crashes), len(blamed))

    def _is_to_blame(self, name: TaskName) -> bool:
        begun = self.count(name)
        return (
            begun.blamed >= MAX_BLAMED_CRASHES
            or begun.crashes >= MAX_CRASHES
            or self.count(name, Evidence.POSSIBLE).crashes >= MAX_POSSIBLE_CRASHES
        )

    def suspects(self, instance: EndpointInstance) -> dict[TaskName, Evidence]:
        """Returns the tasks that may be to blame for the loss of an endpoint."""
        loss = self._losses.get(instance)
        return dict(loss.suspects) if loss is not None else {}

    def has_crashed(self, instance: EndpointInstance) -> bool:
        """Returns whether an endpoint was lost under tasks by a crash."""
        loss = self._losses.get(instance)
        return loss is not None and loss.is_crash

    def list_lost(self, endpoint_id: str) -> list[EndpointInstance]:
        """Returns the instances of an endpoint that were lost and may be cut off."""
        return [
            instance
            for instance, loss in self._losses.items()
            if instance.endpoint_id == endpoint_id and not loss.is_crash
        ]

    def is_convicted(self, job_id: str) -> bool:
        """Returns whether a task of a job is to blame for crashes."""
        return job_id in self._convicted

    def treatment(self, name: TaskName, now_s: float) -> Treatment:
        """Returns how a waiting task may be started now."""
        record = self._records.get(name)
        if record is None:
            return Treatment.USUAL
        losses = [loss for loss in record.losses if loss.suspects[name] > Evidence.ORDERED]
        if not losses:
            return Treatment.USUAL
        crashes = sum(loss.is_crash for loss in losses)
        lost_ago_s = now_s - record.last_lost_s
        is_evidence_due = crashes < len(losses) and lost_ago_s < HOLD_S
        if len(losses) > 1 and is_evidence_due:
            return Treatment.HELD
        is_suspected = crashes or len(losses) > 1
        is_alone = is_suspected and lost_ago_s < LONGEST_ALONE_S
        return Treatment.ALONE if is_alone else Treatment.APART

    def _add_suspects(
        self,
        instance: EndpointInstance,
        runs: Mapping[TaskName, Evidence],
        now_s: float,
        address: str,
    ) -> Loss | None:
        """Adds tasks to the loss of an endpoint; returns ``None`` if it has none."""
        loss = self._losses.get(instance)
        for name, evidence in runs.items():
            if loss is None:
                loss = self._losses[instance] = Loss(address=address)
            if name not in loss.suspects:
                record = self._records.setdefault(name, TaskRecord())
                record.losses.append(loss)
                record.last_lost_s = now_s
            loss.suspects[name] = max(evidence, loss.suspects.get(name, evidence))
        if len(self._losses) > MAX_LOSSES:
            self._remove_loss(next(iter(self._losses)))
        return loss

    def _remove_loss(self, instance: EndpointInstance) -> None:
        loss = self._losses.pop(instance)
        for name in loss.suspects:
            self._remove_from_record(name, loss)

    def _remove_from_record(self, name: TaskName, loss: Loss) -> None:
        record = self._records[name]
        record.losses.remove(loss)
        if not record.losses:
            del self._records[name]

    def _convict(self, names: Iterable[TaskName]) -> list[TaskName]:
        """Returns those of some tasks that are to blame and weren't known to be."""
        convicted = []
        for name in names:
            if name.job_id not in self._convicted and self._is_to_blame(name):
                self._convicted[name.job_id] = None
                convicted.append(name)
        while len(self._convicted) > MAX_CONVICTED_JOBS:
            self._convicted.popitem(last=False)
        return convicted
