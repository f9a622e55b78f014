"""An operator's order to roll out a version of a service."""

from typing import NamedTuple


class RolloutOrder(NamedTuple):
    """Parameters of a rollout.

    Attributes
    ----------
    service : str
    target : str
        Version that is to receive all traffic.
    duration : float
        Time within which the rollout is to be complete, seconds.
    row_version : int
        Version of the store row that holds the order.
    era : int
        Era of the store that the row version belongs to; both identify the order.
    """

    service: str
    target: str
    duration: float
    row_version: int
    era: int = 0
