"""Standard streams and environment variables of the process."""

import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass(slots=True)
class Environment:
    """Standard streams and environment variables, replaceable in tests.

    :param variables: the environment variables; never modified.
    """

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    stdin_is_terminal: bool = False
    stdout_is_terminal: bool = False
    stderr_is_terminal: bool = False
    variables: Mapping[str, str] = field(default_factory=dict)

    @classmethod
    def from_process(cls) -> "Environment":
        """Returns the streams and variables of this process."""
        return cls(
            stdin=sys.stdin,
            stdout=sys.stdout,
            stderr=sys.stderr,
            stdin_is_terminal=sys.stdin.isatty(),
            stdout_is_terminal=sys.stdout.isatty(),
            stderr_is_terminal=sys.stderr.isatty(),
            variables=os.environ,
        )
