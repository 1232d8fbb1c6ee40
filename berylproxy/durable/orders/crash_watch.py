"""Tells crashes of a group's endpoints from cuts, and fails the jobs whose tasks cause them."""

from collections.abc import Callable, Iterable
from enum import StrEnum

from logbook import Logger

from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.crashes import CrashRecord, Evidence
from berylproxy.durable.jobs.job_table import Job, JobTable
from berylproxy.durable.jobs.models import (
    EndedRun,
    EndKind,
    EndpointInstance,
    FailureCause,
    TaskName,
)
from berylproxy.durable.orders.tenure import Tenure

MAX_LOGGED_TASKS = 20
# An endpoint with runs answers at least each 0.3 s, and is called again 0.05 s after a failure. In
# a longer silence a run may end unheard.
ABRUPT_END_S = 0.45
# An endpoint that leaves by plan is listed so for longer before its process ends.
LEAVING_NOTICE_S = 1.5

logger = Logger("berylproxy.durable.crash_watch")


class RestartSign(StrEnum):
    """How the end of an endpoint's process was learned."""

    ORDER_REJECTED = "order_rejected"  # by another instance
    RENEWAL_REJECTED = "renewal_rejected"  # by another instance
    REPORTED = "reported"  # with another start time
    LISTED = "listed"  # with another start time

    @property
    def keeps_identifier(self) -> bool:
        """Whether the new process has the identifier of the former one, which orders name."""
        return self in (RestartSign.REPORTED, RestartSign.LISTED)


class CrashWatch:
    """Feeds what is seen of a group's endpoints into the record of crashes.

    :param list_read_s: returns the monotonic time at which the list of endpoints was last read.
    :param on_crash: called with each open job whose crashes have changed.
    :param on_final: called with each job that fails because a task crashes its endpoints.
    :ivar record: the endpoints lost under tasks.
    """

    def __init__(
        self,
        tenure: Tenure,
        job_table: JobTable,
        list_read_s: Callable[[], float],
        on_crash: Callable[[Job], None],
        on_final: Callable[[Job], None],
    ) -> None:
        self.record = CrashRecord()
        self._tenure = tenure
        self._job_table = job_table
        self._list_read_s = list_read_s
        self._on_crash = on_crash
        self._on_final = on_final

    def note_process_ended(self, endpoint: EndpointState) -> None:
        """Records that the process of an endpoint has ended by now, unasked or by plan."""
        if self._tenure.clock.now_s() - _last_alive_s(endpoint) <= ABRUPT_END_S:
            endpoint.ended_abruptly = True

    def note_lapsed(self, endpoint: EndpointState) -> None:
        """Records that the lease of an endpoint has lapsed under its runs: a crash or a cut."""
        instance, runs = endpoint.info.instance, self._list_runs(endpoint)
        if runs:
            now_s = self._tenure.clock.now_s()
            self.record.note_lost(instance, runs, now_s, endpoint.info.address)
            self._log(
                "endpoint lost under tasks, crashed or cut off",
                instance,
                "unknown",
                runs,
                ended_abruptly=endpoint.ended_abruptly,
                **_count_evidence(runs),
            )

    def note_answered(self, endpoint: EndpointState) -> None:
        """Records that the process of an endpoint answers again."""
        instance = endpoint.info.instance
        names = self.record.suspects(instance)
        if self.record.note_answered(instance):
            self._log("endpoint was cut off and has not crashed", instance, "cut", names)

    def note_restarted(self, endpoint: EndpointState, sign: RestartSign) -> None:
        """Records that another process has taken the place of an endpoint's process."""
        if endpoint.info.leaving:
            self.record.note_answered(endpoint.info.instance)
            return
        self.note_process_ended(endpoint)
        self._note_crashed(endpoint.info.instance, endpoint, sign)

    def note_listed(self, instance: EndpointInstance, endpoints: Iterable[EndpointState]) -> None:
        """Records a new entry of the list, which shows that earlier processes have ended.

        :param endpoints: the endpoints known so far.
        """
        if not instance.born_ms:
            return
        known = {endpoint.info.instance: endpoint for endpoint in endpoints}
        earlier = {i for i in known if i.endpoint_id == instance.endpoint_id}
        earlier.update(self.record.list_lost(instance.endpoint_id))
        for former in earlier:
            if 0 < former.born_ms < instance.born_ms:
                if former in known:
                    self.note_restarted(known[former], RestartSign.LISTED)
                else:
                    self._note_crashed(former, None, RestartSign.LISTED)

    def note_outcome(
        self, endpoint: EndpointState, name: TaskName, evidence: Evidence | None
    ) -> None:
        """Records the outcome of an order, which may have come after the endpoint was lost.

        :param evidence: what is known of the run now; ``None`` if it has certainly not begun.
        """
        instance = endpoint.info.instance
        convicted = self.record.note_outcome(instance, name, evidence)
        self._update_tasks(self.record.suspects(instance))
        self._fail_jobs(convicted)

    def note_end(self, end: EndedRun) -> None:
        """Records the end of a run."""
        if end.kind in (EndKind.DONE, EndKind.FAILED):
            convicted = self.record.note_ended(end.name)
            self._update_tasks([end.name])
            self._fail_jobs(convicted)

    def restore(self, job: Job, now_s: float) -> None:
        """Takes over the crashes that a former holder has stored with a job."""
        for task in job.tasks.values():
            self.record.restore(task.name, task.crash_count, Evidence.BEGUN, now_s)
            others = task.possible_crash_count.without(task.crash_count)
            self.record.restore(task.name, others, Evidence.POSSIBLE, now_s)

    def _note_crashed(
        self, instance: EndpointInstance, endpoint: EndpointState | None, sign: RestartSign
    ) -> None:
        runs = self._list_runs(endpoint) if endpoint is not None else {}
        if sign.keeps_identifier and endpoint is not None:
            # The new process may have carried out the orders of runs that weren't reported.
            reported = {name for (name, _), run in endpoint.runs.items() if run.was_reported}
            runs = {name: e if name in reported else Evidence.ORDERED for name, e in runs.items()}
        known = self.record.suspects(instance)
        if runs.keys() <= known.keys() and (not known or self.record.has_crashed(instance)):
            return
        address = endpoint.info.address if endpoint is not None else ""
        now_s = self._tenure.clock.now_s()
        convicted = self.record.note_crashed(instance, runs, now_s, address)
        suspects = self.record.suspects(instance)
        if any(evidence > Evidence.ORDERED for evidence in suspects.values()):
            self._log(
                "endpoint crashed under tasks",
                instance,
                "crash",
                suspects,
                sign=sign.value,
                **_count_evidence(suspects),
            )
        self._update_tasks(suspects)
        self._fail_jobs(convicted)

    def _list_runs(self, endpoint: EndpointState) -> dict[TaskName, Evidence]:
        """Returns the tasks ordered at an endpoint, each with the best evidence of its runs."""
        # Without a recent list it isn't known whether the endpoint was about to leave.
        is_listed_lately = self._list_read_s() >= _last_alive_s(endpoint) - LEAVING_NOTICE_S
        is_proven = is_listed_lately and endpoint.ended_abruptly
        best = Evidence.BEGUN if is_proven else Evidence.POSSIBLE
        runs: dict[TaskName, Evidence] = {}
        for (name, _), run in endpoint.runs.items():
            runs[name] = max(min(run.evidence, best), runs.get(name, Evidence.ORDERED))
        return runs

    def _update_tasks(self, names: Iterable[TaskName]) -> None:
        """Applies the record to the tasks of open jobs."""
        changed = {}
        for name in names:
            task = self._job_table.find_task(name)
            if task is None:
                continue
            begun, possible = self.record.count(name), self.record.count(name, Evidence.POSSIBLE)
            if (task.crash_count, task.possible_crash_count) != (begun, possible):
                task.crash_count, task.possible_crash_count = begun, possible
                changed[name.job_id] = self._job_table.jobs[name.job_id]
        for job in changed.values():
            self._on_crash(job)

    def _fail_jobs(self, convicted: list[TaskName]) -> None:
        for name in convicted:
            count = self.record.count(name)
            self._tenure.telemetry.count("crashing_tasks")
            logger.warning(
                "task given up: it crashes the endpoints that start it",
                extra=self._tenure.extra(
                    job=name.job_id,
                    task=list(name[1:]),
                    crashes=count.crashes,
                    blamed_crashes=count.blamed,
                    possible_crashes=self.record.count(name, Evidence.POSSIBLE).crashes,
                ),
            )
            job = self._job_table.jobs.get(name.job_id)
            if job is not None and not job.is_final:
                self._job_table.fail(job, FailureCause.CRASHES)
                self._on_final(job)

    def _log(
        self,
        message: str,
        instance: EndpointInstance,
        outcome: str,
        names: Iterable[TaskName],
        **fields: object,
    ) -> None:
        self._tenure.telemetry.count("endpoints_lost_under_tasks", outcome=outcome)
        tasks = sorted(names)
        logger.info(
            message,
            extra=self._tenure.extra(
                endpoint=instance.endpoint_id,
                born_ms=instance.born_ms,
                task_count=len(tasks),
                tasks=[list(name) for name in tasks[:MAX_LOGGED_TASKS]],
                **fields,
            ),
        )


def _last_alive_s(endpoint: EndpointState) -> float:
    """Returns the monotonic time at which an endpoint's process last showed that it was alive."""
    confirmed_s = [run.confirmed_s for run in endpoint.runs.values() if run.has_begun]
    return max([endpoint.last_answer_s, *confirmed_s])


def _count_evidence(runs: dict[TaskName, Evidence]) -> dict[str, int]:
    """Returns the fields of a log line that tell how many runs had begun."""
    begun = sum(evidence is Evidence.BEGUN for evidence in runs.values())
    return {"begun_runs": begun, "other_runs": len(runs) - begun}
