"""Which failure domains are evacuated, as this daemon knows it, without a clock or sockets.

An evacuated failure domain gets no new tasks; those that run there go on to their end. The view is
the whole state at one revision of the store, so that of two views the one with the higher revision
is right, whether the store or another daemon told it. Takes time in proportion to the evacuated
failure domains, which are few.
"""

from dataclasses import dataclass, field
from math import inf

from anyio import Event
from logbook import Logger

from berylproxy.metrics import Sample

# A holder that begins its tenure with an older view waits for a newer one. A daemon that reaches
# the store confirms its view more often, and a request is to be honoured within seconds.
MAX_VIEW_AGE_S = 2.0
STORE_SOURCE = "store"

logger = Logger("berylproxy.durable.evacuation")


@dataclass(slots=True)
class EvacuatedDomains:
    """The failure domains that are evacuated, as far as this daemon knows.

    :ivar names: names of the evacuated failure domains.
    :ivar revision: revision of the store at which ``names`` were the evacuated ones; 0 if nothing
        is known yet.
    :ivar changed_revision: lowest known revision at which they were exactly these.
    :ivar confirmed_s: monotonic time of the last answer of the store that confirmed the view.
    :ivar learned: set when the store confirms the view or another daemon tells a newer one; a new
        event then takes its place.
    :ivar changed: set when ``names`` change; a new event then takes its place.
    """

    names: frozenset[str] = frozenset()
    revision: int = 0
    changed_revision: int = 0
    confirmed_s: float = -inf
    learned: Event = field(default_factory=Event)
    changed: Event = field(default_factory=Event)
    _evacuated_from_s: dict[str, float] = field(default_factory=dict)

    @property
    def is_known(self) -> bool:
        """Whether the evacuated failure domains have been read at all."""
        return self.revision > 0

    def is_recent(self, now_s: float) -> bool:
        """Returns whether the store confirmed the view recently enough to begin a tenure."""
        return now_s - self.confirmed_s <= MAX_VIEW_AGE_S

    def confirm(self, names: frozenset[str], revision: int, now_s: float) -> None:
        """Applies an answer of the store; one that is older than the view changes nothing."""
        if revision < self.revision:
            return
        self._replace(names, revision, revision, STORE_SOURCE, now_s)
        self.confirmed_s = now_s

    def hear(self, names: frozenset[str], changed_revision: int, source: str, now_s: float) -> None:
        """Applies the view of another daemon if it is newer than the own one.

        :param changed_revision: revision of the store from which on that daemon's view holds.
        :param source: name of that daemon.
        """
        if changed_revision > self.revision:
            self._replace(names, changed_revision, changed_revision, source, now_s)

    def list_gauges(self) -> list[Sample]:
        """Lists the gauges of this daemon's view."""
        text = "Evacuated failure domains, as this daemon knows them"
        return [Sample("berylproxy_evacuated_failure_domains", text, float(len(self.names)), {})]

    def _replace(
        self, names: frozenset[str], revision: int, from_revision: int, source: str, now_s: float
    ) -> None:
        former = self.names
        if names != former or not self.is_known:
            self.changed_revision = from_revision
        self._log_change(names, revision, source, now_s)
        self.names, self.revision = names, revision
        learned, self.learned = self.learned, Event()
        learned.set()
        if names != former:
            changed, self.changed = self.changed, Event()
            changed.set()

    def _log_change(self, names: frozenset[str], revision: int, source: str, now_s: float) -> None:
        """Logs each failure domain that is evacuated or taken back."""
        was_confirmed = self.confirmed_s > -inf
        longest_delay_s = round(now_s - self.confirmed_s, 3) if was_confirmed else None
        for name in sorted(names - self.names):
            self._evacuated_from_s[name] = now_s
            logger.info(
                "failure domain evacuated",
                extra={
                    "failure_domain": name,
                    "revision": revision,
                    "source": source,
                    "longest_delay_s": longest_delay_s,
                },
            )
        for name in sorted(self.names - names):
            evacuated_s = now_s - self._evacuated_from_s.pop(name, now_s)
            logger.info(
                "failure domain taken back",
                extra={
                    "failure_domain": name,
                    "revision": revision,
                    "source": source,
                    "evacuated_s": round(evacuated_s, 3),
                },
            )
