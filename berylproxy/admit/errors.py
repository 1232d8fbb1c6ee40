"""Refusals at the border. Nothing has run."""

from berylproxy.errors import BerylproxyError


class AdmitError(BerylproxyError):
    """Base of this layer's errors.

    :cvar status: the HTTP status that goes with it.
    """

    code = "admit_error"
    status = 400


class JsonMalformedError(AdmitError):
    """The body is not JSON."""

    code = "json_malformed"


class SubmissionInvalidError(AdmitError):
    """A field of the submission breaks a rule."""

    code = "submission_invalid"
    status = 422


class HeaderInvalidError(AdmitError):
    """A header can't be understood."""

    code = "header_invalid"


class BodyTooLargeError(AdmitError):
    """The body is larger than allowed."""

    code = "body_too_large"
    status = 413


class TeamUnknownError(AdmitError):
    """No record of the team is in force here."""

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
    """There is no such path."""

    code = "path_unknown"
    status = 404


class MethodNotAllowedError(AdmitError):
    """The path has no such method."""

    code = "method_not_allowed"
    status = 405


class NotReadyError(AdmitError):
    """The daemon has no configuration yet, or is leaving."""

    code = "not_ready"
    status = 503
