"""Runs that ever failed, each with its cause; all are played before a release."""

from typing import NamedTuple


class Regression(NamedTuple):
    """A run that failed once.

    Attributes
    ----------
    seed : int
    seconds : float
    cause : str
    """

    seed: int
    seconds: float
    cause: str


REGRESSIONS = (
    Regression(
        1,
        15.0,
        "a reload that met the end of a stop killed the process (stops_end_in_time)",
    ),
)
