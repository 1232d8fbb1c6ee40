"""The processes of a soak, with the injection and removal of each fault."""

import json
import signal
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from pathlib import Path
from threading import Lock
from time import monotonic

from standins.process import ManagedProcess
from standins.runner_model import NOTED
from tests.support.faults import Fault
from tests.support.platform_cluster import PlatformCluster
from tests.support.runs import Run
from tools.soak.judge import KILLED_PREFIX

DELAY_S = 0.15
LOST_CHUNK_SHARE = 0.05
LOST_ANSWERS = 3
PLACEHOLDER_PORT = 9  # the discard port; target of a relay until its runner has announced its port
STOP_TIMEOUT_S = 10.0


@dataclass
class SoakCluster(PlatformCluster):
    """A platform whose runners and stores are reached through relays.

    :ivar down_spans: numbers of daemons that were killed or frozen, with the start and the end.
    :ivar stop_spans: numbers of daemons that were stopped, with the times of the signal and of the
        end of the process.
    :ivar runner_kill_times_s: when the tasks of killed runners ended, by the history path of the
        instance: at its kill, or when it was frozen for the last time before.
    :ivar exit_statuses: numbers and exit statuses of daemons that were stopped, without those that
        were killed meanwhile or ended by SIGTERM before they served.
    :ivar start_counts: number of starts of each daemon.
    """

    relays: dict[str, ManagedProcess] = field(default_factory=dict)
    down_spans: list[tuple[int, float, float]] = field(default_factory=list)
    stop_spans: list[tuple[int, float, float]] = field(default_factory=list)
    runner_kill_times_s: dict[str, float] = field(default_factory=dict)
    exit_statuses: list[tuple[int, int]] = field(default_factory=list)
    start_counts: dict[int, int] = field(default_factory=dict)
    _instance_numbers: dict[int, int] = field(default_factory=dict)
    _runner_freeze_times_s: dict[int, float] = field(default_factory=dict)
    _restart_lock: Lock = field(default_factory=Lock)

    def write_settings(self, number: int, *, store_port: int = 0, extra_lines: str = "") -> None:
        """Writes a daemon's settings file, in which a separate relay replaces the store."""
        name = f"store-{number}"
        if name not in self.relays:
            self.relays[name] = self.start_relay(name, self.store.announced["port"])
        super().write_settings(
            number, store_port=self.relays[name].announced["port"], extra_lines=extra_lines
        )

    def start_runner(self, number: int) -> ManagedProcess:
        """Starts a runner behind a relay, with a history file that outlives the process."""
        name = f"runner-{number}"
        if name not in self.relays:
            self.relays[name] = self.start_relay(name, PLACEHOLDER_PORT)
        self._instance_numbers[number] = self._instance_numbers.get(number, 0) + 1
        # A new instance reuses the identifier of its predecessor, or gets a new one so that the
        # predecessor's entry remains beside its own.
        instance_suffix = f"-{self._instance_numbers[number]}" if number % 2 else ""
        advertised = f"127.0.0.1:{self.relays[name].announced['port']}"
        history = str(self.history_path(number))
        options = ["--advertise", advertised, "--history-path", history]
        runner = self.start_named_runner(f"r{number}{instance_suffix}", *options)
        self.switch_relay(name, target=f"127.0.0.1:{runner.announced['port']}")
        return runner

    def history_path(self, number: int) -> Path:
        """Returns the history path of a runner's current instance."""
        return self.folder / f"history-{number}-{self._instance_numbers[number]}.jsonl"

    def begin_fault(self, fault: Fault) -> None:
        """Injects a fault."""
        FAULT_STARTS[fault.kind](self, fault.target)

    def end_fault(self, fault: Fault) -> None:
        """Removes a fault; kinds such as a reload have no removal."""
        FAULT_ENDS.get(fault.kind, lambda *_: None)(self, fault.target)

    def switch_relay(self, name: str, **switches: object) -> None:
        """Sets fault switches of a relay."""
        url = f"{self.relays[name].control_url}/control"
        self.client.put(url, json=switches).raise_for_status()

    def kill_daemon(self, number: int) -> None:
        """Kills a daemon with SIGKILL."""
        self.down_spans.append((number, monotonic(), float("inf")))
        self.daemons[number].kill()

    def restart_daemon(self, number: int) -> None:
        """Starts a daemon unless it is running."""
        with self._restart_lock:  # overlapping faults may end at the same time
            if not self.daemons[number].is_running():
                self.daemons[number] = self.start_daemon(number)
        self._note_up(number)

    def freeze_daemon(self, number: int) -> None:
        """Suspends a daemon."""
        self.down_spans.append((number, monotonic(), float("inf")))
        self.daemons[number].freeze()

    def resume_daemon(self, number: int) -> None:
        """Resumes a daemon."""
        self.daemons[number].resume()
        self._note_up(number)

    def _note_up(self, number: int) -> None:
        now_s = monotonic()
        self.down_spans = [
            (daemon, since_s, min(until_s, now_s) if daemon == number else until_s)
            for daemon, since_s, until_s in self.down_spans
        ]

    def stop_daemon(self, number: int) -> None:
        """Stops a daemon with SIGTERM, waits for its end and records its exit status."""
        if not self.daemons[number].is_running():
            return
        since_s = monotonic()
        was_serving = self._is_serving(number)
        self.daemons[number].resume()
        status = self.daemons[number].terminate(STOP_TIMEOUT_S)
        self.stop_spans.append((number, since_s, monotonic()))
        # A daemon that is not serving yet has nothing to shut down gracefully.
        is_excused = status == -signal.SIGTERM and not was_serving
        was_killed = status == -signal.SIGKILL
        if not is_excused and not was_killed:
            self.exit_statuses.append((number, status))

    def start_daemon(self, number: int) -> ManagedProcess:
        """Starts a daemon and counts the start."""
        self.start_counts[number] = self.start_counts.get(number, 0) + 1
        return super().start_daemon(number)

    def _is_serving(self, number: int) -> bool:
        """Returns whether a daemon's current process has started to serve."""
        lines = self.read_log(self.daemons[number])
        serving = sum(line["message"].startswith("serving on") for line in lines)
        return serving >= self.start_counts[number]

    def kill_runner(self, number: int) -> None:
        """Kills a runner together with its running tasks; those of a frozen one don't go on."""
        self.runners[number].kill()
        ended_s = self._runner_freeze_times_s.pop(number, monotonic())
        self.runner_kill_times_s.setdefault(str(self.history_path(number)), ended_s)

    def freeze_runner(self, number: int) -> None:
        """Suspends a runner."""
        self.runners[number].freeze()
        self._runner_freeze_times_s.setdefault(number, monotonic())

    def resume_runner(self, number: int) -> None:
        """Resumes a runner."""
        self._runner_freeze_times_s.pop(number, None)
        self.runners[number].resume()

    def restart_runner(self, number: int) -> None:
        """Starts a new instance of a runner unless it is running."""
        with self._restart_lock:
            if not self.runners[number].is_running():
                self.runners[number] = self.start_runner(number)

    def undo_all_faults(self) -> None:
        """Removes all faults and restarts all processes that aren't running."""
        self.switch_store(busy=False, lost_answers=0)
        for name in self.relays:
            self.switch_relay(name, cut=False, delay_s=0.0, lose_share=0.0)
        for number in range(len(self.runners)):
            self.resume_runner(number)
            self.restart_runner(number)
        for number, daemon in enumerate(self.daemons):
            daemon.resume()
            self.restart_daemon(number)

    def read_history(self) -> list[Run]:
        """Returns the starts and ends of runs at all instances of all runners, sorted by time.

        The kill of an instance ends the runs in progress there; the kind of these ends names the
        runner, as the judge expects.
        """
        history = []
        for path in self.folder.glob("history-*.jsonl"):
            instance_runs = [row for row in _read_rows(path) if row[1] != NOTED]
            ended = {(name, run) for _, kind, name, run in instance_runs if kind != "start"}
            killed_s = self.runner_kill_times_s.get(str(path))
            if killed_s is not None:
                instance_runs += [
                    (killed_s, KILLED_PREFIX + path.stem.split("-")[1], name, run)
                    for _, kind, name, run in instance_runs
                    if kind == "start" and (name, run) not in ended
                ]
            history += instance_runs
        return sorted(history)

    def read_noted(self) -> set[tuple[Hashable, int]]:
        """Returns the tasks and runs whose ends were acknowledged without a lapse before.

        Only these ends count as taken note of.
        """
        return {
            (name, run)
            for path in self.folder.glob("history-*.jsonl")
            for _, kind, name, run in _read_rows(path)
            if kind == NOTED
        }


def _read_rows(path: Path) -> list[Run]:
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    return [(at_s, kind, tuple(name), run) for at_s, kind, name, run in rows]


Action = Callable[[SoakCluster, int], None]


def _kill_all(cluster: SoakCluster, _: int) -> None:
    for number in range(len(cluster.daemons)):
        cluster.kill_daemon(number)


def _restart_all(cluster: SoakCluster, _: int) -> None:
    for number in range(len(cluster.daemons)):
        cluster.restart_daemon(number)


def _set_relay_switches(prefix: str, **switches: object) -> Action:
    return lambda cluster, number: cluster.switch_relay(f"{prefix}-{number}", **switches)


FAULT_STARTS: dict[str, Action] = {
    "kill daemon": SoakCluster.kill_daemon,
    "freeze daemon": SoakCluster.freeze_daemon,
    "stop daemon": SoakCluster.stop_daemon,
    "reload daemon": lambda cluster, number: cluster.daemons[number].send_signal(signal.SIGHUP),
    "cut store from daemon": _set_relay_switches("store", cut=True),
    "silence store to daemon": _set_relay_switches("store", silent=True),
    "delay store to daemon": _set_relay_switches("store", delay_s=DELAY_S),
    "kill runner": SoakCluster.kill_runner,
    "freeze runner": SoakCluster.freeze_runner,
    "cut runner": _set_relay_switches("runner", cut=True),
    "silence runner": _set_relay_switches("runner", silent=True),
    "delay runner": _set_relay_switches("runner", delay_s=DELAY_S),
    "lose bytes of runner": _set_relay_switches("runner", lose_share=LOST_CHUNK_SHARE),
    "store is busy": lambda cluster, _: cluster.switch_store(busy=True),
    "store loses answers": lambda cluster, _: cluster.switch_store(lost_answers=LOST_ANSWERS),
    "kill all daemons": _kill_all,
}
FAULT_ENDS: dict[str, Action] = {
    "kill daemon": SoakCluster.restart_daemon,
    "freeze daemon": SoakCluster.resume_daemon,
    "stop daemon": SoakCluster.restart_daemon,
    "cut store from daemon": _set_relay_switches("store", cut=False),
    "delay store to daemon": _set_relay_switches("store", delay_s=0.0),
    "kill runner": SoakCluster.restart_runner,
    "freeze runner": SoakCluster.resume_runner,
    "cut runner": _set_relay_switches("runner", cut=False),
    "delay runner": _set_relay_switches("runner", delay_s=0.0),
    "lose bytes of runner": _set_relay_switches("runner", lose_share=0.0),
    "store is busy": lambda cluster, _: cluster.switch_store(busy=False),
    "store loses answers": lambda cluster, _: cluster.switch_store(lost_answers=0),
    "kill all daemons": _restart_all,
}
