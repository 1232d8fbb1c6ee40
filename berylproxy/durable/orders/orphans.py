"""Who may end what endpoints keep of jobs that aren't open at a holder.

Such a job may be a durable one that another holder has accepted. The ends at the endpoints are then
the only record of what is done, until the store holds their effect, and others rely on its runs to
go on or to lapse. Only a holder that has loaded the open durable jobs under its claim can tell
which jobs nobody wants any more. :class:`OrphanClearance` alone ends runs and releases ends of
them, and it takes a :class:`LoadedClaim`, which a provisional holder never has.
"""

from collections.abc import Callable
from dataclasses import dataclass

from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.models import EndedRun, TaskName

ORPHAN_GRACE_S = 0.2  # time in which entry daemons submit unfinished jobs again


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
    :param ends: the reported ends of jobs that aren't open.
    :param stop_run: orders a run to stop.
    """

    def __init__(
        self,
        claim: LoadedClaim,
        ends: KeptEnds,
        stop_run: Callable[[EndpointState, TaskName, int], None],
    ) -> None:
        self._claim = claim
        self._ends = ends
        self._stop_run = stop_run

    def stop_run(self, endpoint: EndpointState, name: TaskName, run: int, now_s: float) -> None:
        """Stops a run unless its job may be wanted."""
        if self._is_unwanted(endpoint, name.job_id, now_s):
            self._stop_run(endpoint, name, run)

    def release_ends(self, now_s: float) -> None:
        """Lets endpoints forget the kept ends whose jobs are no longer wanted."""
        self._ends.release(
            lambda endpoint, end: self._is_unwanted(endpoint, end.name.job_id, now_s)
        )

    def release_end(self, endpoint: EndpointState, end: EndedRun, now_s: float) -> bool:
        """Lets an endpoint forget an end unless its job may be wanted; returns whether it may."""
        is_unwanted = self._is_unwanted(endpoint, end.name.job_id, now_s)
        if is_unwanted:
            endpoint.release_end(end.number)
        return is_unwanted

    def _is_unwanted(self, endpoint: EndpointState, job_id: str, now_s: float) -> bool:
        """Returns whether a job is no open durable one, and wasn't submitted again in time."""
        if job_id in self._claim.unreadable or endpoint.contacted_s is None:
            return False
        return now_s - endpoint.contacted_s >= ORPHAN_GRACE_S
