"""A seeded schedule of faults, and the actions that begin and end each fault."""

from collections.abc import Callable
from random import Random
from time import monotonic, sleep

from tests.support.faults import Fault
from tests.support.proving_cluster import ProvingCluster

FIRST_FAULT_S = 1.0
LONGEST_FAULT_S = 10.0


Action = Callable[[ProvingCluster, int], None]


def _switch_endpoint(**switches: object) -> Action:
    return lambda cluster, number: cluster.control(cluster.endpoints[number], **switches)


def _switch_store(**switches: object) -> Action:
    return lambda cluster, _: cluster.control(cluster.store, **switches)


def _switch_link(**switches: object) -> Action:
    return lambda cluster, number: cluster.control(cluster.relays[number], **switches)


def _switch_all_links(**switches: object) -> Action:
    def switch(cluster: ProvingCluster, _: int) -> None:
        for relay in cluster.relays:
            cluster.control(relay, **switches)

    return switch


def _do_nothing(_: ProvingCluster, __: int) -> None:
    pass


def _restart_daemon(cluster: ProvingCluster, number: int) -> None:
    if not cluster.daemons[number].is_running():
        cluster.restart_daemon(number)


def _restart_endpoint(cluster: ProvingCluster, number: int) -> None:
    if not cluster.endpoints[number].is_running():
        cluster.restart_endpoint(number)


FAULTS: dict[str, tuple[Action, Action]] = {
    "kill daemon": (ProvingCluster.kill_daemon, _restart_daemon),
    "freeze daemon": (
        lambda cluster, number: cluster.daemons[number].freeze(),
        lambda cluster, number: cluster.daemons[number].resume(),
    ),
    "cut links to daemon": (_switch_link(cut=True), _switch_link(cut=False)),
    "cut all links": (_switch_all_links(cut=True), _switch_all_links(cut=False)),
    "silence links to daemon": (_switch_link(silent=True), _do_nothing),
    "lose chunks to daemon": (_switch_link(lose_share=0.01), _switch_link(lose_share=0.0)),
    "store refuses": (_switch_store(outage=True), _switch_store(outage=False)),
    "store hangs": (
        _switch_store(outage=True, outage_mode="silent"),
        _switch_store(outage=False, outage_mode="refuse"),
    ),
    "store loses answers": (_switch_store(lose_answers=2), _switch_store(lose_answers=0)),
    "kill endpoint": (ProvingCluster.kill_endpoint, _restart_endpoint),
    "endpoint fails everything": (
        _switch_endpoint(fail_everything=True),
        _switch_endpoint(fail_everything=False),
    ),
    "endpoint truncates": (_switch_endpoint(truncate=True), _switch_endpoint(truncate=False)),
    "endpoint is late": (_switch_endpoint(late_s=1.0), _switch_endpoint(late_s=0.0)),
    "endpoint leaves": (_switch_endpoint(leaving=True), _switch_endpoint(leaving=False)),
    "silence endpoint": (_switch_endpoint(silent=True), _do_nothing),
}


def make_schedule(seed: int, length_s: float, faults: int, targets: int) -> list[Fault]:
    """Returns random faults in order of their start; they may overlap and end by ``length_s``."""
    random = Random(seed)
    schedule = []
    for _ in range(faults):
        begin_s = random.uniform(FIRST_FAULT_S, length_s - 1.0)
        end_s = min(begin_s + random.uniform(0.5, LONGEST_FAULT_S), length_s)
        kind = random.choice(sorted(FAULTS))
        schedule.append(Fault(kind, random.randrange(targets), begin_s, end_s))
    return sorted(schedule, key=lambda fault: fault.begin_s)


def run_schedule(cluster: ProvingCluster, schedule: list[Fault], length_s: float) -> None:
    """Begins and ends the faults at their times; skips actions on processes that have ended."""
    timed_actions = [(fault.begin_s, FAULTS[fault.kind][0], fault) for fault in schedule]
    timed_actions += [(fault.end_s, FAULTS[fault.kind][1], fault) for fault in schedule]
    started_s = monotonic()
    for at_s, action, fault in sorted(timed_actions, key=lambda timed_action: timed_action[0]):
        sleep(max(0.0, started_s + at_s - monotonic()))
        if _can_apply(cluster, action, fault):
            action(cluster, fault.target)
    sleep(max(0.0, started_s + length_s - monotonic()))


def _can_apply(cluster: ProvingCluster, action: Action, fault: Fault) -> bool:
    if action in (_restart_daemon, _restart_endpoint):
        return True
    if "endpoint" in fault.kind:
        return cluster.endpoints[fault.target].is_running()
    if "link" in fault.kind:
        # The links of a daemon that has ended must stay cut until the daemon is started again.
        return all(daemon.is_running() for daemon in cluster.daemons)
    return "daemon" not in fault.kind or cluster.daemons[fault.target].is_running()
