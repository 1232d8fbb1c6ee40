"""Reads, creates and extends the stored divisions of services into groups."""

from collections.abc import Callable, Iterable, Set

from anyio import sleep
from logbook import Logger

from berylproxy.clock import Clock
from berylproxy.durable.endpoints.group_membership import GroupMembership
from berylproxy.durable.holding.groups import (
    Division,
    assign_endpoints,
    choose_group,
    count_groups,
    group_of_endpoint,
    is_list_stable,
    list_groups,
    service_of_group,
)
from berylproxy.durable.holding.records import (
    DIVISION_PREFIX,
    StoredValueError,
    decode_division,
    division_key,
    encode_division,
)
from berylproxy.durable.jobs.models import EndpointInfo
from berylproxy.durable.jobs.ports import (
    EndpointDirectory,
    JobStore,
    Transaction,
    TransactionConflictError,
)
from berylproxy.store.port import Entry

ASSIGNMENT_DELAY_S = 1.5  # per group; a lost holder is replaced within this time
LIST_CHECK_INTERVAL_S = 0.5  # between two reads of the endpoint list, when a service is new

logger = Logger("berylproxy.durable.divisions")


class ServiceDivisions:
    """The divisions that this daemon knows.

    What it knows may be old: then the groups of some endpoints are unknown, but none has another
    one.

    The configuration doesn't tell where jobs are: those of a service that was removed from it stay
    in the groups of the service's division.

    :ivar are_listed: whether this daemon has listed the divisions in the store since its start.
    :param list_carried: returns how many endpoints each known VM can carry.
    :param reaches_all_members: returns whether the other daemons are known well enough for that.
    """

    def __init__(
        self,
        store: JobStore,
        directory: EndpointDirectory,
        clock: Clock,
        list_carried: Callable[[], list[int]],
        reaches_all_members: Callable[[], bool],
    ) -> None:
        self._store = store
        self._directory = directory
        self._clock = clock
        self._list_carried = list_carried
        self._reaches_all_members = reaches_all_members
        self.are_listed = False
        self._divisions: dict[str, Division] = {}
        self._unreadable: set[str] = set()
        self._unassigned_since_s: dict[str, float] = {}

    def groups_of(self, service: str) -> list[str]:
        """Lists the groups of a service; empty until its division is known."""
        division = self._divisions.get(service)
        return list_groups(service, division.count) if division is not None else []

    def group_of_job(self, service: str, job_id: str) -> str:
        """Returns the group of a service's job; empty until the division is known."""
        division = self._divisions.get(service)
        return choose_group(service, division.count, job_id) if division is not None else ""

    def group_of_endpoint(self, service: str, endpoint_id: str) -> str | None:
        """Returns the group of a service's endpoint; ``None`` if it isn't known here.

        Other daemons may know it.
        """
        division = self._divisions.get(service)
        return group_of_endpoint(service, division, endpoint_id) if division is not None else None

    def membership(self, group: str, service: str, endpoint_id: str) -> GroupMembership:
        """Returns whether a service's endpoint belongs to a group, as far as it is known here."""
        known_group = self.group_of_endpoint(service, endpoint_id)
        if known_group is None and service == service_of_group(group):
            return GroupMembership.UNKNOWN
        return GroupMembership.MEMBER if known_group == group else GroupMembership.OTHER_GROUP

    def list_services(self) -> list[str]:
        """Lists the services known to be divided, also those no longer configured.

        The divisions of some may be unreadable.
        """
        return [*self._divisions, *(self._unreadable - self._divisions.keys())]

    async def list_stored(self) -> None:
        """Learns all divisions in the store, which those of services no longer configured are in.

        :raises StoreError: if the store does not answer.
        """
        after_key, has_more = "", True
        while has_more:
            entries, has_more = await self._store.list_page(DIVISION_PREFIX, after_key)
            for entry in entries:
                after_key = entry.key
                self._learn(entry)
        self.are_listed = True

    def _learn(self, entry: Entry) -> None:
        """Learns a stored division unless one of the same service is known."""
        service = entry.key.removeprefix(DIVISION_PREFIX)
        if service in self._divisions:
            return
        try:
            self._divisions[service] = decode_division(entry.value, entry.revision)
            self._unreadable.discard(service)
        except StoredValueError as error:
            self._unreadable.add(service)
            logger.error("cannot read the division of {}: {}", service, error.message)

    def other_groups_of_job(self, service: str, job_id: str) -> list[str]:
        """Lists the groups that a job would belong to if its queue were sent to another service."""
        return [self.group_of_job(name, job_id) for name in self._divisions if name != service]

    async def find_group_of_job(self, service: str, job_id: str) -> str:
        """Returns the group of a service's job, from the store if the division isn't known.

        Jobs are accepted by the holders of groups only, and a division is never removed. So a
        service whose division isn't stored has no jobs.

        :return: empty if the service is not divided.
        :raises StoreError: if the store does not answer.
        :raises StoredValueError: if the stored division is unreadable.
        """
        division = self._divisions.get(service)
        if division is None:
            entry = await self._store.get(division_key(service))
            if entry is None:
                return ""
            division = decode_division(entry.value, entry.revision)
        return choose_group(service, division.count, job_id)

    async def load(self, service: str) -> bool:
        """Reads the division of a service; creates it if the service is new.

        :return: whether it is known now. It can't be yet if the endpoint list still changes,
            streams to other daemons are missing, a division has just been stored, or the stored
            value is unreadable.
        :raises StoreError: if the store does not answer.
        """
        try:
            entry = await self._store.get(division_key(service))
            if entry is not None:
                self._divisions[service] = decode_division(entry.value, entry.revision)
                return True
            await self._create(service)
        except TransactionConflictError:
            logger.debug("another daemon has divided service {}", service)
        except StoredValueError as error:
            logger.error("cannot read the division of {}: {}", service, error.message)
        return False

    async def _create(self, service: str) -> None:
        counts, listed = [], {}
        for _ in range(2):
            listed = _list_capacities(await self._directory.fetch(), service)
            counts.append(len(listed))
            await sleep(LIST_CHECK_INTERVAL_S)
        if not is_list_stable(counts) or not self._reaches_all_members():
            return
        carried = self._list_carried()
        count = count_groups(len(listed), carried)
        division = Division(count, assign_endpoints({}, listed, count) if count > 1 else None)
        key = division_key(service)
        await self._store.commit(Transaction(((key, 0),), ((key, encode_division(division)),)))
        logger.info(
            "divided service {} into {} groups",
            service,
            count,
            extra={"endpoints": len(listed), "daemons": len(carried)},
        )

    async def assign_new_endpoints(
        self,
        endpoints: tuple[EndpointInfo, ...],
        held_groups: Set[str],
        vanished: Iterable[EndpointInfo] = (),
    ) -> bool:
        """Learns, or decides, the groups of listed endpoints that have none yet.

        The holder of a service's first group assigns them. Those of the other groups do so in the
        order of the groups, if it does not. What is stored is learned first, so that an assignment
        that can't be stored hides no other.

        :param held_groups: groups that this daemon holds.
        :param vanished: endpoints that have left the list lately and may come back.
        :return: whether there were any.
        :raises StoreError: if the store does not answer.
        """
        now_s, since_s = self._clock.now_s(), {}
        unassigned = self._list_unassigned(endpoints)
        for info in unassigned:
            endpoint_id = info.instance.endpoint_id
            since_s[endpoint_id] = self._unassigned_since_s.get(endpoint_id, now_s)
        self._unassigned_since_s = since_s
        for service in {info.service for info in unassigned}:
            await self.refresh(service)
            still_unassigned = [
                i for i in self._list_unassigned(unassigned) if i.service == service
            ]
            groups = self.groups_of(service)
            held = [number for number, group in enumerate(groups) if group in held_groups]
            waited_s = now_s - min(since_s.values())
            if still_unassigned and held and waited_s >= held[0] * ASSIGNMENT_DELAY_S:
                vanished_ids = {info.instance.endpoint_id for info in vanished}
                await self._store_assignments(
                    service, _list_capacities(endpoints, service), vanished_ids
                )
        return bool(unassigned)

    def _list_unassigned(self, endpoints: Iterable[EndpointInfo]) -> list[EndpointInfo]:
        """Lists the endpoints to which the known division of their service assigns no group."""
        return [
            info
            for info in endpoints
            if info.service in self._divisions
            and self.group_of_endpoint(info.service, info.instance.endpoint_id) is None
        ]

    async def _store_assignments(
        self, service: str, listed: dict[str, int], vanished: Set[str]
    ) -> None:
        division = self._divisions[service]
        assigned = assign_endpoints(division.assigned or {}, listed, division.count, vanished)
        key, value = division_key(service), encode_division(Division(division.count, assigned))
        transaction = Transaction(((key, division.revision),), ((key, value),))
        try:
            revision = await self._store.commit(transaction)
        except TransactionConflictError:
            logger.debug("another daemon has assigned endpoints of {}", service)
            await self.refresh(service)
            return
        self._divisions[service] = Division(division.count, assigned, revision)
        logger.info(
            "assigned {} endpoints of service {} to groups",
            len(assigned) - len(division.assigned or {}),
            service,
        )

    async def refresh(self, service: str) -> bool:
        """Learns all endpoints that a known division assigns to groups by now.

        :return: whether they are known; not if the stored division can't be used.
        :raises StoreError: if the store does not answer.
        """
        known = self._divisions.get(service)
        if known is None:
            return False
        if known.assigned is None:
            return True  # groups follow from identifiers
        entry = await self._store.get(division_key(service))
        try:
            division = decode_division(entry.value, entry.revision) if entry is not None else None
        except StoredValueError as error:
            logger.error("cannot read the division of {}: {}", service, error.message)
            return False
        if division is None or division.count != known.count:
            found = "is gone" if division is None else f"has {division.count} groups"
            logger.error("the division of {} {}, not {} groups", service, found, known.count)
            return False
        if division.revision >= self._divisions[service].revision:
            self._divisions[service] = division
        return True


def _list_capacities(endpoints: tuple[EndpointInfo, ...], service: str) -> dict[str, int]:
    """Returns the processor capacity of a service's endpoints, in thousandths of a core."""
    return {
        info.instance.endpoint_id: info.capacity.cpu_millicores
        for info in endpoints
        if info.service == service
    }
