"""Steps for what a daemon knows of evacuated failure domains, and for cold endpoints."""

import json
import time
from types import SimpleNamespace

from behave import given, then, use_step_matcher, when
from msgspec.structs import replace

from berylproxy.durable.decisions.acceptance import Admission
from berylproxy.durable.decisions.routing import TypicalNeed, has_room, measure_room_millicores
from berylproxy.durable.endpoints.evacuation import EvacuatedDomains
from berylproxy.durable.endpoints.evacuation_spread import EvacuationSpread
from berylproxy.durable.jobs.job_table import JobTable
from berylproxy.durable.learning.estimates import RunTimeModel
from berylproxy.platform.operator_watch import decode_evacuated_domain
from tests.steps.durable_decisions_steps import make_state, open_job, place_all

NOW_S = 100.0


class SpreadStub:
    """A network that keeps what the spread of evacuations registers."""

    def add_heartbeat_part(self, name, make_part):
        """Keeps the function that describes the view."""
        self.name, self.describe = name, make_part

    def on_change(self, listener):
        """Keeps the function that applies a member's view."""
        self.listener = listener

    def tell(self, part):
        """Passes a member's heartbeat on."""
        heartbeat = {} if part is None else {self.name: part}
        self.listener(
            SimpleNamespace(heartbeat=heartbeat, identity=SimpleNamespace(daemon_id="d1"))
        )


def make_view(context, names, confirmed_s):
    """Makes a view at revision 7, and its spread."""
    context.view = EvacuatedDomains()
    context.view.confirm(frozenset(names.split()), 7, confirmed_s)
    context.spread = SpreadStub()
    EvacuationSpread(context.spread, context.view, SimpleNamespace(now_s=lambda: NOW_S))


use_step_matcher("re")


@given(r'a view of the evacuated failure domains "(?P<names>[\w ]*)" at revision 7')
def step_impl(context, names):
    make_view(context, names, NOW_S)


@given(
    r'a view of the evacuated failure domains "(?P<names>[\w ]*)" that the store confirmed '
    r"(?P<age_s>[\d.]+) s ago"
)
def step_impl(context, names, age_s):
    make_view(context, names, NOW_S - float(age_s))


@when(
    r'(?P<source>the store|another daemon) says that "(?P<names>[\w ]*)" are evacuated, '
    r"at revision (?P<revision>\d+)"
)
def step_impl(context, source, names, revision):
    if source == "the store":
        context.view.confirm(frozenset(names.split()), int(revision), NOW_S)
    else:
        context.spread.tell({"revision": int(revision), "failure_domains": names.split()})


@when(r"a heartbeat says (?P<part>.+) of the evacuations")
def step_impl(context, part):
    context.spread.tell(None if part == "nothing" else json.loads(part))


@then(
    r'the view says that "(?P<names>[\w ]*)" are evacuated, at revision (?P<revision>\d+)',
)
def step_impl(context, names, revision):
    assert context.view.names == frozenset(names.split()), context.view.names
    assert context.view.revision == int(revision), context.view.revision


@then(r'heartbeats say that "(?P<names>[\w ]*)" are evacuated, from revision (?P<revision>\d+) on')
def step_impl(context, names, revision):
    expected = {"revision": int(revision), "failure_domains": names.split()}
    assert context.spread.describe() == expected, context.spread.describe()


@then(r"it is (?P<verdict>recent|not recent) enough to begin a tenure")
def step_impl(context, verdict):
    assert context.view.is_recent(NOW_S) == (verdict == "recent")


@then(r'the operator\'s key "(?P<key>[^"]*)" evacuates "(?P<domain>[^"]*)"')
def step_impl(context, key, domain):
    assert decode_evacuated_domain(key) == domain


@given(
    r"2 endpoints of 64 cores, of which the "
    r"(?P<which>second is in an evacuated failure domain|first stays cold for 4 s)"
)
def step_impl(context, which):
    context.model = RunTimeModel()
    context.states = [make_state("a"), make_state("b")]
    if which.startswith("second"):
        context.states[1].is_evacuated = True
    else:
        context.states[0].note_cold(4.0, NOW_S)


@when(r"all their failure domains are evacuated")
def step_impl(context):
    for state in context.states:
        state.is_evacuated = True


@then(
    r"their room is (?P<cores>\d+) cores, and "
    r"(?P<effect>the second one gets no task|a job is refused at once)"
)
def step_impl(context, cores, effect):
    room = measure_room_millicores(context.states, [], TypicalNeed(), NOW_S)
    assert room == int(cores) * 1000, room
    assert has_room(room, 65_000, context.states, NOW_S) == (room > 0)
    job_table = JobTable()
    if effect == "a job is refused at once":
        job = open_job(job_table, "j")
        admission = Admission(JobTable(), context.model)
        assert admission.decide(job, context.states, NOW_S) is not None
        return
    open_job(job_table, "j", tasks=5)
    place_all(context, job_table)
    assert context.placed == [context.states[0]] * 3, context.placed


@then(r"a task goes to the second one")
def step_impl(context):
    job_table = JobTable()
    open_job(job_table, "j")
    place_all(context, job_table)
    assert context.placed == [context.states[1]], context.placed


@when(r"the first one says after (?P<after_s>\d+) s that it stays cold for (?P<left_s>\d+) s")
def step_impl(context, after_s, left_s):
    context.states[0].note_cold(float(left_s), NOW_S + int(after_s))


@then(r"the coldness of the first one is (?P<rows>.+)")
def step_impl(context, rows):
    for row in rows.replace(" and ", ", ").replace("at first", "after 0 s").split(", "):
        coldness, after_s = row.removesuffix(" s").split(" after ")
        assert context.states[0].coldness(NOW_S + int(after_s)) == float(coldness), row


@given(r"endpoint 1 stays cold for (?P<left_s>\d+) s")
def step_impl(context, left_s):
    endpoint = context.holder_world.endpoints[0]
    endpoint.info = replace(endpoint.info, cold_left_s=float(left_s))


def clock_of(context):
    """Returns the simulated time of the scenario, or the real one."""
    return getattr(context, "simulated_time", time)


@given(r"the holders have (?P<view>never known the evacuations|had no answer about them for 60 s)")
def step_impl(context, view):
    world = context.holder_world
    world.evacuations = EvacuatedDomains()
    if view.startswith("had"):
        world.evacuations.confirm(frozenset(), 7, clock_of(context).monotonic() - 60)


@when(r'the store tells the holders after (?P<delay_s>[\d.]+) s that "(?P<names>\w*)" is evacuated')
def step_impl(context, delay_s, names):
    world, clock = context.holder_world, clock_of(context)
    clock.sleep(float(delay_s))
    world.portal.call(world.evacuations.confirm, frozenset(names.split()), 9, clock.monotonic())


@then(r"no run has started (?P<delay_s>[\d.]+) s later")
def step_impl(context, delay_s):
    clock_of(context).sleep(float(delay_s))
    started = [event for e in context.holder_world.endpoints for event in e.history]
    assert not started, started


@then(r"the holder has (?P<verdict>learnt no speed|learnt the speed of endpoint 1)")
def step_impl(context, verdict):
    speeds = context.holder_world.newest_model.describe()["speeds"]
    assert set(speeds) == (set() if verdict == "learnt no speed" else {"e1"}), speeds


use_step_matcher("parse")
