"""Runs berylproxyd: arguments in, exit status out."""

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
from berylproxy.errors import BerylproxyError
from berylproxy.exit_status import ExitStatus
from berylproxy.logs import make_log_handler
from berylproxy.settings import Settings, SettingsError, load_settings


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the daemon until it is told to stop.

    :param args: the arguments without the program's name.
    :param env: the streams and variables to use.
    """
    try:
        settings = load_settings(asdict(parse_arguments(args, env)), env.variables)
    except cappa.Exit as stop:
        return ExitStatus.USAGE_ERROR if stop.code else ExitStatus.SUCCESS
    except SettingsError as error:
        for problem in error.problems:
            env.stderr.write(f"berylproxyd: {error.code}: {problem}\n")
        return ExitStatus.SETTINGS_INVALID
    handler = make_log_handler(env.stderr, settings.log_level, daemon_id=settings.daemon_id)
    with handler.applicationbound():
        return _serve(settings, env)


def parse_arguments(args: Sequence[str], env: Environment) -> Arguments:
    """Parses the flags.

    :raises cappa.Exit: after printing help, the version, or what is wrong with a flag.
    """
    text = StringIO()
    output = cappa.Output(output_console=Console(file=env.stdout), error_console=Console(file=text))
    try:
        return cappa.parse(
            Arguments, argv=list(args), version=__version__, output=output, completion=False
        )
    except cappa.Exit as stop:
        if stop.code:
            env.stderr.write(f"berylproxyd: usage_error: {stop.message}; see berylproxyd --help\n")
        raise


def _serve(settings: Settings, env: Environment) -> ExitStatus:
    try:
        run(Application(settings, env).run)
    except BerylproxyError as error:
        return _tell(error, env)
    except BaseExceptionGroup as group:
        error = _find_told_error(group)
        if error is None:
            raise
        return _tell(error, env)
    return ExitStatus.SUCCESS


def _find_told_error(group: BaseExceptionGroup) -> BerylproxyError | None:
    """Finds the first error of the project in what a task group raised."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            error = _find_told_error(error)
        if isinstance(error, BerylproxyError):
            return error
    return None


def _tell(error: BerylproxyError, env: Environment) -> ExitStatus:
    env.stderr.write(f"berylproxyd: {error.code}: {error.message}; {error.hint}\n")
    return ExitStatus.CANNOT_START
