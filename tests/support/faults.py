"""One fault of a seeded schedule."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param target: number of the daemon or endpoint; means nothing for what they share.
    """

    kind: str
    target: int
    begin_s: float
    end_s: float

    def __str__(self) -> str:
        return f"{self.begin_s:5.1f} to {self.end_s:5.1f} s: {self.kind} {self.target}"
