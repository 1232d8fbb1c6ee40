"""Helpers for the steps on streams and membership, which share one event loop per scenario."""

from contextlib import ExitStack

from anyio import fail_after
from anyio.from_thread import start_blocking_portal
from logbook import TestHandler

from berylproxy.peers.membership import PeerError
from tests.support.peer_networks import (
    STEP_TIMEOUT_S,
    UNLIMITED_S,
    Node,
    Question,
    RawDaemon,
)


def get_portal(context):
    """Returns the scenario's event loop, started on first use together with a log capture."""
    if "peer_portal" not in context:
        stack = ExitStack()
        context.add_cleanup(stack.close)
        context.peer_log = stack.enter_context(TestHandler().applicationbound())
        context.peer_portal = stack.enter_context(start_blocking_portal())
        context.peer_stack = stack
        context.peers = {}
    return context.peer_portal


def call(context, function, *arguments):
    return get_portal(context).call(function, *arguments)


def start(context, run):
    """Runs a service until the scenario ends and returns the value it reports when started."""
    future, value = get_portal(context).start_task(run)
    context.peer_stack.callback(future.cancel)
    return value


def start_node(context, name, **settings):
    get_portal(context)
    values = {"heartbeat_interval_s": 0.1, "handshake_timeout_s": STEP_TIMEOUT_S} | settings

    async def make():
        return Node(name, **values)

    node = call(context, make)
    start(context, node.run)
    context.peers[name] = node
    return node


def start_pair(context, first, second, **settings):
    one = start_node(context, first, **settings)
    other = start_node(context, second, addresses=(one.address,), **settings)
    wait(context, one, lambda: one.has_live_stream_to(other))
    wait(context, other, lambda: other.has_live_stream_to(one))
    return one, other


def wait(context, node, condition):
    call(context, node.wait_until, condition)


def send_question(context, name, incarnation, text, timeout_s=UNLIMITED_S):
    context.peer_answer = context.peer_error = None
    network = context.peers[name].network

    async def request():
        with fail_after(STEP_TIMEOUT_S):
            return await network.request(incarnation, Question(text), timeout_s)

    try:
        context.peer_answer = call(context, request)
    except PeerError as error:
        context.peer_error = error


def start_raw_member(context, name, on_questions, **settings):
    node = start_node(context, name, **settings)

    async def make():
        return RawDaemon("raw", on_questions)

    raw = call(context, make)
    address = start(context, raw.run)
    call(context, node.network.add_address, address)
    wait(context, node, lambda: node.has_live_stream_to(raw_as_node(raw)))
    context.raw_member = raw
    return raw


def raw_as_node(raw):
    return type("Known", (), {"incarnation": raw.identity.incarnation})
