"""Runs one peer network in its own process and prints the status changes it sees as JSON lines."""

import json
import os
import sys

import anyio
from logbook import Logger, NullHandler

from berylproxy.models import DaemonIdentity
from berylproxy.peers.network import TcpPeerNetwork
from berylproxy.peers.settings import PeerSettings
from tests.support.peer_networks import CODEC, KEY, LOOPBACK


def write_line(**values):
    print(json.dumps(values), flush=True)


async def main(name, address):
    settings = PeerSettings(
        LOOPBACK,
        addresses=(address,),
        keys=(KEY,),
        heartbeat_interval_s=0.2,
        redial_max_delay_s=0.2,
    )
    identity = DaemonIdentity(name, os.urandom(6).hex(), "domain-1", "")
    network = TcpPeerNetwork(identity, settings, CODEC, Logger(name))
    rounds = iter(range(1_000_000))
    network.add_heartbeat_part("rounds", lambda: {"count": next(rounds)})
    network.on_change(
        lambda member: write_line(
            incarnation=member.identity.incarnation, status=member.status.value
        )
    )
    write_line(own=identity.incarnation)
    await network.run()


if __name__ == "__main__":
    NullHandler().push_application()
    anyio.run(main, *sys.argv[1:3])
