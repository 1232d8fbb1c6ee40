"""Jobs and tasks: what they are, where they stand, and how daemons and the store speak of them.

May import ``learning``.
"""
