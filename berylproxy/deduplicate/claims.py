"""Claims callers' idempotency keys for a home, with compare-and-swap in the store.

Keys are hashed into buckets; each bucket is one value in the store. All claims of one bucket that
arrive during a write are batched into the next write, so the rate of writes is bounded by the
number of buckets, not by the number of jobs. Safety depends on compare-and-swap alone; claiming the
keys of one bucket at the same daemon where possible only makes conflicts rare.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from time import time

from anyio import Lock, fail_after, sleep
from msgpack import packb, unpackb

from berylproxy.clock import Clock
from berylproxy.deduplicate.errors import ClaimUnavailableError
from berylproxy.store.port import (
    ABSENT_REVISION,
    Store,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

BUCKET_COUNT = 32
COMMIT_INTERVAL_S = 0.1  # minimum time between commits of one bucket
CLAIM_RETENTION_S = 1_200.0  # longer than the longest job and the time to resubmit it
CLAIM_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.1
MAX_CLAIMS_PER_BUCKET = 12_000  # keeps a bucket well below the store's limit of 1 MB
UNAVAILABLE_RETRY_AFTER_S = 5.0
KEY_HASH_BYTES = 12
KEY_PREFIX = "berylproxy/claims/"


def hash_key(team: str, key: str) -> bytes:
    """Hashes a caller's key together with its team."""
    return blake2b(f"{team}\0{key}".encode(), digest_size=KEY_HASH_BYTES).digest()


def choose_bucket(key_hash: bytes) -> int:
    """Returns the number of the key's bucket."""
    return int.from_bytes(key_hash[:2], "big") % BUCKET_COUNT


@dataclass(frozen=True, slots=True)
class Claim:
    """The identifier that an idempotency key is claimed for.

    :param job_id: the identifier that the key stands for.
    :param claimed_at_s: wall-clock time in whole seconds since 1970.
    """

    job_id: str
    claimed_at_s: int


@dataclass(slots=True, eq=False)
class PendingClaim:
    """A claim that waits for a write, or a lookup that waits for a read.

    :param job_id: the identifier to claim the key for; empty for a lookup.
    :param claim: the key's claim once resolved, this one or an earlier one; ``None`` if a lookup
        found none.
    :param error: why the store could not resolve the claim, if it failed.
    """

    key_hash: bytes
    job_id: str
    claim: Claim | None = None
    error: StoreError | None = None

    is_resolved: bool = False


@dataclass(slots=True)
class Bucket:
    """The last known value of one bucket in the store, and the claims to be added to it.

    :param is_known: whether ``revision`` and ``claims`` are usable without reading the store.
    """

    key: str
    revision: int = ABSENT_REVISION
    claims: dict[bytes, Claim] = field(default_factory=dict)
    is_known: bool = False
    pending: list[PendingClaim] = field(default_factory=list)
    lock: Lock = field(default_factory=Lock)
    next_commit_s: float = 0.0


class ClaimRegistry:
    """Claims keys for identifiers and looks up earlier claims.

    :param wall_time_s: returns the wall-clock time in seconds since 1970, as all daemons see it.
    """

    def __init__(self, store: Store, clock: Clock, wall_time_s: Callable[[], float] = time) -> None:
        self._store = store
        self._clock = clock
        self._wall_time_s = wall_time_s
        self._buckets = [Bucket(f"{KEY_PREFIX}{number:02d}") for number in range(BUCKET_COUNT)]

    async def claim(self, key_hash: bytes, job_id: str) -> str:
        """Claims a key; returns the identifier that it stands for, the given or an earlier one.

        :raises ClaimUnavailableError: if the store cannot confirm the claim now. The caller must
            not start the job then. The claim may have been written nevertheless; a later call
            with the key then returns its identifier.
        """
        claim = await self._resolve(PendingClaim(key_hash, job_id))
        assert claim is not None, "a resolved claim has a claim or an error"
        return claim.job_id

    async def find(self, key_hash: bytes) -> str:
        """Returns the identifier that a key stands for; empty if the key is not claimed.

        :raises ClaimUnavailableError: if the store cannot be read now.
        """
        claim = await self._resolve(PendingClaim(key_hash, ""))
        return claim.job_id if claim is not None else ""

    async def _resolve(self, pending: PendingClaim) -> Claim | None:
        bucket = self._buckets[choose_bucket(pending.key_hash)]
        existing = self._find(bucket, pending.key_hash)
        if existing is not None:
            return existing
        bucket.pending.append(pending)
        try:
            async with bucket.lock:
                if not pending.is_resolved:
                    await self._commit(bucket)
        finally:
            if pending in bucket.pending:
                bucket.pending.remove(pending)
        if pending.error is not None:
            raise ClaimUnavailableError(
                "the key-value service cannot confirm whether the idempotency key is new",
                hint="retry with the same key, or use an id from POST /v1/job-ids",
                retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
            ) from pending.error
        return pending.claim

    async def _commit(self, bucket: Bucket) -> None:
        await sleep(max(0.0, bucket.next_commit_s - self._clock.now_s()))
        batch = list(bucket.pending)
        error: StoreError | None = None
        try:
            with fail_after(CLAIM_TIMEOUT_S):
                await self._write(bucket, batch)
        except TimeoutError:
            error = StoreUnavailableError("no answer in time")
        except StoreError as store_error:
            error = store_error
        for pending in batch:
            pending.claim = self._find(bucket, pending.key_hash) if error is None else None
            pending.error = error
            pending.is_resolved = True
            bucket.pending.remove(pending)
        bucket.next_commit_s = self._clock.now_s() + COMMIT_INTERVAL_S

    async def _write(self, bucket: Bucket, batch: list[PendingClaim]) -> None:
        """Reads and writes the bucket until the store has a claim for each key to be claimed."""
        if any(not pending.job_id for pending in batch):
            bucket.is_known = False  # only a read or a write proves that a key is unclaimed
        while True:
            if not bucket.is_known:
                await self._read(bucket)
            claims = self._merge(bucket, batch)
            if claims is None:
                return
            try:
                bucket.revision = await self._store.compare_and_swap(
                    bucket.key, _encode(claims), bucket.revision
                )
            except StoreConflictError:
                bucket.is_known = False
                continue
            except StoreOutcomeUnknownError:
                # The next read shows whether the write took effect.
                bucket.is_known = False
                await sleep(RETRY_INTERVAL_S)
                continue
            bucket.claims = claims

    async def _read(self, bucket: Bucket) -> None:
        entry = await self._store.get(bucket.key)
        bucket.revision = entry.revision if entry is not None else ABSENT_REVISION
        bucket.claims = _decode(entry.value) if entry is not None else {}
        bucket.is_known = True

    def _merge(self, bucket: Bucket, batch: list[PendingClaim]) -> dict[bytes, Claim] | None:
        """Merges the batch's claims into the bucket's, without expired ones.

        Returns ``None`` if the bucket has a claim for each key already.

        :raises StoreUnavailableError: if the bucket has no room for the claims.
        """
        now_s = self._wall_time_s()
        missing = [
            pending
            for pending in batch
            if pending.job_id and self._find(bucket, pending.key_hash) is None
        ]
        if not missing:
            return None
        claims = {
            key_hash: claim
            for key_hash, claim in bucket.claims.items()
            if claim.claimed_at_s > now_s - CLAIM_RETENTION_S
        }
        for pending in missing:
            claims.setdefault(pending.key_hash, Claim(pending.job_id, int(now_s)))
        if len(claims) > MAX_CLAIMS_PER_BUCKET:
            raise StoreUnavailableError("too many idempotency keys are in use")
        return claims

    def _find(self, bucket: Bucket, key_hash: bytes) -> Claim | None:
        claim = bucket.claims.get(key_hash)
        if claim is None or claim.claimed_at_s <= self._wall_time_s() - CLAIM_RETENTION_S:
            return None
        return claim


def _encode(claims: dict[bytes, Claim]) -> bytes:
    rows = [(key_hash, claim.job_id, claim.claimed_at_s) for key_hash, claim in claims.items()]
    return packb(rows)


def _decode(value: bytes) -> dict[bytes, Claim]:
    return {key_hash: Claim(job_id, at_s) for key_hash, job_id, at_s in unpackb(value)}
