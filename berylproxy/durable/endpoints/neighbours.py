"""Learns which kinds of task slow each other down on one endpoint; no clock, no sockets.

Made for endpoints whose tasks share more than the room that they declare, such as memory bandwidth
or caches. The effect on a kind of task is estimated from each end of a run there: the logarithm of
its run time, relative to the expected one, is a linear function of the mean number of neighbours
of each kind. Siblings are compared with each other first (Helmert contrasts, a within-group
estimator), since they share the errors of the caller's estimate. Deviations are clipped (Huber),
since a few tasks take many times as long without any neighbour.

An end takes time in proportion to the square of the kinds beside it. A refresh solves one small
system for each kind that was observed since the last one.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import exp, log, sqrt

from berylproxy.durable.endpoints.fleet import EndpointRun, EndpointState
from berylproxy.durable.endpoints.neighbour_mode import NeighbourMode
from berylproxy.durable.jobs.models import TaskName
from berylproxy.durable.learning.occupancy import MAX_KINDS
from berylproxy.durable.learning.pair_effects import (
    HALF_LIFE_S,
    Pair,
    PairChange,
    PairEffect,
    PairReport,
    describe_effects,
    parse_effects,
)
from berylproxy.durable.learning.regression import Coefficient, DecayingRegression

MAX_STEPS = 2_000  # whose siblings are compared; the oldest ones go first
LARGEST_SLOWDOWN = 8.0
CLIPPED_DEVIATIONS = 2.5
NOISE_LEARNING_RATE = 0.02
INITIAL_DEVIATION = 0.4
SMALLEST_DEVIATION = 0.05
_LEVEL = ""  # regressor of a kind's general deviation from its expected run times


@dataclass(slots=True)
class _Noise:
    """Spread of one sort of observation around the fitted model."""

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
    """What is known of the effects on one kind of task.

    :ivar first_of_step: spread of the first task of a step around the expected run time.
    :ivar beside_siblings: spread of the other tasks of a step around the earlier ones.
    :ivar has_news: whether there were observations since the coefficients were estimated.
    """

    regression: DecayingRegression = field(
        default_factory=lambda: DecayingRegression(HALF_LIFE_S, kept=frozenset({_LEVEL}))
    )
    coefficients: dict[str, Coefficient] = field(default_factory=dict)
    first_of_step: _Noise = field(default_factory=_Noise)
    beside_siblings: _Noise = field(default_factory=_Noise)
    has_news: bool = False

    def observe(
        self, regressors: Mapping[str, float], value: float, noise: _Noise, now_s: float
    ) -> float:
        """Adds an observation and returns how far its value was clipped."""
        fitted = sum(
            amount * self.coefficients[name].mean
            for name, amount in regressors.items()
            if name in self.coefficients
        )
        clipped = noise.clip(fitted, value)
        self.regression.observe(regressors, clipped, noise.deviation, now_s)
        self.has_news = True
        return clipped - value


@dataclass(slots=True)
class _Siblings:
    """Means over the ended tasks of one step of a job.

    :ivar value: mean logarithm of the run times relative to the expected ones.
    :ivar beside: mean number of neighbours by kind.
    """

    count: int = 0
    value: float = 0.0
    beside: dict[str, float] = field(default_factory=dict)

    def add(self, value: float, beside: Mapping[str, float]) -> None:
        self.count += 1
        self.value += (value - self.value) / self.count
        for name in {*self.beside, *beside}:
            mean = self.beside.get(name, 0.0)
            self.beside[name] = mean + (beside.get(name, 0.0) - mean) / self.count


@dataclass(frozen=True, slots=True)
class _Mutual:
    """What a kind and one neighbour do to each other.

    :param log_factor: logarithm of the factor on the kind's own run time.
    :param harm: run time that the neighbour loses, relative to the time beside the kind.
    """

    log_factor: float = 0.0
    harm: float = 0.0


class NeighbourModel:
    """Implements :class:`~berylproxy.durable.decisions.placement.NeighbourEffect` by observation.

    :param mode: returns what is done about tasks that slow each other down.
    """

    def __init__(self, mode: Callable[[], NeighbourMode]) -> None:
        self._mode = mode
        self._evidence: OrderedDict[str, _KindEvidence] = OrderedDict()
        self._siblings: OrderedDict[tuple[str, int], _Siblings] = OrderedDict()
        self._reports: dict[str, PairReport] = {}
        self._found: dict[Pair, PairEffect] = {}
        self._mutual: dict[str, dict[str, _Mutual]] = {}

    def note_runs(self, endpoint: EndpointState, now_s: float) -> None:
        """Records that runs have been added to an endpoint, or removed from it."""
        if self._mode() is NeighbourMode.OFF:
            endpoint.occupancy.clear()
            return
        endpoint.occupancy.update((run.kind for run in endpoint.runs.values()), now_s)

    def note_start(self, endpoint: EndpointState, run: EndpointRun, now_s: float) -> None:
        """Records that a run which this holder ordered has been added to an endpoint."""
        self.note_runs(endpoint, now_s)
        if self._mode() is not NeighbourMode.OFF:
            run.occupancy_at_start = endpoint.occupancy.mark(now_s)

    def note_end(
        self, endpoint: EndpointState, run: EndpointRun | None, now_s: float
    ) -> dict[str, float] | None:
        """Records that a run has been removed from an endpoint.

        :param run: the run; ``None`` if the endpoint was not known to have it.
        :return: mean number of its neighbours by kind; ``None`` if its start was not recorded.
        """
        self.note_runs(endpoint, now_s)
        if run is None or run.occupancy_at_start is None:
            return None
        return endpoint.occupancy.mean_neighbours(run.kind, run.occupancy_at_start, now_s)

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
        siblings = self._siblings.setdefault((name.job_id, name.step), _Siblings())
        if siblings.count:
            scale = sqrt(siblings.count / (siblings.count + 1))
            contrasts = {
                other: scale * (beside.get(other, 0.0) - siblings.beside.get(other, 0.0))
                for other in {*beside, *siblings.beside}
            }
            value = scale * (log_deviation - siblings.value)
            clipped = evidence.observe(contrasts, value, evidence.beside_siblings, now_s) / scale
        else:
            regressors = {_LEVEL: 1.0, **beside}
            clipped = evidence.observe(regressors, log_deviation, evidence.first_of_step, now_s)
        siblings.add(log_deviation + clipped, beside)
        while len(self._siblings) > MAX_STEPS:
            self._siblings.popitem(last=False)

    def refresh(self, now_s: float) -> list[PairChange]:
        """Estimates the effects anew and returns the pairs that were found or cleared."""
        found: dict[Pair, PairEffect] = {}
        if self._mode() is NeighbourMode.OFF:
            self._reports.clear()
        else:
            self._estimate(found, now_s)
            for report in self._reports.values():
                for effect in report.list_effects(now_s):
                    if effect.pair not in found and not self._contradicts(effect):
                        found[effect.pair] = effect
        changes = [PairChange(e, True) for pair, e in found.items() if pair not in self._found]
        changes += [PairChange(e, False) for pair, e in self._found.items() if pair not in found]
        self._found = found
        self._index_mutual_effects()
        return changes

    def list_found(self) -> list[PairEffect]:
        """Returns the pairs with an effect, the strongest first."""
        return sorted(self._found.values(), key=lambda effect: -effect.log_factor)

    def slowdown(self, kind: str, endpoint: EndpointState) -> float:
        """Returns the factor on the run time of a new task beside the runs of an endpoint.

        The time that its neighbours would lose while it runs is added to its own.
        """
        effects = self._mutual.get(kind)
        if effects is None or self._mode() is not NeighbourMode.APART:
            return 1.0
        log_factor, harm = 0.0, 0.0
        for neighbour, count in endpoint.occupancy.counts.items():
            effect = effects.get(neighbour)
            if effect is not None:
                log_factor += count * effect.log_factor
                harm += count * effect.harm
        return min(exp(min(log_factor, log(LARGEST_SLOWDOWN))) + harm, LARGEST_SLOWDOWN)

    def expected_factor(self, kind: str, beside: Mapping[str, float]) -> float:
        """Returns the factor by which found neighbours have made a run longer.

        :param beside: mean number of its neighbours by kind.
        """
        effects = self._mutual.get(kind)
        if effects is None or self._mode() is not NeighbourMode.APART:
            return 1.0
        log_factor = sum(
            amount * effects[neighbour].log_factor
            for neighbour, amount in beside.items()
            if neighbour in effects
        )
        return exp(min(log_factor, log(LARGEST_SLOWDOWN)))

    def describe(self) -> list[list[str | float]]:
        """Returns the found pairs as plain values, for :meth:`adopt`."""
        return describe_effects(self.list_found())

    def adopt(self, source: str, rows: object, now_s: float) -> None:
        """Takes over the pairs that another group's holder, or a former one, has found.

        :param source: the group; its earlier report is replaced.
        :raises ValueError: if the rows are malformed.
        """
        effects = parse_effects(rows)
        former = self._reports.get(source)
        if former is None or former.effects != effects:
            self._reports[source] = PairReport(effects, now_s)

    def _estimate(self, found: dict[Pair, PairEffect], now_s: float) -> None:
        """Adds the pairs that the own evidence shows."""
        for kind, evidence in self._evidence.items():
            if evidence.has_news or kind in self._mutual:
                evidence.coefficients = evidence.regression.solve(now_s)
                evidence.has_news = False
            for neighbour, coefficient in evidence.coefficients.items():
                if neighbour != _LEVEL:
                    pair = Pair(kind, neighbour)
                    effect = PairEffect(pair, coefficient.mean, coefficient.deviation)
                    if effect.is_in_force(was_found=pair in self._found):
                        found[pair] = effect

    def _index_mutual_effects(self) -> None:
        """Prepares the effects for :meth:`slowdown`, which placement calls for each endpoint."""
        self._mutual = {}
        for pair in self._found:
            for kind, neighbour in ((pair.kind, pair.neighbour), (pair.neighbour, pair.kind)):
                on_kind = self._found.get(Pair(kind, neighbour))
                on_neighbour = self._found.get(Pair(neighbour, kind))
                self._mutual.setdefault(kind, {})[neighbour] = _Mutual(
                    on_kind.log_factor if on_kind is not None else 0.0,
                    on_neighbour.factor - 1 if on_neighbour is not None else 0.0,
                )

    def _find_evidence(self, kind: str) -> _KindEvidence:
        evidence = self._evidence.get(kind)
        if evidence is None:
            evidence = self._evidence[kind] = _KindEvidence()
            if len(self._evidence) > MAX_KINDS:
                self._evidence.popitem(last=False)
        else:
            self._evidence.move_to_end(kind)
        return evidence

    def _contradicts(self, reported: PairEffect) -> bool:
        """Returns whether this group's own evidence excludes an effect of the reported size."""
        evidence = self._evidence.get(reported.pair.kind)
        own = evidence.coefficients.get(reported.pair.neighbour) if evidence is not None else None
        return own is not None and own.deviation < reported.deviation
