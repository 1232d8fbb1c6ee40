"""A holder that isn't run: its clock stands still, reports are applied by hand, orders recorded."""

from types import SimpleNamespace

from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.durable.endpoints.fleet import EndpointList, EndpointState
from berylproxy.durable.endpoints.group_membership import GroupMembership
from berylproxy.durable.endpoints.neighbour_mode import NeighbourMode
from berylproxy.durable.endpoints.neighbours import NeighbourModel
from berylproxy.durable.holding.context import HolderContext
from berylproxy.durable.holding.holder import TICK_INTERVAL_S, Holder
from berylproxy.durable.holding.records import open_key
from berylproxy.durable.jobs.job_table import Job
from berylproxy.durable.jobs.models import (
    EndedRun,
    EndKind,
    EndpointReport,
    JobSpec,
    QueueTerms,
    Resources,
    RunningTask,
    StepSpec,
    StoredJob,
    TaskName,
)
from berylproxy.durable.learning.estimates import RunTimeModel
from berylproxy.durable.orders.orphans import AwaitedJobsSurvey
from berylproxy.durable.orders.telemetry import Telemetry
from berylproxy.store.port import Entry
from tests.support.endpoint_world import FakeDirectory, FakeJobStore, make_endpoint

GROUP = "ledger"
ENTRY, OTHER = "entry-1", "other-1"
CLAIM_REVISION = 11
FENCES_PER_REVISION = 16


def make_stored_job(name: str, tasks: int, *, is_durable: bool) -> StoredJob:
    """Makes a job of one step."""
    terms = QueueTerms("q", GROUP, objective_s=10.0)
    spec = JobSpec(name, terms, "", (StepSpec(tasks, Resources(1_000), 0.1),), is_durable)
    return StoredJob(spec, 0.0)


class RecordingTaskGroup:
    """Stands in for the task group of a tenure: background work is listed, not done."""

    def __init__(self) -> None:
        self.works: list[tuple[str, tuple]] = []
        self.cancel_scope = SimpleNamespace(cancel_called=False, cancel=self._cancel)

    def start_soon(self, work, *arguments) -> None:
        """Lists work by the name of its function."""
        self.works.append((work.__name__, arguments))

    def _cancel(self) -> None:
        self.cancel_scope.cancel_called = True


class StillHolder:
    """A holder with one endpoint.

    :param has_claim: whether it has a claim; a provisional holder has none.
    :ivar memberships: what it knows of endpoints that it doesn't know to be in its group.
    """

    def __init__(self, *, has_claim: bool) -> None:
        self.now_s = 100.0
        self.store = FakeJobStore()
        self.notices: list[tuple[str, object]] = []
        self.memberships: dict[str, GroupMembership] = {}
        endpoint = make_endpoint("e1")
        revision = CLAIM_REVISION if has_claim else 0
        self.holder = Holder(
            GROUP,
            CLAIM_REVISION * FENCES_PER_REVISION + (not has_claim),
            revision,
            None,
            RunTimeModel(),
            NeighbourModel(lambda: NeighbourMode.OFF),
            HolderContext(
                self.store,
                FakeDirectory([endpoint]),
                EndpointList(),
                EvacuatedDomains(revision=1, confirmed_s=0.0),
                lambda group, service, name: self.memberships.get(name, GroupMembership.MEMBER),
                SimpleNamespace(now_s=lambda: self.now_s),
                Telemetry(),
                lambda incarnation, message: self.notices.append((incarnation, message)),
                lambda: [OTHER],
                lambda group: [],
                lambda: True,
                lambda incarnation: True,
                lambda: 2.0,
                lambda incarnation: "a",
                self._survey_nobody,
            ),
        )
        self.work = self.holder.tenure.task_group = RecordingTaskGroup()
        self.holder.group._apply_directory((endpoint.info,))
        (self.endpoint,) = self.holder.group.endpoints.values()

    async def _survey_nobody(self, group: str) -> AwaitedJobsSurvey:
        return AwaitedJobsSurvey(self.now_s, frozenset())

    def tell_awaited_jobs(self, job_ids: set[str], asked_s: float) -> None:
        """Applies the entry daemons' answers to the question for whom they wait.

        :param asked_s: when they were asked.
        """
        survey = AwaitedJobsSurvey(asked_s, frozenset(job_ids))
        self.holder.group.note_awaited_jobs(survey)

    def pause(self, time_s: float) -> None:
        """Lets time pass in which the holder's process is stopped."""
        self.now_s += time_s

    def run_on(self, time_s: float) -> None:
        """Lets time pass in which the holder's process runs."""
        until_s = self.now_s + time_s
        self._note_run()
        while self.now_s < until_s:
            self.now_s = min(self.now_s + TICK_INTERVAL_S, until_s)
            self._note_run()

    def _note_run(self) -> None:
        self.holder._pauses.note_run()
        self.holder._short_pauses.note_run()

    @property
    def state(self) -> EndpointState:
        """What the holder keeps of the endpoint."""
        return self.endpoint

    def store_open_job(self, name: str, value: bytes, revision: int = CLAIM_REVISION - 1) -> None:
        """Writes the record of an open job to the store."""
        key = open_key(GROUP, name)
        self.store.entries[key] = Entry(key, value, revision)

    async def load_jobs(self) -> None:
        """Loads the open jobs from the store."""
        await self.holder._load_jobs()

    def open_job(self, name: str, tasks: int, *, is_durable: bool, first_run: int = 0) -> Job:
        """Opens a job without placing its tasks."""
        stored = make_stored_job(name, tasks, is_durable=is_durable)
        return self.holder.job_table.open(
            stored, self.now_s, entry=ENTRY, first_run=first_run, may_have_begun=first_run > 0
        )

    def start_tasks(self, job: Job) -> None:
        """Orders the start of all tasks of a job."""
        for task in job.tasks.values():
            self.holder.group.order_start(task, self.endpoint)

    def report(
        self,
        ended: list[tuple[str, int, EndKind]] = (),
        running: list[tuple[str, int]] = (),
        run: int = 1,
    ) -> None:
        """Applies a report of the endpoint, and does what the holder does regularly.

        :param ended: job, task and kind of each end that the endpoint remembers; they are numbered
            from 1.
        :param running: job and task of each active run.
        :param run: number of all runs.
        """
        ends = tuple(
            EndedRun(number, TaskName(job, 0, index), run, kind, "")
            for number, (job, index, kind) in enumerate(ended, start=1)
        )
        runs = tuple(RunningTask(TaskName(job, 0, index), run, "", 10) for job, index in running)
        group, born_ms = self.holder.group, self.endpoint.info.instance.born_ms
        group._apply_report(self.endpoint, EndpointReport(born_ms, self.now_s, runs, ends))
        group.release_orphan_ends(self.now_s)

    def list_stopped(self) -> list[tuple[str, int]]:
        """Lists the job and the task of each run that the holder has ordered to stop."""
        return [(name.job_id, name.index) for work, (_, name, _) in self._list_stops()]

    def _list_stops(self) -> list[tuple[str, tuple]]:
        return [entry for entry in self.work.works if entry[0] == "_stop"]
