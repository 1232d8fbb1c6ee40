"""Arbitrary values for decoders, and the wire form of nested ones."""

from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

EXAMPLES = 300

numbers = strategies.sampled_from([2**63, 2**64 - 1, 1e300, -1, -1e300, 0, 65_536, 0.5])
texts = strategies.text(max_size=8) | strategies.sampled_from(["٣", "1_0", "ž", "a\r\nb: c", ""])
json_values = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | numbers | texts,
    lambda children: strategies.lists(children, max_size=4)
    | strategies.dictionaries(texts, children, max_size=4),
    max_leaves=12,
)


def make_variants(sound):
    """Generates objects with the fields of a sound one, of which some have arbitrary values."""
    fields = {name: strategies.just(value) | json_values for name, value in sound.items()}
    return strategies.fixed_dictionaries(fields)


def make_rows(sound):
    """Generates rows like a sound one, of which some have arbitrary values."""
    kept = (
        strategies.just(value) | strategies.just(value) | numbers | json_values for value in sound
    )
    return strategies.tuples(*kept)


def fuzz(**arguments):
    """Returns the decorator of a check of arbitrary values that are the same in each run."""

    def decorate(check):
        settings = hypothesis_settings(
            max_examples=EXAMPLES, deadline=None, database=None, derandomize=True
        )
        return settings(hypothesis_given(**arguments)(check))

    return decorate


def nest(depth):
    """Returns a nested JSON list."""
    return "[" * depth + "]" * depth
