"""Steps that play answers of the platform's store to its client."""

from time import monotonic
from typing import Any

from anyio import create_task_group, run, sleep
from anyio.lowlevel import checkpoint
from behave import given, then, when

from berylproxy.http_exchange import HttpResponse
from berylproxy.platform.store import PlatformStore
from berylproxy.store.port import StoreUnavailableError

WATCH_S = 0.05


class PlayedCalls:
    """Takes the place of the HTTP client; watches last for :data:`WATCH_S`.

    :ivar status: status of the answers to other calls.
    """

    def __init__(self) -> None:
        self.status = 200

    async def call(self, method: str, target: str, *_: Any, **__: Any) -> HttpResponse:
        sent_s = monotonic()
        if "kv-watch" in target:
            await sleep(WATCH_S)
            return HttpResponse(200, b"{}", sent_s, monotonic())
        await checkpoint()
        return HttpResponse(self.status, b"{}", sent_s, monotonic())


async def play(context) -> None:
    """Plays the actions of the steps and notes after each whether the store is reachable."""
    calls = PlayedCalls()
    store = PlatformStore("127.0.0.1:1")
    store._http = store._watches = calls  # type: ignore[assignment]

    async def read(status: int) -> None:
        calls.status = status
        try:
            await store.read_page("a/")
        except StoreUnavailableError:
            assert status != 200

    async with create_task_group() as task_group:
        for action in context.store_actions:
            if action == "watch":
                task_group.start_soon(store.wait_for_changes, "a/", 1, WATCH_S)
                await checkpoint()
            elif action == "end of watch":
                await sleep(2 * WATCH_S)
            else:
                await read(200 if action == "answer" else 503)
        context.is_reachable = store.is_reachable


@given("a client of the platform's store that watches for changes")
def step_impl(context):
    context.store_actions = ["watch"]


@given("a client of the platform's store")
def step_impl(context):
    context.store_actions = []


@when("the store refuses two calls")
def step_impl(context):
    context.store_actions += ["refusal", "refusal"]


@when("the client watches for changes")
def step_impl(context):
    context.store_actions.append("watch")


@when("the watch ends without changes")
def step_impl(context):
    context.store_actions.append("end of watch")


@when("the store answers a call")
def step_impl(context):
    context.store_actions.append("answer")


@then("the store counts as {state}")
def step_impl(context, state):
    run(play, context)
    assert context.is_reachable is (state == "reachable"), context.is_reachable
