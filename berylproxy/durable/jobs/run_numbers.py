"""Run numbers of tasks: each start of a task has a higher one, also under later holders.

Runs of durable tasks are numbered by the fence of their holder, so that they can be told from those
of best-effort tasks where only a name and a run number are known.
"""

RUN_NUMBERS_PER_TENURE = 64
LEAST_CLAIM_FENCE = 16  # of a claim at the store's first revision


def first_durable_run(fence: int) -> int:
    """Returns the lower bound of a tenure's run numbers of durable tasks."""
    return fence * RUN_NUMBERS_PER_TENURE


def may_be_durable(run: int) -> bool:
    """Returns whether a run may be one of a durable task.

    Daemons of earlier versions number the first runs of durable tasks from 1.
    """
    return run >= first_durable_run(LEAST_CLAIM_FENCE)
