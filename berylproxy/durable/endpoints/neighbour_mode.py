"""The setting of what is done about tasks that slow each other down."""

from enum import StrEnum


class NeighbourMode(StrEnum):
    """What is done about tasks that slow each other down."""

    OFF = "off"
    OBSERVE = "observe"  # pairs are found and shown to operators, and decisions ignore them
    APART = "apart"  # placement keeps the kinds of a found pair apart where there is room
