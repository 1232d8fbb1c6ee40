"""Runs ``python -m berylproxy.platform``."""

import gc
import sys

from anyio import run
from logbook import Logger

from berylproxy.environment import Environment
from berylproxy.errors import SettingsError
from berylproxy.exit_status import ExitStatus
from berylproxy.logs import NonBlockingOutput, make_log_handler
from berylproxy.platform.daemon import PlatformDaemon
from berylproxy.platform.settings import SETTINGS_VARIABLE, load_platform_settings

# New objects until the next collection. Reference counting frees nearly all of them at once, so
# that the default of 700 costs processor time and finds little.
COLLECTION_THRESHOLD = 20_000

logger = Logger(__name__)


def main(env: Environment) -> ExitStatus:
    """Loads the settings and runs the daemon until a signal stops it."""
    path = env.variables.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_platform_settings(path)
    except SettingsError as error:
        for problem in error.problems:
            env.stderr.write(f"berylproxy: {error.code}: {problem}\n")
        return ExitStatus.SETTINGS_INVALID
    output = NonBlockingOutput(env.stdout.fileno())
    gc.freeze()  # the modules stay for good and need not be examined again
    gc.set_threshold(COLLECTION_THRESHOLD)
    handler = make_log_handler(output, "info", daemon_id=settings.daemon_id)
    with handler.applicationbound():
        try:
            run(PlatformDaemon(settings, path).run, backend_options={"use_uvloop": True})
        except Exception:  # the platform restarts the process; the cause must be in the log
            logger.exception("the daemon failed")
            return ExitStatus.INTERNAL_ERROR
    return ExitStatus.SUCCESS


if __name__ == "__main__":
    sys.exit(main(Environment.from_process()))
