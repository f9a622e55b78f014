"""A service-level objective."""

from typing import NamedTuple


class Objective(NamedTuple):
    """Share of good answers that one route owes one organisation.

    Attributes
    ----------
    organisation : str
        Name, or ``*`` for each organisation.
    route : str
        Name, or ``*`` for each route.
    target : float
        Share of good answers, between 0 and 1.
    latency : float
        Seconds within which a good answer arrives.
    """

    organisation: str
    route: str
    target: float
    latency: float
