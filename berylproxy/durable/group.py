"""A holder's dealings with the endpoints of its group: leases, reports, orders, stops."""

from collections.abc import Callable
from math import inf

from anyio import Event, move_on_after, sleep
from logbook import Logger

from berylproxy.durable.estimates import RunTimeModel
from berylproxy.durable.fleet import EndpointList, EndpointState, PresentRun
from berylproxy.durable.job_table import ACTIVE_STATUSES, Job, JobTable, Task, TaskStatus
from berylproxy.durable.models import (
    EndedRun,
    EndKind,
    EndpointInfo,
    EndpointInstance,
    EndpointReport,
    RunningTask,
    TaskName,
)
from berylproxy.durable.ports import (
    EndpointCallError,
    EndpointCalls,
    EndpointDirectory,
    FencedOffError,
    OtherInstanceError,
    StartOrder,
    StartOutcome,
)
from berylproxy.durable.tenure import Tenure
from berylproxy.store.port import StoreUnavailableError

DIRECTORY_INTERVAL_S = 0.7  # a leaving endpoint gets no task 2 s after the list names it
RENEWAL_WAIT_S = 0.3  # leaves two more tries within a lease of 1 s
END_POLL_S = 0.025  # while an endpoint keeps ends whose jobs are open, it answers at once
RETRY_PAUSE_S = 0.05
MEETING_S = 0.4  # endpoints answer in some 4 ms, those that are cut off never
ORPHAN_GRACE_S = 0.2  # in which entry daemons hand unfinished jobs in again
# An entry's silence of 1 s, a renewal's wait and a margin: a holder that is cut off from an
# endpoint has dropped by then the jobs of entries on the other side, which may have handed them in
# elsewhere.
SETTLED_SILENCE_S = 1.4
UNLISTED_GRACE_S = 2.5  # after an outage the platform's list is complete within 2 s
STALL_HUNDREDTHS = 5  # of the expected run time; progress is told in hundredths of the real one
SHORTEST_STALL_S = 0.6
UNLISTED_END = 0  # endpoints count the ends that they list from 1

logger = Logger(__name__)


class EndpointGroup:
    """The endpoints of a group under one tenure.

    :param covers: tells whether an endpoint belongs to the group.
    :param on_end: called with each end of a run that is news, before it is applied to its task.
    :param on_final: called with a job whose outcome an end has decided.
    :ivar changed: set whenever room, trust or tasks may have changed; replaced by who waits.
    """

    def __init__(
        self,
        tenure: Tenure,
        directory: EndpointDirectory,
        known_list: EndpointList,
        job_table: JobTable,
        model: RunTimeModel,
        covers: Callable[[EndpointInfo], bool],
        on_end: Callable[[EndpointState, EndedRun], None],
        on_final: Callable[[Job], None],
    ) -> None:
        self.endpoints: dict[EndpointInstance, EndpointState] = {}
        self.changed = Event()
        self.has_list = False
        self._tenure = tenure
        self._clock = tenure.clock
        self._directory = directory
        self._known_list = known_list
        self._job_table = job_table
        self._model = model
        self._covers = covers
        self._on_end = on_end
        self._on_final = on_final
        self._calls: dict[EndpointInstance, EndpointCalls] = {}
        self._wakeups: dict[EndpointInstance, Event] = {}
        self._missing_since_s: dict[EndpointInstance, float] = {}
        self._orphan_ends: list[tuple[EndpointState, int]] = []
        self._listed_s = tenure.began_s

    async def follow_directory(self) -> None:
        """Keeps the list of endpoints up to date until cancelled."""
        if self._known_list.read_s:
            self._take_directory(self._known_list.info)
        while True:
            try:
                info = await self._directory.fetch()
                self._known_list.update(info, self._clock.now_s())
                self._take_directory(info)
            except StoreUnavailableError as error:
                logger.debug("the list of endpoints is not available: {}", error.message)
            with move_on_after(DIRECTORY_INTERVAL_S):
                await sleep(DIRECTORY_INTERVAL_S if self.has_list else RETRY_PAUSE_S)

    def _take_directory(self, listed: tuple[EndpointInfo, ...]) -> None:
        now_s = self._clock.now_s()
        was_away = now_s - self._listed_s > 2 * DIRECTORY_INTERVAL_S + 1
        self._listed_s = now_s
        lives = {info.instance: info for info in listed if self._covers(info)}
        for instance, info in lives.items():
            self._missing_since_s.pop(instance, None)
            endpoint = self.endpoints.get(instance)
            if endpoint is None:
                self._meet(info)
                continue
            if info.leaving and not endpoint.info.leaving:
                logger.info(
                    "endpoint is leaving", extra=self._tenure.extra(endpoint=instance.endpoint_id)
                )
            endpoint.info = info
            endpoint.is_listed = True
        grace_s = UNLISTED_GRACE_S if was_away else 0.0
        for instance, endpoint in self.endpoints.items():
            if instance not in lives:
                since_s = self._missing_since_s.setdefault(instance, now_s + grace_s)
                if now_s >= since_s:
                    endpoint.is_listed = False
        self.has_list = True
        self.changed.set()

    def _meet(self, info: EndpointInfo) -> None:
        endpoint = EndpointState(info)
        self.endpoints[info.instance] = endpoint
        self._calls[info.instance] = self._directory.connect(info)
        self._wakeups[info.instance] = Event()
        self._tenure.spawn(self._follow_endpoint, endpoint)

    async def _follow_endpoint(self, endpoint: EndpointState) -> None:
        instance = endpoint.info.instance
        calls = self._calls[instance]
        while instance in self.endpoints:
            if endpoint.is_idle:
                if not endpoint.is_listed:
                    self._forget(endpoint, "it is not listed and runs nothing")
                    break
                await self._wakeups[instance].wait()
            self._wakeups[instance] = Event()
            wait_s = 0.0 if self._must_look_at_once(endpoint) else RENEWAL_WAIT_S
            acknowledged = endpoint.next_acknowledgement()
            # A lease that each unanswered call may have extended would never be known to lapse.
            is_doubtful = endpoint.missed_calls or endpoint.has_orphans
            extend = bool(endpoint.present) and not is_doubtful
            try:
                report = await calls.renew(self._tenure.fence, acknowledged, wait_s, extend=extend)
            except FencedOffError:
                self._tenure.end("an endpoint has a newer holder")
                return
            except OtherInstanceError:
                self._forget(endpoint, "another life answers at its address")
                return
            except EndpointCallError as error:
                self._note_missed(endpoint, calls, error)
                await sleep(RETRY_PAUSE_S)
                continue
            if report.born_ms != instance.born_ms and report.born_ms and instance.born_ms:
                self._forget(endpoint, "it was started anew")
                return
            self._take_report(endpoint, report)
            await self._settle_uncertain(endpoint, calls)
            if endpoint.ends:
                with move_on_after(END_POLL_S):
                    await self._wakeups[instance].wait()

    def _must_look_at_once(self, endpoint: EndpointState) -> bool:
        return (
            not endpoint.is_contacted
            or bool(endpoint.ends or endpoint.missed_calls)
            or any(run.is_uncertain for run in endpoint.present.values())
        )

    def _note_missed(
        self, endpoint: EndpointState, calls: EndpointCalls, error: EndpointCallError
    ) -> None:
        now_s = self._clock.now_s()
        if not endpoint.missed_calls:
            logger.info(
                "endpoint does not answer: {}",
                error.message,
                extra=self._tenure.extra(endpoint=endpoint.info.instance.endpoint_id),
            )
        endpoint.missed_calls += 1
        lapsed_s = max(calls.lease_end_s(), endpoint.heard_s + SETTLED_SILENCE_S)
        if endpoint.present and now_s > lapsed_s:
            self._lapse_all(endpoint)

    def _lapse_all(self, endpoint: EndpointState) -> None:
        """Lets the tasks of an endpoint wait again whose leases have certainly lapsed."""
        for name, run in list(endpoint.present):
            self._drop_run(endpoint, name, run, "its lease has lapsed")
        self.changed.set()

    def _drop_run(self, endpoint: EndpointState, name: TaskName, run: int, reason: str) -> None:
        endpoint.vacate(name, run)
        task = self._job_table.find_task(name)
        if task is None or task.instance != endpoint.info.instance or task.run != run:
            return
        if task.status in ACTIVE_STATUSES:
            logger.info(
                "task waits again: {}",
                reason,
                extra=self._tenure.extra(
                    job=name.job_id,
                    task=list(name[1:]),
                    run=run,
                    endpoint=task.instance.endpoint_id,
                ),
            )
            self._job_table.note_not_running(task)

    def _forget(self, endpoint: EndpointState, reason: str) -> None:
        instance = endpoint.info.instance
        logger.info(
            "endpoint forgotten: {}",
            reason,
            extra=self._tenure.extra(endpoint=instance.endpoint_id),
        )
        self._lapse_all(endpoint)
        self._tenure.spawn(self._calls[instance].close)
        self.endpoints.pop(instance, None)
        self._model.forget(instance.endpoint_id)
        self._missing_since_s.pop(instance, None)

    def _take_report(self, endpoint: EndpointState, report: EndpointReport) -> None:
        now_s = self._clock.now_s()
        if endpoint.missed_calls:
            logger.info(
                "endpoint answers again",
                extra=self._tenure.extra(endpoint=endpoint.info.instance.endpoint_id),
            )
        endpoint.missed_calls = 0
        endpoint.heard_s = now_s
        for end in report.ended:
            if endpoint.take_end(end):
                self._take_end(endpoint, end, now_s)
        shown = set()
        for running in report.running:
            shown.add((running.name, running.run))
            self._take_running(endpoint, running, now_s)
        for (name, run), present in list(endpoint.present.items()):
            if (name, run) not in shown and present.is_over(report.sent_s):
                self._drop_run(endpoint, name, run, "its endpoint does not run it")
        if endpoint.contacted_s is None:
            endpoint.contacted_s = now_s
        self.changed.set()

    def _take_running(self, endpoint: EndpointState, running: RunningTask, now_s: float) -> None:
        instance = endpoint.info.instance
        task = self._job_table.find_task(running.name)
        present = endpoint.present.get((running.name, running.run))
        if present is None:
            needs = task.step.needs if task is not None else endpoint.info.capacity
            present = endpoint.occupy(running.name, running.run, needs)
        present.answered_s = min(present.answered_s, now_s)
        present.is_uncertain = False
        present.is_orphan = task is None and running.name.job_id not in self._job_table.jobs
        if present.is_orphan and self._may_have_orphans(endpoint, now_s):
            return  # its job may be handed in again
        if task is None or not self._may_adopt(task, instance, running.run):
            self.stop_soon(endpoint, running.name, running.run)
            return
        self._job_table.note_running(task, instance, running.run, now_s)
        task.saved = running.saved or task.saved
        if running.progress_percent != task.progress_percent:
            task.progress_percent = running.progress_percent
            task.progressed_s = now_s

    def _may_adopt(self, task: Task, instance: EndpointInstance, run: int) -> bool:
        if task.status in ACTIVE_STATUSES:
            return task.instance == instance and task.run == run
        if task.status is TaskStatus.UNRESOLVED:
            return True
        return task.status is TaskStatus.WAITING and run >= task.run

    def _take_end(self, endpoint: EndpointState, end: EndedRun, now_s: float) -> None:
        endpoint.vacate(end.name, end.run)
        self._tenure.telemetry.count("runs_ended", kind=end.kind.value)
        task = self._job_table.find_task(end.name)
        job = self._job_table.jobs.get(end.name.job_id)
        if job is None and self._may_have_orphans(endpoint, now_s):
            self._orphan_ends.append((endpoint, end.number))
        elif job is None or not job.spec.is_durable:
            endpoint.release(end.number)
        else:
            self._on_end(endpoint, end)
        if task is None or job is None:
            return
        is_own = task.instance == endpoint.info.instance and task.run == end.run
        if end.kind is EndKind.FAILED:
            self._note_failed(endpoint, task, end, now_s)
        elif end.kind is EndKind.DONE:
            endpoint.note_success()
            if is_own and task.status in ACTIVE_STATUSES:
                self._model.learn(
                    job.spec.terms.queue,
                    task.step.estimate_s,
                    endpoint.info.instance.endpoint_id,
                    now_s - task.started_s,
                )
        elif end.kind is not EndKind.STOPPED:
            logger.info(
                "run ended as {}",
                end.kind.value,
                extra=self._tenure.extra(job=end.name.job_id, task=list(end.name[1:]), run=end.run),
            )
        self._job_table.note_end(task, end, endpoint.info.instance)
        if job.is_final:
            self._on_final(job)

    def _note_failed(
        self, endpoint: EndpointState, task: Task, end: EndedRun, now_s: float
    ) -> None:
        instance = endpoint.info.instance
        is_closed = not task.failed_endpoint_ids and endpoint.note_failure(now_s)
        if is_closed:
            self._tenure.telemetry.count("endpoint_closures", reason="failures")
        logger.info(
            "run failed",
            extra=self._tenure.extra(
                job=end.name.job_id,
                task=list(end.name[1:]),
                run=end.run,
                endpoint=instance.endpoint_id,
                failures_of_task=len(task.failed_runs) + 1,
                failures_of_endpoint=endpoint.failures_in_row,
                endpoint_closed=is_closed,
            ),
        )

    async def _settle_uncertain(self, endpoint: EndpointState, calls: EndpointCalls) -> None:
        """Stops the runs whose start was not answered and that the endpoint does not show."""
        for (name, run), present in list(endpoint.present.items()):
            if present.is_uncertain and present.stop_answered_s == inf:
                try:
                    await calls.stop(name, run, self._tenure.fence)
                    present.stop_answered_s = self._clock.now_s()
                except FencedOffError:
                    self._tenure.end("an endpoint has a newer holder")
                except EndpointCallError as error:
                    logger.debug("a stop was not answered: {}", error.message)

    def stop_soon(self, endpoint: EndpointState, name: TaskName, run: int) -> None:
        """Begins to stop a run."""
        self._tenure.spawn(self._stop, endpoint, name, run)

    async def _stop(self, endpoint: EndpointState, name: TaskName, run: int) -> None:
        calls = self._calls[endpoint.info.instance]
        try:
            await calls.stop(name, run, self._tenure.fence)
        except FencedOffError:
            self._tenure.end("an endpoint has a newer holder")
            return
        except EndpointCallError as error:
            logger.debug("a stop was not answered: {}", error.message)  # the next report shows it
            return
        present = endpoint.present.get((name, run))
        if present is not None:
            present.stop_answered_s = min(present.stop_answered_s, self._clock.now_s())
        self._wakeups[endpoint.info.instance].set()

    def order(self, task: Task, endpoint: EndpointState) -> None:
        """Begins to start a task."""
        now_s = self._clock.now_s()
        self._job_table.note_ordered(task, endpoint.info.instance, now_s)
        endpoint.occupy(task.name, task.run, task.step.needs)
        payload = self._job_table.jobs[task.name.job_id].spec.payload
        order = StartOrder(task.name, task.run, payload, self._tenure.fence, task.saved)
        self._tenure.spawn(self._start, task, endpoint, order)

    async def _start(self, task: Task, endpoint: EndpointState, order: StartOrder) -> None:
        instance, run = endpoint.info.instance, order.run
        self._wakeups[instance].set()
        outcome = await self._calls[instance].start(order)
        self._tenure.telemetry.count("task_starts", outcome=outcome.value)
        now_s = self._clock.now_s()
        present = endpoint.present.get((task.name, run))
        if outcome is StartOutcome.STARTED:
            if present is not None:
                present.answered_s = min(present.answered_s, now_s)
                is_current = task.instance == instance and task.run == run
                if is_current and task.status is TaskStatus.STARTING:
                    task.status = TaskStatus.RUNNING
                if self._job_table.find_task(task.name) is None:
                    self.stop_soon(endpoint, task.name, run)
            self._wakeups[instance].set()
            return
        logger.info(
            "start not confirmed: {}",
            outcome.value,
            extra=self._tenure.extra(
                job=task.name.job_id,
                task=list(task.name[1:]),
                run=run,
                endpoint=instance.endpoint_id,
            ),
        )
        self._take_unstarted(task, endpoint, run, outcome, present, now_s)

    def _take_unstarted(
        self,
        task: Task,
        endpoint: EndpointState,
        run: int,
        outcome: StartOutcome,
        present: PresentRun | None,
        now_s: float,
    ) -> None:
        if outcome is StartOutcome.FENCED_OFF:
            self._tenure.end("an endpoint has a newer holder")
            return
        if outcome is StartOutcome.UNKNOWN:
            if present is not None and present.answered_s == inf:
                present.is_uncertain = True
                if task.instance == endpoint.info.instance and task.run == run:
                    task.status = TaskStatus.UNCERTAIN
            self._wakeups[endpoint.info.instance].set()
            return
        if outcome is StartOutcome.OTHER_LIFE:
            self._forget(endpoint, "another life answers at its address")
            return
        if outcome is StartOutcome.INVALID:
            self._take_rejected(task, endpoint, run, now_s)
            return
        if outcome is StartOutcome.NO_ROOM:
            endpoint.note_no_room(now_s)
        elif outcome is not StartOutcome.RUN_TOO_OLD:
            endpoint.close(now_s)
        self._drop_run(endpoint, task.name, run, f"not started: {outcome.value}")
        self.changed.set()

    def _take_rejected(self, task: Task, endpoint: EndpointState, run: int, now_s: float) -> None:
        """Counts an order that an endpoint can't make sense of as a failed run.

        The job's own content is the likely cause: elsewhere it would be rejected too, for ever.
        """
        endpoint.vacate(task.name, run)
        if self._job_table.find_task(task.name) is None:
            return
        end = EndedRun(UNLISTED_END, task.name, run, EndKind.FAILED, "")
        self._note_failed(endpoint, task, end, now_s)
        self._job_table.note_end(task, end, endpoint.info.instance)
        job = self._job_table.jobs[task.name.job_id]
        if job.is_final:
            self._on_final(job)
        self.changed.set()

    def _may_have_orphans(self, endpoint: EndpointState, now_s: float) -> bool:
        """Tells whether a former holder's jobs there may still be handed in again."""
        return endpoint.contacted_s is None or now_s - endpoint.contacted_s < ORPHAN_GRACE_S

    def adopt_orphans(self, job: Job, now_s: float) -> None:
        """Finds what a former holder has left of a job at the endpoints."""
        for endpoint in self.endpoints.values():
            for end in list(endpoint.ends.values()):
                if end.name.job_id == job.spec.job_id and not job.is_final:
                    task = self._job_table.find_task(end.name)
                    if task is not None:
                        self._job_table.note_end(task, end, endpoint.info.instance)
            for name, run in list(endpoint.present):
                task = self._job_table.find_task(name) if name.job_id == job.spec.job_id else None
                if task is not None and self._may_adopt(task, endpoint.info.instance, run):
                    endpoint.vacate(name, run)
                    endpoint.occupy(name, run, task.step.needs).answered_s = now_s
                    self._job_table.note_running(task, endpoint.info.instance, run, now_s)
        if job.is_final:
            self._on_final(job)

    def release_orphan_ends(self, now_s: float) -> None:
        """Lets endpoints forget ends of jobs that were not handed in again."""
        left = []
        for endpoint, number in self._orphan_ends:
            if self._may_have_orphans(endpoint, now_s):
                left.append((endpoint, number))
            else:
                endpoint.release(number)
        self._orphan_ends = left

    def move_stalled(self, now_s: float) -> None:
        """Stops tasks that make no progress, so that they start elsewhere."""
        for endpoint in self.endpoints.values():
            if endpoint.missed_calls:
                continue
            for name, run in list(endpoint.present):
                task = self._job_table.find_task(name)
                if task is None or task.run != run or task.status is not TaskStatus.RUNNING:
                    continue
                queue = self._job_table.jobs[name.job_id].spec.terms.queue
                expected_s = self._model.expected_run_time_s(queue, task.step.estimate_s)
                limit_s = max(SHORTEST_STALL_S, STALL_HUNDREDTHS * expected_s / 100)
                if now_s - task.progressed_s > limit_s:
                    logger.info(
                        "task makes no progress and is moved",
                        extra=self._tenure.extra(
                            job=name.job_id,
                            task=list(name[1:]),
                            run=run,
                            endpoint=endpoint.info.instance.endpoint_id,
                            progress_percent=task.progress_percent,
                            silent_s=round(now_s - task.progressed_s, 3),
                        ),
                    )
                    task.progressed_s = now_s
                    self._tenure.telemetry.count("runs_moved")
                    self._tenure.telemetry.count("endpoint_closures", reason="stalled")
                    endpoint.close(now_s)
                    self.stop_soon(endpoint, name, run)

    def has_contacted_endpoints(self, now_s: float) -> bool:
        """Whether the endpoints of a new tenure have had the time to answer."""
        if now_s - self._tenure.began_s > MEETING_S:
            return True
        return self.has_list and all(e.is_contacted for e in self.endpoints.values())

    async def close(self) -> None:
        """Closes the connections to all endpoints."""
        for calls in self._calls.values():
            await calls.close()

    def stop_active(self, job: Job) -> None:
        """Begins to stop all runs of a job."""
        for task in job.tasks.values():
            endpoint = self.endpoints.get(task.instance) if task.instance is not None else None
            if endpoint is not None and task.status in ACTIVE_STATUSES:
                self.stop_soon(endpoint, task.name, task.run)
