"""Settings of the streams and of the membership."""

from dataclasses import dataclass
from ipaddress import ip_address

from berylproxy.peers.errors import PeerSettingsError

MIN_KEY_BYTES = 16
MAX_KEYS = 2
MAX_PORT = 65_535
LOOPBACK_NAME = "localhost"


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """How a daemon talks to the others.

    :param listen_address: ``host:port`` to listen on; port 0 lets the kernel pick.
    :param addresses: ``host:port`` of daemons to begin with.
    :param cluster: name of the cluster; daemons of other clusters are refused.
    :param keys: shared keys; two while one is being replaced, none on loopback only.
    :param heartbeat_interval_s: time between two rounds of heartbeats.
    :param heartbeats_per_interval: how many members get a heartbeat in one round.
    :param heartbeat_timeout_s: time for the reply to a heartbeat.
    :param indirect_timeout_s: further time in which other daemons are asked about the member.
    :param indirect_probes: how many other daemons are asked.
    :param dead_after_s: time from suspicion to giving up.
    :param forget_after_s: time from giving up to forgetting.
    :param redial_min_delay_s: first delay before an address is dialled again.
    :param redial_max_delay_s: bound of that delay.
    :param handshake_timeout_s: time for connecting and, again, for the handshake.
    :param max_handshakes: how many accepted connections may be in their handshake at once.
    :param max_message_bytes: the largest frame accepted.
    :param max_queued_bytes: bound of what waits to be written to one stream.
    :param max_running_requests: how many requests of one stream are handled at once.
    """

    listen_address: str
    addresses: tuple[str, ...] = ()
    cluster: str = "berylproxy"
    keys: tuple[bytes, ...] = ()
    heartbeat_interval_s: float = 1.0
    heartbeats_per_interval: int = 4
    heartbeat_timeout_s: float = 1.0
    indirect_timeout_s: float = 1.5
    indirect_probes: int = 3
    dead_after_s: float = 4.0
    forget_after_s: float = 7200.0
    redial_min_delay_s: float = 0.1
    redial_max_delay_s: float = 10.0
    handshake_timeout_s: float = 2.0
    max_handshakes: int = 64
    max_message_bytes: int = 8 * 1024 * 1024
    max_queued_bytes: int = 16 * 1024 * 1024
    max_running_requests: int = 4096

    def __post_init__(self) -> None:
        host, _ = split_address(self.listen_address)
        if not self.keys and not is_loopback(host):
            raise PeerSettingsError(
                f"peer address {self.listen_address!r} is not a loopback address and needs a key",
                hint="set a shared key of at least 16 bytes on every daemon",
            )
        if len(self.keys) > MAX_KEYS:
            raise PeerSettingsError(f"{len(self.keys)} shared keys given, at most {MAX_KEYS} work")
        if any(len(key) < MIN_KEY_BYTES for key in self.keys):
            raise PeerSettingsError(f"a shared key is shorter than {MIN_KEY_BYTES} bytes")


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``; the host is an IP number, of IPv6 in brackets, or ``localhost``."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    is_port = port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= MAX_PORT
    if not is_port or not _is_host(host):
        raise PeerSettingsError(f"{address!r} is not host:port with an IP number as host")
    return host, int(port)


def join_address(host: str, port: int) -> str:
    """Makes ``host:port``, with brackets around an IPv6 host."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def is_loopback(host: str) -> bool:
    """Tells whether the host is this machine's loopback."""
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return host == LOOPBACK_NAME


def _is_host(host: str) -> bool:
    if host == LOOPBACK_NAME:
        return True
    try:
        ip_address(host)
    except ValueError:
        return False
    return True
