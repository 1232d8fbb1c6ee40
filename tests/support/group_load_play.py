"""Simulates a load on several small groups, whose room the entry daemons know by heartbeats."""

from collections.abc import Callable
from heapq import heappop
from random import Random

from berylproxy.durable.decisions.routing import (
    GroupChoice,
    TypicalNeed,
    has_room,
    measure_room_millicores,
)
from berylproxy.durable.jobs.models import JobSpec
from tests.support.load_play import JOB_KINDS, JobKind, LoadSimulation, Tally

HEARTBEAT_S = 0.45  # the longest time between two heartbeats of a holder to a daemon
ENTRIES = 18
MEAN_MILLICORES = 27_000

RouteJob = Callable[[str, dict[str, int], int, set[str], Random], GroupChoice]


class GroupSimulation(LoadSimulation):
    """One group, whose jobs are offered by a :class:`GroupedLoadSimulation`."""

    def __init__(self, seed: int, name: str, endpoints: slice, events: list, numbers) -> None:
        super().__init__(seed, [])
        self.name = name
        self.endpoints = self.endpoints[endpoints]
        self.need = TypicalNeed()
        self._events, self._numbers = events, numbers

    def measure_room(self) -> int:
        """Returns the room that the holder's heartbeat would report."""
        return measure_room_millicores(
            self.endpoints, self.job_table.waiting_jobs(), self.need, self.now_s
        )

    def _schedule_arrivals(self, backlog_jobs: int) -> None:
        """Schedules nothing: the jobs of all groups are scheduled together."""

    def _open_job(self, job_table, spec: JobSpec, **fields):
        self.need.learn(spec)
        return super()._open_job(job_table, spec, **fields)


class GroupedLoadSimulation:
    """Simulates the load of 24 endpoints that are divided into groups.

    :param route_job: the decision about a job's group; see
        :func:`~berylproxy.durable.decisions.routing.route_job`.
    """

    def __init__(
        self, seed: int, load_factors: list[float], groups: int, route_job: RouteJob
    ) -> None:
        plan = LoadSimulation(seed, load_factors)
        self._random = Random(seed)
        self._choose_group = route_job
        self._events, self._numbers = [], plan._numbers
        per_group = 24 // groups
        self._groups = {
            f"g{number}": GroupSimulation(
                seed + number,
                f"g{number}",
                slice(number * per_group, (number + 1) * per_group),
                self._events,
                plan._numbers,
            )
            for number in range(groups)
        }
        self._views: list[dict[str, int]] = [{} for _ in range(ENTRIES)]
        self._arrivals = [event for event in plan._events if event[2] == plan._handle_arrival]
        self._length_s = len(load_factors)

    def run(self) -> dict[str, Tally]:
        """Runs the simulation to the end and returns the results by queue, over all groups."""
        any_group = next(iter(self._groups.values()))
        for at_s, _, _, arguments in self._arrivals:
            any_group._schedule(at_s, self._handle_arrival, *arguments)
        for beat in range(int(self._length_s / HEARTBEAT_S) + 1):
            any_group._schedule(beat * HEARTBEAT_S, self._handle_heartbeats)
        for group in self._groups.values():
            for tick in range(int((self._length_s + 5) / 0.05)):
                group._schedule(tick * 0.05, group._abandon_late_jobs)
        while self._events:
            now_s, _, action, arguments = heappop(self._events)
            for group in self._groups.values():
                group.now_s = now_s
            action(*arguments)
            for group in self._groups.values():
                group.place()
        tallies = {kind.queue: Tally() for kind in JOB_KINDS}
        for group in self._groups.values():
            for queue, tally in group.tallies.items():
                tallies[queue].offered_worth += tally.offered_worth
                tallies[queue].earned_worth += tally.earned_worth
                tallies[queue].outcomes.update(tally.outcomes)
        return tallies

    def _handle_heartbeats(self) -> None:
        rooms = {name: group.measure_room() for name, group in self._groups.items()}
        self._views = [dict(rooms) for _ in range(ENTRIES)]

    def _handle_arrival(self, kind: JobKind) -> None:
        view = self._random.choice(self._views)
        own_group = self._random.choice(sorted(self._groups))
        needed_millicores, refused_by = int(kind.tasks * MEAN_MILLICORES), set()
        while True:
            choice = self._choose_group(
                own_group, view, needed_millicores, refused_by, self._random
            )
            group = self._groups[choice.group]
            view[choice.group] = group.measure_room()
            is_roomy = has_room(view[choice.group], needed_millicores, group.endpoints, group.now_s)
            if not choice.only_if_room or is_roomy:
                break
            refused_by.add(choice.group)
        view[choice.group] -= needed_millicores
        group._handle_arrival(kind)


def stay_in_own_group(own_group: str, *_: object) -> GroupChoice:
    """Leaves each job in the group of its identifier, in place of ``route_job``."""
    return GroupChoice(own_group, only_if_room=False)
