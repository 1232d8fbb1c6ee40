"""Steps for the operators' HTTP interface to the records."""

import json

import httpx
from behave import then
from starlette.applications import Starlette

from berylproxy.errors import BerylproxyError
from berylproxy.records.api import make_record_routes

OPERATOR_TOKEN = "Bearer operator"
BODIES = {"deep": "[" * 60_000, "long": '"' + "x" * 70_000 + '"'}


class TokenRequiredError(BerylproxyError):
    code = "operator_token_required"


class OperatorOnlyError(BerylproxyError):
    code = "operator_only"


def authorize(request):
    """Accepts only the operator's token."""
    token = request.headers.get("authorization")
    if token is None:
        raise TokenRequiredError("no token")
    if token != OPERATOR_TOKEN:
        raise OperatorOnlyError("not the operator's token")


def make_headers(text):
    """Returns the headers that a table cell describes."""
    if text == "without token":
        return {}
    headers = {"Authorization": "Bearer caller" if text == "of a caller" else OPERATOR_TOKEN}
    name, _, value = text.partition(": ")
    return headers | {name: value} if value else headers


@then('operators\' calls at records daemon "{name}" answer:')
def step_calls(context, name):
    daemon = context.cluster.daemons[name]
    routes = make_record_routes(daemon.view, daemon.editor, authorize)
    transport = httpx.ASGITransport(app=Starlette(routes=routes))

    async def call_all() -> None:
        async with httpx.AsyncClient(transport=transport, base_url="http://daemon") as client:
            for row in context.table:
                response = await client.request(
                    row["method"],
                    f"/v1/records/{row['path']}",
                    headers=make_headers(row["headers"]),
                    content=BODIES.get(row["body"], row["body"]),
                )
                assert response.status_code == int(row["status"]), (row, response.text)
                assert row["says"] in response.text, (row, response.text)
                check_body(response)

    context.cluster.run(call_all)


def check_body(response):
    """Checks the fields that all responses have in common."""
    body = json.loads(response.content)
    if response.is_error:
        assert body["outcome"] == "not_run"
        assert set(body) >= {"code", "message", "hint", "retry_after_s"}
        assert ("retry-after" in response.headers) == (body["retry_after_s"] is not None)
    elif response.request.method == "GET" and "records" not in body:
        assert response.headers["etag"] == f'"{body["revision"]}"'
