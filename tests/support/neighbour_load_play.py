"""Simulates a load of tasks that slow each other down on one endpoint, without a network."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace
from itertools import count
from math import log

from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.endpoints.neighbour_mode import NeighbourMode
from berylproxy.durable.endpoints.neighbours import NeighbourModel
from berylproxy.durable.jobs.job_table import Task
from berylproxy.durable.jobs.models import EndpointInstance
from berylproxy.durable.learning.pair_effects import Pair
from tests.support.answer_loss import MESSAGE_DELAY_S
from tests.support.load_play import LoadSimulation

REFRESH_INTERVAL_S = 0.5


@dataclass(eq=False)
class ActiveRun:
    """A run and the work that it still has to do at its endpoint's speed."""

    task: Task
    run: int
    endpoint: EndpointState
    remaining_s: float
    updated_s: float
    rate: float = 1.0
    version: int = 0


class NeighbourLoadSimulation(LoadSimulation):
    """Simulates a load in which some kinds of task slow others down.

    :param factors: factor on the run time of a kind for each neighbour, by pair; changes apply to
        active runs from the next start or end on their endpoint.
    :param keeps_apart: whether placement uses what the model finds.
    :ivar found_s: time at which each pair was found first.
    :ivar cleared_s: time at which each pair was cleared last.
    :ivar shared_runs_until_found: ended runs of the slowed kind beside the other one until a pair
        was found.
    """

    def __init__(
        self,
        seed: int,
        load_factors: list[float],
        factors: Mapping[Pair, float],
        keeps_apart: bool = True,
        tail_share: float = 0.0,
    ) -> None:
        self.factors = dict(factors)
        mode = NeighbourMode.APART if keeps_apart else NeighbourMode.OBSERVE
        self.neighbours = NeighbourModel(lambda: mode)
        self.found_s: dict[Pair, float] = {}
        self.cleared_s: dict[Pair, float] = {}
        self.shared_runs_until_found: dict[Pair, int] = {}
        self._shared_runs: Counter[Pair] = Counter()
        self._active: dict[EndpointState, list[ActiveRun]] = {}
        self._versions = count(1)
        self._tail_share = tail_share
        super().__init__(seed, load_factors)
        self.policies = replace(self.policies, neighbours=self.neighbours)
        for tick in range(int((len(load_factors) + 5) / REFRESH_INTERVAL_S)):
            self._schedule(tick * REFRESH_INTERVAL_S, self._refresh)

    @property
    def speeds(self) -> Mapping[EndpointInstance, float]:
        """The real speed of each endpoint."""
        return self._speeds

    def change_factors(self, at_s: float, factors: Mapping[Pair, float]) -> None:
        """Schedules other factors."""
        self._schedule(at_s, self.factors.update, factors)

    def _refresh(self) -> None:
        for change in self.neighbours.refresh(self.now_s):
            pair = change.effect.pair
            if not change.is_found:
                self.cleared_s[pair] = self.now_s
            elif pair not in self.found_s:
                self.found_s[pair] = self.now_s
                self.shared_runs_until_found[pair] = self._shared_runs[pair]

    def _order_start(self, task: Task, endpoint: EndpointState) -> None:
        instance = endpoint.info.instance
        self.job_table.note_ordered(task, instance, self.now_s)
        kind = self.job_table.jobs[task.name.job_id].spec.terms.queue
        run = endpoint.add_run(task.name, task.run, task.step.needs, kind)
        self.neighbours.note_start(endpoint, run, self.now_s)
        work_s = self.offered_jobs[task.name.job_id].work_times_s[task.name.index]
        if self._tail_share and self.random.random() < self._tail_share:
            work_s *= 7
        active = ActiveRun(
            task,
            task.run,
            endpoint,
            work_s / self._speeds[instance] + 2 * MESSAGE_DELAY_S,
            self.now_s,
        )
        self._active.setdefault(endpoint, []).append(active)
        self._update_rates(endpoint)

    def _update_rates(self, endpoint: EndpointState) -> None:
        """Applies the work done so far and schedules the ends at the rates from now on."""
        active = self._active[endpoint] = [
            run
            for run in self._active.get(endpoint, [])
            if (run.task.name, run.run) in endpoint.runs
        ]
        kinds = [endpoint.runs[run.task.name, run.run].kind for run in active]
        for index, run in enumerate(active):
            run.remaining_s -= (self.now_s - run.updated_s) * run.rate
            run.updated_s = self.now_s
            run.rate = 1.0
            for other, kind in enumerate(kinds):
                if other != index:
                    run.rate /= self.factors.get(Pair(kinds[index], kind), 1.0)
            run.version = next(self._versions)
            end_s = self.now_s + max(run.remaining_s, 0.0) / run.rate
            self._schedule(end_s, self._end_if_current, run, run.version)

    def _end_if_current(self, run: ActiveRun, version: int) -> None:
        if run.version != version:
            return
        endpoint, task = run.endpoint, run.task
        endpoint_run = endpoint.runs.get((task.name, run.run))
        is_known = self.job_table.find_task(task.name) is task
        log_deviation = self._log_deviation(endpoint, task)
        endpoint.remove_run(task.name, run.run)
        beside = self.neighbours.note_end(endpoint, endpoint_run, self.now_s)
        factor = 1.0
        if is_known and beside is not None:
            kind = endpoint_run.kind
            self.neighbours.learn(task.name, kind, beside, log_deviation, self.now_s)
            self._shared_runs.update(Pair(kind, neighbour) for neighbour in beside)
            factor = self.neighbours.expected_factor(kind, beside)
        self._handle_end(task, run.run, endpoint, factor)
        self._update_rates(endpoint)

    def _log_deviation(self, endpoint: EndpointState, task: Task) -> float:
        """Returns the logarithm of a task's run time relative to the expected one."""
        job = self.job_table.jobs.get(task.name.job_id)
        if job is None:
            return 0.0
        speed = self.model.speed(endpoint.info.instance.endpoint_id)
        queue = job.spec.terms.queue
        expected_s = self.model.expected_run_time_s(queue, task.step.estimate_s) / speed
        return log((self.now_s - task.started_s) / expected_s)
