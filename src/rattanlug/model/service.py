"""A service: a set of upstreams that serve the same routes."""

from typing import NamedTuple


class Service(NamedTuple):
    """Stable version and time limit of one service.

    Attributes
    ----------
    name : str
    version : str
        Version that receives the traffic while no move is in progress.
    deadline : float
        Time limit of a request, seconds, at most 10.
    """

    name: str
    version: str
    deadline: float
