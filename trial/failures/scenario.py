"""Scenarios: one failure, a pair at the same time, or one twice in a row."""

import random
from typing import NamedTuple

from trial.failures import registry

# Load before the first failure, so that seats, loans and caches are in use, and after
# the last one, so that late effects show.
LEAD_S = 4.0
TAIL_S = 6.0
_LARGEST_OFFSET_S = 4.0
_PAIR = "+"
_TWICE = "*2"
# Both move the first service, withdraw the same key or stop every VM in turn.
_EXCLUSIVE = ("move", "bad-", "steering", "key-", "stop-each")


class Start(NamedTuple):
    """One failure of a scenario and when it begins, seconds after the load."""

    failure: registry.Failure
    at: float


class Scenario(NamedTuple):
    """A scenario.

    Attributes
    ----------
    name : str
    seed : int
    seconds : float
        Length of the load.
    starts : list of Start
        Failures that share a time overlap; one that follows itself waits until the
        first one has healed.
    """

    name: str
    seed: int
    seconds: float
    starts: list[Start]


def plan_scenario(name: str, seed: int, seconds: float | None = None) -> Scenario:
    """Return the scenario of a name.

    Parameters
    ----------
    name : str
        ``a``, ``a+b`` for two failures at the same time, or ``a*2`` for a failure that
        follows itself.
    seed : int
        Of the times; the failures draw from generators of their own.
    seconds : float, optional
        Length of the load; as long as the failures take by default.

    Raises
    ------
    ValueError
        A failure is not known.
    """
    source = random.Random(f"{seed} {name}")
    first = LEAD_S + source.uniform(0, _LARGEST_OFFSET_S)
    if name.endswith(_TWICE):
        failure = _find(name.removesuffix(_TWICE))
        # The second one begins as soon as the first one has ended.
        starts = [Start(failure, first), Start(failure, first)]
        needed = first + 2 * failure.seconds
    else:
        starts, at = [], first
        for each in name.split(_PAIR):
            starts.append(Start(_find(each), at))
            at = first + source.uniform(0, _LARGEST_OFFSET_S)
        needed = max(each.at + each.failure.seconds for each in starts)
    return Scenario(name, seed, seconds or needed + TAIL_S, starts)


def _find(name: str) -> registry.Failure:
    if name not in registry.FAILURES:
        known = ", ".join(each.name for each in registry.in_order())
        raise ValueError(f"failure {name!r} is not known; accepted: {known}")
    return registry.FAILURES[name]


def choose_names(group: str, seed: int) -> list[str]:
    """Return the scenarios of a group, or the name itself when it is no group."""
    singles = [each.name for each in registry.in_order()]
    shared = [name for name in singles if not any(part in name for part in _EXCLUSIVE)]
    source = random.Random(f"{seed} pairs")
    pairs = []
    for name in singles:
        others = [each for each in shared if each != name]
        if name != "stop-each":
            pairs.append(f"{name}{_PAIR}{source.choice(others)}")
    twice = [f"{name}{_TWICE}" for name in shared]
    groups = {
        "singles": singles,
        "pairs": pairs,
        "twice": twice,
        "all": singles + pairs + twice,
    }
    return groups.get(group, [group])
