"""Whether an endpoint belongs to a holder's group, as far as the holder's daemon knows."""

from enum import StrEnum


class GroupMembership(StrEnum):
    """Whether an endpoint belongs to a group, as far as a daemon knows.

    An endpoint whose group is unknown may run tasks of the group: a former holder may have learned
    of its assignment sooner.
    """

    MEMBER = "member"
    OTHER_GROUP = "other_group"
    UNKNOWN = "unknown"
