"""Data class of the faults in a seeded schedule."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault and the time for which it lasts.

    :param target: number of the daemon or endpoint; ignored for faults of the store or all links.
    """

    kind: str
    target: int
    begin_s: float
    end_s: float

    def __str__(self) -> str:
        return f"{self.begin_s:5.1f} to {self.end_s:5.1f} s: {self.kind} {self.target}"
