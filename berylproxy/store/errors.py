"""Errors of the key-value service about watches, leases and refused calls."""

from berylproxy.store.port import StoreError


class StoreRefusedError(StoreError):
    """The service refused the call as invalid; nothing was written."""

    code = "store_refused"


class StoreLeaseLapsedError(StoreError):
    """The lease of the write has expired or was revoked; nothing was written."""

    code = "store_lease_lapsed"


class StoreWatchError(StoreError):
    """Changes after the given revision are not available; the prefix must be listed again."""

    code = "store_watch_refused"


class StoreCompactedError(StoreWatchError):
    """The service has compacted changes later than the given revision."""

    code = "store_compacted"


class StoreRevisionBehindError(StoreWatchError):
    """The service's revision is below the given one, as after a restore from a backup."""

    code = "store_revision_behind"
