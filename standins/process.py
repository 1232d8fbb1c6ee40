"""Starts stand-ins and daemons as child processes, for tests and the demonstration."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from selectors import EVENT_READ, DefaultSelector
from time import monotonic
from types import TracebackType
from typing import Any, Self

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
READ_BYTES = 4096


class ProcessStartError(Exception):
    """The process ended or timed out before its first line, or that line was not JSON."""


class ManagedProcess:
    """A child process that prints one JSON object as its first line once it is ready.

    :param name: names the file of the error output, ``<folder>/<name>.stderr``.
    :param arguments: arguments of the Python interpreter, such as ``["-m", "standins.store"]``.
    :param environment: variables added to the parent's environment.

    Example::

        with ManagedProcess("store", ["-m", "standins.store"], folder) as store:
            url = f"http://127.0.0.1:{store.announced['port']}"
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        folder: Path,
        *,
        environment: dict[str, str] | None = None,
        start_timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.stderr_path = folder / f"{name}.stderr"
        self.environment = environment or {}
        self.start_timeout_s = start_timeout_s
        self.announced: dict[str, Any] = {}
        self.child: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.kill()

    @property
    def pid(self) -> int:
        """Process identifier of the child, also after its end."""
        assert self.child is not None, f"{self.name} was not started"
        return self.child.pid

    @property
    def url(self) -> str:
        """Base URL of the announced port."""
        return f"http://127.0.0.1:{self.announced['port']}"

    @property
    def control_url(self) -> str:
        """Base URL of the announced control port, or of the port if there is only one."""
        return f"http://127.0.0.1:{self.announced.get('control_port', self.announced['port'])}"

    def start(self) -> None:
        """Starts the process and waits for its first line.

        :raises ProcessStartError: if the line is not printed in time or is not JSON, with the
            process's error output.
        """
        with self.stderr_path.open("ab") as stderr:
            self.child = subprocess.Popen(
                [sys.executable, *self.arguments],
                cwd=ROOT,
                env=os.environ | self.environment,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=stderr,
            )
        try:
            self.announced = json.loads(self.read_first_line())
        except (ProcessStartError, ValueError) as error:
            self.kill()
            output = self.stderr_path.read_text(errors="replace")
            raise ProcessStartError(f"{self.name}: {error}\n{output}") from error

    def read_first_line(self) -> bytes:
        """Returns the first line of the child's standard output.

        :raises ProcessStartError: if the child prints no line in time or ends before.
        """
        assert self.child is not None and self.child.stdout is not None
        output = self.child.stdout.fileno()
        deadline = monotonic() + self.start_timeout_s
        received = b""
        with DefaultSelector() as selector:
            selector.register(output, EVENT_READ)
            while b"\n" not in received:
                if not selector.select(max(deadline - monotonic(), 0.0)):
                    raise ProcessStartError(f"printed no line within {self.start_timeout_s} s")
                chunk = os.read(output, READ_BYTES)
                if not chunk:
                    raise ProcessStartError("ended before it printed its first line")
                received += chunk
        return received.partition(b"\n")[0]

    def is_running(self) -> bool:
        """Returns whether the process has been started and has not ended."""
        return self.child is not None and self.child.poll() is None

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Sends SIGTERM, waits for the end of the process and returns its exit status.

        :raises subprocess.TimeoutExpired: if the process does not end in time; it is left running.
        """
        self.send_signal(signal.SIGTERM)
        return self.wait(timeout_s)

    def kill(self) -> None:
        """Sends SIGKILL, if the process is running, and waits for its end."""
        if self.child is None:
            return
        self.send_signal(signal.SIGKILL)
        self.wait(STOP_TIMEOUT_S)

    def freeze(self) -> None:
        """Suspends the process with SIGSTOP until :meth:`resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a frozen process."""
        self.send_signal(signal.SIGCONT)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal unless the process has ended."""
        if self.is_running():
            os.kill(self.pid, number)

    def wait(self, timeout_s: float) -> int:
        """Waits for the end of the process and returns its exit status.

        :raises subprocess.TimeoutExpired: if the process does not end in time.
        """
        assert self.child is not None
        status = self.child.wait(timeout_s)
        if self.child.stdout is not None:
            self.child.stdout.close()
        return status
