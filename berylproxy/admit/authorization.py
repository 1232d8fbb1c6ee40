"""Authorization of calls by the bearer tokens of teams and operators."""

from hashlib import sha256
from hmac import compare_digest

from starlette.requests import Request

from berylproxy.admit.errors import (
    OperatorTokenRequiredError,
    TeamTokenRequiredError,
    TeamUnknownError,
)
from berylproxy.constants import TEAM_HEADER
from berylproxy.records.models import Configuration

BEARER_PREFIX = "Bearer "
DEFAULT_TEAM = "default"


def read_token(request: Request) -> str:
    """Returns the bearer token; empty if there is none."""
    header = request.headers.get("authorization", "")
    return header.removeprefix(BEARER_PREFIX) if header.startswith(BEARER_PREFIX) else ""


def authorize_team(request: Request, configuration: Configuration) -> str:
    """Returns the calling team's name.

    :raises TeamUnknownError: if the team is not configured, unless it is the default team and no
        teams are configured at all.
    :raises TeamTokenRequiredError: if the team has tokens and the call carries none of them.
    """
    name = request.headers.get(TEAM_HEADER, DEFAULT_TEAM)
    team = configuration.teams.get(name)
    if team is None:
        if not configuration.teams and name == DEFAULT_TEAM:
            return name
        raise TeamUnknownError(
            f"unknown team {name[:64]!r}", hint=f"name the team in {TEAM_HEADER}"
        )
    if not team.token_sha256:
        return name
    digest = sha256(read_token(request).encode()).hexdigest()
    if not any(compare_digest(digest, known_digest) for known_digest in team.token_sha256):
        raise TeamTokenRequiredError(
            f"team {name} requires a valid token", hint="send Authorization: Bearer <team token>"
        )
    return name


class OperatorAuthorizer:
    """Authorizes operators' calls.

    :param tokens: the accepted tokens. If there are none, every call is authorized; the daemon
        allows this on loopback addresses only.
    """

    def __init__(self, tokens: tuple[str, ...]) -> None:
        self._digests = tuple(sha256(token.encode()).hexdigest() for token in tokens)

    def authorize(self, request: Request) -> None:
        """Checks the call's token.

        :raises OperatorTokenRequiredError: if the token is missing or wrong.
        """
        if not self._digests:
            return
        digest = sha256(read_token(request).encode()).hexdigest()
        if not any(compare_digest(digest, known_digest) for known_digest in self._digests):
            raise OperatorTokenRequiredError(
                "this call requires an operator's token",
                hint="send Authorization: Bearer <operator token>",
            )
