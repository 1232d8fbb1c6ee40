"""Simulates a load whose tasks and endpoints are uneven, and decisions that don't know of it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp, log
from random import Random

from berylproxy.durable.decisions.moves import MoveReason, plan_moves
from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.job_table import Job, Task, TaskStatus
from berylproxy.durable.jobs.models import (
    EndedRun,
    EndKind,
    EndpointInfo,
    EndpointInstance,
    Resources,
)
from berylproxy.durable.learning.estimates import RunTimeModel, TaskEstimate
from berylproxy.durable.learning.response_times import renewal_wait_s
from berylproxy.durable.learning.run_times import RunPace
from berylproxy.durable.learning.trust import (
    SUSPECTED_PROBABILITY,
    EndpointTrust,
    FailureStatistics,
    FailureTrust,
)
from tests.support.answer_loss import MESSAGE_DELAY_S
from tests.support.load_play import GROUP, JobKind, LoadSimulation

FAILURE_AFTER_S = 0.01  # a run at a failing endpoint ends soon
STOP_S = 0.03
UNEVEN_KINDS = (
    JobKind("check", 28.0, 8, 0.051, 0.00485),
    JobKind("order", 5.1, 4, 0.76, 0.0267),
    JobKind("rollback", 82.0, 2, 0.17, 0.00167),
)


@dataclass
class FormerRunTimeModel:
    """Speeds and run times by moving averages, in place of :class:`RunTimeModel`."""

    _queues: dict[str, list[float]] = field(default_factory=dict)
    _speeds: dict[str, float] = field(default_factory=dict)
    _total_log_speed: float = 0.0

    def advance(self, now_s: float) -> None:
        """Does nothing: knowledge doesn't decay."""

    def expected_run_time_s(self, queue: str, estimate_s: float) -> float:
        """Returns the geometric mean of a task's estimate and its queue's mean."""
        mean_log_s, count = self._queues.get(queue, (0.0, 0))
        return exp((log(estimate_s) + mean_log_s) / 2) if count else estimate_s

    def expected_at_s(self, task: TaskEstimate, endpoint_id: str) -> float:
        """Returns the expected run time at an endpoint."""
        return self.expected_run_time_s(task.queue, task.estimate_s) / self.speed(endpoint_id)

    def speed(self, endpoint_id: str) -> float:
        """Returns the speed of an endpoint by its last ten ends or so."""
        if endpoint_id not in self._speeds:
            return 1.0
        return exp(self._speeds[endpoint_id] - self._mean_log_speed())

    def is_slowed(self, endpoint_id: str) -> bool:
        """Returns that no endpoint is."""
        return False

    def note_progress(self, *_: object) -> None:
        """Learns nothing from progress."""

    def learn_task(self, task: TaskEstimate, endpoint_id: str, run_time_s: float, _: object):
        """Updates the moving averages."""
        observed = log(run_time_s)
        expected = log(self.expected_run_time_s(task.queue, task.estimate_s))
        former = self._speeds.get(endpoint_id, self._mean_log_speed())
        self._speeds[endpoint_id] = former + 0.1 * (expected - observed - former)
        self._total_log_speed = sum(self._speeds.values())
        history = self._queues.setdefault(task.queue, [0.0, 0])
        history[1] += 1
        relative = self._speeds[endpoint_id] - self._mean_log_speed()
        history[0] += max(0.05, 1 / history[1]) * (observed + relative - history[0])

    def _mean_log_speed(self) -> float:
        return self._total_log_speed / len(self._speeds) if self._speeds else 0.0


class FormerTrust:
    """Trusts each endpoint that is not in quarantine, in place of :class:`FailureTrust`."""

    def failure_probability(self, now_s: float) -> float:
        """Returns 0."""
        return 0.0

    def is_on_probation(self, now_s: float) -> bool:
        """Returns that no endpoint is."""
        return False

    def note_done(self, now_s: float) -> None:
        """Does nothing."""

    note_failed = note_silence = note_done


@dataclass(frozen=True)
class Decisions:
    """The decisions that are compared."""

    make_model: Callable[[], RunTimeModel | FormerRunTimeModel]
    make_trust: Callable[[FailureStatistics], EndpointTrust]


NEW_DECISIONS = Decisions(RunTimeModel, FailureTrust)
FORMER_DECISIONS = Decisions(FormerRunTimeModel, lambda group: FormerTrust())


@dataclass(frozen=True)
class Disturbance:
    """A disturbance of some endpoints.

    :param share: share of the endpoints that it affects.
    :param slowdown: factor on their run times.
    :param failing: share of the runs that fail there.
    :param shedding: share of the orders that they refuse.
    :param flaps_each_s: they lose their runs, and refuse orders for as long, with this period.
    """

    share: float
    begin_s: float = 2.0
    end_s: float = 8.0
    slowdown: float = 1.0
    failing: float = 0.0
    shedding: float = 0.0
    flaps_each_s: float = 0.0


@dataclass(eq=False)
class SimulatedRun:
    """A run with its real progress.

    :ivar remaining_s: its remaining work at speed 1 at ``updated_s``.
    :ivar version: number of its newest scheduled end; earlier ones don't count.
    """

    task: Task
    run: int
    endpoint: EndpointState
    work_s: float
    remaining_s: float
    updated_s: float
    version: int = 0
    fails: bool = False


class UnevenLoadSimulation(LoadSimulation):
    """Simulates a load on endpoints of 16 cores with tasks of about 8 cores, some of them long.

    :param decisions: the decisions about speeds, trust and moves.
    :param long_share: share of the tasks that take seven times as long.
    :ivar moves: number of runs that were moved from slowed endpoints.
    :ivar sound_samples: how often an endpoint that is not disturbed was looked at, and how often it
        was found to be slowed then.
    """

    kinds = UNEVEN_KINDS
    endpoint_count = 54
    task_cores = (8.0, 12.0)

    def __init__(
        self,
        seed: int,
        load_factors: list[float],
        decisions: Decisions = NEW_DECISIONS,
        disturbance: Disturbance | None = None,
        *,
        long_share: float = 1 / 30,
    ) -> None:
        self._decisions = decisions
        self._disturbance = disturbance
        self._failures = FailureStatistics()
        self._long_share = long_share
        self._world_random = Random(seed + 1000)
        self._runs: dict[tuple, SimulatedRun] = {}
        self.moves = 0
        self.sound_samples = [0, 0]
        super().__init__(seed, load_factors)
        self.model = decisions.make_model()
        count = round((disturbance.share if disturbance else 0) * self.endpoint_count)
        chosen = self._world_random.sample(self.endpoints, count)
        self._disturbed = {endpoint.info.instance for endpoint in chosen}
        self._trusts = {e.info.instance.endpoint_id: e.trust for e in self.endpoints}
        if disturbance is not None:
            self._schedule(disturbance.begin_s, self._change_speeds, 1 / disturbance.slowdown)
            self._schedule(disturbance.end_s, self._change_speeds, disturbance.slowdown)
            if disturbance.flaps_each_s:
                for number in range(int(6 / disturbance.flaps_each_s)):
                    at_s = disturbance.begin_s + number * disturbance.flaps_each_s
                    self._schedule(at_s, self._crash)

    def _make_endpoint(self, number: int) -> EndpointState:
        instance = EndpointInstance(f"e{number}", 0)
        self._speeds[instance] = (1.2, 1.0, 0.8)[number % 3]
        info = EndpointInfo(instance, GROUP, "h:1", "a", Resources(16_000, 65_536))
        return EndpointState(
            info, contacted_s=0.0, trust=self._decisions.make_trust(self._failures)
        )

    def _draw_work_times(self, work_s: float, tasks: int) -> list[float]:
        return [
            time_s * (7 if self._world_random.random() < self._long_share else 1)
            for time_s in super()._draw_work_times(work_s, tasks)
        ]

    def _is_disturbed(self, endpoint: EndpointState) -> bool:
        if self._disturbance is None or endpoint.info.instance not in self._disturbed:
            return False
        return self._disturbance.begin_s <= self.now_s < self._disturbance.end_s

    def _order_start(self, task: Task, endpoint: EndpointState) -> None:
        job = self.job_table.jobs[task.name.job_id]
        instance = endpoint.info.instance
        self.job_table.note_ordered(task, instance, self.now_s)
        endpoint_run = endpoint.add_run(task.name, task.run, task.step.needs)
        estimate = TaskEstimate(
            job.spec.terms.queue, task.step.estimate_s, 1.0, job.siblings, task.name[1:]
        )
        expected_s = self.model.expected_at_s(estimate, instance.endpoint_id)
        endpoint_run.estimate, endpoint_run.pace = estimate, RunPace(expected_s, self.now_s)
        is_disturbed, disturbance = self._is_disturbed(endpoint), self._disturbance
        if is_disturbed and self._world_random.random() < disturbance.shedding:
            self._schedule(self.now_s + 2 * MESSAGE_DELAY_S, self._refuse, task, task.run, endpoint)
            return
        task.status = TaskStatus.RUNNING
        work_s = self.offered_jobs[task.name.job_id].work_times_s[task.name.index]
        run = SimulatedRun(task, task.run, endpoint, work_s, work_s, self.now_s + MESSAGE_DELAY_S)
        run.fails = is_disturbed and self._world_random.random() < disturbance.failing
        self._runs[task.name, task.run] = run
        if run.fails:
            run.remaining_s = FAILURE_AFTER_S * self._speeds[instance]
        self._schedule_end(run)
        self._schedule(self.now_s + renewal_wait_s(expected_s), self._report_run, run)

    def _schedule_end(self, run: SimulatedRun) -> None:
        run.version += 1
        took_s = run.remaining_s / self._speeds[run.endpoint.info.instance]
        at_s = run.updated_s + took_s + MESSAGE_DELAY_S
        self._schedule(at_s, self._end_run, run, run.version)

    def _advance_run(self, run: SimulatedRun) -> None:
        elapsed_s = max(self.now_s - run.updated_s, 0.0)
        run.remaining_s -= elapsed_s * self._speeds[run.endpoint.info.instance]
        run.remaining_s = max(run.remaining_s, 0.0)
        run.updated_s = max(self.now_s, run.updated_s)

    def _change_speeds(self, factor: float) -> None:
        affected = [run for run in self._runs.values() if self._is_run_disturbed(run)]
        for run in affected:
            self._advance_run(run)
        for instance in self._disturbed:
            self._speeds[instance] *= factor
        for run in affected:
            self._schedule_end(run)

    def _is_run_disturbed(self, run: SimulatedRun) -> bool:
        return run.endpoint.info.instance in self._disturbed

    def _crash(self) -> None:
        """Ends the runs of the disturbed endpoints, which refuse orders for a while."""
        lasts_s = self._disturbance.flaps_each_s / 2
        for run in [run for run in self._runs.values() if self._is_run_disturbed(run)]:
            self._take_away(run)
            self.job_table.note_not_running(run.task)
        for endpoint in self.endpoints:
            if endpoint.info.instance in self._disturbed:
                endpoint.trust.note_silence(self.now_s)
                endpoint.missed_calls = 1
                self._schedule(self.now_s + lasts_s, self._come_back, endpoint)

    def _come_back(self, endpoint: EndpointState) -> None:
        endpoint.missed_calls = 0

    def _refuse(self, task: Task, run: int, endpoint: EndpointState) -> None:
        endpoint.remove_run(task.name, run)
        endpoint.quarantine(self.now_s)
        if self.job_table.find_task(task.name) is not None and task.run == run:
            self.job_table.note_not_running(task)

    def _take_away(self, run: SimulatedRun) -> None:
        run.version += 1
        run.endpoint.remove_run(run.task.name, run.run)
        self._runs.pop((run.task.name, run.run), None)

    def _report_run(self, run: SimulatedRun) -> None:
        if (run.task.name, run.run) not in self._runs:
            return
        self._report(run.endpoint)
        self._schedule(self.now_s + 0.1, self._report_run, run)

    def _report(self, endpoint: EndpointState) -> None:
        """Applies the progress of all runs at an endpoint, as the holder does."""
        self.model.advance(self.now_s)
        for name, number in list(endpoint.runs):
            run = self._runs.get((name, number))
            task = self.job_table.find_task(name)
            if run is None or task is None:
                continue
            self._advance_run(run)
            percent = int(100 * (1 - run.remaining_s / run.work_s))
            if percent != task.progress_percent:
                task.progress_percent, task.progressed_s = percent, self.now_s
            known = endpoint.runs[name, number]
            self.model.note_progress(
                known.estimate, endpoint.info.instance.endpoint_id, known.pace, percent
            )
        if isinstance(self.model, RunTimeModel):
            self.model.update_findings()

    def _end_run(self, run: SimulatedRun, version: int) -> None:
        if run.version != version or (run.task.name, run.run) not in self._runs:
            return
        task, endpoint = run.task, run.endpoint
        known = endpoint.runs.get((task.name, run.run))
        self._take_away(run)
        self.model.advance(self.now_s)
        job = self.job_table.jobs.get(task.name.job_id)
        kind = EndKind.FAILED if run.fails else EndKind.DONE
        if run.fails:
            if not task.failed_endpoint_ids:
                endpoint.note_failure(self.now_s)
            elif self._has_failed_at_suspected(task):
                endpoint.trust.note_failed(self.now_s)
        else:
            endpoint.note_success(self.now_s)
        if self.job_table.find_task(task.name) is not None and job is not None:
            if not run.fails and known is not None:
                endpoint_id = endpoint.info.instance.endpoint_id
                took_s = self.now_s - known.pace.started_s
                self.model.learn_task(known.estimate, endpoint_id, took_s, known.pace)
            end = EndedRun(1, task.name, run.run, kind, "")
            self.job_table.note_end(task, end, endpoint.info.instance)
            if job.is_final:
                self._finish_job(job, "failed" if run.fails else "done")
        self._report(endpoint)

    def _has_failed_at_suspected(self, task: Task) -> bool:
        return all(
            self._trusts[endpoint_id].failure_probability(self.now_s) >= SUSPECTED_PROBABILITY
            for endpoint_id in task.failed_endpoint_ids
        )

    def _abandon_late_jobs(self) -> None:
        super()._abandon_late_jobs()
        for move in plan_moves(self.endpoints, self.job_table, self.model, self.now_s):
            move.task.moves += move.reason is MoveReason.SLOWED
            self.moves += move.reason is MoveReason.SLOWED
            run = self._runs[move.task.name, move.task.run]
            move.endpoint.runs[run.task.name, run.run].move_ordered_s = self.now_s
            self._schedule(self.now_s + STOP_S, self._stop_run, run)
        for endpoint in self.endpoints:
            if not self._is_disturbed(endpoint):
                self.sound_samples[0] += 1
                endpoint_id = endpoint.info.instance.endpoint_id
                self.sound_samples[1] += self.model.is_slowed(endpoint_id)

    def _stop_run(self, run: SimulatedRun) -> None:
        if (run.task.name, run.run) not in self._runs:
            return
        self._take_away(run)
        if self.job_table.find_task(run.task.name) is not None:
            self.job_table.note_not_running(run.task)

    def _finish_job(self, job: Job, outcome: str) -> None:
        for key, run in list(self._runs.items()):
            if key[0].job_id == job.spec.job_id:
                self._take_away(run)
        super()._finish_job(job, outcome)
