"""Errors of calls that are refused at admission: no task has started."""

from berylproxy.errors import BerylproxyError


class AdmitError(BerylproxyError):
    """Base of the admission errors.

    :cvar status: HTTP status of the response.
    """

    code = "admit_error"
    status = 400


class JsonMalformedError(AdmitError):
    """The body is not JSON."""

    code = "json_malformed"


class SubmissionInvalidError(AdmitError):
    """A field of the submission is invalid."""

    code = "submission_invalid"
    status = 422


class HeaderInvalidError(AdmitError):
    """A header or query parameter is invalid, or the body is incomplete."""

    code = "header_invalid"


class BodyTooLargeError(AdmitError):
    """The body is larger than allowed."""

    code = "body_too_large"
    status = 413


class TeamUnknownError(AdmitError):
    """This daemon's configuration has no such team."""

    code = "team_unknown"
    status = 403


class TeamTokenRequiredError(AdmitError):
    """The team's token is missing or wrong."""

    code = "team_token_required"
    status = 401


class OperatorTokenRequiredError(AdmitError):
    """The operators' token is missing or wrong."""

    code = "operator_token_required"
    status = 401


class PathUnknownError(AdmitError):
    """The API has no such path."""

    code = "path_unknown"
    status = 404


class MethodNotAllowedError(AdmitError):
    """The path does not allow the method."""

    code = "method_not_allowed"
    status = 405


class NotReadyError(AdmitError):
    """The daemon accepts no new work: it has no configuration yet or is stopping."""

    code = "not_ready"
    status = 503
