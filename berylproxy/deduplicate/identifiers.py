"""Job identifiers, which name the one daemon process that may run a submission.

An identifier is ``<incarnation>-<sequence>-<proof>``. The incarnation names one process of one
daemon, so no other process, and no later one of the same daemon, ever starts the submission's
tasks. The proof binds the identifier to the team that it was minted for, so that no other team can
use it up.
"""

import re
from collections import deque
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest
from secrets import token_bytes

from berylproxy.clock import Clock

IDENTIFIER_PATTERN = re.compile(r"([0-9a-f]{12})-([1-9][0-9]{0,17})-([0-9a-f]{8})")
SECRET_BYTES = 16
PROOF_BYTES = 4


@dataclass(frozen=True, slots=True)
class JobIdentifier:
    """A parsed identifier.

    :param incarnation: the home's incarnation.
    :param sequence: number of the identifier among those minted by the home.
    :param proof: keyed hash that binds the identifier to its team.
    """

    incarnation: str
    sequence: int
    proof: str


def parse_identifier(text: str) -> JobIdentifier | None:
    """Parses an identifier; returns ``None`` if the text is not one.

    Example::

        parse_identifier("0123456789ab-7-89abcdef")
    """
    match = IDENTIFIER_PATTERN.fullmatch(text)
    if match is None:
        return None
    return JobIdentifier(match[1], int(match[2]), match[3])


class IdentifierMint:
    """Mints identifiers and checks which may still be used for the first time.

    :param incarnation: the incarnation of this daemon.
    :param valid_for_s: time after minting during which an identifier may be used first.
    """

    def __init__(self, incarnation: str, clock: Clock, valid_for_s: float) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self.valid_for_s = valid_for_s
        self._secret = token_bytes(SECRET_BYTES)
        self._last_sequence = 0
        self._oldest_valid_sequence = 1
        self._blocks: deque[tuple[float, int]] = deque()  # (minted at, first sequence)

    def mint(self, count: int, team: str) -> list[str]:
        """Mints a block of ``count`` identifiers for a team."""
        first = self._last_sequence + 1
        self._last_sequence += count
        self._blocks.append((self._clock.now_s(), first))
        return [self._format(sequence, team) for sequence in range(first, first + count)]

    def is_usable(self, sequence: int) -> bool:
        """Returns whether the number was minted here and may still be used for the first time."""
        self._expire_blocks()
        return self._oldest_valid_sequence <= sequence <= self._last_sequence

    def was_minted(self, identifier: JobIdentifier, team: str) -> bool:
        """Returns whether the identifier was ever minted here for the team."""
        is_in_range = 1 <= identifier.sequence <= self._last_sequence
        return is_in_range and compare_digest(
            identifier.proof, self._compute_proof(identifier.sequence, team)
        )

    def _format(self, sequence: int, team: str) -> str:
        return f"{self._incarnation}-{sequence}-{self._compute_proof(sequence, team)}"

    def _compute_proof(self, sequence: int, team: str) -> str:
        text = f"{sequence}\0{team}".encode()
        return blake2b(text, key=self._secret, digest_size=PROOF_BYTES).hexdigest()

    def _expire_blocks(self) -> None:
        oldest_minted_s = self._clock.now_s() - self.valid_for_s
        while self._blocks and self._blocks[0][0] < oldest_minted_s:
            self._blocks.popleft()
            self._oldest_valid_sequence = (
                self._blocks[0][1] if self._blocks else self._last_sequence + 1
            )
