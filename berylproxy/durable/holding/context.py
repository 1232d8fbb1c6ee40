"""What a daemon gives to its tenures; imported by daemons that hold no group, too."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from berylproxy.clock import Clock
from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.durable.endpoints.fleet import EndpointList
from berylproxy.durable.endpoints.group_membership import GroupMembership
from berylproxy.durable.jobs.ports import EndpointDirectory, JobStore
from berylproxy.durable.orders.orphans import AwaitedJobsSurvey
from berylproxy.durable.orders.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class InheritedEndpoints:
    """Endpoints that a former holder may have used, according to its last heartbeat.

    :param fence: fence of the former holder.
    """

    fence: int
    endpoint_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class HolderContext:
    """Dependencies that all tenures of a daemon share.

    :param endpoint_list: the list of endpoints that this daemon read last.
    :param evacuations: the evacuated failure domains as this daemon knows them.
    :param membership: returns whether an endpoint belongs to a group, given the group and the
        endpoint's service and identifier.
    :param notify: sends a message without a reply to an incarnation.
    :param members: returns the incarnations of the other live daemons.
    :param watchers: returns the incarnations of a group's likely next holders.
    :param may_others_reach_store: returns whether any other daemon may reach the store; ``True``
        also while messages arrive from too few daemons to know.
    :param is_entry_alive: returns whether a message from the entry daemon of a job, given its
        incarnation, has arrived recently.
    :param remote_factor: returns the run time of a task away from its data, relative to its run
        time near the data.
    :param failure_domain: returns the failure domain of a daemon, given its incarnation; empty if
        it is unknown.
    :param survey_awaited_jobs: asks the entry daemons for which best-effort jobs of a group their
        callers wait; returns ``None`` if one of them can't tell.
    :param other_groups_of_job: returns the groups in which a job may be if its queue had another
        service before, given its service and identifier.
    """

    store: JobStore
    directory: EndpointDirectory
    endpoint_list: EndpointList
    evacuations: EvacuatedDomains
    membership: Callable[[str, str, str], GroupMembership]
    clock: Clock
    telemetry: Telemetry
    notify: Callable[[str, object], None]
    members: Callable[[], list[str]]
    watchers: Callable[[str], list[str]]
    may_others_reach_store: Callable[[], bool]
    is_entry_alive: Callable[[str], bool]
    remote_factor: Callable[[], float]
    failure_domain: Callable[[str], str]
    survey_awaited_jobs: Callable[[str], Awaitable[AwaitedJobsSurvey | None]]
    other_groups_of_job: Callable[[str, str], list[str]] = lambda service, job_id: []
