"""A service: a set of upstreams that answer the same routes."""

from typing import NamedTuple


class Service(NamedTuple):
    """One service.

    Attributes
    ----------
    name : str
    version : str
        Version that receives traffic when no move is under way.
    deadline : float
        Longest time for one request, seconds, at most 10.
    """

    name: str
    version: str
    deadline: float
