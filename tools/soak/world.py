"""The processes of a soak, and how each fault is brought about and undone."""

import json
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from threading import Lock
from time import monotonic

from standins.process import ManagedProcess
from tests.support.faults import Fault
from tests.support.platform_cluster import PlatformCluster
from tests.support.runs import Run

DELAY_S = 0.15
LOSE_SHARE = 0.05
LOST_ANSWERS = 3
DISCARD_PORT = 9  # until the runner has told its own
STOP_TIMEOUT_S = 10.0


@dataclass
class SoakWorld(PlatformCluster):
    """A platform whose runners and stores are reached through relays.

    :ivar down: when each daemon was not running as it should, by number: pairs of times.
    :ivar stopped: when each daemon was told to stop and when it had ended, by number.
    :ivar runner_ends: when each runner was killed, by the path of that life's history.
    :ivar statuses: exit statuses of daemons that were told to stop while they served.
    :ivar starts: how often each daemon was started.
    """

    relays: dict[str, ManagedProcess] = field(default_factory=dict)
    down: list[tuple[int, float, float]] = field(default_factory=list)
    stopped: list[tuple[int, float, float]] = field(default_factory=list)
    runner_ends: dict[str, float] = field(default_factory=dict)
    statuses: list[tuple[int, int]] = field(default_factory=list)
    starts: dict[int, int] = field(default_factory=dict)
    _lives: dict[int, int] = field(default_factory=dict)
    _restarting: Lock = field(default_factory=Lock)

    def write_settings(self, number: int, *, store_port: int = 0, extra_lines: str = "") -> None:
        """Writes a daemon's settings file, with a relay of its own in place of the store."""
        name = f"store-{number}"
        if name not in self.relays:
            self.relays[name] = self.start_relay(name, self.store.announced["port"])
        super().write_settings(
            number, store_port=self.relays[name].announced["port"], extra_lines=extra_lines
        )

    def start_runner(self, number: int) -> ManagedProcess:
        """Starts a runner behind a relay; its history goes to a file that outlives it."""
        name = f"runner-{number}"
        if name not in self.relays:
            self.relays[name] = self.start_relay(name, DISCARD_PORT)
        self._lives[number] = self._lives.get(number, 0) + 1
        # A new life comes back under the old identifier or beside the entry of the former life.
        life = f"-{self._lives[number]}" if number % 2 else ""
        advertised = f"127.0.0.1:{self.relays[name].announced['port']}"
        history = str(self.history_path(number))
        options = ["--advertise", advertised, "--history-path", history]
        runner = self.start_named_runner(f"r{number}{life}", *options)
        self.switch_relay(name, target=f"127.0.0.1:{runner.announced['port']}")
        return runner

    def history_path(self, number: int) -> Path:
        """Names the file of a runner's present life."""
        return self.folder / f"history-{number}-{self._lives[number]}.jsonl"

    def begin(self, fault: Fault) -> None:
        """Brings a fault about."""
        BEGINNINGS[fault.kind](self, fault.target)

    def end(self, fault: Fault) -> None:
        """Undoes a fault."""
        ENDINGS.get(fault.kind, lambda *_: None)(self, fault.target)

    def switch_relay(self, name: str, **switches: object) -> None:
        """Sets switches of a relay."""
        url = f"{self.relays[name].control_url}/control"
        self.client.put(url, json=switches).raise_for_status()

    def kill_daemon(self, number: int) -> None:
        """Kills a daemon."""
        self.down.append((number, monotonic(), float("inf")))
        self.daemons[number].kill()

    def restart_daemon(self, number: int) -> None:
        """Starts a daemon that is not running."""
        with self._restarting:  # faults that overlap end at the same time
            if not self.daemons[number].is_running():
                self.daemons[number] = self.start_daemon(number)
        self._note_up(number)

    def freeze_daemon(self, number: int) -> None:
        """Stops a daemon from running."""
        self.down.append((number, monotonic(), float("inf")))
        self.daemons[number].freeze()

    def resume_daemon(self, number: int) -> None:
        """Lets a daemon run on."""
        self.daemons[number].resume()
        self._note_up(number)

    def _note_up(self, number: int) -> None:
        now_s = monotonic()
        self.down = [
            (who, since_s, min(until_s, now_s) if who == number else until_s)
            for who, since_s, until_s in self.down
        ]

    def stop_daemon(self, number: int) -> None:
        """Tells a daemon to stop and waits for its end."""
        if not self.daemons[number].is_running():
            return
        since_s = monotonic()
        was_serving = self._is_serving(number)
        self.daemons[number].resume()
        status = self.daemons[number].terminate(STOP_TIMEOUT_S)
        self.stopped.append((number, since_s, monotonic()))
        # Before it serves, a daemon has nothing to end in order.
        is_excused = status == -signal.SIGTERM and not was_serving
        was_killed = status == -signal.SIGKILL
        if not is_excused and not was_killed:
            self.statuses.append((number, status))

    def start_daemon(self, number: int) -> ManagedProcess:
        """Starts a daemon with a settings file of its own."""
        self.starts[number] = self.starts.get(number, 0) + 1
        return super().start_daemon(number)

    def _is_serving(self, number: int) -> bool:
        """Tells whether a daemon's last life has begun to serve."""
        lines = self.read_log(self.daemons[number])
        serving = sum(line["message"].startswith("serving on") for line in lines)
        return serving >= self.starts[number]

    def kill_runner(self, number: int) -> None:
        """Kills a runner with all that it runs."""
        self.runners[number].kill()
        self.runner_ends.setdefault(str(self.history_path(number)), monotonic())

    def restart_runner(self, number: int) -> None:
        """Starts a new life of a runner that is not running."""
        with self._restarting:
            if not self.runners[number].is_running():
                self.runners[number] = self.start_runner(number)

    def heal(self) -> None:
        """Undoes everything."""
        self.switch_store(busy=False, lost_answers=0)
        for name in self.relays:
            self.switch_relay(name, cut=False, delay_s=0.0, lose_share=0.0)
        for number, runner in enumerate(self.runners):
            runner.resume()
            self.restart_runner(number)
        for number, daemon in enumerate(self.daemons):
            daemon.resume()
            self.restart_daemon(number)

    def read_history(self) -> list[Run]:
        """Reads what all lives of all runners have started and ended; a kill ends what ran."""
        history = []
        for path in self.folder.glob("history-*.jsonl"):
            rows = [json.loads(line) for line in path.read_text().splitlines()]
            life = [(at_s, kind, tuple(name), run) for at_s, kind, name, run in rows]
            ended = {(name, run) for _, kind, name, run in life if kind != "start"}
            killed_s = self.runner_ends.get(str(path))
            if killed_s is not None:
                life += [
                    (killed_s, "killed", name, run)
                    for _, kind, name, run in life
                    if kind == "start" and (name, run) not in ended
                ]
            history += life
        return sorted(history)


Action = Callable[[SoakWorld, int], None]


def _kill_all(world: SoakWorld, _: int) -> None:
    for number in range(len(world.daemons)):
        world.kill_daemon(number)


def _restart_all(world: SoakWorld, _: int) -> None:
    for number in range(len(world.daemons)):
        world.restart_daemon(number)


def _switch(prefix: str, **switches: object) -> Action:
    return lambda world, number: world.switch_relay(f"{prefix}-{number}", **switches)


BEGINNINGS: dict[str, Action] = {
    "kill daemon": SoakWorld.kill_daemon,
    "freeze daemon": SoakWorld.freeze_daemon,
    "stop daemon": SoakWorld.stop_daemon,
    "reload daemon": lambda world, number: world.daemons[number].send_signal(signal.SIGHUP),
    "cut store from daemon": _switch("store", cut=True),
    "silence store to daemon": _switch("store", silent=True),
    "delay store to daemon": _switch("store", delay_s=DELAY_S),
    "kill runner": SoakWorld.kill_runner,
    "freeze runner": lambda world, number: world.runners[number].freeze(),
    "cut runner": _switch("runner", cut=True),
    "silence runner": _switch("runner", silent=True),
    "delay runner": _switch("runner", delay_s=DELAY_S),
    "lose bytes of runner": _switch("runner", lose_share=LOSE_SHARE),
    "store is busy": lambda world, _: world.switch_store(busy=True),
    "store loses answers": lambda world, _: world.switch_store(lost_answers=LOST_ANSWERS),
    "kill all daemons": _kill_all,
}
ENDINGS: dict[str, Action] = {
    "kill daemon": SoakWorld.restart_daemon,
    "freeze daemon": SoakWorld.resume_daemon,
    "stop daemon": SoakWorld.restart_daemon,
    "cut store from daemon": _switch("store", cut=False),
    "delay store to daemon": _switch("store", delay_s=0.0),
    "kill runner": SoakWorld.restart_runner,
    "freeze runner": lambda world, number: world.runners[number].resume(),
    "cut runner": _switch("runner", cut=False),
    "delay runner": _switch("runner", delay_s=0.0),
    "lose bytes of runner": _switch("runner", lose_share=0.0),
    "store is busy": lambda world, _: world.switch_store(busy=False),
    "store loses answers": lambda world, _: world.switch_store(lost_answers=0),
    "kill all daemons": _restart_all,
}
