"""Simulates a load on a holder's decisions about jobs, in simulated time, without a network."""

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from berylproxy.durable.decisions import placement
from berylproxy.durable.decisions.acceptance import Admission, Refusal
from berylproxy.durable.decisions.placement import (
    LATE_FACTOR,
    PlacementPolicies,
    place_waiting_tasks,
)
from berylproxy.durable.decisions.shares import SharedOrder
from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.job_table import Job, JobTable, Task
from berylproxy.durable.jobs.models import (
    EndedRun,
    EndKind,
    EndpointInfo,
    EndpointInstance,
    JobSpec,
    QueueTerms,
    Resources,
    StepSpec,
    StoredJob,
)
from berylproxy.durable.learning.estimates import RunTimeModel
from tests.support.answer_loss import MESSAGE_DELAY_S, AnswerLoss

GROUP = "ledger"
OBJECTIVE_FACTOR = 1.6
OBJECTIVE_S = 0.06
TICK_S = 0.05


@dataclass(frozen=True)
class JobKind:
    """A kind of job with its load.

    :param queue: the queue of its jobs.
    :param tasks: mean number of tasks of a job.
    :param work_s: mean run time of a task at speed 1.
    :param worth: worth of a job of the mean size.
    """

    queue: str
    arrivals_per_s: float
    tasks: float
    work_s: float
    worth: float


JOB_KINDS = (
    JobKind("short", 17.2, 8, 0.06, 0.0291),
    JobKind("long", 3.13, 4, 0.9, 0.16),
    JobKind("many", 50.0, 2, 0.2, 0.01),
)


@dataclass
class Tally:
    """Results of the jobs of one kind.

    :ivar offered_worth: worth of all jobs.
    :ivar earned_worth: worth of the jobs that ended in time, and a fifth of the worth of late ones.
    """

    offered_worth: float = 0.0
    earned_worth: float = 0.0
    outcomes: Counter = field(default_factory=Counter)


@dataclass
class OfferedJob:
    """The real run times of a job, which the decisions don't know.

    :ivar limit_s: time from the arrival within which the job is in time.
    """

    kind: JobKind
    arrival_s: float
    work_times_s: list[float]
    worth: float
    limit_s: float


def decide_admission(
    admission: Admission, job: Job, endpoints: list[EndpointState], now_s: float
) -> Refusal | None:
    """Decides as a holder does; replaced by baselines."""
    return admission.decide(job, endpoints, now_s)


class LoadSimulation:
    """Simulates one load.

    :cvar kinds: kinds of the jobs.
    :cvar endpoint_count: number of endpoints.
    :cvar task_cores: cores of a task: the mean and the largest.

    :param load_factors: load relative to the usual load, for each second.
    :param backlog_jobs: jobs that arrive at once, 2 s after the start.
    :param unanswered_share: share of the calls to endpoints that stay unanswered.
    :param sends_copies: whether overdue calls are sent again.
    """

    kinds: tuple[JobKind, ...] = JOB_KINDS
    endpoint_count = 24
    task_cores = (27.0, 41.0)

    def __init__(
        self,
        seed: int,
        load_factors: list[float],
        backlog_jobs: int = 0,
        unanswered_share: float = 0.0,
        sends_copies: bool = True,
    ) -> None:
        self.random = Random(seed)
        self.load_factors = load_factors
        self.answer_loss = AnswerLoss(unanswered_share, sends_copies, Random(seed))
        self.model = RunTimeModel()
        self.policies = PlacementPolicies(order=SharedOrder())
        self.job_table = JobTable(self.model)
        self.admission = Admission(self.job_table, self.model)
        self.tallies = {kind.queue: Tally() for kind in self.kinds}
        self.offered_jobs: dict[str, OfferedJob] = {}
        self.now_s = 0.0
        self._events: list = []
        self._numbers = count()
        self._speeds: dict[EndpointInstance, float] = {}
        self.endpoints = [self._make_endpoint(number) for number in range(self.endpoint_count)]
        self._schedule_arrivals(backlog_jobs)

    def run(self) -> dict[str, Tally]:
        """Runs the simulation to the end and returns the results by queue."""
        while self._events:
            self.now_s, _, action, arguments = heappop(self._events)
            action(*arguments)
            self.place()
        return self.tallies

    def place(self) -> None:
        """Places the waiting tasks."""
        place_waiting_tasks(
            self.job_table,
            self.endpoints,
            self.model,
            self.now_s,
            self._order_start,
            policies=self.policies,
        )
        self.admission.note_placed(self.now_s)

    def _make_endpoint(self, number: int) -> EndpointState:
        cores = (64, 64, 96)[number % 3]
        instance = EndpointInstance(f"e{number}", 0)
        self._speeds[instance] = (1.6, 1.0, 0.6)[number // 3 % 3]
        info = EndpointInfo(instance, GROUP, "h:1", "a", Resources(cores * 1000, 256_000))
        return EndpointState(info, contacted_s=0.0)

    def _schedule_arrivals(self, backlog_jobs: int) -> None:
        rates = [kind.arrivals_per_s for kind in self.kinds]
        for _ in range(backlog_jobs):
            kind = self.random.choices(self.kinds, rates)[0]
            self._schedule(self.random.uniform(2.0, 2.02), self._handle_arrival, kind)
        for kind in self.kinds:
            arrival_s = 0.0
            while True:
                load_factor = self.load_factors[int(arrival_s)]
                arrival_s += self.random.expovariate(kind.arrivals_per_s * load_factor)
                if arrival_s >= len(self.load_factors):
                    break
                self._schedule(arrival_s, self._handle_arrival, kind)
        for tick in range(int((len(self.load_factors) + 5) / TICK_S)):
            self._schedule(tick * TICK_S, self._abandon_late_jobs)

    def _schedule(self, time_s: float, action, *arguments) -> None:
        heappush(self._events, (time_s, next(self._numbers), action, arguments))

    def _draw_lognormal(self, mean: float, sigma: float) -> float:
        return mean * self.random.lognormvariate(-sigma * sigma / 2, sigma)

    def _handle_arrival(self, kind: JobKind) -> None:
        tasks = max(1, round(self._draw_lognormal(kind.tasks, 0.4)))
        work_s = self._draw_lognormal(kind.work_s, 0.4)
        work_times_s = self._draw_work_times(work_s, tasks)
        mean_cores, max_cores = self.task_cores
        cores = min(self._draw_lognormal(mean_cores, 0.2), max_cores)
        size = sum(work_times_s) * cores / (kind.tasks * kind.work_s * mean_cores)
        worth = kind.worth * min(0.3 + 0.7 * size, 4)
        limit_s = OBJECTIVE_FACTOR * max(work_times_s) + OBJECTIVE_S
        offered_job = OfferedJob(kind, self.now_s, work_times_s, worth, limit_s)
        terms = QueueTerms(kind.queue, GROUP, 0, 3, OBJECTIVE_FACTOR, OBJECTIVE_S)
        step = StepSpec(
            tasks, Resources(int(cores * 1000), 64), self._draw_lognormal(work_s, 0.4) * 0.4
        )
        spec = JobSpec(f"j{next(self._numbers)}", terms, "", (step,), is_kept=False)
        self.tallies[kind.queue].offered_worth += worth
        tentative_job = self.job_table.prepare(StoredJob(spec, 0.0), self.now_s)
        if decide_admission(self.admission, tentative_job, self.endpoints, self.now_s) is not None:
            self.tallies[kind.queue].outcomes["refused"] += 1
            return
        self.offered_jobs[spec.job_id] = offered_job
        self._open_job(self.job_table, spec, is_excess=tentative_job.is_excess)

    def _draw_work_times(self, work_s: float, tasks: int) -> list[float]:
        """Returns the real run times of a job's tasks at speed 1."""
        return [self._draw_lognormal(work_s, 0.15) for _ in range(tasks)]

    def _open_job(self, job_table: JobTable, spec: JobSpec, **fields) -> Job:
        return job_table.open(StoredJob(spec, 0.0), self.now_s, **fields)

    def _order_start(self, task: Task, endpoint: EndpointState) -> None:
        instance = endpoint.info.instance
        self.job_table.note_ordered(task, instance, self.now_s)
        endpoint.add_run(task.name, task.run, task.step.needs)
        work_s = self.offered_jobs[task.name.job_id].work_times_s[task.name.index]
        took_s = work_s / self._speeds[instance] + 2 * MESSAGE_DELAY_S
        job = self.job_table.jobs[task.name.job_id]
        expected_s = job.expected_s / self.model.speed(instance.endpoint_id)
        took_s += self.answer_loss.start_delay_s()
        took_s += self.answer_loss.news_delay_s(expected_s, took_s)
        self._schedule(self.now_s + took_s, self._handle_end, task, task.run, endpoint)

    def _handle_end(
        self, task: Task, run: int, endpoint: EndpointState, neighbour_factor: float = 1.0
    ) -> None:
        endpoint.remove_run(task.name, run)
        known_task = self.job_table.find_task(task.name)
        if known_task is None:
            return
        job, instance = self.job_table.jobs[task.name.job_id], endpoint.info.instance
        took_s = (self.now_s - task.started_s) / neighbour_factor
        queue = job.spec.terms.queue
        self.model.learn(queue, task.step.estimate_s, instance.endpoint_id, took_s)
        self.job_table.note_end(task, EndedRun(1, task.name, run, EndKind.DONE, ""), instance)
        if job.is_final:
            self._finish_job(job, "done")

    def _abandon_late_jobs(self) -> None:
        for job in list(self.job_table.jobs.values()):
            if placement.is_too_late(job, self.now_s):
                for endpoint in self.endpoints:
                    for name, run in list(endpoint.runs):
                        if name.job_id == job.spec.job_id:
                            endpoint.remove_run(name, run)
                self.job_table.cancel(job)
                self._finish_job(job, "broken off" if job.started else "given up")

    def _finish_job(self, job: Job, outcome: str) -> None:
        offered_job = self.offered_jobs.pop(job.spec.job_id)
        tally = self.tallies[offered_job.kind.queue]
        took_s = self.now_s - offered_job.arrival_s + MESSAGE_DELAY_S
        if outcome == "done":
            outcome = "in time" if took_s <= offered_job.limit_s else "late"
            if took_s > LATE_FACTOR * offered_job.limit_s:
                outcome = "useless"
        tally.outcomes[outcome] += 1
        tally.earned_worth += offered_job.worth * {"in time": 1.0, "late": 0.2}.get(outcome, 0.0)
        self.job_table.close(job)


def summarize(simulations: list[dict[str, Tally]]) -> dict[str, float]:
    """Sums up simulations: shares of the worth earned, by queue and overall, and of outcomes."""
    offered_worth, earned_worth, outcomes = Counter(), Counter(), Counter()
    for simulation in simulations:
        for queue, tally in simulation.items():
            offered_worth[queue] += tally.offered_worth
            earned_worth[queue] += tally.earned_worth
            outcomes.update(tally.outcomes)
    shares = {queue: earned_worth[queue] / offered_worth[queue] for queue in offered_worth}
    served = outcomes["in time"] + outcomes["late"]
    return {
        **shares,
        "all": earned_worth.total() / offered_worth.total(),
        "served": served / outcomes.total(),
        "in time": outcomes["in time"] / outcomes.total(),
        "useless": outcomes["useless"] / outcomes.total(),
    }
