"""Simulates a load by several claimants on one group whose room is scarce at times."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from msgspec.structs import replace

from berylproxy.durable.decisions.placement import LATE_FACTOR
from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.job_table import Job
from berylproxy.durable.jobs.models import (
    EndpointInfo,
    EndpointInstance,
    JobSpec,
    QueueTerms,
    Resources,
    StepSpec,
    StoredJob,
)
from tests.support import load_play
from tests.support.answer_loss import MESSAGE_DELAY_S
from tests.support.load_play import (
    GROUP,
    JOB_KINDS,
    OBJECTIVE_FACTOR,
    OBJECTIVE_S,
    JobKind,
    LoadSimulation,
    OfferedJob,
)

DOMAINS = {"a": 0.35, "b": 0.29, "c": 0.36}  # share of the callers in each failure domain
ENDPOINTS = 30
MEAN_CORES, MAX_CORES = 8, 12
PRIORITIES = {"short": 0, "many": 1, "long": 2}


@dataclass(frozen=True)
class Surge:
    """More jobs than usual for a while.

    :param queue: the queue that they are of; all if empty.
    :param domain: the failure domain that they come from; all if empty.
    """

    factor: float
    begin_s: float
    end_s: float
    queue: str = ""
    domain: str = ""

    def factor_at(self, time_s: float, queue: str, domain: str) -> float:
        """Returns the factor on the rate of arrivals of a source."""
        is_of_source = self.queue in ("", queue) and self.domain in ("", domain)
        return self.factor if is_of_source and self.begin_s <= time_s < self.end_s else 1.0


@dataclass(frozen=True)
class Load:
    """A load on the group.

    :param lost_endpoints: number of endpoints that take no tasks from ``lost_from_s`` for 4 s.
    :param callers_return: whether refused callers return once, at the time told.
    :param observed_from_s: time from which the outcomes of jobs are of interest.
    """

    surges: tuple[Surge, ...] = ()
    lost_endpoints: int = 0
    lost_from_s: float = 3.0
    length_s: float = 8.0
    observed_from_s: float = 3.0
    callers_return: bool = False


@dataclass(frozen=True)
class Ended:
    """How a job ended for its caller.

    :ivar relative_size: work relative to the mean of the job's queue.
    :ivar took_s: time until the caller had its answer, from its return if it was refused first.
    :ivar has_returned: whether the caller returned after a refusal.
    """

    queue: str
    domain: str
    relative_size: float
    outcome: str
    arrival_s: float
    took_s: float
    has_returned: bool


class ShareSimulation(LoadSimulation):
    """Simulates a load by the callers of three failure domains on 30 endpoints of 16 or 24 cores.

    A quarter of the endpoints have speed 0.55, the others 1.2.
    """

    def __init__(self, seed: int, load: Load) -> None:
        self._load = load
        super().__init__(seed, [])
        self.endpoints = [self._make_small_endpoint(number) for number in range(ENDPOINTS)]
        self.ended: list[Ended] = []
        self.returned: set[str] = set()
        self._sources: dict[str, tuple[str, float]] = {}
        self._schedule_load()

    def run(self) -> list[Ended]:
        """Runs the simulation to the end and returns how each job ended."""
        super().run()
        return self.ended

    def _make_small_endpoint(self, number: int) -> EndpointState:
        cores = (16, 16, 24)[number % 3]
        instance = EndpointInstance(f"e{number}", 0)
        self._speeds[instance] = (0.55, 1.2, 1.2, 1.2)[number // 3 % 4]
        info = EndpointInfo(instance, GROUP, "h:1", "a", Resources(cores * 1000, 64_000))
        return EndpointState(info, contacted_s=0.0)

    def _schedule_arrivals(self, backlog_jobs: int) -> None:
        """Schedules nothing: the load is scheduled once the endpoints are known."""

    def _schedule_load(self) -> None:
        load = self._load
        for kind in JOB_KINDS:
            for domain, share in DOMAINS.items():
                arrival_s = 0.0
                while True:
                    rate = kind.arrivals_per_s * share
                    for surge in load.surges:
                        rate *= surge.factor_at(arrival_s, kind.queue, domain)
                    arrival_s += self.random.expovariate(rate)
                    if arrival_s >= load.length_s:
                        break
                    self._schedule(arrival_s, self._handle_claim, kind, domain)
        if load.lost_endpoints:
            self._schedule(load.lost_from_s, self._set_leaving, True)
            self._schedule(load.lost_from_s + 4.0, self._set_leaving, False)
        for tick in range(int((load.length_s + 5) / 0.05)):
            self._schedule(tick * 0.05, self._abandon_late_jobs)

    def _set_leaving(self, leaving: bool) -> None:
        for endpoint in self.endpoints[:: max(ENDPOINTS // self._load.lost_endpoints, 1)]:
            endpoint.info = replace(endpoint.info, leaving=leaving)

    def _handle_claim(self, kind: JobKind, domain: str) -> None:
        tasks = max(1, round(self._draw_lognormal(kind.tasks, 0.4)))
        work_s = self._draw_lognormal(kind.work_s, 0.4)
        work_times_s = [self._draw_lognormal(work_s, 0.15) for _ in range(tasks)]
        cores = min(self._draw_lognormal(MEAN_CORES, 0.2), MAX_CORES)
        size = sum(work_times_s) * cores / (kind.tasks * kind.work_s * MEAN_CORES)
        limit_s = OBJECTIVE_FACTOR * max(work_times_s) + OBJECTIVE_S
        terms = QueueTerms(
            kind.queue, GROUP, PRIORITIES[kind.queue], 3, OBJECTIVE_FACTOR, OBJECTIVE_S
        )
        step = StepSpec(
            tasks, Resources(int(cores * 1000), 64), self._draw_lognormal(work_s, 0.4) * 0.4
        )
        spec = JobSpec(f"j{next(self._numbers)}", terms, "", (step,), is_kept=False)
        self._sources[spec.job_id] = (domain, size)
        self.offered_jobs[spec.job_id] = OfferedJob(kind, self.now_s, work_times_s, 0.0, limit_s)
        self._submit(spec, domain)

    def _submit(self, spec: JobSpec, domain: str) -> None:
        tentative_job = self.job_table.prepare(
            StoredJob(spec, 0.0), self.now_s, failure_domain=domain
        )
        refusal = load_play.decide_admission(
            self.admission, tentative_job, self.endpoints, self.now_s
        )
        if refusal is not None:
            if spec.job_id not in self.returned and self._load.callers_return:
                self.returned.add(spec.job_id)
                self._schedule(
                    self.now_s + refusal.retry_after_s, self._handle_return, spec, domain
                )
            else:
                self._note_outcome(spec.job_id, "refused")
            return
        self._open_job(
            self.job_table,
            spec,
            failure_domain=domain,
            is_excess=tentative_job.is_excess,
            waited_s=self.now_s - tentative_job.place_s,
        )

    def _handle_return(self, spec: JobSpec, domain: str) -> None:
        """Submits a refused job again; its caller's objective counts from now."""
        self.offered_jobs[spec.job_id].arrival_s = self.now_s
        self._submit(spec, domain)

    def _finish_job(self, job: Job, outcome: str) -> None:
        self._note_outcome(job.spec.job_id, outcome)
        self.job_table.close(job)

    def _note_outcome(self, job_id: str, outcome: str) -> None:
        offered_job = self.offered_jobs.pop(job_id)
        domain, size = self._sources[job_id]
        took_s = self.now_s - offered_job.arrival_s + MESSAGE_DELAY_S
        if outcome == "done":
            outcome = "in time" if took_s <= offered_job.limit_s else "late"
            if took_s > LATE_FACTOR * offered_job.limit_s:
                outcome = "useless"
        self.ended.append(
            Ended(
                offered_job.kind.queue,
                domain,
                size,
                outcome,
                offered_job.arrival_s,
                took_s,
                job_id in self.returned,
            )
        )


def share_in_time(ended: Iterable[Ended]) -> float:
    """Returns the share of jobs that ended within their objective."""
    outcomes = Counter(job.outcome for job in ended)
    return outcomes["in time"] / max(outcomes.total(), 1)


def count_outcomes(ended: Iterable[Ended]) -> dict[str, float]:
    """Returns the share of jobs by outcome."""
    outcomes = Counter(job.outcome for job in ended)
    return {outcome: count / outcomes.total() for outcome, count in outcomes.items()}
