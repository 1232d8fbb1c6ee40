"""Decides which daemon becomes the holder of a group, and when. All functions are pure.

A claim needs no lease: a daemon that suspects the holder of having failed replaces its claim by
compare-and-swap. The fence (fencing token) of the new claim derives from its store revision;
endpoints refuse orders under a lower fence, and so those of the former holder. A wrong suspicion
costs a change of holder, but no work is lost.

While the store is unavailable no claim can be replaced. A daemon may then act as a provisional
holder, under a fence between those of two claims: above the last known claim, below any later one.
The store may turn away some daemons and serve the others. One of those then claims the group: they
go before any that would hold it provisionally, and replace a provisional holder.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from math import inf

HEARTBEAT_INTERVAL_S = 0.15  # between heartbeats of a holder to its likely successors
WATCHERS = 5  # likely successors that a holder sends each heartbeat to
# Other daemons get one heartbeat in so many: the messages of all holders to all daemons would grow
# with the square of the fleet.
HEARTBEATS_PER_BROADCAST = 3
SUSPICION_TIMEOUT_S = 0.45  # three heartbeats of the holder
BROKEN_STREAM_TIMEOUT_S = 0.1  # without a stream to a holder that refuses connections
RANK_DELAY_S = 0.05  # per rank; a claim and its first heartbeat take some 15 ms
MINORITY_DELAY_S = 3.0  # until the entries of lost VMs have left the list of members
# For a claim with two calls to a slow store, 0.3 s each.
CLAIM_LEAD_S = 0.6
FENCES_PER_CLAIM = 16  # one for the claim itself, the others for provisional holders by rank


@dataclass(frozen=True, slots=True)
class Candidate:
    """A daemon that may become the holder.

    :param cores: processor share of its VM; among daemons that hold equally many groups, those
        with more cores go first.
    :param held_group_count: number of groups that it holds; daemons with fewer go first.
    """

    daemon_id: str
    cores: float
    held_group_count: int = 0


@dataclass(frozen=True, slots=True)
class HolderObservation:
    """What a daemon knows of the current holder.

    :param silence_s: time since its last heartbeat, or since this daemon began to wait for one.
    :param has_stream: whether there is an open stream to it, or one may be opened again.
    :param is_leaving: whether it has asked to be replaced, or is a provisional holder although this
        daemon reaches the store.
    :param heartbeat_interval_s: time between its heartbeats to this daemon.
    :param has_ended: whether its process has certainly ended, since this daemon runs in its place.
    """

    silence_s: float
    has_stream: bool
    is_leaving: bool
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    has_ended: bool = False


def rank(group: str, own: Candidate, others: Sequence[Candidate]) -> int:
    """Returns how many other candidates precede this daemon; 0 for the first candidate.

    All daemons that see the same candidates agree on their order, which differs by group so that
    groups are spread over equal daemons.
    """
    own_key = _preference_key(group, own)
    return sum(_preference_key(group, other) < own_key for other in others)


def choose_watchers(group: str, candidates: Sequence[Candidate]) -> list[str]:
    """Returns the identifiers of the daemons that would precede the others as a group's holder."""
    ranked = sorted(candidates, key=lambda candidate: _preference_key(group, candidate))
    return [candidate.daemon_id for candidate in ranked[:WATCHERS]]


def is_minority(reached_count: int, listed_count: int) -> bool:
    """Returns whether a daemon reaches less than half of the listed others."""
    return 2 * reached_count < listed_count


def should_claim(
    observation: HolderObservation,
    own_rank: int,
    reached_count: int,
    listed_count: int,
    settled_s: float = inf,
) -> bool:
    """Returns whether this daemon should claim the group now.

    A daemon that reaches less than half of the listed others waits longer: it may be the one that
    is cut off. Once it reaches enough of them, those that precede it get their time first, however
    long the holder has been silent. After an outage of all daemons one of them would claim all
    groups otherwise.

    :param own_rank: number of candidates that precede this daemon.
    :param reached_count: number of other daemons that it has streams to, without the holder.
    :param listed_count: number of other daemons that the store lists, without the holder.
    :param settled_s: time for which this daemon has reached at least half of them.
    """
    if observation.has_ended:
        return True
    suspected_s = observation.silence_s - _suspicion_timeout_s(observation)
    delay_s = own_rank * RANK_DELAY_S
    if is_minority(reached_count, listed_count):
        return suspected_s >= delay_s + MINORITY_DELAY_S
    return suspected_s >= 0 and min(suspected_s, settled_s) >= delay_s


def should_hold_provisionally(
    observation: HolderObservation, own_rank: int, may_others_claim: bool
) -> bool:
    """Returns whether this daemon, which the store doesn't answer, should act as the holder now.

    :param own_rank: number of candidates that precede this daemon.
    :param may_others_claim: whether a reachable daemon says that the store answers it. It gets the
        time to claim the group. What it says may be outdated, so that the time is limited.
    """
    delay_s = CLAIM_LEAD_S if may_others_claim else 0.0
    if not observation.has_ended:
        delay_s += own_rank * RANK_DELAY_S
    return observation.silence_s - _suspicion_timeout_s(observation) >= delay_s


def is_provisional(fence: int) -> bool:
    """Returns whether a fence is that of a provisional holder."""
    return fence % FENCES_PER_CLAIM > 0


def is_suspect(observation: HolderObservation) -> bool:
    """Returns whether any daemon might claim the group now.

    A cheap check before :func:`should_claim`, for which the candidates must be ranked.
    """
    return observation.silence_s >= _suspicion_timeout_s(observation)


def _suspicion_timeout_s(observation: HolderObservation) -> float:
    if observation.is_leaving or observation.has_ended:
        return 0.0
    # The holder has been silent for up to one interval when it fails.
    extra_s = max(observation.heartbeat_interval_s - HEARTBEAT_INTERVAL_S, 0.0)
    return extra_s + (SUSPICION_TIMEOUT_S if observation.has_stream else BROKEN_STREAM_TIMEOUT_S)


def may_replace_claim(fence_at_decision: int, current_fence: int, stored_fence: int) -> bool:
    """Returns whether the stored claim may be replaced, because no newer holder has appeared.

    Between the decision to claim and the read of the stored claim another daemon may have become
    the holder. Its claim is not replaced, whether it was seen in a heartbeat or in the store.

    :param fence_at_decision: the newest fence known when the decision to claim was made.
    :param current_fence: the newest fence known after the read.
    :param stored_fence: the fence of the claim that was read.
    """
    return current_fence == fence_at_decision and stored_fence <= fence_at_decision


def claim_fence(revision: int) -> int:
    """Returns the fence of the claim with the given store revision."""
    return revision * FENCES_PER_CLAIM


def provisional_fence(known_fence: int, own_rank: int) -> int:
    """Returns the fence for a provisional holder; 0 if none is left before the next claim's.

    The fence is above the known one. Daemons of different rank usually get different fences.

    :param known_fence: the fence of the newest known holder.
    :param own_rank: number of candidates that precede this daemon.
    """
    first = known_fence - known_fence % FENCES_PER_CLAIM
    fence = max(known_fence, first + own_rank) + 1
    return fence if fence < first + FENCES_PER_CLAIM else 0


def yields_to_equal(own_incarnation: str, other_incarnation: str) -> bool:
    """Returns whether this provisional holder ends its tenure for another one of the same fence.

    Endpoints obey both. Daemons whose views of the others differ may compute the same rank, and so
    the same fence.
    """
    return own_incarnation < other_incarnation


def may_hold_provisionally(
    reached_domains: Counter, listed_domains: Counter, own_domain: str
) -> bool:
    """Returns whether a daemon without the store may act as holder for the daemons it reaches.

    Either it reaches at least half of the daemons, or exactly those of its own failure domain,
    which is then cut off.

    :param reached_domains: number of reached daemons by failure domain, this one included.
    :param listed_domains: number of all daemons by failure domain.
    """
    if 2 * reached_domains.total() >= listed_domains.total():
        return True
    return (
        set(reached_domains) == {own_domain}
        and reached_domains[own_domain] >= listed_domains[own_domain]
    )


def _preference_key(group: str, candidate: Candidate) -> tuple[int, float, bytes]:
    """Returns the sort key of a candidate for a group; the lowest becomes the holder."""
    name = f"{group}/{candidate.daemon_id}".encode()
    return candidate.held_group_count, -candidate.cores, blake2b(name, digest_size=8).digest()
