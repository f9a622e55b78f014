"""The registry of failures."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from trial.failures import context

Action = Callable[[context.FailureContext, random.Random], Awaitable[str]]


class Failure(NamedTuple):
    """A failure that a scenario injects.

    Attributes
    ----------
    name : str
    order : int
        More harmful failures come first.
    seconds : float
        Expected time from the injection until everything is up again.
    action : callable
        Injects the failure, heals it and returns a summary in one line.
    """

    name: str
    order: int
    seconds: float
    action: Action


FAILURES: dict[str, Failure] = {}


def failure(name: str, order: int, seconds: float) -> Callable[[Action], Action]:
    """Register a failure."""

    def register(action: Action) -> Action:
        FAILURES[name] = Failure(name, order, seconds, action)
        return action

    return register


def in_order() -> list[Failure]:
    """Return all failures, the most harmful first."""
    return sorted(FAILURES.values(), key=lambda each: (each.order, each.name))
