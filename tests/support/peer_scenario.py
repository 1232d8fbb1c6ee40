"""What the steps of the streams and of the membership share: one event loop for a scenario."""

from contextlib import ExitStack

from anyio import fail_after
from anyio.from_thread import start_blocking_portal
from logbook import TestHandler

from berylproxy.peers.membership import PeerError
from tests.support.peer_networks import (
    GUARD_S,
    NEVER_S,
    Node,
    Question,
    RawDaemon,
)


def portal_of(context):
    """Starts the event loop of a scenario, and the log that it writes."""
    if "peer_portal" not in context:
        stack = ExitStack()
        context.add_cleanup(stack.close)
        context.peer_log = stack.enter_context(TestHandler().applicationbound())
        context.peer_portal = stack.enter_context(start_blocking_portal())
        context.peer_stack = stack
        context.peers = {}
    return context.peer_portal


def call(context, function, *arguments):
    return portal_of(context).call(function, *arguments)


def start(context, run):
    """Runs a service until the scenario ends and returns what it reports at its start."""
    future, value = portal_of(context).start_task(run)
    context.peer_stack.callback(future.cancel)
    return value


def start_node(context, name, **settings):
    portal_of(context)
    values = {"heartbeat_interval_s": 0.1, "handshake_timeout_s": GUARD_S} | settings

    async def make():
        return Node(name, **values)

    node = call(context, make)
    start(context, node.run)
    context.peers[name] = node
    return node


def start_pair(context, first, second, **settings):
    one = start_node(context, first, **settings)
    other = start_node(context, second, addresses=(one.address,), **settings)
    wait(context, one, lambda: one.knows(other))
    wait(context, other, lambda: other.knows(one))
    return one, other


def wait(context, node, condition):
    call(context, node.wait_until, condition)


def ask(context, name, incarnation, text, timeout_s=NEVER_S):
    context.peer_answer = context.peer_error = None
    network = context.peers[name].network

    async def request():
        with fail_after(GUARD_S):
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
    wait(context, node, lambda: node.knows(raw_as_node(raw)))
    context.peer_raw = raw
    return raw


def raw_as_node(raw):
    return type("Known", (), {"incarnation": raw.identity.incarnation})
