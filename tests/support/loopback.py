"""Loopback addresses that no other run of the tests on this machine uses."""

import socket
from functools import cache
from random import sample

FIRST_NETWORK, LAST_NETWORK = 2, 254
LOCK_PORT = 9_464  # any one; all runs have to bind the same


@cache
def claim_network() -> str:
    """Returns the first two bytes of addresses that belong to this process until its end.

    A listening socket on the last address of the network is the claim.

    :raises RuntimeError: if other processes have claimed all networks.
    """
    networks = range(FIRST_NETWORK, LAST_NETWORK + 1)
    for number in sample(networks, len(networks)):
        try:
            _claims.append(socket.create_server((f"127.{number}.255.254", LOCK_PORT)))
        except OSError:
            continue
        return f"127.{number}"
    raise RuntimeError("all loopback networks are in use by other runs of the tests")


_claims: list[socket.socket] = []
