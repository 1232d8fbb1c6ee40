"""Measures how much work a group's endpoints do, without a clock or sockets.

Made for tasks that take a large part of an endpoint each: how much of the capacity stays unused
beside them depends on their sizes, and expected run times may be too short for a whole queue. Both
show in the work that is done while tasks wait. Endpoints are looked at once in a while, not for
each job, and a change of a job takes constant time.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from berylproxy.durable.endpoints.fleet import EndpointState
from berylproxy.durable.learning.estimates import RunTimeModel

MEASURE_INTERVAL_S = 0.02
# Without a measurement: tasks of 27 cores leave a sixth of endpoints of 64 and 96 cores unused.
NOMINAL_USABLE_SHARE = 0.85
LEAST_USABLE_SHARE = 0.4
# Tasks may also wait for certain endpoints; only with this share in use is the room the limit.
SATURATED_SHARE = 0.6
SAMPLE_S = 0.05  # time in which all endpoints would do the work of one sample
LEARNING_RATE = 0.1  # about ten samples count


@dataclass(slots=True)
class CapacityMeter:
    """The capacity of a group's endpoints for work as it is expected.

    :ivar raw_cores: cores of the endpoints that serve, weighted by their speed.
    :ivar mean_endpoint_cores: cores of a mean endpoint; 0 without any.
    :ivar mean_speed: speed by which the cores are weighted in the mean; 0 without any.
    :ivar usable_share: work that is done while tasks wait, relative to ``raw_cores``.
    """

    raw_cores: float = 0.0
    mean_endpoint_cores: float = 0.0
    mean_speed: float = 0.0
    usable_share: float = NOMINAL_USABLE_SHARE
    _measured_s: float | None = None
    _noted_s: float = 0.0
    _noted_done_core_s: float = 0.0
    _is_saturated: bool = False
    _sampled_core_s: float = 0.0
    _sampled_done_core_s: float = 0.0

    @property
    def nominal_cores(self) -> float:
        """Core seconds of work that the endpoints should do in a second."""
        return self.raw_cores * NOMINAL_USABLE_SHARE

    @property
    def observed_cores(self) -> float:
        """Core seconds of expected work that the endpoints do in a second while tasks wait."""
        return self.raw_cores * self.usable_share

    def measure(
        self, endpoints: Iterable[EndpointState], model: RunTimeModel, now_s: float
    ) -> None:
        """Sums up the endpoints that serve, unless that was done just before."""
        if self._measured_s is not None and now_s - self._measured_s < MEASURE_INTERVAL_S:
            return
        self._measured_s = now_s
        total_millicores, total_weighted, count = 0, 0.0, 0
        for endpoint in endpoints:
            if endpoint.is_serving(now_s):
                millicores = endpoint.info.capacity.cpu_millicores
                total_millicores += millicores
                total_weighted += millicores * model.speed(endpoint.info.instance.endpoint_id)
                count += 1
        self.raw_cores = total_weighted / 1000
        self.mean_endpoint_cores = total_millicores / 1000 / count if count else 0.0
        self.mean_speed = total_weighted / total_millicores if total_millicores else 0.0

    def note_placed(
        self, has_waiting: bool, active_millicores: int, done_core_s: float, now_s: float
    ) -> None:
        """Learns from the work that was done since the last call, if tasks waited all the time.

        :param has_waiting: whether tasks that may be started wait after a round of placement.
        :param active_millicores: processor share of the started tasks.
        :param done_core_s: expected work of all tasks that were done so far.
        """
        if self._is_saturated:
            self._sampled_core_s += self.raw_cores * (now_s - self._noted_s)
            self._sampled_done_core_s += done_core_s - self._noted_done_core_s
            if self._sampled_core_s > SAMPLE_S * self.raw_cores > 0:
                observed_share = self._sampled_done_core_s / self._sampled_core_s
                learned_share = self.usable_share + LEARNING_RATE * (
                    observed_share - self.usable_share
                )
                self.usable_share = min(max(learned_share, LEAST_USABLE_SHARE), 1.0)
                self._sampled_core_s = self._sampled_done_core_s = 0.0
        self._noted_s, self._noted_done_core_s = now_s, done_core_s
        self._is_saturated = (
            has_waiting and active_millicores >= SATURATED_SHARE * 1000 * self.raw_cores
        )
