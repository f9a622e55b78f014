"""Counts of good and bad responses of two versions of a service on one route."""

from typing import NamedTuple


class OutcomeCount(NamedTuple):
    """Responses of the last seconds.

    Attributes
    ----------
    service : str
    route : str
    new_good, new_bad : int
        Responses of the target version of the rollout.
    old_good, old_bad : int
        Responses of the other versions.
    """

    service: str
    route: str
    new_good: int
    new_bad: int
    old_good: int
    old_bad: int
