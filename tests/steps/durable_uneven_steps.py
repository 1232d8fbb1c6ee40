"""Steps that simulate uneven endpoints and tasks, and check what is learned about them."""

from collections import Counter
from functools import cache

from behave import then, use_step_matcher, when

from tests.support.load_play import summarize
from tests.support.uneven_load_play import (
    FORMER_DECISIONS,
    NEW_DECISIONS,
    Decisions,
    Disturbance,
    UnevenLoadSimulation,
)

SEEDS = (1, 2, 3)
LENGTH_S = 10
LOAD_FACTORS = {"the mean load": 1.0, "1.4 times the load": 1.4}
DISTURBANCES = {
    "none is disturbed": None,
    "a sixth turn five times slower for 6 s": Disturbance(1 / 6, slowdown=5.0),
    "a sixth turn eight times slower for 6 s": Disturbance(1 / 6, slowdown=8.0),
    "one in seven fail all runs for 6 s": Disturbance(1 / 7, failing=1.0),
    "three in ten fail all runs for 6 s": Disturbance(0.3, failing=1.0),
    "three in ten fail a third of the runs for 6 s": Disturbance(0.3, failing=0.35),
    "one in seven refuse 45 of 100 orders for 6 s": Disturbance(1 / 7, shedding=0.45),
    "one in ten go down and up each 1.2 s": Disturbance(0.1, flaps_each_s=1.2),
}


@cache
def simulate(load: str, disturbance: str, decisions: Decisions) -> tuple[dict, list]:
    """Simulates a load with several seeds; returns the shares and the simulations."""
    factors = [LOAD_FACTORS[load]] * LENGTH_S
    simulations = [
        UnevenLoadSimulation(seed, factors, decisions, DISTURBANCES[disturbance]) for seed in SEEDS
    ]
    shares = summarize([simulation.run() for simulation in simulations])
    return shares, simulations


def count_failed(simulations: list[UnevenLoadSimulation]) -> int:
    """Returns the number of jobs that failed after their last attempt."""
    outcomes = Counter()
    for simulation in simulations:
        for tally in simulation.tallies.values():
            outcomes.update(tally.outcomes)
    return outcomes["failed"]


use_step_matcher("re")


@when(
    r"(?P<load>.+) meets endpoints of which (?P<disturbance>.+), under the decisions about uneven "
    r"endpoints"
)
def step_impl(context, load, disturbance):
    context.load, context.disturbance = load, disturbance
    context.shares, context.simulations = simulate(load, disturbance, NEW_DECISIONS)


def simulate_former(context) -> tuple[dict, list]:
    """Simulates the same load with the former decisions."""
    return simulate(context.load, context.disturbance, FORMER_DECISIONS)


@then(r"callers get more worth and more answers in time than from the former decisions")
def step_impl(context):
    former, _ = simulate_former(context)
    for name in ("all", "in time"):
        assert context.shares[name] > former[name], (context.shares, former)


@then(r"callers get as much worth as from the former decisions, within 1 in 100")
def step_impl(context):
    former, _ = simulate_former(context)
    assert context.shares["all"] > former["all"] - 0.01, (context.shares, former)
    assert context.shares["in time"] > former["in time"] - 0.01, (context.shares, former)


@then(r"no more jobs fail than with the former decisions")
def step_impl(context):
    _, former_simulations = simulate_former(context)
    assert count_failed(context.simulations) <= count_failed(former_simulations)


@then(r"at most half as many jobs fail as with the former decisions")
def step_impl(context):
    _, former_simulations = simulate_former(context)
    failed, former = count_failed(context.simulations), count_failed(former_simulations)
    assert failed <= former / 2, (failed, former)


@then(r"less than 1 in 100 sound endpoints is found slow at any time")
def step_impl(context):
    looks = sum(simulation.sound_samples[0] for simulation in context.simulations)
    found = sum(simulation.sound_samples[1] for simulation in context.simulations)
    assert found < looks / 100, (found, looks)


use_step_matcher("parse")
