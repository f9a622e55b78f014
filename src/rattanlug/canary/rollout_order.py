"""An operator's order to move a service to a version."""

from typing import NamedTuple


class RolloutOrder(NamedTuple):
    """What the operator asks for.

    Attributes
    ----------
    service : str
    target : str
        Version that is to get all traffic.
    duration : float
        Time within which the move is to be complete, seconds.
    row_version : int
        Version of the row that holds the order; another order has another one.
    """

    service: str
    target: str
    duration: float
    row_version: int
