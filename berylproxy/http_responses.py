"""JSON responses of the HTTP interfaces."""

import json
from collections.abc import Mapping

from starlette.responses import Response

from berylproxy.constants import JSON_CONTENT_TYPE


def make_json_response(
    content: object, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns a JSON response in ASCII, as UTF-8 can't encode a lone surrogate."""
    return Response(json.dumps(content), status, headers, JSON_CONTENT_TYPE)
