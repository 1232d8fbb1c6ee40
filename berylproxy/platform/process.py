"""Runs the platform's daemon with its log and its event loop."""

from collections.abc import Sequence
from socket import socket

from anyio import run
from logbook import Logger

from berylproxy.environment import Environment
from berylproxy.exit_status import ExitStatus
from berylproxy.logs import NonBlockingOutput, make_log_handler
from berylproxy.platform.daemon import PlatformDaemon
from berylproxy.platform.settings import PlatformSettings

logger = Logger("berylproxy.platform")


def run_daemon(
    env: Environment, settings: PlatformSettings, settings_path: str, listeners: Sequence[socket]
) -> ExitStatus:
    """Runs the daemon until a signal stops it.

    :param listeners: listening sockets for callers, readiness probes and operators.
    """
    output = NonBlockingOutput(env.stdout.fileno())
    handler = make_log_handler(output, "info", daemon_id=settings.daemon_id)
    daemon = PlatformDaemon(settings, settings_path, listeners)
    with handler.applicationbound():
        try:
            run(daemon.run, backend_options={"use_uvloop": True})
        except Exception:  # the platform restarts the process; the cause must be in the log
            logger.exception("the daemon failed")
            return ExitStatus.INTERNAL_ERROR
    return ExitStatus.SUCCESS
