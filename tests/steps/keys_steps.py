"""Steps for jobs that are submitted to real daemons with an idempotency key."""

from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from standins.cluster import SERVICE
from tests.steps.daemon_steps import check_complete_answer, make_tasks


def send_job(context, daemon: int):
    """Sends the context's job with the context's key."""
    return context.cluster.client.post(
        f"{context.cluster.url(daemon)}/v1/jobs",
        json={"service": SERVICE, "tasks": context.tasks},
        headers={"Idempotency-Key": context.key},
    )


def prepare_job(
    context, key: str, count: int, shortest_s: float, longest_s: float, seed: int
) -> None:
    """Creates the job and key that the next steps send."""
    context.key = key
    context.tasks = make_tasks(count, shortest_s, longest_s, seed)


@when(
    "a job of {count:d} tasks of {shortest:g} to {longest:g} s with seed {seed:d} is sent "
    "to all daemons at once under one key"
)
def step_send_to_all(context, count, shortest, longest, seed):
    prepare_job(context, "first-key", count, shortest, longest, seed)
    daemons = range(len(context.cluster.daemons))
    with ThreadPoolExecutor(len(daemons)) as pool:
        context.responses = list(pool.map(lambda daemon: send_job(context, daemon), daemons))


@when(
    "a job of {count:d} tasks of {shortest:g} to {longest:g} s with seed {seed:d} is sent "
    "to daemon {daemon:d} under a new key"
)
def step_send_new(context, count, shortest, longest, seed, daemon):
    prepare_job(context, f"key-{seed}", count, shortest, longest, seed)
    context.responses = [send_job(context, daemon)]


@when("other content is sent to daemon {daemon:d} under the same key")
def step_send_other(context, daemon):
    tasks, context.tasks = context.tasks, make_tasks(3, 0.01, 0.02, seed=99)
    context.responses = [send_job(context, daemon)]
    context.tasks = tasks


@when("the job is sent to daemon {daemon:d} under the same key again")
def step_send_again(context, daemon):
    context.responses = [send_job(context, daemon)]
    context.job_id = context.responses[0].json()["id"]


@when("the platform's store is unavailable")
def step_store_out(context):
    context.cluster.control(context.cluster.store, outage=True)


@when("the platform's store is available again")
def step_store_back(context):
    context.cluster.control(context.cluster.store, outage=False)


@when("the home of the key is killed")
def step_kill_home(context):
    home = context.job_id.split("-")[0]
    for number in range(len(context.cluster.daemons)):
        if context.cluster.read_status(number)["daemon"]["incarnation"] == home:
            context.killed = number
    context.cluster.daemons[context.killed].kill()
    live_daemon = (context.killed + 1) % len(context.cluster.daemons)
    context.cluster.wait_until(
        lambda: home
        in [
            peer["incarnation"]
            for peer in context.cluster.read_status(live_daemon)["peers"]
            if peer["status"] == "dead"
        ],
        "the home is considered dead",
    )


@when("the job is sent to a live daemon under the same key again")
def step_send_to_live_daemon(context):
    live_daemon = (context.killed + 1) % len(context.cluster.daemons)
    context.responses = [send_job(context, live_daemon)]


@then("every answer under the key is the same and complete")
def step_same(context):
    answers = [response.json() for response in context.responses]
    check_complete_answer(answers[0], context.tasks)
    assert all(answer == answers[0] for answer in answers)


@then('the answer under the key has status {status:d} and code "{code}"')
def step_refused(context, status, code):
    (response,) = context.responses
    assert (response.status_code, response.json()["code"]) == (status, code), response.text


@then("each task under the key was started exactly once")
def step_started_once(context):
    starts = context.cluster.count_starts()
    assert set(starts.values()) == {1}, [task for task, count in starts.items() if count > 1]
