"""What every command of berylctl works with."""

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import urlsplit

from berylproxy.cli.definition import Arguments
from berylproxy.cli.errors import SettingsError
from berylproxy.cli.output import Printer
from berylproxy.client.client import DEFAULT_TEAM, Client
from berylproxy.client.operator import OperatorClient
from berylproxy.environment import Environment

DEFAULT_URL = "http://127.0.0.1:8080"
URL_VARIABLE = "BERYLPROXY_URL"
TEAM_VARIABLE = "BERYLPROXY_TEAM"
TOKEN_VARIABLE = "BERYLPROXY_TOKEN"


@dataclass(frozen=True, slots=True)
class Context:
    """Checked settings, and the streams to work with.

    :param base_urls: the daemons, in order of preference.
    :param team: the submitting team.
    :param token: the team's or operator's token; may be empty.
    """

    base_urls: tuple[str, ...]
    team: str
    token: str
    environment: Environment
    printer: Printer

    def open_client(self) -> Client:
        """Opens a callers' client."""
        return Client(self.base_urls, team=self.team, token=self.token)

    def open_operator_client(self) -> OperatorClient:
        """Opens an operators' client."""
        return OperatorClient(self.base_urls, token=self.token)


def make_context(arguments: Arguments, environment: Environment) -> Context:
    """Takes settings from the arguments first and from environment variables second.

    :raises SettingsError: if one cannot be used.
    """
    variables = environment.variables
    team = arguments.team or variables.get(TEAM_VARIABLE, DEFAULT_TEAM)
    token = variables.get(TOKEN_VARIABLE, "")
    _check_header_value(team, f"the team in --team or {TEAM_VARIABLE}")
    _check_header_value(token, f"the token in {TOKEN_VARIABLE}")
    return Context(
        base_urls=_choose_urls(arguments.url, variables),
        team=team,
        token=token,
        environment=environment,
        printer=Printer(environment, arguments.output),
    )


def _choose_urls(given: list[str], variables: Mapping[str, str]) -> tuple[str, ...]:
    listed = given or variables.get(URL_VARIABLE, DEFAULT_URL).split(",")
    urls = tuple(url.strip() for url in listed if url.strip())
    if not urls:
        raise SettingsError(f"{URL_VARIABLE} names no daemon", hint=f"such as {DEFAULT_URL}")
    for url in urls:
        _check_url(url)
    return urls


def _check_url(url: str) -> None:
    try:
        parts = urlsplit(url)
        usable = parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        usable = False
    if not usable:
        raise SettingsError(
            f"{url!r} is not a daemon's base URL", hint=f"--url or {URL_VARIABLE}: {DEFAULT_URL}"
        )


def _check_header_value(value: str, what: str) -> None:
    if not (value.isascii() and value.isprintable()):
        raise SettingsError(f"{what} has characters that are not printable ASCII")
