"""Who may end what endpoints keep of jobs that aren't open at a holder.

Such a job may be a durable one that another holder has accepted. The ends at the endpoints are then
the only record of what is done, until the store holds their effect, and others rely on its runs to
go on or to lapse. Only a holder that has loaded the open durable jobs under its claim can tell
that a job is none of them. :class:`OrphanClearance` alone ends runs and releases ends of such jobs,
and it takes a :class:`LoadedClaim`, which a provisional holder never has.

The others are best-effort jobs, of which the entry daemons know whether a caller still waits. A
:class:`AwaitedJobsSurvey` holds their answers.
"""

from collections.abc import Callable
from dataclasses import dataclass

from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.models import EndedRun, TaskName

# Until a run of an unknown job ends, the lease of its endpoint isn't extended, so that the runs
# beside it lapse, too. It is stopped if the entry daemons haven't told in this time who wants it.
UNTOLD_RUN_GRACE_S = 0.2
ADOPTED_END_GRACE_S = 0.2  # a job that has come again may be dropped and come once more


@dataclass(frozen=True, slots=True)
class LoadedClaim:
    """Proof that a holder has loaded the open durable jobs of its group.

    It stays valid if the claim is replaced unnoticed: the successor starts runs of jobs that it
    accepts only at endpoints that obey its own fence, and so refuse orders under this claim.

    :param revision: revision of the claim under which the jobs were loaded.
    :param unreadable: identifiers of open jobs whose records can't be decoded, as daemons of
        another version may have written them.
    """

    revision: int
    unreadable: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        if self.revision <= 0:
            raise ValueError("open jobs are loaded under a claim only")


@dataclass(frozen=True, slots=True)
class AwaitedJobsSurvey:
    """The best-effort jobs of a group for which callers wait, as told by their entry daemons.

    :param asked_s: monotonic time at which the first daemon was asked.
    :param job_ids: the jobs for which a caller waited when its daemon answered.
    """

    asked_s: float
    job_ids: frozenset[str]


class KeptEnds:
    """Ends of runs that endpoints have reported and are to keep, by job."""

    def __init__(self) -> None:
        self._ends: dict[str, list[tuple[EndpointState, EndedRun]]] = {}

    def add(self, endpoint: EndpointState, end: EndedRun) -> None:
        """Adds a reported end."""
        self._ends.setdefault(end.name.job_id, []).append((endpoint, end))

    def take(self, job_id: str) -> list[tuple[EndpointState, EndedRun]]:
        """Removes and returns the ends of a job."""
        return self._ends.pop(job_id, [])

    def list_jobs(self) -> list[str]:
        """Lists the jobs with ends."""
        return list(self._ends)

    def release_job(self, job_id: str) -> None:
        """Lets the endpoints forget the ends of a job."""
        for endpoint, end in self.take(job_id):
            endpoint.release_end(end.number)

    def release(self, may_release: Callable[[EndpointState, EndedRun], bool]) -> None:
        """Lets the endpoints forget those ends that they may."""
        remaining: dict[str, list[tuple[EndpointState, EndedRun]]] = {}
        for job_id, ends in self._ends.items():
            for endpoint, end in ends:
                if may_release(endpoint, end):
                    endpoint.release_end(end.number)
                else:
                    remaining.setdefault(job_id, []).append((endpoint, end))
        self._ends = remaining


class OrphanClearance:
    """Ends what is left of the jobs that nobody wants any more.

    :param claim: proves which jobs are no durable ones.
    :param ends: the reported ends of jobs that weren't open when they were reported.
    :param is_open: returns whether a job is open at this holder.
    :param stop_run: orders a run to stop.
    """

    def __init__(
        self,
        claim: LoadedClaim,
        ends: KeptEnds,
        is_open: Callable[[str], bool],
        stop_run: Callable[[EndpointState, TaskName, int], None],
    ) -> None:
        self._claim = claim
        self._ends = ends
        self._is_open = is_open
        self._stop_run = stop_run
        self._survey: AwaitedJobsSurvey | None = None

    def note_survey(self, survey: AwaitedJobsSurvey) -> None:
        """Applies the answers of the entry daemons."""
        self._survey = survey

    def stop_run(self, endpoint: EndpointState, name: TaskName, run: int, now_s: float) -> bool:
        """Stops a run unless its job may be wanted; returns whether it is stopped."""
        is_wanted = self._is_wanted(endpoint, name.job_id)
        if is_wanted is None and name.job_id not in self._claim.unreadable:
            is_wanted = not _has_passed(endpoint, UNTOLD_RUN_GRACE_S, now_s)
        if is_wanted is False:
            self._stop_run(endpoint, name, run)
        return is_wanted is False

    def release_ends(self, now_s: float) -> None:
        """Lets endpoints forget the kept ends whose jobs are no longer wanted."""
        self._ends.release(lambda endpoint, end: self._may_release(endpoint, end, now_s))

    def release_end(self, endpoint: EndpointState, end: EndedRun, now_s: float) -> bool:
        """Lets an endpoint forget an end unless its job may be wanted; returns whether it may."""
        may_release = self._may_release(endpoint, end, now_s)
        if may_release:
            endpoint.release_end(end.number)
        return may_release

    def _may_release(self, endpoint: EndpointState, end: EndedRun, now_s: float) -> bool:
        """Returns whether the effect of an end is known here, or wanted by nobody."""
        if self._is_open(end.name.job_id):
            return _has_passed(endpoint, ADOPTED_END_GRACE_S, now_s)
        return self._is_wanted(endpoint, end.name.job_id) is False

    def _is_wanted(self, endpoint: EndpointState, job_id: str) -> bool | None:
        """Returns whether a caller waits for a job that an endpoint reports; ``None`` if unknown.

        Until the endpoint's first answer, a former holder may have started runs there of jobs for
        which nobody waited when the entry daemons were asked.
        """
        survey, contacted_s = self._survey, endpoint.contacted_s
        if job_id in self._claim.unreadable or survey is None or contacted_s is None:
            return None
        return job_id in survey.job_ids if survey.asked_s >= contacted_s else None


def _has_passed(endpoint: EndpointState, time_s: float, now_s: float) -> bool:
    """Returns whether a time has passed since an endpoint's first answer."""
    return endpoint.contacted_s is not None and now_s - endpoint.contacted_s >= time_s
