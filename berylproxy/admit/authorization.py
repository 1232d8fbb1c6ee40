"""Who may call: teams by their tokens, operators by theirs."""

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
    """Reads the bearer token; empty if there is none."""
    header = request.headers.get("authorization", "")
    return header.removeprefix(BEARER_PREFIX) if header.startswith(BEARER_PREFIX) else ""


def authorize_team(request: Request, configuration: Configuration) -> str:
    """Returns the calling team's name.

    :raises TeamUnknownError: if teams are configured and this is none of them.
    :raises TeamTokenRequiredError: if its record has tokens and none of them was given.
    """
    name = request.headers.get(TEAM_HEADER, DEFAULT_TEAM)
    team = configuration.teams.get(name)
    if team is None:
        if not configuration.teams and name == DEFAULT_TEAM:
            return name
        raise TeamUnknownError(f"no team {name[:64]!r}", hint=f"name the team in {TEAM_HEADER}")
    if not team.token_sha256:
        return name
    digest = sha256(read_token(request).encode()).hexdigest()
    if not any(compare_digest(digest, known) for known in team.token_sha256):
        raise TeamTokenRequiredError(
            f"team {name} needs a valid token", hint="send Authorization: Bearer <team token>"
        )
    return name


class OperatorGate:
    """Lets operators in.

    :param tokens: the tokens accepted; with none, everybody is let in, which the daemon allows on
        loopback addresses only.
    """

    def __init__(self, tokens: tuple[str, ...]) -> None:
        self._digests = tuple(sha256(token.encode()).hexdigest() for token in tokens)

    def authorize(self, request: Request) -> None:
        """Checks the token.

        :raises OperatorTokenRequiredError: if it is missing or wrong.
        """
        if not self._digests:
            return
        digest = sha256(read_token(request).encode()).hexdigest()
        if not any(compare_digest(digest, known) for known in self._digests):
            raise OperatorTokenRequiredError(
                "this call needs an operator's token",
                hint="send Authorization: Bearer <operator token>",
            )
