"""Steps on the memory of request bodies that are being received."""

import tracemalloc
from types import SimpleNamespace

from anyio import create_task_group, run, sleep
from behave import then, when

from berylproxy.admit.api import _read_body as read_submission
from berylproxy.platform.callers import _read_body as read_job

PART_BYTES, ARRIVED_PARTS = 60_000, 96


async def receive_parts(arrived):
    """Yields the parts that arrive, then waits for the rest.

    :param arrived: gets the memory that the parts have taken.
    """
    before_bytes = tracemalloc.get_traced_memory()[0]
    for _ in range(ARRIVED_PARTS):
        yield b"x" * PART_BYTES
    arrived.append(tracemalloc.get_traced_memory()[0] - before_bytes)
    await sleep(60)


@when("{reader} receives 96 of 100 parts of 60,000 bytes of a body")
def step_receive(context, reader):
    arrived = []
    parts = receive_parts(arrived)

    async def receive():
        return {"type": "http.request", "body": await anext(parts), "more_body": True}

    async def read():
        if reader == "platform":
            await read_job(receive, 100 * PART_BYTES)
        else:
            await read_submission(SimpleNamespace(stream=lambda: parts))

    async def play():
        async with create_task_group() as task_group:
            task_group.start_soon(read)
            while not arrived:  # noqa: ASYNC110
                await sleep(0.01)
            task_group.cancel_scope.cancel()

    tracemalloc.start()
    run(play)
    tracemalloc.stop()
    context.held_bytes = arrived[0]


@then("the parts take 5,760,000 bytes, and 2 % more at most")
def step_held(context):
    expected = PART_BYTES * ARRIVED_PARTS
    assert expected <= context.held_bytes <= 1.02 * expected, context.held_bytes
