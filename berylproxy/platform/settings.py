"""Loads and validates the platform's settings file."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from berylproxy.durable.endpoints.neighbour_mode import NeighbourMode
from berylproxy.errors import SettingsError
from berylproxy.tables import Table, TableInvalidError, convert_table

# OpenTelemetry exporters serve on this port by default; deploy/ configures it as well.
METRICS_PORT = 9464
SETTINGS_VARIABLE = "BERYLPROXY_NODE_FILE"
NEIGHBOURS_VARIABLE = "BERYLPROXY_NEIGHBOURS"
# The contract under which tasks on one endpoint share more than the room that they declare.
SHARING_CONTRACT = "sharing"
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


Name = Annotated[str, Meta(min_length=1)]
PositiveFloat = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(gt=0)]


class _Listen(Table):
    frontend_addr: str
    ready_addr: str


class _Limits(Table):
    cpu_share: PositiveFloat = 1.0
    cores: PositiveFloat = 1.0
    memory_mb: PositiveInt = 256
    max_fds: PositiveInt = 1024
    link_mbps: PositiveFloat = 1000.0


class _Bounds(Table):
    grace_s: float = 6.0
    hold_max_ms: int = 1000
    remote_factor: float = 2.0


class _Platform(Table):
    address: str
    value_bytes: int = 1_048_576


class _SettingsFile(Table):
    node_name: Name
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen: _Listen
    platform: _Platform
    contracts: tuple[str, ...] = ()
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings that the platform gives a daemon.

    :param callers_address: listen address for callers; "frontend-addr" in the file.
    :param ready_address: listen address for the load balancer's readiness probe.
    :param peer_address: listen address for other daemons.
    :param metrics_address: listen address for metrics and status.
    :param store_address: address of the platform's key-value service.
    :param cores: processor capacity of the VM, in cores of standard speed.
    :param memory_mb: memory that the process may use.
    :param max_descriptors: file descriptors that the process may use; "max-fds" in the file.
    :param link_mbps: bandwidth of the VM's link.
    :param stop_grace_s: time from SIGTERM to SIGKILL.
    :param longest_lease_s: longest lease that endpoints grant; "hold-max-ms" in the file.
    :param remote_factor: run time of a task away from its data, relative to its run time near it.
    :param neighbour_mode: what is done about tasks that slow each other down on one endpoint.
    """

    daemon_id: str
    failure_domain: str
    callers_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    cores: float
    memory_mb: int
    max_descriptors: int
    link_mbps: float
    stop_grace_s: float
    longest_lease_s: float
    remote_factor: float
    neighbour_mode: NeighbourMode = NeighbourMode.OFF


def load_platform_settings(path: str) -> PlatformSettings:
    """Reads and validates the settings file.

    :raises SettingsError: listing every problem and its location in the file.
    """
    try:
        content = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: can't be read: {error}"]) from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"{path}: not TOML: {error}"]) from error
    try:
        return _convert(convert_table(content, _SettingsFile))
    except (TableInvalidError, SettingsError) as error:
        raise SettingsError([f"{path}: {problem}" for problem in error.problems]) from error


def _convert(file: _SettingsFile) -> PlatformSettings:
    if not _is_address(file.platform.address):
        raise SettingsError([f"platform.address: {file.platform.address!r} is not host:port"])
    first_port, _ = file.internal_ports
    return PlatformSettings(
        daemon_id=file.node_name,
        failure_domain=file.zone,
        callers_address=file.listen.frontend_addr,
        ready_address=file.listen.ready_addr,
        peer_address=f"{file.ip}:{first_port}",
        metrics_address=f"{file.ip}:{METRICS_PORT}",
        store_address=file.platform.address,
        cores=file.limits.cpu_share * file.limits.cores,
        memory_mb=file.limits.memory_mb,
        max_descriptors=file.limits.max_fds,
        link_mbps=file.limits.link_mbps,
        stop_grace_s=file.bounds.grace_s,
        longest_lease_s=file.bounds.hold_max_ms / 1000,
        remote_factor=file.bounds.remote_factor,
        neighbour_mode=_choose_neighbour_mode(file.contracts),
    )


def _is_address(address: str) -> bool:
    """Returns whether calls can be made to an address: its host is checked by each call."""
    host, _, port = address.rpartition(":")
    is_host = bool(host) and host.isascii() and host.isprintable() and " " not in host
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    return is_host and is_number and 0 < int(port) <= MAX_PORT


def _choose_neighbour_mode(contracts: tuple[str, ...]) -> NeighbourMode:
    """Returns the mode that the environment names, else the one that the contracts call for.

    :raises SettingsError: if the environment names an unknown mode.
    """
    name = os.environ.get(NEIGHBOURS_VARIABLE, "")
    if name:
        try:
            return NeighbourMode(name)
        except ValueError as error:
            known = ", ".join(NeighbourMode)
            raise SettingsError(
                [f"{NEIGHBOURS_VARIABLE}: {name!r} is not one of {known}"]
            ) from error
    return NeighbourMode.APART if SHARING_CONTRACT in contracts else NeighbourMode.OFF
