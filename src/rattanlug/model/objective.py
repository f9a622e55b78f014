"""A service-level objective."""

from typing import NamedTuple


class Objective(NamedTuple):
    """Target share of good responses on a route for an organisation.

    Attributes
    ----------
    organisation : str
        Name, or ``*`` for each organisation.
    route : str
        Name, or ``*`` for each route.
    target : float
        Share of good responses, between 0 and 1.
    latency : float
        Maximum latency of a good response, seconds.
    """

    organisation: str
    route: str
    target: float
    latency: float
