"""Entry point of berylproxyd: parses the arguments, runs the daemon, returns the exit status."""

from collections.abc import Sequence
from dataclasses import asdict
from io import StringIO

import cappa
from anyio import run
from rich.console import Console

from berylproxy import __version__
from berylproxy.daemon.application import Application
from berylproxy.daemon.definition import Arguments
from berylproxy.environment import Environment
from berylproxy.errors import BerylproxyError, SettingsError
from berylproxy.exit_status import ExitStatus
from berylproxy.logs import make_log_handler
from berylproxy.settings import Settings, load_settings


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the daemon until it receives a stop signal.

    :param args: command-line arguments without the program's name.
    :param env: standard streams and environment variables to use.
    """
    try:
        settings = load_settings(asdict(parse_arguments(args, env)), env.variables)
    except cappa.Exit as cappa_exit:
        return ExitStatus.USAGE_ERROR if cappa_exit.code else ExitStatus.SUCCESS
    except SettingsError as error:
        for problem in error.problems:
            env.stderr.write(f"berylproxyd: {error.code}: {problem}\n")
        return ExitStatus.SETTINGS_INVALID
    handler = make_log_handler(env.stderr, settings.log_level, daemon_id=settings.daemon_id)
    with handler.applicationbound():
        return _serve(settings, env)


def parse_arguments(args: Sequence[str], env: Environment) -> Arguments:
    """Parses the command-line flags.

    :raises cappa.Exit: after printing the help, the version or an error message about a flag.
    """
    discarded_output = StringIO()
    output = cappa.Output(
        output_console=Console(file=env.stdout), error_console=Console(file=discarded_output)
    )
    try:
        return cappa.parse(
            Arguments, argv=list(args), version=__version__, output=output, completion=False
        )
    except cappa.Exit as cappa_exit:
        if cappa_exit.code:
            env.stderr.write(
                f"berylproxyd: usage_error: {cappa_exit.message}; see berylproxyd --help\n"
            )
        raise


def _serve(settings: Settings, env: Environment) -> ExitStatus:
    try:
        run(Application(settings, env).run)
    except BerylproxyError as error:
        return _report_startup_error(error, env)
    except BaseExceptionGroup as group:
        error = _find_berylproxy_error(group)
        if error is None:
            raise
        return _report_startup_error(error, env)
    return ExitStatus.SUCCESS


def _find_berylproxy_error(group: BaseExceptionGroup) -> BerylproxyError | None:
    """Returns the first :class:`BerylproxyError` in a group or its nested groups, else ``None``."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            error = _find_berylproxy_error(error)
        if isinstance(error, BerylproxyError):
            return error
    return None


def _report_startup_error(error: BerylproxyError, env: Environment) -> ExitStatus:
    env.stderr.write(f"berylproxyd: {error.code}: {error.message}; {error.hint}\n")
    return ExitStatus.CANNOT_START
