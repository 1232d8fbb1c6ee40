"""Who becomes the holder of a group, and when. The decisions are pure.

A claim needs no lease: whoever takes the holder for dead replaces its claim by compare-and-swap,
and the revision of the new claim makes the fence under which endpoints refuse the former holder. A
wrong suspicion costs a change of holder and no work.

While the store is away no claim can be replaced. A daemon then takes a provisional fence between
those of two claims: above the last claim known, below any later one.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

SUSPICION_S = 0.45  # three heartbeats of the holder
BROKEN_STREAM_SUSPICION_S = 0.1  # its process has ended, or is just about to be dialled again
RANK_DELAY_S = 0.05  # a claim and its first heartbeat take some 15 ms
LONELY_DELAY_S = 3.0  # until the entries of lost VMs have left the list of members
FENCES_PER_CLAIM = 16  # one for the claim itself, the others for provisional holders by rank


@dataclass(frozen=True, slots=True)
class Candidate:
    """A daemon that may become the holder.

    :param cores: processor share of its VM; larger VMs go first ...
    :param holds: ... among those that hold as few groups.
    """

    daemon_id: str
    cores: float
    holds: int = 0


@dataclass(frozen=True, slots=True)
class HolderObservation:
    """What a daemon knows of the present holder.

    :param silence_s: time since its last heartbeat, or since this daemon began to wait for one.
    :param has_stream: whether there is an open stream to it.
    :param is_leaving: whether it has asked to be replaced.
    """

    silence_s: float
    has_stream: bool
    is_leaving: bool


def rank(group: str, own: Candidate, others: Sequence[Candidate]) -> int:
    """Returns how many live candidates go before this one."""
    own_key = _preference(group, own)
    return sum(_preference(group, other) < own_key for other in others)


def should_claim(observation: HolderObservation, own_rank: int, reached: int, listed: int) -> bool:
    """Tells whether this daemon should claim the group now.

    :param reached: other daemons that it has streams to, without the holder.
    :param listed: other daemons that the store lists, without the holder.
    """
    limit_s = _suspicion_s(observation) + own_rank * RANK_DELAY_S
    if 2 * reached < listed:
        limit_s += LONELY_DELAY_S
    return observation.silence_s >= limit_s


def is_suspect(observation: HolderObservation) -> bool:
    """Tells whether any daemon may claim the group now, without the cost of ranking them."""
    return observation.silence_s >= _suspicion_s(observation)


def _suspicion_s(observation: HolderObservation) -> float:
    if observation.is_leaving:
        return 0.0
    return SUSPICION_S if observation.has_stream else BROKEN_STREAM_SUSPICION_S


def may_replace(seen_fence: int, known_fence: int, read_fence: int) -> bool:
    """Tells whether a claim that was read may still be replaced.

    :param seen_fence: the newest fence known when the decision to claim was made.
    :param known_fence: the newest fence known now, after the read.
    :param read_fence: the fence of the claim that was read.
    """
    return known_fence == seen_fence and read_fence <= seen_fence


def claim_fence(revision: int) -> int:
    """Returns the fence of a claim."""
    return revision * FENCES_PER_CLAIM


def provisional_fence(known_fence: int, own_rank: int) -> int:
    """Returns the fence of a holder without a claim; 0 if there is none left."""
    first = known_fence - known_fence % FENCES_PER_CLAIM
    fence = max(known_fence, first + own_rank) + 1
    return fence if fence < first + FENCES_PER_CLAIM else 0


def may_hold_provisionally(reached_domains: Counter, listed_domains: Counter, own: str) -> bool:
    """Tells whether a daemon without the store may act as holder for those that it reaches.

    Either it reaches half of the daemons, or exactly its own failure domain, which is then cut off.

    :param reached_domains: reached daemons by failure domain, this one included.
    :param listed_domains: all daemons by failure domain.
    """
    if 2 * reached_domains.total() >= listed_domains.total():
        return True
    return set(reached_domains) == {own} and reached_domains[own] >= listed_domains[own]


def _preference(group: str, candidate: Candidate) -> tuple[int, float, bytes]:
    name = f"{group}/{candidate.daemon_id}".encode()
    return candidate.holds, -candidate.cores, blake2b(name, digest_size=8).digest()
