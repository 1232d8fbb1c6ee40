"""Steps for the package itself."""

from behave import then, when

import berylproxy


@when("the package is imported")
def step_import(context):
    context.package = berylproxy


@then('its version is "{version}"')
def step_version(context, version):
    assert context.package.__version__ == version
