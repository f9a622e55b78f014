"""A gradual move of traffic from one version of a service to another."""

from typing import NamedTuple


class Move(NamedTuple):
    """One planned move.

    Attributes
    ----------
    name : str
    service : str
    from_version : str
    to_version : str
    deadline : float
        Time by which the move ends, done or rolled back, seconds since the epoch.
    cap : float
        Maximum requests per second that the move sends to the new version.
    """

    name: str
    service: str
    from_version: str
    to_version: str
    deadline: float
    cap: float
