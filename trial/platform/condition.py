"""Faults of the platform stand-in."""

from typing import NamedTuple


class Condition(NamedTuple):
    """Faults that the control endpoint sets.

    Attributes
    ----------
    mode : str
        ``up``, ``down`` (closes every connection without a response), ``hanging``
        (accepts requests and never responds) or ``slow``.
    delay : float
        Seconds by which ``slow`` delays a response, half of them before the request
        takes effect; also for ``late_writes``.
    drop_answers : int
        Number of next writes that take effect without a response.
    late_writes : int
        Number of next writes that get no response and take effect ``delay`` later.
    """

    mode: str = "up"
    delay: float = 1.0
    drop_answers: int = 0
    late_writes: int = 0


MODES = ("up", "down", "hanging", "slow")
