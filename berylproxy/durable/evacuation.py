"""Which failure domains are evacuated, as this daemon knows it, without a clock or sockets.

An evacuated failure domain gets no new tasks; those that run there go on to their end. The view is
the whole state at one revision of the store, so that of two views the one with the higher revision
is right. Takes time in proportion to the evacuated failure domains, which are few.
"""

from dataclasses import dataclass, field
from math import inf

from anyio import Event

# A holder that begins its tenure with an older view waits for a newer one. A daemon that reaches
# the store confirms its view more often, and a request is to be honoured within seconds.
MAX_VIEW_AGE_S = 2.0


@dataclass(slots=True)
class EvacuatedDomains:
    """The failure domains that are evacuated, as far as this daemon knows.

    :ivar names: names of the evacuated failure domains.
    :ivar revision: revision of the store at which ``names`` were the evacuated ones; 0 if nothing
        is known yet.
    :ivar confirmed_s: monotonic time of the last answer of the store that confirmed the view.
    :ivar confirmed: set at the next such answer; a new event then takes its place.
    :ivar changed: set when ``names`` change; a new event then takes its place.
    """

    names: frozenset[str] = frozenset()
    revision: int = 0
    confirmed_s: float = -inf
    confirmed: Event = field(default_factory=Event)
    changed: Event = field(default_factory=Event)

    @property
    def is_known(self) -> bool:
        """Whether the evacuated failure domains have been read at all."""
        return self.revision > 0

    def is_recent(self, now_s: float) -> bool:
        """Returns whether the store confirmed the view recently enough to begin a tenure."""
        return now_s - self.confirmed_s <= MAX_VIEW_AGE_S

    def confirm(self, names: frozenset[str], revision: int, now_s: float) -> bool:
        """Applies an answer of the store; one that is older than the view changes nothing.

        :return: whether the evacuated failure domains changed.
        """
        if revision < self.revision:
            return False
        has_changed = names != self.names
        self.names, self.revision, self.confirmed_s = names, revision, now_s
        confirmed, self.confirmed = self.confirmed, Event()
        confirmed.set()
        if has_changed:
            changed, self.changed = self.changed, Event()
            changed.set()
        return has_changed
