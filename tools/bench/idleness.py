"""Computes the share of slot time that was idle while a task waited elsewhere."""

from collections.abc import Iterable

from tools.bench.bound import Interval


def compute_idle_while_waiting(
    intervals: Iterable[Interval], slots: int, duration_s: float
) -> float:
    """Integrates the minimum of idle slots and waiting tasks over the duration of the arrivals.

    :param duration_s: duration of the arrivals; the integral covers the times from 0 to it.
    :return: the integral as a share of all slot time.
    """
    changes: list[tuple[float, int, int]] = []
    for interval in intervals:
        changes.append((interval.arrived_s, 1, 0))
        changes.append((interval.started_s, -1, 1))
        changes.append((interval.ended_s, 0, -1))
    waiting = running = 0
    last_s = idle_s = 0.0
    for at_s, waiting_change, running_change in sorted(changes):
        end_s = min(max(at_s, 0.0), duration_s)
        idle_s += max(0, min(waiting, slots - running)) * (end_s - last_s)
        last_s = end_s
        waiting += waiting_change
        running += running_change
    return idle_s / (slots * duration_s)
