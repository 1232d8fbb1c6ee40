"""Runs a case and ends with its exit status."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from support.record import Record
from support.rules import describe

TIME_LIMIT_S = 115.0

Case = Callable[[Record, bool], Awaitable[list[str]]]


class CannotRunError(Exception):
    """The case could not bring about what it is meant to show."""


def play(folder: Path, case: Case) -> int:
    """Plays a case, writes its record, and returns 1 if a rule was broken, else 0; 2 if it can't.

    :param case: called with the record and whether to disrupt; returns what broke a rule.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("with the disruption" if has_trouble else "without the disruption (TROUBLE=0)")
    try:
        broken = asyncio.run(_play_in_time(case, record, has_trouble))
    except (Exception, asyncio.CancelledError) as error:
        record.note(f"could not run: {error!r}")
        traceback.print_exc(file=sys.stderr)
        return 2
    else:
        record.note(f"RESULT: {describe(broken) or 'the rule held'}")
        print(describe(broken) or "the rule held")
        return 1 if broken else 0
    finally:
        record.write()


async def _play_in_time(case: Case, record: Record, has_trouble: bool) -> list[str]:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(TIME_LIMIT_S):
        return await case(record, has_trouble)
