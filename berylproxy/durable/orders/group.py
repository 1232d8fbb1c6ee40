"""Polls the endpoints of a holder's group, renews their leases, and starts and stops runs there."""

from collections.abc import Callable, Mapping
from math import inf, log

from anyio import Event, move_on_after, sleep
from logbook import Logger
from msgspec.structs import replace

from berylproxy.durable.decisions.moves import Move, MoveReason, plan_moves
from berylproxy.durable.decisions.placement import could_ever_fit, should_reserve
from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.durable.endpoints.fleet import (
    NEW_ENDPOINT_S,
    EndpointList,
    EndpointRun,
    EndpointState,
)
from berylproxy.durable.endpoints.group_membership import GroupMembership
from berylproxy.durable.endpoints.neighbours import NeighbourModel
from berylproxy.durable.jobs.crashes import Evidence, Suspicion
from berylproxy.durable.jobs.job_table import ACTIVE_STATUSES, Job, JobTable, Task, TaskStatus
from berylproxy.durable.jobs.models import (
    CompleteReport,
    EndedRun,
    EndKind,
    EndpointInfo,
    EndpointInstance,
    EndpointReport,
    JobState,
    Resources,
    RunningTask,
    TaskName,
    kind_of_task,
)
from berylproxy.durable.jobs.ports import (
    EndpointCallError,
    EndpointClient,
    EndpointDirectory,
    EndpointRefusedError,
    FencedOffError,
    OtherInstanceError,
    StartOrder,
    StartOutcome,
)
from berylproxy.durable.jobs.run_numbers import may_be_durable
from berylproxy.durable.learning.estimates import SHORTEST_RUN_TIME_S, RunTimeModel, TaskEstimate
from berylproxy.durable.learning.response_times import renewal_wait_s
from berylproxy.durable.learning.run_times import RunPace
from berylproxy.durable.learning.trust import SUSPECTED_PROBABILITY, FailureStatistics, FailureTrust
from berylproxy.durable.orders.crash_watch import CrashWatch, RestartSign
from berylproxy.durable.orders.orphans import (
    AwaitedJobsSurvey,
    KeptEnds,
    LoadedClaim,
    OrphanClearance,
)
from berylproxy.durable.orders.tenure import Tenure

# Without an answer about the list for longer, its entries may have lapsed meanwhile.
MAX_LIST_SILENCE_S = 2.4
# While an endpoint remembers ends of runs whose jobs are open, it answers renewals at once.
END_POLL_INTERVAL_S = 0.025
# An endpoint without runs may remember released ends for this long: its next poll, which most often
# comes sooner, lets it forget them.
ACKNOWLEDGEMENT_DELAY_S = 1.0
RETRY_PAUSE_S = 0.05
FIRST_LIST_TIMEOUT_S = 0.3  # the store answers within some 10 ms unless it is slow or down
FIRST_CONTACT_TIMEOUT_S = 0.4  # endpoints answer within some 4 ms; those that are cut off never do
# 1 s without a message from an entry daemon, a renewal's wait and a margin. A holder that is cut
# off from an endpoint has by then dropped the jobs of entry daemons on the other side of the
# partition, which may have submitted them to another holder.
UNREACHABLE_GRACE_S = 1.4
# Endpoints grant leases of up to 1 s, on clocks that may be slow.
FORMER_LEASE_S = 1.15
UNLISTED_GRACE_S = 2.5  # after an outage the platform's list is complete within 2 s
MAX_REMEMBERED_TRUSTS = 200  # of endpoints that are gone and may come back

logger = Logger("berylproxy.durable.group")


class EndpointGroup:
    """The endpoints of a group under one tenure.

    :param endpoint_list: this daemon's copy of the platform's list.
    :param evacuations: this daemon's view of the evacuated failure domains.
    :param membership: returns whether an endpoint belongs to the group.
    :param neighbours: learns which kinds of task slow each other down on one endpoint.
    :param on_end: called with each end of a run that was not known before, before the end is
        applied to its task.
    :param on_final: called with a job whose outcome has been decided by the end of a run.
    :param on_crash: called with a job under whose tasks an endpoint has crashed.
    :param may_have_to_end: returns whether the tenure may have to end soon, so that the next holder
        needs the ends of unfinished best-effort jobs.
    :ivar has_read_list: whether the list and the evacuations were read in this tenure, or the store
        is silent.
    :ivar are_members_known: whether the list, and then the group of each endpoint, were read in
        this tenure, so that no endpoint that a former holder used is missing, unless it has left
        the list.
    :ivar members_added: set when endpoints are added; the coroutine that waits for it replaces it
        by a new event.
    :ivar orphans_found: set when endpoints keep runs or ends of jobs that aren't open and may be
        wanted; the coroutine that waits for it replaces it by a new event.
    :ivar changed: set whenever free resources, quarantines or tasks may have changed; the coroutine
        that waits for it replaces it by a new event.
    """

    def __init__(
        self,
        tenure: Tenure,
        directory: EndpointDirectory,
        endpoint_list: EndpointList,
        evacuations: EvacuatedDomains,
        job_table: JobTable,
        model: RunTimeModel,
        neighbours: NeighbourModel,
        membership: Callable[[EndpointInfo], GroupMembership],
        on_end: Callable[[EndpointState, EndedRun], None],
        on_final: Callable[[Job], None],
        on_crash: Callable[[Job], None],
        may_have_to_end: Callable[[], bool],
    ) -> None:
        self.endpoints: dict[EndpointInstance, EndpointState] = {}
        self.changed = Event()
        self.members_added = Event()
        self.orphans_found = Event()
        self.has_read_list = False
        self.are_members_known = False
        self._tenure = tenure
        self._clock = tenure.clock
        self._directory = directory
        self._endpoint_list = endpoint_list
        self._evacuations = evacuations
        self._job_table = job_table
        self._model = model
        self._neighbours = neighbours
        self._membership = membership
        self._on_end = on_end
        self._on_final = on_final
        self._may_have_to_end = may_have_to_end
        self._crash_watch = CrashWatch(
            tenure, job_table, lambda: endpoint_list.read_s, on_crash, on_final
        )
        self._failures = FailureStatistics()
        # An endpoint that comes back as another instance is trusted as it was before.
        self._trusts: dict[str, FailureTrust] = {}
        self._clients: dict[EndpointInstance, EndpointClient] = {}
        self._wakeups: dict[EndpointInstance, Event] = {}
        self._unlisted_from_s: dict[EndpointInstance, float] = {}
        self._orphan_ends = KeptEnds()
        self._unfinished_ends = KeptEnds()  # of open best-effort jobs
        self._clearance: OrphanClearance | None = None
        self._list_read_s = tenure.began_s

    async def follow_directory(self) -> None:
        """Applies each answer about the list of endpoints until cancelled.

        The list that a standby daemon has read may be old: its endpoints are contacted at once, but
        an endpoint may have begun to leave since. Unless the store is silent, nothing is started
        before the list has been read again, and the evacuations unless their view is recent. A
        daemon that has never known the evacuations starts nothing at all.
        """
        if self._endpoint_list.read_s:
            self._apply_directory(self._endpoint_list.endpoints)
        if self._tenure.claim_revision:
            with move_on_after(FIRST_LIST_TIMEOUT_S):
                await self._endpoint_list.confirmed.wait()
                while not self._evacuations.is_recent(self._clock.now_s()):
                    await self._evacuations.learned.wait()
        while not self._evacuations.is_known:
            await self._evacuations.learned.wait()
        while True:
            self._apply_directory(self._endpoint_list.endpoints)
            self.has_read_list = self.has_read_list or self._endpoint_list.read_s > 0
            self.changed.set()
            await self._endpoint_list.confirmed.wait()

    def note_members_known(self) -> None:
        """Records that the groups of all endpoints in the list, as read last, are known.

        An endpoint that no division assigns to a group was never used by any holder.
        """
        self._apply_directory(self._endpoint_list.endpoints)
        self.are_members_known = True
        logger.info(
            "all endpoints of the group are known",
            extra=self._tenure.extra(
                endpoints=len(self.endpoints),
                delay_s=round(self._clock.now_s() - self._tenure.began_s, 4),
            ),
        )

    @property
    def has_all_used_endpoints(self) -> bool:
        """Whether no endpoint that a former holder used is missing unnoticed.

        One that is missing is noticed if it has vanished from the list, or if the former holder's
        last heartbeat named it. A provisional holder can't read the division; that heartbeat named
        the endpoints that a list of at most a certain age may lack.
        """
        if self._tenure.claim_revision:
            return self.are_members_known
        return self._endpoint_list.read_s >= self._tenure.began_s - NEW_ENDPOINT_S

    async def follow_heard_capacities(self) -> None:
        """Applies the capacities that other daemons have told until cancelled."""
        while True:
            await self._endpoint_list.heard.wait()
            for info in self._endpoint_list.endpoints:
                endpoint = self.endpoints.get(info.instance)
                if endpoint is not None and endpoint.info.capacity != info.capacity:
                    endpoint.info = replace(endpoint.info, capacity=info.capacity)
            self.changed.set()

    async def follow_evacuations(self) -> None:
        """Applies each change of the evacuated failure domains until cancelled."""
        while True:
            for endpoint in self.endpoints.values():
                domain = endpoint.info.failure_domain
                endpoint.is_evacuated = domain in self._evacuations.names
            self.changed.set()
            await self._evacuations.changed.wait()

    def _apply_directory(self, listed: tuple[EndpointInfo, ...]) -> None:
        """Adds new endpoints, and marks those that have been missing in the list for too long."""
        now_s = self._clock.now_s()
        was_unavailable = now_s - self._list_read_s > MAX_LIST_SILENCE_S
        self._list_read_s = now_s
        info_by_instance = {
            info.instance: info
            for info in listed
            if self._membership(info) is GroupMembership.MEMBER
        }
        for instance, info in info_by_instance.items():
            self._unlisted_from_s.pop(instance, None)
            endpoint = self.endpoints.get(instance)
            if endpoint is None:
                self._crash_watch.note_listed(instance, self.endpoints.values())
                self._add_endpoint(info)
                continue
            if info.leaving and not endpoint.info.leaving:
                logger.info(
                    "endpoint is leaving", extra=self._tenure.extra(endpoint=instance.endpoint_id)
                )
            if info.cold_left_s != endpoint.info.cold_left_s:
                endpoint.note_cold(info.cold_left_s, now_s)
            endpoint.info = info
            endpoint.is_listed = True
            endpoint.is_evacuated = info.failure_domain in self._evacuations.names
        grace_s = UNLISTED_GRACE_S if was_unavailable else 0.0
        for instance, endpoint in self.endpoints.items():
            if instance not in info_by_instance:
                unlisted_from_s = self._unlisted_from_s.setdefault(instance, now_s + grace_s)
                if now_s >= unlisted_from_s:
                    endpoint.is_listed = False
        self.changed.set()

    def _add_endpoint(self, info: EndpointInfo) -> None:
        endpoint_id = info.instance.endpoint_id
        if len(self._trusts) > MAX_REMEMBERED_TRUSTS + len(self.endpoints):
            known = {instance.endpoint_id for instance in self.endpoints}
            self._trusts = {name: t for name, t in self._trusts.items() if name in known}
            self._failures.endpoint_count = len(self._trusts)
        if endpoint_id not in self._trusts:
            self._trusts[endpoint_id] = FailureTrust(self._failures)
        endpoint = EndpointState(
            info,
            trust=self._trusts[endpoint_id],
            max_listed_ends=self._directory.max_listed_ends,
        )
        endpoint.is_evacuated = info.failure_domain in self._evacuations.names
        endpoint.note_cold(info.cold_left_s, self._clock.now_s())
        self.endpoints[info.instance] = endpoint
        self._clients[info.instance] = self._directory.connect(info)
        self._wakeups[info.instance] = Event()
        self._tenure.spawn(self._poll_endpoint, endpoint)
        self.members_added.set()

    async def _poll_endpoint(self, endpoint: EndpointState) -> None:
        """Renews the endpoint's lease and applies its reports until it is removed."""
        instance = endpoint.info.instance
        client = self._clients[instance]
        while instance in self.endpoints:
            if endpoint.is_idle:
                if not endpoint.is_listed:
                    self._remove_endpoint(endpoint, "it is not listed and has no runs")
                    break
                await self._wakeups[instance].wait()
            elif endpoint.only_remembers_ends:
                self._wakeups[instance] = Event()  # it may be set by a run that has ended since
                with move_on_after(ACKNOWLEDGEMENT_DELAY_S):
                    await self._wakeups[instance].wait()
            if self._wakeups[instance].is_set():
                self._wakeups[instance] = Event()
            released = endpoint.next_acknowledgement()
            acknowledged = released if endpoint.may_acknowledge(self._clock.now_s()) else 0
            wait_s = 0.0 if self._should_poll_at_once(endpoint) else self._renewal_wait_s(endpoint)
            extend = bool(endpoint.runs) and not endpoint.should_let_lapse
            try:
                report = await client.renew(self._tenure.fence, acknowledged, wait_s, extend=extend)
            except FencedOffError:
                self._tenure.end("an endpoint has accepted a higher fence")
                return
            except OtherInstanceError:
                self._crash_watch.note_restarted(endpoint, RestartSign.RENEWAL_REJECTED)
                self._remove_endpoint(endpoint, "another instance answers at its address")
                return
            except EndpointCallError as error:
                self._note_missed_call(endpoint, client, error)
                await sleep(RETRY_PAUSE_S)
                continue
            if report.born_ms != instance.born_ms and report.born_ms and instance.born_ms:
                self._replace_restarted(endpoint, report.born_ms)
                return
            endpoint.note_acknowledged(acknowledged, report)
            self._apply_report(endpoint, report)
            await self._stop_uncertain_runs(endpoint, client)
            may_repeat = bool(endpoint.ends) or not endpoint.is_report_complete
            if may_repeat and endpoint.next_acknowledgement() == endpoint.sent_acknowledgement:
                with move_on_after(END_POLL_INTERVAL_S):
                    await self._wakeups[instance].wait()

    def _should_poll_at_once(self, endpoint: EndpointState) -> bool:
        """Returns whether the next renewal asks for an answer at once, not after the next end."""
        return (
            not endpoint.is_contacted
            or bool(endpoint.ends or endpoint.missed_calls or not endpoint.runs)
            or any(run.is_uncertain for run in endpoint.runs.values())
        )

    def _renewal_wait_s(self, endpoint: EndpointState) -> float:
        """Returns how long the endpoint may wait for the end of a run before it answers."""
        now_s, remaining_s = self._clock.now_s(), inf
        speed = self._model.speed(endpoint.info.instance.endpoint_id)
        for name, run in endpoint.runs:
            task = self._job_table.find_task(name)
            if task is not None and task.run == run:
                queue = self._job_table.jobs[name.job_id].spec.terms.queue
                expected_s = self._model.expected_run_time_s(queue, task.step.estimate_s)
                remaining_s = min(remaining_s, expected_s / speed - (now_s - task.started_s))
        return renewal_wait_s(remaining_s)

    def _note_missed_call(
        self, endpoint: EndpointState, client: EndpointClient, error: EndpointCallError
    ) -> None:
        """Counts an unanswered call; requeues the tasks once the lease has certainly lapsed."""
        now_s = self._clock.now_s()
        if not endpoint.missed_calls:
            logger.info(
                "endpoint does not answer: {}",
                error.message,
                extra=self._tenure.extra(endpoint=endpoint.info.instance.endpoint_id),
            )
            endpoint.trust.note_silence(now_s)
        endpoint.missed_calls += 1
        if isinstance(error, EndpointRefusedError):
            self._crash_watch.note_process_ended(endpoint)
        else:
            endpoint.ended_abruptly = False
        if now_s <= max(client.lease_end_s(), endpoint.last_answer_s + UNREACHABLE_GRACE_S):
            return
        endpoint.is_surveyed = endpoint.is_contacted
        if endpoint.runs:
            self._crash_watch.note_lapsed(endpoint)
            self._requeue_all_tasks(endpoint, "its lease has lapsed")

    def _requeue_all_tasks(self, endpoint: EndpointState, reason: str) -> None:
        """Requeues all tasks of an endpoint whose runs have certainly ended.

        The endpoint itself doesn't say how they ended.
        """
        for name, run in list(endpoint.runs):
            self._require_claim(name, run)
            self._drop_run(endpoint, name, run, reason)
        self.changed.set()

    def _require_claim(self, name: TaskName, run: int) -> None:
        """Has a task start again only if the claim is in force now.

        Else another holder may have learned from the endpoint that the run is done. Best-effort
        tasks may be done twice.
        """
        task = self._job_table.find_task(name)
        if task is None or task.run != run or not self._job_table.jobs[name.job_id].spec.is_durable:
            return
        task.claim_needed_s = self._clock.now_s()
        self._tenure.confirmation_wanted.set()

    def _drop_run(self, endpoint: EndpointState, name: TaskName, run: int, reason: str) -> None:
        """Removes a run that is not active, and requeues its task if the run is the current one."""
        endpoint.remove_run(name, run)
        self._neighbours.note_runs(endpoint, self._clock.now_s())
        task = self._job_table.find_task(name)
        if task is None or task.instance != endpoint.info.instance or task.run != run:
            return
        if task.status in ACTIVE_STATUSES:
            logger.info(
                "task requeued: {}",
                reason,
                extra=self._tenure.extra(
                    job=name.job_id,
                    task=list(name[1:]),
                    run=run,
                    endpoint=task.instance.endpoint_id,
                ),
            )
            self._job_table.note_not_running(task)

    def _remove_endpoint(self, endpoint: EndpointState, reason: str) -> None:
        instance = endpoint.info.instance
        logger.info(
            "endpoint removed: {}",
            reason,
            extra=self._tenure.extra(endpoint=instance.endpoint_id),
        )
        self._requeue_all_tasks(endpoint, f"endpoint removed, {reason}")
        self._tenure.spawn(self._clients[instance].close)
        self.endpoints.pop(instance, None)
        self._model.forget(instance.endpoint_id)
        self._unlisted_from_s.pop(instance, None)

    def _replace_restarted(self, endpoint: EndpointState, born_ms: int) -> None:
        """Replaces an endpoint by the new process that answers under its identifier.

        Runs that the former process reported have ended with it. Any other order may have been
        carried out by the new process, as orders name the identifier only.
        """
        former, now_s = endpoint.info.instance, self._clock.now_s()
        instance = former._replace(born_ms=born_ms)
        self._crash_watch.note_restarted(endpoint, RestartSign.REPORTED)
        unreported = [
            (key, endpoint_run)
            for key, endpoint_run in endpoint.runs.items()
            if not endpoint_run.was_reported
        ]
        if unreported and instance not in self.endpoints:
            self._add_endpoint(replace(endpoint.info, instance=instance))
        successor = self.endpoints.get(instance)
        for (name, run), endpoint_run in unreported:
            endpoint.remove_run(name, run)
            if successor is not None:
                self._transfer_run(name, run, endpoint_run, former, successor)
        if successor is not None:
            # The leases of the transferred runs, which its client doesn't know, began before now.
            successor.last_answer_s = max(successor.last_answer_s, now_s)
            self._wakeups[instance].set()
        self._remove_endpoint(endpoint, "its process was restarted")

    def _transfer_run(
        self,
        name: TaskName,
        run: int,
        endpoint_run: EndpointRun,
        former: EndpointInstance,
        successor: EndpointState,
    ) -> None:
        """Counts a run that was ordered from a former process as one of the new process."""
        transferred = successor.add_run(name, run, endpoint_run.needs, endpoint_run.kind)
        transferred.confirmed_s = min(transferred.confirmed_s, endpoint_run.confirmed_s)
        transferred.is_uncertain = transferred.confirmed_s == inf
        self._neighbours.note_runs(successor, self._clock.now_s())
        task = self._job_table.find_task(name)
        if task is None or task.instance != former or task.run != run:
            return
        task.instance = successor.info.instance
        self._require_claim(name, run)  # the former process may have reported its end
        if transferred.is_uncertain:
            task.status = TaskStatus.UNCERTAIN
        logger.info(
            "run ordered from the former process of its endpoint",
            extra=self._tenure.extra(
                job=name.job_id,
                task=list(name[1:]),
                run=run,
                endpoint=former.endpoint_id,
                is_confirmed=not transferred.is_uncertain,
            ),
        )

    def _apply_report(self, endpoint: EndpointState, report: EndpointReport) -> None:
        """Applies the ends and the active runs that an endpoint reports."""
        now_s = self._clock.now_s()
        if endpoint.missed_calls:
            self._crash_watch.note_answered(endpoint)
            logger.info(
                "endpoint answers again",
                extra=self._tenure.extra(endpoint=endpoint.info.instance.endpoint_id),
            )
        endpoint.missed_calls = 0
        endpoint.ended_abruptly = False
        endpoint.last_answer_s = now_s
        self._model.advance(now_s)
        for end in report.ended:
            if endpoint.add_end(end):
                self._handle_end(endpoint, end, now_s)
        reported = set()
        for running in report.running:
            reported.add((running.name, running.run))
            self._apply_running_task(endpoint, running, now_s)
        unlisted = [
            (key, endpoint_run)
            for key, endpoint_run in endpoint.runs.items()
            if key not in reported and endpoint_run.should_be_listed(report)
        ]
        endpoint.is_report_complete = isinstance(report, CompleteReport)
        if isinstance(report, CompleteReport):
            endpoint.is_surveyed, endpoint.unreadable_from_s = True, None
            for (name, run), _ in unlisted:
                self._drop_run(endpoint, name, run, "its endpoint does not report the run")
        else:
            self._note_incomplete_report(endpoint, report, bool(unlisted), now_s)
        self._log_findings()
        if endpoint.contacted_s is None:
            endpoint.contacted_s = now_s
        endpoint.has_unknown_ends = self._has_unknown_ends(endpoint, now_s)
        self.changed.set()

    def _has_unknown_ends(self, endpoint: EndpointState, now_s: float) -> bool:
        """Returns whether a former holder's lease may go on under ends of unknown durable jobs.

        A holder that has loaded the open jobs knows them.
        """
        contacted_s = now_s if endpoint.contacted_s is None else endpoint.contacted_s
        if self._clearance is not None or now_s - contacted_s >= FORMER_LEASE_S:
            return False
        return any(
            may_be_durable(end.run) and self._job_table.state(end.name.job_id) is None
            for end in endpoint.ends.values()
        )

    def _note_incomplete_report(
        self, endpoint: EndpointState, report: EndpointReport, has_unlisted: bool, now_s: float
    ) -> None:
        """Decides what becomes of runs that an incomplete report may hide.

        Ends that didn't fit into a report are listed once the endpoint may forget the first ones.
        Rows that can't be read may stay so: the lease is left to lapse, which ends all runs.

        :param has_unlisted: whether a run that should be listed is not.
        """
        if not report.unreadable or (endpoint.is_surveyed and not has_unlisted):
            endpoint.unreadable_from_s = None
            return
        if endpoint.unreadable_from_s is None:
            endpoint.unreadable_from_s = now_s
            logger.warning(
                "{} rows of an endpoint's report can't be read: no tasks start there",
                report.unreadable,
                extra=self._tenure.extra(endpoint=endpoint.info.instance.endpoint_id),
            )
        client = self._clients[endpoint.info.instance]
        if now_s > max(client.lease_end_s(), endpoint.unreadable_from_s + UNREACHABLE_GRACE_S):
            endpoint.is_surveyed, endpoint.unreadable_from_s = True, None
            endpoint.quarantine(now_s)
            self._requeue_all_tasks(endpoint, "its lease has lapsed, and its reports hide runs")

    def _apply_running_task(
        self, endpoint: EndpointState, running: RunningTask, now_s: float
    ) -> None:
        """Applies a reported run: adopts, stops or leaves it, as its job may be wanted."""
        instance = endpoint.info.instance
        task = self._job_table.find_task(running.name)
        needs = self._find_needs(running.name)
        endpoint_run = endpoint.add_run(running.name, running.run, needs)
        if task is not None and not endpoint_run.kind:
            endpoint_run.kind = self._kind_of(task)
            self._neighbours.note_runs(endpoint, now_s)
        endpoint_run.note_reported(now_s)
        endpoint_run.is_orphan = task is None and running.name.job_id not in self._job_table.jobs
        if endpoint_run.is_orphan and self._job_table.state(running.name.job_id) is None:
            if self._clearance is None or not self._clearance.stop_run(
                endpoint, running.name, running.run, now_s
            ):
                self.orphans_found.set()
            return
        if task is None or not self._may_adopt(task, instance, running.run):
            self._stop_soon(endpoint, running.name, running.run)
            return
        self._job_table.note_running(task, instance, running.run, now_s)
        task.saved = running.saved or task.saved
        if running.progress_percent != task.progress_percent:
            task.progress_percent = running.progress_percent
            task.progressed_s = now_s
        if endpoint_run.pace is not None and endpoint_run.estimate is not None:
            self._model.note_progress(
                endpoint_run.estimate,
                instance.endpoint_id,
                endpoint_run.pace,
                running.progress_percent,
            )

    def _find_needs(self, name: TaskName) -> Resources | None:
        """Returns what a task needs; ``None`` if its job is not open."""
        job = self._job_table.jobs.get(name.job_id)
        task = job.tasks.get((name.step, name.index)) if job is not None else None
        return task.step.needs if task is not None else None

    def _may_adopt(self, task: Task, instance: EndpointInstance, run: int) -> bool:
        """Returns whether a reported run may continue as the task's current run."""
        if task.status in ACTIVE_STATUSES:
            return task.instance == instance and task.run == run
        if task.status is TaskStatus.UNRESOLVED:
            return True
        return task.status is TaskStatus.WAITING and run >= task.run

    def _handle_end(self, endpoint: EndpointState, end: EndedRun, now_s: float) -> None:
        """Applies a newly reported end of a run to its endpoint, its task and its job."""
        endpoint_run = endpoint.runs.get((end.name, end.run))
        endpoint.remove_run(end.name, end.run)
        beside = self._neighbours.note_end(endpoint, endpoint_run, now_s)
        self._tenure.telemetry.count("runs_ended", kind=end.kind.value)
        self._crash_watch.note_end(end)
        task = self._job_table.find_task(end.name)
        job = self._job_table.jobs.get(end.name.job_id)
        if job is not None and job.spec.is_durable:
            self._on_end(endpoint, end)
        elif job is not None and self._may_have_to_end():
            self._unfinished_ends.add(endpoint, end)
        elif self._job_table.state(end.name.job_id) is not None:
            endpoint.release_end(end.number)  # best-effort, or closed with its outcome stored
        else:
            self._keep_orphan_end(endpoint, end, now_s)
        if task is None or job is None:
            return
        is_current_run = task.instance == endpoint.info.instance and task.run == end.run
        if end.kind is EndKind.FAILED:
            self._record_failed_run(endpoint, task, end, now_s)
        elif end.kind is EndKind.DONE:
            endpoint.note_success(now_s)
            was_warm = task.started_s >= endpoint.cold_until_s
            is_active = task.status in ACTIVE_STATUSES
            if is_current_run and was_warm and is_active and endpoint_run is not None:
                self._learn_run_time(task, endpoint, endpoint_run, now_s, beside)
        elif end.kind is not EndKind.STOPPED:
            logger.info(
                "run ended with {}",
                end.kind.value,
                extra=self._tenure.extra(job=end.name.job_id, task=list(end.name[1:]), run=end.run),
            )
        self._job_table.note_end(task, end, endpoint.info.instance)
        if job.is_final:
            self._on_final(job)

    def _keep_orphan_end(self, endpoint: EndpointState, end: EndedRun, now_s: float) -> None:
        """Keeps the end of a job that isn't open, unless nobody can want it any more."""
        if self._clearance is None or not self._clearance.release_end(endpoint, end, now_s):
            self._orphan_ends.add(endpoint, end)
            self.orphans_found.set()

    def _learn_run_time(
        self,
        task: Task,
        endpoint: EndpointState,
        endpoint_run: EndpointRun,
        now_s: float,
        beside: Mapping[str, float] | None,
    ) -> None:
        """Learns from the end of a run whose start is known.

        The effect of its neighbours is not taken for the speed of the endpoint.

        :param beside: mean number of neighbours by kind; ``None`` if this holder did not order the
            run.
        """
        estimate, pace = endpoint_run.estimate, endpoint_run.pace
        if estimate is None or pace is None:
            return
        step, endpoint_id = task.step, endpoint.info.instance.endpoint_id
        run_time_s = max(now_s - pace.started_s, SHORTEST_RUN_TIME_S)
        kind = kind_of_task(estimate.queue, step)
        is_near = not step.preferred_rack or step.preferred_rack == endpoint.info.rack
        if beside is not None and is_near and not step.stays_in_rack:
            expected_s = self._model.expected_run_time_s(estimate.queue, step.estimate_s)
            deviation = log(run_time_s * self._model.usual_speed(endpoint_id) / expected_s)
            self._neighbours.learn(task.name, kind, beside, deviation, now_s)
        factor = self._neighbours.expected_factor(kind, beside or {})
        near_s = run_time_s / factor / estimate.distance_factor
        task.work_s = near_s * self._model.usual_speed(endpoint_id)
        self._model.learn_task(estimate, endpoint_id, run_time_s / factor, pace)

    def _kind_of(self, task: Task) -> str:
        return kind_of_task(self._job_table.jobs[task.name.job_id].spec.terms.queue, task.step)

    def _log_findings(self) -> None:
        """Logs the endpoints that were found to be slowed or sound again."""
        for finding in self._model.update_findings():
            self._tenure.telemetry.count(
                "endpoint_speed_changes", to="slow" if finding.is_slowed else "usual"
            )
            logger.info(
                "endpoint has turned slow" if finding.is_slowed else "endpoint is no longer slow",
                extra=self._tenure.extra(
                    endpoint=finding.endpoint_id,
                    probability=round(finding.probability, 3),
                    slowdown=round(finding.slowdown, 2),
                    usual_speed=round(self._model.usual_speed(finding.endpoint_id), 2),
                ),
            )

    def _has_failed_at_suspected(self, task: Task, now_s: float) -> bool:
        """Returns whether a task has failed only at endpoints that fail other tasks, too."""
        for endpoint_id in task.failed_endpoint_ids:
            trust = self._trusts.get(endpoint_id)
            if trust is None or trust.failure_probability(now_s) < SUSPECTED_PROBABILITY:
                return False
        return True

    def _record_failed_run(
        self, endpoint: EndpointState, task: Task, end: EndedRun, now_s: float
    ) -> None:
        instance = endpoint.info.instance
        is_quarantined = False
        if not task.failed_endpoint_ids:
            is_quarantined = endpoint.note_failure(now_s)
        elif self._has_failed_at_suspected(task, now_s):
            endpoint.trust.note_failed(now_s)
        if is_quarantined:
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
                failure_probability=round(endpoint.trust.failure_probability(now_s), 3),
                endpoint_closed=is_quarantined,
            ),
        )

    async def _stop_uncertain_runs(self, endpoint: EndpointState, client: EndpointClient) -> None:
        """Stops the runs whose start was not answered and that the endpoint did not report."""
        for (name, run), endpoint_run in list(endpoint.runs.items()):
            if endpoint_run.is_uncertain and endpoint_run.stop_confirmed_s == inf:
                try:
                    await client.stop(name, run, self._tenure.fence)
                    endpoint_run.stop_confirmed_s = self._clock.now_s()
                except FencedOffError:
                    self._tenure.end("an endpoint has accepted a higher fence")
                except EndpointCallError as error:
                    logger.debug("a request to stop a run was not answered: {}", error.message)

    def _stop_soon(self, endpoint: EndpointState, name: TaskName, run: int) -> None:
        """Starts to stop a run in the background."""
        self._tenure.spawn(self._stop, endpoint, name, run)

    async def _stop(self, endpoint: EndpointState, name: TaskName, run: int) -> None:
        client = self._clients[endpoint.info.instance]
        try:
            await client.stop(name, run, self._tenure.fence)
        except FencedOffError:
            self._tenure.end("an endpoint has accepted a higher fence")
            return
        except EndpointCallError as error:
            # The next report shows whether the run goes on.
            logger.debug("a request to stop a run was not answered: {}", error.message)
            return
        endpoint_run = endpoint.runs.get((name, run))
        if endpoint_run is not None:
            endpoint_run.stop_confirmed_s = min(endpoint_run.stop_confirmed_s, self._clock.now_s())
            endpoint_run.is_orphan = False
            self.changed.set()
        self._wakeups[endpoint.info.instance].set()

    def order_start(self, task: Task, endpoint: EndpointState) -> None:
        """Assigns a task to an endpoint and sends the order to start it in the background."""
        now_s = self._clock.now_s()
        self._job_table.note_ordered(task, endpoint.info.instance, now_s)
        job, kind = self._job_table.jobs[task.name.job_id], self._kind_of(task)
        beside = dict(endpoint.occupancy.counts)
        endpoint_run = endpoint.add_run(task.name, task.run, task.step.needs, kind)
        self._reserve_for_suspect(task, endpoint, now_s)
        self._neighbours.note_start(endpoint, endpoint_run, now_s)
        if not task.saved:
            factor = self._neighbours.expected_factor(kind, beside)
            self._expect_run_time(job, task, endpoint, endpoint_run, now_s, factor)
        payload = job.spec.payload
        order = StartOrder(task.name, task.run, payload, self._tenure.fence, task.saved)
        self._tenure.spawn(self._start, task, endpoint, order)

    def _reserve_for_suspect(self, task: Task, endpoint: EndpointState, now_s: float) -> None:
        """Keeps other jobs from an endpoint at first when it runs tasks that may crash it."""
        treatment, job_id = self.suspicion.treatment(task.name, now_s), task.name.job_id
        if should_reserve(treatment, endpoint, job_id, self.endpoints.values()):
            endpoint.reserve(job_id, now_s)

    @property
    def suspicion(self) -> Suspicion:
        """Tells which tasks may crash the endpoint that starts them."""
        return self._crash_watch.record

    def is_convicted(self, job_id: str) -> bool:
        """Returns whether a task of a job is known to crash the endpoints that start it."""
        return self._crash_watch.record.is_convicted(job_id)

    def restore_crashes(self, job: Job, now_s: float) -> None:
        """Takes over the crashes that a former holder has stored with a job."""
        self._crash_watch.restore(job, now_s)

    def _expect_run_time(
        self,
        job: Job,
        task: Task,
        endpoint: EndpointState,
        endpoint_run: EndpointRun,
        now_s: float,
        neighbour_factor: float,
    ) -> None:
        """Records what the run time will be compared with.

        :param neighbour_factor: factor on the run time by the present neighbours.
        """
        step, endpoint_id = task.step, endpoint.info.instance.endpoint_id
        estimate = TaskEstimate(
            job.spec.terms.queue,
            step.estimate_s,
            task.distance_factor,
            job.siblings,
            task.name[1:],
        )
        endpoint_run.estimate = estimate
        expected_s = neighbour_factor * self._model.expected_at_s(estimate, endpoint_id)
        endpoint_run.pace = RunPace(expected_s, now_s)

    async def _start(self, task: Task, endpoint: EndpointState, order: StartOrder) -> None:
        """Sends a start order and applies its result."""
        instance, run = endpoint.info.instance, order.run
        self._wakeups[instance].set()
        outcome = await self._clients[instance].start(order)
        self._tenure.telemetry.count("task_starts", outcome=outcome.value)
        now_s = self._clock.now_s()
        endpoint_run = endpoint.runs.get((task.name, run))
        if outcome is StartOutcome.STARTED:
            if endpoint_run is None:
                self._crash_watch.note_outcome(endpoint, task.name, Evidence.POSSIBLE)
            else:
                endpoint_run.note_confirmed(now_s)
                self._blame_for_rejections(task, now_s)
                is_current = task.instance == instance and task.run == run
                if is_current and task.status is TaskStatus.STARTING:
                    self._job_table.note_confirmed(task)
                if self._job_table.find_task(task.name) is None:
                    self._stop_soon(endpoint, task.name, run)
            self._wakeups[instance].set()
            return
        logger.info(
            "start of a run not confirmed: {}",
            outcome.value,
            extra=self._tenure.extra(
                job=task.name.job_id,
                task=list(task.name[1:]),
                run=run,
                endpoint=instance.endpoint_id,
            ),
        )
        self._handle_unconfirmed_start(task, endpoint, run, outcome, endpoint_run, now_s)

    def _handle_unconfirmed_start(
        self,
        task: Task,
        endpoint: EndpointState,
        run: int,
        outcome: StartOutcome,
        endpoint_run: EndpointRun | None,
        now_s: float,
    ) -> None:
        """Applies any result of a start order but :attr:`StartOutcome.STARTED`."""
        if outcome is StartOutcome.FENCED_OFF:
            self._tenure.end("an endpoint has accepted a higher fence")
            return
        evidence = Evidence.DOUBTFUL if outcome is StartOutcome.UNKNOWN else None
        self._crash_watch.note_outcome(endpoint, task.name, evidence)
        if outcome is StartOutcome.UNKNOWN:
            if endpoint_run is not None and endpoint_run.confirmed_s == inf:
                endpoint_run.is_uncertain = True
                endpoint_run.pace = None  # it may start at any time, or never
                if task.instance == endpoint.info.instance and task.run == run:
                    task.status = TaskStatus.UNCERTAIN
            self._wakeups[endpoint.info.instance].set()
            return
        if outcome is StartOutcome.OTHER_INSTANCE:
            self._drop_run(endpoint, task.name, run, f"not started: {outcome.value}")
            self._crash_watch.note_restarted(endpoint, RestartSign.ORDER_REJECTED)
            self._remove_endpoint(endpoint, "another instance answers at its address")
            return
        if outcome in (StartOutcome.INVALID, StartOutcome.NO_TICKET):
            self._handle_rejected_order(task, endpoint, run, outcome, now_s)
            return
        if outcome in (StartOutcome.NO_ROOM, StartOutcome.REFUSED):
            endpoint.note_no_room(now_s)
        elif outcome is not StartOutcome.RUN_TOO_OLD:
            endpoint.quarantine(now_s)
        self._drop_run(endpoint, task.name, run, f"not started: {outcome.value}")
        self.changed.set()

    def _handle_rejected_order(
        self,
        task: Task,
        endpoint: EndpointState,
        run: int,
        outcome: StartOutcome,
        now_s: float,
    ) -> None:
        """Has a rejected order tried again: one that is invalid by that endpoint, at others."""
        instance = endpoint.info.instance
        endpoint.remove_run(task.name, run)
        self._neighbours.note_runs(endpoint, now_s)
        is_current = task.instance == instance and task.run == run
        if self._job_table.find_task(task.name) is not task or not is_current:
            return
        if outcome is StartOutcome.NO_TICKET:
            self._job_table.note_not_permitted(task, now_s)
        else:
            untried = self._list_untried(task, instance)
            self._job_table.note_rejected(
                task,
                instance,
                now_s,
                has_untried=bool(untried) or self._has_absent_untried(task),
                has_reachable_untried=any(e.is_staying and not e.missed_calls for e in untried),
            )
        job = self._job_table.jobs[task.name.job_id]
        if job.is_final:
            self._on_final(job)
        elif now_s < task.paused_until_s:
            self._tenure.spawn(self._place_after, task.paused_until_s - now_s)
        self.changed.set()

    def _list_untried(self, task: Task, rejecting: EndpointInstance) -> list[EndpointState]:
        """Lists the endpoints that could run a task, now or later, and haven't rejected its orders.

        Silent ones may be cut off. For those that the group lacks for the moment see
        :meth:`_has_absent_untried`.

        :param rejecting: the endpoint that has just rejected one.
        """
        return [
            endpoint
            for instance, endpoint in self.endpoints.items()
            if instance != rejecting
            and endpoint.is_listed
            and could_ever_fit(endpoint.info, task.step)
            and instance not in task.rejecting_instances
        ]

    def _has_absent_untried(self, task: Task) -> bool:
        """Returns whether an endpoint that isn't in the group for the moment could run a task.

        It has left the list lately and may come back, or its group isn't known yet.
        """
        absent = [
            info
            for info in self._endpoint_list.list_vanished(-inf)
            if self._membership(info) is not GroupMembership.OTHER_GROUP
        ]
        absent += [
            info
            for info in self._endpoint_list.endpoints
            if self._membership(info) is GroupMembership.UNKNOWN
        ]
        return any(
            could_ever_fit(info, task.step) and info.instance not in task.rejecting_instances
            for info in absent
        )

    async def _place_after(self, pause_s: float) -> None:
        """Has waiting tasks placed after a pause."""
        await sleep(pause_s)
        self.changed.set()

    def _blame_for_rejections(self, task: Task, now_s: float) -> None:
        """Counts rejections of a task's orders as failures, as another endpoint carries one out."""
        blamed_endpoint_ids = self._job_table.note_carried_out(task)
        if not blamed_endpoint_ids:
            return
        for instance, endpoint in self.endpoints.items():
            if instance.endpoint_id in blamed_endpoint_ids and endpoint.note_failure(now_s):
                self._tenure.telemetry.count("endpoint_closures", reason="rejections")

    def clear_orphans(self, claim: LoadedClaim) -> None:
        """Begins to end what endpoints keep of jobs that nobody wants any more."""
        self._clearance = OrphanClearance(
            claim, self._orphan_ends, lambda job_id: job_id in self._job_table.jobs, self._stop_soon
        )
        for endpoint in self.endpoints.values():
            endpoint.has_unknown_ends = False
        self.changed.set()

    def adopt_orphans(self, job: Job, now_s: float) -> None:
        """Applies the runs and ends of a former holder that endpoints have reported for a job."""
        if job.spec.is_durable:
            for endpoint, end in self._orphan_ends.take(job.spec.job_id):
                self._on_end(endpoint, end)
        for endpoint in self.endpoints.values():
            for end in list(endpoint.ends.values()):
                if end.name.job_id == job.spec.job_id and not job.is_final:
                    task = self._job_table.find_task(end.name)
                    if task is not None:
                        self._job_table.note_end(task, end, endpoint.info.instance)
            for name, run in list(endpoint.runs):
                if name.job_id != job.spec.job_id:
                    continue
                former = endpoint.add_run(name, run, self._find_needs(name))
                task = self._job_table.find_task(name)
                if task is not None and self._may_adopt(task, endpoint.info.instance, run):
                    endpoint.remove_run(name, run)
                    adopted = endpoint.add_run(name, run, task.step.needs, self._kind_of(task))
                    adopted.confirmed_s = now_s
                    adopted.was_reported = True
                    adopted.has_begun = former.has_begun
                    self._neighbours.note_runs(endpoint, now_s)
                    self._job_table.note_running(task, endpoint.info.instance, run, now_s)
        if job.is_final:
            self._on_final(job)

    def note_awaited_jobs(self, survey: AwaitedJobsSurvey) -> None:
        """Applies what the entry daemons have told of jobs that aren't open here."""
        if self._clearance is not None:
            self._clearance.note_survey(survey)
            self.release_orphan_ends(self._clock.now_s())

    def release_orphan_ends(self, now_s: float) -> None:
        """Lets endpoints forget the ends of jobs that nobody wants any more."""
        if self._clearance is not None:
            self._clearance.release_ends(now_s)
        if any(job_id not in self._job_table.jobs for job_id in self._orphan_ends.list_jobs()):
            self.orphans_found.set()

    def count_uneven_endpoints(self) -> tuple[int, int, float]:
        """Returns how many endpoints are slowed and suspected to fail, and the lowest speed."""
        now_s = self._clock.now_s()
        suspected = sum(
            endpoint.trust.failure_probability(now_s) >= SUSPECTED_PROBABILITY
            for endpoint in self.endpoints.values()
        )
        speeds = [self._model.speed(instance.endpoint_id) for instance in self.endpoints]
        return len(self._model.list_slowed()), suspected, min(speeds, default=1.0)

    def speed(self, endpoint: EndpointState) -> float:
        """Returns the speed to reckon with at an endpoint, the mean being 1."""
        return self._model.speed(endpoint.info.instance.endpoint_id)

    def move_stalled_runs(self, now_s: float) -> None:
        """Stops runs without progress or on slowed endpoints, so that they start on others."""
        for move in plan_moves(self.endpoints.values(), self._job_table, self._model, now_s):
            self._move_run(move, now_s)

    def _move_run(self, move: Move, now_s: float) -> None:
        """Stops a run; its task waits again once the endpoint has reported the end."""
        task, endpoint = move.task, move.endpoint
        details = {"progress_percent": task.progress_percent}
        if move.reason is MoveReason.STALLED:
            message = "run stopped: no progress within the stall limit"
            details["silent_s"] = round(now_s - task.progressed_s, 3)
            task.progressed_s = now_s
            self._tenure.telemetry.count("endpoint_closures", reason="stalled")
            endpoint.quarantine(now_s)
        else:
            message = "run stopped: its endpoint has turned slow and another one ends it sooner"
            details["remaining_s"] = round(move.remaining_s, 3)
            details["elsewhere_s"] = round(move.elsewhere_s, 3)
            task.moves += 1
            endpoint.runs[task.name, task.run].move_ordered_s = now_s
        endpoint_id = endpoint.info.instance.endpoint_id
        logger.info(
            message,
            extra=self._tenure.extra(
                job=task.name.job_id,
                task=list(task.name[1:]),
                run=task.run,
                endpoint=endpoint_id,
                **details,
            ),
        )
        self._tenure.telemetry.count("runs_moved", reason=move.reason.value)
        self._stop_soon(endpoint, task.name, task.run)

    def has_contacted_endpoints(self, now_s: float) -> bool:
        """Returns whether all endpoints have answered, or have had the time to, in this tenure."""
        if now_s - self._tenure.began_s > FIRST_CONTACT_TIMEOUT_S:
            return True
        is_complete = self.are_members_known or not self._tenure.claim_revision
        return (
            self.has_read_list
            and is_complete
            and all(endpoint.is_contacted for endpoint in self.endpoints.values())
        )

    async def close(self) -> None:
        """Closes the connections to all endpoints."""
        for client in self._clients.values():
            await client.close()

    def abandon_runs(self, job: Job) -> None:
        """Starts to stop all runs of a best-effort job that this holder forgets, with its ends.

        The job may come again to another group soon. So until an endpoint has confirmed the stop,
        its lease is not extended.
        """
        self._unfinished_ends.release_job(job.spec.job_id)
        if self._clearance is None or job.state is not JobState.CANCELLED:
            self._orphan_ends.release_job(job.spec.job_id)
        for task in job.tasks.values():
            endpoint = self.endpoints.get(task.instance) if task.instance is not None else None
            run = endpoint.runs.get((task.name, task.run)) if endpoint is not None else None
            if run is not None and task.status in ACTIVE_STATUSES:
                run.is_orphan = True
        self.stop_all_runs(job)

    def stop_all_runs(self, job: Job) -> None:
        """Starts to stop all runs of a job in the background."""
        for task in job.tasks.values():
            endpoint = self.endpoints.get(task.instance) if task.instance is not None else None
            if endpoint is not None and task.status in ACTIVE_STATUSES:
                self._stop_soon(endpoint, task.name, task.run)
