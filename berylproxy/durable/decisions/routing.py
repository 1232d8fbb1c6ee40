"""Decides which endpoint group a best-effort job goes to, without a clock or sockets.

Made for services of many small groups, in which wide jobs come at random: a group that is full for
the moment would make a job wait while endpoints of other groups are free. What an entry daemon
knows of a group is as old as its holder's last heartbeat, and other entries choose by it too; so
the holder of a group without room refuses a job, and the entry goes on to the next group.
"""

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.models import JobSpec, Resources

if TYPE_CHECKING:
    from berylproxy.durable.jobs.job_table import Job

MAX_ROOM_CHECKS = 2  # groups that may refuse a job before one takes it without room
SAMPLED_GROUPS = 3  # besides the job's own one; with all of them, entries would choose the same one
NEED_LEARNING_RATE = 0.05  # about 20 jobs count
MAX_ROOM_AGE_S = 1.0  # what is known of a group that is silent for longer isn't used


@dataclass(slots=True)
class TypicalNeed:
    """What a group's tasks usually need.

    :ivar millicores: exponential moving average over jobs; 0 before the first one.
    :ivar memory_mb: the same of their memory.
    :ivar accelerators: the same of their accelerators.
    """

    millicores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0

    def learn(self, spec: JobSpec) -> None:
        """Adds the mean need of a job's tasks."""
        tasks = max(sum(step.count for step in spec.steps), 1)
        rate = NEED_LEARNING_RATE if self.millicores else 1.0
        memory_mb = sum(step.count * step.needs.memory_mb for step in spec.steps)
        accelerators = sum(step.count * step.needs.accelerators for step in spec.steps)
        self.millicores += rate * (count_needed_millicores(spec) / tasks - self.millicores)
        self.memory_mb += rate * (memory_mb / tasks - self.memory_mb)
        self.accelerators += rate * (accelerators / tasks - self.accelerators)

    def count_fitting(self, free: Resources) -> int:
        """Returns how many tasks of this need fit; none where any amount is negative."""
        amounts = (
            (free.cpu_millicores, max(int(self.millicores), 1)),
            (free.memory_mb, int(self.memory_mb)),
            (free.accelerators, int(self.accelerators)),
        )
        if any(available < 0 for available, _ in amounts):
            return 0
        return min(available // unit for available, unit in amounts if unit)


def measure_room_millicores(
    endpoints: Iterable[EndpointState], jobs: Iterable["Job"], need: TypicalNeed, now_s: float
) -> int:
    """Returns the processor share that a group has free for further tasks of the usual need.

    Remainders that are too small for such a task don't count. The result is negative if more tasks
    wait than fit. Takes time in proportion to the endpoints and the waiting jobs.
    """
    unit = max(int(need.millicores), 1)
    free = sum(
        need.count_fitting(endpoint.free_resources) * unit
        for endpoint in endpoints
        if endpoint.may_start(now_s)
    )
    waiting = sum(task.step.needs.cpu_millicores for job in jobs for task in job.waiting)
    return free - waiting


def has_room(
    room_millicores: int, needed_millicores: int, endpoints: Iterable[EndpointState], now_s: float
) -> bool:
    """Returns whether a group should take a job at once.

    One that needs most of a group runs in several waves anyway, and all groups of this size would
    refuse it. A group all of whose endpoints are evacuated, or have shrunk to nothing, takes none.
    """
    endpoints = list(endpoints)
    if endpoints and all(e.is_evacuated or not e.info.capacity.cpu_millicores for e in endpoints):
        return False
    capacity = sum(e.info.capacity.cpu_millicores for e in endpoints if e.is_serving(now_s))
    return room_millicores >= min(needed_millicores, capacity // 2)


def count_needed_millicores(spec: JobSpec) -> int:
    """Returns the processor share of all tasks of a job together."""
    return sum(step.count * step.needs.cpu_millicores for step in spec.steps)


@dataclass(frozen=True, slots=True)
class GroupChoice:
    """The group that a job is submitted to.

    :param only_if_room: whether its holder is to refuse the job if it has no room for all tasks.
    """

    group: str
    only_if_room: bool


def route_job(
    own_group: str,
    rooms: Mapping[str, int],
    needed_millicores: int,
    refused_by: Set[str],
    random: Random,
) -> GroupChoice:
    """Returns the group that a job is submitted to next.

    Once enough groups have refused the job, the roomiest one has to take it.

    :param own_group: the group that the job belongs to by its identifier.
    :param rooms: room by group, of those that can be reached; takes time in proportion to them.
    :param refused_by: groups that have refused the job.
    """
    remaining = {group: room for group, room in rooms.items() if group not in refused_by}
    if len(refused_by) < MAX_ROOM_CHECKS and remaining:
        group = choose_group_by_room(own_group, remaining, needed_millicores, random)
        if group not in refused_by:
            return GroupChoice(group, only_if_room=len(rooms) > 1)
    return GroupChoice(max(rooms, key=rooms.__getitem__, default=own_group), only_if_room=False)


def choose_group_by_room(
    own_group: str, rooms: Mapping[str, int], needed_millicores: int, random: Random
) -> str:
    """Returns the group that most likely has room for a job.

    That is its own group if it has room for all tasks, else the roomiest of a few other groups if
    that has more room.
    """
    own_room = rooms.get(own_group)
    if own_room is not None and own_room >= needed_millicores:
        return own_group
    others = [group for group in rooms if group != own_group]
    sampled = random.sample(others, min(SAMPLED_GROUPS, len(others)))
    best = max(sampled, key=rooms.__getitem__, default=own_group)
    if best != own_group and (own_room is None or rooms[best] > own_room):
        return best
    return own_group
