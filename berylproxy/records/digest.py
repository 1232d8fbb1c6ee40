"""Digests over the keys and revisions of a view, from which two daemons find their differences.

Comparing the highest revisions is not enough: a daemon may have a later record and lack an earlier
one.
"""

from hashlib import blake2b

BUCKET_COUNT = 256
DIGEST_BYTES = 8


def choose_bucket(key: str) -> int:
    """Returns the bucket of a key, which is the same in every daemon."""
    return blake2b(key.encode(), digest_size=1).digest()[0]


def hash_pair(key: str, revision: int) -> int:
    """Hashes a key with its revision."""
    digest = blake2b(f"{key}\0{revision}".encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


class BucketDigests:
    """One digest for each bucket of keys, updated incrementally with each key and revision."""

    def __init__(self) -> None:
        self._buckets = [0] * BUCKET_COUNT
        self._summary = ""

    def toggle(self, key: str, revision: int) -> None:
        """Adds a key and its revision to the digest, or removes them if they are in it."""
        self._buckets[choose_bucket(key)] ^= hash_pair(key, revision)
        self._summary = ""

    def encode(self) -> bytes:
        """Returns the digests of all buckets, 8 bytes each."""
        return b"".join(bucket.to_bytes(DIGEST_BYTES, "big") for bucket in self._buckets)

    def summarize(self) -> str:
        """Returns one hexadecimal digest over all buckets."""
        if not self._summary:
            self._summary = blake2b(self.encode(), digest_size=DIGEST_BYTES).hexdigest()
        return self._summary

    def find_differing_buckets(self, encoded: bytes) -> set[int]:
        """Returns the buckets that differ from those of another daemon.

        :param encoded: the other daemon's digests; all buckets differ if it sent none.
        """
        if len(encoded) != BUCKET_COUNT * DIGEST_BYTES:
            return set(range(BUCKET_COUNT))
        own = self.encode()
        return {
            bucket
            for bucket in range(BUCKET_COUNT)
            if own[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
            != encoded[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
        }
