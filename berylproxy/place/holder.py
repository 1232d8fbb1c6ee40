"""Grants the slots of the groups that this daemon holds, one ledger for each group."""

from collections.abc import Callable, Iterable
from itertools import count
from math import ceil

from berylproxy.clock import Clock
from berylproxy.models import DaemonIdentity
from berylproxy.place.assignment import SlotGroup, choose_holder, list_slot_groups
from berylproxy.place.ledger import AddressedGrant, SlotLedger
from berylproxy.place.messages import GrantSlots, HolderSummary, ReleaseSlots, UpdateDemand
from berylproxy.records.models import Configuration

SETTLE_TIMEOUT_S = 1.0  # a new holder waits this long for the reports of live homes
SUMMARY_INTERVAL_S = 0.05
STALL_TIMEOUT_S = 0.9  # shorter than the interval at which homes repeat their waiting demand


class HeldGroup:
    """A group's ledger and the state of the communication with its homes.

    :param unreported_homes: homes that have not reported their slots in use yet.
    :param settle_deadline_s: time from which slots are granted although homes have not reported.
    """

    def __init__(
        self, ledger: SlotLedger, unreported_homes: set[str], settle_deadline_s: float
    ) -> None:
        self.ledger = ledger
        self.unreported_homes = unreported_homes
        self.settle_deadline_s = settle_deadline_s
        self.last_summary: HolderSummary | None = None
        self.last_summary_s = 0.0
        self.idle_homes: set[str] = set()  # have reported that no task waits here
        # Homes that report waiting tasks and to which no message has been sent recently.
        self.stalled_homes: set[str] = set()
        self.last_message_s: dict[str, float] = {}  # time of the last message sent, by home

    def is_settled(self, now_s: float) -> bool:
        """Returns whether slots may be granted: all live homes have reported or timed out."""
        return not self.unreported_homes or now_s >= self.settle_deadline_s


class Holder:
    """Grants the slots that this daemon holds to the homes that request them.

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
        """Applies the list of live daemons that are not leaving, which may include this one."""
        self._live = {daemon.incarnation: daemon for daemon in live}
        for held_group in self._groups.values():
            held_group.unreported_homes &= self._live.keys()
        self._update_held_groups()

    def forget_home(self, incarnation: str) -> None:
        """Drops the demand of a dead daemon; its slots stay in use while its tasks may run."""
        now_s = self._clock.now_s()
        for held_group in self._groups.values():
            held_group.ledger.forget_home(incarnation, now_s)

    def configure(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        self._configuration = configuration
        self._update_held_groups()
        for group, held_group in self._groups.items():
            self._configure_ledger(group, held_group.ledger)

    def receive_demand(self, home: str, message: UpdateDemand) -> None:
        """Applies a home's counts of waiting tasks and its report of slots in use, if any."""
        group = SlotGroup(message.pool, message.failure_domain)
        held_group = self._groups.get(group)
        if held_group is None:
            return
        now_s = self._clock.now_s()
        if message.held is not None:
            held_group.ledger.replace_held_slots(home, message.held, message.last_grant, now_s)
            held_group.unreported_homes.discard(home)
            if not message.entries:
                held_group.idle_homes.add(home)
        if message.entries and now_s - held_group.last_message_s.get(home, 0.0) >= STALL_TIMEOUT_S:
            held_group.stalled_homes.add(home)
        held_group.ledger.update_demand(home, message.entries, message.last_grant, now_s)
        self._dirty.add(group)

    def receive_releases(self, message: ReleaseSlots) -> None:
        """Applies the end of the use of slots."""
        group = SlotGroup(message.pool, message.failure_domain)
        held_group = self._groups.get(group)
        if held_group is None:
            return
        now_s = self._clock.now_s()
        for release in message.releases:
            held_group.ledger.release(release, now_s)
        self._dirty.add(group)

    def mark_waiting_groups(self) -> None:
        """Marks the groups with waiting tasks for the next flush.

        Slots may become available by the passage of time alone, such as after an ejection.
        """
        self._dirty.update(
            group for group, held_group in self._groups.items() if held_group.ledger.count_waiting()
        )

    def flush(self) -> None:
        """Grants slots of all groups that have changed; sends grants and summaries to the homes."""
        now_s = self._clock.now_s()
        dirty, self._dirty = self._dirty, set()
        for group in dirty:
            held_group = self._groups.get(group)
            if held_group is None:
                continue
            if not held_group.is_settled(now_s):
                self._dirty.add(group)
                continue
            grants = held_group.ledger.grant_slots(now_s)
            summary = held_group.ledger.summarize(now_s)
            self._send_grants(group, grants, summary)
            self._send_summary(group, held_group, summary, now_s)

    def list_ledgers(self) -> list[SlotLedger]:
        """Returns the ledgers of the groups that this daemon holds."""
        return [held_group.ledger for held_group in self._groups.values()]

    def _update_held_groups(self) -> None:
        assigned = {
            group
            for group in list_slot_groups(self._configuration)
            if self._is_assigned_here(group)
        }
        for group in self._groups.keys() - assigned:
            del self._groups[group]
        for group in assigned - self._groups.keys():
            self._add_group(group)

    def _is_assigned_here(self, group: SlotGroup) -> bool:
        holder = choose_holder(group, self._live.values())
        return holder is not None and holder.incarnation == self._identity.incarnation

    def _add_group(self, group: SlotGroup) -> None:
        ledger = SlotLedger(
            self._identity.incarnation, group.pool, group.failure_domain, self._grant_numbers
        )
        self._configure_ledger(group, ledger)
        settle_deadline_s = self._clock.now_s() + SETTLE_TIMEOUT_S
        self._groups[group] = HeldGroup(ledger, set(self._live), settle_deadline_s)

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
            self._groups[group].last_message_s[home] = self._clock.now_s()
            message = GrantSlots(group.pool, group.failure_domain, tuple(home_grants), summary)
            self._send(home, message)

    def _send_summary(
        self, group: SlotGroup, held_group: HeldGroup, summary: HolderSummary, now_s: float
    ) -> None:
        own_incarnation = self._identity.incarnation
        self._send(own_incarnation, summary)
        idle_homes, held_group.idle_homes = held_group.idle_homes, set()
        stalled_homes, held_group.stalled_homes = held_group.stalled_homes, set()
        last = held_group.last_summary
        changed = last is None or _is_relevant_change(last, summary)
        if changed and now_s - held_group.last_summary_s >= SUMMARY_INTERVAL_S:
            held_group.last_summary = summary
            held_group.last_summary_s = now_s
            idle_homes = set(self._live)
        elif changed:
            self._dirty.add(group)  # sent by the first flush after the summary interval
        elif not summary.free:
            idle_homes = set()
        # An earlier summary may have been lost with its stream. A home whose summary says that the
        # group is full would let its tasks wait elsewhere; a home whose summary says that slots
        # are free would let its tasks wait here in vain.
        for incarnation in (idle_homes | stalled_homes) - {own_incarnation}:
            held_group.last_message_s[incarnation] = now_s
            self._send(incarnation, summary)


def _is_relevant_change(last: HolderSummary, summary: HolderSummary) -> bool:
    """Returns whether the newer summary would change how homes place or refuse tasks.

    Whether tasks wait matters without a free slot too: otherwise, homes would go on counting tasks
    that have moved away from a group whose endpoints are leaving, and refuse new jobs because of
    them.
    """
    return (
        bool(last.free) != bool(summary.free)
        or bool(last.waiting) != bool(summary.waiting)
        or last.slots != summary.slots
    )
