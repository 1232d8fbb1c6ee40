"""Pairs of kinds of task of which one slows the other down on the same endpoint."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from math import exp, log

HALF_LIFE_S = 20.0  # effects change within seconds, and a pair is found within some hundred ends
# A smaller effect is within the spread of a kind's run times, and callers would not notice it.
SMALLEST_EFFECT = log(1.1)
LARGEST_REPORTED_EFFECT = log(1000.0)
MAX_REPORTED_PAIRS = 64
# In standard deviations; a single look at a pair without an effect exceeds them once in 30,000
# times, and once in 40 times.
FOUND_CERTAINTY = 4.0
CLEARED_CERTAINTY = 2.0
# What other holders report is some seconds old, and their endpoints are others.
REPORTED_DEVIATION_FACTOR = 2.0


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

    def is_in_force(self, was_found: bool) -> bool:
        """Returns whether the effect is large and certain enough; a found one needs less."""
        if was_found:
            is_certain = self.certainty >= CLEARED_CERTAINTY
            return is_certain and self.log_factor >= SMALLEST_EFFECT / 2
        return self.certainty >= FOUND_CERTAINTY and self.log_factor >= SMALLEST_EFFECT


@dataclass(frozen=True, slots=True)
class PairChange:
    """A pair that was found, or that no longer has an effect."""

    effect: PairEffect
    is_found: bool


@dataclass(frozen=True, slots=True)
class PairReport:
    """Pairs that another group's holder, or a former holder of this group, has found.

    :param received_s: monotonic time at which these pairs were first received.
    """

    effects: tuple[PairEffect, ...]
    received_s: float

    def list_effects(self, now_s: float) -> Iterator[PairEffect]:
        """Returns the effects that still count, less certain the older the report is."""
        widening = 2.0 ** min((now_s - self.received_s) / (2 * HALF_LIFE_S), 100.0)
        for effect in self.effects:
            aged = replace(effect, deviation=effect.deviation * widening)
            if aged.is_in_force(was_found=True):
                yield aged


def describe_effects(effects: Iterable[PairEffect]) -> list[list[str | float]]:
    """Returns effects as plain values, for :func:`parse_effects`."""
    return [
        [effect.pair.kind, effect.pair.neighbour, effect.log_factor, effect.deviation]
        for effect in effects
    ][:MAX_REPORTED_PAIRS]


def parse_effects(rows: object) -> tuple[PairEffect, ...]:
    """Reads effects that another holder has described; they count as less certain here.

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
    for effect in effects:
        is_valid = 0 < effect.deviation < LARGEST_REPORTED_EFFECT
        if not is_valid or not abs(effect.log_factor) <= LARGEST_REPORTED_EFFECT:
            raise ValueError(f"the effect of {effect.pair.neighbour!r} is out of range")
    return effects[:MAX_REPORTED_PAIRS]
