"""Steps that run jobs through a cluster of real processes."""

from concurrent.futures import ThreadPoolExecutor
from random import Random

from behave import given, then, when

from tests.support.cluster import SERVICE, Cluster, EndpointPlan


def make_tasks(count: int, shortest_s: float, longest_s: float, seed: int) -> list[dict]:
    """Makes tasks with seeded run times."""
    random = Random(seed)
    return [
        {"id": f"t{number}", "payload": {"run_time_s": random.uniform(shortest_s, longest_s)}}
        for number in range(count)
    ]


def mint(context, daemon: int) -> str:
    """Requests one job identifier, whose home is the daemon."""
    response = context.cluster.client.post(f"{context.cluster.url(daemon)}/v1/job-ids", json={})
    return response.json()["ids"][0]


def submit(context, daemon: int, job_id: str, tasks: list[dict]):
    """Submits a job and returns the response."""
    body = {"id": job_id, "service": SERVICE, "tasks": tasks}
    return context.cluster.client.post(f"{context.cluster.url(daemon)}/v1/jobs", json=body)


def check_complete_answer(answer: dict, tasks: list[dict]) -> None:
    """Checks that an answer has the results of all tasks in the order of submission."""
    assert answer["outcome"] == "done", answer
    assert [result["id"] for result in answer["results"]] == [task["id"] for task in tasks]
    for result, task in zip(answer["results"], tasks, strict=True):
        assert result["payload"]["echo"] == task["payload"], result


@given(
    'a cluster of daemons in "{domains}" and endpoints of speeds "{speeds}" in each failure domain'
)
def step_cluster(context, domains, speeds):
    daemon_domains = domains.split(", ")
    plans = [
        EndpointPlan(domain, float(speed))
        for domain in sorted(set(daemon_domains))
        for speed in speeds.split(", ")
    ]
    context.cluster = Cluster(context.folder, daemon_domains, plans)
    context.add_cleanup(context.cluster.stop)
    context.cluster.start()


@when(
    "a job of {count:d} tasks of {shortest:g} to {longest:g} s with seed {seed:d} is submitted "
    "to each daemon under its own id"
)
def step_submit_to_each(context, count, shortest, longest, seed):
    context.tasks = make_tasks(count, shortest, longest, seed)
    daemons = range(len(context.cluster.daemons))
    ids = [mint(context, daemon) for daemon in daemons]
    with ThreadPoolExecutor(len(ids)) as executor:
        answers = executor.map(
            lambda daemon: submit(context, daemon, ids[daemon], context.tasks), daemons
        )
        context.responses = list(answers)
    context.started_ids = ids


@when(
    "a job of {count:d} tasks of {shortest:g} to {longest:g} s with seed {seed:d} is submitted "
    "to daemon {daemon:d} under an id of daemon {home:d}"
)
def step_submit(context, count, shortest, longest, seed, daemon, home):
    context.tasks = make_tasks(count, shortest, longest, seed)
    context.job_id = mint(context, home)
    context.started_ids = [context.job_id]
    context.responses = [submit(context, daemon, context.job_id, context.tasks)]


@when("the same job is submitted to daemon {daemon:d} under the same id")
def step_resubmit(context, daemon):
    context.responses.append(submit(context, daemon, context.job_id, context.tasks))


@when("a job with different content is submitted to daemon {daemon:d} under the same id")
def step_submit_other_content(context, daemon):
    other = make_tasks(len(context.tasks), 0.01, 0.02, seed=99)
    context.responses.append(submit(context, daemon, context.job_id, other))


@then("each job is answered with all of its tasks in the order of submission")
def step_all_answers_complete(context):
    for response in context.responses:
        assert response.status_code == 200, response.text
        check_complete_answer(response.json(), context.tasks)


@then("both answers are the same and complete")
def step_answers_equal(context):
    first, second = [response.json() for response in context.responses]
    check_complete_answer(first, context.tasks)
    assert first == second


@then('the second submission is refused with status {status:d} and code "{code}"')
def step_second_submission_refused(context, status, code):
    response = context.responses[1]
    assert (response.status_code, response.json()["code"]) == (status, code), response.text


@then("every task was started exactly once")
def step_started_once(context):
    expected = {
        f"{job_id}/{task['id']}" for job_id in context.started_ids for task in context.tasks
    }
    starts = context.cluster.count_starts()
    assert starts.keys() == expected
    assert set(starts.values()) == {1}, [task for task, count in starts.items() if count > 1]


@then("every endpoint has run tasks")
def step_every_endpoint_used(context):
    used = {event["endpoint"] for event in context.cluster.read_events()}
    assert used == {f"e{number}" for number in range(len(context.cluster.endpoints))}
