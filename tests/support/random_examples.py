"""Runs checks on random examples that are the same in each run."""

from collections.abc import Callable
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st
from hypothesis.strategies import SearchStrategy
from msgspec import Struct

SEED = 20261203
WIRE_STRATEGIES = {
    int: st.integers(0, 2**63 - 1),
    Any: st.integers(0, 9) | st.text(max_size=5),
    NoneType: st.none(),
    float: st.floats(0, 1e9),
}


def run_examples(count: int, strategy: SearchStrategy, check: Callable[[Any], None]) -> None:
    """Runs a check on random examples, generated from a fixed seed."""
    run = settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )(seed(SEED)(given(strategy)(check)))
    run()


def wire_values(kind: Any) -> SearchStrategy:
    """Returns a strategy for a message, a record or one of their fields, with all fields set."""
    origin, arguments = get_origin(kind), get_args(kind)
    if kind in WIRE_STRATEGIES:
        return WIRE_STRATEGIES[kind]
    if origin in (Union, UnionType):
        return st.one_of(map(wire_values, arguments))
    if origin is tuple and arguments[-1] is Ellipsis:
        return st.lists(wire_values(arguments[0]), max_size=3).map(tuple)
    if origin is tuple:
        return st.tuples(*map(wire_values, arguments))
    if origin is dict:
        return st.dictionaries(*map(wire_values, arguments), max_size=3)
    if isinstance(kind, type) and issubclass(kind, Struct):
        hints = get_type_hints(kind)
        return st.builds(
            kind, **{name: wire_values(hints[name]) for name in kind.__struct_fields__}
        )
    return st.from_type(kind)
