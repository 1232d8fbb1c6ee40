"""Plays a load through the decisions about jobs, in simulated time and without a network."""

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from berylproxy.durable import placement
from berylproxy.durable.acceptance import decide_admission
from berylproxy.durable.estimates import RunTimeModel
from berylproxy.durable.fleet import EndpointState
from berylproxy.durable.job_table import Job, JobTable, Task
from berylproxy.durable.models import (
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
from berylproxy.durable.placement import LATE_FACTOR, place_waiting_tasks

GROUP = "ledger"
MESSAGE_S = 0.004  # one way between holder and endpoint, with their work
STRETCH = 1.6
OBJECTIVE_S = 0.06
TICK_S = 0.05


@dataclass(frozen=True)
class Kind:
    """A kind of job.

    :param worth: of a job of the mean size.
    """

    queue: str
    per_s: float
    tasks: float
    work_s: float
    worth: float


KINDS = (
    Kind("short", 17.2, 8, 0.06, 0.0291),
    Kind("long", 3.13, 4, 0.9, 0.16),
    Kind("many", 50.0, 2, 0.2, 0.01),
)


@dataclass
class Tally:
    """What callers of a kind got.

    :ivar owed: the worth of all jobs; :ivar earned: of those in time, and a fifth of late ones.
    """

    owed: float = 0.0
    earned: float = 0.0
    outcomes: Counter = field(default_factory=Counter)


@dataclass
class Offer:
    """A job as it really is, which the decisions don't see."""

    kind: Kind
    at_s: float
    works_s: list[float]
    worth: float
    limit_s: float


class LoadPlay:
    """Plays one load.

    :param factors: times the usual load, for each second.
    """

    def __init__(self, seed: int, factors: list[float], backlog_jobs: int = 0) -> None:
        self.random = Random(seed)
        self.factors = factors
        self.job_table = JobTable()
        self.model = RunTimeModel()
        self.tallies = {kind.queue: Tally() for kind in KINDS}
        self.offers: dict[str, Offer] = {}
        self.now_s = 0.0
        self._events: list = []
        self._numbers = count()
        self._speeds: dict[EndpointInstance, float] = {}
        self.endpoints = [self._make_endpoint(number) for number in range(24)]
        self._plan_arrivals(backlog_jobs)

    def run(self) -> dict[str, Tally]:
        """Plays to the end."""
        while self._events:
            self.now_s, _, action, arguments = heappop(self._events)
            action(*arguments)
            place_waiting_tasks(self.job_table, self.endpoints, self.model, self.now_s, self._order)
        return self.tallies

    def _make_endpoint(self, number: int) -> EndpointState:
        cores = (64, 64, 96)[number % 3]
        instance = EndpointInstance(f"e{number}", 0)
        self._speeds[instance] = (1.6, 1.0, 0.6)[number // 3 % 3]
        info = EndpointInfo(instance, GROUP, "h:1", "a", Resources(cores * 1000, 256_000))
        return EndpointState(info, contacted_s=0.0)

    def _plan_arrivals(self, backlog_jobs: int) -> None:
        rates = [kind.per_s for kind in KINDS]
        for _ in range(backlog_jobs):
            kind = self.random.choices(KINDS, rates)[0]
            self._at(self.random.uniform(2.0, 2.02), self._arrive, kind)
        for kind in KINDS:
            at_s = 0.0
            while True:
                factor = self.factors[int(at_s)]
                at_s += self.random.expovariate(kind.per_s * factor)
                if at_s >= len(self.factors):
                    break
                self._at(at_s, self._arrive, kind)
        for tick in range(int((len(self.factors) + 5) / TICK_S)):
            self._at(tick * TICK_S, self._give_up)

    def _at(self, at_s: float, action, *arguments) -> None:
        heappush(self._events, (at_s, next(self._numbers), action, arguments))

    def _spread(self, mean: float, spread: float) -> float:
        return mean * self.random.lognormvariate(-spread * spread / 2, spread)

    def _arrive(self, kind: Kind) -> None:
        tasks = max(1, round(self._spread(kind.tasks, 0.4)))
        work_s = self._spread(kind.work_s, 0.4)
        works_s = [self._spread(work_s, 0.15) for _ in range(tasks)]
        cores = min(self._spread(27, 0.2), 41)
        size = sum(works_s) * cores / (kind.tasks * kind.work_s * 27)
        worth = kind.worth * min(0.3 + 0.7 * size, 4)
        limit_s = STRETCH * max(works_s) + OBJECTIVE_S
        offer = Offer(kind, self.now_s, works_s, worth, limit_s)
        terms = QueueTerms(kind.queue, GROUP, 0, 3, STRETCH, OBJECTIVE_S)
        step = StepSpec(tasks, Resources(int(cores * 1000), 64), self._spread(work_s, 0.4) * 0.4)
        spec = JobSpec(f"j{next(self._numbers)}", terms, "", (step,), is_kept=False)
        self.tallies[kind.queue].owed += worth
        draft = self._open(JobTable(), spec)
        if (
            decide_admission(
                draft, self.job_table.jobs.values(), self.endpoints, self.model, self.now_s
            )
            is not None
        ):
            self.tallies[kind.queue].outcomes["refused"] += 1
            return
        self.offers[spec.job_id] = offer
        self._open(self.job_table, spec)

    def _open(self, job_table: JobTable, spec: JobSpec) -> Job:
        job = job_table.open(StoredJob(spec, 0.0), self.now_s)
        job.expected_s = self.model.expected_run_time_s(spec.terms.queue, spec.steps[0].estimate_s)
        return job

    def _order(self, task: Task, endpoint: EndpointState) -> None:
        instance = endpoint.info.instance
        self.job_table.note_ordered(task, instance, self.now_s)
        endpoint.add_run(task.name, task.run, task.step.needs)
        work_s = self.offers[task.name.job_id].works_s[task.name.index]
        took_s = work_s / self._speeds[instance] + 2 * MESSAGE_S
        self._at(self.now_s + took_s, self._end, task, task.run, endpoint)

    def _end(self, task: Task, run: int, endpoint: EndpointState) -> None:
        endpoint.remove_run(task.name, run)
        found = self.job_table.find_task(task.name)
        if found is None:
            return
        job, instance = self.job_table.jobs[task.name.job_id], endpoint.info.instance
        took_s = self.now_s - task.started_s
        queue = job.spec.terms.queue
        self.model.learn(queue, task.step.estimate_s, instance.endpoint_id, took_s)
        self.job_table.note_end(task, EndedRun(1, task.name, run, EndKind.DONE, ""), instance)
        if job.is_final:
            self._conclude(job, "done")

    def _give_up(self) -> None:
        for job in list(self.job_table.jobs.values()):
            if placement.is_too_late(job, self.now_s):
                for endpoint in self.endpoints:
                    for name, run in list(endpoint.runs):
                        if name.job_id == job.spec.job_id:
                            endpoint.remove_run(name, run)
                self.job_table.cancel(job)
                self._conclude(job, "broken off" if job.started else "given up")

    def _conclude(self, job: Job, outcome: str) -> None:
        offer = self.offers.pop(job.spec.job_id)
        tally = self.tallies[offer.kind.queue]
        took_s = self.now_s - offer.at_s + MESSAGE_S
        if outcome == "done":
            outcome = "in time" if took_s <= offer.limit_s else "late"
            if took_s > LATE_FACTOR * offer.limit_s:
                outcome = "useless"
        tally.outcomes[outcome] += 1
        tally.earned += offer.worth * {"in time": 1.0, "late": 0.2}.get(outcome, 0.0)
        self.job_table.close(job)


def summarize(plays: list[dict[str, Tally]]) -> dict[str, float]:
    """Sums up several plays: the share of worth earned, by kind and in all, and of jobs served."""
    owed, earned, outcomes = Counter(), Counter(), Counter()
    for play in plays:
        for queue, tally in play.items():
            owed[queue] += tally.owed
            earned[queue] += tally.earned
            outcomes.update(tally.outcomes)
    shares = {queue: earned[queue] / owed[queue] for queue in owed}
    served = outcomes["in time"] + outcomes["late"]
    return {
        **shares,
        "all": earned.total() / owed.total(),
        "served": served / outcomes.total(),
        "in time": outcomes["in time"] / outcomes.total(),
        "useless": outcomes["useless"] / outcomes.total(),
    }
