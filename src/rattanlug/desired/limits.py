"""Limits on what a caller may send."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Limits on requests and idle connections.

    Attributes
    ----------
    body_bytes : int
    idle_seconds : float
        How long a connection of a caller may stay idle.
    """

    body_bytes: int = 64 << 20
    idle_seconds: float = 15.0
