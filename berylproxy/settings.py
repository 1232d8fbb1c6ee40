"""Settings of the daemon, read from flags and environment variables and validated at start."""

import os
from collections.abc import Mapping
from ipaddress import ip_address
from typing import Annotated

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    field_validator,
)

from berylproxy.errors import SettingsError
from berylproxy.logs import LEVELS

VARIABLE_PREFIX = "BERYLPROXY_"
# Secrets have no flags, because a process list would show them.
SECRET_FIELDS = ("operator_tokens", "peer_keys")
MIN_SECRET_CHARACTERS = 16
MAX_PORT = 65_535
# Valid values that replace invalid settings while the other settings are checked.
PLACEHOLDER_VALUES = {
    "daemon_id": "unknown",
    "failure_domain": "unknown",
    "store_urls": "http://127.0.0.1",
    "operator_tokens": "x" * MIN_SECRET_CHARACTERS,
    "peer_keys": "x" * MIN_SECRET_CHARACTERS,
    "tls_certificate": "/",
    "tls_key": "/",
}


def _split_list(value: object) -> object:
    if isinstance(value, str):
        return tuple(part.strip() for part in value.split(",") if part.strip())
    return value


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ip_address(host.strip("[]"))
        valid = 0 <= int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        raise ValueError("must be an IP address and a port, such as 127.0.0.1:8080")
    return value


def is_loopback(address: str) -> bool:
    """Returns whether ``host:port`` is a loopback address."""
    return ip_address(address.rpartition(":")[0].strip("[]")).is_loopback


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
CommaSeparatedTexts = Annotated[tuple[str, ...], BeforeValidator(_split_list)]


class Settings(BaseModel):
    """Settings of a daemon, fixed at its start.

    :param http_address: address that serves callers, operators and the load balancer; port 0 picks
        a free port.
    :param peer_address: address at which other daemons reach this one; port 0 picks a free port.
    :param peer_listen_address: address to listen on for other daemons, if not ``peer_address``.
    :param peers: addresses of the other daemons that are contacted at start.
    :param store_urls: base URLs of the platform's key-value service.
    :param vm_list_url: base URL of the platform's list of VMs; empty if there is none.
    :param trace_target: OTLP URL or file that traces are written to; empty for no tracing.
    :param drain_grace_s: time for the load balancer to notice that the daemon is no longer ready.
    :param drain_timeout_s: longest time that a planned stop waits for requests in flight.
    :param memory_mb: memory that the daemon may use, of which a quarter is for requests.
    :param max_descriptors: file descriptors that it may use, of which half are for callers.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    daemon_id: Name
    failure_domain: Name
    http_address: str = "127.0.0.1:8080"
    peer_address: str = "127.0.0.1:8081"
    peer_listen_address: str = ""
    peers: CommaSeparatedTexts = ()
    store_urls: CommaSeparatedTexts = Field(min_length=1)
    vm_list_url: str = ""
    cluster: Name = "berylproxy"
    operator_tokens: CommaSeparatedTexts = ()
    peer_keys: CommaSeparatedTexts = ()
    tls_certificate: str = ""
    tls_key: str = ""
    log_level: str = "info"
    trace_target: str = ""
    drain_grace_s: Annotated[float, Field(ge=0, le=600)] = 2.0
    drain_timeout_s: Annotated[float, Field(gt=0, le=3600)] = 60.0
    memory_mb: Annotated[int, Field(ge=64)] = 1024
    max_descriptors: Annotated[int, Field(ge=64)] = 1024

    @field_validator("http_address", "peer_address")
    @classmethod
    def check_address(cls, value: str) -> str:
        """Rejects a value that is not an IP address and a port."""
        return _check_address(value)

    @field_validator("peer_listen_address")
    @classmethod
    def check_listen_address(cls, value: str) -> str:
        """Rejects a value that is neither empty nor an IP address and a port."""
        return _check_address(value) if value else value

    @field_validator("peers")
    @classmethod
    def check_peers(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        """Rejects a list with an invalid address."""
        return tuple(_check_address(peer) for peer in value)

    @field_validator("store_urls")
    @classmethod
    def check_store_urls(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        """Rejects a list with a value that is not an HTTP URL."""
        if not all(url.startswith(("http://", "https://")) for url in value):
            raise ValueError("must be http:// or https:// URLs")
        return value

    @field_validator("operator_tokens", "peer_keys")
    @classmethod
    def check_secrets(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        """Rejects short secrets, without repeating them in the message."""
        if any(len(secret) < MIN_SECRET_CHARACTERS for secret in value):
            raise ValueError(f"must have at least {MIN_SECRET_CHARACTERS} characters each")
        return value

    @field_validator("peer_keys")
    @classmethod
    def check_key_count(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        """Rejects more than two keys; a second one is only needed while a key is being replaced."""
        if len(value) > 2:
            raise ValueError("at most two keys: the new one and the one being replaced")
        return value

    @field_validator("log_level")
    @classmethod
    def check_log_level(cls, value: str) -> str:
        """Rejects unknown log levels."""
        if value not in LEVELS:
            raise ValueError(f"must be one of {', '.join(LEVELS)}")
        return value

    @field_validator("tls_certificate", "tls_key")
    @classmethod
    def check_file(cls, value: str) -> str:
        """Rejects a file that can't be read."""
        if value and not os.access(value, os.R_OK):
            raise ValueError("must be a readable file")
        return value

    def find_conflicts(self) -> list[str]:
        """Returns one line for each problem with a combination of settings.

        Without operator tokens and peer keys, a daemon must not be reachable from other VMs.
        """
        conflicts = []
        if not self.operator_tokens and not is_loopback(self.http_address):
            conflicts.append(
                "http_address: without BERYLPROXY_OPERATOR_TOKENS only a loopback address is served"
            )
        if not self.peer_keys and not is_loopback(self.peer_listen_address or self.peer_address):
            conflicts.append(
                "peer_address: without BERYLPROXY_PEER_KEYS only a loopback address is served"
            )
        if bool(self.tls_certificate) != bool(self.tls_key):
            conflicts.append("tls_certificate and tls_key must be set together")
        return conflicts


def load_settings(flags: Mapping[str, str | None], variables: Mapping[str, str]) -> Settings:
    """Reads flags and environment variables; a flag takes precedence over its variable.

    :raises SettingsError: with all problems at once, if any setting is missing or invalid.
    """
    values: dict[str, str] = {}
    for name in Settings.model_fields:
        flag = None if name in SECRET_FIELDS else flags.get(name)
        value = flag if flag is not None else variables.get(VARIABLE_PREFIX + name.upper())
        if value is not None:
            values[name] = value
    problems: list[str] = []
    try:
        settings = Settings.model_validate(values)
    except ValidationError as error:
        problems = [_describe_problem(problem) for problem in error.errors()]
        settings = _replace_invalid_values(
            values, {str(problem["loc"][0]) for problem in error.errors()}
        )
    problems += settings.find_conflicts()
    if problems:
        raise SettingsError(problems)
    return settings


def _replace_invalid_values(values: Mapping[str, str], invalid_names: set[str]) -> Settings:
    """Replaces invalid values by placeholders, so that the others can be checked together."""
    valid_values = {name: value for name, value in values.items() if name not in invalid_names}
    placeholders = {
        name: value for name, value in PLACEHOLDER_VALUES.items() if name in invalid_names
    }
    return Settings.model_validate(valid_values | placeholders)


def _describe_problem(problem: dict) -> str:
    message = problem["msg"].removeprefix("Value error, ")
    if not problem["loc"]:
        return message
    name = str(problem["loc"][0])
    if problem["type"] == "missing":
        message = "is required"
    variable = VARIABLE_PREFIX + name.upper()
    flag = "" if name in SECRET_FIELDS else f"--{name.replace('_', '-')} or "
    return f"{name}: {message} ({flag}{variable})"
