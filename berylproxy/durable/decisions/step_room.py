"""Finds the steps that wait for what other jobs may not need, without a clock or sockets.

Made for jobs that wait for a label, for their limit per endpoint, or for memory or accelerators
while processors are free: they must neither end a round of placement nor cost it much.
"""

from collections import Counter
from collections.abc import Sequence
from functools import cached_property
from math import inf

from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.jobs.job_table import ACTIVE_STATUSES, Job, Task
from berylproxy.durable.jobs.models import (
    EndpointInfo,
    EndpointInstance,
    Resources,
    StepSpec,
)

LIMIT_RECHECK_S = 1.0  # a run of the step may have moved to another endpoint meanwhile


class StepRoom:
    """What the steps of the waiting jobs find at the usable endpoints in one round.

    Room only shrinks during a round, so that what is known of one step holds for those of the same
    needs.

    :param usable: the endpoints that take tasks.
    """

    def __init__(self, usable: Sequence[EndpointState], now_s: float) -> None:
        self._usable = usable
        self._now_s = now_s
        self._without_room: dict[tuple[Resources, str], bool] = {}

    @cached_property
    def _instances(self) -> frozenset[EndpointInstance]:
        return frozenset(endpoint.info.instance for endpoint in self._usable)

    def is_closed_to(self, job: Job, task: Task) -> bool:
        """Returns whether each endpoint lacks room or a label for a task, or is at its limit."""
        step = task.step
        if self._lacks_room(step):
            return True
        return bool(step.max_per_endpoint) and self._is_at_limits(job, task)

    def _lacks_room(self, step: StepSpec) -> bool:
        key = step.needs, step.required_label
        if not self._without_room.get(key, False):
            self._without_room[key] = not any(self._has_room(e, step) for e in self._usable)
        return self._without_room[key]

    def _has_room(self, endpoint: EndpointState, step: StepSpec) -> bool:
        return has_label(endpoint.info, step) and endpoint.has_room(step.needs)

    def _is_at_limits(self, job: Job, task: Task) -> bool:
        """Returns whether no endpoint with room may get a further task of a step.

        That the step is at its limit everywhere depends on the job itself, and is remembered.
        """
        step, number = task.step, task.name.step
        state = len(job.waiting), job.unfinished_tasks, self._instances
        found_s, found_state = job.limited_steps.get(number, (-inf, None))
        if found_state == state and self._now_s - found_s < LIMIT_RECHECK_S:
            return True
        active = count_active_tasks(job, number)
        allowed = [
            endpoint
            for endpoint in self._usable
            if active[endpoint.info.instance] < step.max_per_endpoint
        ]
        if not allowed:
            job.limited_steps[number] = self._now_s, state
        return not any(self._has_room(endpoint, step) for endpoint in allowed)


def has_label(info: EndpointInfo, step: StepSpec) -> bool:
    """Returns whether an endpoint has the label that a step requires, if it requires one."""
    return not step.required_label or step.required_label in info.labels


def count_active_tasks(job: Job, step: int) -> Counter:
    """Counts the active tasks of a job's step by endpoint instance."""
    return Counter(
        task.instance
        for (number, _), task in job.tasks.items()
        if number == step and task.status in ACTIVE_STATUSES
    )
