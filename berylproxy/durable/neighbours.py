"""Learns which kinds of task slow each other down on one endpoint; no clock, no sockets.

Made for endpoints whose tasks share more than the room that they declare, such as memory bandwidth
or caches. The effect on a kind of task is estimated from each end of a run there: the logarithm of
its run time, relative to the expected one, is a linear function of the mean number of neighbours
of each kind. Siblings are compared with each other first (Helmert contrasts, a within-group
estimator), since they share the errors of the caller's estimate. Deviations are clipped (Huber),
since a few tasks take many times as long without any neighbour.

An end takes time in proportion to the square of the kinds beside it; a refresh is bounded by
:data:`MAX_KINDS` and the limit of regressors.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from math import exp, log, sqrt

from berylproxy.durable.fleet import EndpointRun, EndpointState
from berylproxy.durable.models import EndpointInstance, TaskName
from berylproxy.durable.regression import Coefficient, DecayingRegression

MAX_KINDS = 64
MAX_JOBS = 2_000  # whose siblings are compared; the oldest ones go first
HALF_LIFE_S = 20.0  # effects change within seconds, and a pair is found within some hundred ends
# A smaller effect is within the spread of a kind's run times, and callers would not notice it.
SMALLEST_EFFECT = log(1.1)
LARGEST_SLOWDOWN = 8.0
# One-sided false findings of a normal deviate beyond these: 1 in 30,000; 1 in 40.
FOUND_CERTAINTY = 4.0
CLEARED_CERTAINTY = 2.0
CLIPPED_DEVIATIONS = 2.5
NOISE_LEARNING_RATE = 0.02
INITIAL_DEVIATION = 0.4
SMALLEST_DEVIATION = 0.05
# What other holders report is some seconds old, and their endpoints are others.
REPORTED_DEVIATION_FACTOR = 2.0
_LEVEL = ""  # regressor of a kind's general deviation from its expected run times


class NeighbourMode(StrEnum):
    """What is done about tasks that slow each other down."""

    OFF = "off"
    OBSERVE = "observe"  # pairs are found and shown to operators, and placement ignores them
    APART = "apart"  # placement keeps the kinds of a found pair apart where there is room


@dataclass(frozen=True, slots=True)
class Pair:
    """Two kinds of task on one endpoint.

    :param kind: the kind that is slowed down.
    :param neighbour: the kind that slows it down.
    """

    kind: str
    neighbour: str


@dataclass(frozen=True, slots=True)
class PairEffect:
    """What one neighbour does to the run time of a kind of task.

    :param log_factor: logarithm of the factor on the run time.
    :param deviation: standard deviation of that logarithm.
    """

    pair: Pair
    log_factor: float
    deviation: float

    @property
    def factor(self) -> float:
        """The factor on the run time."""
        return exp(self.log_factor)

    @property
    def certainty(self) -> float:
        """The distance of the effect from none, in standard deviations."""
        return self.log_factor / self.deviation


@dataclass(frozen=True, slots=True)
class PairChange:
    """A pair that was found, or that no longer has an effect."""

    effect: PairEffect
    is_found: bool


@dataclass(slots=True)
class _Noise:
    """Spread of one kind of observation around the fitted model."""

    variance: float = INITIAL_DEVIATION**2

    @property
    def deviation(self) -> float:
        return max(sqrt(self.variance), SMALLEST_DEVIATION)

    def clip(self, fitted: float, value: float) -> float:
        """Returns a value limited to some deviations from the fitted one, and learns the spread."""
        limit = CLIPPED_DEVIATIONS * self.deviation
        error = min(max(value - fitted, -limit), limit)
        self.variance += NOISE_LEARNING_RATE * (error * error - self.variance)
        return fitted + error


@dataclass(slots=True)
class _KindEvidence:
    """What is known of the effects on one kind of task."""

    regression: DecayingRegression = field(default_factory=lambda: DecayingRegression(HALF_LIFE_S))
    coefficients: dict[str, Coefficient] = field(default_factory=dict)
    alone: _Noise = field(default_factory=_Noise)
    beside_siblings: _Noise = field(default_factory=_Noise)

    def observe(
        self, regressors: Mapping[str, float], value: float, noise: _Noise, now_s: float
    ) -> None:
        fitted = sum(
            amount * self.coefficients[name].mean
            for name, amount in regressors.items()
            if name in self.coefficients
        )
        clipped = noise.clip(fitted, value)
        self.regression.observe(regressors, clipped, noise.deviation, now_s)


@dataclass(slots=True)
class _Siblings:
    """Means over the ended tasks of one step of a job."""

    count: int = 0
    value: float = 0.0
    beside: dict[str, float] = field(default_factory=dict)

    def add(self, value: float, beside: Mapping[str, float]) -> None:
        self.count += 1
        self.value += (value - self.value) / self.count
        for name in {*self.beside, *beside}:
            mean = self.beside.get(name, 0.0)
            self.beside[name] = mean + (beside.get(name, 0.0) - mean) / self.count


@dataclass(slots=True)
class _Occupancy:
    """The kinds of the runs of an endpoint, and how long runs of each have been there.

    :ivar run_s: run seconds by kind, up to ``updated_s``.
    """

    counts: Counter[str] = field(default_factory=Counter)
    run_s: Counter[str] = field(default_factory=Counter)
    updated_s: float = 0.0

    def update(self, runs: Iterable[EndpointRun], now_s: float) -> None:
        elapsed_s = now_s - self.updated_s
        for kind, count in self.counts.items():
            self.run_s[kind] += count * elapsed_s
        self.counts = Counter(run.kind for run in runs if run.kind)
        self.updated_s = now_s
        if len(self.run_s) > MAX_KINDS:
            self.run_s = Counter({kind: self.run_s[kind] for kind in self.counts})


@dataclass(frozen=True, slots=True)
class _Report:
    """Pairs that another group's holder, or a former holder of this group, has found."""

    effects: tuple[PairEffect, ...]
    received_s: float

    def list_effects(self, now_s: float) -> Iterable[PairEffect]:
        """Returns the effects that still count, less certain the older the report is."""
        widening = 2.0 ** min((now_s - self.received_s) / (2 * HALF_LIFE_S), 100.0)
        for effect in self.effects:
            aged = replace(effect, deviation=effect.deviation * widening)
            if aged.certainty >= CLEARED_CERTAINTY and aged.log_factor >= SMALLEST_EFFECT:
                yield aged


class NeighbourModel:
    """Implements :class:`berylproxy.durable.placement.NeighbourEffect` by what it observes.

    :param mode: returns what is done about tasks that slow each other down.
    """

    def __init__(self, mode: Callable[[], NeighbourMode] = lambda: NeighbourMode.APART) -> None:
        self._mode = mode
        self._occupancies: dict[EndpointInstance, _Occupancy] = {}
        self._evidence: OrderedDict[str, _KindEvidence] = OrderedDict()
        self._siblings: OrderedDict[tuple[str, int], _Siblings] = OrderedDict()
        self._reported: dict[str, _Report] = {}
        self._found: dict[Pair, PairEffect] = {}

    def note_start(self, endpoint: EndpointState, run: EndpointRun, now_s: float) -> None:
        """Records that a run has been added to an endpoint."""
        if self._mode() is NeighbourMode.OFF:
            return
        occupancy = self._update_occupancy(endpoint, now_s)
        run.started_beside = (now_s, Counter(occupancy.run_s))

    def note_end(
        self, endpoint: EndpointState, run: EndpointRun | None, now_s: float
    ) -> dict[str, float] | None:
        """Records that a run has been removed from an endpoint.

        :return: mean number of its neighbours by kind; ``None`` if its start was not recorded.
        """
        if self._mode() is NeighbourMode.OFF:
            return None
        occupancy = self._update_occupancy(endpoint, now_s)
        if run is None or run.started_beside is None:
            return None
        started_s, run_s_before = run.started_beside
        elapsed_s = now_s - started_s
        if elapsed_s <= 0:
            return None
        beside = {
            kind: (run_s - run_s_before[kind]) / elapsed_s - (kind == run.kind)
            for kind, run_s in occupancy.run_s.items()
        }
        return {kind: amount for kind, amount in beside.items() if amount > 1e-6}

    def forget_endpoint(self, instance: EndpointInstance) -> None:
        """Drops what is known of the runs of an endpoint that no longer exists."""
        self._occupancies.pop(instance, None)

    def learn(
        self,
        name: TaskName,
        kind: str,
        beside: Mapping[str, float],
        log_deviation: float,
        now_s: float,
    ) -> None:
        """Updates the effects on a kind of task with a run that was done.

        :param beside: mean number of neighbours by kind, from :meth:`note_end`.
        :param log_deviation: logarithm of the run time relative to the time expected there.
        """
        evidence = self._find_evidence(kind)
        key = (name.job_id, name.step)
        siblings = self._siblings.setdefault(key, _Siblings())
        if siblings.count:
            scale = sqrt(siblings.count / (siblings.count + 1))
            contrasts = {
                other: scale * (beside.get(other, 0.0) - siblings.beside.get(other, 0.0))
                for other in {*beside, *siblings.beside}
            }
            value = scale * (log_deviation - siblings.value)
            evidence.observe(contrasts, value, evidence.beside_siblings, now_s)
        else:
            evidence.observe({_LEVEL: 1.0, **beside}, log_deviation, evidence.alone, now_s)
        siblings.add(log_deviation, beside)
        while len(self._siblings) > MAX_JOBS:
            self._siblings.popitem(last=False)

    def refresh(self, now_s: float) -> list[PairChange]:
        """Estimates all effects anew and returns the pairs that were found or cleared."""
        found: dict[Pair, PairEffect] = {}
        for kind, evidence in self._evidence.items():
            evidence.coefficients = evidence.regression.solve(now_s)
            for neighbour, coefficient in evidence.coefficients.items():
                if neighbour != _LEVEL:
                    pair = Pair(kind, neighbour)
                    effect = PairEffect(pair, coefficient.mean, coefficient.deviation)
                    if self._has_effect(effect):
                        found[pair] = effect
        for report in self._reported.values():
            for effect in report.list_effects(now_s):
                if effect.pair not in found and not self._contradicts(effect):
                    found[effect.pair] = effect
        changes = [PairChange(e, True) for pair, e in found.items() if pair not in self._found]
        changes += [PairChange(e, False) for pair, e in self._found.items() if pair not in found]
        self._found = found
        return changes

    def list_found(self) -> list[PairEffect]:
        """Returns the pairs with an effect, the strongest first."""
        return sorted(self._found.values(), key=lambda effect: -effect.log_factor)

    def slowdown(self, kind: str, endpoint: EndpointState) -> float:
        """Returns the factor on the run time of a new task beside the runs of an endpoint.

        The run time that its neighbours would lose is added to its own.
        """
        if not self._found or self._mode() is not NeighbourMode.APART:
            return 1.0
        occupancy = self._occupancies.get(endpoint.info.instance)
        if occupancy is None or not occupancy.counts:
            return 1.0
        own_log, harm = 0.0, 0.0
        for neighbour, count in occupancy.counts.items():
            on_task = self._found.get(Pair(kind, neighbour))
            on_neighbour = self._found.get(Pair(neighbour, kind))
            own_log += count * on_task.log_factor if on_task is not None else 0.0
            harm += count * (on_neighbour.factor - 1) if on_neighbour is not None else 0.0
        own = exp(min(own_log, log(LARGEST_SLOWDOWN)))
        return min(own + harm, LARGEST_SLOWDOWN)

    def expected_factor(self, kind: str, beside: Mapping[str, float]) -> float:
        """Returns the factor by which found neighbours have made a run longer."""
        log_factor = sum(
            amount * self._found[pair].log_factor
            for neighbour, amount in beside.items()
            if (pair := Pair(kind, neighbour)) in self._found
        )
        return exp(min(log_factor, log(LARGEST_SLOWDOWN)))

    def describe(self) -> list[list[str | float]]:
        """Returns the found pairs as plain values, for :meth:`adopt`."""
        return [
            [effect.pair.kind, effect.pair.neighbour, effect.log_factor, effect.deviation]
            for effect in self.list_found()
        ][:MAX_KINDS]

    def adopt(self, source: str, rows: object, now_s: float) -> None:
        """Takes over the pairs that another group's holder, or a former one, has found.

        :param source: the group; its earlier report is replaced.
        :raises ValueError: if the rows are malformed.
        """
        try:
            effects = tuple(
                PairEffect(
                    Pair(str(kind), str(neighbour)),
                    float(log_factor),
                    REPORTED_DEVIATION_FACTOR * float(deviation),
                )
                for kind, neighbour, log_factor, deviation in rows
            )
        except (TypeError, ValueError) as error:
            raise ValueError(f"not a list of pairs: {error!r}") from error
        if not all(0 < e.deviation < 1e3 and abs(e.log_factor) < 1e3 for e in effects):
            raise ValueError("a pair's effect is out of range")
        self._reported[source] = _Report(effects[:MAX_KINDS], now_s)

    def _update_occupancy(self, endpoint: EndpointState, now_s: float) -> _Occupancy:
        occupancy = self._occupancies.get(endpoint.info.instance)
        if occupancy is None:
            occupancy = self._occupancies[endpoint.info.instance] = _Occupancy(updated_s=now_s)
        occupancy.update(endpoint.runs.values(), now_s)
        return occupancy

    def _find_evidence(self, kind: str) -> _KindEvidence:
        evidence = self._evidence.get(kind)
        if evidence is None:
            evidence = self._evidence[kind] = _KindEvidence()
            if len(self._evidence) > MAX_KINDS:
                self._evidence.popitem(last=False)
        else:
            self._evidence.move_to_end(kind)
        return evidence

    def _has_effect(self, effect: PairEffect) -> bool:
        if effect.pair in self._found:
            return (
                effect.certainty >= CLEARED_CERTAINTY and effect.log_factor >= SMALLEST_EFFECT / 2
            )
        return effect.certainty >= FOUND_CERTAINTY and effect.log_factor >= SMALLEST_EFFECT

    def _contradicts(self, reported: PairEffect) -> bool:
        """Returns whether this group's own evidence excludes an effect of the reported size."""
        evidence = self._evidence.get(reported.pair.kind)
        own = evidence.coefficients.get(reported.pair.neighbour) if evidence is not None else None
        return own is not None and own.deviation < reported.deviation
