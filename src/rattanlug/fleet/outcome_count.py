"""Outcomes of both versions of a service on one route."""

from typing import NamedTuple


class OutcomeCount(NamedTuple):
    """Requests of the last seconds.

    Attributes
    ----------
    service : str
    route : str
    new_good, new_bad : int
        Answers of the version that is being brought in.
    old_good, old_bad : int
        Answers of the other versions.
    """

    service: str
    route: str
    new_good: int
    new_bad: int
    old_good: int
    old_bad: int
