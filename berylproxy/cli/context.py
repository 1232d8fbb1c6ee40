"""Settings and streams that all commands of berylctl share."""

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
    """Validated settings of one invocation, and its streams.

    :param base_urls: base URLs of the daemons, in order of preference.
    :param team: name of the submitting team.
    :param token: the team's or operator's token; may be empty.
    """

    base_urls: tuple[str, ...]
    team: str
    token: str
    environment: Environment
    printer: Printer

    def open_client(self) -> Client:
        """Creates a client for callers."""
        return Client(self.base_urls, team=self.team, token=self.token)

    def open_operator_client(self) -> OperatorClient:
        """Creates a client for operators."""
        return OperatorClient(self.base_urls, token=self.token)


def make_context(arguments: Arguments, environment: Environment) -> Context:
    """Reads the settings; arguments take precedence over environment variables.

    :raises SettingsError: if a setting is invalid.
    """
    variables = environment.variables
    team = arguments.team or variables.get(TEAM_VARIABLE, DEFAULT_TEAM)
    token = variables.get(TOKEN_VARIABLE, "")
    _check_header_value(team, f"the team in --team or {TEAM_VARIABLE}")
    _check_header_value(token, f"the token in {TOKEN_VARIABLE}")
    return Context(
        base_urls=_resolve_base_urls(arguments.url, variables),
        team=team,
        token=token,
        environment=environment,
        printer=Printer(environment, arguments.output),
    )


def _resolve_base_urls(url_arguments: list[str], variables: Mapping[str, str]) -> tuple[str, ...]:
    raw_urls = url_arguments or variables.get(URL_VARIABLE, DEFAULT_URL).split(",")
    urls = tuple(url.strip() for url in raw_urls if url.strip())
    if not urls:
        raise SettingsError(
            f"{URL_VARIABLE} contains no URL", hint=f"set it to {DEFAULT_URL}, for example"
        )
    for url in urls:
        _check_url(url)
    return urls


def _check_url(url: str) -> None:
    try:
        parts = urlsplit(url)
        is_valid = parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        is_valid = False
    if not is_valid:
        raise SettingsError(
            f"{url!r} is not a valid base URL of a daemon",
            hint=f"set --url or {URL_VARIABLE} to {DEFAULT_URL}, for example",
        )


def _check_header_value(value: str, description: str) -> None:
    if not (value.isascii() and value.isprintable()):
        raise SettingsError(f"{description} contains characters that are not printable ASCII")
