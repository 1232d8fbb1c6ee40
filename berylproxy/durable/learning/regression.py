"""Weighted least squares over a changing set of named regressors, with decay; no clock, no sockets.

Bayesian linear regression in information form (Bishop, Pattern Recognition and Machine Learning,
3.3.1) with exponential forgetting: evidence halves in each half-life, and a coefficient without
evidence returns to the prior mean of 0. An observation takes time in proportion to the square of
its non-zero regressors, a solution to the cube of all regressors, of which there are few.
"""

from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from math import sqrt

MAX_REGRESSORS = 12
PRIOR_DEVIATION = 0.5  # of a coefficient, in logarithms of run times: a factor of 1.65
# Weights of new observations grow in place of the decay of all earlier ones, up to this factor.
LARGEST_GROWTH = 1e6


@dataclass(frozen=True, slots=True)
class Coefficient:
    """An estimated coefficient.

    :param deviation: its standard deviation.
    """

    mean: float
    deviation: float


@dataclass(slots=True)
class DecayingRegression:
    """Estimates the coefficients of a linear model from observations of decreasing weight.

    :param half_life_s: time after which an observation counts half.
    :param kept: regressors that are never replaced by others.
    """

    half_life_s: float
    kept: frozenset[str] = frozenset()
    _names: list[str] = field(default_factory=list)
    _information: list[list[float]] = field(default_factory=list)
    _response: list[float] = field(default_factory=list)
    _origin_s: float = 0.0

    def observe(
        self, regressors: Mapping[str, float], value: float, deviation: float, now_s: float
    ) -> None:
        """Adds an observation; regressors beyond the limit replace those with least evidence.

        :param deviation: standard deviation of the observation's noise.
        """
        weight = self._growth(now_s) / deviation**2
        amounts = {name: amount for name, amount in regressors.items() if amount}
        for name in amounts:
            self._add(name, amounts)
        columns = [(row, amounts[name]) for row, name in enumerate(self._names) if name in amounts]
        for row, amount in columns:
            weighted = weight * amount
            self._response[row] += weighted * value
            information = self._information[row]
            for column, other_amount in columns:
                information[column] += weighted * other_amount

    def solve(self, now_s: float) -> dict[str, Coefficient]:
        """Returns all coefficients by the name of their regressor."""
        growth = self._growth(now_s)
        precision = PRIOR_DEVIATION**-2
        matrix = [
            [
                value / growth + (precision if row == column else 0.0)
                for column, value in enumerate(line)
            ]
            for row, line in enumerate(self._information)
        ]
        covariance = _invert(matrix)
        response = [value / growth for value in self._response]
        return {
            name: Coefficient(
                sum(
                    factor * value for factor, value in zip(covariance[row], response, strict=True)
                ),
                sqrt(covariance[row][row]),
            )
            for row, name in enumerate(self._names)
        }

    def _add(self, name: str, present: Container[str]) -> None:
        """Adds a regressor, if needed in place of the one with least evidence.

        :param present: regressors of the same observation, which are not replaced; if none is left
            to replace, the new one is ignored.
        """
        if name in self._names:
            return
        if len(self._names) >= MAX_REGRESSORS:
            replaceable = [
                row
                for row, known in enumerate(self._names)
                if known not in present and known not in self.kept
            ]
            if not replaceable:
                return
            self._remove(min(replaceable, key=lambda row: self._information[row][row]))
        self._names.append(name)
        for line in self._information:
            line.append(0.0)
        self._information.append([0.0] * len(self._names))
        self._response.append(0.0)

    def _remove(self, row: int) -> None:
        del self._names[row], self._response[row], self._information[row]
        for line in self._information:
            del line[row]

    def _growth(self, now_s: float) -> float:
        """Returns the weight of an observation made now; the first one had weight 1."""
        if not self._names:
            self._origin_s = now_s
        exponent = (now_s - self._origin_s) / self.half_life_s
        growth = 2.0 ** min(exponent, 500.0)
        if growth <= LARGEST_GROWTH:
            return growth
        self._information = [[value / growth for value in line] for line in self._information]
        self._response = [value / growth for value in self._response]
        self._origin_s = now_s
        return 1.0


def _invert(matrix: list[list[float]]) -> list[list[float]]:
    """Inverts a symmetric positive definite matrix by Gauss-Jordan elimination."""
    size = len(matrix)
    rows = [
        [*line, *(float(row == column) for column in range(size))]
        for row, line in enumerate(matrix)
    ]
    for pivot in range(size):
        scale = rows[pivot][pivot]
        rows[pivot] = [value / scale for value in rows[pivot]]
        for row in range(size):
            factor = rows[row][pivot]
            if row != pivot and factor:
                rows[row] = [a - factor * b for a, b in zip(rows[row], rows[pivot], strict=True)]
    return [line[size:] for line in rows]
