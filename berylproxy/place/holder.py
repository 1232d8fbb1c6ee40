"""Keeps the ledgers of the slot groups that this daemon holds."""

from collections.abc import Callable, Iterable
from itertools import count
from math import ceil

from berylproxy.clock import Clock
from berylproxy.models import DaemonIdentity
from berylproxy.place.assignment import SlotGroup, choose_holder, list_slot_groups
from berylproxy.place.ledger import AddressedGrant, SlotLedger
from berylproxy.place.messages import GrantSlots, HolderSummary, ReleaseSlots, UpdateDemand
from berylproxy.records.models import Configuration

SETTLING_S = 1.0  # a new holder waits that long for the reports of homes that live
SUMMARY_INTERVAL_S = 0.05
STALL_S = 0.9  # below the interval at which homes repeat demand that waits


class HeldGroup:
    """A ledger and who has still to report before its first grant."""

    def __init__(self, ledger: SlotLedger, unreported: set[str], settled_by_s: float) -> None:
        self.ledger = ledger
        self.unreported = unreported
        self.settled_by_s = settled_by_s
        self.last_summary: HolderSummary | None = None
        self.last_summary_s = 0.0
        self.idle_homes: set[str] = set()  # have reported and wait for nothing here
        self.stalled_homes: set[str] = set()  # wait here and have heard nothing for a while
        self.told_s: dict[str, float] = {}

    def is_settled(self, now_s: float) -> bool:
        """Tells whether all live homes have told what they use, or had the time to."""
        return not self.unreported or now_s >= self.settled_by_s


class Holder:
    """Answers the demand of homes with grants of the slots that this daemon holds.

    :param send: sends a message to a daemon by incarnation, this one included.
    """

    def __init__(
        self, identity: DaemonIdentity, clock: Clock, send: Callable[[str, object], None]
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._send = send
        self._groups: dict[SlotGroup, HeldGroup] = {}
        self._configuration = Configuration()
        self._live: dict[str, DaemonIdentity] = {identity.incarnation: identity}
        self._dirty: set[SlotGroup] = set()
        self._grant_numbers = count(1)

    def update_members(self, live: Iterable[DaemonIdentity]) -> None:
        """Takes the daemons that live and are not leaving, this one included if it stays."""
        self._live = {daemon.incarnation: daemon for daemon in live}
        for held in self._groups.values():
            held.unreported &= self._live.keys()
        self._choose_groups()

    def forget_home(self, incarnation: str) -> None:
        """A daemon has died."""
        now_s = self._clock.now_s()
        for held in self._groups.values():
            held.ledger.forget_home(incarnation, now_s)

    def configure(self, configuration: Configuration) -> None:
        """Takes a new configuration."""
        self._configuration = configuration
        self._choose_groups()
        for group, held in self._groups.items():
            self._configure_ledger(group, held.ledger)

    def receive_demand(self, home: str, message: UpdateDemand) -> None:
        """Takes what waits at a home."""
        group = SlotGroup(message.pool, message.failure_domain)
        held = self._groups.get(group)
        if held is None:
            return
        now_s = self._clock.now_s()
        if message.held is not None:
            held.ledger.report_held(home, message.held, message.last_grant, now_s)
            held.unreported.discard(home)
            if not message.entries:
                held.idle_homes.add(home)
        if message.entries and now_s - held.told_s.get(home, 0.0) >= STALL_S:
            held.stalled_homes.add(home)
        held.ledger.update_demand(home, message.entries, message.last_grant, now_s)
        self._dirty.add(group)

    def receive_releases(self, message: ReleaseSlots) -> None:
        """Takes slots back."""
        group = SlotGroup(message.pool, message.failure_domain)
        held = self._groups.get(group)
        if held is None:
            return
        now_s = self._clock.now_s()
        for release in message.releases:
            held.ledger.release(release, now_s)
        self._dirty.add(group)

    def mark_waiting_groups(self) -> None:
        """Marks the groups with waiting tasks for another decision, as time alone may change it."""
        self._dirty.update(
            group for group, held in self._groups.items() if held.ledger.count_waiting()
        )

    def flush(self) -> None:
        """Decides for all groups that have changed, and tells the homes."""
        now_s = self._clock.now_s()
        dirty, self._dirty = self._dirty, set()
        for group in dirty:
            held = self._groups.get(group)
            if held is None:
                continue
            if not held.is_settled(now_s):
                self._dirty.add(group)
                continue
            grants = held.ledger.decide(now_s)
            summary = held.ledger.summarize(now_s)
            self._send_grants(group, grants, summary)
            self._send_summary(group, held, summary, now_s)

    def list_ledgers(self) -> list[SlotLedger]:
        """Lists the ledgers kept here."""
        return [held.ledger for held in self._groups.values()]

    def _choose_groups(self) -> None:
        chosen = {
            group for group in list_slot_groups(self._configuration) if self._is_chosen(group)
        }
        for group in self._groups.keys() - chosen:
            del self._groups[group]
        for group in chosen - self._groups.keys():
            self._begin_group(group)

    def _is_chosen(self, group: SlotGroup) -> bool:
        holder = choose_holder(group, self._live.values())
        return holder is not None and holder.incarnation == self._identity.incarnation

    def _begin_group(self, group: SlotGroup) -> None:
        ledger = SlotLedger(
            self._identity.incarnation, group.pool, group.failure_domain, self._grant_numbers
        )
        self._configure_ledger(group, ledger)
        settled_by_s = self._clock.now_s() + SETTLING_S
        self._groups[group] = HeldGroup(ledger, set(self._live), settled_by_s)

    def _configure_ledger(self, group: SlotGroup, ledger: SlotLedger) -> None:
        configuration = self._configuration
        endpoints = {
            name: endpoint
            for name, endpoint in configuration.endpoints.items()
            if (endpoint.pool, endpoint.failure_domain) == (group.pool, group.failure_domain)
        }
        slots = sum(endpoint.slots for endpoint in endpoints.values())
        all_slots = sum(endpoint.slots for endpoint in configuration.endpoints.values())
        share = slots / all_slots if all_slots else 1.0
        quotas = {
            name: max(1, ceil(team.max_running_tasks * share))
            for name, team in configuration.teams.items()
        }
        ledger.configure(endpoints, configuration.services, configuration.teams, quotas)

    def _send_grants(
        self, group: SlotGroup, grants: list[AddressedGrant], summary: HolderSummary
    ) -> None:
        by_home: dict[str, list] = {}
        for addressed in grants:
            by_home.setdefault(addressed.home, []).append(addressed.grant)
        for home, home_grants in by_home.items():
            self._groups[group].told_s[home] = self._clock.now_s()
            message = GrantSlots(group.pool, group.failure_domain, tuple(home_grants), summary)
            self._send(home, message)

    def _send_summary(
        self, group: SlotGroup, held: HeldGroup, summary: HolderSummary, now_s: float
    ) -> None:
        own = self._identity.incarnation
        self._send(own, summary)
        idle_homes, held.idle_homes = held.idle_homes, set()
        stalled_homes, held.stalled_homes = held.stalled_homes, set()
        last = held.last_summary
        changed = last is None or _differ_for_homes(last, summary)
        if changed and now_s - held.last_summary_s >= SUMMARY_INTERVAL_S:
            held.last_summary = summary
            held.last_summary_s = now_s
            idle_homes = set(self._live)
        elif changed:
            self._dirty.add(group)  # tells it at the next flush that is late enough
        elif not summary.free:
            idle_homes = set()
        # An earlier summary may have been lost with its stream. A home that takes this group for
        # full would let its tasks wait elsewhere; one that takes it for free would wait in vain.
        for incarnation in (idle_homes | stalled_homes) - {own}:
            held.told_s[incarnation] = now_s
            self._send(incarnation, summary)


def _differ_for_homes(last: HolderSummary, summary: HolderSummary) -> bool:
    """Tells whether homes would place or refuse otherwise by the newer summary.

    The count of waiting tasks matters without a free slot too: of a group whose endpoints leave,
    homes would count tasks that have long gone elsewhere, and refuse new jobs for them.
    """
    return (
        bool(last.free) != bool(summary.free)
        or bool(last.waiting) != bool(summary.waiting)
        or last.slots != summary.slots
    )
