"""Steps that replace daemons of the landed build by those of this one, and the other way round."""

from pathlib import Path
from time import sleep

from behave import given, then, when
from msgpack import unpackb

from berylproxy.durable.holding.groups import Division
from berylproxy.durable.holding.records import (
    decode_division,
    decode_final,
    decode_job,
    encode_division,
    encode_final,
    encode_job,
    encode_tombstone,
)
from berylproxy.durable.jobs.messages import DURABLE_MESSAGES
from berylproxy.durable.jobs.models import JobState, StoredJob
from berylproxy.peers.codec import MessageCodec, NoticeFrame
from berylproxy.peers.messages import CONTROL_MESSAGES
from tests.support.landed_build import check_out_landed, reencode_by_landed
from tests.support.random_examples import run_examples, wire_values
from tools.soak.__main__ import read_final_states
from tools.soak.callers import SoakCallers
from tools.soak.judge import find_violations
from tools.soak.world import SoakCluster

CALLERS = 6
SEED = 42
PAUSE_S = 1.5  # jobs are under way on all daemons again


def find_restarted(history, noted):
    """Returns the tasks that started after a run of theirs had ended as done.

    :param noted: tasks and runs of the ends that were taken note of, then or later. Others don't
        count: their endpoint's lease has lapsed before, or nobody has heard of them.
    """
    done, restarted = set(), set()
    for _, kind, task, run in sorted(history):
        if kind == "done" and (task, run) in noted:
            done.add(task)
        elif kind == "start" and task in done:
            restarted.add(task)
    return restarted


def draw_examples(strategy, count):
    """Returns random examples, which are the same in each run."""
    examples = []

    def keep(example):
        examples.append(example)

    run_examples(count, strategy, keep)
    return examples


def find_changed(sent, received):
    """Returns the fields of a decoded map that another build has returned with another value."""
    if isinstance(sent, dict) and isinstance(received, dict):
        return {
            key: (sent.get(key), value)
            for key, value in received.items()
            if find_changed(sent.get(key), value)
        }
    if isinstance(sent, list) and isinstance(received, list) and len(sent) == len(received):
        return [pair for pair in zip(sent, received, strict=True) if find_changed(pair[0], pair[1])]
    return [] if sent == received else [(sent, received)]


@given(
    "a platform of {count:d} daemons of the {build} build and {runners:d} runners whose tasks take "
    "{run_time_s:g} s"
)
def step_start(context, count, build, runners, run_time_s):
    folder = context.folder / "landed"
    folder.mkdir()
    landed = check_out_landed(folder)
    cluster = SoakCluster(context.folder, count, runners, run_time_s)
    context.build_folders = {"landed": landed, "new": Path.cwd()}
    cluster.builds = dict.fromkeys(range(count), context.build_folders[build])
    context.add_cleanup(cluster.close)
    context.platform_cluster = cluster
    cluster.start()


@given("callers submit durable jobs and others")
def step_submit(context):
    cluster = context.platform_cluster
    context.callers = SoakCallers(SEED, CALLERS, cluster.daemon_count, cluster.url_of)
    context.callers.start()
    context.add_cleanup(context.callers.stop)
    sleep(PAUSE_S)


@when(
    "each daemon, first the holder, is {ended:w} and replaced by one of the {build} build",
)
def step_replace(context, ended, build):
    cluster = context.platform_cluster
    remaining = set(range(cluster.daemon_count))
    end = {"killed": cluster.kill_daemon, "stopped": cluster.stop_daemon}[ended]
    while remaining:
        holder = cluster.find_holder()
        number = holder if holder in remaining else min(remaining)
        remaining.discard(number)
        end(number)
        cluster.builds[number] = context.build_folders[build]
        cluster.restart_daemon(number)
        cluster.wait_ready(number)
        sleep(PAUSE_S)
    context.callers.stop()


@then('each accepted durable job is shown as "completed" by every daemon of the platform')
def step_completed(context):
    jobs = [job for job in context.callers.jobs if job.is_durable and job.is_accepted]
    assert jobs
    context.states = read_final_states(context.platform_cluster, jobs)
    wrong = {job_id: states for job_id, states in context.states.items() if states != {"completed"}}
    assert not wrong, wrong


@then("no durable task started after it had ended as done")
def step_not_restarted(context):
    durable = {job.job_id for job in context.callers.jobs if job.is_durable}
    cluster = context.platform_cluster
    noted = cluster.read_noted()
    assert any(task[0] in durable for task, _ in noted)
    restarted = find_restarted(cluster.read_history(), noted)
    restarted = {task for task in restarted if task[0] in durable}
    assert not restarted, restarted


@then("no caller of the platform was misled")
def step_not_misled(context):
    cluster = context.platform_cluster
    problems = find_violations(
        context.callers.jobs,
        cluster.read_history(),
        cluster.down_spans,
        cluster.stop_spans,
        context.states,
    )
    assert not problems, problems


@given("the landed build of the platform's daemon")
def step_check_out(context):
    context.landed = check_out_landed(context.folder)


@then(
    "{messages:d} random messages of each kind and the records of {jobs:d} random jobs keep their "
    "content in it"
)
def step_reencode(context, messages, jobs):
    codec = MessageCodec(DURABLE_MESSAGES).extend(CONTROL_MESSAGES)
    pairs = []
    for kind in (*DURABLE_MESSAGES, *CONTROL_MESSAGES):
        for message in draw_examples(wire_values(kind), messages):
            pairs.append(("frame", codec.encode(NoticeFrame(message))))
    pairs += [("open job", encode_job(job)) for job in draw_examples(wire_values(StoredJob), jobs)]
    pairs += [("outcome", encode_final(state, 17.25)) for state in JobState]
    pairs.append(("outcome", encode_tombstone(17.25)))
    pairs.append(("division", encode_division(Division(3))))
    pairs.append(("division", encode_division(Division(3, {"e1": 0, "e2": 2}))))
    decoders = {
        "frame": lambda data: list(codec.make_decoder(len(data)).feed(data)),
        "open job": decode_job,
        "outcome": decode_final,
        "division": decode_division,
    }
    returned = reencode_by_landed(pairs, context.landed)
    for (kind, sent), (_, received) in zip(pairs, returned, strict=True):
        decoders[kind](received)
        changed = find_changed(unpackb(sent), unpackb(received))
        assert not changed, (kind, changed)
