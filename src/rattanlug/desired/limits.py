"""Limits on requests and connections of callers."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Limits on requests and connections of callers.

    Attributes
    ----------
    body_bytes : int
        Maximum size of a request body.
    head_bytes : int
        Maximum size of the headers of a request.
    head_seconds : float
        Maximum time from the first byte of a request to the end of its head.
    idle_seconds : float
        Maximum time for which a connection may be idle.
    """

    body_bytes: int = 64 << 20
    head_bytes: int = 16 << 10
    head_seconds: float = 30.0
    idle_seconds: float = 30.0
