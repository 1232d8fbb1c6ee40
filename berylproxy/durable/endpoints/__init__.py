"""A daemon's view of endpoints: their list, state, leases, evacuations and neighbouring tasks.

May import ``learning`` and ``jobs``.
"""
