"""Service with its weight in the traffic split of a route."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service and its weight in the traffic split of a route.

    Attributes
    ----------
    service : str
    weight : float
        Share of the requests, relative to the sum of the route's weights.
    """

    service: str
    weight: float
