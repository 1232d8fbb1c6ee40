"""Parses berylctl's arguments, runs the command and returns the exit status."""

from collections.abc import Awaitable, Callable, Sequence
from io import StringIO
from typing import Any

import cappa
from anyio import run
from rich.console import Console

from berylproxy import __version__
from berylproxy.cli.context import Context, make_context
from berylproxy.cli.definition import (
    ApplyCommand,
    Arguments,
    CancelCommand,
    DaemonCommand,
    DeleteCommand,
    DiffCommand,
    ExplainCommand,
    GetCommand,
    RequestCommand,
    StatusCommand,
    SubmitCommand,
    UsageCommand,
    ValidateCommand,
)
from berylproxy.cli.errors import CommandError, UsageError, choose_exit_status, format_error
from berylproxy.cli.explain import run_explain
from berylproxy.cli.jobs import run_cancel, run_request, run_status, run_submit
from berylproxy.cli.records import (
    run_apply,
    run_daemon_status,
    run_delete,
    run_diff,
    run_get,
    run_usage,
    run_validate,
)
from berylproxy.environment import Environment
from berylproxy.errors import BerylproxyError
from berylproxy.exit_status import ExitStatus

Handler = Callable[[Any, Context], Awaitable[ExitStatus]]
HANDLERS: dict[type, Handler] = {
    SubmitCommand: run_submit,
    RequestCommand: run_request,
    StatusCommand: run_status,
    CancelCommand: run_cancel,
    ApplyCommand: run_apply,
    GetCommand: run_get,
    DiffCommand: run_diff,
    DeleteCommand: run_delete,
    ValidateCommand: run_validate,
    DaemonCommand: run_daemon_status,
    UsageCommand: run_usage,
    ExplainCommand: run_explain,
}


class InterruptedByUserError(CommandError):
    """The user interrupted the command."""

    code = "interrupted"


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs one command and returns its exit status.

    :param args: command-line arguments without the program's name.
    :param env: standard streams and environment variables to use.
    """
    try:
        arguments = parse_arguments(args, env)
        if arguments is None:
            return ExitStatus.SUCCESS
        context = make_context(arguments, env)
        return run(HANDLERS[type(arguments.command)], arguments.command, context)
    except BerylproxyError as error:
        env.stderr.write(format_error(error) + "\n")
        return choose_exit_status(error)
    except KeyboardInterrupt:
        error = InterruptedByUserError("interrupted; submitted work may still be running")
        env.stderr.write(format_error(error) + "\n")
        return ExitStatus.INTERRUPTED


def parse_arguments(args: Sequence[str], env: Environment) -> Arguments | None:
    """Parses the arguments; returns ``None`` after printing the help or the version.

    :raises UsageError: if the arguments are invalid.
    """
    console = Console(file=env.stdout, force_terminal=env.stdout_is_terminal)
    # Cappa prints its errors on several lines. They are discarded here, and reported on one line
    # like all other errors of berylctl.
    output = cappa.Output(output_console=console, error_console=Console(file=StringIO()))
    try:
        return cappa.parse(
            Arguments, argv=list(args), version=__version__, completion=False, output=output
        )
    except cappa.Exit as error:
        if error.code == ExitStatus.SUCCESS:
            return None
        raise UsageError(_describe_usage_error(error), hint="berylctl --help") from error


def _describe_usage_error(error: cappa.Exit) -> str:
    message = str(error.message)
    if message.startswith("A command is required"):
        return "a command is required"  # leaves out the list of commands, which --help prints
    return message
