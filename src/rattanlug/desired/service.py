"""Service of the desired state."""

from typing import NamedTuple


class Service(NamedTuple):
    """Settings of a service.

    Attributes
    ----------
    name : str
    max_connections : int
        Connections that one upstream accepts from all callers together.
    warmup : float
        Time for which an upstream is cold after its start, seconds.
    warmup_rate : float
        Requests per second that a cold upstream tolerates.
    """

    name: str
    max_connections: int
    warmup: float
    warmup_rate: float
