"""Steps for the membership maintained over the streams."""

import json
import signal
import subprocess
import sys
from pathlib import Path
from time import sleep

from behave import given, then, when

from berylproxy.peers.errors import PeerHandshakeError
from berylproxy.peers.membership import MemberStatus
from tests.support.peer_networks import (
    UNLIMITED_S,
    Answer,
    Relay,
    dial_raw,
)
from tests.support.peer_scenario import (
    call,
    send_question,
    start,
    start_node,
    wait,
)

SAMPLE_INTERVAL_S = 0.02
ROOT = Path(__file__).resolve().parents[2]


@given('peers "{first}" and "{second}" that know only "{known}"')
def step_known_through(context, first, second, known):
    address = start_node(context, known).address
    for name in (first, second):
        start_node(context, name, addresses=(address,))


@then('"{first}" and "{second}" get streams to each other')
def step_streams_to_each_other(context, first, second):
    one, other = context.peers[first], context.peers[second]
    wait(context, one, lambda: one.has_live_stream_to(other))
    wait(context, other, lambda: other.has_live_stream_to(one))


@when('"{name}" provides the state {value:d} under "{component}"')
def step_provide(context, name, value, component):
    network = context.peers[name].network
    call(context, network.add_heartbeat_part, component, lambda: {"value": value})


@then('"{name}" sees the state {value:d} of "{other}" under "{component}"')
def step_sees_state(context, name, value, other, component):
    node = context.peers[name]
    expected = {component: {"value": value}}
    wait(context, node, lambda: any(m.heartbeat == expected for m in node.network.members()))


@given('peers "{first}" and "{second}" whose streams run through relays')
def step_relayed(context, first, second):
    context.peer_relays = [Relay(), Relay()]
    addresses = [start(context, relay.run) for relay in context.peer_relays]
    nodes = []
    for index, name in enumerate((first, second)):
        nodes.append(
            start_node(
                context,
                name,
                advertised=addresses[index],
                addresses=(addresses[1 - index],),
                heartbeat_timeout_s=0.3,
                indirect_timeout_s=0.3,
                dead_after_s=30.0,
            )
        )
        context.peer_relays[index].target = nodes[index].address
    for one, other in (nodes, reversed(nodes)):
        wait(context, one, lambda one=one, other=other: one.has_live_stream_to(other))


@when("the relays drop all data of the open connections")
def step_drop_data(context):
    context.peer_links = {name: dict(node.network._dialled) for name, node in context.peers.items()}
    for relay in context.peer_relays:
        call(context, relay.blackhole_open_connections)


@then("both peers get new streams and a request passes")
def step_new_streams(context):
    nodes = list(context.peers.values())
    for one, other in (nodes, nodes[::-1]):
        old = context.peer_links[one.name][other.incarnation]

        def has_new(one=one, other=other, old=old):
            return (
                one.has_live_stream_to(other) and one.network._dialled[other.incarnation] is not old
            )

        wait(context, one, has_new)
        send_question(context, one.name, other.incarnation, "hello")
        assert context.peer_answer == Answer("hello"), context.peer_error


@then("neither peer has ever been considered dead")
def step_never_dead(context):
    for node in context.peers.values():
        assert MemberStatus.DEAD not in [status for _, status in node.statuses], node.statuses


@when('"{name}" is restarted under the same name')
def step_restart(context, name):
    context.replaced_peer = context.peers[name]
    call(context, context.replaced_peer.stop)
    others = tuple(n.address for n in context.peers.values() if n is not context.replaced_peer)
    start_node(context, name, addresses=others, dead_after_s=UNLIMITED_S)


@then('"{name}" considers the old incarnation of "{other}" dead and the new one alive')
def step_restarted(context, name, other):
    node, new, old = context.peers[name], context.peers[other], context.replaced_peer
    wait(context, node, lambda: node.status_of(old.incarnation) is MemberStatus.DEAD)
    wait(context, node, lambda: node.has_live_stream_to(new))
    current = [member.identity.incarnation for member in node.network.members()]
    assert current == [new.incarnation], current


@then('a handshake of the old incarnation of "{other}" with "{name}" is refused')
def step_old_refused(context, other, name):
    try:
        call(context, dial_raw, context.peers[name].address, context.replaced_peer.network.identity)
    except PeerHandshakeError as error:
        assert "newer incarnation" in error.message, error.message
        return
    raise AssertionError("the handshake succeeded")


@when('"{name}" is stopped without a leave notice')
def step_stop(context, name):
    call(context, context.peers[name].stop)


@then('"{name}" considers "{other}" {status:w}')
def step_considers(context, name, other, status):
    node, incarnation = context.peers[name], context.peers[other].incarnation
    wait(context, node, lambda: node.status_of(incarnation) == status)
    seen = [s for i, s in node.statuses if i == incarnation]
    assert status == "dead" or "dead" not in seen, seen


@when('"{name}" announces that it leaves')
def step_leave(context, name):
    call(context, context.peers[name].network.announce_leaving)


@then('"{name}" considers "{other}" alive but not ready')
def step_not_ready(context, name, other):
    node, incarnation = context.peers[name], context.peers[other].incarnation
    entry = node.network.table.get(incarnation)
    wait(context, node, lambda: entry.leaving and not entry.member.ready)
    assert entry.member.status is MemberStatus.ALIVE, entry


@then('"{name}" does not dial "{other}" any more')
def step_not_dialled(context, name, other):
    addresses = context.peers[name].network._dialler.addresses()
    assert context.peers[other].address not in addresses, addresses


@given('a peer "{name}" and a peer process "{process}" that know each other')
def step_peer_process(context, name, process):
    node = start_node(
        context, name, heartbeat_timeout_s=0.5, indirect_timeout_s=0.5, dead_after_s=2.0
    )
    command = [sys.executable, "-m", "tests.support.peer_process", process, node.address]
    child = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    context.peer_stack.callback(child.stdout.close)
    context.peer_stack.callback(child.wait)
    context.peer_stack.callback(child.kill)
    context.peer_process = child
    context.frozen_incarnation = json.loads(child.stdout.readline())["own"]
    wait(context, node, lambda: node.status_of(context.frozen_incarnation) is MemberStatus.ALIVE)
    wait(context, node, lambda: rounds_of(node, context.frozen_incarnation) > 2)


def rounds_of(node, incarnation):
    heartbeat = node.network.table.get(incarnation).member.heartbeat
    return heartbeat.get("rounds", {}).get("count", 0)


@when('the process is frozen until "{name}" considers it dead')
def step_freeze(context, name):
    node = context.peers[name]
    context.peer_process.send_signal(signal.SIGSTOP)
    wait(context, node, lambda: node.status_of(context.frozen_incarnation) is MemberStatus.DEAD)


@when("the process is resumed")
def step_resume(context):
    context.peer_process.send_signal(signal.SIGCONT)


@then('"{name}" considers the process alive again')
def step_alive_again(context, name):
    node, frozen = context.peers[name], context.frozen_incarnation
    wait(context, node, lambda: node.status_of(frozen) is MemberStatus.ALIVE)
    rounds = rounds_of(node, frozen)
    wait(context, node, lambda: rounds_of(node, frozen) > rounds + 3)


@then('the process has never considered "{name}" suspect or dead')
def step_never_suspected(context, name):
    context.peer_process.kill()
    lines = [json.loads(line) for line in context.peer_process.stdout]
    seen = [line["status"] for line in lines if line["incarnation"]]
    assert seen and set(seen) == {"alive"}, seen


@given("{count:d} peers that each send a heartbeat to one member every {interval:g} s")
def step_many(context, count, interval):
    settings = {"heartbeat_interval_s": interval, "heartbeats_per_interval": 1}
    first = start_node(context, "peer-0", **settings)
    for number in range(1, count):
        start_node(context, f"peer-{number}", addresses=(first.address,), **settings)
    last = context.peers[f"peer-{count - 1}"]
    wait(context, first, lambda: len(first.network.members()) == count - 1)
    wait(context, first, lambda: first.has_live_stream_to(last))
    context.pair = first, last


@when("the first peer prioritizes the last peer")
def step_prioritize(context):
    first, last = context.pair
    call(context, first.network.prioritize_members, lambda: [last.incarnation])
    sleep(2 * first.settings.heartbeat_interval_s)


@then("for {duration:g} s the first peer receives a message from the last peer every {bound:g} s")
def step_messages_received(context, duration, bound):
    first, last = context.pair
    longest_s = 0.0
    for _ in range(int(duration / SAMPLE_INTERVAL_S)):
        sleep(SAMPLE_INTERVAL_S)
        longest_s = max(
            longest_s, call(context, first.network.time_since_message_s, last.incarnation)
        )
    assert longest_s <= bound, longest_s
