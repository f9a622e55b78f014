"""Limits on requests and connections of callers."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Limits on requests and connections of callers.

    Attributes
    ----------
    body_bytes : int
        Maximum size of a request body.
    idle_seconds : float
        Maximum time for which a connection may be idle.
    """

    body_bytes: int = 64 << 20
    idle_seconds: float = 15.0
