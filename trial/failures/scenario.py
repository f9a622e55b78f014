"""Scenarios: one failure, two that overlap, or the same one twice in a row."""

import random
from typing import NamedTuple

from trial.failures import registry

# Load before the first failure, so that seats, loans and caches are in use, and load
# after the last one, so that delayed effects are observed.
LEAD_IN_S = 4.0
TAIL_S = 6.0
_MAX_OFFSET_S = 4.0
_PAIR = "+"
_TWICE = "*2"
# Not combined with each other: they move the same service, withdraw the same key or
# stop every VM in turn.
_EXCLUSIVE = ("move", "bad-", "steering", "key-", "stop-each")


class ScheduledFailure(NamedTuple):
    """A failure and when it begins, seconds after the start of the load."""

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
    starts : list of ScheduledFailure
        Failures overlap, except that the second of two equal ones waits until the
        first one has healed.
    """

    name: str
    seed: int
    seconds: float
    starts: list[ScheduledFailure]


def plan_scenario(name: str, seed: int, seconds: float | None = None) -> Scenario:
    """Return the scenario of a name.

    Parameters
    ----------
    name : str
        ``a``, ``a+b`` for two failures that overlap, or ``a*2`` for the same failure
        twice in a row.
    seed : int
        For the times; the failures have random generators of their own.
    seconds : float, optional
        Length of the load; by default, as long as the failures take.

    Raises
    ------
    ValueError
        A failure is not known.
    """
    generator = random.Random(f"{seed} {name}")
    first = LEAD_IN_S + generator.uniform(0, _MAX_OFFSET_S)
    if name.endswith(_TWICE):
        failure = _find_failure(name.removesuffix(_TWICE))
        # The second one begins as soon as the first one has ended.
        starts = [ScheduledFailure(failure, first), ScheduledFailure(failure, first)]
        needed = first + 2 * failure.seconds
    else:
        starts, at = [], first
        for each in name.split(_PAIR):
            starts.append(ScheduledFailure(_find_failure(each), at))
            at = first + generator.uniform(0, _MAX_OFFSET_S)
        needed = max(each.at + each.failure.seconds for each in starts)
    return Scenario(name, seed, seconds or needed + TAIL_S, starts)


def _find_failure(name: str) -> registry.Failure:
    if name not in registry.FAILURES:
        known = ", ".join(each.name for each in registry.in_order())
        raise ValueError(f"failure {name!r} is not known; accepted: {known}")
    return registry.FAILURES[name]


def choose_names(group: str, seed: int) -> list[str]:
    """Return the scenario names of a group, or the name itself if it is none."""
    singles = [each.name for each in registry.in_order()]
    shared = [name for name in singles if not any(part in name for part in _EXCLUSIVE)]
    generator = random.Random(f"{seed} pairs")
    pairs = []
    for name in singles:
        others = [each for each in shared if each != name]
        if name != "stop-each":
            pairs.append(f"{name}{_PAIR}{generator.choice(others)}")
    twice = [f"{name}{_TWICE}" for name in shared]
    groups = {
        "singles": singles,
        "pairs": pairs,
        "twice": twice,
        "all": singles + pairs + twice,
    }
    return groups.get(group, [group])
