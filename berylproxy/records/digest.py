"""Digests over the keys and revisions of a view, by which two daemons find what differs.

The highest revision alone does not tell: a daemon may have a later record and lack an earlier one.
"""

from hashlib import blake2b

BUCKET_COUNT = 256
DIGEST_BYTES = 8


def choose_bucket(key: str) -> int:
    """Returns the bucket of a key, the same in every daemon."""
    return blake2b(key.encode(), digest_size=1).digest()[0]


def hash_pair(key: str, revision: int) -> int:
    """Hashes a key with its revision."""
    digest = blake2b(f"{key}\0{revision}".encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


class BucketDigests:
    """One digest for each bucket of keys, kept up to date pair by pair."""

    def __init__(self) -> None:
        self._buckets = [0] * BUCKET_COUNT
        self._summary = ""

    def toggle(self, key: str, revision: int) -> None:
        """Adds a pair that is not in the digest, or takes out one that is."""
        self._buckets[choose_bucket(key)] ^= hash_pair(key, revision)
        self._summary = ""

    def encode(self) -> bytes:
        """Encodes all buckets, 8 bytes each."""
        return b"".join(bucket.to_bytes(DIGEST_BYTES, "big") for bucket in self._buckets)

    def summarize(self) -> str:
        """Returns one short digest over all buckets."""
        if not self._summary:
            self._summary = blake2b(self.encode(), digest_size=DIGEST_BYTES).hexdigest()
        return self._summary

    def find_differing(self, encoded: bytes) -> set[int]:
        """Lists the buckets that differ from another daemon's; all if it sent none."""
        if len(encoded) != BUCKET_COUNT * DIGEST_BYTES:
            return set(range(BUCKET_COUNT))
        own = self.encode()
        return {
            bucket
            for bucket in range(BUCKET_COUNT)
            if own[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
            != encoded[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
        }
