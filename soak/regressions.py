"""Runs that ever failed, each with its cause; all are played before a release."""

from typing import NamedTuple


class Regression(NamedTuple):
    """A run that failed once.

    Attributes
    ----------
    seed : int
    seconds : float
    cause : str
    small : float
        Part of a processor that the first VM gets, 0 for a whole one.
    """

    seed: int
    seconds: float
    cause: str
    small: float = 0.0


REGRESSIONS = (
    Regression(
        1,
        15.0,
        "a reload that met the end of a stop killed the process (stops_end_in_time)",
    ),
    Regression(
        911,
        6.0,
        "requests waited unread in the accept queue and ran for callers that had left "
        "(nothing_runs_for_callers_that_left)",
        small=0.25,
    ),
)
