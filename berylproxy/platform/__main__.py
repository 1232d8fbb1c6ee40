"""Runs ``python -m berylproxy.platform``.

The listening sockets are opened before most modules are imported. After the loss of a VM's power,
its callers' connections then wait for the daemon and are not reset.
"""

import gc
import sys

from berylproxy.environment import Environment
from berylproxy.errors import SettingsError
from berylproxy.exit_status import ExitStatus
from berylproxy.listeners import AddressUnavailableError, open_listener
from berylproxy.platform.settings import SETTINGS_VARIABLE, load_platform_settings
from berylproxy.signals import hold_signals

# New objects until the next collection. Reference counting frees nearly all of them at once, so
# that the default of 700 costs processor time and finds little.
COLLECTION_THRESHOLD = 20_000


def main(env: Environment) -> ExitStatus:
    """Loads the settings and runs the daemon until a signal stops it."""
    hold_signals()
    path = env.variables.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_platform_settings(path)
        addresses = (settings.callers_address, settings.ready_address, settings.metrics_address)
        listeners = [open_listener(address) for address in addresses]
    except SettingsError as error:
        for problem in error.problems:
            env.stderr.write(f"berylproxy: {error.code}: {problem}\n")
        return ExitStatus.SETTINGS_INVALID
    except AddressUnavailableError as error:
        env.stderr.write(f"berylproxy: {error.code}: {error.message}\n")
        return ExitStatus.CANNOT_START
    from berylproxy.platform.process import run_daemon

    gc.freeze()  # the modules stay for good and need not be examined again
    gc.set_threshold(COLLECTION_THRESHOLD)
    return run_daemon(env, settings, path, listeners)


if __name__ == "__main__":
    sys.exit(main(Environment.from_process()))
