"""Simulates a load on endpoints that don't guard their capacity while it shrinks and grows."""

from collections import defaultdict

from msgspec.structs import replace

from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.job_table import Job, JobTable, Task
from berylproxy.durable.jobs.models import EndpointInstance, JobSpec, Resources, TaskName
from tests.support.answer_loss import MESSAGE_DELAY_S
from tests.support.load_play import LoadSimulation

SHRINK_GRACE_S = 4.5  # the shortest time for which a capacity counts after it has shrunk
# Until an endpoint's next report is in the list, and the holder has read that.
REPORT_DELAY_S = (0.0, 2.4)
ORDER_DELAY_S = 1.0  # until its lease ends, an order may be carried out
LATE_ORDER_SHARE = 0.05
STOP_S = 0.06
CHANGE_INTERVAL_S = 0.8
LOAD_FACTOR = 0.25
LENGTH_S = 12
PARTS = (0.0, 0.1, 0.4, 0.7, 1.0)  # of the whole capacity that are left
MEMORY_MB = (64, 20_000, 90_000)  # what tasks need; endpoints have 256,000

Run = tuple[TaskName, int]


class CapacitySimulation(LoadSimulation):
    """Simulates a load on four endpoints.

    :ivar starts: number of the starts that were carried out.
    :ivar overfills: starts that brought an endpoint over its capacity, by their time.
    :ivar ignores_changes: whether the holder never hears of a change.
    """

    endpoint_count = 4
    ignores_changes = False

    def __init__(self, seed: int) -> None:
        super().__init__(seed, [LOAD_FACTOR] * LENGTH_S)
        self.starts = 0
        self.overfills: list[float] = []
        self._whole = {e.info.instance: e.info.capacity for e in self.endpoints}
        self._present = dict(self._whole)
        self._changes: dict[EndpointInstance, list[tuple[float, Resources]]] = defaultdict(list)
        self._running: dict[EndpointInstance, dict[Run, Resources]] = defaultdict(dict)
        for endpoint in self.endpoints:
            at_s = 0.0
            while at_s < LENGTH_S:
                at_s += self.random.expovariate(1 / CHANGE_INTERVAL_S)
                self._schedule(at_s, self._change_capacity, endpoint)
            self._schedule(
                LENGTH_S, self._set_capacity, endpoint, self._whole[endpoint.info.instance]
            )

    def _change_capacity(self, endpoint: EndpointState) -> None:
        whole = self._whole[endpoint.info.instance]
        cpu_part, memory_part = self.random.choice(PARTS), self.random.choice(PARTS)
        if self.random.random() < 0.3:
            cpu_part = 1.0
        capacity = Resources(
            int(whole.cpu_millicores * cpu_part), int(whole.memory_mb * memory_part)
        )
        self._set_capacity(endpoint, capacity)

    def _set_capacity(self, endpoint: EndpointState, capacity: Resources) -> None:
        instance = endpoint.info.instance
        self._changes[instance].append((self.now_s, self._present[instance]))
        self._present[instance] = capacity
        if not self.ignores_changes:
            delay_s = self.random.uniform(*REPORT_DELAY_S)
            self._schedule(self.now_s + delay_s, self._report_capacity, endpoint)

    def _report_capacity(self, endpoint: EndpointState) -> None:
        endpoint.info = replace(endpoint.info, capacity=self._present[endpoint.info.instance])

    def _open_job(self, job_table: JobTable, spec: JobSpec, **fields) -> Job:
        (step,) = spec.steps
        needs = replace(step.needs, memory_mb=self.random.choice(MEMORY_MB))
        spec = replace(spec, steps=(replace(step, needs=needs),))
        return super()._open_job(job_table, spec, **fields)

    def _order_start(self, task: Task, endpoint: EndpointState) -> None:
        self.job_table.note_ordered(task, endpoint.info.instance, self.now_s)
        endpoint.add_run(task.name, task.run, task.step.needs)
        is_late = self.random.random() < LATE_ORDER_SHARE
        delay_s = self.random.uniform(0.0, ORDER_DELAY_S) if is_late else MESSAGE_DELAY_S
        self._schedule(self.now_s + delay_s, self._carry_out, task, task.run, endpoint)

    def _carry_out(self, task: Task, run: int, endpoint: EndpointState) -> None:
        instance = endpoint.info.instance
        if (task.name, run) not in endpoint.runs:
            return  # stopped before
        running = self._running[instance]
        running[task.name, run] = task.step.needs
        self.starts += 1
        if not sum(running.values(), Resources()).fits(self._counted_capacity(instance)):
            self.overfills.append(self.now_s)
        offered_job = self.offered_jobs.get(task.name.job_id)
        if offered_job is not None:
            took_s = offered_job.work_times_s[task.name.index] / self._speeds[instance]
            self._schedule(self.now_s + took_s, self._end_run, task, run, endpoint)

    def _counted_capacity(self, instance: EndpointInstance) -> Resources:
        """Returns the largest amounts that the endpoint had within the time that counts."""
        since_s = self.now_s - SHRINK_GRACE_S
        counted = [self._present[instance]]
        counted += [former for at_s, former in self._changes[instance] if at_s >= since_s]
        return Resources(
            max(capacity.cpu_millicores for capacity in counted),
            max(capacity.memory_mb for capacity in counted),
        )

    def _end_run(self, task: Task, run: int, endpoint: EndpointState) -> None:
        if self._running[endpoint.info.instance].pop((task.name, run), None) is not None:
            self._schedule(self.now_s + MESSAGE_DELAY_S, self._handle_end, task, run, endpoint)

    def _abandon_late_jobs(self) -> None:
        used = {endpoint: dict(endpoint.runs) for endpoint in self.endpoints}
        super()._abandon_late_jobs()
        for endpoint, runs in used.items():
            for (name, run), endpoint_run in runs.items():
                if (name, run) not in endpoint.runs:
                    endpoint.add_run(name, run, endpoint_run.needs)
                    self._schedule(self.now_s + STOP_S, self._end_stop, name, run, endpoint)

    def _end_stop(self, name: TaskName, run: int, endpoint: EndpointState) -> None:
        self._running[endpoint.info.instance].pop((name, run), None)
        endpoint.remove_run(name, run)
