"""What the platform currently does wrong."""

from typing import NamedTuple


class Condition(NamedTuple):
    """Faults that the control endpoint sets.

    Attributes
    ----------
    mode : str
        ``up``, ``down`` (closes every connection without an answer), ``hanging``
        (accepts requests and never answers) or ``slow``.
    delay : float
        Seconds by which ``slow`` delays; half before the request takes effect.
    drop_answers : int
        So many of the next writes take effect without being answered.
    late_writes : int
        So many of the next writes are not answered and take effect ``delay`` later.
    """

    mode: str = "up"
    delay: float = 1.0
    drop_answers: int = 0
    late_writes: int = 0


MODES = ("up", "down", "hanging", "slow")
