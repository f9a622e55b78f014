"""One part of the traffic of a route."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service and its share of a route.

    Attributes
    ----------
    service : str
    weight : float
        Share relative to the sum of all weights of the route.
    """

    service: str
    weight: float
