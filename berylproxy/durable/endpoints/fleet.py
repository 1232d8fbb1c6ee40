"""A holder's view of its endpoints: free resources, quarantine, run ends to acknowledge."""

from dataclasses import dataclass, field
from math import inf

from anyio import Event
from msgspec.structs import replace

from berylproxy.durable.jobs.crashes import Evidence
from berylproxy.durable.jobs.models import (
    EndedRun,
    EndpointInfo,
    EndpointInstance,
    EndpointReport,
    Resources,
    TaskName,
)
from berylproxy.durable.learning.estimates import TaskEstimate
from berylproxy.durable.learning.occupancy import Occupancy, OccupancyAtStart
from berylproxy.durable.learning.run_times import RunPace
from berylproxy.durable.learning.trust import EndpointTrust, FailureTrust

# After the first quarantine, one task of a second or less may show whether the endpoint works.
FIRST_QUARANTINE_S = 0.5
LONGEST_QUARANTINE_S = 4.0
FAILURES_BEFORE_QUARANTINE = 2  # in a row, of tasks that have not failed on another endpoint
# The longest time that an endpoint takes to stop a run whose resources the holder counts as free.
NO_ROOM_PAUSE_S = 0.05
# Other jobs wait meanwhile, though there is room beside the tasks that may crash the endpoint.
RESERVATION_S = 2.0
# Within this time a process can't have ended, and its successor have run a task to its end.
PROCESS_CERTAIN_S = 0.1
VANISHED_MEMORY_S = 30.0  # well above the time for which a holder may order runs by an old list
# By then a standby daemon has read the list again, unless the store is silent.
NEW_ENDPOINT_S = 12.0
# Of the ends that a report can list: ends of durable jobs stay until the store holds their effect,
# and other jobs must go on while it doesn't answer.
DURABLE_END_SHARE = 0.5


@dataclass(slots=True)
class EndpointList:
    """The platform's list of endpoints as this daemon knows it.

    :ivar read_s: monotonic time at which the last answer that confirmed the list was asked for; 0
        before the first one.
    :ivar confirmed: set at the next answer; a new event then takes its place.
    :ivar heard: set when a capacity is heard from another daemon; a new event then takes its place.
    """

    endpoints: tuple[EndpointInfo, ...] = ()
    read_s: float = 0.0
    confirmed: Event = field(default_factory=Event)
    heard: Event = field(default_factory=Event)
    _by_instance: dict[EndpointInstance, EndpointInfo] = field(default_factory=dict)
    _heard_capacities: dict[EndpointInstance, tuple[int, Resources]] = field(default_factory=dict)
    _changed_s: dict[EndpointInstance, float] = field(default_factory=dict)
    _vanished: dict[EndpointInstance, tuple[EndpointInfo, float]] = field(default_factory=dict)
    _listed_from_s: dict[EndpointInstance, float] = field(default_factory=dict)

    def update(
        self, endpoints: tuple[EndpointInfo, ...], now_s: float, asked_s: float | None = None
    ) -> None:
        """Replaces the list by the one of a new answer.

        :param asked_s: monotonic time at which the answer was asked for; by default now.
        """
        for info in endpoints:
            former = self._by_instance.get(info.instance)
            if former is not None and former.capacity != info.capacity:
                self._changed_s[info.instance] = now_s
        self._note_vanished(endpoints, now_s)
        self._by_instance = {info.instance: self._apply_heard(info) for info in endpoints}
        self._heard_capacities = {
            instance: heard
            for instance, heard in self._heard_capacities.items()
            if instance in self._by_instance and heard[0] >= self._by_instance[instance].revision
        }
        self.endpoints = tuple(self._by_instance.values())
        self._listed_from_s = {
            instance: self._listed_from_s.get(instance, now_s) for instance in self._by_instance
        }
        self.read_s = now_s if asked_s is None else asked_s
        confirmed, self.confirmed = self.confirmed, Event()
        confirmed.set()

    def _note_vanished(self, endpoints: tuple[EndpointInfo, ...], now_s: float) -> None:
        """Remembers for a while which endpoints an answer no longer shows."""
        listed_ids = {info.instance.endpoint_id for info in endpoints}
        for instance, info in self._by_instance.items():
            self._vanished.setdefault(instance, (info, now_s))
        self._vanished = {
            instance: (info, from_s)
            for instance, (info, from_s) in self._vanished.items()
            if instance.endpoint_id not in listed_ids and now_s - from_s < VANISHED_MEMORY_S
        }

    def is_new(self, instance: EndpointInstance) -> bool:
        """Returns whether standby daemons may not have read of a listed endpoint yet."""
        return self._listed_from_s.get(instance, -inf) >= self.read_s - NEW_ENDPOINT_S

    def list_vanished(self, since_s: float) -> list[EndpointInfo]:
        """Lists the endpoints that were missing in an answer first since a monotonic time.

        Those of which a new process is listed aren't among them, nor those that are back.
        """
        return [info for info, from_s in self._vanished.values() if from_s >= since_s]

    def hear_capacity(self, instance: EndpointInstance, revision: int, capacity: Resources) -> None:
        """Applies a capacity that another daemon has read, unless the one known is newer.

        :param revision: revision of the entry that showed it.
        """
        known = self._by_instance.get(instance)
        heard_revision, _ = self._heard_capacities.get(instance, (0, None))
        if known is None or revision <= max(known.revision, heard_revision):
            return
        self._heard_capacities[instance] = (revision, capacity)
        if known.capacity == capacity:
            return
        self._by_instance[instance] = self._apply_heard(known)
        self.endpoints = tuple(self._by_instance.values())
        heard, self.heard = self.heard, Event()
        heard.set()

    def list_changed(self) -> list[EndpointInfo]:
        """Lists the endpoints that an answer has shown with another capacity than before."""
        if not self._changed_s:
            return []
        return [info for info in self.endpoints if info.instance in self._changed_s]

    def forget_changes(self, before_s: float) -> None:
        """Forgets the changes that were seen before a monotonic time."""
        self._changed_s = {
            instance: at_s for instance, at_s in self._changed_s.items() if at_s >= before_s
        }

    def _apply_heard(self, info: EndpointInfo) -> EndpointInfo:
        """Returns an entry with what was heard; the answer may be older than that."""
        revision, capacity = self._heard_capacities.get(info.instance, (0, info.capacity))
        if revision <= info.revision:
            return info
        return replace(info, capacity=capacity, revision=revision)


@dataclass(slots=True, eq=False)
class EndpointRun:
    """A run that is, or may be, active on an endpoint.

    :ivar needs: ``None`` while its job isn't known, so that it may take all of the endpoint.
    :ivar confirmed_s: monotonic time at which the endpoint confirmed the run; infinite until then.
    :ivar stop_confirmed_s: monotonic time at which the endpoint confirmed that it stopped the run;
        infinite until then.
    :ivar has_begun: whether the endpoint's present process has confirmed the run; one that was
        transferred to it may have been confirmed by the former process.
    :ivar was_reported: whether a report of the endpoint's present process has listed the run.
    :ivar is_uncertain: whether the order to start the run was not answered.
    :ivar is_orphan: whether the run belongs to no job that this holder has: a former holder ordered
        it, or its job was dropped. The lease of such a run must not be extended, because others may
        rely on its lapse.
    :ivar kind: kind of the task; empty if its job is not known.
    :ivar occupancy_at_start: ``None`` if this holder did not order the run.
    :ivar estimate: what its run time is compared with; ``None`` if it was not ordered by this
        holder, so that its start is unknown.
    :ivar pace: its progress; ``None`` if the start is unknown, or it began from a checkpoint.
    :ivar move_ordered_s: monotonic time at which it was last to be stopped for a start elsewhere.
    """

    needs: Resources | None
    kind: str = ""
    confirmed_s: float = inf
    has_begun: bool = False
    stop_confirmed_s: float = inf
    was_reported: bool = False
    is_uncertain: bool = False
    is_orphan: bool = False
    occupancy_at_start: OccupancyAtStart | None = None
    estimate: TaskEstimate | None = None
    pace: RunPace | None = None
    move_ordered_s: float = -inf

    @property
    def evidence(self) -> Evidence:
        """What is known of the run in case the endpoint is lost."""
        if self.has_begun and self.stop_confirmed_s == inf:
            return Evidence.BEGUN
        if self.confirmed_s < inf:
            return Evidence.POSSIBLE
        has_outcome = self.is_uncertain or self.stop_confirmed_s < inf
        return Evidence.DOUBTFUL if has_outcome else Evidence.ORDERED

    def note_confirmed(self, now_s: float) -> None:
        """Records that the endpoint's present process runs it, by its answer to the order."""
        self.confirmed_s = min(self.confirmed_s, now_s)
        self.has_begun = True

    def note_reported(self, now_s: float) -> None:
        """Records that a report of the endpoint's present process lists it."""
        self.note_confirmed(now_s)
        self.was_reported, self.is_uncertain = True, False

    def should_be_listed(self, report: EndpointReport) -> bool:
        """Returns whether a report would list the run if it is active.

        So it is certainly not active if a complete report doesn't list it.
        """
        return min(self.confirmed_s, self.stop_confirmed_s) < report.sent_s


@dataclass(slots=True, eq=False)
class EndpointState:
    """State that the holder keeps for one instance of an endpoint.

    :ivar runs: runs that may be active on the endpoint, by task and run number, with the resources
        that each takes.
    :ivar ends: ends of runs that the endpoint still remembers, by their number.
    :ivar released: numbers of the ends that the endpoint may forget.
    :ivar acknowledged: number up to which the endpoint may forget all ends.
    :ivar sent_acknowledgement: the newest ``acknowledged`` that the endpoint has confirmed.
    :ivar contacted_s: monotonic time at which the endpoint first answered under this holder's
        fence; ``None`` until then.
    :ivar is_surveyed: whether all runs and ends of former holders are known: the endpoint has sent
        a complete report under this holder's fence, or all leases from before have lapsed.
    :ivar is_report_complete: whether its last report was complete.
    :ivar unreadable_from_s: monotonic time from which on its reports may have hidden a run in rows
        that can't be read; ``None`` if they don't.
    :ivar has_unknown_ends: whether it may remember ends of durable jobs that this holder doesn't
        know, and its lease from before may not have lapsed.
    :ivar missed_calls: consecutive calls without an answer.
    :ivar last_answer_s: monotonic time of the endpoint's last answer to a renewal.
    :ivar ended_abruptly: whether its process is known to have ended right after it had answered, so
        that the runs which it had then were lost with it.
    :ivar is_listed: whether the platform's list names the endpoint.
    :ivar is_evacuated: whether its failure domain is evacuated, so that no task is started there.
    :ivar cold_until_s: monotonic time until which the endpoint is slow after its start.
    :ivar cold_s: how long it was to stay slow when that was known first.
    :ivar quarantined_until_s: monotonic time before which no task is started on the endpoint.
    :ivar used: resources taken by all ``runs`` whose needs are known.
    :ivar unknown_runs: number of the other runs.
    :ivar occupancy: kinds of the ``runs`` over time.
    :ivar reserved_for: job whose tasks may crash the endpoint and get it for themselves at first;
        empty for none.
    :ivar reserved_until_s: monotonic time until which other jobs are kept from it.
    :ivar trust: how likely the endpoint is to fail its runs now.
    :ivar max_listed_ends: largest number of ends that the endpoint lists in a complete report.
    """

    info: EndpointInfo
    runs: dict[tuple[TaskName, int], EndpointRun] = field(default_factory=dict)
    ends: dict[int, EndedRun] = field(default_factory=dict)
    released: set[int] = field(default_factory=set)
    acknowledged: int = 0
    sent_acknowledgement: int = 0
    contacted_s: float | None = None
    is_surveyed: bool = False
    is_report_complete: bool = False
    unreadable_from_s: float | None = None
    has_unknown_ends: bool = False
    is_listed: bool = True
    is_evacuated: bool = False
    cold_until_s: float = 0.0
    cold_s: float = 0.0
    missed_calls: int = 0
    last_answer_s: float = 0.0
    ended_abruptly: bool = False
    quarantined_until_s: float = 0.0
    failures_in_row: int = 0
    quarantine_s: float = FIRST_QUARANTINE_S
    used: Resources = field(default_factory=Resources)
    unknown_runs: int = 0
    occupancy: Occupancy = field(default_factory=Occupancy)
    reserved_for: str = ""
    reserved_until_s: float = -inf
    trust: EndpointTrust = field(default_factory=FailureTrust)
    max_listed_ends: float = inf

    @property
    def has_orphans(self) -> bool:
        """Whether the endpoint has runs whose lease must not be extended.

        A start order would extend the lease.
        """
        # Placement asks this of each endpoint for each task; a generator would cost twice the time.
        for run in self.runs.values():  # noqa: SIM110
            if run.is_orphan:
                return True
        return False

    @property
    def should_let_lapse(self) -> bool:
        """Whether the endpoint's lease must not be extended, neither by a renewal nor by a start.

        Others rely on the lapse of runs whose jobs this holder doesn't know, and start their tasks
        again then, also those that have ended here meanwhile.

        If unanswered calls could extend it, the holder could never tell when it has lapsed; nor
        could it rely on the lapse of a run that it can't see. For orphans see
        :attr:`EndpointRun.is_orphan`.
        """
        if self.missed_calls or self.unreadable_from_s is not None:
            return True
        return self.has_unknown_ends or self.has_orphans

    @property
    def is_contacted(self) -> bool:
        """Whether the endpoint has answered, and so rejects orders under lower fences."""
        return self.contacted_s is not None

    @property
    def is_idle(self) -> bool:
        """Whether the endpoint needs no polling.

        It answered the last call, has no runs and remembers no ends.
        """
        if self.sent_acknowledgement != self.acknowledged or not self.is_surveyed:
            return False
        return self.is_contacted and not (self.runs or self.ends or self.missed_calls)

    @property
    def only_remembers_ends(self) -> bool:
        """Whether the endpoint needs a call for no more than to forget released ends."""
        if self.runs or self.missed_calls or not (self.is_contacted and self.is_listed):
            return False
        return self.is_report_complete and self.released.issuperset(self.ends)

    @property
    def free_resources(self) -> Resources:
        """The unused part of the endpoint's capacity; runs that are being stopped count as used.

        An amount is negative while the endpoint runs more than its capacity, which has shrunk.
        """
        if self.unknown_runs:
            return Resources()
        return self.info.capacity - self.used

    @property
    def free_millicores(self) -> int:
        """The unused part of the endpoint's processor capacity, in thousandths of a core."""
        if self.unknown_runs:
            return 0
        return self.info.capacity.cpu_millicores - self.used.cpu_millicores

    def has_room(self, needs: Resources) -> bool:
        """Returns whether a task fits into the unused part of the endpoint's capacity."""
        if self.unknown_runs:
            return False
        # Placement asks this of each endpoint for each task; a new object would cost more.
        capacity, used = self.info.capacity, self.used
        return (
            needs.cpu_millicores <= capacity.cpu_millicores - used.cpu_millicores
            and needs.memory_mb <= capacity.memory_mb - used.memory_mb
            and needs.accelerators <= capacity.accelerators - used.accelerators
        )

    def can_list_end(self, *, is_durable: bool) -> bool:
        """Returns whether the endpoint could list the end of another run with all others.

        :param is_durable: whether the run is of a durable job.
        """
        limit = self.max_listed_ends * (DURABLE_END_SHARE if is_durable else 1.0)
        return len(self.runs) + len(self.ends) < limit

    @property
    def needs_fewer_ends(self) -> bool:
        """Whether the ends of durable jobs may soon keep further tasks of such jobs away."""
        return 2 * len(self.ends) >= self.max_listed_ends * DURABLE_END_SHARE

    def may_start(self, now_s: float) -> bool:
        """Returns whether tasks may be started on the endpoint now.

        Those of durable jobs also need :meth:`can_list_end`.
        """
        if not self.is_serving(now_s) or self.should_let_lapse:
            return False
        if not self.can_list_end(is_durable=False):
            return False
        return not (self.runs and self.trust.is_on_probation(now_s))

    def is_serving(self, now_s: float) -> bool:
        """Returns whether the endpoint's capacity is available to future jobs.

        :meth:`reason_not_serving` tells why it is not.
        """
        return (
            self.is_contacted
            and self.is_listed
            and not self.info.leaving
            and not self.is_evacuated
            and not self.missed_calls
            and now_s >= self.quarantined_until_s
        )

    @property
    def is_staying(self) -> bool:
        """Whether the endpoint is to get tasks again, if not now."""
        return self.is_listed and not self.info.leaving and not self.is_evacuated

    def reason_not_serving(self, now_s: float) -> str:
        """Returns why the endpoint is not serving; empty if it is."""
        reasons = {
            "not_contacted": not self.is_contacted,
            "not_listed": not self.is_listed,
            "leaving": self.info.leaving,
            "evacuated": self.is_evacuated,
            "unanswered": self.missed_calls > 0,
            "quarantined": now_s < self.quarantined_until_s,
        }
        return next((reason for reason, applies in reasons.items() if applies), "")

    def note_cold(self, left_s: float, now_s: float) -> None:
        """Applies how much longer the endpoint says to stay slow."""
        if now_s >= self.cold_until_s:
            self.cold_s = 0.0
        self.cold_until_s = now_s + left_s if left_s > 0 else min(self.cold_until_s, now_s)
        self.cold_s = max(self.cold_s, left_s)

    def coldness(self, now_s: float) -> float:
        """Returns how cold the endpoint is, from 1 at first to 0 once it is warm."""
        if now_s >= self.cold_until_s:
            return 0.0
        return min((self.cold_until_s - now_s) / self.cold_s, 1.0)

    def add_run(
        self, name: TaskName, run: int, needs: Resources | None, kind: str = ""
    ) -> EndpointRun:
        """Adds a run and counts its resources as used; returns the known one if there is one.

        :param needs: ``None`` if they aren't known; a later call may add them.
        """
        endpoint_run = self.runs.get((name, run))
        if endpoint_run is None:
            endpoint_run = self.runs[name, run] = EndpointRun(needs, kind)
            self._count_needs(endpoint_run)
        elif endpoint_run.needs is None and needs is not None:
            self._discount_needs(endpoint_run)
            endpoint_run.needs = needs
            self._count_needs(endpoint_run)
        return endpoint_run

    def _count_needs(self, endpoint_run: EndpointRun) -> None:
        if endpoint_run.needs is None:
            self.unknown_runs += 1
        else:
            self.used = self.used + endpoint_run.needs

    def _discount_needs(self, endpoint_run: EndpointRun) -> None:
        if endpoint_run.needs is None:
            self.unknown_runs -= 1
        else:
            self.used = self.used - endpoint_run.needs

    def remove_run(self, name: TaskName, run: int) -> None:
        """Removes a run and counts its resources as free."""
        endpoint_run = self.runs.pop((name, run), None)
        if endpoint_run is not None:
            self._discount_needs(endpoint_run)
        if not self.runs:
            self.reserved_for = ""

    def is_apart(self, job_id: str) -> bool:
        """Returns whether the endpoint has no runs of other jobs."""
        return all(name.job_id == job_id for name, _ in self.runs)

    def reserve(self, job_id: str, now_s: float) -> None:
        """Keeps other jobs away for a while, once for as long as it runs tasks of the job."""
        if self.reserved_for != job_id:
            self.reserved_for, self.reserved_until_s = job_id, now_s + RESERVATION_S

    def is_closed_to(self, job_id: str, now_s: float) -> bool:
        """Returns whether the endpoint is reserved for another job now."""
        return self.reserved_for not in ("", job_id) and now_s < self.reserved_until_s

    def note_failure(self, now_s: float) -> bool:
        """Counts a failure of a task that did not fail on another endpoint.

        :return: whether the endpoint is in quarantine now.
        """
        self.trust.note_failed(now_s)
        self.failures_in_row += 1
        if self.failures_in_row < FAILURES_BEFORE_QUARANTINE:
            return False
        self.quarantine(now_s)
        return True

    def quarantine(self, now_s: float) -> None:
        """Stops starting tasks on the endpoint for a period that doubles each time."""
        self.quarantined_until_s = now_s + self.quarantine_s
        self.quarantine_s = min(2 * self.quarantine_s, LONGEST_QUARANTINE_S)

    def note_success(self, now_s: float) -> None:
        """Resets the failure count and the length of the next quarantine."""
        self.trust.note_done(now_s)
        self.failures_in_row = 0
        self.quarantine_s = FIRST_QUARANTINE_S

    def note_no_room(self, now_s: float) -> None:
        """Pauses starts until the endpoint has freed the resources of runs that it is stopping."""
        self.quarantined_until_s = max(self.quarantined_until_s, now_s + NO_ROOM_PAUSE_S)

    def add_end(self, end: EndedRun) -> bool:
        """Stores the end of a run until the endpoint may forget it.

        :return: whether the end was not known before.
        """
        if end.number <= self.acknowledged or end.number in self.ends:
            return False
        self.ends[end.number] = end
        return True

    def release_end(self, number: int) -> None:
        """Marks an end as one that the endpoint may forget."""
        if number in self.ends:
            self.released.add(number)

    def may_acknowledge(self, now_s: float) -> bool:
        """Returns whether the next renewal may let the endpoint forget ends.

        The numbers of ends begin anew with each process under the endpoint's identifier, and a call
        can't name the process. So an acknowledgement isn't repeated once it is confirmed, and while
        there are runs, it follows closely upon an answer of the process that has numbered the ends.
        """
        if self.acknowledged == self.sent_acknowledgement or self.missed_calls:
            return False
        return not self.runs or now_s - self.last_answer_s <= PROCESS_CERTAIN_S

    def note_acknowledged(self, number: int, report: EndpointReport) -> None:
        """Records a sent acknowledgement as confirmed, unless the report still lists such an end.

        :param number: 0 if the renewal carried none.
        """
        if number and all(end.number > number for end in report.ended):
            self.sent_acknowledgement = number

    def next_acknowledgement(self) -> int:
        """Returns the number up to which the endpoint may forget all ends, and drops these ends."""
        while self.ends:
            first = min(self.ends)
            if first not in self.released:
                break
            self.ends.pop(first)
            self.released.discard(first)
            self.acknowledged = first
        return self.acknowledged
