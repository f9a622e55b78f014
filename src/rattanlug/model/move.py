"""A move of traffic from one version of a service to another."""

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
        Time by which the move ends, seconds since the epoch.
    cap : float
        Most requests per second that the new version receives from the move.
    """

    name: str
    service: str
    from_version: str
    to_version: str
    deadline: float
    cap: float
