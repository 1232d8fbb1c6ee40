"""Ledger of one slot group: which slots are in use, and which tasks get the free ones.

A group is the endpoints of one pool in one failure domain. One daemon, the holder, keeps the
group's ledger; the homes of the tasks request slots from it. The module contains only decision
logic, without clock or sockets: the time is a parameter of each method.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from heapq import nsmallest

from berylproxy.collect.job import DemandKey
from berylproxy.place.demands import GRANT_TRANSIT_S, DemandTable
from berylproxy.place.endpoint_state import (
    STILL_BUSY_RESULTS,
    EndpointState,
    SlotKey,
    SlotResult,
    SlotUse,
)
from berylproxy.place.health import EndpointHealth
from berylproxy.place.messages import (
    DemandEntry,
    HeldSlot,
    HolderSummary,
    SlotGrant,
    SlotRelease,
)
from berylproxy.place.schedule import (
    WAIT_WEIGHT,
    EndpointForecast,
    FairOrder,
    SlotForecast,
    TeamShare,
)
from berylproxy.place.speed import RunTimeEstimator
from berylproxy.records.models import Endpoint, Service, Team

DEFAULT_RUN_TIME_S = 0.3
UNLIMITED_SLOTS = 1_000_000
SHORTEST_RUN_TIME_S = 0.001
MAX_CONSIDERED_TASKS = 256  # per call of grant_slots()
SUMMARIZED_COSTS = 8


@dataclass(frozen=True, slots=True)
class AddressedGrant:
    """A grant and the home that receives it."""

    home: str
    grant: SlotGrant


class SlotLedger:
    """Grants slots: teams share by weight, older tasks go first, each goes where it ends soonest.

    :param issuer: incarnation of the daemon that keeps the ledger.
    :param grant_numbers: yields the numbers of grants; shared by all ledgers that an issuer ever
        keeps, as issuer and number together identify the use of a slot.
    """

    def __init__(
        self, issuer: str, pool: str, failure_domain: str, grant_numbers: Iterator[int]
    ) -> None:
        self.issuer = issuer
        self.pool = pool
        self.failure_domain = failure_domain
        self.run_times = RunTimeEstimator()
        self._states: dict[str, EndpointState] = {}
        self._demands = DemandTable()
        self._services: dict[str, Service] = {}
        self._teams: dict[str, Team] = {}
        self._running: dict[str, int] = {}
        self._grant_numbers = grant_numbers
        self._quotas: dict[str, int] = {}

    def configure(
        self,
        endpoints: dict[str, Endpoint],
        services: dict[str, Service],
        teams: dict[str, Team],
        quotas: dict[str, int],
    ) -> None:
        """Applies a new configuration; drops the slots in use of endpoints that are removed.

        :param quotas: maximum number of this group's slots that each team may use.
        """
        for name in self._states.keys() - endpoints.keys():
            for key in list(self._states[name].uses):
                self._end_use(name, key)
            del self._states[name]
            self.run_times.forget_endpoint(name)
        for name, endpoint in endpoints.items():
            state = self._states.get(name)
            if state is None:
                self._states[name] = EndpointState(endpoint)
                continue
            if state.endpoint.url != endpoint.url:
                state.health = EndpointHealth()
            state.endpoint = endpoint
        self._services = services
        self._teams = teams
        self._quotas = quotas

    def update_demand(
        self, home: str, entries: Iterable[DemandEntry], last_grant: int, now_s: float
    ) -> None:
        """Replaces a home's counts of waiting tasks.

        :param last_grant: number of the last grant that the home had received when it counted.
        """
        self._demands.replace(home, entries, last_grant, now_s)

    def replace_held_slots(
        self, home: str, held: Iterable[HeldSlot], last_grant: int, now_s: float
    ) -> None:
        """Replaces a home's slots in use by the complete list that the home reports.

        Grants that may still be in transit to the home stay in use.

        :param last_grant: number of the last grant that the home had received when it reported.
        """
        reported = {SlotKey(slot.issuer, slot.sequence): slot for slot in held}
        for name, state in self._states.items():
            for key, use in list(state.uses.items()):
                is_in_transit = (
                    key.issuer == self.issuer
                    and key.sequence > last_grant
                    and now_s < use.start_s + GRANT_TRANSIT_S
                )
                if use.home == home and key not in reported and not is_in_transit:
                    self._end_use(name, key)
        for key, slot in reported.items():
            state = self._states.get(slot.endpoint)
            if state is not None and key not in state.uses:
                expected_s = self._expected_run_time_s(slot.endpoint, slot.service)
                self._begin_use(state, key, home, slot.team, now_s, expected_s)

    def forget_home(self, home: str, now_s: float) -> None:
        """Drops a dead home's demand; its slots stay in use while its tasks may still run."""
        self._demands.forget(home)
        for state in self._states.values():
            for use in state.uses.values():
                if use.home == home:
                    use.mark_lost(now_s)

    def release(self, release: SlotRelease, now_s: float) -> None:
        """Ends the use of a slot; updates the endpoint's health and run times by the result."""
        state = self._states.get(release.endpoint)
        if state is None:
            return
        result = SlotResult(release.result)
        slot = SlotKey(release.issuer, release.sequence)
        use = state.uses.get(slot)
        if use is not None and result in STILL_BUSY_RESULTS and use.free_at_s > now_s:
            use.lost_until_s = use.free_at_s
        else:
            self._end_use(release.endpoint, slot)
        state.note_result(result, now_s)
        if result is SlotResult.DONE:
            self.run_times.add(release.endpoint, release.service, release.run_time_s)

    def grant_slots(self, now_s: float) -> list[AddressedGrant]:
        """Grants free slots to waiting tasks.

        A task is left waiting although a slot is free if a faster endpoint is expected to finish
        it sooner, including the wait for a slot of that endpoint.
        """
        self._drop_lost_slots(now_s)
        if not self._demands.by_key:
            return []
        forecast = self._forecast(now_s)
        order = FairOrder(self._demands.by_key, self._make_team_shares())
        grants = []
        for _ in range(MAX_CONSIDERED_TASKS):
            task = order.pop_next() if forecast.free else None
            if task is None:
                break
            key, home = task
            placement = forecast.place(key)
            if placement is not None and placement.starts_now:
                grants.append(self._grant(key, home, placement.endpoint, now_s))
        return grants

    def count_waiting(self) -> int:
        """Returns the number of tasks that wait for a slot of this group."""
        return self._demands.count_waiting()

    def summarize(self, now_s: float) -> HolderSummary:
        """Summarizes the load of the usable endpoints for the homes."""
        usable = [state for state in self._states.values() if state.is_usable(now_s)]
        turnover_per_s = sum(
            state.endpoint.slots / self._mean_expected_run_time_s(state.endpoint.name)
            for state in usable
        )
        return HolderSummary(
            self.pool,
            self.failure_domain,
            free=sum(state.count_free(now_s) for state in usable),
            waiting=self.count_waiting(),
            slots=sum(state.endpoint.slots for state in usable),
            turnover_per_s=turnover_per_s,
            costs_s=self._list_costs_s(turnover_per_s, now_s),
        )

    def list_states(self) -> list[EndpointState]:
        """Returns the endpoints with their slots in use and their health."""
        return list(self._states.values())

    def _list_costs_s(self, turnover_per_s: float, now_s: float) -> tuple[float, ...]:
        """Lists the costs of the next tasks, queued behind those that wait already."""
        costs_s: list[float] = []
        for name, forecast in self._make_forecasts(now_s).items():
            run_time_s = self._mean_expected_run_time_s(name)
            costs_s += forecast.list_costs_s(run_time_s, now_s, SUMMARIZED_COSTS)
        waiting = self.count_waiting()
        wait_s = waiting / turnover_per_s if turnover_per_s else 0.0
        return tuple(
            cost_s + WAIT_WEIGHT * wait_s for cost_s in nsmallest(SUMMARIZED_COSTS, costs_s)
        )

    def _forecast(self, now_s: float) -> SlotForecast:
        return SlotForecast(
            self._make_forecasts(now_s), self._expected_run_time_s, self._can_run, now_s
        )

    def _make_forecasts(self, now_s: float) -> dict[str, EndpointForecast]:
        return {
            name: state.forecast(now_s)
            for name, state in self._states.items()
            if state.is_usable(now_s)
        }

    def _make_team_shares(self) -> dict[str, TeamShare]:
        shares = {}
        for key in self._demands.by_key:
            team = self._teams.get(key.team)
            weight = team.weight if team is not None else 1
            quota = self._quotas.get(key.team, UNLIMITED_SLOTS)
            shares[key.team] = TeamShare(self._running.get(key.team, 0), weight, quota)
        return shares

    def _grant(self, key: DemandKey, home: str, endpoint: str, now_s: float) -> AddressedGrant:
        number = next(self._grant_numbers)
        self._demands.note_grant(home, key, number, now_s)
        state = self._states[endpoint]
        slot = SlotKey(self.issuer, number)
        self._begin_use(
            state, slot, home, key.team, now_s, self._expected_run_time_s(endpoint, key.service)
        )
        grant = SlotGrant(number, endpoint, key.service, key.team, key.needs)
        return AddressedGrant(home, grant)

    def _begin_use(
        self,
        state: EndpointState,
        slot: SlotKey,
        home: str,
        team: str,
        now_s: float,
        expected_s: float,
    ) -> None:
        state.uses[slot] = SlotUse(home, team, now_s, now_s + expected_s)
        self._running[team] = self._running.get(team, 0) + 1

    def _end_use(self, endpoint: str, slot: SlotKey) -> None:
        use = self._states[endpoint].uses.pop(slot, None)
        if use is None:
            return
        self._running[use.team] -= 1
        if not self._running[use.team]:
            del self._running[use.team]

    def _drop_lost_slots(self, now_s: float) -> None:
        for name, state in self._states.items():
            for slot, use in list(state.uses.items()):
                if use.lost_until_s and now_s >= use.lost_until_s:
                    self._end_use(name, slot)

    def _can_run(self, endpoint: str, key: DemandKey) -> bool:
        return self._states[endpoint].can_ever_run(key.needs)

    def _expected_run_time_s(self, endpoint: str, service: str) -> float:
        service_record = self._services.get(service)
        declared_s = service_record.run_time_s if service_record is not None else DEFAULT_RUN_TIME_S
        return self.run_times.expected_run_time_s(endpoint, service, declared_s)

    def _mean_expected_run_time_s(self, endpoint: str) -> float:
        services = [name for name, record in self._services.items() if self.pool in record.pools]
        times_s = [self._expected_run_time_s(endpoint, service) for service in services]
        return max(sum(times_s) / len(times_s), SHORTEST_RUN_TIME_S) if times_s else 1.0
