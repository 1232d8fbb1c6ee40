"""Steps for the refusal of jobs that cannot end in time."""

from behave import then, when

from berylproxy.waiting.limits import AdmissionError, Load, check_load


@when(
    "a job with a timeout of {timeout:g} s is checked at an expected wait of {wait:g} s "
    "and run times of {run:g} s"
)
def step_check(context, timeout, wait, run):
    load = Load(team_waiting=0, team_quota=10, all_waiting=0, wait_s=wait, run_time_s=run)
    context.admission_code = "accepted"
    try:
        check_load(load, 1, timeout)
    except AdmissionError as error:
        context.admission_code = error.code


@then('its admission ends with "{code}"')
def step_code(context, code):
    assert context.admission_code == code, context.admission_code
