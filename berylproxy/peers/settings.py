"""Settings of the streams between daemons and of the membership."""

from dataclasses import dataclass
from ipaddress import ip_address

from berylproxy.peers.errors import PeerSettingsError

MIN_KEY_BYTES = 16
MAX_KEYS = 2
MAX_PORT = 65_535
LOOPBACK_NAME = "localhost"


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Settings of one daemon's streams and membership.

    :param listen_address: ``host:port`` to listen on; with port 0 the kernel picks a free port.
    :param addresses: ``host:port`` of the daemons to dial at startup.
    :param cluster: name of the cluster; daemons of other clusters are refused.
    :param keys: shared keys; two while one is being replaced. Without a key only loopback
        addresses are allowed.
    :param heartbeat_interval_s: time between two rounds of heartbeats.
    :param heartbeats_per_interval: number of members that get a heartbeat in one round.
    :param heartbeat_timeout_s: time for the reply to a heartbeat.
    :param indirect_timeout_s: further time for probing the member through other daemons.
    :param indirect_probes: number of other daemons that probe the member.
    :param dead_after_s: time after which a suspect member is declared dead.
    :param forget_after_s: time after which a dead member is removed.
    :param redial_min_delay_s: first delay before an address is redialled.
    :param redial_max_delay_s: maximum of that delay, which doubles with each attempt.
    :param handshake_timeout_s: time limit for connecting, and another one for the handshake.
    :param max_handshakes: maximum number of accepted connections in their handshake at once.
    :param max_message_bytes: maximum size of a frame.
    :param max_queued_bytes: maximum size of the data queued for one stream.
    :param max_running_requests: maximum number of requests of one stream handled at once.
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
                f"listening on {self.listen_address!r} needs a shared key: it is not a loopback"
                " address",
                hint="set a shared key of at least 16 bytes on every daemon",
            )
        if len(self.keys) > MAX_KEYS:
            raise PeerSettingsError(
                f"{len(self.keys)} shared keys given, but at most {MAX_KEYS} allowed"
            )
        if any(len(key) < MIN_KEY_BYTES for key in self.keys):
            raise PeerSettingsError(f"a shared key is shorter than {MIN_KEY_BYTES} bytes")


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``; the host is ``localhost`` or an IP address, for IPv6 in brackets.

    :raises PeerSettingsError: if the address has another form.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    is_port = port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= MAX_PORT
    if not is_port or not _is_host(host):
        raise PeerSettingsError(f"{address!r} is not host:port with an IP address as host")
    return host, int(port)


def join_address(host: str, port: int) -> str:
    """Joins ``host:port``, with brackets around an IPv6 host."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def is_loopback(host: str) -> bool:
    """Returns whether the host is a loopback address of this machine."""
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
