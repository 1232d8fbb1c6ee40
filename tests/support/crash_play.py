"""Simulates tasks that crash the endpoints that start them, in simulated time, without network."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

from berylproxy.durable.decisions.placement import (
    NO_SUSPICION,
    PlacementPolicies,
    place_waiting_tasks,
    should_reserve,
)
from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.crashes import CrashRecord, Evidence
from berylproxy.durable.jobs.job_table import JobTable, Task
from berylproxy.durable.jobs.models import (
    EndedRun,
    EndKind,
    EndpointInfo,
    EndpointInstance,
    FailureCause,
    JobSpec,
    QueueTerms,
    Resources,
    StepSpec,
    StoredJob,
    TaskName,
)
from berylproxy.durable.learning.estimates import RunTimeModel

GROUP = "ledger"
LENGTH_S = 20.0
DRAIN_S = 60.0
TICK_S = 0.05
LAPSE_S = 1.4  # from the last answer of an endpoint until its tasks are requeued
CRASH_AFTER_S = 0.05
OBJECTIVE_S = 300.0


class CrashSimulation:
    """Simulates one load with crashing tasks, partitions, and crashes that no task causes.

    :param deadly_share: share of the jobs whose tasks crash their endpoints.
    :param deadly_evidence: what is known of the runs of those tasks.
    :param is_decided: whether the record of crashes decides; else lost tasks are requeued at once.
    :ivar crashes: endpoints that crashed because of a task.
    :ivar crashes_by_task: endpoints that crashed under each task, whatever the cause.
    :ivar starts_after_three: starts of each deadly task after three crashes under it.
    :ivar given_up: identifiers of the jobs that were given up.
    """

    def __init__(
        self,
        seed: int,
        deadly_share: float,
        *,
        endpoint_count: int = 24,
        jobs_per_s: float = 20.0,
        down_s: float = 3.0,
        own_crashes: int = 0,
        cuts: int = 0,
        deadly_evidence: Evidence = Evidence.BEGUN,
        is_decided: bool = True,
    ) -> None:
        self.random = Random(seed)
        self.down_s, self.is_decided = down_s, is_decided
        self.deadly_evidence = deadly_evidence
        self.job_table, self.model = JobTable(RunTimeModel()), RunTimeModel()
        self.record = CrashRecord()
        self.deadly: set[str] = set()
        self.given_up: set[str] = set()
        self.done: set[str] = set()
        self.crashes = 0
        self.crashes_by_task: Counter[TaskName] = Counter()
        self.starts_after_three: Counter[TaskName] = Counter()
        self.work_s: dict[str, float] = {}
        self.now_s = 0.0
        self._events: list = []
        self._numbers = count()
        self.endpoints = [self._make_endpoint(f"e{number}", 1) for number in range(endpoint_count)]
        at_s = 0.0
        while at_s < LENGTH_S:
            at_s += self.random.expovariate(jobs_per_s)
            self._schedule(at_s, self._open_job, self.random.random() < deadly_share)
        for _ in range(own_crashes):
            self._schedule(self.random.uniform(0, LENGTH_S), self._crash_any)
        for _ in range(cuts):
            self._schedule(self.random.uniform(0, LENGTH_S), self._cut_any)
        for tick in range(int((LENGTH_S + DRAIN_S) / TICK_S)):
            self._schedule(tick * TICK_S, lambda: None)

    def run(self) -> "CrashSimulation":
        """Runs the simulation to the end."""
        while self._events and self.now_s < LENGTH_S + DRAIN_S:
            self.now_s, _, action, arguments = heappop(self._events)
            action(*arguments)
            policies = PlacementPolicies(suspicion=self.record if self.is_decided else NO_SUSPICION)
            place_waiting_tasks(
                self.job_table,
                self.endpoints,
                self.model,
                self.now_s,
                self._order_start,
                policies=policies,
            )
        return self

    @property
    def falsely_given_up(self) -> set[str]:
        """Jobs that were given up although their tasks crash nothing."""
        return self.given_up - self.deadly

    def _schedule(self, time_s: float, action, *arguments) -> None:
        heappush(self._events, (time_s, next(self._numbers), action, arguments))

    def _make_endpoint(self, name: str, born_ms: int) -> EndpointState:
        instance = EndpointInstance(name, born_ms)
        info = EndpointInfo(instance, GROUP, "h:1", "a", Resources(64_000, 256_000))
        return EndpointState(info, contacted_s=0.0)

    def _open_job(self, is_deadly: bool) -> None:
        job_id = f"j{next(self._numbers)}"
        if is_deadly:
            self.deadly.add(job_id)
        tasks, cores = self.random.choice((1, 1, 2, 3)), self.random.choice((8, 16, 27))
        self.work_s[job_id] = self.random.uniform(0.1, 0.9)
        step = StepSpec(tasks, Resources(cores * 1000, 64), self.work_s[job_id])
        terms = QueueTerms("q", GROUP, max_attempts=3, objective_s=OBJECTIVE_S)
        self.job_table.open(StoredJob(JobSpec(job_id, terms, "", (step,)), 0.0), self.now_s)

    def _order_start(self, task: Task, endpoint: EndpointState) -> None:
        self.job_table.note_ordered(task, endpoint.info.instance, self.now_s)
        endpoint.add_run(task.name, task.run, task.step.needs)
        treatment, job_id = self.record.treatment(task.name, self.now_s), task.name.job_id
        if self.is_decided and should_reserve(treatment, endpoint, job_id, self.endpoints):
            endpoint.reserve(job_id, self.now_s)
        if task.name.job_id in self.deadly:
            if self.crashes_by_task[task.name] >= 3:
                self.starts_after_three[task.name] += 1
            self._schedule(self.now_s + CRASH_AFTER_S, self._crash, endpoint, task, task.run)
            return
        end_s = self.now_s + self.work_s[task.name.job_id]
        self._schedule(end_s, self._end, task, task.run, endpoint)

    def _end(self, task: Task, run: int, endpoint: EndpointState) -> None:
        if endpoint.missed_calls or (task.name, run) not in endpoint.runs:
            return
        endpoint.remove_run(task.name, run)
        if self.job_table.find_task(task.name) is None:
            return
        job = self.job_table.jobs[task.name.job_id]
        end = EndedRun(1, task.name, run, EndKind.DONE, "")
        self.job_table.note_end(task, end, endpoint.info.instance)
        self._convict(self.record.note_ended(task.name))
        if job.is_final:
            self.done.add(job.spec.job_id)
            self.job_table.close(job)

    def _crash_any(self) -> None:
        endpoint = self.random.choice(self.endpoints)
        if not endpoint.missed_calls:
            self._count_crash(endpoint)
            self._lose(endpoint, has_crashed=True)

    def _cut_any(self) -> None:
        endpoint = self.random.choice(self.endpoints)
        if not endpoint.missed_calls:
            self._lose(endpoint, has_crashed=False)

    def _crash(self, endpoint: EndpointState, task: Task, run: int) -> None:
        if endpoint.missed_calls or (task.name, run) not in endpoint.runs:
            return
        self.crashes += 1
        self._count_crash(endpoint)
        self._lose(endpoint, has_crashed=True)

    def _count_crash(self, endpoint: EndpointState) -> None:
        for name, _ in endpoint.runs:
            self.crashes_by_task[name] += 1

    def _lose(self, endpoint: EndpointState, *, has_crashed: bool) -> None:
        endpoint.missed_calls = 1
        self._schedule(self.now_s + LAPSE_S, self._requeue, endpoint)
        self._schedule(self.now_s + self.down_s, self._return, endpoint, has_crashed)

    def _requeue(self, endpoint: EndpointState) -> None:
        runs = {
            name: self.deadly_evidence if name.job_id in self.deadly else Evidence.BEGUN
            for name, _ in endpoint.runs
        }
        self.record.note_lost(endpoint.info.instance, runs, self.now_s)
        for name, run in list(endpoint.runs):
            endpoint.remove_run(name, run)
            task = self.job_table.find_task(name)
            if task is not None and task.run == run:
                self.job_table.note_not_running(task)

    def _return(self, endpoint: EndpointState, has_crashed: bool) -> None:
        instance = endpoint.info.instance
        if not has_crashed:
            endpoint.missed_calls = 0
            self.record.note_answered(instance)
            return
        self.endpoints.remove(endpoint)
        self.endpoints.append(self._make_endpoint(instance.endpoint_id, instance.born_ms + 1))
        self._convict(self.record.note_crashed(instance, {}, self.now_s))

    def _convict(self, names: list[TaskName]) -> None:
        for name in names if self.is_decided else []:
            self.given_up.add(name.job_id)
            job = self.job_table.jobs.get(name.job_id)
            if job is not None:
                self.job_table.fail(job, FailureCause.CRASHES)
                self.job_table.close(job)
