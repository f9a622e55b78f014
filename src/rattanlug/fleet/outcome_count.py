"""Counts of good and bad responses of two versions of a service on one route."""

from typing import NamedTuple


class OutcomeCount(NamedTuple):
    """Responses of the last seconds during a rollout.

    A response is bad if the request failed, or if its service time was far above that
    of the route and the upstream wasn't warming up.

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
