"""Steps for claims of idempotency keys in a store."""

from random import Random

from anyio import create_task_group, run, sleep
from behave import given, then, when

from berylproxy.clock import MonotonicClock
from berylproxy.deduplicate.claims import ClaimRegistry, hash_key
from berylproxy.deduplicate.errors import ClaimUnavailableError
from tests.support.memory_store import MemoryStore

KEY = hash_key("team", "key")


@given("two claim registries over one in-memory store")
def step_claim_registries(context):
    context.claim_store = MemoryStore()
    context.wall_time_s = 1_000_000.0
    context.claim_registries = {
        name: ClaimRegistry(context.claim_store, MonotonicClock(), lambda: context.wall_time_s)
        for name in ("first", "second")
    }
    context.claimed = []
    context.claim_error = None


@when("both claim each of {count:d} keys at once with seed {seed:d}")
def step_claim_all(context, count, seed):
    random = Random(seed)
    context.found = {"first": {}, "second": {}}

    async def claim(name, number):
        await sleep(random.random() / 100)
        job_id = f"{name}-{number}"
        key_hash = hash_key("team", str(number))
        context.found[name][number] = await context.claim_registries[name].claim(key_hash, job_id)

    async def claim_all():
        async with create_task_group() as tasks:
            for number in range(count):
                for name in context.claim_registries:
                    tasks.start_soon(claim, name, number)

    run(claim_all)
    context.key_count = count


@when("the answers to the next {count:d} writes are lost")
def step_lose_answers(context, count):
    context.claim_store.lost_answers = count


@when("the next {count:d} writes are lost without an answer")
def step_lose_writes(context, count):
    context.claim_store.lost_writes = count


@when("the store is out")
def step_out(context):
    context.claim_store.set_outage(True)


@when('the {name} registry claims a key for "{job_id}"')
@when('the {name} registry claims the same key for "{job_id}"')
def step_claim(context, name, job_id):
    try:
        context.claimed.append(run(context.claim_registries[name].claim, KEY, job_id))
    except ClaimUnavailableError as error:
        context.claim_error = error


@when("the {name} registry looks up the key")
def step_lookup(context, name):
    context.lookups = [
        *getattr(context, "lookups", []),
        run(context.claim_registries[name].find, KEY),
    ]


@when("{seconds:d} s pass")
def step_pass(context, seconds):
    context.wall_time_s += seconds


@then("both got the same identifier for every key")
def step_same(context):
    assert len(context.found["first"]) == context.key_count
    assert context.found["first"] == context.found["second"]


@then("the store was written to less often than once for each key")
def step_writes(context):
    calls = context.claim_store.calls
    assert 0 < calls["compare_and_swap"] < context.key_count, calls


@then('both got the identifier "{job_id}"')
def step_both(context, job_id):
    assert context.claimed == [job_id, job_id], context.claimed


@then('the identifiers were "{job_ids}"')
def step_claimed(context, job_ids):
    assert context.claimed == job_ids.split(", "), context.claimed


@then('the claim fails with code "{code}" and outcome "{outcome}"')
def step_fails(context, code, outcome):
    assert (context.claim_error.code, context.claim_error.outcome) == (code, outcome)


@then('the lookups found "" and "{job_id}"')
def step_lookups(context, job_id):
    assert context.lookups == ["", job_id], context.lookups
