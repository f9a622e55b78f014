"""The cases, by name."""

from collections.abc import Awaitable, Callable

from trial.cases import lab

Case = Callable[[lab.Lab], Awaitable[None]]

CASES: dict[str, Case] = {}


def case(play: Case) -> Case:
    """Register a case under the name of its function."""
    CASES[play.__name__] = play
    return play
