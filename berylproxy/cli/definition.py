"""Definition of berylctl's commands and arguments."""

from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Annotated

from cappa import Arg, Subcommands, command


class OutputFormat(StrEnum):
    """Format in which a command prints its result."""

    AUTO = "auto"  # a table on a terminal, JSON otherwise
    JSON = "json"
    TABLE = "table"


@command(name="submit", help="Submit a job and wait for its answer")
@dataclass
class SubmitCommand:
    """Arguments of ``berylctl submit``.

    :param file: JSON file with the fields ``service`` and ``tasks`` of a submission's body.
    """

    file: Annotated[
        Path | None, Arg(help="JSON file of the job; - for standard input", default=None)
    ]
    service: Annotated[str, Arg(long=True, help="Service, if the file does not name it")] = ""
    count: Annotated[
        int, Arg(long=True, help="Generate this many tasks instead of reading a file")
    ] = 0
    run_time_s: Annotated[
        str, Arg(long=True, help="Run time of generated tasks in seconds, as FROM:TO")
    ] = "0.05:1"
    seed: Annotated[int, Arg(long=True, help="Random seed of the generated tasks' run times")] = 0
    timeout_s: Annotated[float, Arg(long=True, help="Abandon the job after this many seconds")] = (
        30.0
    )
    wait_s: Annotated[
        float | None,
        Arg(long=True, help="Wait at most this many seconds; by default until the job ends"),
    ] = None
    repeatable: Annotated[bool, Arg(long=True, help="Tasks may run again after a failure")] = False
    id: Annotated[str, Arg(long=True, help="Attach to an earlier submission of the same job")] = ""


@command(name="request", help="Send a single request and print the endpoint's answer")
@dataclass
class RequestCommand:
    """Arguments of ``berylctl request``."""

    service: Annotated[str, Arg(help="Service that handles the request")]
    file: Annotated[Path | None, Arg(help="File with the body; - for standard input", default=None)]
    timeout_s: Annotated[
        float, Arg(long=True, help="Abandon the request after this many seconds")
    ] = 30.0
    repeatable: Annotated[bool, Arg(long=True, help="The request may run more than once")] = False
    content_type: Annotated[str, Arg(long=True, help="Media type of the body")] = "application/json"
    id: Annotated[
        str, Arg(long=True, help="Attach to an earlier submission of the same request")
    ] = ""


@command(name="status", help="Show a job")
@dataclass
class StatusCommand:
    """Arguments of ``berylctl status``."""

    job: Annotated[str, Arg(help="Identifier of the job")]
    wait_s: Annotated[
        float, Arg(long=True, help="Wait at most this many seconds for the answer")
    ] = 0.0


@command(name="cancel", help="Cancel a job")
@dataclass
class CancelCommand:
    """Arguments of ``berylctl cancel``."""

    job: Annotated[str, Arg(help="Identifier of the job")]


@command(name="apply", help="Apply configuration records")
@dataclass
class ApplyCommand:
    """Arguments of ``berylctl apply``."""

    files: Annotated[
        list[Path],
        Arg(num_args=-1, required=True, help="JSON files of records; - for standard input"),
    ]
    expect_revision: Annotated[
        int | None,
        Arg(long=True, help="Revision that a single record must have; 0 if it must not exist"),
    ] = None


@command(name="get", help="Show the records of a kind, or one of them")
@dataclass
class GetCommand:
    """Arguments of ``berylctl get``."""

    kind: Annotated[str, Arg(help="services, pools, endpoints, teams or failure-domains")]
    name: Annotated[str, Arg(help="Name of the record", default="")]


@command(name="diff", help="Compare records in files with those in force")
@dataclass
class DiffCommand:
    """Arguments of ``berylctl diff``."""

    files: Annotated[list[Path], Arg(num_args=-1, required=True, help="JSON files of records")]


@command(name="delete", help="Delete a record")
@dataclass
class DeleteCommand:
    """Arguments of ``berylctl delete``."""

    kind: Annotated[str, Arg(help="services, pools, endpoints, teams or failure-domains")]
    name: Annotated[str, Arg(help="Name of the record")]
    expect_revision: Annotated[
        int | None, Arg(long=True, help="Revision that the record must have")
    ] = None


@command(name="validate", help="Check records without applying them")
@dataclass
class ValidateCommand:
    """Arguments of ``berylctl validate``."""

    files: Annotated[list[Path], Arg(num_args=-1, required=True, help="JSON files of records")]
    online: Annotated[
        bool, Arg(long=True, help="Also let a daemon check them against the records in force")
    ] = False


@command(name="status", help="Show the daemon, its peers and its endpoints")
@dataclass
class DaemonStatusCommand:
    """Arguments of ``berylctl daemon status``."""


@command(name="daemon", help="Inspect a daemon")
@dataclass
class DaemonCommand:
    """Arguments of ``berylctl daemon``."""

    command: Subcommands[DaemonStatusCommand]


@command(name="usage", help="Show totals of finished work by billed party")
@dataclass
class UsageCommand:
    """Arguments of ``berylctl usage``."""


@command(
    name="explain",
    help="Show the history of a job or request from log lines",
    description="Contacts no daemon: reads collected log lines, ideally those of all daemons.",
)
@dataclass
class ExplainCommand:
    """Arguments of ``berylctl explain``."""

    job: Annotated[str, Arg(help="Identifier of the job or request")]
    files: Annotated[list[Path], Arg(num_args=-1, help="Log files; standard input by default")] = (
        field(default_factory=list)
    )


Command = (
    SubmitCommand
    | RequestCommand
    | StatusCommand
    | CancelCommand
    | ApplyCommand
    | GetCommand
    | DiffCommand
    | DeleteCommand
    | ValidateCommand
    | DaemonCommand
    | UsageCommand
    | ExplainCommand
)


@command(
    name="berylctl",
    help="Submit work to berylproxy and administer it",
    description="Tokens are read from BERYLPROXY_TOKEN; they are never given as an argument.",
)
@dataclass
class Arguments:
    """All arguments of berylctl."""

    command: Subcommands[Command]
    url: Annotated[
        list[str],
        Arg(long=True, propagate=True, help="Base URL of a daemon; repeatable (BERYLPROXY_URL)"),
    ] = field(default_factory=list)
    team: Annotated[
        str, Arg(long=True, propagate=True, help="Submitting team (BERYLPROXY_TEAM)")
    ] = ""
    output: Annotated[
        OutputFormat,
        Arg(long=True, propagate=True, help="Auto is table on a terminal and json otherwise"),
    ] = OutputFormat.AUTO
