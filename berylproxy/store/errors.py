"""Errors of the key-value service that concern watches, leases and refused calls."""

from berylproxy.store.port import StoreError


class StoreRefusedError(StoreError):
    """The service refused the call as invalid: nothing was written."""

    code = "store_refused"


class StoreLeaseLapsedError(StoreError):
    """The lease of the write does not exist any more: nothing was written."""

    code = "store_lease_lapsed"


class StoreWatchError(StoreError):
    """Changes cannot be told from the given revision on; the prefix must be listed anew."""

    code = "store_watch_refused"


class StoreCompactedError(StoreWatchError):
    """The service has forgotten changes later than the given revision."""

    code = "store_compacted"


class StoreRevisionBehindError(StoreWatchError):
    """The service's own revision is below the given one, as after a restored backup."""

    code = "store_revision_behind"
